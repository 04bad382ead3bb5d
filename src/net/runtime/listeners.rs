//! Listeners for clients: each connection is served by a task of its own, once it has a slot.

use crate::config::{ClickHouseListener, Config};
use crate::net::front::{clickhouse, thrift, ClientConnection, FrontendState, ListenerGuard};
use crate::net::log;
use crate::net::tasks::{TaskName, Tasks};
use crate::net::transient_errors::{self, Backoff};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{AcquireError, OwnedSemaphorePermit};
use tokio::time::{sleep, timeout_at, Instant};

/// Connections that may wait to be accepted in the system's queue: as many as the library's own listener allows.
const BACKLOG: u32 = 1024;

/// A slot among the connections that were accepted and wait to be served.
type WaitingSlot = Result<OwnedSemaphorePermit, AcquireError>;

/// Listens for clients. Where a new version may take over, both processes listen at the same address.
///
/// # Errors
/// An address cannot be listened at.
pub(super) async fn listen_to_clients(
    config: &Config,
    frontend: &Rc<FrontendState>,
    tasks: &Tasks,
) -> io::Result<()> {
    let shared = config.operator.is_some();
    let retry = frontend.limits.bind_retry;
    let listener = bind(config.listen, shared, retry).await?;
    tracing::info!("{} listens at {}", config.name, listener.local_addr()?);
    let thrift_frontend = frontend.clone();
    accept("thrift listener", tasks, listener, frontend, move |stream, connection| {
        thrift::serve(stream, connection, thrift_frontend.clone())
    });
    if let Some(ClickHouseListener { address, rules }) = &config.clickhouse {
        let listener = bind(*address, shared, retry).await?;
        tracing::info!("{} listens at {} for ClickHouse HTTP", config.name, listener.local_addr()?);
        let (http_frontend, rules) = (frontend.clone(), Rc::new(rules.clone()));
        accept("http listener", tasks, listener, frontend, move |stream, connection| {
            clickhouse::serve(stream, connection, http_frontend.clone(), rules.clone())
        });
    }
    Ok(())
}

/// Listens at an address; a lack of descriptors or memory is retried for a while.
///
/// # Errors
/// It cannot be listened at.
pub(super) async fn bind(address: SocketAddr, shared: bool, retry: Duration) -> io::Result<TcpListener> {
    transient_errors::retry(retry, || bind_once(address, shared)).await
}

fn bind_once(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections in a task of its own.
fn accept<S, F>(name: TaskName, tasks: &Tasks, listener: TcpListener, frontend: &Rc<FrontendState>, serve: S)
where
    S: Fn(TcpStream, Rc<ClientConnection>) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let acceptor = Acceptor { frontend: frontend.clone(), serve, listener_guard: frontend.listener_guard() };
    tasks.spawn(name, acceptor.run(listener));
}

/// Since when connections may have been waiting in the system's queue: what they send arrives meanwhile.
#[derive(Debug, Default)]
struct ListenerQueue {
    waiting_since: Option<Instant>,
    backoff: Backoff,
}

impl ListenerQueue {
    /// Records that connections wait to be accepted since that time, at the earliest.
    fn set_waiting(&mut self, earliest: Instant) {
        self.waiting_since.get_or_insert(earliest);
    }

    /// Records that no connection waits to be accepted.
    fn set_empty(&mut self) {
        self.waiting_since = None;
    }

    /// When a connection that is accepted now arrived, at the earliest.
    fn arrived(&self, earliest: Instant) -> Instant {
        self.waiting_since.unwrap_or(earliest)
    }
}

/// Accepts the connections of one listener.
struct Acceptor<S> {
    frontend: Rc<FrontendState>,
    /// The front that serves a connection.
    serve: S,
    /// Held while further connections may be accepted.
    listener_guard: ListenerGuard,
}

impl<S, F> Acceptor<S>
where
    S: Fn(TcpStream, Rc<ClientConnection>) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    async fn run(self, listener: TcpListener) {
        let arrived = self.accept_until_closing(&listener).await;
        self.empty_backlog(listener, arrived).await;
    }

    /// Accepts connections until another process takes over or this one is about to end. A few may wait for a slot at once,
    /// so that one client that waits does not block others. Returns when the connections that wait now arrived, at the
    /// earliest.
    async fn accept_until_closing(&self, listener: &TcpListener) -> Instant {
        let mut stop_accepting = self.frontend.stop_accepting.subscribe();
        let mut queue = ListenerQueue::default();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = stop_accepting.wait_for(|stop| *stop) => return queue.arrived(self.earliest()),
                accepted = self.accept_one(listener, &mut queue) => accepted,
            };
            match accepted {
                (slot, Ok(stream)) => self.spawn(stream, slot, queue.arrived(self.earliest())),
                // Descriptors lack, or the client has disconnected: others may still be served.
                (_, Err(error)) => {
                    log::error_rate_limited("a connection cannot be accepted", &error);
                    sleep(queue.backoff.wait_to_accept(&error)).await;
                }
            }
        }
    }

    /// When a connection that is accepted now arrived, at the earliest: it may have arrived in a pause of the process.
    fn earliest(&self) -> Instant {
        self.frontend.pauses.earliest_arrival(Instant::now())
    }

    async fn accept_one(
        &self,
        listener: &TcpListener,
        queue: &mut ListenerQueue,
    ) -> (WaitingSlot, io::Result<TcpStream>) {
        let slots = self.frontend.waiting_slots.clone();
        let slot = if let Ok(slot) = slots.clone().try_acquire_owned() {
            Ok(slot)
        } else {
            queue.set_waiting(self.earliest());
            slots.acquire_owned().await
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = std::future::ready(()) => {
                queue.set_empty();
                listener.accept().await
            }
        };
        match accepted {
            Ok((stream, _)) => {
                queue.backoff.reset();
                (slot, Ok(stream))
            }
            Err(error) => {
                queue.set_waiting(self.earliest());
                (slot, Err(error))
            }
        }
    }

    /// Accepts the connections in the system's queue: they would be reset as the listener is closed. The listener is closed
    /// after the call that found the queue empty.
    async fn empty_backlog(&self, listener: TcpListener, arrived: Instant) {
        let deadline = Instant::now() + self.frontend.limits.max_wait_for_slot;
        let slots = self.frontend.waiting_slots.clone();
        let Ok(queue) = listener.into_std() else { return };
        let mut backoff = Backoff::default();
        loop {
            let Ok(slot) = timeout_at(deadline, slots.clone().acquire_owned()).await else {
                tracing::warn!(
                    "more connections came than could be taken before this process stopped listening"
                );
                return;
            };
            match queue.accept() {
                Ok((stream, _)) => {
                    backoff.reset();
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.spawn(stream, slot, arrived);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Connections may still be waiting behind this failure.
                Err(error) if Instant::now() < deadline => sleep(backoff.wait_to_accept(&error)).await,
                Err(error) => return tracing::warn!(%error, "waiting connections were not accepted"),
            }
        }
    }

    /// Serves a connection that arrived at that time, at the earliest.
    fn spawn(&self, stream: TcpStream, slot: WaitingSlot, arrived: Instant) {
        let (frontend, serve) = (self.frontend.clone(), self.serve.clone());
        let guard = self.listener_guard.clone();
        tokio::task::spawn_local(serve_when_admitted(stream, arrived, frontend, serve, slot, guard));
    }
}

/// Serves a connection, once it has a slot.
async fn serve_when_admitted<S, F>(
    stream: TcpStream,
    arrived: Instant,
    frontend: Rc<FrontendState>,
    serve: S,
    waiting_slot: WaitingSlot,
    _guard: ListenerGuard,
) where
    S: Fn(TcpStream, Rc<ClientConnection>) -> F,
    F: Future<Output = ()>,
{
    let Some(connection) = frontend.accept_connection().await else {
        return log::warn_rate_limited("a connection was closed: all others have requests open");
    };
    drop(waiting_slot);
    connection.set_arrived_at(arrived);
    let served = ServedConnection { frontend, connection };
    serve(stream, served.connection.clone()).await;
}

/// A connection that is served. Its slot is released however that ends, by a panic as well.
struct ServedConnection {
    frontend: Rc<FrontendState>,
    connection: Rc<ClientConnection>,
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.frontend.release_connection(&self.connection);
    }
}

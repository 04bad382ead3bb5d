//! Listeners for clients: each connection is served by a task of its own, as long as there is room for it.

use crate::config::Config;
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

/// Connections that may wait to be accepted: as many as the library's own listener takes.
const BACKLOG: u32 = 1024;

/// A place among the connections that wait for room.
type WaitingPlace = Result<OwnedSemaphorePermit, AcquireError>;

/// ListenerGuard for clients. Where a new version may take over, both listen at the same address.
///
/// # Errors
/// An address cannot be listened at.
pub async fn listen_to_clients(
    config: &Config,
    frontend: &Rc<FrontendState>,
    tasks: &Tasks,
) -> io::Result<()> {
    let shared = config.operator.is_some();
    let within = frontend.limits.bind_retry;
    let listener = bind(config.listen, shared, within).await?;
    tracing::info!("{} listens at {}", config.name, listener.local_addr()?);
    let thrift_desk = frontend.clone();
    accept("thrift listener", tasks, listener, frontend, move |stream, connection| {
        thrift::serve(stream, connection, thrift_desk.clone())
    });
    if let Some((at, rules)) = &config.clickhouse {
        let listener = bind(*at, shared, within).await?;
        tracing::info!("{} listens at {} for ClickHouse HTTP", config.name, listener.local_addr()?);
        let (http_desk, rules) = (frontend.clone(), Rc::new(rules.clone()));
        accept("http listener", tasks, listener, frontend, move |stream, connection| {
            clickhouse::serve(stream, connection, http_desk.clone(), rules.clone())
        });
    }
    Ok(())
}

/// ListenerGuard at an address; a moment without descriptors or memory does not fail it.
///
/// # Errors
/// It cannot be listened at.
pub async fn bind(at: SocketAddr, shared: bool, within: Duration) -> io::Result<TcpListener> {
    transient_errors::retry(within, || bind_once(at, shared)).await
}

fn bind_once(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Accepts connections in a task of its own.
fn accept<S, F>(name: TaskName, tasks: &Tasks, listener: TcpListener, frontend: &Rc<FrontendState>, serve: S)
where
    S: Fn(TcpStream, Rc<ClientConnection>) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let acceptor = Acceptor { frontend: frontend.clone(), serve, listens: frontend.listener_guard() };
    tasks.spawn(name, acceptor.run(listener));
}

/// Since when connections may lie in the listener's queue: what they send arrives meanwhile.
#[derive(Debug, Default)]
struct ListenerQueue {
    behind_since: Option<Instant>,
    backoff: Backoff,
}

impl ListenerQueue {
    /// Connections are not taken for the moment; those that wait came at that time, at the earliest.
    fn is_behind(&mut self, earliest: Instant) {
        self.behind_since.get_or_insert(earliest);
    }

    /// None is waiting.
    fn is_empty(&mut self) {
        self.behind_since = None;
    }

    /// When a connection that is accepted now came, at the earliest.
    fn arrived(&self, earliest: Instant) -> Instant {
        self.behind_since.unwrap_or(earliest)
    }
}

/// Accepts the connections of one listener.
struct Acceptor<S> {
    frontend: Rc<FrontendState>,
    /// The front that serves a connection.
    serve: S,
    /// Held while further connections may come.
    listens: ListenerGuard,
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

    /// Accepts connections until another process takes over or this one is about to end. A few may wait for room at once,
    /// so that one client that waits keeps out nobody for whom there is some. When those that wait now came, at the
    /// earliest.
    async fn accept_until_closing(&self, listener: &TcpListener) -> Instant {
        let mut closing = self.frontend.stop_accepting.subscribe();
        let mut queue = ListenerQueue::default();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = closing.wait_for(|closing| *closing) => return queue.arrived(self.earliest()),
                accepted = self.accept_one(listener, &mut queue) => accepted,
            };
            match accepted {
                (place, Ok(stream)) => self.spawn(stream, place, queue.arrived(self.earliest())),
                // Out of descriptors, or the client left again: others may still be served.
                (_, Err(e)) => {
                    log::seldom_error("a connection cannot be accepted", &e);
                    sleep(queue.backoff.wait_to_accept(&e)).await;
                }
            }
        }
    }

    /// When what arrives now came, at the earliest: it may have come in a pause of the process.
    fn earliest(&self) -> Instant {
        self.frontend.pauses.arrived(Instant::now())
    }

    async fn accept_one(
        &self,
        listener: &TcpListener,
        queue: &mut ListenerQueue,
    ) -> (WaitingPlace, io::Result<TcpStream>) {
        let places = self.frontend.waiting_slots.clone();
        let place = match places.clone().try_acquire_owned() {
            Ok(place) => Ok(place),
            Err(_) => {
                queue.is_behind(self.earliest());
                places.acquire_owned().await
            }
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = std::future::ready(()) => {
                queue.is_empty();
                listener.accept().await
            }
        };
        match accepted {
            Ok((stream, _)) => {
                queue.backoff.reset();
                (place, Ok(stream))
            }
            Err(e) => {
                queue.is_behind(self.earliest());
                (place, Err(e))
            }
        }
    }

    /// Accepts what lies in the queue of the listener: as the listener is closed, it would be reset. The listener is
    /// closed in the call after the one that found the queue empty.
    async fn empty_backlog(&self, listener: TcpListener, arrived: Instant) {
        let until = Instant::now() + self.frontend.limits.max_wait_for_slot;
        let waiting = self.frontend.waiting_slots.clone();
        let Ok(queue) = listener.into_std() else { return };
        let mut backoff = Backoff::default();
        loop {
            let Ok(place) = timeout_at(until, waiting.clone().acquire_owned()).await else {
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
                        self.spawn(stream, place, arrived);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Connections may still be waiting behind this failure.
                Err(e) if Instant::now() < until => sleep(backoff.wait_to_accept(&e)).await,
                Err(e) => return tracing::warn!("connections that waited were not accepted: {e}"),
            }
        }
    }

    /// Serves a connection that came at that time at the earliest.
    fn spawn(&self, stream: TcpStream, place: WaitingPlace, arrived: Instant) {
        let (frontend, serve, listens) = (self.frontend.clone(), self.serve.clone(), self.listens.clone());
        tokio::task::spawn_local(serve_when_admitted(stream, arrived, frontend, serve, place, listens));
    }
}

/// Serves a connection, once there is room for it.
async fn serve_when_admitted<S, F>(
    stream: TcpStream,
    arrived: Instant,
    frontend: Rc<FrontendState>,
    serve: S,
    place: WaitingPlace,
    _listens: ListenerGuard,
) where
    S: Fn(TcpStream, Rc<ClientConnection>) -> F,
    F: Future<Output = ()>,
{
    let Some(connection) = frontend.accept_connection().await else {
        return log::seldom("a connection was closed: all others have requests open");
    };
    drop(place);
    connection.set_arrived_at(arrived);
    let served = ServedSeat { frontend, connection };
    serve(stream, served.connection.clone()).await;
}

/// The place of a connection that is served. It is free again however that ends, by a panic as well.
struct ServedSeat {
    frontend: Rc<FrontendState>,
    connection: Rc<ClientConnection>,
}

impl Drop for ServedSeat {
    fn drop(&mut self) {
        self.frontend.release_connection(&self.connection);
    }
}

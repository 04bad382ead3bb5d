//! Listeners for clients. Each connection is served by its own task after it has obtained a connection slot.

use crate::config::{ClickHouseListener, Config};
use crate::net::connection::WorkShare;
use crate::net::front::{clickhouse, thrift, ClientConnection, FrontendState, ListenerGuard};
use crate::net::log;
use crate::net::tasks::{TaskName, Tasks};
use crate::net::transient_errors::{self, AcceptRetry};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{AcquireError, OwnedSemaphorePermit};
use tokio::time::{sleep, timeout_at, Instant};

/// Length of the kernel's queue of connections that are not accepted yet; the same value as tokio's default for listeners.
const BACKLOG: u32 = 1024;

/// An accepted connection.
struct Accepted {
    stream: TcpStream,
    /// Address of the client.
    peer: SocketAddr,
}

/// A permit for an accepted connection that waits for a connection slot; an error if the semaphore is closed.
type WaitingSlot = Result<OwnedSemaphorePermit, AcquireError>;

/// Listens for clients at all configured addresses. Where hot restart is possible, the old and the new process listen at the
/// same address (`SO_REUSEPORT`).
///
/// # Errors
/// Listening at one of the addresses fails.
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

/// Listens at an address. Failures for lack of descriptors or memory are retried for the time `retry`.
///
/// # Errors
/// Listening fails for another reason, or still fails after that time.
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

/// Starts a task that accepts the connections of a listener and serves each of them with `serve`.
fn accept<S, F>(name: TaskName, tasks: &Tasks, listener: TcpListener, frontend: &Rc<FrontendState>, serve: S)
where
    S: Fn(TcpStream, Rc<ClientConnection>) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let acceptor = Acceptor {
        frontend: frontend.clone(),
        serve,
        share: frontend.shared.scheduler.listener(),
        listener_guard: frontend.listener_guard(),
    };
    let share = acceptor.share.clone();
    tasks.spawn(name, share.run(acceptor.run(listener)));
}

/// Tracks since when connections may have been waiting in the kernel's accept queue. Their clients may already have sent
/// requests, and deadlines count from then.
#[derive(Debug)]
struct ListenerQueue {
    waiting_since: Option<Instant>,
    /// Time at which the accept queue was last found empty.
    empty_at: Instant,
    checkpoint: Option<QueueCheckpoint>,
    retry: AcceptRetry,
}

/// A time at which the accept queue held no more than its maximum. Connections that are accepted after as many others have arrived
/// later.
#[derive(Debug)]
struct QueueCheckpoint {
    at: Instant,
    /// Number of connections that may have been in the queue at that time and are not accepted yet.
    remaining: u32,
}

impl QueueCheckpoint {
    fn now() -> Self {
        Self { at: Instant::now(), remaining: BACKLOG + 1 }
    }
}

/// Times at which an accepted connection may have arrived.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// Earliest time, as far as pauses of the process are known. Deadlines count from then.
    from: Instant,
    /// Time before which the connection has certainly not arrived.
    after: Instant,
}

impl ListenerQueue {
    /// Creates the queue of a listener that begins to listen now.
    fn new() -> Self {
        Self {
            waiting_since: None,
            empty_at: Instant::now(),
            checkpoint: None,
            retry: AcceptRetry::default(),
        }
    }

    /// Records that connections may have been waiting to be accepted since `earliest`.
    fn set_waiting(&mut self, earliest: Instant) {
        self.waiting_since.get_or_insert(earliest);
        self.checkpoint.get_or_insert_with(QueueCheckpoint::now);
    }

    /// Records that the accept queue was empty at a time.
    fn set_empty(&mut self, at: Instant) {
        self.empty_at = at;
        self.waiting_since = None;
        self.checkpoint = None;
    }

    /// Records that a connection was accepted.
    fn count_accepted(&mut self) {
        let Some(checkpoint) = &mut self.checkpoint else { return };
        checkpoint.remaining -= 1;
        if checkpoint.remaining == 0 {
            self.waiting_since = Some(checkpoint.at);
            self.checkpoint = Some(QueueCheckpoint::now());
        }
    }

    /// Returns when a connection that is accepted now may have arrived; from `earliest` on if none had to wait.
    fn arrived(&self, earliest: Instant) -> Arrival {
        Arrival { from: self.waiting_since.unwrap_or(earliest), after: self.empty_at }
    }
}

/// Accepts the connections of one listener and starts a task for each.
struct Acceptor<S> {
    frontend: Rc<FrontendState>,
    /// Serves one connection with the listener's protocol.
    serve: S,
    /// Share of the accepting task in the event loop.
    share: Rc<WorkShare>,
    /// Signals, until dropped, that further connections may be accepted.
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

    /// Accepts connections until another process takes over or this one is about to exit. Several accepted connections may wait
    /// for a slot at the same time, so that one that waits does not block the others. Returns when connections that are still in the
    /// accept queue may have arrived.
    async fn accept_until_closing(&self, listener: &TcpListener) -> Arrival {
        let mut stop_accepting = self.frontend.stop_accepting.subscribe();
        let mut queue = ListenerQueue::new();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = stop_accepting.wait_for(|stop| *stop) => return queue.arrived(self.earliest_arrival()),
                accepted = self.accept_one(listener, &mut queue) => accepted,
            };
            match accepted {
                (slot, Ok(accepted)) => {
                    self.spawn(accepted, slot, queue.arrived(self.earliest_arrival()));
                }
                // No descriptor is available, or the client has disconnected: other connections can still be served.
                (_, Err(error)) => {
                    log::error_rate_limited("a connection cannot be accepted", &error);
                    wait_before_retry(queue.retry.delay_after(&error)).await;
                }
            }
        }
    }

    /// Earliest time at which a connection that is accepted now may have arrived; after a pause of the process, the start of
    /// the pause.
    fn earliest_arrival(&self) -> Instant {
        self.frontend.shared.pauses.earliest_arrival(Instant::now())
    }

    async fn accept_one(
        &self,
        listener: &TcpListener,
        queue: &mut ListenerQueue,
    ) -> (WaitingSlot, io::Result<Accepted>) {
        if !self.share.may_continue() {
            queue.set_waiting(self.earliest_arrival());
            self.share.turn().await;
        }
        let slots = self.frontend.waiting_slots.clone();
        let slot = if let Ok(slot) = slots.clone().try_acquire_owned() {
            Ok(slot)
        } else {
            queue.set_waiting(self.earliest_arrival());
            slots.acquire_owned().await
        };
        let checked_at = Instant::now();
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = std::future::ready(()) => {
                // Connections may be queued that the runtime has not noticed yet.
                if has_connections(listener) {
                    queue.set_waiting(self.earliest_arrival());
                } else {
                    queue.set_empty(checked_at);
                }
                listener.accept().await
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                queue.retry.reset();
                queue.count_accepted();
                (slot, Ok(Accepted { stream, peer }))
            }
            Err(error) => {
                queue.set_waiting(self.earliest_arrival());
                (slot, Err(error))
            }
        }
    }

    /// Accepts the connections that remain in the kernel's queue, since closing the listener would reset them. The listener is
    /// closed as soon as a call finds the queue empty, or after the maximum wait for a slot.
    async fn empty_backlog(&self, listener: TcpListener, arrived: Arrival) {
        let deadline = Instant::now() + self.frontend.limits.max_wait_for_slot;
        let slots = self.frontend.waiting_slots.clone();
        let Ok(queue) = listener.into_std() else { return };
        let mut retry = AcceptRetry::default();
        loop {
            self.share.turn().await;
            let Ok(slot) = timeout_at(deadline, slots.clone().acquire_owned()).await else {
                tracing::warn!(
                    "connections still in the accept queue were reset when this process stopped listening"
                );
                return;
            };
            match queue.accept() {
                Ok((stream, peer)) => {
                    retry.reset();
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.spawn(Accepted { stream, peer }, slot, arrived);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Further connections may still be in the queue after this failure.
                Err(error) if Instant::now() < deadline => {
                    wait_before_retry(retry.delay_after(&error)).await;
                }
                Err(error) => {
                    return tracing::warn!(%error, "connections in the accept queue were not accepted: closing the listener resets them")
                }
            }
        }
    }

    /// Starts a task that serves a connection.
    fn spawn(&self, accepted: Accepted, slot: WaitingSlot, arrived: Arrival) {
        let (frontend, serve) = (self.frontend.clone(), self.serve.clone());
        let guard = self.listener_guard.clone();
        let share = frontend.shared.scheduler.new_connection(accepted.peer);
        let served = serve_when_admitted(accepted, share.clone(), arrived, frontend, serve, slot, guard);
        // The measured task would hold a second copy of the state otherwise.
        tokio::task::spawn_local(share.run(Box::pin(served)));
    }
}

/// Waits before a failed call is retried. Without a delay it is retried in the same turn of the task.
async fn wait_before_retry(delay: Option<Duration>) {
    if let Some(delay) = delay {
        sleep(delay).await;
    }
}

/// Returns whether the accept queue of a listener holds connections. If the system call fails, it may.
fn has_connections(listener: &TcpListener) -> bool {
    const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut descriptors = [PollFd::new(listener, PollFlags::IN)];
    poll(&mut descriptors, Some(&NO_WAIT)).map_or(true, |ready| ready > 0)
}

/// Waits for a connection slot, and then serves the connection. Without a slot in time the connection is closed.
async fn serve_when_admitted<S, F>(
    Accepted { stream, peer }: Accepted,
    share: Rc<WorkShare>,
    arrived: Arrival,
    frontend: Rc<FrontendState>,
    serve: S,
    waiting_slot: WaitingSlot,
    _guard: ListenerGuard,
) where
    S: Fn(TcpStream, Rc<ClientConnection>) -> F,
    F: Future<Output = ()>,
{
    let Some(connection) = frontend.accept_connection(peer, share).await else {
        return log::warn_rate_limited("no connection slot became free in time: connection closed");
    };
    drop(waiting_slot);
    connection.progress.set_connected(arrived.after, arrived.from);
    let served = ServedConnection { frontend, connection };
    serve(stream, served.connection.clone()).await;
}

/// A connection that is being served. Its slot is released on drop, also if the serving task panics or is aborted.
struct ServedConnection {
    frontend: Rc<FrontendState>,
    connection: Rc<ClientConnection>,
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.frontend.release_connection(&self.connection);
    }
}

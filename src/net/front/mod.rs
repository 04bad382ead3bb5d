//! Fronts: they turn what clients ask into requests, and final answers into what clients read.

pub mod clickhouse;
mod client_connection;
pub mod rules;
pub mod thrift;

pub use client_connection::ClientConnection;

use crate::core::{Answer, ClientRequest, Event, ResultRows, Statement};
use crate::interface::{ClassId, DataSet, Milliseconds, RequestDetails, RequestId, Settings, TenantId};
use crate::limits::Limits;
use crate::net::clock::Clock;
use crate::net::connection::{SharedState, WriteQueue};
use crate::net::pause::PauseDetector;
use crate::net::sql;
use starlingplank_admin::metrics::Count;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc::Sender;
use tokio::sync::{watch, Notify, Semaphore};
use tokio::time::{timeout_at, Instant};

/// Who waits for an answer.
pub trait ResponseWriter {
    /// Passes on the first part of an answer.
    fn start(&self, rows: ResultRows);
    /// Passes on a further part.
    fn send_chunk(&self, bytes: Vec<u8>);
    /// Gives the final answer.
    fn finish(self: Box<Self>, answer: Answer);
}

/// Who waits for a request, and what it is.
type PendingRequest = (Box<dyn ResponseWriter>, Rc<Statement>);

/// What fronts share: where requests are handed in and answers given out.
pub struct FrontendState {
    /// The module's settings.
    pub settings: Rc<Settings>,
    /// The program's limits.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// Pauses of the process.
    pub pauses: PauseDetector,
    /// To the reducer.
    pub events: Sender<Event>,
    /// What all connections have in common.
    pub shared: Rc<SharedState>,
    /// How far this process is on its way out.
    shutdown_phase: Rc<Cell<ShutdownPhase>>,
    /// Nothing can be served before the list is heard.
    pub awaits_endpoint_list: Cell<bool>,
    /// Told when it stops listening.
    pub stop_accepting: watch::Sender<bool>,
    pending: RefCell<HashMap<RequestId, PendingRequest>>,
    /// Requests that are open, by their clients' names for them, over all connections.
    ids_by_name: RefCell<HashMap<String, RequestId>>,
    connections: RefCell<Vec<Rc<ClientConnection>>>,
    listener_guard: ListenerGuard,
    /// Places for connections for which room is awaited, over all listeners.
    pub waiting_slots: Arc<Semaphore>,
    connection_released: Notify,
    next_request_id: Cell<u64>,
}

/// Held by all that may still bring a connection: listeners, and connections for which room is awaited.
pub type ListenerGuard = Rc<()>;

/// How far a process is on its way out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// It serves.
    #[default]
    Serving,
    /// It was told to end, and nobody takes over: it serves on until its window is over.
    Draining,
    /// Another process takes over: a connection ends after its next answer.
    HandingOver,
    /// Connections that are idle end as well.
    ClosingIdle,
    /// Its window is over and nobody takes over: it listens no longer, and connections end as they are idle.
    Stopping,
}

impl FrontendState {
    /// Nobody waits yet.
    pub fn new(settings: Rc<Settings>, limits: Rc<Limits>, events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self {
            shared: SharedState::with_retry_budget(settings.classes.len(), settings.retry_budget),
            settings,
            waiting_slots: Arc::new(Semaphore::new(limits.max_waiting_connections)),
            limits,
            clock: Clock::start(),
            pauses: PauseDetector::new(Instant::now()),
            events,
            shutdown_phase: Rc::default(),
            awaits_endpoint_list: Cell::new(false),
            stop_accepting: watch::Sender::new(false),
            pending: RefCell::default(),
            ids_by_name: RefCell::default(),
            connections: RefCell::default(),
            listener_guard: ListenerGuard::default(),
            connection_released: Notify::new(),
            next_request_id: Cell::new(1),
        })
    }

    /// A place for a client's new connection. In a full house the connection that has been idle longest gives
    /// way: a new one is likely to bring a request, and its client waits for the answer. None: all have
    /// something open, for as long as the client can be left waiting.
    pub async fn accept_connection(&self) -> Option<Rc<ClientConnection>> {
        let until = Instant::now() + self.limits.max_wait_for_slot;
        while self.connections.borrow().len() >= self.shared.process_share(self.limits.max_client_connections)
        {
            let longest = self
                .connections
                .borrow()
                .iter()
                .filter(|s| !s.is_eviction_requested())
                .filter_map(|s| s.idle_since().map(|at| (at, s.clone())))
                .min_by_key(|x| x.0);
            let again = match longest {
                Some((at, connection)) if at.elapsed() >= self.limits.min_idle_before_eviction => {
                    // It looks first whether something has arrived; if so another one is asked.
                    connection.request_eviction();
                    Instant::now() + self.limits.min_idle_before_eviction
                }
                Some((at, _)) => at + self.limits.min_idle_before_eviction,
                // One may come to rest meanwhile.
                None => Instant::now() + self.limits.min_idle_before_eviction,
            };
            if timeout_at(again.min(until), self.connection_released.notified()).await.is_err()
                && Instant::now() >= until
            {
                return None;
            }
        }
        let out = Rc::new(WriteQueue::new(self.shared.clone()));
        let connection = Rc::new(ClientConnection::new(out, self.shutdown_phase.clone()));
        self.connections.borrow_mut().push(connection.clone());
        Some(connection)
    }

    /// A client's connection has ended.
    pub fn release_connection(&self, connection: &Rc<ClientConnection>) {
        self.connections.borrow_mut().retain(|s| !Rc::ptr_eq(s, connection));
        self.connection_released.notify_one();
    }

    /// This process goes one step further on its way out.
    pub fn enter_shutdown_phase(&self, how: ShutdownPhase) {
        let previous = self.shutdown_phase.replace(how);
        tracing::info!(?previous, phase = ?how, "shutdown phase changed");
        if !matches!(how, ShutdownPhase::Serving | ShutdownPhase::Draining) {
            self.stop_accepting.send_replace(true);
        }
        self.connections.borrow().iter().for_each(|connection| connection.write_queue.request_recheck());
    }

    /// How far it is.
    pub fn shutdown_phase(&self) -> ShutdownPhase {
        self.shutdown_phase.get()
    }

    /// Whether those who ask how this gateway does should go elsewhere. While another process takes over they need not:
    /// it listens at the same address.
    pub fn reports_unhealthy(&self) -> bool {
        matches!(self.shutdown_phase.get(), ShutdownPhase::Draining | ShutdownPhase::Stopping)
    }

    /// Something that may bring a connection.
    pub fn listener_guard(&self) -> ListenerGuard {
        self.listener_guard.clone()
    }

    /// Whether no client is connected, and none can come.
    pub fn has_no_connections(&self) -> bool {
        self.connections.borrow().is_empty() && Rc::strong_count(&self.listener_guard) == 1
    }

    /// Requests taken and not yet ended.
    pub fn pending_requests(&self) -> usize {
        self.pending.borrow().len()
    }

    /// When what is read now from a connection arrived, at the earliest.
    pub fn arrival_time(&self, connection: &ClientConnection) -> Milliseconds {
        let now = Instant::now();
        let arrived = self.pauses.arrived(now).min(connection.earliest_arrival().unwrap_or(now));
        let age = now.saturating_duration_since(arrived);
        self.clock.now() - age.as_secs_f64() * 1000.0
    }

    /// An id for a request that is about to be taken.
    pub fn allocate_request_id(&self) -> RequestId {
        let id = self.next_request_id.get();
        self.next_request_id.set(id + 1);
        RequestId(id)
    }

    /// Hands in a request whose client waits up to `limit`.
    pub async fn submit(&self, id: RequestId, client: Box<dyn ResponseWriter>, asked: ReceivedRequest) {
        let data = sql::table_group(&asked.statement.text).map(DataSet);
        let details = RequestDetails {
            id,
            class: asked.class,
            tenant: asked.tenant,
            key: None,
            deadline: asked.arrived + asked.limit,
            work: asked.work.filter(|w| *w > 0.0),
            memory_mb: asked.memory_mb.filter(|m| *m > 0.0),
            data,
            is_retry: asked.is_retry,
        };
        let statement = Rc::new(asked.statement);
        // From here on nothing is waited for: a connection that ends meanwhile leaves no half-taken request behind.
        let Ok(event) = self.events.reserve().await else { return };
        self.shared.count_request();
        self.ids_by_name.borrow_mut().insert(statement.name.clone(), id);
        self.pending.borrow_mut().insert(id, (client, statement.clone()));
        let request = ClientRequest { details, statement };
        event.send(Event::RequestReceived(request));
    }

    /// The open request with that name. Two under one name could not be told apart at their engines.
    pub fn open_request_named(&self, name: &str) -> Option<RequestId> {
        self.ids_by_name.borrow().get(name).copied()
    }

    fn remove_pending(&self, id: RequestId) -> Option<Box<dyn ResponseWriter>> {
        let (client, statement) = self.pending.borrow_mut().remove(&id)?;
        self.ids_by_name.borrow_mut().remove(&statement.name);
        Some(client)
    }

    /// Withdraws a request whose client no longer waits.
    pub async fn withdraw(&self, id: RequestId) {
        // The reducer hears of it, also where the connection ends while this waits.
        let Ok(event) = self.events.reserve().await else { return };
        if self.remove_pending(id).is_some() {
            event.send(Event::ClientDisconnected(id));
        }
    }

    /// Passes on the first part of an answer.
    pub fn start_response(&self, id: RequestId, rows: ResultRows) {
        self.pending.borrow().get(&id).into_iter().for_each(|(c, _)| c.start(rows.clone()));
    }

    /// Passes on a further part.
    pub fn send_chunk(&self, id: RequestId, bytes: Vec<u8>) {
        if let Some((client, _)) = self.pending.borrow().get(&id) {
            client.send_chunk(bytes);
        }
    }

    /// Gives the final answer.
    pub fn finish_response(&self, id: RequestId, answer: Answer) {
        self.remove_pending(id).into_iter().for_each(|c| c.finish(answer.clone()));
    }
}

/// Under which figure an answer is counted.
pub fn count_of_answer(answer: &Answer) -> Count {
    match answer {
        Answer::Served(_) | Answer::Finished => Count::Answered,
        Answer::Rejected(_) => Count::Deferred,
        Answer::Cut | Answer::Failed(_) | Answer::Expired => Count::Errored,
    }
}

/// What a front read from a client.
pub struct ReceivedRequest {
    /// Its class.
    pub class: ClassId,
    /// Whose it is, where the settings name tenants.
    pub tenant: Option<TenantId>,
    /// When its last byte was read.
    pub arrived: Milliseconds,
    /// How long the client waits.
    pub limit: Milliseconds,
    /// Guess of its work.
    pub work: Option<Milliseconds>,
    /// Guess of its memory.
    pub memory_mb: Option<f64>,
    /// The client marks it as its own retry.
    pub is_retry: bool,
    /// What is to be run.
    pub statement: Statement,
}

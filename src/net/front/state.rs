//! State shared by all client protocols: pending requests, client connections and the shutdown phase.

use crate::core::{Answer, ClientRequest, Event, ResultRows, Statement};
use crate::interface::{DataSet, Milliseconds, RequestDetails, RequestId, Settings};
use crate::limits::Limits;
use crate::net::clock::Clock;
use crate::net::connection::{SharedState, WorkShare, WriteQueue};
use crate::net::front::client_connection::{ClientConnection, Evictable};
use crate::net::front::close_reason::CloseCounters;
use crate::net::front::requests::{ReceivedRequest, ResponseWriter};
use crate::net::front::shutdown_phase::ShutdownPhase;
use crate::net::recent_names::RecentNames;
use crate::net::sql;
use crate::net::wait_profile::Resource;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc::Sender;
use tokio::sync::{watch, Notify, Semaphore};
use tokio::time::{timeout_at, Instant};

/// Maximum number of request names that are remembered, to send a name that is used again under another one.
const MAX_RECENT_NAMES: usize = 4096;

/// A request that has no final answer yet.
struct PendingRequest {
    /// Name that the client gave the request.
    name: String,
    response_writer: Box<dyn ResponseWriter>,
    statement: Rc<Statement>,
    /// Time under which the request is counted in the retry budget; `None` once its client has withdrawn it.
    counted_at: Cell<Option<Milliseconds>>,
}

/// State shared by all client protocols. Owns the pending requests and the list of client connections.
pub struct FrontendState {
    /// Settings of the decision module.
    pub settings: Rc<Settings>,
    /// Resource limits and timeouts of the gateway.
    pub limits: Rc<Limits>,
    /// Clock of the gateway, in which arrival times and deadlines are given.
    pub clock: Clock,
    /// Queue of events for the reducer.
    pub events: Sender<Event>,
    /// State shared by all connections, of clients and to engines.
    pub shared: Rc<SharedState>,
    shutdown_phase: Rc<Cell<ShutdownPhase>>,
    /// Whether the first endpoint list is still awaited. Until then no request can be served, and health checks fail.
    pub awaits_endpoint_list: Cell<bool>,
    /// True once listeners must stop accepting connections.
    pub stop_accepting: watch::Sender<bool>,
    pending: RefCell<HashMap<RequestId, PendingRequest>>,
    /// Ids of the pending requests of all connections, by the names that the clients gave them.
    ids_by_name: RefCell<HashMap<String, RequestId>>,
    /// Names that clients over HTTP have used recently.
    recent_names: RefCell<RecentNames>,
    connections: RefCell<Vec<Rc<ClientConnection>>>,
    /// Numbers of client connections that ended, by reason.
    pub close_counters: Rc<CloseCounters>,
    listener_guard: ListenerGuard,
    /// Slots for accepted connections that are not served yet, for all listeners together.
    pub waiting_slots: Arc<Semaphore>,
    /// Notified when a client connection has been released.
    connection_released: Notify,
    next_request_id: Cell<u64>,
}

/// Counts the bytes of a statement as incoming memory until it is dropped, or until the reducer takes the request.
struct SubmittedMemory<'a> {
    shared: &'a SharedState,
    bytes: usize,
}

impl<'a> SubmittedMemory<'a> {
    fn count(shared: &'a SharedState, statement: &Statement) -> Self {
        let bytes = statement.bytes();
        shared.incoming.add_submitted(bytes);
        Self { shared, bytes }
    }

    /// Leaves the bytes counted, until [`FrontendState::request_taken`] removes them.
    fn pass_on(mut self) {
        self.bytes = 0;
    }
}

impl Drop for SubmittedMemory<'_> {
    fn drop(&mut self) {
        self.shared.incoming.remove_submitted(self.bytes);
    }
}

/// Reference held by everything that may still add a client connection: listeners, and accepted connections that wait
/// for a slot.
pub type ListenerGuard = Rc<()>;

impl FrontendState {
    /// Creates a state without requests or connections. Request ids start at 1.
    pub fn new(settings: Rc<Settings>, limits: Rc<Limits>, events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self {
            shared: SharedState::with_retry_budget(settings.classes.len(), settings.retry_budget),
            settings,
            waiting_slots: Arc::new(Semaphore::new(limits.max_waiting_connections)),
            limits,
            clock: Clock::start(),
            events,
            shutdown_phase: Rc::default(),
            awaits_endpoint_list: Cell::new(false),
            stop_accepting: watch::Sender::new(false),
            pending: RefCell::default(),
            ids_by_name: RefCell::default(),
            recent_names: RefCell::new(RecentNames::new(MAX_RECENT_NAMES)),
            connections: RefCell::default(),
            close_counters: Rc::default(),
            listener_guard: ListenerGuard::default(),
            connection_released: Notify::new(),
            next_request_id: Cell::new(1),
        })
    }

    /// Registers the new connection of the client at the address `peer`, which is served by a task with this share. If all slots are in use, a connection that is idle, was rejected or has stopped inside a message is evicted,
    /// because a new one is likely to send a request whose client waits for the answer. Returns `None` if no slot is
    /// released within `max_wait_for_slot`.
    pub async fn accept_connection(
        &self,
        peer: SocketAddr,
        share: Rc<WorkShare>,
    ) -> Option<Rc<ClientConnection>> {
        let deadline = Instant::now() + self.limits.max_wait_for_slot;
        let wait = self.shared.waits.begin(Resource::Slot);
        while !self.has_free_slot() {
            let next_check = self.request_eviction();
            let released = timeout_at(next_check.min(deadline), self.connection_released.notified()).await;
            if released.is_err() && Instant::now() >= deadline {
                return None;
            }
        }
        drop(wait);
        let write_queue = WriteQueue::for_client(self.shared.clone(), share.clone());
        let (phase, counters) = (self.shutdown_phase.clone(), self.close_counters.clone());
        let connection = Rc::new(ClientConnection::new(peer, share, write_queue, phase, counters));
        self.connections.borrow_mut().push(connection.clone());
        Some(connection)
    }

    fn has_free_slot(&self) -> bool {
        self.connections.borrow().len() < self.shared.process_share(self.limits.max_client_connections)
    }

    /// Requests the eviction of one connection, if one may be evicted now. Returns the time of the next check.
    fn request_eviction(&self) -> Instant {
        let next_check = Instant::now() + self.limits.min_idle_before_eviction;
        match self.first_evictable() {
            Some((evictable, connection)) if evictable.from <= Instant::now() => {
                // The connection first checks whether a request has arrived; if so, the next check chooses another connection.
                connection.request_eviction();
                next_check
            }
            Some((evictable, _)) => evictable.from.min(next_check),
            // A connection may become idle within this time.
            None => next_check,
        }
    }

    /// Returns the connection that is evicted first, among those whose eviction has not been requested: of those that may be evicted now, the
    /// one of the first kind that has been evictable for longest; else the one that may be evicted next.
    fn first_evictable(&self) -> Option<(Evictable, Rc<ClientConnection>)> {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let candidates = connections.iter().filter(|connection| !connection.is_eviction_requested());
        let evictable = candidates
            .filter_map(|connection| Some((connection.evictable(&self.limits)?, connection.clone())));
        evictable.min_by_key(|(evictable, _)| (evictable.from.max(now), *evictable))
    }

    /// Releases the slot of a client connection that has ended.
    pub fn release_connection(&self, ended: &Rc<ClientConnection>) {
        self.connections.borrow_mut().retain(|connection| !Rc::ptr_eq(connection, ended));
        self.connection_released.notify_one();
    }

    /// Enters a later phase of the shutdown. All connections check whether they have to close.
    pub fn enter_shutdown_phase(&self, phase: ShutdownPhase) {
        let previous = self.shutdown_phase.replace(phase);
        tracing::info!(?previous, ?phase, "shutdown phase changed");
        if !phase.keeps_connections() {
            self.stop_accepting.send_replace(true);
        }
        for connection in self.connections.borrow().iter() {
            connection.write_queue.request_recheck();
        }
    }

    /// Returns the current phase of the shutdown.
    pub fn shutdown_phase(&self) -> ShutdownPhase {
        self.shutdown_phase.get()
    }

    /// Returns a guard for an object that may still add a client connection.
    pub fn listener_guard(&self) -> ListenerGuard {
        self.listener_guard.clone()
    }

    /// Returns whether no client is connected and none can connect any more.
    pub fn has_no_connections(&self) -> bool {
        self.connections.borrow().is_empty() && Rc::strong_count(&self.listener_guard) == 1
    }

    /// Returns the number of requests that have no final answer yet.
    pub fn pending_requests(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Returns the earliest time at which an event that is observed now may have happened: the process may have been paused
    /// since.
    pub fn earliest_arrival(&self) -> Milliseconds {
        self.clock.at(self.shared.pauses.earliest_arrival(Instant::now()))
    }

    /// Returns the earliest time at which the message that is handled now may have arrived on a connection: possibly while the process
    /// was paused, while the connection waited to be accepted, or while it was not read.
    pub fn arrival_time(&self, connection: &ClientConnection) -> Milliseconds {
        let now = Instant::now();
        self.clock.at(self.shared.pauses.earliest_arrival(now).min(connection.earliest_arrival(now)))
    }

    /// Returns a new id for a request that is about to be submitted.
    pub fn allocate_request_id(&self) -> RequestId {
        let id = self.next_request_id.get();
        self.next_request_id.set(id + 1);
        RequestId(id)
    }

    /// Submits a request to the reducer and records it as pending.
    pub async fn submit(
        &self,
        id: RequestId,
        response_writer: Box<dyn ResponseWriter>,
        received: ReceivedRequest,
    ) {
        let details = RequestDetails {
            id,
            class: received.class,
            tenant: received.tenant,
            key: None,
            deadline: received.arrived_at + received.max_wait,
            work: received.work.filter(|work| *work > 0.0),
            memory_mb: received.memory_mb.filter(|memory| *memory > 0.0),
            data: sql::table_group(&received.statement.text).map(DataSet),
            is_retry: received.is_retry,
        };
        let statement = Rc::new(received.statement);
        let memory = SubmittedMemory::count(&self.shared, &statement);
        // Nothing is awaited from here on, so that a connection that ends cannot leave a partly submitted request.
        let Ok(event) = self.events.reserve().await else { return };
        memory.pass_on();
        let counted_at = Cell::new(Some(self.shared.count_request()));
        self.ids_by_name.borrow_mut().insert(received.name.clone(), id);
        let pending =
            PendingRequest { name: received.name, response_writer, statement: statement.clone(), counted_at };
        self.pending.borrow_mut().insert(id, pending);
        event.send(Event::RequestReceived(ClientRequest { details, statement }));
    }

    /// Records that the reducer takes a submitted request, whose statement it counts from now on.
    pub fn request_taken(&self, request: &ClientRequest) {
        self.shared.incoming.remove_submitted(request.statement.bytes());
    }

    /// Returns the name under which a request is sent to engines: the client's, or a new one if the client's was used recently,
    /// as a late copy of the earlier response would have the same name.
    pub fn engine_name(&self, name: &str, id: RequestId) -> String {
        let mut recent_names = self.recent_names.borrow_mut();
        if recent_names.contains(name) {
            return format!("{name}-r{}", id.0);
        }
        recent_names.insert(name);
        name.to_owned()
    }

    /// Returns the pending request with this name. Names must be unique among the pending requests, as engines identify an
    /// attempt by the name of its request.
    pub fn open_request_named(&self, name: &str) -> Option<RequestId> {
        self.ids_by_name.borrow().get(name).copied()
    }

    fn remove_pending(&self, id: RequestId) -> Option<Box<dyn ResponseWriter>> {
        let removed = self.pending.borrow_mut().remove(&id)?;
        self.ids_by_name.borrow_mut().remove(&removed.name);
        Some(removed.response_writer)
    }

    /// Records that the clients of these requests have disconnected or cancelled them: no attempt of them may be sent any more,
    /// and they add nothing to the retry budget.
    pub fn abandon(&self, ids: &[RequestId]) {
        let pending = self.pending.borrow();
        for request in ids.iter().filter_map(|id| pending.get(id)) {
            request.statement.abandon();
            if let Some(counted_at) = request.counted_at.take() {
                self.shared.remove_request(counted_at);
            }
        }
    }

    /// Withdraws a request whose client has disconnected or cancelled it, and notifies the reducer.
    pub async fn withdraw(&self, id: RequestId) {
        self.abandon(&[id]);
        // The request stays pending until the event can be sent, so that the reducer is notified even if the connection ends
        // during this wait.
        let Ok(event) = self.events.reserve().await else { return };
        if self.remove_pending(id).is_some() {
            event.send(Event::ClientDisconnected(id));
        }
    }

    /// Writes the start of a streamed response and the rows collected so far.
    pub fn start_response(&self, id: RequestId, rows: ResultRows) {
        if let Some(pending) = self.pending.borrow().get(&id) {
            pending.response_writer.start(rows);
        }
    }

    /// Writes the next chunk of a streamed response.
    pub fn send_chunk(&self, id: RequestId, bytes: Vec<u8>) {
        if let Some(pending) = self.pending.borrow().get(&id) {
            pending.response_writer.send_chunk(bytes);
        }
    }

    /// Writes the final answer and removes the request from the pending ones.
    pub fn finish_response(&self, id: RequestId, answer: Answer) {
        if let Some(response_writer) = self.remove_pending(id) {
            response_writer.finish(answer);
        }
    }
}

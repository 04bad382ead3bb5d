//! The limits of the program: every size, count and time, read once at the start and passed down.

use crate::interface::Milliseconds;
use crate::simulator::{Fields, LineError};
use rustix::process::{getrlimit, Resource};
use starlingplank_pacing::poll_schedule;
use starlingplank_service_discovery::flows::MAX_FLOWS;
use std::time::Duration;

/// The limits of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Clients' connections at most.
    pub max_client_connections: usize,
    /// Connections to all engines at most.
    pub max_engine_connections: usize,
    /// Requests open on one client connection at most.
    pub max_open_per_connection: usize,
    /// Requests held open in all.
    pub max_open_requests: usize,
    /// Bytes of one message, or of one HTTP body, at most.
    pub max_message_bytes: usize,
    /// Bytes of one HTTP head at most.
    pub max_head_bytes: usize,
    /// Bytes of a result that are held before any are passed on, or at most where it is passed on whole.
    pub max_result_bytes: usize,
    /// Bytes that are queued for one peer; one that lets more pile up is disconnected.
    pub max_write_queue_bytes: usize,
    /// Bytes of statements and results held in all.
    pub max_buffered_bytes: usize,
    /// Read from a socket at a time.
    pub read_chunk_bytes: usize,
    /// Slices handed to one gathered write.
    pub max_gathered_slices: usize,
    /// Events waiting for the reducer.
    pub event_queue_capacity: usize,
    /// Attempts that one engine connection carries.
    pub max_attempts_per_connection: usize,
    /// Attempts on one engine connection from which a further connection is opened, if the limits allow it: an attempt
    /// that breaks or resets its connection ends all others on it.
    pub preferred_attempts_per_connection: usize,
    /// An engine that stops inside a reply, or does not send a page, is waited for no longer than this.
    pub engine_stall_timeout: Duration,
    /// How long listening at an address is retried while descriptors or memory lack.
    pub bind_retry: Duration,
    /// How long a folder that takes no writes at the start is retried.
    pub disk_retry: Duration,
    /// A connection to an engine that is not established by then has failed.
    pub connect_timeout: Duration,
    /// Idle engine connections are closed after this: a little before the engine closes them.
    pub engine_idle_timeout: Duration,
    /// A client connection without an open request is closed after this.
    pub client_idle_timeout: Duration,
    /// A client connection that was never answered and has no open request, or that stops inside a message, is closed after
    /// this.
    pub client_silence_timeout: Duration,
    /// A message that arrives in pieces must be complete so long after its first byte.
    pub client_message_timeout: Duration,
    /// No client connection is evicted before it has been idle this long.
    pub min_idle_before_eviction: Duration,
    /// A new client connection that gets no slot by then is closed.
    pub max_wait_for_slot: Duration,
    /// A connection that this side closes is read for so long, so that what was written is not lost by a reset.
    pub close_linger: Duration,
    /// Client connections that may wait for a slot at once; further ones wait to be accepted.
    pub max_waiting_connections: usize,
    /// Time between maintenance ticks of the connections to engines.
    pub maintenance_interval: Duration,
    /// A timer that is late by more than this is logged as a pause of the process.
    pub pause_threshold: Milliseconds,
    /// A health check without a reply by then has failed ...
    pub health_check_timeout: Milliseconds,
    /// ... and its connection is checked for silence.
    pub health_check_connection_timeout: Duration,
    /// Time between two decision cycles where nothing waits for the second, or cycles take much time.
    pub decision_interval: Milliseconds,
    /// Share of the time that decision cycles in between may take ...
    pub decision_time_share: f64,
    /// ... and how much of it may accumulate.
    pub max_decision_credit: Milliseconds,
    /// Time before a deadline that is reserved for writing the answer.
    pub answer_margin: Milliseconds,
    /// Time after which attempts on an engine that the name service removed are aborted.
    pub removed_engine_grace: Milliseconds,
    /// The longest interval at which a name service that answers only some questions is polled.
    pub slowest_poll_interval: Milliseconds,
    /// Flows to the name service at most.
    pub max_discovery_flows: usize,
    /// Bytes of a datagram of the name service at most.
    pub max_datagram_bytes: usize,
    /// After SIGTERM, new requests are accepted for at least this long.
    pub shutdown_accept_window: Milliseconds,
    /// After SIGTERM, open requests are answered by then.
    pub shutdown_answer_deadline: Milliseconds,
    /// A record of a keyed send that is not durable by then has failed.
    pub record_timeout: Milliseconds,
    /// Time between maintenance ticks of the idempotency log.
    pub log_maintenance_interval: Duration,
    /// Time for the last snapshot to be written.
    pub final_snapshot_timeout: Duration,
    /// Where another process takes over, idle client connections are closed so long after SIGTERM.
    pub hot_restart_idle_after: Duration,
    /// Time for connections to be closed after the last answer.
    pub connection_close_wait: Duration,
    /// Where another process takes over, open requests are answered by then after SIGTERM.
    pub hot_restart_answer_deadline: Milliseconds,
    /// Operators' connections at once; the one that has been incomplete longest is closed for the next.
    pub max_admin_connections: usize,
    /// A call of an operator that is incomplete by then is rejected.
    pub admin_call_timeout: Duration,
    /// How long the rest of a rejected call is read and discarded, so that its answer is not lost by a reset.
    pub admin_discard_timeout: Duration,
    /// Time between polls of the other processes of this gateway.
    pub peer_poll_interval: Duration,
    /// A successor waits no longer than this for the learned state of its predecessor.
    pub inherited_state_wait: Duration,
    /// Bytes of learned state that are passed on to a successor at most.
    pub max_inherited_state_bytes: usize,
}

/// The share of the time from SIGTERM to SIGKILL that is left when open requests are answered: for the last answers, the close of
/// connections, and a process that gets little time from its machine.
const SHUTDOWN_MARGIN_SHARE: f64 = 1.0 / 6.0;
/// That time at least.
const MIN_SHUTDOWN_MARGIN: Milliseconds = 400.0;
/// SIGKILL follows SIGTERM by the longest deadline and this time at the earliest.
const KILL_DELAY: Milliseconds = 700.0;
/// The longest deadline that SIGKILL waits for.
const MAX_KILL_WAIT: Milliseconds = 3_000.0;
/// The longest deadline that SIGKILL waits for where another process takes over.
const MAX_HOT_RESTART_KILL_WAIT: Milliseconds = 5_000.0;

/// Descriptors that are reserved, so that no number of clients or engines can take them: standard streams, the event queue,
/// signals, listeners, two sockets of the name service, files of keys and of other processes.
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors that are used for connections at least.
const MIN_SOCKETS: usize = 16;
/// One further socket of the name service is used for so many descriptors that are not reserved.
const SOCKETS_PER_FLOW: usize = 10;
/// Flows to the name service that every process may have.
const MIN_FLOWS: usize = 2;
/// The largest payload of a datagram over IPv4, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Share of the memory that buffers may take.
const BUFFERED_SHARE: f64 = 0.4;
/// Share of the time after which an engine closes an idle connection that this side keeps it open.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// Most requests that may be open, whatever the settings say.
const MAX_OPEN_REQUESTS: f64 = 20_000.0;
/// Longest time for a record of a keyed send to be durable, whatever the settings say.
const MAX_RECORD_TIMEOUT: Milliseconds = 250.0;

/// Descriptors of the machine where the settings do not name them.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Memory of the machine where the settings do not name it.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Attempts on one engine connection where the settings do not name them.
const DEFAULT_ATTEMPTS_PER_CONNECTION: f64 = 32.0;
/// Timeout of connections to engines where the settings do not name it.
const DEFAULT_CONNECT_TIMEOUT: Milliseconds = 250.0;
/// Time after which an engine closes an idle connection, where the settings do not name it.
const DEFAULT_ENGINE_CLOSES_IDLE_AFTER: Milliseconds = 15_000.0;
/// Tick of the decision module where the settings do not name it.
const DEFAULT_TICK: Milliseconds = 1.0;
/// Shortest time between two decision cycles.
const MIN_DECISION_INTERVAL: Milliseconds = 2.0;
/// Longest time between two decision cycles.
const MAX_DECISION_INTERVAL: Milliseconds = 5.0;

/// A duration of at least 1 ms and at most an hour.
fn duration(milliseconds: Milliseconds) -> Duration {
    Duration::from_secs_f64((milliseconds / 1000.0).clamp(0.001, 3600.0))
}

/// Descriptors for connections: those of the settings, as far as the system grants them, without the reserved ones.
fn usable_sockets(configured: f64) -> usize {
    let granted = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    (configured as usize).min(granted).saturating_sub(RESERVED_DESCRIPTORS).max(MIN_SOCKETS)
}

/// When open requests are answered after SIGTERM, which SIGKILL follows by that wait and [`KILL_DELAY`].
fn answer_deadline(wait: Milliseconds) -> Milliseconds {
    let kill_after = wait + KILL_DELAY;
    kill_after - (kill_after * SHUTDOWN_MARGIN_SHARE).max(MIN_SHUTDOWN_MARGIN)
}

impl Limits {
    /// The same limits with the shutdown deadlines of a gateway whose longest deadline is `longest_deadline`. SIGKILL
    /// follows SIGTERM by that time, bounded, and 0.7 s; open requests are answered before.
    #[must_use]
    pub fn with_shutdown_deadlines(self, longest_deadline: Milliseconds) -> Self {
        let answer_deadline = |max_wait: Milliseconds| answer_deadline(longest_deadline.min(max_wait));
        Self {
            shutdown_answer_deadline: answer_deadline(MAX_KILL_WAIT),
            hot_restart_answer_deadline: answer_deadline(MAX_HOT_RESTART_KILL_WAIT),
            ..self
        }
    }

    /// The limits of the machine and of the settings; the others have their defaults.
    ///
    /// # Errors
    /// The first value that cannot be read.
    pub fn read(fields: &Fields) -> Result<Self, LineError> {
        let sockets = usable_sockets(fields.number_or("machine.sockets", DEFAULT_SOCKETS)?);
        let memory_bytes = fields.number_or("machine.memory_mb", DEFAULT_MEMORY_MB)? * 1024.0 * 1024.0;
        let open_requests = fields.number_or("limits.max_open", MAX_OPEN_REQUESTS)?;
        let attempts = fields.number_or("limits.streams_per_conn", DEFAULT_ATTEMPTS_PER_CONNECTION)?;
        let connect_timeout = fields.number_or("limits.connect_timeout", DEFAULT_CONNECT_TIMEOUT)?;
        let idle_close = fields.number_or("limits.idle_close", DEFAULT_ENGINE_CLOSES_IDLE_AFTER)?;
        let tick = fields.number_or("tick", DEFAULT_TICK)?;
        let slowest_poll_interval =
            fields.number_or("pacing.list_slowest", poll_schedule::STEADY_INTERVAL)?;
        let record_timeout = fields.number_or("knowledge.key_wait", MAX_RECORD_TIMEOUT)?;
        Ok(Self {
            max_open_requests: open_requests.clamp(1.0, MAX_OPEN_REQUESTS) as usize,
            max_attempts_per_connection: attempts.max(1.0) as usize,
            connect_timeout: duration(connect_timeout),
            engine_idle_timeout: duration(idle_close * IDLE_TIMEOUT_SHARE),
            decision_interval: tick.clamp(MIN_DECISION_INTERVAL, MAX_DECISION_INTERVAL),
            slowest_poll_interval,
            record_timeout: record_timeout.clamp(1.0, MAX_RECORD_TIMEOUT),
            ..Self::of_machine(sockets, memory_bytes)
        })
    }

    /// The limits of a machine; those that settings may override have their defaults.
    fn of_machine(sockets: usize, memory_bytes: f64) -> Self {
        Self {
            max_client_connections: sockets * 60 / 100,
            max_engine_connections: sockets * 25 / 100,
            max_open_per_connection: 32,
            max_open_requests: MAX_OPEN_REQUESTS as usize,
            max_message_bytes: 1 << 20,
            max_head_bytes: 16 << 10,
            max_result_bytes: 64 << 10,
            max_write_queue_bytes: 2 << 20,
            max_buffered_bytes: (memory_bytes * BUFFERED_SHARE) as usize,
            read_chunk_bytes: 16 << 10,
            max_gathered_slices: 64,
            event_queue_capacity: 1024,
            max_attempts_per_connection: DEFAULT_ATTEMPTS_PER_CONNECTION as usize,
            preferred_attempts_per_connection: 4,
            engine_stall_timeout: duration(500.0),
            bind_retry: duration(3_000.0),
            disk_retry: duration(3_000.0),
            connect_timeout: duration(DEFAULT_CONNECT_TIMEOUT),
            engine_idle_timeout: duration(DEFAULT_ENGINE_CLOSES_IDLE_AFTER * IDLE_TIMEOUT_SHARE),
            client_idle_timeout: duration(60_000.0),
            client_silence_timeout: duration(1_500.0),
            client_message_timeout: duration(6_000.0),
            min_idle_before_eviction: duration(50.0),
            max_wait_for_slot: duration(1_000.0),
            close_linger: duration(250.0),
            max_waiting_connections: (sockets / 20).clamp(2, 64),
            maintenance_interval: duration(250.0),
            pause_threshold: 50.0,
            health_check_timeout: 300.0,
            health_check_connection_timeout: duration(300.0),
            decision_interval: MIN_DECISION_INTERVAL,
            decision_time_share: 0.2,
            max_decision_credit: 5.0,
            answer_margin: 20.0,
            removed_engine_grace: 200.0,
            slowest_poll_interval: poll_schedule::STEADY_INTERVAL,
            max_discovery_flows: (sockets / SOCKETS_PER_FLOW).clamp(MIN_FLOWS, MAX_FLOWS),
            max_datagram_bytes: MAX_DATAGRAM_BYTES,
            shutdown_accept_window: 800.0,
            shutdown_answer_deadline: answer_deadline(MAX_KILL_WAIT),
            record_timeout: MAX_RECORD_TIMEOUT,
            log_maintenance_interval: duration(1_000.0),
            final_snapshot_timeout: duration(500.0),
            hot_restart_idle_after: duration(1_000.0),
            hot_restart_answer_deadline: answer_deadline(MAX_HOT_RESTART_KILL_WAIT),
            connection_close_wait: duration(250.0),
            max_admin_connections: (sockets / 20).clamp(4, 64),
            admin_call_timeout: duration(8_000.0),
            admin_discard_timeout: duration(500.0),
            peer_poll_interval: duration(100.0),
            inherited_state_wait: duration(400.0),
            max_inherited_state_bytes: 1 << 20,
        }
    }
}

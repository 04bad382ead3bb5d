//! Limits of the program: sizes, counts and times. They are read from the settings once at the start.

mod memory;

use crate::interface::Milliseconds;
use crate::simulator::{Fields, LineError};
use memory::MemoryConsumers;
pub use memory::MemoryLimits;
use rustix::process::{getrlimit, Resource};
use starlingplank_pacing::poll_schedule;
use starlingplank_service_discovery::flows::MAX_FLOWS;
use std::time::Duration;

/// Limits of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum number of client connections.
    pub max_client_connections: usize,
    /// Maximum number of connections to all engines together.
    pub max_engine_connections: usize,
    /// Maximum number of open requests on one client connection.
    pub max_open_per_connection: usize,
    /// Maximum number of open requests on all client connections together.
    pub max_open_requests: usize,
    /// Maximum size of one message or of one HTTP body, in bytes.
    pub max_message_bytes: usize,
    /// Maximum size of one HTTP head, in bytes.
    pub max_head_bytes: usize,
    /// Number of bytes of a result that are buffered before the first are forwarded. Maximum size of a result that is forwarded
    /// as a whole.
    pub max_result_bytes: usize,
    /// Maximum number of bytes queued for one peer. A peer that reads so slowly that the queue exceeds this is disconnected.
    pub max_write_queue_bytes: usize,
    /// Division of the machine's memory.
    pub memory: MemoryLimits,
    /// Number of bytes that one read from a socket requests.
    pub read_chunk_bytes: usize,
    /// Maximum number of slices in one vectored write.
    pub max_gathered_slices: usize,
    /// Maximum number of events queued for the reducer.
    pub event_queue_capacity: usize,
    /// Maximum number of in-flight attempts on one engine connection.
    pub max_attempts_per_connection: usize,
    /// Number of in-flight attempts on one engine connection from which another connection is opened, if the limits allow it: an
    /// attempt that breaks or resets its connection ends all others on it.
    pub preferred_attempts_per_connection: usize,
    /// Timeout for the remainder of a reply that an engine has sent in part, and for the next page of a result.
    pub engine_stall_timeout: Duration,
    /// Timeout for the next bytes of a result that is being streamed to a client. No deadline applies to such a result.
    pub engine_stream_timeout: Duration,
    /// Time for which binding a listener is retried while file descriptors or memory are exhausted.
    pub bind_retry: Duration,
    /// Time for which opening the folder of persisted state is retried at the start while it cannot be written.
    pub disk_retry: Duration,
    /// Timeout for establishing a connection to an engine.
    pub connect_timeout: Duration,
    /// Time after which an idle engine connection is closed. Shorter than the idle timeout of the engine, so that no attempt is sent
    /// on a connection that the engine is closing.
    pub engine_idle_timeout: Duration,
    /// Time after which a client connection without open requests is closed; also if the client does not read its answers.
    pub client_idle_timeout: Duration,
    /// Time after which a client connection is closed if it has no open request and either received no answer yet, or stopped in
    /// the middle of a message.
    pub client_silence_timeout: Duration,
    /// Maximum time between the first and the last byte of a message from a client.
    pub client_message_timeout: Duration,
    /// Minimum time for which a client connection must have been idle before it may be evicted.
    pub min_idle_before_eviction: Duration,
    /// Minimum time for which a client must have stopped inside a message before its connection may be evicted.
    pub min_stall_before_eviction: Duration,
    /// Maximum time for which a new client connection waits for a slot; the connection is closed afterwards.
    pub max_wait_for_slot: Duration,
    /// Time for which a connection that this side closes is still read: unread bytes would cause a reset, which discards data that
    /// was written but not yet delivered.
    pub close_linger: Duration,
    /// Maximum number of accepted client connections that wait for a slot. Further connections stay in the accept queue.
    pub max_waiting_connections: usize,
    /// Time between two maintenance ticks of the connections to engines.
    pub maintenance_interval: Duration,
    /// Time after which a health check without a reply has failed.
    pub health_check_timeout: Milliseconds,
    /// Time after which a connection with an unanswered health check is retired or closed if it has received nothing.
    pub health_check_connection_timeout: Duration,
    /// Minimum time between two decision cycles, unless the second is urgent and decision cycles have taken little time.
    pub decision_interval: Milliseconds,
    /// Share of the elapsed time that urgent decision cycles may take.
    pub decision_time_share: f64,
    /// Maximum time that may accumulate for urgent decision cycles.
    pub max_decision_credit: Milliseconds,
    /// Time before a deadline that is reserved for writing the answer.
    pub answer_margin: Milliseconds,
    /// Time between the removal of an engine from the endpoint list and the abort of the attempts on it.
    pub removed_engine_grace: Milliseconds,
    /// Maximum interval between polls of a name service that answers only some of them.
    pub slowest_poll_interval: Milliseconds,
    /// Maximum number of flows (sockets) to the name service.
    pub max_discovery_flows: usize,
    /// Maximum size of a datagram from the name service, in bytes.
    pub max_datagram_bytes: usize,
    /// Minimum time after SIGTERM for which new requests are accepted.
    pub shutdown_accept_window: Milliseconds,
    /// Time after SIGTERM within which all open requests are answered.
    pub shutdown_answer_deadline: Milliseconds,
    /// Time after which a record of an attempt with an idempotency key has failed if it is not durable.
    pub record_timeout: Milliseconds,
    /// Time between two maintenance ticks of the idempotency log.
    pub log_maintenance_interval: Duration,
    /// Timeout for writing the last snapshot.
    pub final_snapshot_timeout: Duration,
    /// Time after SIGTERM at which idle client connections are closed, if another process takes over.
    pub hot_restart_idle_after: Duration,
    /// Additional time after the deadline for answers in which connections are closed before the process exits.
    pub connection_close_wait: Duration,
    /// Time after SIGTERM within which all open requests are answered, if another process takes over.
    pub hot_restart_answer_deadline: Milliseconds,
    /// Maximum number of operators' connections. At the limit, the connection whose call has been incomplete for the longest time
    /// is closed in favour of a new one.
    pub max_admin_connections: usize,
    /// Time after which an operator's call that is still incomplete is rejected.
    pub admin_call_timeout: Duration,
    /// Time for which the rest of a rejected call is read and discarded, so that a reset does not discard the answer.
    pub admin_discard_timeout: Duration,
    /// Time between two polls of the other processes of this gateway.
    pub peer_poll_interval: Duration,
    /// Maximum time for which a successor waits for the learned state of its predecessor.
    pub inherited_state_wait: Duration,
    /// Maximum size of the learned state that is passed on to a successor, in bytes.
    pub max_inherited_state_bytes: usize,
}

/// Share of the time between SIGTERM and SIGKILL that is reserved after the deadline for answers. The last answers and the close of
/// connections need it, also in a process that gets little CPU time.
const SHUTDOWN_MARGIN_SHARE: f64 = 1.0 / 6.0;
/// Minimum time between the deadline for answers and SIGKILL.
const MIN_SHUTDOWN_MARGIN: Milliseconds = 400.0;
/// Minimum time that the platform adds to the longest deadline of a request: SIGKILL follows SIGTERM after their sum.
const KILL_DELAY: Milliseconds = 700.0;
/// Maximum deadline of a request that the platform waits for before SIGKILL.
const MAX_KILL_WAIT: Milliseconds = 3_000.0;
/// Maximum deadline of a request that the platform waits for before SIGKILL, if another process takes over.
const MAX_HOT_RESTART_KILL_WAIT: Milliseconds = 5_000.0;

/// Number of file descriptors that connections to clients and engines cannot take. They are for the standard streams, the event
/// queue, signals, listeners, two sockets of the name service, files of idempotency keys and files of other processes.
const RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of file descriptors for connections.
const MIN_SOCKETS: usize = 16;
/// Number of unreserved file descriptors for each flow to the name service.
const SOCKETS_PER_FLOW: usize = 10;
/// Minimum value of the limit of flows to the name service.
const MIN_FLOWS: usize = 2;
/// Maximum payload of a UDP datagram over IPv4, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Maximum size of one message or of one HTTP body, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Number of bytes that one read from a socket requests.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of processes of one gateway that run at a time, where hot restart is possible.
const HOT_RESTART_PROCESSES: usize = 2;
/// Ratio of this side's idle timeout of engine connections to the engine's idle timeout.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// Maximum number of open requests. Settings can only lower it.
const MAX_OPEN_REQUESTS: f64 = 20_000.0;
/// Maximum time for a record of an attempt with an idempotency key to become durable. Settings can only lower it.
const MAX_RECORD_TIMEOUT: Milliseconds = 250.0;

/// Number of file descriptors of the machine if the settings contain none.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Memory of the machine, in MiB, if the settings contain none.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Maximum number of in-flight attempts on one engine connection if the settings contain none.
const DEFAULT_ATTEMPTS_PER_CONNECTION: f64 = 32.0;
/// Timeout for establishing a connection to an engine if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT: Milliseconds = 250.0;
/// Time after which an engine closes an idle connection if the settings contain none.
const DEFAULT_ENGINE_SIDE_IDLE_TIMEOUT: Milliseconds = 15_000.0;
/// Tick of the decision module if the settings contain none.
const DEFAULT_TICK: Milliseconds = 1.0;
/// Lower bound of [`Limits::decision_interval`].
const MIN_DECISION_INTERVAL: Milliseconds = 2.0;
/// Upper bound of [`Limits::decision_interval`].
const MAX_DECISION_INTERVAL: Milliseconds = 5.0;

/// Converts milliseconds to a duration, clamped to the range from 1 ms to 1 h.
fn duration(milliseconds: Milliseconds) -> Duration {
    Duration::from_secs_f64((milliseconds / 1000.0).clamp(0.001, 3600.0))
}

/// Returns the number of file descriptors for connections: the smaller of the configured number and the limit of the operating
/// system (`RLIMIT_NOFILE`), less the reserved ones.
fn usable_sockets(configured: f64) -> usize {
    let granted = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    (configured as usize).min(granted).saturating_sub(RESERVED_DESCRIPTORS).max(MIN_SOCKETS)
}

/// Returns the time after SIGTERM within which open requests are answered, if SIGKILL follows SIGTERM after `kill_wait` and
/// [`KILL_DELAY`].
fn answer_deadline(kill_wait: Milliseconds) -> Milliseconds {
    let kill_after = kill_wait + KILL_DELAY;
    kill_after - (kill_after * SHUTDOWN_MARGIN_SHARE).max(MIN_SHUTDOWN_MARGIN)
}

impl Limits {
    /// Returns these limits with shutdown deadlines for a gateway whose requests have deadlines of up to `longest_deadline`. SIGKILL
    /// follows SIGTERM after that time, capped at a maximum, plus 0.7 s; open requests are answered earlier.
    #[must_use]
    pub fn with_shutdown_deadlines(self, longest_deadline: Milliseconds) -> Self {
        let answer_deadline = |max_wait: Milliseconds| answer_deadline(longest_deadline.min(max_wait));
        Self {
            shutdown_answer_deadline: answer_deadline(MAX_KILL_WAIT),
            hot_restart_answer_deadline: answer_deadline(MAX_HOT_RESTART_KILL_WAIT),
            ..self
        }
    }

    /// Reads the limits that depend on the machine and the settings. All others have their defaults.
    ///
    /// # Errors
    /// Returns the first value that is not a finite number.
    pub fn read(fields: &Fields) -> Result<Self, LineError> {
        let sockets = usable_sockets(fields.number_or("machine.sockets", DEFAULT_SOCKETS)?);
        let memory_bytes = fields.number_or("machine.memory_mb", DEFAULT_MEMORY_MB)? * 1024.0 * 1024.0;
        let processes = if fields.opt("gateway.operator").is_some() { HOT_RESTART_PROCESSES } else { 1 };
        let open_requests = fields.number_or("limits.max_open", MAX_OPEN_REQUESTS)?;
        let attempts = fields.number_or("limits.streams_per_conn", DEFAULT_ATTEMPTS_PER_CONNECTION)?;
        let connect_timeout = fields.number_or("limits.connect_timeout", DEFAULT_CONNECT_TIMEOUT)?;
        let idle_close = fields.number_or("limits.idle_close", DEFAULT_ENGINE_SIDE_IDLE_TIMEOUT)?;
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
            ..Self::of_machine(sockets, memory_bytes, processes)
        })
    }

    /// Returns the limits for a machine with these numbers of file descriptors and bytes of memory, on which this number of processes of
    /// the gateway may run at a time. Limits that the settings may override have their defaults.
    fn of_machine(sockets: usize, memory_bytes: f64, processes: usize) -> Self {
        let max_client_connections = sockets * 60 / 100;
        let max_engine_connections = sockets * 25 / 100;
        let consumers = MemoryConsumers::of(processes, max_client_connections, max_engine_connections);
        Self {
            max_client_connections,
            max_engine_connections,
            max_open_per_connection: 32,
            max_open_requests: MAX_OPEN_REQUESTS as usize,
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_head_bytes: 16 << 10,
            max_result_bytes: 64 << 10,
            max_write_queue_bytes: 2 << 20,
            memory: MemoryLimits::of_machine(memory_bytes, &consumers),
            read_chunk_bytes: READ_CHUNK_BYTES,
            max_gathered_slices: 64,
            event_queue_capacity: 1024,
            max_attempts_per_connection: DEFAULT_ATTEMPTS_PER_CONNECTION as usize,
            preferred_attempts_per_connection: 4,
            engine_stall_timeout: duration(500.0),
            engine_stream_timeout: duration(6_000.0),
            bind_retry: duration(3_000.0),
            disk_retry: duration(3_000.0),
            connect_timeout: duration(DEFAULT_CONNECT_TIMEOUT),
            engine_idle_timeout: duration(DEFAULT_ENGINE_SIDE_IDLE_TIMEOUT * IDLE_TIMEOUT_SHARE),
            client_idle_timeout: duration(60_000.0),
            client_silence_timeout: duration(1_500.0),
            client_message_timeout: duration(6_000.0),
            min_idle_before_eviction: duration(50.0),
            min_stall_before_eviction: duration(500.0),
            max_wait_for_slot: duration(1_000.0),
            close_linger: duration(250.0),
            max_waiting_connections: (sockets / 20).clamp(2, 64),
            maintenance_interval: duration(250.0),
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

//! Every size, count and time that the program keeps to, filled once at start and handed down.

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
    /// Bytes that wait for one reader; a client that lets more pile up is cut off.
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
    /// Attempts on one engine connection from which a further one is opened, where there is room for it: what
    /// is spoilt or reset takes all with it that is on the same connection.
    pub preferred_attempts_per_connection: usize,
    /// An engine that stops inside an answer, or keeps a page back, is waited for no longer than this.
    pub engine_stall_timeout: Duration,
    /// An address that cannot be listened at for want of descriptors or memory is tried again for so long.
    pub bind_retry: Duration,
    /// A folder that takes no writes at the start is tried again for so long.
    pub disk_retry: Duration,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// Idle engine connections are closed after this: a little before the engine would.
    pub engine_idle_timeout: Duration,
    /// A client connection with nothing open is closed after this.
    pub client_idle_timeout: Duration,
    /// One that was never answered and has nothing open, or that stops inside a message, is closed after this.
    pub client_silence_timeout: Duration,
    /// A message that comes in pieces is whole by then, from its first byte.
    pub client_message_timeout: Duration,
    /// No connection is closed to make room for another before it has been idle this long.
    pub min_idle_before_eviction: Duration,
    /// A new connection for which no room is made by then is closed.
    pub max_wait_for_slot: Duration,
    /// A connection that this side ends is read for so long, so that what was written is not lost with it.
    pub close_linger: Duration,
    /// New connections that may wait for room at once; those behind them wait to be accepted.
    pub max_waiting_connections: usize,
    /// Time between looks for what has gone idle.
    pub maintenance_interval: Duration,
    /// Being later than this for what is due is worth a line in the log.
    pub pause_threshold: Milliseconds,
    /// A probe unanswered by then has failed ...
    pub health_check_timeout: Milliseconds,
    /// ... and its connection is looked after.
    pub health_check_connection_timeout: Duration,
    /// Time between two turns of the module where nobody waits for the second, or turns take much time.
    pub decision_interval: Milliseconds,
    /// Share of the time that turns in between may take ...
    pub decision_time_share: f64,
    /// ... and how much of it may be saved up.
    pub max_decision_credit: Milliseconds,
    /// Time kept before a deadline for the answer to leave.
    pub answer_margin: Milliseconds,
    /// Time after which attempts on an engine that the name service dropped are given up.
    pub removed_engine_grace: Milliseconds,
    /// The pace down to which a name service that answers some questions and not others may be asked, in ms.
    pub slowest_poll_interval: Milliseconds,
    /// Flows to the name service at most.
    pub max_discovery_flows: usize,
    /// Bytes of a datagram of the name service at most.
    pub max_datagram_bytes: usize,
    /// After SIGTERM, new requests are taken at least this long.
    pub shutdown_accept_window: Milliseconds,
    /// After SIGTERM, whatever is open is answered by then.
    pub shutdown_answer_deadline: Milliseconds,
    /// A record of a keyed send that is not durable by then has failed.
    pub record_timeout: Milliseconds,
    /// Time between two looks after the log of keys.
    pub log_maintenance_interval: Duration,
    /// Time for the last snapshot to be written.
    pub final_snapshot_timeout: Duration,
    /// Once another process takes over, connections that are idle end so long after SIGTERM.
    pub hot_restart_idle_after: Duration,
    /// Time for connections to be closed after the last answer.
    pub connection_close_wait: Duration,
    /// After SIGTERM, whatever is open is answered by then where another process takes over.
    pub hot_restart_answer_deadline: Milliseconds,
    /// Callers of the second address at once; the one that has been unfinished longest gives way to the next.
    pub max_admin_connections: usize,
    /// A call that is not whole by then is answered so.
    pub admin_call_timeout: Duration,
    /// Time for the rest of a call that was turned away to come in, so that its answer is read.
    pub admin_discard_timeout: Duration,
    /// Time between two looks at what other processes of this gateway do.
    pub peer_poll_interval: Duration,
    /// A successor waits no longer than this for what its predecessor learned.
    pub inherited_state_wait: Duration,
    /// Bytes of what was learned, passed on to a successor, at most.
    pub max_inherited_state_bytes: usize,
}

/// Of the time between SIGTERM and SIGKILL past the longest deadline, what is left to the last answers.
const TERM_SPARE: Milliseconds = 400.0;

/// Descriptors that no crowd of clients or engines can take: standard streams, the event queue, signals, listeners, two sockets
/// of the name service, files of keys and of other processes.
const KEPT_BACK: usize = 24;
/// Further sockets of the name service, by the descriptors that are not kept back: clients, engines and operators leave them.
const SOCKETS_PER_FLOW: usize = 10;
/// Flows to the name service that every process has room for.
const LEAST_FLOWS: usize = 2;

/// The most that a datagram over IPv4 can carry.
const MOST_DATAGRAM_BYTES: usize = 65_507;

impl Limits {
    /// SIGKILL follows SIGTERM by the longest deadline, but no more than 3 s (5 s where another process takes over), and
    /// 0.7 s: what is still open is answered before that.
    pub fn ending(self, longest: Milliseconds) -> Self {
        let by = |most: Milliseconds| longest.min(most) + 700.0 - TERM_SPARE;
        Self { shutdown_answer_deadline: by(3_000.0), hot_restart_answer_deadline: by(5_000.0), ..self }
    }

    /// Limits of the machine and of the settings, the rest at its defaults.
    ///
    /// # Errors
    /// Names the first value that cannot be read.
    pub fn read(f: &Fields) -> Result<Self, LineError> {
        // What the system lets this process have counts as well; what serves all is kept back from clients and engines.
        let system = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |n| n as usize);
        let sockets =
            (f.number_or("machine.sockets", 1024.0)? as usize).min(system).saturating_sub(KEPT_BACK).max(16);
        let memory = f.number_or("machine.memory_mb", 192.0)? * 1024.0 * 1024.0;
        let ms = |x: f64| Duration::from_secs_f64((x / 1000.0).clamp(0.001, 3600.0));
        Ok(Self {
            max_client_connections: sockets * 60 / 100,
            max_engine_connections: sockets * 25 / 100,
            max_open_per_connection: 32,
            max_open_requests: f.number_or("limits.max_open", 20_000.0)?.clamp(1.0, 20_000.0) as usize,
            max_message_bytes: 1 << 20,
            max_head_bytes: 16 << 10,
            max_result_bytes: 64 << 10,
            max_write_queue_bytes: 2 << 20,
            max_buffered_bytes: (memory * 0.4) as usize,
            read_chunk_bytes: 16 << 10,
            max_gathered_slices: 64,
            event_queue_capacity: 1024,
            max_attempts_per_connection: f.number_or("limits.streams_per_conn", 32.0)?.max(1.0) as usize,
            preferred_attempts_per_connection: 4,
            engine_stall_timeout: ms(500.0),
            bind_retry: ms(3_000.0),
            disk_retry: ms(3_000.0),
            connect_timeout: ms(f.number_or("limits.connect_timeout", 250.0)?),
            engine_idle_timeout: ms(f.number_or("limits.idle_close", 15_000.0)? * 0.8),
            client_idle_timeout: ms(60_000.0),
            client_silence_timeout: ms(1_500.0),
            client_message_timeout: ms(6_000.0),
            min_idle_before_eviction: ms(50.0),
            max_wait_for_slot: ms(1_000.0),
            close_linger: ms(250.0),
            max_waiting_connections: (sockets / 20).clamp(2, 64),
            maintenance_interval: ms(250.0),
            pause_threshold: 50.0,
            health_check_timeout: 300.0,
            health_check_connection_timeout: ms(300.0),
            decision_interval: f.number_or("tick", 1.0)?.clamp(2.0, 5.0),
            decision_time_share: 0.2,
            max_decision_credit: 5.0,
            answer_margin: 20.0,
            removed_engine_grace: 200.0,
            slowest_poll_interval: f.number_or("pacing.list_slowest", poll_schedule::STEADY_INTERVAL)?,
            max_discovery_flows: (sockets / SOCKETS_PER_FLOW).clamp(LEAST_FLOWS, MAX_FLOWS),
            max_datagram_bytes: MOST_DATAGRAM_BYTES,
            shutdown_accept_window: 800.0,
            shutdown_answer_deadline: 3_300.0,
            record_timeout: f.number_or("knowledge.key_wait", 250.0)?.clamp(1.0, 250.0),
            log_maintenance_interval: ms(1_000.0),
            final_snapshot_timeout: ms(500.0),
            hot_restart_idle_after: ms(1_000.0),
            hot_restart_answer_deadline: 5_300.0,
            connection_close_wait: ms(250.0),
            max_admin_connections: (sockets / 20).clamp(4, 64),
            admin_call_timeout: ms(8_000.0),
            admin_discard_timeout: ms(500.0),
            peer_poll_interval: ms(100.0),
            inherited_state_wait: ms(400.0),
            max_inherited_state_bytes: 1 << 20,
        })
    }
}

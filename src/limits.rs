//! Every size, count and time that the program keeps to, filled once at start and handed down.

use crate::interface::Milliseconds;
use crate::simulator::{Fields, LineError};
use rustix::process::{getrlimit, Resource};
use starlingplank_pacing::poll_schedule;
use starlingplank_service_discovery::flows::MOST_FLOWS;
use std::time::Duration;

/// The limits of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Clients' connections at most.
    pub front_conns: usize,
    /// Connections to all engines at most.
    pub engine_conns: usize,
    /// Requests open on one client connection at most.
    pub open_per_conn: usize,
    /// Requests held open in all.
    pub max_open: usize,
    /// Bytes of one message, or of one HTTP body, at most.
    pub message_bytes: usize,
    /// Bytes of one HTTP head at most.
    pub head_bytes: usize,
    /// Bytes of a result that are held before any are passed on, or at most where it is passed on whole.
    pub result_bytes: usize,
    /// Bytes that wait for one reader; a client that lets more pile up is cut off.
    pub write_queue_bytes: usize,
    /// Bytes of statements and results held in all.
    pub held_bytes: usize,
    /// Read from a socket at a time.
    pub read_bytes: usize,
    /// Slices handed to one gathered write.
    pub gather: usize,
    /// Events waiting for the reducer.
    pub queue: usize,
    /// Attempts that one engine connection carries.
    pub streams: usize,
    /// Attempts on one engine connection from which a further one is opened, where there is room for it: what
    /// is spoilt or reset takes all with it that is on the same connection.
    pub streams_wanted: usize,
    /// An engine that stops inside an answer, or keeps a page back, is waited for no longer than this.
    pub engine_silent: Duration,
    /// An address that cannot be listened at for want of descriptors or memory is tried again for so long.
    pub bind_retry: Duration,
    /// A folder that takes no writes at the start is tried again for so long.
    pub disk_retry: Duration,
    /// A connection that is not up by then has failed.
    pub connect: Duration,
    /// Idle engine connections are closed after this: a little before the engine would.
    pub idle: Duration,
    /// A client connection with nothing open is closed after this.
    pub front_idle: Duration,
    /// One that was never answered and has nothing open, or that stops inside a message, is closed after this.
    pub front_silent: Duration,
    /// A message that comes in pieces is whole by then, from its first byte.
    pub front_message: Duration,
    /// No connection is closed to make room for another before it has been idle this long.
    pub front_grace: Duration,
    /// A new connection for which no room is made by then is closed.
    pub front_wait: Duration,
    /// A connection that this side ends is read for so long, so that what was written is not lost with it.
    pub close_rest: Duration,
    /// New connections that may wait for room at once; those behind them wait to be accepted.
    pub front_waiting: usize,
    /// Time between looks for what has gone idle.
    pub sweep: Duration,
    /// Being later than this for what is due is worth a line in the log.
    pub stall: Milliseconds,
    /// A probe unanswered by then has failed ...
    pub probe: Milliseconds,
    /// ... and its connection is looked after.
    pub probe_over: Duration,
    /// Time between two turns of the module where nobody waits for the second, or turns take much time.
    pub turn_gap: Milliseconds,
    /// Share of the time that turns in between may take ...
    pub turn_share: f64,
    /// ... and how much of it may be saved up.
    pub turn_credit: Milliseconds,
    /// Time kept before a deadline for the answer to leave.
    pub answer_margin: Milliseconds,
    /// Time after which attempts on an engine that the name service dropped are given up.
    pub gone_grace: Milliseconds,
    /// The pace down to which a name service that answers some questions and not others may be asked, in ms.
    pub names_slowest: Milliseconds,
    /// Flows to the name service at most.
    pub names_flows: usize,
    /// Bytes of a datagram of the name service at most.
    pub names_bytes: usize,
    /// After SIGTERM, new requests are taken at least this long.
    pub term_window: Milliseconds,
    /// After SIGTERM, whatever is open is answered by then.
    pub term_answer: Milliseconds,
    /// A record of a keyed send that is not durable by then has failed.
    pub record: Milliseconds,
    /// Time between two looks after the log of keys.
    pub tend: Duration,
    /// Time for the last snapshot to be written.
    pub term_snapshot: Duration,
    /// Once another process takes over, connections that are idle end so long after SIGTERM.
    pub leave_idle: Duration,
    /// Time for connections to be closed after the last answer.
    pub leave_close: Duration,
    /// After SIGTERM, whatever is open is answered by then where another process takes over.
    pub leave_answer: Milliseconds,
    /// Callers of the second address at once; the one that has been unfinished longest gives way to the next.
    pub callers: usize,
    /// A call that is not whole by then is answered so.
    pub call_whole: Duration,
    /// Time for the rest of a call that was turned away to come in, so that its answer is read.
    pub call_rest: Duration,
    /// Time between two looks at what other processes of this gateway do.
    pub look: Duration,
    /// A successor waits no longer than this for what its predecessor learned.
    pub learned_wait: Duration,
    /// Bytes of what was learned, passed on to a successor, at most.
    pub learned_bytes: usize,
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
        Self { term_answer: by(3_000.0), leave_answer: by(5_000.0), ..self }
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
            front_conns: sockets * 60 / 100,
            engine_conns: sockets * 25 / 100,
            open_per_conn: 32,
            max_open: f.number_or("limits.max_open", 20_000.0)?.clamp(1.0, 20_000.0) as usize,
            message_bytes: 1 << 20,
            head_bytes: 16 << 10,
            result_bytes: 64 << 10,
            write_queue_bytes: 2 << 20,
            held_bytes: (memory * 0.4) as usize,
            read_bytes: 16 << 10,
            gather: 64,
            queue: 1024,
            streams: f.number_or("limits.streams_per_conn", 32.0)?.max(1.0) as usize,
            streams_wanted: 4,
            engine_silent: ms(500.0),
            bind_retry: ms(3_000.0),
            disk_retry: ms(3_000.0),
            connect: ms(f.number_or("limits.connect_timeout", 250.0)?),
            idle: ms(f.number_or("limits.idle_close", 15_000.0)? * 0.8),
            front_idle: ms(60_000.0),
            front_silent: ms(1_500.0),
            front_message: ms(6_000.0),
            front_grace: ms(50.0),
            front_wait: ms(1_000.0),
            close_rest: ms(250.0),
            front_waiting: (sockets / 20).clamp(2, 64),
            sweep: ms(250.0),
            stall: 50.0,
            probe: 300.0,
            probe_over: ms(300.0),
            turn_gap: f.number_or("tick", 1.0)?.clamp(2.0, 5.0),
            turn_share: 0.2,
            turn_credit: 5.0,
            answer_margin: 20.0,
            gone_grace: 200.0,
            names_slowest: f.number_or("pacing.list_slowest", poll_schedule::STEADY)?,
            names_flows: (sockets / SOCKETS_PER_FLOW).clamp(LEAST_FLOWS, MOST_FLOWS),
            names_bytes: MOST_DATAGRAM_BYTES,
            term_window: 800.0,
            term_answer: 3_300.0,
            record: f.number_or("knowledge.key_wait", 250.0)?.clamp(1.0, 250.0),
            tend: ms(1_000.0),
            term_snapshot: ms(500.0),
            leave_idle: ms(1_000.0),
            leave_answer: 5_300.0,
            leave_close: ms(250.0),
            callers: (sockets / 20).clamp(4, 64),
            call_whole: ms(8_000.0),
            call_rest: ms(500.0),
            look: ms(100.0),
            learned_wait: ms(400.0),
            learned_bytes: 1 << 20,
        })
    }
}

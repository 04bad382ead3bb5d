//! Division of the machine's memory: what the program itself and its connections take is subtracted first, and the rest is divided among
//! the owners that count their bytes.

use super::{MAX_MESSAGE_BYTES, READ_CHUNK_BYTES};

/// Memory that one process takes without connections, in bytes: its code, its tables, and a head or a reply that is being parsed.
const PROCESS_BYTES: usize = 6 << 20;
/// Memory of one client's connection without messages and answers, in bytes: the state of its task, its socket and its queues.
const CLIENT_CONNECTION_BYTES: usize = 4_608;
/// Memory of one connection to an engine without messages and results, in bytes.
const ENGINE_CONNECTION_BYTES: usize = 4 << 10;
/// Memory of the files that the processes of a hot restart share, in bytes. Their folder counts as memory of the machine.
const SHARED_FILES_BYTES: usize = 1 << 20;
/// Ratio of the memory that allocations take to the bytes that are counted for them.
const ALLOCATION_OVERHEAD: f64 = 8.0 / 7.0;
/// Memory that the owners together need at least, in bytes, so that each can hold one message.
const MIN_COUNTED_BYTES: usize = 4 << 20;
/// Share of the counted memory that the statements of open requests may take.
const STATEMENTS_SHARE: f64 = 0.45;
/// Share of the counted memory that incomplete messages from clients may take.
const INCOMING_SHARE: f64 = 0.25;
/// Share of the counted memory that results and queued answers may take.
const OUTGOING_SHARE: f64 = 0.25;
/// Share of the counted memory that requests may take that are remembered as sent.
const SENT_REQUESTS_SHARE: f64 = 0.05;
/// Memory that one request takes that is remembered as sent, here and in the folder's state, in bytes.
const SENT_REQUEST_BYTES: usize = 192;
/// Lower bound of [`MemoryLimits::unread_answer_bytes`].
const MIN_UNREAD_ANSWER_BYTES: usize = 4 << 10;
/// Upper bound of [`MemoryLimits::unread_answer_bytes`].
const MAX_UNREAD_ANSWER_BYTES: usize = 256 << 10;

/// What takes memory without being counted byte by byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MemoryConsumers {
    /// Number of processes that may run at a time.
    pub processes: usize,
    /// Maximum number of client connections of all processes together.
    pub client_connections: usize,
    /// Maximum number of connections to engines of all processes together.
    pub engine_connections: usize,
    /// Memory of one long message of each process, in bytes.
    pub long_message_bytes: usize,
}

impl MemoryConsumers {
    /// Returns the consumers on a machine with these numbers of processes and of connections.
    pub(super) fn of(processes: usize, client_connections: usize, engine_connections: usize) -> Self {
        let long_message_bytes = processes * (MAX_MESSAGE_BYTES + READ_CHUNK_BYTES);
        Self { processes, client_connections, engine_connections, long_message_bytes }
    }

    fn bytes(&self) -> usize {
        let files = if self.processes > 1 { SHARED_FILES_BYTES } else { 0 };
        self.processes * PROCESS_BYTES
            + self.client_connections * CLIENT_CONNECTION_BYTES
            + self.engine_connections * ENGINE_CONNECTION_BYTES
            + self.long_message_bytes
            + files
    }
}

/// Limits of the memory, by owner. The processes of one gateway share them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Memory of the machine, in bytes.
    pub machine_bytes: usize,
    /// Least memory of a machine, in bytes, in which the gateway stays with these numbers of connections.
    pub least_machine_bytes: usize,
    /// Maximum number of bytes of the statements of open requests.
    pub statement_bytes: usize,
    /// Maximum number of bytes of all incomplete messages from clients that are no longer than one read, or of which no more was read.
    pub short_incoming_bytes: usize,
    /// Maximum number of bytes of all longer incomplete messages from clients, of each process one at least.
    pub long_incoming_bytes: usize,
    /// Maximum number of bytes of all results that are being received and answers that are queued for clients.
    pub outgoing_bytes: usize,
    /// Memory of the answers that wait for one client, in bytes, above which no further messages of the client are handled: if no client
    /// reads, the answers to messages that are answered directly take half of the memory for answers.
    pub unread_answer_bytes: usize,
    /// Maximum number of requests that are remembered as sent, of classes that must not run twice.
    pub sent_requests: usize,
}

impl MemoryLimits {
    /// Divides the memory of a machine.
    pub(super) fn of_machine(machine_bytes: f64, consumers: &MemoryConsumers) -> Self {
        let rest = (machine_bytes - consumers.bytes() as f64) / ALLOCATION_OVERHEAD;
        let counted = rest.max(MIN_COUNTED_BYTES as f64);
        let outgoing_bytes = (counted * OUTGOING_SHARE) as usize;
        let incoming_bytes = (counted * INCOMING_SHARE) as usize + consumers.long_message_bytes;
        let long_incoming_bytes = (incoming_bytes / 2).max(consumers.long_message_bytes);
        let unread_answer_share = outgoing_bytes / (2 * consumers.client_connections);
        Self {
            machine_bytes: machine_bytes as usize,
            least_machine_bytes: consumers.bytes()
                + (MIN_COUNTED_BYTES as f64 * ALLOCATION_OVERHEAD) as usize,
            statement_bytes: (counted * STATEMENTS_SHARE) as usize,
            short_incoming_bytes: incoming_bytes - long_incoming_bytes,
            long_incoming_bytes,
            outgoing_bytes,
            unread_answer_bytes: unread_answer_share.clamp(MIN_UNREAD_ANSWER_BYTES, MAX_UNREAD_ANSWER_BYTES),
            sent_requests: (counted * SENT_REQUESTS_SHARE) as usize / SENT_REQUEST_BYTES,
        }
    }
}

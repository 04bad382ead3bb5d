//! Reasons for which client connections end, with their names in logs and metrics.

use std::cell::Cell;

/// Reason for which a client connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed the connection, or its side of it, or the connection failed.
    ClientClosed,
    /// A write to the client failed.
    WriteFailed,
    /// The process shuts down.
    Shutdown,
    /// Another client needs the slot of the connection.
    Evicted,
    /// The client stopped sending, before the first answer or inside a message.
    Silent,
    /// The client stopped sending inside a message, or does not read while messages behind its answers are held, and the message of
    /// another client needs the memory.
    IncomingMemoryExhausted,
    /// No request was received or answered within the idle timeout.
    Idle,
    /// The client sent a message that exceeds the maximum size.
    MessageTooLong,
    /// The client sent a message that cannot be decoded.
    MalformedMessage,
    /// The client sent a sequence number that is not in order.
    OutOfSequence,
    /// The client sent a request under the name of one that is open on the same connection.
    DuplicateName,
    /// The client announced that it sends no further request, or uses a version of HTTP without persistent connections.
    NotPersistent,
    /// The answers that wait to be written exceed the limit for one connection.
    WriteQueueFull,
    /// The client has no open request, and has not read its answers within the idle timeout.
    NotReading,
    /// The memory for answers is exhausted, and this client has not read its answers for the longest time.
    OutgoingMemoryExhausted,
}

impl CloseReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 15] = [
        Self::ClientClosed,
        Self::WriteFailed,
        Self::Shutdown,
        Self::Evicted,
        Self::Silent,
        Self::IncomingMemoryExhausted,
        Self::Idle,
        Self::MessageTooLong,
        Self::MalformedMessage,
        Self::OutOfSequence,
        Self::DuplicateName,
        Self::NotPersistent,
        Self::WriteQueueFull,
        Self::NotReading,
        Self::OutgoingMemoryExhausted,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClientClosed => "client_closed",
            Self::WriteFailed => "write_failed",
            Self::Shutdown => "shutdown",
            Self::Evicted => "evicted",
            Self::Silent => "silent",
            Self::IncomingMemoryExhausted => "incoming_memory",
            Self::Idle => "idle",
            Self::MessageTooLong => "message_too_long",
            Self::MalformedMessage => "malformed_message",
            Self::OutOfSequence => "out_of_sequence",
            Self::DuplicateName => "duplicate_name",
            Self::NotPersistent => "not_persistent",
            Self::WriteQueueFull => "write_queue_full",
            Self::NotReading => "not_reading",
            Self::OutgoingMemoryExhausted => "outgoing_memory",
        }
    }

    /// Returns the warning to log if the reason is a fault of the client, or a lack of resources.
    pub(super) fn warning(self) -> Option<&'static str> {
        match self {
            Self::ClientClosed
            | Self::WriteFailed
            | Self::Shutdown
            | Self::Evicted
            | Self::Silent
            | Self::Idle
            | Self::NotPersistent => None,
            Self::IncomingMemoryExhausted => Some(
                "the memory for incomplete messages is exhausted; closing the connection of a client that stopped sending or reading",
            ),
            Self::MessageTooLong => Some("a client message exceeds the maximum message size; closing the connection"),
            Self::MalformedMessage => Some("a client message cannot be decoded; closing the connection"),
            Self::OutOfSequence => Some("a client sent an out-of-order sequence number; closing the connection"),
            Self::DuplicateName => {
                Some("a client sent the name of a request that is open on its connection; closing the connection")
            }
            Self::WriteQueueFull => {
                Some("the answers that wait for a client exceed the limit of its connection; closing the connection")
            }
            Self::NotReading => {
                Some("a client has not read its answers within the idle timeout; closing the connection")
            }
            Self::OutgoingMemoryExhausted => Some(
                "the memory for answers is exhausted; closing the connection of the client that has not read for the longest time",
            ),
        }
    }
}

/// Numbers of client connections that ended, by reason.
#[derive(Debug, Default)]
pub struct CloseCounters([Cell<u64>; CloseReason::ALL.len()]);

impl CloseCounters {
    /// Counts a connection that ended.
    pub fn count(&self, reason: CloseReason) {
        let counter = &self.0[reason as usize];
        counter.set(counter.get() + 1);
    }

    /// Returns the numbers by the names of the reasons.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        CloseReason::ALL.iter().map(|reason| (reason.name(), self.0[*reason as usize].get()))
    }
}

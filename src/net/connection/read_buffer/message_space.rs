//! Memory that the messages of clients take in a read buffer: it is counted, or awaited, before a read.

use super::{ClientReader, Peer, ReadBuffer};
use crate::limits::Limits;
use crate::net::connection::incoming_memory::{MessageMemory, Need};
use crate::net::wait_profile::Resource;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Minimum space for a read from a client, in bytes.
const MIN_READ_BYTES: usize = 256;
/// Maximum length of a read without a reservation while memory is scarce, in bytes.
pub(super) const SCARCE_READ_BYTES: usize = 1 << 10;
/// Divisor of the memory for short messages that gives the part from which on it is scarce.
pub(super) const SCARCE_MEMORY_DIVISOR: usize = 2;
/// Length of a message, in bytes, up to which it may take all of the memory. Longer ones leave a part to it, so that usual requests do not
/// wait for them.
const SMALL_MESSAGE_BYTES: usize = 2 << 10;
/// Divisor of the memory for incoming messages that gives the part for small messages.
const SMALL_MESSAGES_DIVISOR: usize = 8;

impl ReadBuffer {
    /// Returns the memory of the current message, if the peer is a client.
    fn message_memory(&self) -> Option<Rc<MessageMemory>> {
        match &self.peer {
            Peer::Client(client) => Some(client.memory.clone()),
            Peer::Engine | Peer::Operator => None,
        }
    }

    /// Releases the reservation of a message that has ended. The next message needs its own.
    pub(super) fn release_reservation(&self) {
        if let Peer::Client(ClientReader { memory, .. }) = &self.peer {
            self.shared.incoming.release(memory);
        }
    }

    /// Allocates space for the next read. Returns the memory that a client's message has to wait for, if it is not available.
    pub(super) fn allocate_space(&mut self, stream: &TcpStream, limits: &Limits) -> Option<Need> {
        let Some(memory) = self.message_memory() else {
            self.bytes.reserve(limits.read_chunk_bytes);
            return None;
        };
        if self.discarded_bytes > 0 {
            return None;
        }
        // If the system call fails, the space of a complete read is taken.
        let available =
            rustix::io::ioctl_fionread(stream).map_or(limits.read_chunk_bytes, |bytes| bytes as usize);
        let is_long = self.is_long(limits);
        // Nothing is reserved for a client that has sent nothing further.
        if is_long && available > 0 {
            let need = self.long_message_need(limits);
            if !memory.covers(need.bytes) {
                return Some(need);
            }
            self.allocate_long_message();
        }
        let has_space = self.bytes.capacity() > self.bytes.len();
        if is_long && has_space && self.body.is_none() {
            return None;
        }
        let fixed = self.capacity() - self.bytes.capacity() + self.bytes.len();
        if let Some(rest) = self.rest_of_short_message(limits) {
            let need = self.short_message_need(fixed + rest, limits);
            if !self.shared.incoming.try_reserve(&memory, need) {
                return Some(need);
            }
        }
        let additional = available.clamp(MIN_READ_BYTES, self.max_read_bytes(&memory, limits));
        let need = self.short_message_need(fixed + additional, limits);
        if self.shared.incoming.try_allocate(&memory, need.bytes, need.max_bytes) {
            self.bytes.reserve_exact(additional);
            return None;
        }
        Some(need)
    }

    /// Returns the length of the rest of a short message whose length is known, and of which the first bytes have arrived: all of it is
    /// reserved at once while memory is scarce, so that it waits no more than once.
    fn rest_of_short_message(&self, limits: &Limits) -> Option<usize> {
        let is_known = self.expected_bytes > 0 && !self.is_long(limits);
        (is_known && self.is_memory_scarce(limits))
            .then(|| self.expected_bytes.saturating_sub(self.received_bytes()))
    }

    fn short_message_need(&self, bytes: usize, limits: &Limits) -> Need {
        Need { bytes, announced: bytes, max_bytes: self.max_short_bytes(bytes, limits), is_long: false }
    }

    /// Counts the memory of the decoded head of the current message, if it is available. The caller allocates it next.
    pub fn try_allocate_head(&self, head_bytes: usize, limits: &Limits) -> bool {
        let bytes = self.capacity() + head_bytes;
        let max_bytes = self.max_short_bytes(bytes, limits);
        self.message_memory()
            .is_none_or(|memory| self.shared.incoming.try_allocate(&memory, bytes, max_bytes))
    }

    /// Waits until the memory of the decoded head of the current message is reserved.
    pub async fn reserve_head(&mut self, head_bytes: usize, limits: &Limits) {
        let need = self.short_message_need(self.capacity() + head_bytes, limits);
        self.reserve(need).await;
    }

    /// Returns the memory for a long message, or for a head and a long body that is read in parts.
    fn long_message_need(&self, limits: &Limits) -> Need {
        let parts = if self.body.is_some() { self.head_memory + limits.read_chunk_bytes } else { 0 };
        Need {
            bytes: self.expected_bytes + parts,
            announced: self.announced_bytes,
            max_bytes: self.shared.process_share(limits.memory.long_incoming_bytes),
            is_long: true,
        }
    }

    /// Returns the maximum length of the next read. The reservation of a long message has one read beside its body, unread bytes included.
    /// While memory is scarce, little is read of a message whose length is not known or that has no reservation, so that many clients can
    /// show what they send.
    fn max_read_bytes(&self, memory: &MessageMemory, limits: &Limits) -> usize {
        if self.is_long(limits) {
            let remaining = limits.read_chunk_bytes.saturating_sub(self.bytes.len());
            return remaining.max(MIN_READ_BYTES);
        }
        if self.is_memory_scarce(limits) && !memory.covers(self.capacity() + limits.read_chunk_bytes) {
            SCARCE_READ_BYTES
        } else {
            limits.read_chunk_bytes
        }
    }

    fn is_memory_scarce(&self, limits: &Limits) -> bool {
        let max_short = self.shared.process_share(limits.memory.short_incoming_bytes);
        self.shared.incoming.short_bytes() > max_short / SCARCE_MEMORY_DIVISOR
    }

    /// Returns whether messages behind an open request may be read: a limited number of bytes, and none while memory is scarce, as they
    /// could not release it before the answer.
    pub fn may_read_ahead(&self, limits: &Limits) -> bool {
        self.unread().len() < limits.read_chunk_bytes && !self.is_memory_scarce(limits)
    }

    /// Returns the memory that a short message of this length may take together with all others.
    fn max_short_bytes(&self, message_bytes: usize, limits: &Limits) -> usize {
        let max_bytes = self.shared.process_share(limits.memory.short_incoming_bytes);
        match message_bytes {
            0..=SMALL_MESSAGE_BYTES => max_bytes,
            _ => max_bytes - max_bytes / SMALL_MESSAGES_DIVISOR,
        }
    }

    /// Allocates the memory for a long message, which is reserved.
    fn allocate_long_message(&mut self) {
        let expected = self.expected_bytes;
        match &mut self.body {
            Some(body) => body.reserve_exact(expected.saturating_sub(body.len())),
            None => self.bytes.reserve_exact(expected.saturating_sub(self.bytes.len())),
        }
    }

    /// Waits until memory for the current message is reserved.
    pub(super) async fn reserve(&mut self, need: Need) {
        let Peer::Client(ClientReader { memory, .. }) = &self.peer else { return };
        let wait = self.shared.waits.begin(Resource::Memory);
        self.shared.incoming.reserve(memory, need).await;
        drop(wait);
        self.restart_message_timeout();
    }

    /// Returns whether the current message is longer than one read.
    fn is_long(&self, limits: &Limits) -> bool {
        self.expected_bytes > limits.read_chunk_bytes
    }
}

//! The outstanding polls: those that may still receive a response.

use crate::poll::{FlowId, Poll, RESPONSE_TIMEOUT};
use crate::Milliseconds;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of outstanding polls; a further one replaces the oldest. At the steady interval there are 25.
const MAX_OUTSTANDING: usize = 64;

/// The polls that may still receive a response, in the order in which they were sent.
#[derive(Debug, Default)]
pub struct OutstandingPolls {
    polls: VecDeque<Poll>,
    last_number: u64,
}

impl OutstandingPolls {
    /// Adds a poll that is sent now. Message ids are drawn until one is found that no other outstanding poll has.
    pub fn add(
        &mut self,
        flow: FlowId,
        to: SocketAddr,
        now: Milliseconds,
        mut draw_id: impl FnMut() -> u16,
    ) -> Poll {
        self.expire(now);
        if self.polls.len() >= MAX_OUTSTANDING {
            self.polls.pop_front();
        }
        let id = loop {
            let id = draw_id();
            if self.polls.iter().all(|poll| poll.id != id) {
                break id;
            }
        };
        self.last_number += 1;
        let poll = Poll { number: self.last_number, id, flow, to, sent_at: now };
        self.polls.push_back(poll);
        poll
    }

    /// Removes and returns the outstanding poll that a response belongs to, if there is one.
    pub fn complete(&mut self, id: u16, from: SocketAddr, flow: FlowId, now: Milliseconds) -> Option<Poll> {
        self.expire(now);
        let is_polled = |poll: &Poll| (poll.id, poll.to, poll.flow) == (id, from, flow);
        let position = self.polls.iter().position(is_polled)?;
        self.polls.remove(position)
    }

    /// Returns whether a poll to this address is outstanding.
    pub fn any_to(&self, address: SocketAddr) -> bool {
        self.polls.iter().any(|poll| poll.to == address)
    }

    /// Returns the time at which the first outstanding poll with a number greater than `number` was sent from a flow.
    pub fn first_after(&self, number: u64, flow: FlowId) -> Option<Milliseconds> {
        let is_later = |poll: &&Poll| poll.flow == flow && poll.number > number;
        self.polls.iter().find(is_later).map(|poll| poll.sent_at)
    }

    /// Returns the number of the last poll that was sent.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    fn expire(&mut self, now: Milliseconds) {
        self.polls.retain(|poll| now - poll.sent_at <= RESPONSE_TIMEOUT);
    }
}

#[cfg(test)]
mod tests;

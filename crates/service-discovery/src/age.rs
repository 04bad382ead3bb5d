//! The age of the list of engines, and the lease until when it may be relied on.
//!
//! A response proves the list as of when its poll was sent, not as of when the response arrives: later changes may be missing
//! in it. The age of the list therefore counts from the poll.
//!
//! New work may be sent to an engine for `drain_grace` after the gateway was notified that it drains. A change right after
//! the last confirmation of the list counts as propagated to the gateway, at the earliest,
//!
//! | case | after |
//! | --- | --- |
//! | polls get responses, or there was no poll for that long as the process was paused, whatever is polled later | [`PROPAGATION_DELAY`], from the confirmation |
//! | polls get no response: the service is silent, or its responses are lost | [`PROPAGATION_DELAY`], from the last poll; at the latest [`MAX_PROPAGATION_DELAY`], from the confirmation |
//! | ... and the process was paused for that long: the service may have been healthy meanwhile | [`PROPAGATION_DELAY`], from the last poll before the pause, whatever is polled later |
//! | ... and an invalid response was received: a valid one in its place would have counted | [`PROPAGATION_DELAY`], from that response |
//! | ... and the service was relocated within that time before | [`RELOCATION_PROPAGATION_DELAY`], from the change of its address |
//!
//! The lease ends `drain_grace` after that. Where the interval of polls may be longer than the steady one,
//! [`PROPAGATION_DELAY`] is replaced by four intervals if that is longer.

use crate::Milliseconds;
use std::collections::VecDeque;
use std::fmt;

/// A list that was not confirmed for longer is late: several responses in a row are missing.
pub const LATE_AFTER: Milliseconds = 1_000.0;
/// A list that was not confirmed for longer is from a service that is silent.
pub const SILENT_AFTER: Milliseconds = 4_000.0;
/// A change counts as propagated so long after it happened, or after a response that would have held it was lost.
pub const PROPAGATION_DELAY: Milliseconds = 1_500.0;
/// A change counts as propagated so long after it happened, whether the service responds or not.
pub const MAX_PROPAGATION_DELAY: Milliseconds = 7_000.0;
/// All earlier changes count as propagated so long after the service was relocated.
pub const RELOCATION_PROPAGATION_DELAY: Milliseconds = 4_000.0;
/// The number of polls that are sent before a change counts as propagated.
const POLLS_BEFORE_PROPAGATION: f64 = 4.0;
/// The number of relocations that are remembered; further ones end the lease later than these.
const MAX_RELOCATIONS: usize = 64;
/// The number of polls without a response, besides the last one, up to which a single lost response is assumed. With more the
/// service is taken for silent.
const MAX_LOST_RESPONSES: u64 = 2;

/// How far the list can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It was confirmed a short time ago.
    Fresh,
    /// Responses are missing.
    Late,
    /// No response has confirmed it for long.
    Silent,
    /// The service was relocated since, and has not responded at its present address.
    Relocated,
}

impl fmt::Display for Freshness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Fresh => "fresh",
            Self::Late => "late",
            Self::Silent => "silent",
            Self::Relocated => "moved",
        })
    }
}

/// A span without polls in which the service may have been healthy: changes in it may count as propagated, also where the service
/// is silent before and after it. Where there were several spans, this is from the first to the last.
#[derive(Debug, Clone, Copy)]
struct PollGap {
    /// A change since then may have counted as propagated in it.
    from: Milliseconds,
    /// When the first poll after it was sent.
    until: Milliseconds,
}

/// The age of the list.
#[derive(Debug, Clone)]
pub struct ListAge {
    /// The list was valid at this time.
    as_of: Milliseconds,
    /// [`PROPAGATION_DELAY`], or more where the interval of polls is long.
    propagation_delay: Milliseconds,
    /// The first relocation of the service since `as_of`.
    relocated_at: Option<Milliseconds>,
    /// The relocations after which not all changes counted as propagated when the list was confirmed.
    relocations: VecDeque<Milliseconds>,
    /// When the first invalid response since `as_of` was received.
    invalid_response_at: Option<Milliseconds>,
    /// When the last poll was sent.
    last_poll_at: Milliseconds,
    /// The number of polls since the one that confirmed the list.
    unanswered: u64,
    /// The span without polls since the list was confirmed.
    poll_gap: Option<PollGap>,
    /// The freshness that was reported last.
    reported: Freshness,
}

impl ListAge {
    /// The list that a process begins with is valid as of its start. `max_interval` is the longest interval of polls while
    /// the service responds.
    pub fn new(now: Milliseconds, max_interval: Milliseconds) -> Self {
        Self {
            as_of: now,
            propagation_delay: PROPAGATION_DELAY.max(POLLS_BEFORE_PROPAGATION * max_interval),
            relocated_at: None,
            relocations: VecDeque::new(),
            invalid_response_at: None,
            last_poll_at: now,
            unanswered: 0,
            poll_gap: None,
            reported: Freshness::Fresh,
        }
    }

    /// Notes that a poll is sent, no later than planned. A silent service may be polled seldom: the time between two polls is
    /// then a part of its silence.
    pub fn poll_sent(&mut self, now: Milliseconds) {
        if !self.is_silent() {
            self.note_poll_gap(now);
        }
        self.last_poll_at = now;
        self.unanswered += 1;
    }

    /// Notes that a poll is sent later than planned: the process was paused, and knows nothing of the service in that time.
    pub fn late_poll_sent(&mut self, now: Milliseconds) {
        self.note_poll_gap(now);
        self.poll_sent(now);
    }

    /// Whether so many polls got no response that the service is taken for silent.
    fn is_silent(&self) -> bool {
        self.unanswered > MAX_LOST_RESPONSES
    }

    fn note_poll_gap(&mut self, now: Milliseconds) {
        if now - self.last_poll_at <= self.propagation_delay {
            return;
        }
        let silent_until = if self.is_silent() { self.last_poll_at } else { self.as_of };
        let from = self.poll_gap.map_or(silent_until, |gap| gap.from);
        self.poll_gap = Some(PollGap { from, until: now });
    }

    /// Notes a response that holds the newest known list, or a newer one: when its poll was sent, and how many were sent
    /// after that one.
    pub fn confirm(&mut self, sent_at: Milliseconds, later_polls: u64) {
        if sent_at < self.as_of {
            return;
        }
        self.as_of = sent_at;
        self.unanswered = self.unanswered.min(later_polls);
        self.relocated_at = self.relocated_at.filter(|relocated_at| sent_at < *relocated_at);
        self.relocations.retain(|relocated_at| sent_at < relocated_at + RELOCATION_PROPAGATION_DELAY);
        self.poll_gap = self.poll_gap.filter(|gap| sent_at < gap.until);
        // Polls after this one may have got no response though the service was healthy.
        self.poll_gap = self.poll_gap.map(|gap| PollGap { from: sent_at, ..gap });
        self.invalid_response_at = self.invalid_response_at.filter(|received_at| sent_at < *received_at);
    }

    /// Notes an invalid response of the service.
    pub fn receive_invalid(&mut self, now: Milliseconds) {
        self.invalid_response_at.get_or_insert(now);
    }

    /// Notes that the service's address changes.
    pub fn relocate(&mut self, now: Milliseconds) {
        self.relocated_at.get_or_insert(now);
        if self.relocations.len() < MAX_RELOCATIONS {
            self.relocations.push_back(now);
        }
    }

    /// The time since the list was last known to be valid.
    pub fn age(&self, now: Milliseconds) -> Milliseconds {
        now - self.as_of
    }

    /// The end of the lease on the list, where new work may be sent to a draining engine for `drain_grace`.
    pub fn lease_end(&self, drain_grace: Milliseconds) -> Milliseconds {
        self.propagated_at().max(self.as_of + self.propagation_delay) + drain_grace
    }

    /// The earliest time at which a change since the last confirmation may count as propagated.
    fn propagated_at(&self) -> Milliseconds {
        if !self.is_silent() {
            return self.as_of + self.propagation_delay;
        }
        let bounds = [
            self.poll_gap.map(|gap| gap.from + self.propagation_delay),
            Some(self.as_of + MAX_PROPAGATION_DELAY),
            Some(self.last_poll_at + self.propagation_delay),
            self.invalid_response_at.map(|received_at| received_at + self.propagation_delay),
            self.relocations.front().map(|relocated_at| relocated_at + RELOCATION_PROPAGATION_DELAY),
        ];
        bounds.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// How far the list can be relied on.
    pub fn freshness(&self, now: Milliseconds) -> Freshness {
        match self.age(now) {
            age if age > SILENT_AFTER => Freshness::Silent,
            _ if self.relocated_at.is_some() => Freshness::Relocated,
            age if age > LATE_AFTER => Freshness::Late,
            _ => Freshness::Fresh,
        }
    }

    /// The freshness, if it has changed since the last call.
    pub fn freshness_change(&mut self, now: Milliseconds) -> Option<Freshness> {
        let freshness = self.freshness(now);
        let before = std::mem::replace(&mut self.reported, freshness);
        (before != freshness).then_some(freshness)
    }
}

#[cfg(test)]
mod tests;

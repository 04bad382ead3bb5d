//! The age of the list of engines, and the lease during which the list is considered reliable.
//!
//! A response proves that the list was valid when its poll was sent, not when the response is received: later changes may be
//! missing in it. The age of the list therefore counts from the poll.
//!
//! New work may be sent to an engine for `drain_grace` after the gateway was notified that the engine is draining. A change
//! right after the last confirmation of the list counts as propagated to the gateway, at the earliest, after the following time:
//!
//! | case | time |
//! | --- | --- |
//! | polls receive responses, or no poll was sent within this time because the process was paused, regardless of later polls | [`PROPAGATION_DELAY`] after the confirmation |
//! | polls receive no response: the service is silent, or its responses are lost | [`PROPAGATION_DELAY`] after the last poll, and no later than [`MAX_PROPAGATION_DELAY`] after the confirmation |
//! | ... and the process was paused for at least this time: the service may have been healthy meanwhile | [`PROPAGATION_DELAY`] after the last poll before the pause, regardless of later polls |
//! | ... and an invalid response was received: a valid one in its place would have propagated the change | [`PROPAGATION_DELAY`] after that response |
//! | ... and the service was relocated less than this time before the confirmation, or since | [`RELOCATION_PROPAGATION_DELAY`] after the change of its address |
//!
//! The lease ends `drain_grace` after that time. If the interval between polls may be longer than the steady one,
//! [`PROPAGATION_DELAY`] is replaced by four intervals if that is longer.

use crate::Milliseconds;
use std::collections::VecDeque;
use std::fmt;

/// The age in ms above which a list is late: several consecutive responses are missing.
pub const LATE_AFTER: Milliseconds = 1_000.0;
/// The age in ms above which the service that sent the list is considered silent.
pub const SILENT_AFTER: Milliseconds = 4_000.0;
/// The time in ms after which a change counts as propagated, from the change itself or from the loss of a response that would
/// have contained it.
pub const PROPAGATION_DELAY: Milliseconds = 1_500.0;
/// The time in ms after which a change counts as propagated even if the service does not respond.
pub const MAX_PROPAGATION_DELAY: Milliseconds = 7_000.0;
/// The time in ms after a relocation of the service after which all earlier changes count as propagated.
pub const RELOCATION_PROPAGATION_DELAY: Milliseconds = 4_000.0;
/// Minimum number of poll intervals before a change counts as propagated.
const POLLS_BEFORE_PROPAGATION: f64 = 4.0;
/// Maximum number of relocations that are stored. Further ones need not be stored, as they would end the lease later.
const MAX_RELOCATIONS: usize = 64;
/// Maximum number of polls without a response, the last one included, for which a single lost response is assumed. With more
/// the service is considered silent.
const MAX_LOST_RESPONSES: u64 = 2;

/// The freshness of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The list was confirmed recently.
    Fresh,
    /// The list was not confirmed for more than [`LATE_AFTER`].
    Late,
    /// The list was not confirmed for more than [`SILENT_AFTER`].
    Silent,
    /// The service was relocated after the last confirmation, and has not confirmed the list since.
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

/// A period without polls in which the service may have been healthy: changes within it may count as propagated, even if the
/// service is silent before and after it. If there were several such periods, this is the one from the start of the first to the
/// end of the last.
#[derive(Debug, Clone, Copy)]
struct PollGap {
    /// A change since this time may have counted as propagated within the period.
    from: Milliseconds,
    /// The time at which the first poll after the period was sent.
    until: Milliseconds,
}

/// The state from which the age of the list and the lease on it are computed.
#[derive(Debug, Clone)]
pub struct ListAge {
    /// The latest time at which the list is known to have been valid.
    as_of: Milliseconds,
    /// [`PROPAGATION_DELAY`], or a longer time if the interval between polls may be long.
    propagation_delay: Milliseconds,
    /// The time of the first relocation of the service since `as_of`.
    relocated_at: Option<Milliseconds>,
    /// The times of the relocations for which not all earlier changes counted as propagated when the list was last confirmed.
    relocations: VecDeque<Milliseconds>,
    /// The time at which the first invalid response since `as_of` was received.
    invalid_response_at: Option<Milliseconds>,
    /// The time at which the last poll was sent.
    last_poll_at: Milliseconds,
    /// The number of polls since the one that confirmed the list.
    unanswered_polls: u64,
    /// The period without polls since the list was confirmed.
    poll_gap: Option<PollGap>,
    /// The freshness that was last reported.
    last_reported: Freshness,
}

impl ListAge {
    /// Creates the state of a process that starts now. The list that the process starts with is considered valid at its start.
    /// `max_interval` is the longest interval between polls while the service responds.
    pub fn new(now: Milliseconds, max_interval: Milliseconds) -> Self {
        Self {
            as_of: now,
            propagation_delay: PROPAGATION_DELAY.max(POLLS_BEFORE_PROPAGATION * max_interval),
            relocated_at: None,
            relocations: VecDeque::new(),
            invalid_response_at: None,
            last_poll_at: now,
            unanswered_polls: 0,
            poll_gap: None,
            last_reported: Freshness::Fresh,
        }
    }

    /// Records that a poll is sent on schedule. A silent service may be polled rarely, and the time between two polls then counts
    /// as silence of the service and not as a period without polls.
    pub fn poll_sent(&mut self, now: Milliseconds) {
        if !self.is_silent() {
            self.record_poll_gap(now);
        }
        self.last_poll_at = now;
        self.unanswered_polls += 1;
    }

    /// Records that a poll is sent behind schedule: the process was paused, and the service may have been healthy during the pause.
    pub fn late_poll_sent(&mut self, now: Milliseconds) {
        self.record_poll_gap(now);
        self.poll_sent(now);
    }

    /// Returns whether enough polls received no response that the service is considered silent.
    fn is_silent(&self) -> bool {
        self.unanswered_polls > MAX_LOST_RESPONSES
    }

    fn record_poll_gap(&mut self, now: Milliseconds) {
        if now - self.last_poll_at <= self.propagation_delay {
            return;
        }
        let gap_start = if self.is_silent() { self.last_poll_at } else { self.as_of };
        let from = self.poll_gap.map_or(gap_start, |gap| gap.from);
        self.poll_gap = Some(PollGap { from, until: now });
    }

    /// Records a response that contains the newest known list or a newer one. `sent_at` is the time at which its poll was sent, and
    /// `later_polls` the number of polls sent after that one.
    pub fn confirm(&mut self, sent_at: Milliseconds, later_polls: u64) {
        if sent_at < self.as_of {
            return;
        }
        self.as_of = sent_at;
        self.unanswered_polls = self.unanswered_polls.min(later_polls);
        self.relocated_at = self.relocated_at.filter(|relocated_at| sent_at < *relocated_at);
        self.relocations.retain(|relocated_at| sent_at < relocated_at + RELOCATION_PROPAGATION_DELAY);
        self.poll_gap = self.poll_gap.filter(|gap| sent_at < gap.until);
        // Polls after this one may have received no response although the service was healthy.
        self.poll_gap = self.poll_gap.map(|gap| PollGap { from: sent_at, ..gap });
        self.invalid_response_at = self.invalid_response_at.filter(|received_at| sent_at < *received_at);
    }

    /// Records an invalid response of the service.
    pub fn receive_invalid(&mut self, now: Milliseconds) {
        self.invalid_response_at.get_or_insert(now);
    }

    /// Records that the address of the service changes.
    pub fn relocate(&mut self, now: Milliseconds) {
        self.relocated_at.get_or_insert(now);
        if self.relocations.len() < MAX_RELOCATIONS {
            self.relocations.push_back(now);
        }
    }

    /// Returns the time since the list was last known to be valid.
    pub fn age(&self, now: Milliseconds) -> Milliseconds {
        now - self.as_of
    }

    /// Returns the end of the lease on the list, given that new work may be sent to a draining engine for `drain_grace`.
    pub fn lease_end(&self, drain_grace: Milliseconds) -> Milliseconds {
        self.propagated_at().max(self.as_of + self.propagation_delay) + drain_grace
    }

    /// Returns the earliest time at which a change since the last confirmation may count as propagated.
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

    /// Returns the freshness of the list.
    pub fn freshness(&self, now: Milliseconds) -> Freshness {
        match self.age(now) {
            age if age > SILENT_AFTER => Freshness::Silent,
            _ if self.relocated_at.is_some() => Freshness::Relocated,
            age if age > LATE_AFTER => Freshness::Late,
            _ => Freshness::Fresh,
        }
    }

    /// Returns the freshness of the list if it has changed since the last call.
    pub fn freshness_change(&mut self, now: Milliseconds) -> Option<Freshness> {
        let freshness = self.freshness(now);
        let before = std::mem::replace(&mut self.last_reported, freshness);
        (before != freshness).then_some(freshness)
    }
}

#[cfg(test)]
mod tests;

//! How old the list of engines is, and until when it may be relied on.
//!
//! An answer proves the list as of when its question was sent, not as of when the answer arrives: what has changed since
//! may be missing in it. The list's age therefore counts from the question.
//!
//! New work may go to an engine for `drain_grace` after the gateway was told that it drains. What happened right after the
//! list was last confirmed counts as told, at the earliest,
//!
//! | where | after |
//! | --- | --- |
//! | questions are answered, or nothing was asked for that long (the process stood still), whatever is asked later | [`TOLD_WITHIN`], from the confirmation |
//! | questions go unanswered: the service is silent, or what it says gets lost | [`TOLD_WITHIN`], from the last question; at the latest [`TOLD_BY_ALL_MEANS`], from the confirmation |
//! | ... and an answer came that cannot be used: a good one in its place would have counted | [`TOLD_WITHIN`], from that answer |
//! | ... and the service has moved within that time before | [`TOLD_AFTER_MOVE`], from the change of its address |
//!
//! The list may be relied on until then and the grace. Where questions may be further apart than the steady pace,
//! [`TOLD_WITHIN`] is as long as four of them.

use crate::Milliseconds;
use std::collections::VecDeque;
use std::fmt;

/// A list that was not confirmed for longer is late: several answers in a row are missing.
pub const LATE_AFTER: Milliseconds = 1_000.0;
/// A list that was not confirmed for longer comes from a service that is silent.
pub const SILENT_AFTER: Milliseconds = 4_000.0;
/// A change counts as told so long after it happened, or after an answer that would have held it was lost.
pub const TOLD_WITHIN: Milliseconds = 1_500.0;
/// A change counts as told so long after it happened, whether the service can be heard or not.
pub const TOLD_BY_ALL_MEANS: Milliseconds = 7_000.0;
/// All changes count as told so long after the service has moved.
pub const TOLD_AFTER_MOVE: Milliseconds = 4_000.0;
/// A change is asked for so often before it counts as told.
const QUESTIONS_WITHIN: f64 = 4.0;
/// Changes of the address that are remembered at most; further ones bind later than these.
const MOST_MOVES: usize = 64;
/// Questions without an answer, besides the last one, that tell a silent service from a single lost answer.
const UNANSWERED: u64 = 2;

/// How far the list can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It was confirmed a short time ago.
    Fresh,
    /// Answers are missing.
    Late,
    /// No answer has confirmed it for long.
    Silent,
    /// The service is at another address since, and has not answered there.
    Moved,
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fresh => "fresh",
            Self::Late => "late",
            Self::Silent => "silent",
            Self::Moved => "moved",
        })
    }
}

/// The age of the list.
#[derive(Debug, Clone)]
pub struct ListAge {
    /// The list is known to hold as of then.
    as_of: Milliseconds,
    /// [`TOLD_WITHIN`], or more where questions are far apart.
    told_within: Milliseconds,
    /// The first change of the service's address since.
    moved_at: Option<Milliseconds>,
    /// Changes of the address after which not everything counted as told when the list was confirmed.
    moves: VecDeque<Milliseconds>,
    /// The first answer since that could not be used.
    spoilt_at: Option<Milliseconds>,
    /// When the last question was sent.
    asked_at: Milliseconds,
    /// Questions sent since the one that confirmed the list.
    unanswered: u64,
    /// The first question after a span in which nothing was asked of a service that may have been well: what happened in that
    /// span may have been told, also where the service is silent since.
    unwatched_until: Option<Milliseconds>,
    /// What was last reported.
    reported: Freshness,
}

impl ListAge {
    /// A list that a process begins with holds as of its start. Questions are no further apart than that while answers come.
    pub fn new(now: Milliseconds, slowest_pace: Milliseconds) -> Self {
        Self {
            as_of: now,
            told_within: TOLD_WITHIN.max(QUESTIONS_WITHIN * slowest_pace),
            moved_at: None,
            moves: VecDeque::new(),
            spoilt_at: None,
            asked_at: now,
            unanswered: 0,
            unwatched_until: None,
            reported: Freshness::Fresh,
        }
    }

    /// A question is sent.
    pub fn ask(&mut self, now: Milliseconds) {
        let seen_silent = self.unanswered > UNANSWERED;
        if now - self.asked_at > self.told_within && !seen_silent {
            self.unwatched_until.get_or_insert(now);
        }
        self.asked_at = now;
        self.unanswered += 1;
    }

    /// An answer to a question sent at that time holds the newest list that is known, or a newer one. So many questions were
    /// sent after that one.
    pub fn confirm(&mut self, asked_at: Milliseconds, later_questions: u64) {
        if asked_at < self.as_of {
            return;
        }
        self.as_of = asked_at;
        self.unanswered = self.unanswered.min(later_questions);
        self.moved_at = self.moved_at.filter(|moved| asked_at < *moved);
        self.moves.retain(|moved| asked_at < moved + TOLD_AFTER_MOVE);
        self.unwatched_until = self.unwatched_until.filter(|until| asked_at < *until);
        self.spoilt_at = self.spoilt_at.filter(|spoilt| asked_at < *spoilt);
    }

    /// An answer came that cannot be used.
    pub fn hear_spoilt(&mut self, now: Milliseconds) {
        self.spoilt_at.get_or_insert(now);
    }

    /// The service's address changes.
    pub fn relocate(&mut self, now: Milliseconds) {
        self.moved_at.get_or_insert(now);
        if self.moves.len() < MOST_MOVES {
            self.moves.push_back(now);
        }
    }

    /// Time since the list was last known to hold.
    pub fn age(&self, now: Milliseconds) -> Milliseconds {
        now - self.as_of
    }

    /// Until when the list may be relied on, where new work may go to a draining engine for that long.
    pub fn reliable_until(&self, drain_grace: Milliseconds) -> Milliseconds {
        self.told_at().max(self.as_of + self.told_within) + drain_grace
    }

    /// The earliest time at which a change since the last confirmation may count as told.
    fn told_at(&self) -> Milliseconds {
        if self.unanswered <= UNANSWERED || self.unwatched_until.is_some() {
            return self.as_of + self.told_within;
        }
        let bounds = [
            Some(self.as_of + TOLD_BY_ALL_MEANS),
            Some(self.asked_at + self.told_within),
            self.spoilt_at.map(|at| at + self.told_within),
            self.moves.front().map(|at| at + TOLD_AFTER_MOVE),
        ];
        bounds.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// How far the list can be relied on.
    pub fn freshness(&self, now: Milliseconds) -> Freshness {
        match self.age(now) {
            age if age > SILENT_AFTER => Freshness::Silent,
            _ if self.moved_at.is_some() => Freshness::Moved,
            age if age > LATE_AFTER => Freshness::Late,
            _ => Freshness::Fresh,
        }
    }

    /// The freshness, if it has changed since this was last asked.
    pub fn change(&mut self, now: Milliseconds) -> Option<Freshness> {
        let freshness = self.freshness(now);
        let before = std::mem::replace(&mut self.reported, freshness);
        (before != freshness).then_some(freshness)
    }
}

#[cfg(test)]
mod tests;

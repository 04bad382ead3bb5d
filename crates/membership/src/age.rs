//! How old the list of engines is.
//!
//! An answer proves the list as of when its question was sent, not as of when the answer arrives: what has changed since
//! may be missing in it. The list's age therefore counts from the question.

use crate::Ms;
use std::fmt;

/// A list that was not confirmed for longer is late: several answers in a row are missing.
pub const LATE_AFTER: Ms = 1_000.0;
/// A list that was not confirmed for longer comes from a service that is silent.
pub const SILENT_AFTER: Ms = 4_000.0;

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
    as_of: Ms,
    /// The first change of the service's address since.
    moved_at: Option<Ms>,
    /// What was last reported.
    reported: Freshness,
}

impl ListAge {
    /// A list that a process begins with holds as of its start.
    pub fn new(now: Ms) -> Self {
        Self { as_of: now, moved_at: None, reported: Freshness::Fresh }
    }

    /// An answer to a question sent at that time holds the newest list that is known, or a newer one.
    pub fn confirm(&mut self, asked_at: Ms) {
        self.as_of = self.as_of.max(asked_at);
        self.moved_at = self.moved_at.filter(|moved| asked_at < *moved);
    }

    /// The service's address changes.
    pub fn relocate(&mut self, now: Ms) {
        self.moved_at.get_or_insert(now);
    }

    /// Time since the list was last known to hold.
    pub fn age(&self, now: Ms) -> Ms {
        now - self.as_of
    }

    /// How far the list can be relied on.
    pub fn freshness(&self, now: Ms) -> Freshness {
        match self.age(now) {
            age if age > SILENT_AFTER => Freshness::Silent,
            _ if self.moved_at.is_some() => Freshness::Moved,
            age if age > LATE_AFTER => Freshness::Late,
            _ => Freshness::Fresh,
        }
    }

    /// The freshness, if it has changed since this was last asked.
    pub fn change(&mut self, now: Ms) -> Option<Freshness> {
        let freshness = self.freshness(now);
        let before = std::mem::replace(&mut self.reported, freshness);
        (before != freshness).then_some(freshness)
    }
}

#[cfg(test)]
mod tests;

//! The kinds of responses, and counts of them.

use std::fmt;

/// How a response counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It holds a newer list than the known one.
    Update,
    /// It holds the known list.
    Confirmation,
    /// It holds an older list than the known one.
    Older,
    /// It comes from a previous address of the service, and the present one has responded.
    PreviousAddress,
    /// It belongs to no outstanding poll.
    Unsolicited,
    /// It cannot be parsed, or reports a failure.
    Malformed,
    /// Its truncation flag is set.
    Truncated,
}

impl ResponseKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 7] = [
        Self::Update,
        Self::Confirmation,
        Self::Older,
        Self::PreviousAddress,
        Self::Unsolicited,
        Self::Malformed,
        Self::Truncated,
    ];

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Update => "news",
            Self::Confirmation => "confirmations",
            Self::Older => "older",
            Self::PreviousAddress => "from a former address",
            Self::Unsolicited => "to no open question",
            Self::Malformed => "unreadable",
            Self::Truncated => "truncated",
        }
    }

    /// Whether the list is as new as any that is known.
    pub fn confirms(self) -> bool {
        matches!(self, Self::Update | Self::Confirmation)
    }

    /// Whether the response cannot be used, though it may stand for a valid one.
    pub fn is_invalid(self) -> bool {
        matches!(self, Self::Unsolicited | Self::Malformed | Self::Truncated)
    }

    /// The kind of a list with this version, where `known` is the newest version.
    pub fn of_version(version: u64, known: u64) -> Self {
        match version.cmp(&known) {
            std::cmp::Ordering::Less => Self::Older,
            std::cmp::Ordering::Equal => Self::Confirmation,
            std::cmp::Ordering::Greater => Self::Update,
        }
    }
}

/// Counts of polls, and of responses by kind, since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollCounts {
    polls: u64,
    responses: [u64; ResponseKind::ALL.len()],
}

impl PollCounts {
    /// Counts a poll that was sent.
    pub fn count_poll(&mut self) {
        self.polls += 1;
    }

    /// Counts a response that was received.
    pub fn count_response(&mut self, kind: ResponseKind) {
        self.responses[kind as usize] += 1;
    }

    /// The number of polls that were sent.
    pub fn polls(&self) -> u64 {
        self.polls
    }

    /// The number of responses of that kind.
    pub fn responses(&self, kind: ResponseKind) -> u64 {
        self.responses[kind as usize]
    }
}

impl fmt::Display for PollCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} questions; answers:", self.polls)?;
        for (number, kind) in ResponseKind::ALL.into_iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            write!(formatter, "{comma} {} {}", self.responses(kind), kind.name())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

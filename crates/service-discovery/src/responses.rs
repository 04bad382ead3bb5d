//! The kinds of responses, and counts of them.

use std::fmt;

/// The kind of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response contains a newer list than the known one.
    Update,
    /// The response contains the known list.
    Confirmation,
    /// The response contains an older list than the known one.
    Older,
    /// The response is from a previous address of the service, and the current address has already responded.
    PreviousAddress,
    /// The response belongs to no outstanding poll.
    Unsolicited,
    /// The response cannot be parsed, or reports a failure.
    Malformed,
    /// The response's truncation flag is set.
    Truncated,
}

impl ResponseKind {
    /// All kinds, in the order of declaration.
    pub const ALL: [Self; 7] = [
        Self::Update,
        Self::Confirmation,
        Self::Older,
        Self::PreviousAddress,
        Self::Unsolicited,
        Self::Malformed,
        Self::Truncated,
    ];

    /// Returns the label of the kind in logs.
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

    /// Returns whether the response contains a list that is at least as new as the known one.
    pub fn confirms(self) -> bool {
        matches!(self, Self::Update | Self::Confirmation)
    }

    /// Returns whether the response is unusable, though a valid one may have been received in its place.
    pub fn is_invalid(self) -> bool {
        matches!(self, Self::Unsolicited | Self::Malformed | Self::Truncated)
    }

    /// Returns the kind of a response with a list of this version, given the newest known version.
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
    /// Counts a sent poll.
    pub fn count_poll(&mut self) {
        self.polls += 1;
    }

    /// Counts a received response.
    pub fn count_response(&mut self, kind: ResponseKind) {
        self.responses[kind as usize] += 1;
    }

    /// Returns the number of polls sent.
    pub fn polls(&self) -> u64 {
        self.polls
    }

    /// Returns the number of responses of this kind.
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

//! What an answer of service discovery is worth, and how many answers there were of each kind.

use std::fmt;

/// What became of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// It holds a newer list than the one known.
    News,
    /// It holds the list that is known.
    Confirmation,
    /// It holds an older list than the one known.
    Older,
    /// It comes from a former address of the service, and the present one has spoken.
    FormerAddress,
    /// Its id is not that of an open question.
    UnknownQuestion,
    /// It cannot be read, or reports a failure.
    Unreadable,
    /// It says of itself that it is truncated.
    Truncated,
}

impl AnswerKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 7] = [
        Self::News,
        Self::Confirmation,
        Self::Older,
        Self::FormerAddress,
        Self::UnknownQuestion,
        Self::Unreadable,
        Self::Truncated,
    ];

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::News => "news",
            Self::Confirmation => "confirmations",
            Self::Older => "older",
            Self::FormerAddress => "from a former address",
            Self::UnknownQuestion => "to no open question",
            Self::Unreadable => "unreadable",
            Self::Truncated => "truncated",
        }
    }

    /// Whether the list is as new as any that is known.
    pub fn confirms(self) -> bool {
        matches!(self, Self::News | Self::Confirmation)
    }

    /// Whether the answer cannot be used, though a good one was sent in its place or might have been.
    pub fn is_spoilt(self) -> bool {
        matches!(self, Self::UnknownQuestion | Self::Unreadable | Self::Truncated)
    }

    /// The kind of a list with this version, where `known` is the newest version.
    pub fn of_version(version: u64, known: u64) -> Self {
        match version.cmp(&known) {
            std::cmp::Ordering::Less => Self::Older,
            std::cmp::Ordering::Equal => Self::Confirmation,
            std::cmp::Ordering::Greater => Self::News,
        }
    }
}

/// Counts of questions and of answers by kind since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    questions: u64,
    answers: [u64; AnswerKind::ALL.len()],
}

impl AnswerCounts {
    /// A question was sent.
    pub fn count_question(&mut self) {
        self.questions += 1;
    }

    /// An answer was received.
    pub fn count(&mut self, kind: AnswerKind) {
        self.answers[kind as usize] += 1;
    }

    /// Questions sent.
    pub fn questions(&self) -> u64 {
        self.questions
    }

    /// Answers of that kind.
    pub fn of(&self, kind: AnswerKind) -> u64 {
        self.answers[kind as usize]
    }
}

impl fmt::Display for AnswerCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} questions; answers:", self.questions)?;
        for (n, kind) in AnswerKind::ALL.into_iter().enumerate() {
            let comma = if n == 0 { "" } else { "," };
            write!(f, "{comma} {} {}", self.of(kind), kind.name())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

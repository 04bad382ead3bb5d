//! Faults of an operator's file.

use super::value::InvalidValue;
use std::fmt;
use thiserror::Error;

/// One fault of an operator's file.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The key or block, with the blocks around it; empty where the text is not HCL.
    pub key: String,
    /// What is wrong.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}", self.fault)
    }
}

/// What is wrong with a key, a block or the whole text.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Fault {
    /// The text cannot be parsed.
    #[error("is not HCL: {0}")]
    NotHcl(String),
    /// The block of that name is written as a key.
    #[error("is a block: write {0} {{ ... }}")]
    IsBlock(String),
    /// The key of that name is written as a block.
    #[error("is a key: write {0} = ...")]
    IsKey(String),
    /// The schema has no such name.
    #[error("is not known here{}", .similar.map(|name| format!("; {name} is")).unwrap_or_default())]
    Unknown {
        /// A known name that differs by little.
        similar: Option<&'static str>,
    },
    /// The platform's configuration has it.
    #[error("is the platform's to give; leave it out here")]
    GivenByPlatform,
    /// The label is no word.
    #[error("has a label with a space or comma in it")]
    InvalidLabel,
    /// The block of that name needs one label.
    #[error("needs one label: {0} \"...\" {{")]
    LabelMissing(String),
    /// The block may not have a label.
    #[error("has no label")]
    UnexpectedLabel,
    /// The block may not be repeated.
    #[error("stands already in line {0}")]
    Repeated(usize),
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// The value is invalid.
    #[error(transparent)]
    Value(#[from] InvalidValue),
    /// Snapshots would expire before the next is written.
    #[error("is longer than keep_for: nothing would be kept")]
    LongerThanKeepFor,
    /// There is no block of that name.
    #[error("is missing: at least one {0} \"...\" block")]
    BlockMissing(&'static str),
    /// The file does not define what is named.
    #[error("{name:?} is no {sort} of this file")]
    NotDefined {
        /// The name.
        name: String,
        /// What it should be the name of.
        sort: &'static str,
    },
    /// The last rule does not match all statements.
    #[error("must end with a rule that holds for all statements: one with neither verbs nor users")]
    NoRuleForAll,
    /// The latency objective is longer than the timeout.
    #[error("lies past give_up")]
    PastTimeout,
    /// The deduplication window is missing.
    #[error("is missing: how long engines drop a repeat of a key")]
    WindowMissing,
    /// The key has no meaning without idempotency keys.
    #[error("is of use with repeat = \"keyed\" alone")]
    OnlyWhereKeyed,
    /// The span of the retry budget is missing.
    #[error("needs ratio_span beside it")]
    SpanMissing,
}

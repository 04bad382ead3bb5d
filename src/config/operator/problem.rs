//! Faults of the operator's file.

use super::value::InvalidValue;
use std::fmt;
use thiserror::Error;

/// A fault of the operator's file, with its position.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// Path of the file.
    pub file: String,
    /// Line of the fault, from 1.
    pub line: usize,
    /// Path of the key or block, including the enclosing blocks. Empty if the text is not HCL.
    pub key: String,
    /// Description of the fault.
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

/// Kinds of faults of a key, a block or the whole text.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Fault {
    /// The text cannot be parsed.
    #[error("is not HCL: {0}")]
    NotHcl(String),
    /// A block is written as a key. Contains the name of the block.
    #[error("is a block: write {0} {{ ... }}")]
    IsBlock(String),
    /// A key is written as a block. Contains the name of the key.
    #[error("is a key: write {0} = ...")]
    IsKey(String),
    /// The schema does not contain the name at this place.
    #[error("is not a key or block here{}", .similar.map(|name| format!("; did you mean {name}?")).unwrap_or_default())]
    Unknown {
        /// A similar name that the schema contains, as a suggestion.
        similar: Option<&'static str>,
    },
    /// The key or block belongs in the platform's configuration.
    #[error("belongs in the platform's configuration; remove it here")]
    GivenByPlatform,
    /// The label contains a space, a comma or a control character, or is empty.
    #[error("has a label with a space or comma in it")]
    InvalidLabel,
    /// The block must have exactly one label. Contains the name of the block.
    #[error("needs one label: {0} \"...\" {{")]
    LabelMissing(String),
    /// The block must not have a label.
    #[error("must not have a label")]
    UnexpectedLabel,
    /// The block must not be repeated. Contains the line of its first occurrence.
    #[error("is already defined in line {0}")]
    Repeated(usize),
    /// A required key is missing from its block or from the top level.
    #[error("is missing")]
    Missing,
    /// The value does not have the form of its key.
    #[error(transparent)]
    Value(#[from] InvalidValue),
    /// The snapshot interval is longer than the retention time: each snapshot would expire before the next is written.
    #[error("is longer than keep_for: each snapshot would expire before the next is written")]
    LongerThanKeepFor,
    /// The file contains no block with this name, but needs at least one.
    #[error("is missing: at least one {0} \"...\" block is required")]
    BlockMissing(&'static str),
    /// The file refers to a name that it does not define.
    #[error("{name:?} is not a {category} defined in this file")]
    NotDefined {
        /// Name that is not defined.
        name: String,
        /// Word for the things that should have this name: zone, kind or class.
        category: &'static str,
    },
    /// The last rule does not match all statements.
    #[error("must end with a rule that matches all statements: one with neither verbs nor users")]
    NoRuleForAll,
    /// The latency objective (`aim`) is longer than the client timeout (`give_up`).
    #[error("is longer than give_up")]
    PastTimeout,
    /// The deduplication window of a class with idempotency keys is missing.
    #[error("is missing: the time for which engines drop repeats of an idempotency key")]
    WindowMissing,
    /// The key applies only to classes with idempotency keys.
    #[error("applies only with repeat = \"keyed\"")]
    OnlyWhereKeyed,
    /// The time window of the retry budget (`ratio_span`) is missing.
    #[error("requires ratio_span")]
    SpanMissing,
}

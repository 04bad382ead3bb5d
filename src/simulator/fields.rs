//! Fields of a message: texts by their names, with methods that parse them as the types that a message needs.

use crate::interface::{EngineId, LoadReport};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Reason why a line or a configuration is invalid.
#[derive(Debug, Error, PartialEq)]
pub enum LineError {
    /// The name of the message is unknown.
    #[error("unknown message {0:?}")]
    Unknown(String),
    /// A required field is missing.
    #[error("{message}: field {field} is missing")]
    Missing {
        /// Name of the message.
        message: String,
        /// Name of the field.
        field: String,
    },
    /// The value of a field is invalid.
    #[error("{message}: field {field}={value:?} {reason}")]
    Unreadable {
        /// Name of the message.
        message: String,
        /// Name of the field.
        field: String,
        /// Value of the field, or an empty string if the field is missing.
        value: String,
        /// Reason why the value is invalid.
        reason: &'static str,
    },
    /// A tab-separated part of a line contains no `=`.
    #[error("{message}: part {part:?} is not name=value")]
    NotAPair {
        /// Name of the message.
        message: String,
        /// Text of the part.
        part: String,
    },
}

/// A message with its fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Fields {
    message: String,
    pairs: BTreeMap<String, String>,
}

impl Fields {
    /// Creates fields that were not read from a line, such as those of a configuration. `message` identifies them in errors.
    pub fn new(message: &str, pairs: BTreeMap<String, String>) -> Self {
        Self { message: message.to_owned(), pairs }
    }

    /// Splits a line into the name of the message and its fields.
    pub(super) fn parse(line: &str) -> Result<Self, LineError> {
        let mut parts = line.split('\t');
        let message = parts.next().unwrap_or_default().to_owned();
        let mut pairs = BTreeMap::new();
        for part in parts {
            let (name, value) = part
                .split_once('=')
                .ok_or_else(|| LineError::NotAPair { message: message.clone(), part: part.to_owned() })?;
            pairs.insert(name.to_owned(), value.to_owned());
        }
        Ok(Self { message, pairs })
    }

    /// Returns the name of the message.
    pub(super) fn message(&self) -> &str {
        &self.message
    }

    /// Returns the error for a field whose value is invalid. `reason` completes a sentence that begins with the field.
    pub fn invalid(&self, field: &str, reason: &'static str) -> LineError {
        LineError::Unreadable {
            message: self.message.clone(),
            field: field.to_owned(),
            value: self.pairs.get(field).cloned().unwrap_or_default(),
            reason,
        }
    }

    /// Returns the text of a required field.
    ///
    /// # Errors
    /// Fails if the field is missing.
    pub fn text(&self, field: &str) -> Result<&str, LineError> {
        self.opt(field)
            .ok_or_else(|| LineError::Missing { message: self.message.clone(), field: field.to_owned() })
    }

    /// Returns the text of an optional field.
    pub fn opt(&self, field: &str) -> Option<&str> {
        self.pairs.get(field).map(String::as_str)
    }

    /// Parses a required field.
    pub(super) fn get<T: FromStr>(&self, field: &str) -> Result<T, LineError> {
        self.text(field)?.parse().map_err(|_| self.invalid(field, "is not a number of the expected type"))
    }

    /// Parses an optional field.
    pub(super) fn get_opt<T: FromStr>(&self, field: &str) -> Result<Option<T>, LineError> {
        self.opt(field).map(|_| self.get(field)).transpose()
    }

    /// Parses a required field as a finite number.
    pub(super) fn number(&self, field: &str) -> Result<f64, LineError> {
        let value: f64 = self.get(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.invalid(field, "is not finite"))
        }
    }

    /// Parses an optional field as a finite number. Returns the default if the field is missing.
    ///
    /// # Errors
    /// Fails if the value is not a finite number.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, LineError> {
        match self.opt(field) {
            Some(_) => self.number(field),
            None => Ok(default),
        }
    }

    /// Parses an optional field as a flag. Returns false if the field is missing.
    pub(super) fn flag(&self, field: &str) -> Result<bool, LineError> {
        self.opt(field)
            .map_or(Some(false), parse_flag)
            .ok_or_else(|| self.invalid(field, "is neither 0 nor 1"))
    }

    /// Parses an optional field as a list of flags. The list is empty if the field is missing.
    pub(super) fn flags(&self, field: &str) -> Result<Vec<bool>, LineError> {
        let flags: Option<Vec<bool>> = self.list(field).into_iter().map(parse_flag).collect();
        flags.ok_or_else(|| self.invalid(field, "contains an item that is neither 0 nor 1"))
    }

    /// Parses an optional field as a list of numbers. The list is empty if the field is missing.
    pub(super) fn numbers(&self, field: &str) -> Result<Vec<f64>, LineError> {
        let numbers = self.list(field).into_iter().map(str::parse);
        numbers.collect::<Result<_, _>>().map_err(|_| self.invalid(field, "is not a list of numbers"))
    }

    /// Returns the engine that the message concerns (field `engine`).
    pub(super) fn engine(&self) -> Result<EngineId, LineError> {
        self.text("engine").map(|engine| EngineId(Arc::from(engine)))
    }

    /// Splits a field at commas and returns the items that are not empty. The list is empty if the field is missing.
    pub fn list(&self, field: &str) -> Vec<&str> {
        let items = self.opt(field).map(|value| value.split(',').filter(|item| !item.is_empty()).collect());
        items.unwrap_or_default()
    }

    /// Parses the load report (field `health_info`). Returns `None` if the message contains none.
    pub(super) fn load_report(&self) -> Result<Option<LoadReport>, LineError> {
        const FIELD: &str = "health_info";
        let Some(text) = self.opt(FIELD).filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for pair in text.split(',') {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| self.invalid(FIELD, "is not name:value pairs"))?;
            let value: f64 =
                value.parse().map_err(|_| self.invalid(FIELD, "contains a value that is not a number"))?;
            match name {
                "concurrent" => report.inflight = Some(value),
                "depth" => report.queue = Some(value),
                "load_share" => report.util = Some(value),
                "x0" => report.memory = Some(value),
                "x1" => report.disks = Some(value),
                _ => {}
            }
        }
        Ok(Some(report))
    }
}

/// Parses a flag: `0` or `1` on the wire, `false` or `true` in configuration files.
fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "0" | "false" => Some(false),
        "1" | "true" => Some(true),
        _ => None,
    }
}

//! The fields of a message: texts by their names, read as the types that a message needs.

use crate::interface::{EngineId, LoadReport};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Why a line is invalid.
#[derive(Debug, Error, PartialEq)]
pub enum LineError {
    /// The message is unknown.
    #[error("unknown message {0:?}")]
    Unknown(String),
    /// A required field is missing.
    #[error("{message}: field {field} is missing")]
    Missing {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// The value of a field is invalid.
    #[error("{message}: field {field}={value:?} {why}")]
    Unreadable {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// What is wrong with it.
        why: &'static str,
    },
    /// A part without `=`.
    #[error("{message}: part {part:?} is not name=value")]
    NotAPair {
        /// The message.
        message: String,
        /// The part.
        part: String,
    },
}

/// A message and its fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Fields {
    message: String,
    pairs: BTreeMap<String, String>,
}

impl Fields {
    /// Fields that do not come from a line, such as those of a configuration. `message` names them in errors.
    pub fn new(message: &str, pairs: BTreeMap<String, String>) -> Self {
        Self { message: message.to_owned(), pairs }
    }

    /// Splits a line.
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

    /// The name of the message.
    pub(super) fn message(&self) -> &str {
        &self.message
    }

    /// The error for a field whose value is invalid.
    pub fn invalid(&self, field: &str, why: &'static str) -> LineError {
        LineError::Unreadable {
            message: self.message.clone(),
            field: field.to_owned(),
            value: self.pairs.get(field).cloned().unwrap_or_default(),
            why,
        }
    }

    /// A required field.
    ///
    /// # Errors
    /// The field is missing.
    pub fn text(&self, field: &str) -> Result<&str, LineError> {
        self.opt(field)
            .ok_or_else(|| LineError::Missing { message: self.message.clone(), field: field.to_owned() })
    }

    /// An optional field.
    pub fn opt(&self, field: &str) -> Option<&str> {
        self.pairs.get(field).map(String::as_str)
    }

    /// A required field of a type that is read from text.
    pub(super) fn get<T: FromStr>(&self, field: &str) -> Result<T, LineError> {
        self.text(field)?.parse().map_err(|_| self.invalid(field, "is not a number of that form"))
    }

    /// An optional field of a type that is read from text.
    pub(super) fn get_opt<T: FromStr>(&self, field: &str) -> Result<Option<T>, LineError> {
        self.opt(field).map(|_| self.get(field)).transpose()
    }

    /// A required field that is a finite number.
    pub(super) fn number(&self, field: &str) -> Result<f64, LineError> {
        let value: f64 = self.get(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.invalid(field, "is not finite"))
        }
    }

    /// An optional field that is a finite number, or the default where it is missing.
    ///
    /// # Errors
    /// The field is no such number.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, LineError> {
        match self.opt(field) {
            Some(_) => self.number(field),
            None => Ok(default),
        }
    }

    /// An optional flag; false where it is missing.
    pub(super) fn flag(&self, field: &str) -> Result<bool, LineError> {
        self.opt(field)
            .map_or(Some(false), parse_flag)
            .ok_or_else(|| self.invalid(field, "is neither 0 nor 1"))
    }

    /// A list of flags.
    pub(super) fn flags(&self, field: &str) -> Result<Vec<bool>, LineError> {
        let flags: Option<Vec<bool>> = self.list(field).into_iter().map(parse_flag).collect();
        flags.ok_or_else(|| self.invalid(field, "holds what is neither 0 nor 1"))
    }

    /// A list of numbers.
    pub(super) fn numbers(&self, field: &str) -> Result<Vec<f64>, LineError> {
        let numbers = self.list(field).into_iter().map(str::parse);
        numbers.collect::<Result<_, _>>().map_err(|_| self.invalid(field, "is not a list of numbers"))
    }

    /// The engine that the message is about.
    pub(super) fn engine(&self) -> Result<EngineId, LineError> {
        self.text("engine").map(|engine| EngineId(Arc::from(engine)))
    }

    /// The items of a list, separated by commas; empty where the field is missing.
    pub fn list(&self, field: &str) -> Vec<&str> {
        let items = self.opt(field).map(|value| value.split(',').filter(|item| !item.is_empty()).collect());
        items.unwrap_or_default()
    }

    /// The load report, if there is one.
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
                value.parse().map_err(|_| self.invalid(FIELD, "holds a value that is not a number"))?;
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

/// A flag in either of the forms in which it is written.
fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "0" | "false" => Some(false),
        "1" | "true" => Some(true),
        _ => None,
    }
}

//! Checks each value of the operator's file against its form and converts it to the text of a setting.

use crate::config::schema::Form;
use hcl_edit::expr::Expression;
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// Number of milliseconds in a second.
const SECOND: f64 = 1_000.0;
/// Number of milliseconds in a minute.
const MINUTE: f64 = 60.0 * SECOND;
/// Number of milliseconds in an hour.
const HOUR: f64 = 60.0 * MINUTE;
/// Units of durations, in milliseconds.
const DURATION_UNITS: [(&str, f64); 4] = [("ms", 1.0), ("s", SECOND), ("m", MINUTE), ("h", HOUR)];
/// Units of sizes, in MiB.
const SIZE_UNITS: [(&str, f64); 3] = [("KiB", 1.0 / 1024.0), ("MiB", 1.0), ("GiB", 1024.0)];

/// Value of a key, converted to the form of a setting.
#[derive(Debug, Clone)]
pub(super) struct SettingValue {
    /// Text of the setting.
    pub(super) text: String,
    /// Items of a list, or empty if the value is not a list.
    pub(super) list: Vec<String>,
}

impl SettingValue {
    fn scalar(text: String) -> Self {
        Self { text, list: Vec::new() }
    }
}

/// Error for a value that does not have the form of its key.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub struct InvalidValue {
    /// Form that the value should have.
    pub expected: Form,
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.expected {
            Form::Word => write!(formatter, "must be text without space or comma"),
            Form::Text => write!(formatter, "must be text"),
            Form::OneOf(words) => write!(formatter, "must be one of {}", words.join(", ")),
            Form::Flag => write!(formatter, "must be true or false"),
            Form::Count(min, max) => write!(formatter, "must be a whole number from {min} to {max}"),
            Form::Number(min, max) => write!(formatter, "must be a number from {min} to {max}"),
            Form::Duration(min, max) => {
                let (min, max) = (duration_text(min), duration_text(max));
                write!(formatter, "must be text of a number and ms, s, m or h, from {min} to {max}")
            }
            Form::Size(min, max) => {
                write!(formatter, "must be text of a number and KiB, MiB or GiB, from {min} to {max} MiB")
            }
            Form::Address => write!(formatter, "must be an IP address with a port"),
            Form::Words => write!(formatter, "must be a list of texts without space or comma"),
            Form::Hex => write!(formatter, "must be text of up to 16 hex digits"),
        }
    }
}

/// Formats a duration in hours if it is at least 1 h, in seconds if it is at least 1 s, and otherwise in milliseconds.
fn duration_text(milliseconds: f64) -> String {
    if milliseconds >= HOUR {
        format!("{}h", milliseconds / HOUR)
    } else if milliseconds >= SECOND {
        format!("{}s", milliseconds / SECOND)
    } else {
        format!("{milliseconds}ms")
    }
}

/// Converts a value to the form of a setting.
///
/// # Errors
/// Fails if the value does not have the expected form.
pub(super) fn convert(value: &Expression, form: Form) -> Result<SettingValue, InvalidValue> {
    let setting = match form {
        Form::Words => words(value),
        _ => scalar(value, form).map(SettingValue::scalar),
    };
    setting.ok_or(InvalidValue { expected: form })
}

/// Returns the text of a scalar value, or `None` if the value does not have the expected form.
fn scalar(value: &Expression, form: Form) -> Option<String> {
    let text = value.as_str();
    let number = || value.as_number().and_then(hcl_edit::Number::as_f64).filter(|number| number.is_finite());
    match form {
        Form::Word => text.filter(|text| is_word(text)).map(str::to_owned),
        Form::Text => text.filter(|text| !text.is_empty() && !text.contains('\0')).map(str::to_owned),
        Form::OneOf(words) => text.filter(|text| words.contains(text)).map(str::to_owned),
        Form::Flag => value.as_bool().map(|flag| flag.to_string()),
        Form::Count(min, max) => {
            let in_range =
                |number: &f64| number.fract() == 0.0 && *number >= min as f64 && *number <= max as f64;
            number().filter(in_range).map(|number| format!("{number:.0}"))
        }
        Form::Number(min, max) => {
            number().filter(|number| *number >= min && *number <= max).map(|number| number.to_string())
        }
        Form::Duration(min, max) => parse_quantity(text?, &DURATION_UNITS, min, max).map(|ms| ms.to_string()),
        Form::Size(min, max) => parse_quantity(text?, &SIZE_UNITS, min, max).map(|mib| mib.to_string()),
        Form::Address => text?.parse::<SocketAddr>().ok().map(|address| address.to_string()),
        Form::Hex => text.filter(|text| u64::from_str_radix(text, 16).is_ok()).map(str::to_owned),
        Form::Words => None,
    }
}

fn words(value: &Expression) -> Option<SettingValue> {
    let word = |item: &Expression| item.as_str().filter(|text| is_word(text)).map(str::to_owned);
    let list: Vec<String> = value.as_array()?.iter().map(word).collect::<Option<_>>()?;
    Some(SettingValue { text: list.join(","), list })
}

/// Returns whether a text is not empty and contains no whitespace, comma or control character.
pub(super) fn is_word(text: &str) -> bool {
    let ends_word = |character: char| character.is_whitespace() || character.is_control() || character == ',';
    !text.is_empty() && !text.contains(ends_word)
}

/// Parses a number with a unit and converts it to the base unit. Returns `None` if the text is malformed or out of range.
fn parse_quantity(text: &str, units: &[(&str, f64)], min: f64, max: f64) -> Option<f64> {
    let text = text.trim();
    let unit_start = text.find(|character: char| character.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_start);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    let value = number.trim().parse::<f64>().ok()? * factor;
    (value.is_finite() && value >= min && value <= max).then_some(value)
}

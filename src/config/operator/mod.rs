//! Reads the operator's file: HCL that is checked against the [`schema`](super::schema) and converted to the same settings as the
//! platform's JSON. All faults of a file are reported at once, each with its line and key.
//!
//! `checker` checks each block by itself, `cross_checks` compares keys and blocks, and `settings` converts them to settings.

mod block;
mod checker;
mod cross_checks;
mod problem;
mod settings;
mod value;

pub use problem::{Fault, Problem};
pub use value::InvalidValue;

use super::raw::RawConfig;
use checker::Checker;
use starlingplank_pacing::poll_schedule;

/// Reads the operator's file: a complete configuration or, if `extends_platform` is set, one that adds to the platform's
/// configuration.
///
/// # Errors
/// Returns all faults of the file, in the order of their lines.
pub fn read(file: &str, text: &str, extends_platform: bool) -> Result<RawConfig, Vec<Problem>> {
    let body = hcl_edit::parser::parse_body(text).map_err(|error| {
        let fault = Fault::NotHcl(error.message().to_string());
        vec![Problem { file: file.into(), line: error.location().line(), key: String::new(), fault }]
    })?;
    let mut checker = Checker::new(file, text, extends_platform);
    let found = checker.check_file(&body);
    cross_checks::check(&mut checker, &found);
    let problems = checker.into_problems();
    if !problems.is_empty() {
        return Err(problems);
    }
    let mut raw = settings::to_raw(&found);
    // The platform's rules fix the poll interval of its name service. Without the platform, a longer interval may spare an overloaded
    // name service.
    if !extends_platform {
        let max_interval = || poll_schedule::DEFAULT_MAX_INTERVAL.to_string();
        raw.values.entry("pacing.list_slowest".into()).or_insert_with(max_interval);
    }
    Ok(raw)
}

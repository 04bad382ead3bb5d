//! The operator's file: HCL, checked against the [`schema`](super::schema) and turned into the same settings as the
//! platform's JSON. All faults of a file are reported at once, each with its line and key.
//!
//! `checker` checks each block by itself, `cross_checks` the file as a whole; `settings` turns it into settings.

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

/// Reads an operator's file: a whole configuration, or one that is read beside the platform's.
///
/// # Errors
/// All faults of the file, in the order of their lines.
pub fn read(file: &str, text: &str, beside_platform: bool) -> Result<RawConfig, Vec<Problem>> {
    let body = hcl_edit::parser::parse_body(text).map_err(|error| {
        let fault = Fault::NotHcl(error.message().to_string());
        vec![Problem { file: file.into(), line: error.location().line(), key: String::new(), fault }]
    })?;
    let mut checker = Checker::new(file, text, beside_platform);
    let found = checker.check_file(&body);
    cross_checks::check(&mut checker, &found);
    let problems = checker.into_problems();
    if !problems.is_empty() {
        return Err(problems);
    }
    let mut raw = settings::to_raw(&found);
    // The platform's rules fix the pace at which its name service is polled; elsewhere a service may be spared.
    if !beside_platform {
        let slowest = || poll_schedule::DEFAULT_MAX_INTERVAL.to_string();
        raw.pairs.entry("pacing.list_slowest".into()).or_insert_with(slowest);
    }
    Ok(raw)
}

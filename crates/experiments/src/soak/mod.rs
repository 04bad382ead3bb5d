//! A soak: many real gateways between engines, clients and name services, with overlapping faults that are drawn from a seed. What
//! clients and engines recorded is the ledger, in which the oracle finds violations of the rules.
//!
//! Faults are injected at the ends and in the processes: there is no relay between a gateway and its engines, so that paths that
//! are cut one way and reordered datagrams are not covered.

pub mod ledger;
pub mod oracle;

mod client;
mod configuration;
mod context;
mod crowd;
mod discovery;
mod engine;
mod faults;
mod options;
mod process;
mod report;
mod run;
mod schedule;

pub use options::SoakOptions;
pub use run::{run_soak, SoakResult};

use crate::harness::{Failure, RunOptions};
use crate::report::Figures;
use oracle::{RetryBudget, RuleParameters, SlowStart};

/// The deduplication window in the settings, in milliseconds.
const KEY_WINDOW_MS: u32 = 2_500;
/// The cores of an engine.
const CORES: f64 = 4.0;
/// The slow start in the settings: the multiple of its capacity above which a cold engine collapses, the span over which it
/// counts, the share of its capacity at its start, and the time until it is warm.
const COLLAPSE_MULTIPLE: f64 = 1.0;
const COLLAPSE_AFTER_MS: f64 = 2_000.0;
const SLOW_START_FROM: f64 = 0.31;
const SLOW_START_MS: f64 = 8_000.0;
/// The gateways of a run where no number is given, or one above the maximum.
const DEFAULT_GATEWAYS: usize = 12;
const MAX_GATEWAYS: usize = 40;

/// The parameters of the rules in a run.
pub fn rule_parameters() -> RuleParameters {
    let span = COLLAPSE_AFTER_MS / 1000.0;
    RuleParameters {
        // The settings' 20 ms, 50 ms more on sockets, and what a busy machine adds here.
        answer_grace: 0.15,
        abandoned_slack: 0.1,
        deadline_slack: 0.15,
        key_window: f64::from(KEY_WINDOW_MS) / 1000.0 + 0.05,
        drain_grace: 2.05,
        propagation_delay: 1.5,
        relocation_propagation_delay: 4.0,
        max_propagation_delay: 7.0,
        retry_budget: RetryBudget { base_retries: 2.0, per_request: 0.2, span: 10.0 },
        slow_start: SlowStart {
            warm_budget: COLLAPSE_MULTIPLE * CORES * COLLAPSE_AFTER_MS / 1000.0 / engine::MEAN_SERVICE_TIME,
            span,
            initial_share: SLOW_START_FROM,
            duration: SLOW_START_MS / 1000.0,
        },
        max_start_time: 10.0,
        max_shutdown_time: 3.7,
        max_log_lines: 40.0,
    }
}

/// The experiment: one run, and the violations in it.
pub(crate) async fn experiment(options: &RunOptions) -> Result<Figures, Failure> {
    let folder = tempfile::tempdir()?;
    let is_too_many = options.gateways > MAX_GATEWAYS;
    let soak = SoakOptions {
        program: options.program.clone(),
        faults_library: options.program.with_file_name("libstarlingplank_fault_injection.so"),
        folder: folder.path().to_owned(),
        seed: options.seed,
        gateways: if is_too_many { DEFAULT_GATEWAYS } else { options.gateways },
        seconds: options.seconds,
        without: options.without.clone(),
    };
    let result = run_soak(&soak).await?;
    report::print_violations(&result);
    Ok(Figures { json: report::figures(&soak, &result), chart: None })
}

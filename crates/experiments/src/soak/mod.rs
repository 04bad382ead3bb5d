//! Soak test: runs many real gateway processes between simulated engines, clients and name services, with overlapping faults that are
//! drawn from a seed. Clients and engines record their requests in the ledger, which the oracle then checks for violations of the rules.
//!
//! Faults are injected in the simulated peers and in the gateway processes. There is no relay between a gateway and its engines, so that
//! one-way network partitions and reordered datagrams are not covered.

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
use crate::report::ExperimentResult;
use oracle::{RetryBudget, RuleParameters, SlowStart};

/// Deduplication window of engines in the gateways' settings, in milliseconds.
const KEY_WINDOW_MS: u32 = 2_500;
/// Number of cores of an engine.
const CORES: f64 = 4.0;
/// Multiple of its capacity above which a cold engine collapses, in the gateways' settings of the slow start.
const COLLAPSE_MULTIPLE: f64 = 1.0;
/// Span in milliseconds over which the load of a cold engine counts.
const COLLAPSE_AFTER_MS: f64 = 2_000.0;
/// Share of its capacity that an engine has at its start.
const SLOW_START_FROM: f64 = 0.31;
/// Time in milliseconds from the start of an engine until it is warm.
const SLOW_START_MS: f64 = 8_000.0;
/// Number of gateways of a run for which a number above `MAX_GATEWAYS` is given.
const DEFAULT_GATEWAYS: usize = 12;
/// Maximum number of gateways of a run.
const MAX_GATEWAYS: usize = 40;

/// Returns the parameters of the oracle's rules that match the gateways' configuration.
pub fn rule_parameters() -> RuleParameters {
    let span = COLLAPSE_AFTER_MS / 1000.0;
    RuleParameters {
        // The settings allow 20 ms (`answer_slack`) and sockets add 50 ms. The rest allows for a busy machine.
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

/// Runs the experiment `soak`: one soak test, whose violations are printed and counted in the figures.
pub(crate) async fn experiment(options: &RunOptions) -> Result<ExperimentResult, Failure> {
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
    Ok(ExperimentResult { json: report::figures(&soak, &result), chart: None })
}

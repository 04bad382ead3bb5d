//! Runs a short soak test with fixed seeds. The verdict depends on counts: of answers, attempts, exits and violations, and of attempts at
//! engines seconds after the rule on drains has forbidden them. Time limits are so wide that a slow machine does not exceed them.

use rstest::rstest;
use starlingplank_experiments::soak::oracle::{self, RuleParameters, SlowStart};
use starlingplank_experiments::soak::{self, run_soak, SoakOptions};
use std::path::PathBuf;

/// Returns the path of a program or library in the build folder of this test.
fn build_artifact(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("path of the test binary");
    let folder = own.ancestors().nth(2).expect("build folder");
    // Cargo puts a library that is built as a dependency into the folder of the test binaries.
    let candidates = [folder.join(name), folder.join("deps").join(name)];
    let found = candidates.iter().find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{name}: build the whole workspace first")).clone()
}

/// Returns rule parameters with time limits so wide that the verdict depends on counts alone, except for drains and slow starts. Their
/// limits still reveal faults: a gateway that ignores a drain sends to the engine for at least 6 s, and one that treats a cold engine as
/// warm sends it several times its budget.
fn parameters_with_wide_time_limits() -> RuleParameters {
    const LONG: f64 = 60.0;
    const WIDER_GRACE: f64 = 2.0;
    const WIDER_BUDGET: f64 = 2.0;
    let parameters = soak::rule_parameters();
    let slow_start = parameters.slow_start;
    RuleParameters {
        answer_grace: LONG,
        abandoned_slack: LONG,
        deadline_slack: LONG,
        key_window: LONG,
        drain_grace: parameters.drain_grace + WIDER_GRACE,
        slow_start: SlowStart { warm_budget: WIDER_BUDGET * slow_start.warm_budget, ..slow_start },
        max_start_time: LONG,
        max_shutdown_time: LONG,
        max_log_lines: 1_000.0,
        ..parameters
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(6)]
#[case(7)]
#[case(8)]
fn rules_hold_under_overlapping_faults(#[case] seed: u64) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let options = SoakOptions {
        program: build_artifact("starlingplank"),
        faults_library: build_artifact("libstarlingplank_fault_injection.so"),
        folder: folder.path().to_owned(),
        seed,
        gateways: 4,
        seconds: 6.0,
        without: Vec::new(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("Tokio runtime");
    let result =
        tokio::task::LocalSet::new().block_on(&runtime, run_soak(&options)).expect("completed soak run");
    let violations = oracle::violations(&result.ledger, &parameters_with_wide_time_limits());
    assert!(violations.is_empty(), "{violations:#?}\n{:#?}\n{:#?}", result.schedule, result.errors);
    assert!(result.ledger.requests.len() > 20, "{} requests", result.ledger.requests.len());
}

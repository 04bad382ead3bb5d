//! A small soak with fixed seeds. Its verdict hangs on counts: on answers, attempts, exits and violations, and on engines that are
//! still used seconds after the rule on drains has ended, with terms so wide that a slow machine breaks none of them.

use rstest::rstest;
use starlingplank_experiments::soak::oracle::{self, RuleParameters, SlowStart};
use starlingplank_experiments::soak::{self, run_soak, SoakOptions};
use std::path::PathBuf;

/// What was built beside these tests.
fn built(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let folder = own.ancestors().nth(2).expect("the folder of builds");
    // A library that is built as a dependency lies beside the tests.
    let places = [folder.join(name), folder.join("deps").join(name)];
    let found = places.iter().find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{name}: build the whole workspace first")).clone()
}

/// The rules that count, without times, but for drains and slow starts: an engine drains for at least 6 s, and a program that does not heed
/// that uses it until then; one that takes a cold engine for warm sends it several times its budget.
fn parameters_without_times() -> RuleParameters {
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
fn rules_hold_under_overlapping_troubles(#[case] seed: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let options = SoakOptions {
        program: built("starlingplank"),
        faults_library: built("libstarlingplank_fault_injection.so"),
        folder: folder.path().to_owned(),
        seed,
        gateways: 4,
        seconds: 6.0,
        without: Vec::new(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let played = tokio::task::LocalSet::new().block_on(&runtime, run_soak(&options)).expect("it is played");
    let violations = oracle::violations(&played.ledger, &parameters_without_times());
    assert!(violations.is_empty(), "{violations:#?}\n{:#?}\n{:#?}", played.schedule, played.errors);
    assert!(played.ledger.requests.len() > 20, "{} requests", played.ledger.requests.len());
}

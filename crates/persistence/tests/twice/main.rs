//! Tests that no keyed request is executed twice. Processes of a gateway are simulated in virtual time, stopped at random times
//! and on a disk that fails. Clients repeat their requests, and engines drop repeats of a key only for a limited window.

mod engines;
mod incarnation;
mod machine;
mod restarts;
mod upgrades;

use restarts::{Disk, Restarts};
use upgrades::Upgrades;

#[test]
fn no_keyed_request_runs_twice_if_processes_are_stopped_at_any_time() {
    let (mut runs, mut incarnations) = (0, 0);
    for seed in 0..300 {
        let outcome = Restarts::simulate(seed, seed % 2 == 0, Disk::Good, true);
        assert_eq!(outcome.engines.repeated_runs(), 0, "seed {seed}");
        runs += outcome.engines.run_count();
        incarnations += outcome.incarnations;
    }
    assert!(runs > 10_000 && incarnations > 5_000, "only {runs} requests ran in {incarnations} processes");
}

#[test]
fn no_keyed_request_runs_twice_if_the_disk_fails_or_the_log_is_missing() {
    let mut runs = 0;
    for seed in 1_000..1_300 {
        let engines = Restarts::simulate(seed, seed % 2 == 0, Disk::Bad, true).engines;
        assert_eq!(engines.repeated_runs(), 0, "seed {seed}");
        runs += engines.run_count();
    }
    assert!(runs > 5_000, "only {runs} requests ran");
}

/// Runs the same processes without a log to show that the tests above can detect a repeated execution.
#[test]
fn keyed_requests_run_twice_without_a_log() {
    let simulate = |seed| Restarts::simulate(seed, false, Disk::Good, false).engines;
    let twice: usize = (0..40).map(|seed| simulate(seed).repeated_runs()).sum();
    assert!(twice > 20, "{twice}");
}

#[test]
fn no_keyed_request_runs_twice_during_upgrades() {
    let (mut runs, mut takeovers) = (0, 0);
    for seed in 0..300 {
        let outcome = Upgrades::simulate(seed, true);
        assert_eq!(outcome.engines.repeated_runs(), 0, "seed {seed}");
        runs += outcome.engines.run_count();
        takeovers += outcome.takeovers;
    }
    assert!(
        runs > 10_000 && takeovers > 5_000,
        "only {runs} requests ran, and {takeovers} processes took over"
    );
}

/// Runs the same upgrades without the file that marks unrecorded sends, to show that the test above can detect a repeated
/// execution.
#[test]
fn keyed_requests_run_twice_after_an_interrupted_upgrade_without_a_marker() {
    let simulate = |seed| Upgrades::simulate(seed, false).engines;
    let twice: usize = (0..100).map(|seed| simulate(seed).repeated_runs()).sum();
    assert!(twice > 0, "{twice}");
}

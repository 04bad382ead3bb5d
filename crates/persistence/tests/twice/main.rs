//! Nothing keyed runs twice. Successive processes of a gateway in virtual time, on a disk that fails, each stopped at any
//! moment; clients that repeat their loads; engines that drop repeats of a key for a window and no longer.

mod engines;
mod incarnation;
mod machine;
mod restarts;
mod upgrades;

use restarts::{Disk, Restarts};
use upgrades::Upgrades;

#[test]
fn nothing_keyed_runs_twice_through_stops_at_any_point() {
    let (mut runs, mut incarnations) = (0, 0);
    for seed in 0..300 {
        let outcome = Restarts::simulate(seed, seed % 2 == 0, Disk::Good, true);
        assert_eq!(outcome.engines.repeated_runs(), 0, "seed {seed}");
        runs += outcome.engines.run_count();
        incarnations += outcome.incarnations;
    }
    assert!(runs > 10_000 && incarnations > 5_000, "loads do run: {runs} in {incarnations} lives");
}

#[test]
fn nothing_keyed_runs_twice_on_a_disk_that_fails_or_is_gone() {
    let mut runs = 0;
    for seed in 1_000..1_300 {
        let engines = Restarts::simulate(seed, seed % 2 == 0, Disk::Bad, true).engines;
        assert_eq!(engines.repeated_runs(), 0, "seed {seed}");
        runs += engines.run_count();
    }
    assert!(runs > 5_000, "loads do run: {runs}");
}

/// The same processes without a log: shows that the test can fail.
#[test]
fn without_a_log_loads_do_run_twice() {
    let simulate = |seed| Restarts::simulate(seed, false, Disk::Good, false).engines;
    let twice: usize = (0..40).map(|seed| simulate(seed).repeated_runs()).sum();
    assert!(twice > 20, "{twice}");
}

#[test]
fn nothing_keyed_runs_twice_while_versions_take_over_from_each_other() {
    let (mut runs, mut takeovers) = (0, 0);
    for seed in 0..300 {
        let outcome = Upgrades::simulate(seed, true);
        assert_eq!(outcome.engines.repeated_runs(), 0, "seed {seed}");
        runs += outcome.engines.run_count();
        takeovers += outcome.takeovers;
    }
    assert!(runs > 10_000 && takeovers > 5_000, "{runs} runs, {takeovers} versions took over");
}

/// The same without the marker of unrecorded sends: shows that the test can fail.
#[test]
fn upgrade_cut_short_that_nobody_knows_of_runs_loads_twice() {
    let simulate = |seed| Upgrades::simulate(seed, false).engines;
    let twice: usize = (0..100).map(|seed| simulate(seed).repeated_runs()).sum();
    assert!(twice > 0, "{twice}");
}

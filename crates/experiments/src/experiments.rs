//! The experiments, one module for each. An experiment measures its baseline in the same run, and its module documents what it does not
//! cover.

mod cold_return;
mod cold_start;
mod cost;
mod idle;
mod restart;
mod turns;
mod warm_start;

use crate::harness::{Failure, RunOptions};
use crate::report::ExperimentResult;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

type Run<'a> = Pin<Box<dyn Future<Output = Result<ExperimentResult, Failure>> + 'a>>;

/// An experiment that can be run from the command line.
pub struct Experiment {
    /// Name on the command line and of the result files in `results/`.
    pub name: &'static str,
    /// Description of what the experiment measures, printed by `list`.
    pub description: &'static str,
    /// Runs the experiment on the current `LocalSet`.
    pub run: for<'a> fn(&'a RunOptions) -> Run<'a>,
}

/// All experiments, in the order in which `list` prints them.
pub const ALL: [Experiment; 8] = [
    Experiment {
        name: "soak",
        description: "many gateways under overlapping faults drawn from a seed: violations of the rules",
        run: |options| Box::pin(crate::soak::experiment(options)),
    },
    Experiment {
        name: "turns",
        description:
            "time of one decision and one step of the control period at 8 to 1,000 engines, relative to 8",
        run: |options| Box::pin(async { turns::run(options.seed) }),
    },
    Experiment {
        name: "idle",
        description: "closed loops on idle engines: rejections, and latency added by the gateway",
        run: |options| Box::pin(idle::run(options)),
    },
    Experiment {
        name: "restart",
        description:
            "the program killed at random times under load: torn files, loads executed twice, lost answers",
        run: |options| Box::pin(restart::run(options)),
    },
    Experiment {
        name: "cold-return",
        description:
            "half of the engines return cold, recorded as warm in the snapshot: work sent relative to budget",
        run: |options| Box::pin(cold_return::run(options)),
    },
    Experiment {
        name: "warm-start",
        description:
            "share of requests within their latency objective after a restart, with a snapshot and without",
        run: |options| Box::pin(warm_start::run(options)),
    },
    Experiment {
        name: "cold-start",
        description:
            "many gateways that start together: polls of the name service, and time until all hold the list",
        run: |options| Box::pin(cold_start::run(options)),
    },
    Experiment {
        name: "cost",
        description: "cost of snapshots and of the idempotency log, relative to a run without them",
        run: |options| Box::pin(cost::run(options)),
    },
];

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

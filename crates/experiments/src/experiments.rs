//! The experiments, one module each. Each has its baseline in the same run and says what it does not show.

mod cold_return;
mod cold_start;
mod cost;
mod idle;
mod restart;
mod turns;
mod warm_start;

use crate::harness::{Failure, RunOptions};
use crate::report::Figures;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

type Run<'a> = Pin<Box<dyn Future<Output = Result<Figures, Failure>> + 'a>>;

/// An experiment.
pub struct Experiment {
    /// The name on the command line, and of its files in `results/`.
    pub name: &'static str,
    /// What it shows.
    pub description: &'static str,
    /// Runs it on the current local set.
    pub run: for<'a> fn(&'a RunOptions) -> Run<'a>,
}

/// All experiments.
pub const ALL: [Experiment; 8] = [
    Experiment {
        name: "soak",
        description: "many gateways under overlapping troubles from a seed, and the rules that broke",
        run: |options| Box::pin(crate::soak::experiment(options)),
    },
    Experiment {
        name: "turns",
        description: "time of one decision and one step at 8 to 1,000 engines, against 8",
        run: |options| Box::pin(async { turns::run(options.seed) }),
    },
    Experiment {
        name: "idle",
        description: "closed loops on idle engines: refusals and what the gateway adds to the time",
        run: |options| Box::pin(idle::run(options)),
    },
    Experiment {
        name: "restart",
        description:
            "the program killed at random moments under load: torn files, loads run twice, lost answers",
        run: |options| Box::pin(restart::run(options)),
    },
    Experiment {
        name: "cold-return",
        description: "a room back cold that the knowledge calls warm: what it is sent against its budget",
        run: |options| Box::pin(cold_return::run(options)),
    },
    Experiment {
        name: "warm-start",
        description: "share of requests in their aim after a start, with knowledge and without",
        run: |options| Box::pin(warm_start::run(options)),
    },
    Experiment {
        name: "cold-start",
        description:
            "many gateways that start together: what their list service is asked, and when all hold the list",
        run: |options| Box::pin(cold_start::run(options)),
    },
    Experiment {
        name: "cost",
        description: "what snapshots and the log of keys cost, on against off",
        run: |options| Box::pin(cost::run(options)),
    },
];

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

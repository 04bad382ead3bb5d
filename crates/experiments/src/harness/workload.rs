//! Workload of the clients: classes of requests, and arrivals drawn from a seed.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// A class of requests. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct WorkloadClass {
    /// Name of the class in the gateways' settings and in requests.
    pub name: &'static str,
    /// Share of the arrivals that belong to the class.
    pub arrival_share: f64,
    /// Mean work of a request, on one core.
    pub mean_work: f64,
    /// Number of threads that execute a request.
    pub threads: f64,
    /// Constant part of the latency objective.
    pub latency_objective: f64,
    /// Part of the latency objective that grows with the work, as a multiple of the time that the work takes on its threads.
    pub objective_stretch: f64,
    /// Timeout of the clients.
    pub client_timeout: f64,
}

/// Classes of the experiments.
pub const CLASSES: [WorkloadClass; 3] = [
    WorkloadClass {
        name: "lookup",
        arrival_share: 0.82,
        mean_work: 250.0,
        threads: 1.0,
        latency_objective: 1_200.0,
        objective_stretch: 2.0,
        client_timeout: 6_000.0,
    },
    WorkloadClass {
        name: "report",
        arrival_share: 0.13,
        mean_work: 2_900.0,
        threads: 3.0,
        latency_objective: 1_500.0,
        objective_stretch: 2.5,
        client_timeout: 20_000.0,
    },
    WorkloadClass {
        name: "load",
        arrival_share: 0.05,
        mean_work: 3_900.0,
        threads: 2.0,
        latency_objective: 3_000.0,
        objective_stretch: 3.0,
        client_timeout: 20_000.0,
    },
];

/// Index of the class whose requests have an idempotency key.
pub const KEYED_CLASS: usize = 2;
/// Parameters of the log-normal factor by which the work of requests varies. The mean of the factor is 1.
const WORK_SPREAD_MU: f64 = -0.32;
const WORK_SPREAD_SIGMA: f64 = 0.8;
/// Bounds of the work of a request, in milliseconds on one core.
const MIN_WORK: f64 = 1.0;
const MAX_WORK: f64 = 60_000.0;

/// A request that a client sends when it is due.
#[derive(Debug, Clone)]
pub struct Job {
    /// Time at which the request is due, in milliseconds after the start of the arrivals.
    pub at: f64,
    /// Index of the request's class in [`CLASSES`].
    pub class: usize,
    /// Work of the request, in milliseconds on one core.
    pub work: f64,
    /// Idempotency key of the request, if its class has keys.
    pub key: Option<String>,
}

/// Returns the sum of the arrival shares of the classes, and the sum of their shares times their mean work.
fn arrival_sums(classes: &[WorkloadClass]) -> (f64, f64) {
    let share = classes.iter().map(|class| class.arrival_share).sum();
    let work = classes.iter().map(|class| class.arrival_share * class.mean_work).sum();
    (share, work)
}

/// Returns the mean work of a request over the given classes, in milliseconds on one core.
pub fn mean_work(classes: &[WorkloadClass]) -> f64 {
    let (share, work) = arrival_sums(classes);
    work / share
}

/// Draws the arrivals over a span in milliseconds, of the first `classes` classes by their shares. Their work occupies `cores` cores on
/// average.
pub fn arrivals(seed: u64, cores: f64, span: f64, classes: usize) -> Vec<Job> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let classes = &CLASSES[..classes];
    let (share, _) = arrival_sums(classes);
    let gap = Exp::new(cores * 1000.0 / mean_work(classes) / 1000.0).ok();
    let spread = LogNormal::new(WORK_SPREAD_MU, WORK_SPREAD_SIGMA).ok();
    let (mut at, mut jobs) = (0.0, Vec::new());
    while at < span {
        at += gap.map_or(1.0, |gap| gap.sample(&mut rng));
        let class = draw_class(classes, rng.random_range(0.0..share));
        let work = classes[class].mean_work * spread.map_or(1.0, |spread| spread.sample(&mut rng));
        let key = (class == KEYED_CLASS).then(|| format!("{:032x}", rng.random::<u128>()));
        jobs.push(Job { at, class, work: work.clamp(MIN_WORK, MAX_WORK), key });
    }
    jobs
}

/// Returns the index of the class for a draw between 0 and the sum of all arrival shares.
fn draw_class(classes: &[WorkloadClass], mut draw: f64) -> usize {
    for (index, class) in classes.iter().enumerate() {
        draw -= class.arrival_share;
        if draw < 0.0 {
            return index;
        }
    }
    0
}

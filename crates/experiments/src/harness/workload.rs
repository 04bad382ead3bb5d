//! The requests of clients: their classes, and arrivals that follow from a seed.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// A class of requests. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct WorkloadClass {
    /// Its name.
    pub name: &'static str,
    /// Its share of the arrivals.
    pub arrival_share: f64,
    /// The mean work, on one core.
    pub mean_work: f64,
    /// The threads that execute a request.
    pub threads: f64,
    /// The latency objective without its part that grows with the work.
    pub latency_objective: f64,
    /// The latency objective grows by so many times the time that the work takes on its threads.
    pub objective_stretch: f64,
    /// How long clients wait.
    pub client_timeout: f64,
}

/// The classes of the experiments.
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

/// The index of the class whose requests have an idempotency key.
pub const KEYED_CLASS: usize = 2;
/// The parameters of the spread of work: its mean is 1.
const WORK_SPREAD_MU: f64 = -0.32;
const WORK_SPREAD_SIGMA: f64 = 0.8;
/// The bounds of the work of a request, in milliseconds.
const MIN_WORK: f64 = 1.0;
const MAX_WORK: f64 = 60_000.0;

/// A request that a client is to send.
#[derive(Debug, Clone)]
pub struct Job {
    /// When it is due, in milliseconds from the start of the arrivals.
    pub at: f64,
    /// The index of its class.
    pub class: usize,
    /// Work in milliseconds on one core.
    pub work: f64,
    /// Its idempotency key.
    pub key: Option<String>,
}

/// The sum of the arrival shares of classes, and of their shares times their mean work.
fn arrival_sums(classes: &[WorkloadClass]) -> (f64, f64) {
    let share = classes.iter().map(|class| class.arrival_share).sum();
    let work = classes.iter().map(|class| class.arrival_share * class.mean_work).sum();
    (share, work)
}

/// The mean work of a request over classes, in milliseconds on one core.
pub fn mean_work(classes: &[WorkloadClass]) -> f64 {
    let (share, work) = arrival_sums(classes);
    work / share
}

/// Arrivals with so many cores' worth of work, over a span in milliseconds, of the first `classes` classes by their shares.
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

/// The class of a draw between 0 and the sum of all shares.
fn draw_class(classes: &[WorkloadClass], mut draw: f64) -> usize {
    for (index, class) in classes.iter().enumerate() {
        draw -= class.arrival_share;
        if draw < 0.0 {
            return index;
        }
    }
    0
}

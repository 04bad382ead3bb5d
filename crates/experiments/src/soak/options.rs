//! The options of a run.

use std::path::PathBuf;

/// The options of a run.
pub struct SoakOptions {
    /// The program.
    pub program: PathBuf,
    /// The library of system-call faults.
    pub faults_library: PathBuf,
    /// An empty folder.
    pub folder: PathBuf,
    /// All random draws follow from it.
    pub seed: u64,
    /// The number of gateways.
    pub gateways: usize,
    /// The time in which faults begin, in seconds.
    pub seconds: f64,
    /// The faults to leave out, by their numbers in the schedule, to shorten a failing seed.
    pub without: Vec<usize>,
}

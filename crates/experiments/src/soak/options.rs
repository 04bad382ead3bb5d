//! Options of a soak test.

use std::path::PathBuf;

/// Options of a soak test.
pub struct SoakOptions {
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Path of the library that injects system-call faults.
    pub faults_library: PathBuf,
    /// Empty folder for the files of the run.
    pub folder: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Time in seconds within which faults begin.
    pub seconds: f64,
    /// Numbers of the scheduled faults to leave out, to reduce the schedule of a failing seed.
    pub without: Vec<usize>,
}

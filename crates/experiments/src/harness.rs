//! What experiments share: fleets of engine doubles, the program as a process, arrivals that follow from a seed, and clients
//! that send requests when they are due, whether or not earlier ones were answered.

pub mod clients;
pub mod configuration;
pub mod engines;
pub mod gateway;
pub mod workload;

use std::path::{Path, PathBuf};

/// The error of an experiment: it is only printed.
pub type Failure = Box<dyn std::error::Error>;

/// The options of a run. It owns the folder of the run's files, which is removed with it.
pub struct RunOptions {
    /// The program under test.
    pub program: PathBuf,
    /// Arrivals, work and faults follow from it.
    pub seed: u64,
    /// The number of kills, in `restart`.
    pub kills: u32,
    /// The number of queries of a closed loop, in `idle`.
    pub queries: usize,
    /// The number of gateways, in `cold-start` and `soak`.
    pub gateways: usize,
    /// The time in which faults begin, in `soak`.
    pub seconds: f64,
    /// The faults to leave out, by their numbers in the schedule, in `soak`.
    pub without: Vec<usize>,
    /// An earlier version of the program, in `cold-start`.
    pub baseline: Option<PathBuf>,
    /// The scenarios, in `cold-start`; all if it is empty.
    pub only: Vec<String>,
    /// The folder of the run's files.
    pub folder: tempfile::TempDir,
}

impl RunOptions {
    /// A folder of that name for the program.
    pub fn subfolder(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }
}

/// The lines of a `knowledge` block of an operator's file.
pub fn knowledge_block(folder: &Path, further_lines: &str) -> String {
    format!("  folder = {folder:?}\n{further_lines}")
}

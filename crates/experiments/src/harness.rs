//! Parts shared by the experiments: fleets of engine doubles, gateway processes, a workload of arrivals drawn from a seed, and clients
//! that send each request when it is due, regardless of whether earlier ones were answered.

pub mod clients;
pub mod configuration;
pub mod engines;
pub mod gateway;
pub mod workload;

use std::path::{Path, PathBuf};

/// Error of an experiment. Errors are only printed, so they need no type of their own.
pub type Failure = Box<dyn std::error::Error>;

/// Options of an experiment's run. Owns the folder of the run's files, which is removed when the options are dropped.
pub struct RunOptions {
    /// Path of the gateway program under test.
    pub program: PathBuf,
    /// Seed from which arrivals, work and faults are drawn.
    pub seed: u64,
    /// Number of times the gateway is killed, in `restart`.
    pub kills: u32,
    /// Number of queries of each case on fast engines, in `idle`.
    pub queries: usize,
    /// Number of gateways, in `cold-start` and `soak`.
    pub gateways: usize,
    /// Duration of the phase in which faults begin, in seconds, in `soak`.
    pub seconds: f64,
    /// Faults to leave out, by their numbers in the schedule, in `soak`.
    pub without: Vec<usize>,
    /// Path of an earlier version of the program, the baseline in `cold-start`.
    pub baseline: Option<PathBuf>,
    /// Names or files of the scenarios to run, in `cold-start`; empty for all built-in scenarios.
    pub only: Vec<String>,
    /// Folder of the run's files.
    pub folder: tempfile::TempDir,
}

impl RunOptions {
    /// Returns the path of a file or folder of the given name in the run's folder.
    pub fn subfolder(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }
}

/// Returns the lines of the `knowledge` block of an operator's file, without the braces.
pub fn knowledge_block(folder: &Path, further_lines: &str) -> String {
    format!("  folder = {folder:?}\n{further_lines}")
}

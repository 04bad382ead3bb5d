//! `starlingplank-experiments run NAME`: runs an experiment with the real gateway program between test doubles on loopback.
//!
//! The input is a seed. The output is metrics, printed as text or JSON and written as tables and charts under `results/`.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use starlingplank_experiments::harness::{Failure, RunOptions};
use starlingplank_experiments::{experiments, report};
use std::path::PathBuf;
use std::process::ExitCode;

/// Maximum number of gateways of a run.
const MAX_GATEWAYS: usize = 1_000;
/// Range of the duration of the phase in which faults begin, in seconds.
const MIN_SECONDS: f64 = 2.0;
const MAX_SECONDS: f64 = 600.0;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment
    Run(RunArguments),
    /// List the names and descriptions of the experiments
    List,
}

#[derive(clap::Args)]
struct RunArguments {
    /// Name of the experiment; `list` prints all names
    name: String,
    /// Seed from which arrivals, work and faults are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of times the gateway is killed, in `restart`
    #[arg(long, default_value_t = 50)]
    kills: u32,
    /// Number of queries of each case on fast engines, in `idle`
    #[arg(long, default_value_t = 20_000)]
    queries: usize,
    /// Print the metrics as JSON
    #[arg(long)]
    json: bool,
    /// Folder to which tables and charts are written
    #[arg(long, default_value = "results")]
    out: PathBuf,
    /// Number of gateways, in `cold-start`
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Number of gateways, in `soak`
    #[arg(long)]
    processes: Option<usize>,
    /// Duration of the phase in which faults begin, in seconds, in `soak`
    #[arg(long, default_value_t = 14.0)]
    seconds: f64,
    /// Faults to leave out, by their numbers in the schedule, in `soak`
    #[arg(long, value_delimiter = ',')]
    without: Vec<usize>,
    /// Scenarios to run, in `cold-start`: names of built-in scenarios, or paths of scenario files; all built-in ones by default
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Path of an earlier version of the program, which runs each scenario as the baseline, in `cold-start`
    #[arg(long)]
    baseline: Option<PathBuf>,
    /// Path of the gateway program; by default `starlingplank` in the folder of this program
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::List => {
            for experiment in &experiments::ALL {
                println!("{:<12} {}", experiment.name, experiment.description);
            }
            ExitCode::SUCCESS
        }
        Command::Run(arguments) => match run(&arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("starlingplank-experiments: {}: {error}", arguments.name);
                ExitCode::FAILURE
            }
        },
    }
}

fn run(arguments: &RunArguments) -> Result<(), Failure> {
    let experiment = experiments::ALL.iter().find(|experiment| experiment.name == arguments.name);
    let Some(experiment) = experiment else {
        return Err("unknown experiment; `starlingplank-experiments list` prints all names".into());
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let options = options(arguments)?;
    let result = tokio::task::LocalSet::new().block_on(&runtime, (experiment.run)(&options))?;
    report::save(&arguments.out, experiment.name, arguments.seed, &result)?;
    if arguments.json {
        println!("{:#}", result.json);
    } else {
        print!("{}", report::format_metrics(&result.json));
    }
    Ok(())
}

fn options(arguments: &RunArguments) -> std::io::Result<RunOptions> {
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("starlingplank"),
    };
    Ok(RunOptions {
        program,
        seed: arguments.seed,
        kills: arguments.kills,
        queries: arguments.queries,
        gateways: arguments.processes.unwrap_or(arguments.gateways).clamp(1, MAX_GATEWAYS),
        seconds: arguments.seconds.clamp(MIN_SECONDS, MAX_SECONDS),
        without: arguments.without.clone(),
        baseline: arguments.baseline.clone(),
        only: arguments.only.clone(),
        folder: tempfile::tempdir()?,
    })
}

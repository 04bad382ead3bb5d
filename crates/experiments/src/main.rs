//! `starlingplank-experiments run NAME`: an experiment with the real program, between test doubles on loopback.
//!
//! The input is a seed; the output are figures, as JSON and as rows and charts under `results/`.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use starlingplank_experiments::harness::{Failure, RunOptions};
use starlingplank_experiments::{experiments, report};
use std::path::PathBuf;
use std::process::ExitCode;

/// The gateways of a run.
const MAX_GATEWAYS: usize = 1_000;
/// The time in which faults begin, in seconds.
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
    /// Name the experiments
    List,
}

#[derive(clap::Args)]
struct RunArguments {
    /// Which: see `list`
    name: String,
    /// Arrivals, work and faults follow from it
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Kills, in `restart`
    #[arg(long, default_value_t = 50)]
    kills: u32,
    /// Queries of a closed loop, in `idle`
    #[arg(long, default_value_t = 20_000)]
    queries: usize,
    /// Print the figures as JSON
    #[arg(long)]
    json: bool,
    /// Where rows and charts are kept
    #[arg(long, default_value = "results")]
    out: PathBuf,
    /// Gateways, in `cold-start`
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Gateways, in `soak`
    #[arg(long)]
    processes: Option<usize>,
    /// Seconds in which troubles begin, in `soak`
    #[arg(long, default_value_t = 14.0)]
    seconds: f64,
    /// Troubles to leave out, by their numbers in the schedule, in `soak`
    #[arg(long, value_delimiter = ',')]
    without: Vec<usize>,
    /// Plays, in `cold-start`: names of scenarios, or files of one's own; all that are kept by default
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// An earlier version of the program, played in the same run
    #[arg(long)]
    baseline: Option<PathBuf>,
    /// The program; the one beside this by default
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
        return Err("there is no such experiment; see list".into());
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let options = options(arguments)?;
    let figures = tokio::task::LocalSet::new().block_on(&runtime, (experiment.run)(&options))?;
    report::keep(&arguments.out, experiment.name, arguments.seed, &figures)?;
    if arguments.json {
        println!("{:#}", figures.json);
    } else {
        print!("{}", report::text(&figures.json));
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

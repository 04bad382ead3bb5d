//! `starlingplank-experiments run NAME`: an experiment on the real program, between stand-ins on loopback.
//!
//! A seed goes in, figures come out, as JSON and as rows and charts under `results/`. Each experiment has its
//! baseline in the same run and says what it does not show.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use starlingplank_experiments::{bed, experiments, report};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment
    Run(Run),
    /// Name the experiments
    List,
}

#[derive(clap::Args)]
pub struct Run {
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
            experiments::ALL.iter().for_each(|(name, what, _)| println!("{name:<12} {what}"));
            ExitCode::SUCCESS
        }
        Command::Run(run) => match go(&run) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("starlingplank-experiments: {}: {e}", run.name);
                ExitCode::FAILURE
            }
        },
    }
}

fn go(run: &Run) -> Result<(), Box<dyn std::error::Error>> {
    let Some((name, _, experiment)) = experiments::ALL.iter().find(|(name, ..)| *name == run.name) else {
        return Err("there is no such experiment; see list".into());
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let program = match &run.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("starlingplank"),
    };
    let lab = bed::Lab {
        program,
        seed: run.seed,
        kills: run.kills,
        queries: run.queries,
        gateways: run.processes.unwrap_or(run.gateways).clamp(1, 1_000),
        seconds: run.seconds.clamp(2.0, 600.0),
        without: run.without.clone(),
        baseline: run.baseline.clone(),
        only: run.only.clone(),
        dir: tempfile::tempdir()?,
    };
    let figures = tokio::task::LocalSet::new().block_on(&runtime, experiment(&lab))?;
    report::keep(&run.out, name, run.seed, &figures)?;
    if run.json {
        println!("{:#}", figures.json);
    } else {
        print!("{}", report::text(&figures.json));
    }
    Ok(())
}

//! The gateway's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use starlingplank::config::{Config, ConfigFiles, LoadError};
use starlingplank::net::clock::Clock;
use starlingplank::net::runtime::{ServeError, Signals};
use starlingplank::net::{log, persistence, runtime};
use starlingplank_persistence::{inspection, recovery};
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// The exit code where there is nothing to show.
const NOTHING_THERE: u8 = 2;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM (the default)
    Serve(Files),
    /// Read the configuration, say whether it can be used, and end
    CheckConfig(Files),
    /// What is kept through restarts
    #[command(subcommand)]
    Knowledge(Knowledge),
    /// Say which version this is
    Version,
}

#[derive(Subcommand)]
enum Knowledge {
    /// Every figure of the last snapshot, with its age and what it would be worth now
    Show {
        /// The folder
        folder: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
        /// The operator's file, for the times by which it is judged
        #[arg(long)]
        operator: Option<PathBuf>,
    },
    /// Whether the last snapshot and the log of keys are whole: ends with 0, with 1 and a line for each fault, or
    /// with 2 where there is nothing
    Verify {
        /// The folder
        folder: PathBuf,
    },
}

#[derive(clap::Args, Default)]
struct Files {
    /// The platform's configuration, JSON
    #[arg(long, env = "PROXY_CONFIG")]
    config: Option<PathBuf>,
    /// The operator's file, HCL: a whole configuration, or what stands beside the platform's
    #[arg(long, env = "STARLINGPLANK_OPERATOR")]
    operator: Option<PathBuf>,
}

impl Files {
    /// The files that the environment names.
    fn from_environment() -> Self {
        let file = |name| std::env::var_os(name).filter(|path| !path.is_empty()).map(PathBuf::from);
        Self { config: file("PROXY_CONFIG"), operator: file("STARLINGPLANK_OPERATOR") }
    }
}

impl From<Files> for ConfigFiles {
    fn from(files: Files) -> Self {
        Self { platform: files.config, operator: files.operator }
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The runtime cannot be started, or the output cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The gateway could not serve.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A folder of persisted state cannot be read.
    #[error("{}: {source}", .folder.display())]
    Folder { folder: PathBuf, source: Box<dyn Error> },
}

impl CommandError {
    fn folder(folder: &Path, source: impl Into<Box<dyn Error>>) -> Self {
        Self::Folder { folder: folder.to_owned(), source: source.into() }
    }
}

fn main() -> ExitCode {
    // Without a command it serves: the platform's run line names the program alone.
    let command = Cli::parse().command.unwrap_or_else(|| Command::Serve(Files::from_environment()));
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            // It ends with its code whether or not this can be written.
            let _ = writeln!(io::stderr(), "starlingplank: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Serve(files) => serve(&files.into()),
        Command::CheckConfig(files) => check_config(&files.into()),
        Command::Knowledge(Knowledge::Show { folder, json, operator }) => {
            show_knowledge(&folder, json, operator)
        }
        Command::Knowledge(Knowledge::Verify { folder }) => verify_knowledge(&folder),
        Command::Version => {
            writeln!(io::stdout(), "starlingplank {}", env!("CARGO_PKG_VERSION"))?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn serve(files: &ConfigFiles) -> Result<ExitCode, CommandError> {
    let threads = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Before the configuration is read, which may take long: a signal without a handler would end the program.
    let signals = threads.block_on(Signals::register())?;
    let config = files.load()?;
    log::start(&config.log);
    let serve = runtime::serve(config, signals, || files.load());
    tokio::task::LocalSet::new().block_on(&threads, serve)?;
    Ok(ExitCode::SUCCESS)
}

fn check_config(files: &ConfigFiles) -> Result<ExitCode, CommandError> {
    let Config { name, endpoints, settings, .. } = files.load()?;
    writeln!(io::stdout(), "{name}: {} engines, {} classes", endpoints.len(), settings.classes.len())?;
    Ok(ExitCode::SUCCESS)
}

fn show_knowledge(folder: &Path, json: bool, operator: Option<PathBuf>) -> Result<ExitCode, CommandError> {
    let rules = match operator {
        Some(_) => {
            let config = ConfigFiles { platform: None, operator }.load()?;
            let overload_collapse_after = config.settings.overload_collapse_after;
            config
                .knowledge
                .map(|knowledge| persistence::recovery_settings(&knowledge, overload_collapse_after))
        }
        None => None,
    };
    let now = Clock::start().now();
    let shown = inspection::show(folder, now, &rules.unwrap_or(recovery::DEFAULT_SETTINGS))
        .map_err(|error| CommandError::folder(folder, error))?;
    let Some(shown) = shown else {
        writeln!(io::stderr(), "{}: there is no whole snapshot", folder.display())?;
        return Ok(ExitCode::from(NOTHING_THERE));
    };
    let text = if json { format!("{shown:#}\n") } else { inspection::text(&shown) };
    write!(io::stdout(), "{text}")?;
    Ok(ExitCode::SUCCESS)
}

fn verify_knowledge(folder: &Path) -> Result<ExitCode, CommandError> {
    let verdict = inspection::verify(folder).map_err(|error| CommandError::folder(folder, error))?;
    let mut out = io::stdout();
    for fault in &verdict.faults {
        writeln!(out, "{}/{fault}", folder.display())?;
    }
    let (folder, code) = (folder.display(), verdict.code());
    match code {
        0 => {
            writeln!(out, "{folder}: whole; {} bytes at the log's end never came to be", verdict.torn_bytes)?;
        }
        NOTHING_THERE => writeln!(out, "{folder}: there is nothing")?,
        _ => {}
    }
    Ok(ExitCode::from(code))
}

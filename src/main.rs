//! Command line of the gateway.
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

/// Exit code if there is no intact snapshot to show, or no persisted state to verify.
const EXIT_NOT_FOUND: u8 = 2;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve requests until SIGTERM (the default)
    Serve(Files),
    /// Read the configuration, report whether it can be used, and exit
    CheckConfig(Files),
    /// Inspect the state that is persisted across restarts
    #[command(subcommand)]
    Knowledge(Knowledge),
    /// Print the version
    Version,
}

#[derive(Subcommand)]
enum Knowledge {
    /// Print each figure of the last snapshot, with its age and the weight that it would retain now
    Show {
        /// Folder of the persisted state
        folder: PathBuf,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
        /// The operator's file, which sets the times for which persisted state is valid
        #[arg(long)]
        operator: Option<PathBuf>,
    },
    /// Check that the last snapshot, the idempotency log and the cached endpoint list are intact: exits with 0 if so, with
    /// 1 and a line for each fault otherwise, and with 2 if there is no persisted state
    Verify {
        /// Folder of the persisted state
        folder: PathBuf,
    },
}

#[derive(clap::Args, Default)]
struct Files {
    /// The platform's configuration, in JSON
    #[arg(long, env = "PROXY_CONFIG")]
    config: Option<PathBuf>,
    /// The operator's file, in HCL: a complete configuration, or additions to the platform's
    #[arg(long, env = "STARLINGPLANK_OPERATOR")]
    operator: Option<PathBuf>,
}

impl Files {
    /// Returns the files whose paths are in the environment.
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

/// Reason why a command failed.
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
    // The program serves by default, as the platform starts it without a command.
    let command = Cli::parse().command.unwrap_or_else(|| Command::Serve(Files::from_environment()));
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            // The exit code is the same whether or not the message can be written.
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
    let tokio_runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Registered before the configuration is read, which may take long: a signal without a handler would end the program.
    let signals = tokio_runtime.block_on(Signals::register())?;
    let config = files.load()?;
    log::start(&config.log);
    let serve = runtime::serve(config, signals, || files.load());
    tokio::task::LocalSet::new().block_on(&tokio_runtime, serve)?;
    Ok(ExitCode::SUCCESS)
}

fn check_config(files: &ConfigFiles) -> Result<ExitCode, CommandError> {
    let Config { name, endpoints, settings, .. } = files.load()?;
    writeln!(io::stdout(), "{name}: {} engines, {} classes", endpoints.len(), settings.classes.len())?;
    Ok(ExitCode::SUCCESS)
}

fn show_knowledge(folder: &Path, json: bool, operator: Option<PathBuf>) -> Result<ExitCode, CommandError> {
    let recovery_settings = match operator {
        Some(_) => {
            let config = ConfigFiles { platform: None, operator }.load()?;
            let overload_collapse_after = config.settings.overload_collapse_after;
            config
                .persistence
                .map(|knowledge| persistence::recovery_settings(&knowledge, overload_collapse_after))
        }
        None => None,
    };
    let now = Clock::start().now();
    let snapshot = inspection::show(folder, now, &recovery_settings.unwrap_or(recovery::DEFAULT_SETTINGS))
        .map_err(|error| CommandError::folder(folder, error))?;
    let Some(snapshot) = snapshot else {
        writeln!(io::stderr(), "{}: no intact snapshot found", folder.display())?;
        return Ok(ExitCode::from(EXIT_NOT_FOUND));
    };
    let text = if json { format!("{snapshot:#}\n") } else { inspection::text(&snapshot) };
    write!(io::stdout(), "{text}")?;
    Ok(ExitCode::SUCCESS)
}

fn verify_knowledge(folder: &Path) -> Result<ExitCode, CommandError> {
    let result = inspection::verify(folder).map_err(|error| CommandError::folder(folder, error))?;
    let mut out = io::stdout();
    for fault in &result.faults {
        writeln!(out, "{}/{fault}", folder.display())?;
    }
    let (folder, code) = (folder.display(), result.code());
    match code {
        0 => {
            writeln!(
                out,
                "{folder}: intact; {} bytes of an incomplete write at the end of the log",
                result.torn_bytes
            )?;
        }
        EXIT_NOT_FOUND => writeln!(out, "{folder}: no persisted state found")?,
        _ => {}
    }
    Ok(ExitCode::from(code))
}

//! The gateway's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use starlingplank::config::{Config, ConfigError};
use starlingplank::net::clock::Clock;
use starlingplank::net::runtime::Signals;
use starlingplank::net::{log, persistence, runtime};
use starlingplank_persistence::{inspection, recovery};
use std::error::Error;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

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

fn main() -> ExitCode {
    let cli = Cli::parse();
    // Without a command it serves: the platform's run line names the program alone.
    let command = cli.command.unwrap_or_else(|| {
        let file = |name| std::env::var_os(name).filter(|f| !f.is_empty()).map(PathBuf::from);
        Command::Serve(Files { config: file("PROXY_CONFIG"), operator: file("STARLINGPLANK_OPERATOR") })
    });
    match run(command) {
        Ok(code) => code,
        Err(e) => {
            // It ends with its code whether or not this can be told.
            let _ = writeln!(std::io::stderr(), "starlingplank: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Version => writeln!(std::io::stdout(), "starlingplank {}", env!("CARGO_PKG_VERSION"))?,
        Command::CheckConfig(files) => {
            let config = read(&files)?;
            writeln!(
                std::io::stdout(),
                "{}: {} engines, {} classes",
                config.name,
                config.known.len(),
                config.settings.classes.len()
            )?;
        }
        Command::Serve(files) => {
            let threads = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            // Before the configuration is read, which may take long: a signal without a handler would end the program.
            let signals = threads.block_on(Signals::register())?;
            let config = read(&files)?;
            log::start(&config.log);
            let reload = || read(&files).map_err(|e| e.to_string());
            tokio::task::LocalSet::new().block_on(&threads, runtime::serve(config, signals, reload))?;
        }
        Command::Knowledge(Knowledge::Show { folder, json, operator }) => {
            let rules = match operator {
                Some(_) => {
                    let config = read(&Files { config: None, operator })?;
                    config.knowledge.map(|k| persistence::rules(&k, config.settings.overload_collapse_after))
                }
                None => None,
            };
            let now = Clock::start().now();
            let shown = inspection::show(&folder, now, &rules.unwrap_or(recovery::DEFAULT))
                .map_err(|e| format!("{}: {e}", folder.display()))?;
            let Some(shown) = shown else {
                writeln!(std::io::stderr(), "{}: there is no whole snapshot", folder.display())?;
                return Ok(ExitCode::from(2));
            };
            write!(
                std::io::stdout(),
                "{}",
                if json { format!("{shown:#}\n") } else { inspection::text(&shown) }
            )?;
        }
        Command::Knowledge(Knowledge::Verify { folder }) => {
            let verdict = inspection::verify(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            for fault in &verdict.faults {
                writeln!(std::io::stdout(), "{}/{fault}", folder.display())?;
            }
            match verdict.code() {
                0 => writeln!(
                    std::io::stdout(),
                    "{}: whole; {} bytes at the log's end never came to be",
                    folder.display(),
                    verdict.torn_bytes
                )?,
                2 => writeln!(std::io::stdout(), "{}: there is nothing", folder.display())?,
                _ => {}
            }
            return Ok(ExitCode::from(verdict.code()));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn read(files: &Files) -> Result<Config, Box<dyn Error>> {
    let text = |file: &Option<PathBuf>| {
        let read = |file: &PathBuf| {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok::<_, String>((file.display().to_string(), text))
        };
        file.as_ref().map(read).transpose()
    };
    let (platform, operator) = (text(&files.config)?, text(&files.operator)?);
    let beside = operator.as_ref().map(|(name, text)| (name.as_str(), text.as_str()));
    let read = Config::load(platform.as_ref().map(|(_, text)| text.as_str()), beside);
    let mut config = read.map_err(|e| match (e, &platform) {
        // Its lines name the file already.
        (e @ ConfigError::Operator(_), _) | (e, None) => e.to_string(),
        (e, Some((name, _))) => format!("{name}: {e}"),
    })?;
    // What a file says goes before the environment.
    if let (None, Some(at)) =
        (config.operator, std::env::var("PROXY_OPERATOR").ok().filter(|at| !at.is_empty()))
    {
        let at = at.parse().map_err(|_| format!("PROXY_OPERATOR: {at:?} must be an address with a port"))?;
        config.operator = Some(at);
    }
    Ok(config)
}

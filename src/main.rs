//! The gateway's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use starlingplank::config::{Config, ConfigError};
use starlingplank::net::{log, runtime};
use std::error::Error;
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
    /// Say which version this is
    Version,
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
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlingplank: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Version => println!("starlingplank {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig(files) => {
            let config = read(&files)?;
            println!(
                "{}: {} engines, {} classes",
                config.name,
                config.known.len(),
                config.settings.classes.len()
            );
        }
        Command::Serve(files) => {
            let config = read(&files)?;
            log::start(&config.log);
            let threads = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            tokio::task::LocalSet::new()
                .block_on(&threads, runtime::serve(config, || read(&files).map_err(|e| e.to_string())))?;
        }
    }
    Ok(())
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
    Ok(read.map_err(|e| match (e, &platform) {
        // Its lines name the file already.
        (e @ ConfigError::Operator(_), _) | (e, None) => e.to_string(),
        (e, Some((name, _))) => format!("{name}: {e}"),
    })?)
}

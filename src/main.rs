//! The gateway's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use starlingplank::config::Config;
use starlingplank::net::runtime;
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
    Serve(File),
    /// Read the configuration, say whether it can be used, and end
    CheckConfig(File),
    /// Say which version this is
    Version,
}

#[derive(clap::Args)]
struct File {
    /// The configuration
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // Without a command it serves: the platform's run line names the program alone.
    let command = cli.command.unwrap_or_else(|| {
        let config = std::env::var_os("PROXY_CONFIG").unwrap_or_default().into();
        Command::Serve(File { config })
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
        Command::CheckConfig(file) => {
            let config = read(&file)?;
            println!(
                "{}: {} engines, {} classes",
                config.name,
                config.known.len(),
                config.settings.classes.len()
            );
        }
        Command::Serve(file) => {
            let config = read(&file)?;
            let threads = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            tokio::task::LocalSet::new()
                .block_on(&threads, runtime::serve(config, || read(&file).map_err(|e| e.to_string())))?;
        }
    }
    Ok(())
}

fn read(file: &File) -> Result<Config, Box<dyn Error>> {
    let text =
        std::fs::read_to_string(&file.config).map_err(|e| format!("{}: {e}", file.config.display()))?;
    Ok(Config::read(&text).map_err(|e| format!("{}: {e}", file.config.display()))?)
}

//! The program as a process.

use super::{Failure, RunOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// The time in which the program listens.
const MAX_START_TIME: Duration = Duration::from_secs(10);
/// How often the end of the program, or a second address, is looked for, and how many times.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_millis(2);
const MAX_CHECKS: usize = 1_000;
/// Fields 14 and 15 of proc(5) after the name of the program: CPU time in user and system mode, in hundredths of a second.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const MS_PER_CLOCK_TICK: f64 = 10.0;
/// What the program logs before an address on which it listens.
const LISTENS_AT: &str = " listens at ";

/// The address in a line that logs on which address the program listens.
pub fn listening_address(line: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(LISTENS_AT)?;
    address.trim().parse().ok()
}

/// A figure that the log of a process should hold.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("no line of the log has a number after {text:?}")]
pub struct MissingFigure {
    /// The text before it.
    text: String,
}

/// A process of the program. It is killed when this is dropped.
pub struct GatewayProcess {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl GatewayProcess {
    /// Starts the program with that operator's file and waits until it listens.
    ///
    /// # Errors
    /// It cannot be started, or does not listen in time.
    pub async fn start(options: &RunOptions, name: &str, operator_file: &str) -> Result<Self, Failure> {
        let file = options.subfolder(&format!("{name}.hcl"));
        std::fs::write(&file, operator_file)?;
        let mut child = serve_command(&options.program, &file)
            .spawn()
            .map_err(|error| format!("{}: {error}", options.program.display()))?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (listening, address) = oneshot::channel();
        if let Some(stdout) = child.stdout.take() {
            let lines = lines.clone();
            std::thread::spawn(move || read_lines(stdout, &lines, listening));
        }
        let address = timeout(MAX_START_TIME, address).await??;
        Ok(Self { child, address, lines })
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits until it ends.
    ///
    /// # Errors
    /// It does not end in time.
    pub async fn terminate(&mut self) -> Result<(), Failure> {
        Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
        for _ in 0..MAX_CHECKS {
            if self.child.try_wait()?.is_some() {
                return Ok(());
            }
            sleep(END_CHECK_INTERVAL).await;
        }
        Err("the program did not end".into())
    }

    /// The number that follows that text in the last line that holds it.
    ///
    /// # Errors
    /// No line holds that text with a number behind it.
    pub fn number_after(&self, text: &str) -> Result<f64, MissingFigure> {
        number_after(&self.lines(), text).ok_or_else(|| MissingFigure { text: text.to_owned() })
    }

    /// What follows that text in the last line that holds it.
    pub fn text_after(&self, text: &str) -> Option<String> {
        text_after(&self.lines(), text).map(str::to_owned)
    }

    /// Whether a line holds that text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.lines().iter().any(|line| line.contains(text))
    }

    /// The address of its ClickHouse HTTP interface, once it listens there.
    ///
    /// # Errors
    /// It does not listen there in time.
    pub async fn clickhouse_address(&self) -> Result<SocketAddr, Failure> {
        for _ in 0..MAX_CHECKS {
            let line = self.text_after(LISTENS_AT);
            let address = line.and_then(|line| line.strip_suffix(" for ClickHouse HTTP")?.parse().ok());
            if let Some(address) = address {
                return Ok(address);
            }
            sleep(ADDRESS_CHECK_INTERVAL).await;
        }
        Err("there is no second front".into())
    }

    /// The CPU time that it has used, in milliseconds.
    ///
    /// # Errors
    /// The process has ended.
    pub fn cpu_ms(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> Result<f64, Failure> {
            let field = fields.get(index).ok_or("the process has no CPU time in proc(5)")?;
            Ok(field.parse()?)
        };
        Ok((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) * MS_PER_CLOCK_TICK)
    }

    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What follows that text in the last line that holds it.
fn text_after<'a>(lines: &'a [String], text: &str) -> Option<&'a str> {
    lines.iter().rev().find_map(|line| line.split_once(text).map(|(_, rest)| rest))
}

fn number_after(lines: &[String], text: &str) -> Option<f64> {
    let rest = text_after(lines, text)?;
    let end = rest.find(|char: char| !char.is_ascii_digit() && char != '.').unwrap_or(rest.len());
    rest[..end].parse().ok()
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The command that serves with an operator's file, its log on standard output.
pub fn serve_command(program: &Path, operator_file: &Path) -> Command {
    let mut command = Command::new(program);
    command.args(["serve", "--operator"]).arg(operator_file).env_remove("PROXY_CONFIG");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    command
}

/// Collects the lines of the log, and reports the first address on which the program listens.
fn read_lines(stdout: ChildStdout, lines: &Mutex<Vec<String>>, listening: oneshot::Sender<SocketAddr>) {
    let mut listening = Some(listening);
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        let address = listening_address(&line);
        lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        let Some(address) = address else { continue };
        if let Some(listening) = listening.take() {
            let _ = listening.send(address);
        }
    }
}

#[cfg(test)]
mod tests;

//! A process of the gateway program, and what it logs.

use super::{Failure, RunOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Maximum time until a started program listens.
const MAX_START_TIME: Duration = Duration::from_secs(10);
/// Intervals at which the end of the program and the address of its ClickHouse HTTP frontend are polled, and the maximum number of polls.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_millis(2);
const MAX_CHECKS: usize = 1_000;
/// Fields 14 and 15 of `/proc/PID/stat`, see proc(5), as indices after the name of the program: CPU time in user and in system mode, in
/// clock ticks of 10 ms.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const MS_PER_CLOCK_TICK: f64 = 10.0;
/// Text that the program logs before an address on which it listens.
const LISTENS_AT: &str = " listens at ";

/// Returns the address on which the program listens, if the line logs it.
pub fn listening_address(line: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(LISTENS_AT)?;
    address.trim().parse().ok()
}

/// Error of a log in which a number is missing.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("no line of the log has a number after {text:?}")]
pub struct MissingNumber {
    /// Text that precedes the number.
    text: String,
}

/// A process of the gateway program. The process is killed when this is dropped.
pub struct GatewayProcess {
    child: Child,
    /// First address on which the process listens.
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl GatewayProcess {
    /// Starts the program with the given operator's file and waits until it listens.
    ///
    /// # Errors
    /// The program cannot be started, or does not listen within 10 s.
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

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM to the process and waits until it ends.
    ///
    /// # Errors
    /// The process does not end within 10 s.
    pub async fn terminate(&mut self) -> Result<(), Failure> {
        Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
        for _ in 0..MAX_CHECKS {
            if self.child.try_wait()?.is_some() {
                return Ok(());
            }
            sleep(END_CHECK_INTERVAL).await;
        }
        Err("the gateway did not end within 10 s after SIGTERM".into())
    }

    /// Returns the number that follows the given text in the last line of the log that contains the text.
    ///
    /// # Errors
    /// No line contains the text, or no number follows it in the last one.
    pub fn number_after(&self, text: &str) -> Result<f64, MissingNumber> {
        number_after(&self.lines(), text).ok_or_else(|| MissingNumber { text: text.to_owned() })
    }

    /// Returns the rest of the last line of the log that contains the given text, from the end of the text.
    pub fn text_after(&self, text: &str) -> Option<String> {
        text_after(&self.lines(), text).map(str::to_owned)
    }

    /// Returns whether a line of the log contains the given text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.lines().iter().any(|line| line.contains(text))
    }

    /// Waits until the process listens for ClickHouse HTTP, and returns the address of that frontend.
    ///
    /// # Errors
    /// The process does not listen for ClickHouse HTTP within 2 s.
    pub async fn clickhouse_address(&self) -> Result<SocketAddr, Failure> {
        for _ in 0..MAX_CHECKS {
            let line = self.text_after(LISTENS_AT);
            let address = line.and_then(|line| line.strip_suffix(" for ClickHouse HTTP")?.parse().ok());
            if let Some(address) = address {
                return Ok(address);
            }
            sleep(ADDRESS_CHECK_INTERVAL).await;
        }
        Err("the gateway did not listen for ClickHouse HTTP within 2 s".into())
    }

    /// Returns the CPU time that the process has used, in milliseconds.
    ///
    /// # Errors
    /// The process has ended, or its CPU time cannot be read.
    pub fn cpu_ms(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> Result<f64, Failure> {
            let field = fields
                .get(index)
                .ok_or("/proc/PID/stat of the gateway has too few fields for its CPU time")?;
            Ok(field.parse()?)
        };
        Ok((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) * MS_PER_CLOCK_TICK)
    }

    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rest of the last line that contains the given text, from the end of the text.
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

/// Returns the command that runs a gateway with an operator's file, and logs to standard output.
pub fn serve_command(program: &Path, operator_file: &Path) -> Command {
    let mut command = Command::new(program);
    command.args(["serve", "--operator"]).arg(operator_file).env_remove("PROXY_CONFIG");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    command
}

/// Collects the lines of the log, and sends the first address on which the program listens to `listening`.
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

//! Gateway process of a run: starts the real program with injected system-call faults, sends it signals, records its events, and counts
//! the lines of its log.

use super::context::RunContext;
use super::ledger::{ProcessEvent, ProcessRecord};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// Shell command that starts the program, as in the deployment file: SIGHUP is ignored until the program installs its handler.
const START_COMMAND: &str = "trap '' HUP; exec \"$0\" serve";
/// Maximum number of lines of standard error that are stored for the report.
const MAX_ERRORS: usize = 20;

/// Resources that a process uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Footprint {
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl Footprint {
    /// Returns the maximum of both for each resource.
    pub(super) fn max(self, other: Self) -> Self {
        Self {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Data from the log of a process.
#[derive(Debug, Default)]
struct Log {
    lines: usize,
    /// Whether the process has logged that it accepts client connections.
    is_listening: bool,
    /// Number of rule violations that the process has counted itself; `None` if it has logged none.
    violations: Option<u64>,
    /// First lines of standard error, up to `MAX_ERRORS`.
    errors: Vec<String>,
}

impl Log {
    fn add(&mut self, line: String, is_error: bool) {
        self.lines += 1;
        self.is_listening |= line.contains(" listens at ") && !line.ends_with("operators");
        let violations = line.split_once("violations ").and_then(|(_, count)| count.trim().parse().ok());
        self.violations = violations.or(self.violations);
        if is_error && self.errors.len() < MAX_ERRORS {
            self.errors.push(line);
        }
    }
}

fn lock(log: &Mutex<Log>) -> MutexGuard<'_, Log> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running gateway process. It is killed when this value is dropped.
pub(super) struct Process {
    child: Child,
    context: Rc<RunContext>,
    gateway: usize,
    number: usize,
    log: Arc<Mutex<Log>>,
    /// File whose existence switches the system-call faults on.
    fault_switch: PathBuf,
    log_readers: Vec<JoinHandle<()>>,
    is_listening: bool,
}

impl Process {
    /// Starts the next process of a gateway, with the gateway's folder and the given system-call faults, which are switched off.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub(super) fn start(context: Rc<RunContext>, gateway: usize, faults: &str) -> std::io::Result<Self> {
        let folder = context.gateway_folder(gateway);
        std::fs::create_dir_all(&folder)?;
        let fault_switch = folder.join("faults");
        let mut child = Command::new("sh")
            .args(["-c", START_COMMAND])
            .arg(&context.program)
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .env("LD_PRELOAD", &context.faults_library)
            .env("STARLINGPLANK_FAULTS", format!("{faults},switch={}", fault_switch.display()))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::<Mutex<Log>>::default();
        let log_readers = vec![
            read_log(child.stdout.take(), log.clone(), false),
            read_log(child.stderr.take(), log.clone(), true),
        ];
        let number = add_record(&context, gateway);
        let process =
            Self { child, context, gateway, number, log, fault_switch, log_readers, is_listening: false };
        process.record_event(ProcessEvent::Started);
        Ok(process)
    }

    fn change_record(&self, change: impl FnOnce(&mut ProcessRecord)) {
        let mut ledger = self.context.ledger.borrow_mut();
        if let Some(record) = ledger.processes[self.gateway].get_mut(self.number) {
            change(record);
        }
    }

    fn record_event(&self, event: ProcessEvent) {
        let now = self.context.now();
        self.change_record(|record| record.events.push((now, event)));
    }

    /// Sends a signal and records the event that the signal causes. A SIGHUP is not sent until the program has replaced the shell.
    pub(super) fn signal(&self, signal: Signal) {
        let event = match signal {
            Signal::TERM => Some(ProcessEvent::Terminated),
            Signal::KILL => Some(ProcessEvent::Killed),
            Signal::STOP => Some(ProcessEvent::Paused),
            Signal::CONT => Some(ProcessEvent::Resumed),
            _ => None,
        };
        // A SIGHUP would end the shell that starts the program if it arrived before the shell has executed its `trap`.
        if signal == Signal::HUP && !self.has_replaced_shell() {
            return;
        }
        if let Some(event) = event {
            self.record_event(event);
        }
        self.send(signal);
    }

    /// Returns whether the program has replaced the shell that starts it.
    fn has_replaced_shell(&self) -> bool {
        let running = std::fs::read_link(format!("/proc/{}/exe", self.child.id()));
        running.is_ok_and(|running| running.file_name() == self.context.program.file_name())
    }

    fn send(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Returns the number of the process among the processes of its gateway.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    /// Sends SIGKILL because the process has not exited within the grace period after SIGTERM, and records this.
    pub(super) fn kill_overdue(&self) {
        self.record_event(ProcessEvent::Overdue);
        self.send(Signal::KILL);
    }

    /// Switches the system-call faults of the process on or off.
    pub(super) fn switch_faults(&self, on: bool) {
        let _ = match on {
            true => std::fs::write(&self.fault_switch, ""),
            false => std::fs::remove_file(&self.fault_switch),
        };
    }

    /// Returns whether the process accepts client connections, as of the last check by `has_ended`.
    pub(super) fn is_listening(&self) -> bool {
        self.is_listening
    }

    /// Returns whether the process has exited. Records the events since the last check.
    pub(super) fn has_ended(&mut self) -> bool {
        let is_listening = lock(&self.log).is_listening;
        if is_listening && !std::mem::replace(&mut self.is_listening, true) {
            self.record_event(ProcessEvent::Listening);
        }
        let Ok(Some(status)) = self.child.try_wait() else { return false };
        self.record_event(ProcessEvent::Exited(status.code()));
        for reader in self.log_readers.drain(..) {
            let _ = reader.join();
        }
        let log = lock(&self.log);
        self.change_record(|record| {
            record.log_lines = log.lines;
            record.violations = log.violations;
        });
        if !log.errors.is_empty() {
            self.context.record_errors(self.gateway, self.number, &log.errors);
        }
        true
    }

    /// Returns the resources that the process uses at present; `None` if it has exited.
    pub(super) fn footprint(&self) -> Option<Footprint> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?.count();
        Some(Footprint { memory_mb: kilobytes / 1024.0, descriptors })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Adds an empty record for the next process of a gateway. Returns the number of that process.
fn add_record(context: &RunContext, gateway: usize) -> usize {
    let mut ledger = context.ledger.borrow_mut();
    let processes = &mut ledger.processes[gateway];
    processes.push(ProcessRecord::default());
    processes.len() - 1
}

fn read_log(
    stream: Option<impl Read + Send + 'static>,
    log: Arc<Mutex<Log>>,
    is_error: bool,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let Some(stream) = stream else { return };
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            lock(&log).add(line, is_error);
        }
    })
}

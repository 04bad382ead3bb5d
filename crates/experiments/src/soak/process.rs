//! The real program as a process of the run: started with its faults, signalled, watched, and its log counted.

use super::context::RunContext;
use super::ledger::{ProcessEvent, ProcessRecord};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// How the deployment file starts the program: SIGHUP has no effect until the program handles it.
const RUN_LINE: &str = "trap '' HUP; exec \"$0\" serve";
/// The lines of errors that are kept, for a report.
const MAX_ERRORS: usize = 20;

/// The resources of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Footprint {
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Footprint {
    /// The greater of each.
    pub(super) fn max(self, other: Self) -> Self {
        Self {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// What is read from the log of a process.
#[derive(Debug, Default)]
struct Log {
    lines: usize,
    /// It has logged that it listens.
    is_listening: bool,
    /// The violations of the rules that it has counted.
    violations: Option<u64>,
    /// The first lines on standard error.
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

/// A running process. It is killed when it is dropped.
pub(super) struct Process {
    child: Child,
    context: Rc<RunContext>,
    gateway: usize,
    number: usize,
    log: Arc<Mutex<Log>>,
    /// The file that switches the faults of system calls on.
    fault_switch: PathBuf,
    log_readers: Vec<JoinHandle<()>>,
    is_listening: bool,
}

impl Process {
    /// Starts the next process of a gateway, in its folder, with these faults of system calls, switched off.
    ///
    /// # Errors
    /// It cannot be started.
    pub(super) fn start(context: Rc<RunContext>, gateway: usize, faults: &str) -> std::io::Result<Self> {
        let folder = context.gateway_folder(gateway);
        std::fs::create_dir_all(&folder)?;
        let fault_switch = folder.join("faults");
        let mut child = Command::new("sh")
            .args(["-c", RUN_LINE])
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

    /// Sends a signal and records what it means.
    pub(super) fn signal(&self, signal: Signal) {
        let event = match signal {
            Signal::TERM => Some(ProcessEvent::Terminated),
            Signal::KILL => Some(ProcessEvent::Killed),
            Signal::STOP => Some(ProcessEvent::Paused),
            Signal::CONT => Some(ProcessEvent::Resumed),
            _ => None,
        };
        // The shell that starts the program ends by a SIGHUP that comes before its trap.
        if signal == Signal::HUP && !self.has_begun() {
            return;
        }
        if let Some(event) = event {
            self.record_event(event);
        }
        self.send(signal);
    }

    /// Whether the program has replaced the shell that starts it.
    fn has_begun(&self) -> bool {
        let running = std::fs::read_link(format!("/proc/{}/exe", self.child.id()));
        running.is_ok_and(|running| running.file_name() == self.context.program.file_name())
    }

    fn send(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Its number among the processes of its gateway.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    /// Kills it, as its time after SIGTERM is over.
    pub(super) fn kill_overdue(&self) {
        self.record_event(ProcessEvent::Overdue);
        self.send(Signal::KILL);
    }

    /// Begins or ends the faults of its system calls.
    pub(super) fn switch_faults(&self, on: bool) {
        let _ = match on {
            true => std::fs::write(&self.fault_switch, ""),
            false => std::fs::remove_file(&self.fault_switch),
        };
    }

    /// Whether it listens.
    pub(super) fn is_listening(&self) -> bool {
        self.is_listening
    }

    /// Whether it has ended. What has changed since the last check is recorded.
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

    /// Its present resources; none once it has ended.
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

/// Adds the record of a gateway's next process. Returns its number.
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

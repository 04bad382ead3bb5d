//! The real program as a process of the play: started with its faults, signalled, watched, and its log counted.

use super::ledger::{ProcessEvent, ProcessRecord};
use super::Stage;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

/// What a process has written.
#[derive(Debug, Default)]
struct Said {
    lines: usize,
    listens: bool,
    violations: Option<u64>,
    /// The first lines of errors, for a report.
    errors: Vec<String>,
}

/// As the deploy file starts it: SIGHUP does nothing until the program handles it.
const RUN_LINE: &str = "trap '' HUP; exec \"$0\" serve";
/// Lines of errors that are kept.
const ERRORS: usize = 20;

/// A running process.
pub struct Process {
    child: Child,
    stage: Rc<Stage>,
    gateway: usize,
    number: usize,
    said: Arc<Mutex<Said>>,
    switch: PathBuf,
    readers: Vec<std::thread::JoinHandle<()>>,
    listened: bool,
}

impl Process {
    /// Starts the next process of a gateway, in its folder, with these faults of system calls, switched off.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(stage: Rc<Stage>, gateway: usize, faults: &str) -> std::io::Result<Self> {
        let folder = stage.folder.join(format!("g{gateway}"));
        std::fs::create_dir_all(&folder)?;
        let switch = folder.join("faults");
        let mut child = Command::new("sh")
            .args(["-c", RUN_LINE])
            .arg(&stage.program)
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .env("LD_PRELOAD", &stage.faults_library)
            .env("STARLINGPLANK_FAULTS", format!("{faults},switch={}", switch.display()))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let said = Arc::<Mutex<Said>>::default();
        let readers = vec![
            read_lines(child.stdout.take(), said.clone(), false),
            read_lines(child.stderr.take(), said.clone(), true),
        ];
        let mut ledger = stage.ledger.borrow_mut();
        let lives = &mut ledger.processes[gateway];
        lives.push(ProcessRecord::default());
        let number = lives.len() - 1;
        drop(ledger);
        let process = Self { child, stage, gateway, number, said, switch, readers, listened: false };
        process.note(ProcessEvent::Started);
        Ok(process)
    }

    fn record(&self, change: impl FnOnce(&mut ProcessRecord)) {
        if let Some(record) = self.stage.ledger.borrow_mut().processes[self.gateway].get_mut(self.number) {
            change(record);
        }
    }

    fn note(&self, event: ProcessEvent) {
        let now = self.stage.now();
        self.record(|record| record.events.push((now, event)));
    }

    /// Sends a signal and writes down what it means.
    pub fn signal(&self, signal: Signal) {
        let event = match signal {
            Signal::TERM => Some(ProcessEvent::Terminated),
            Signal::KILL => Some(ProcessEvent::Killed),
            Signal::STOP => Some(ProcessEvent::Stopped),
            Signal::CONT => Some(ProcessEvent::Continued),
            _ => None,
        };
        event.into_iter().for_each(|event| self.note(event));
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Its number among the processes of its gateway.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Kills it, as its time after SIGTERM is over.
    pub fn kill_overdue(&self) {
        self.note(ProcessEvent::Overdue);
        let _ = kill_process(Pid::from_child(&self.child), Signal::KILL);
    }

    /// Begins or ends the faults of its system calls.
    pub fn switch_faults(&self, on: bool) {
        let _ = match on {
            true => std::fs::write(&self.switch, ""),
            false => std::fs::remove_file(&self.switch),
        };
    }

    /// Whether it listens.
    pub fn listens(&self) -> bool {
        self.listened
    }

    /// Looks at what it does; true once it has ended.
    pub fn look(&mut self) -> bool {
        let listens = self.said.lock().unwrap_or_else(PoisonError::into_inner).listens;
        if listens && !std::mem::replace(&mut self.listened, true) {
            self.note(ProcessEvent::Listening);
        }
        let Ok(Some(status)) = self.child.try_wait() else { return false };
        self.note(ProcessEvent::Exited(status.code()));
        self.readers.drain(..).for_each(|reader| drop(reader.join()));
        let said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        self.record(|record| (record.log_lines, record.violations) = (said.lines, said.violations));
        if !said.errors.is_empty() {
            self.stage.note_errors(self.gateway, self.number, &said.errors);
        }
        true
    }

    /// Memory that it holds, in MB, and descriptors that it has open.
    pub fn footprint(&self) -> Option<(f64, usize)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?;
        Some((kilobytes / 1024.0, files.count()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_lines(
    from: Option<impl Read + Send + 'static>,
    said: Arc<Mutex<Said>>,
    errors: bool,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let Some(from) = from else { return };
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            let mut said = said.lock().unwrap_or_else(PoisonError::into_inner);
            said.lines += 1;
            said.listens |= line.contains(" listens at ") && !line.ends_with("operators");
            let violations = line.split_once("violations ").and_then(|(_, n)| n.trim().parse().ok());
            said.violations = violations.or(said.violations);
            if errors && said.errors.len() < ERRORS {
                said.errors.push(line);
            }
        }
    })
}

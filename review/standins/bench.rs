//! What the cases share: the record, the gateway's process, and free ports. Standard library alone.
#![allow(dead_code)]

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn new(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| stop(&format!("no record: {e}")));
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0 .0.elapsed().as_secs_f64();
        let _ = writeln!(self.0 .1.lock().unwrap(), "{at:9.4} {text}");
    }

    /// A line of the record that is printed as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn stop(why: &str) -> ! {
    eprintln!("could not run: {why}");
    exit(COULD_NOT_RUN);
}

/// The arguments of a case: the deploy file's command, a temporary folder, the record and whether there is a disruption.
pub struct Case {
    pub run: String,
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

impl Case {
    pub fn read() -> Self {
        let arguments: Vec<String> = std::env::args().collect();
        let [_, run, folder, record, trouble] = &arguments[..] else { stop("wrong arguments") };
        let record = Record::new(record);
        let trouble = trouble != "0";
        record.say(&format!("disruption: {}", if trouble { "yes" } else { "no (TROUBLE=0)" }));
        Self { run: run.clone(), folder: folder.into(), record, trouble }
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap_or_else(|e| stop(&format!("{}: {e}", path.display())));
        path
    }

    /// Starts the gateway with the deploy file's command, and waits until it accepts connections at `listen`.
    pub fn start_gateway(&self, variable: &str, config: &PathBuf, listen: SocketAddr) -> Gateway {
        let log = File::create(self.folder.join("gateway.log")).unwrap_or_else(|e| stop(&e.to_string()));
        let errors = log.try_clone().unwrap_or_else(|e| stop(&e.to_string()));
        let temporary = self.folder.join("tmp");
        let _ = std::fs::create_dir_all(&temporary);
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.run).env(variable, config).env("TMPDIR", temporary);
        for other in ["PROXY_CONFIG", "STARLINGPLANK_OPERATOR", "PROXY_OPERATOR"] {
            if other != variable {
                command.env_remove(other);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.unwrap_or_else(|e| stop(&format!("gateway not started: {e}")));
        let _ = std::fs::write(self.folder.join("gateway.pid"), child.id().to_string());
        let gateway =
            Gateway { child, log: self.folder.join("gateway.log"), id_file: self.folder.join("gateway.pid") };
        let until = Instant::now() + Duration::from_secs(20);
        while TcpStream::connect(listen).is_err() {
            if Instant::now() > until {
                let text = std::fs::read_to_string(&gateway.log).unwrap_or_default();
                drop(gateway);
                stop(&format!("gateway does not listen: {text}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        gateway
    }
}

/// The gateway's process, which ends with this value.
pub struct Gateway {
    child: Child,
    log: PathBuf,
    /// Holds the process's id for `run-case.sh`, while the process runs.
    id_file: PathBuf,
}

impl Gateway {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Copies the warnings and errors of the gateway's log into the record.
    pub fn copy_warnings(&self, record: &Record) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines().filter(|line| line.contains(" WARN ") || line.contains("ERROR")).take(20) {
            record.line(&format!("gateway's log: {line}"));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = std::fs::remove_file(&self.id_file);
        let _ = self.child.wait();
    }
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| stop(&format!("no port: {e}")))
}

/// Free ports, all different.
pub fn free_ports<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] = std::array::from_fn(|_| listen());
    std::array::from_fn(|i| listeners[i].local_addr().unwrap())
}

/// A small generator of numbers, seeded so that a run's traffic is the same each time.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
}

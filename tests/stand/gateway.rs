//! The gateway as a child process.

use super::network::{connect, socket_table_address, socket_table_inodes};
use super::waits::wait_until;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;

/// Returns the maximum resident memory of a process so far, in bytes; `None` if it has exited.
pub(crate) fn peak_memory(process_id: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    Some(peak.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024)
}

/// A running gateway process. It is killed when it is dropped.
pub(crate) struct Gateway {
    pub(crate) child: Child,
    pub(crate) file: PathBuf,
    pub(crate) thrift: SocketAddr,
    pub(crate) http: Option<SocketAddr>,
    /// Address on which the gateway listens for operators, if it does.
    pub(crate) operator: Option<SocketAddr>,
    output: Option<thread::JoinHandle<Vec<String>>>,
}

impl Gateway {
    /// Starts a gateway whose `TMPDIR` is the given folder, which the processes of one gateway share.
    pub(crate) fn start_in(config: &str, folder: &std::path::Path) -> Self {
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
        command.env("TMPDIR", folder).arg("serve");
        Self::spawn(command, file)
    }

    pub(crate) fn start(config: &str) -> Self {
        Self::start_with(config, None)
    }

    /// Starts a gateway with an operator's file in addition to the platform's configuration.
    pub(crate) fn start_with(config: &str, operator: Option<&std::path::Path>) -> Self {
        let config_file = std::env::temp_dir().join(format!(
            "starlingplank-{}-{:?}",
            std::process::id(),
            thread::current().id()
        ));
        std::fs::write(&config_file, config).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
        command.arg("serve");
        command.args(operator.iter().flat_map(|file| [std::ffi::OsStr::new("--operator"), file.as_os_str()]));
        Self::spawn(command, config_file)
    }

    /// Starts a gateway from a shell that executes another command first.
    pub(crate) fn start_after_command(config: &str, setup: &str) -> Self {
        let config_file = std::env::temp_dir().join(format!(
            "starlingplank-{}-{:?}",
            std::process::id(),
            thread::current().id()
        ));
        std::fs::write(&config_file, config).expect("a file");
        let mut command = Command::new("sh");
        let run = format!("{setup} && exec {} serve", env!("CARGO_BIN_EXE_starlingplank"));
        command.args(["-c", &run]);
        Self::spawn(command, config_file)
    }

    pub(super) fn spawn(mut command: Command, config_file: PathBuf) -> Self {
        command.env("PROXY_CONFIG", &config_file).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let mut operator = None;
        let mut address = || {
            let at = lines.by_ref().map_while(Result::ok).find_map(|line| {
                let (_, rest) = line.split_once(" listens at ")?;
                let at = rest.split(' ').next()?.parse::<SocketAddr>().ok();
                if line.ends_with("for its operators") {
                    operator = at;
                    return None;
                }
                at
            });
            at.expect("an address")
        };
        let (thrift, http) = (address(), Some(address()));
        // The remaining output is read continuously, so that the process never blocks on a full pipe.
        let output = Some(thread::spawn(move || lines.map_while(Result::ok).collect()));
        Self { child, file: config_file, thrift, http, operator, output }
    }

    pub(crate) fn signal(&self, which: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([which, &id]).status().expect("kill runs").success());
    }

    pub(crate) fn terminate(&self) {
        self.send_signal(Signal::TERM);
    }

    /// Stops the process with SIGSTOP, and returns once all of its threads have stopped.
    pub(crate) fn stop(&self) {
        self.send_signal(Signal::STOP);
        wait_until(|| self.has_stopped());
    }

    /// Resumes a stopped process.
    pub(crate) fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    fn send_signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process runs");
    }

    /// Returns whether every thread is in the state `T`. In `/proc`, the state follows the program's name in parentheses.
    fn has_stopped(&self) -> bool {
        let tasks =
            std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the threads of the process");
        tasks.flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit_once(") ").is_some_and(|(_, state)| state.starts_with('T'))
        })
    }

    /// Returns the number of connections of this process to an address that are not established yet.
    ///
    /// The kernel's socket table is read in parts, so it may list a connection twice, and it holds the connections of all
    /// processes. Each connection therefore counts once, and only if this process still has it open after the table was read.
    pub(crate) fn connecting_count(&self, at: SocketAddr) -> usize {
        let (to, syn_sent) = (socket_table_address(at), "02");
        let inodes =
            socket_table_inodes(|words| words.get(2) == Some(&&*to) && words.get(3) == Some(&syn_sent));
        inodes.intersection(&self.open_sockets()).count()
    }

    /// Returns the inodes of the sockets that this process has open.
    fn open_sockets(&self) -> BTreeSet<String> {
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the descriptors of the process");
        let links = files.flatten().filter_map(|file| std::fs::read_link(file.path()).ok());
        let inode = |link: PathBuf| {
            let text = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some(text.to_owned())
        };
        links.filter_map(inode).collect()
    }

    /// Waits until the end of a client's stream has arrived in the process's receive queue, after all that the client sent.
    pub(crate) fn wait_for_stream_end(&self, client: SocketAddr) {
        let (from, close_wait) = (socket_table_address(client), "08");
        let arrived = |words: &[&str]| words.get(2) == Some(&&*from) && words.get(3) == Some(&close_wait);
        wait_until(|| !socket_table_inodes(arrived).is_empty());
    }

    /// Writes a new configuration and makes the gateway reload it with SIGHUP.
    pub(crate) fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a file");
        self.signal("-HUP");
    }

    /// Terminates the gateway, and returns the counts of each class that it logs on exit.
    pub(crate) fn request_counts(self) -> Vec<String> {
        self.log_lines(" received, ")
    }

    /// Terminates the gateway, and returns the lines of its log on standard output that contain a text.
    pub(crate) fn log_lines(mut self, text: &str) -> Vec<String> {
        self.terminate();
        assert!(self.child.wait().expect("the process exits").success());
        let output = self.output.take().expect("once").join().expect("read");
        output
            .iter()
            .filter(|line| line.contains(text))
            .filter_map(|l| l.split_once(" INFO "))
            .map(|(_, l)| l.to_owned())
            .collect()
    }

    /// Returns the maximum resident memory of the process so far, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        peak_memory(self.child.id()).expect("a process")
    }

    pub(crate) fn thrift_client(&self) -> TcpStream {
        connect(self.thrift)
    }

    pub(crate) fn http_client(&self) -> TcpStream {
        connect(self.http.expect("an HTTP address"))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

//! The program as a process.

use super::network::{connect, table_address, table_inodes};
use super::waits::until_true;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;

/// A running gateway; killed at the end of its test.
pub(crate) struct Gateway {
    pub(crate) child: Child,
    pub(crate) file: PathBuf,
    pub(crate) thrift: SocketAddr,
    pub(crate) http: Option<SocketAddr>,
    /// Where it listens for its operators, if it does.
    pub(crate) operator: Option<SocketAddr>,
    output: Option<thread::JoinHandle<Vec<String>>>,
}

impl Gateway {
    /// With a folder that its processes share.
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

    /// With an operator's file beside the platform's.
    pub(crate) fn start_with(config: &str, operator: Option<&std::path::Path>) -> Self {
        let dir = std::env::temp_dir().join(format!(
            "starlingplank-{}-{:?}",
            std::process::id(),
            thread::current().id()
        ));
        std::fs::write(&dir, config).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
        command.arg("serve");
        command.args(operator.iter().flat_map(|file| [std::ffi::OsStr::new("--operator"), file.as_os_str()]));
        Self::spawn(command, dir)
    }

    /// By a shell that does something else first.
    pub(crate) fn start_after(config: &str, first: &str) -> Self {
        let dir = std::env::temp_dir().join(format!(
            "starlingplank-{}-{:?}",
            std::process::id(),
            thread::current().id()
        ));
        std::fs::write(&dir, config).expect("a file");
        let mut command = Command::new("sh");
        let run = format!("{first} && exec {} serve", env!("CARGO_BIN_EXE_starlingplank"));
        command.args(["-c", &run]);
        Self::spawn(command, dir)
    }

    pub(super) fn spawn(mut command: Command, dir: PathBuf) -> Self {
        command.env("PROXY_CONFIG", &dir).stdout(Stdio::piped());
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
        // Whatever else it says is read as it comes, so that it never waits for a reader.
        let output = Some(thread::spawn(move || lines.map_while(Result::ok).collect()));
        Self { child, file: dir, thrift, http, operator, output }
    }

    pub(crate) fn signal(&self, which: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([which, &id]).status().expect("kill runs").success());
    }

    pub(crate) fn terminate(&self) {
        self.send_signal(Signal::TERM);
    }

    /// Stops the process; returns once none of its threads runs.
    pub(crate) fn stop(&self) {
        self.send_signal(Signal::STOP);
        until_true(|| self.has_stopped());
    }

    /// Lets a stopped process go on.
    pub(crate) fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    fn send_signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// Whether every thread is in the state `T`, which follows the program's name in parentheses.
    fn has_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("its threads");
        tasks.flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit_once(") ").is_some_and(|(_, state)| state.starts_with('T'))
        })
    }

    /// Connections of this process to that address that are not up yet.
    ///
    /// The system's table is read in pieces, so that it may tell of one connection twice, and it holds those of all
    /// processes: each counts once, and only if this process still has it open after the table was read.
    pub(crate) fn connections_coming_up(&self, at: SocketAddr) -> usize {
        let (to, syn_sent) = (table_address(at), "02");
        let inodes = table_inodes(|words| words.get(2) == Some(&&*to) && words.get(3) == Some(&syn_sent));
        inodes.intersection(&self.open_sockets()).count()
    }

    /// Inodes of the sockets that this process has open.
    fn open_sockets(&self) -> BTreeSet<String> {
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors");
        let links = files.flatten().filter_map(|file| std::fs::read_link(file.path()).ok());
        let inode = |link: PathBuf| {
            let text = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some(text.to_owned())
        };
        links.filter_map(inode).collect()
    }

    /// Waits until the end of that client's stream lies at the process, behind all that the client sent.
    pub(crate) fn until_stream_end_arrived(&self, client: SocketAddr) {
        let (from, close_wait) = (table_address(client), "08");
        let arrived = |words: &[&str]| words.get(2) == Some(&&*from) && words.get(3) == Some(&close_wait);
        until_true(|| !table_inodes(arrived).is_empty());
    }

    /// Writes a new configuration and has it read.
    pub(crate) fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a file");
        self.signal("-HUP");
    }

    /// Ends it; what it says of each class at its end.
    pub(crate) fn counts(mut self) -> Vec<String> {
        self.terminate();
        assert!(self.child.wait().expect("it ends").success());
        let output = self.output.take().expect("once").join().expect("read");
        output
            .iter()
            .filter(|l| l.contains(" received, "))
            .filter_map(|l| l.split_once(" INFO "))
            .map(|(_, l)| l.to_owned())
            .collect()
    }

    pub(crate) fn client(&self) -> TcpStream {
        connect(self.thrift)
    }

    pub(crate) fn web(&self) -> TcpStream {
        connect(self.http.expect("set up"))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

//! Several processes of one gateway. Each runs the gateway's binary, with an address for operators and a shared folder.
#![allow(dead_code)]

use crate::stand::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::net::TcpSocket;

/// Reserves a port on which several processes can listen. The returned socket is bound but never listens, so that the system
/// doesn't assign the port to another process.
pub(crate) fn shared_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseport(true).expect("set");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = socket.local_addr().expect("bound");
    (socket, at)
}

/// A running process of a gateway. It is killed when it is dropped.
pub(crate) struct Process {
    pub child: Child,
    pub operators: SocketAddr,
    pub clients: SocketAddr,
    pub output: Option<std::thread::JoinHandle<Vec<String>>>,
}

/// The configuration, shared folder and address of a gateway.
pub(crate) struct SharedGateway {
    pub config: String,
    pub tmp: tempfile::TempDir,
    pub at: SocketAddr,
    /// Configuration file of the operator, if any.
    pub operator: Option<tempfile::NamedTempFile>,
    _port: TcpSocket,
}

impl SharedGateway {
    pub(crate) fn new(engines: &[SocketAddr]) -> Self {
        let (port, at) = shared_port();
        let config = config(engines, "resp", 20_000)
            .replacen(
                "\"listen\":\"127.0.0.1:0\"",
                &format!("\"listen\":\"{at}\",\"operator\":\"127.0.0.1:0\""),
                1,
            )
            .replacen("\"clickhouse\":{\"listen\":\"127.0.0.1:0\",", "\"web\":{", 1);
        Self { config, tmp: tempfile::tempdir().expect("a folder"), at, operator: None, _port: port }
    }

    /// Starts a process without waiting for it to listen.
    pub(crate) fn spawn(&self) -> Child {
        let file = self.tmp.path().join("config.json");
        std::fs::write(&file, &self.config).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
        command.env("PROXY_CONFIG", &file).env("TMPDIR", self.tmp.path()).arg("serve").stdout(Stdio::piped());
        command.args(
            self.operator.iter().flat_map(|f| [std::ffi::OsStr::new("--operator"), f.path().as_os_str()]),
        );
        command.spawn().expect("the program starts")
    }

    /// Starts a process, and waits until it listens for clients.
    pub(crate) fn start(&self) -> Process {
        let mut child = self.spawn();
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let mut next = |suffix: &str| -> SocketAddr {
            let line = lines
                .by_ref()
                .map_while(Result::ok)
                .find(|l| l.contains(" listens at ") && l.ends_with(suffix));
            let line = line.expect("the process listens");
            let (_, rest) = line.split_once(" listens at ").expect("found");
            rest.split(' ').next().and_then(|a| a.parse().ok()).expect("an address")
        };
        let operators = next(" for its operators");
        let clients = next("");
        assert_eq!(clients, self.at);
        let output = Some(std::thread::spawn(move || lines.map_while(Result::ok).collect()));
        Process { child, operators, clients, output }
    }
}

impl Process {
    pub(crate) fn request(&self, request: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.operators).expect("the process listens");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        // The process may answer and close the connection before the whole request is sent.
        let _ = stream.write_all(request.as_bytes());
        let (head, body) = read_http(&mut BufReader::new(stream)).expect("an answer");
        (head[0].split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status"), body)
    }

    pub(crate) fn put(&self, path: &str, id: &str) -> u16 {
        self.request(&format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{id}", id.len())).0
    }

    pub(crate) fn metric(&self, name: &str) -> u64 {
        let (status, body) = self.request("GET /api/telemetry HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(status, 200);
        let line = body.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('='));
        line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("{name} is not in {body}"))
    }

    pub(crate) fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.clients).expect("the process listens");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        stream
    }

    pub(crate) fn signal(&self, which: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([which, &id]).status().expect("kill runs").success());
    }

    /// Waits until the process has exited successfully, and returns its output.
    pub(crate) fn wait_for_exit(mut self) -> Vec<String> {
        assert!(self.child.wait().expect("the process exits").success());
        self.output.take().expect("output is taken once").join().expect("read")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn served(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

pub(crate) fn attempt_count(log: &Log) -> usize {
    log.lock().expect("log").iter().filter(|p| p[0] == "want").count()
}

pub(crate) fn lookup(n: u32) -> Vec<u8> {
    let txn = format!("{n:016x}");
    call(1, &[("verb", "lookup"), ("txn", &txn), ("limit", "15000")], "select 1")
}

/// Sends lookups, each on its own connection, and returns the number that were served.
pub(crate) fn served_lookups(process: &Process, from: u32, times: u32) -> usize {
    (from..from + times)
        .filter(|n| {
            let mut client = process.client();
            client.write_all(&lookup(*n)).expect("sent");
            answer(&mut client).1 == "served"
        })
        .count()
}

/// Sends a load on its own connection, and returns the kind of its answer.
pub(crate) fn load(process: &Process, n: u32) -> &'static str {
    let mut client = process.client();
    let (txn, key) = (format!("{n:016x}"), format!("k{n}"));
    let fields = [("verb", "load"), ("txn", txn.as_str()), ("limit", "15000"), ("unique", key.as_str())];
    client.write_all(&call(1, &fields, "insert into s_1.t")).expect("sent");
    answer(&mut client).1
}

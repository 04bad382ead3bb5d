//! The program on loopback, and stand-ins for what it speaks with.
#![allow(dead_code)]

pub mod discovery;
pub mod faults;
pub mod requests;

use rustix::process::{kill_process, Pid, Signal};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::Duration;

/// A running gateway; killed at the end of its test.
pub struct Gateway {
    pub child: Child,
    pub file: PathBuf,
    pub thrift: SocketAddr,
    pub http: Option<SocketAddr>,
    /// Where it listens for its operators, if it does.
    pub operator: Option<SocketAddr>,
    said: Option<thread::JoinHandle<Vec<String>>>,
}

const SETTINGS: &str = r#"{"balancers":1,"zones":["a"],"locality":"a","skus":["std"],"tick":1.0,
 "classes":[
  {"name":"lookup","on_time":500,"give_up":GIVE_UP,"idempotency":"idempotent","worth":1},
  {"name":"load","on_time":900,"give_up":GIVE_UP,"idempotency":"deduplicated","dedup_scope":"all","window":12000}],
 "specifics":{"cpu_of_kind":[8],"memory_by_kind_mb":[8192],"width_by_class":[1,2],"is_load":[false,true],
  "class_waits":[true,false],"grants_count":true,"takes_priority":true,"most_grant":0.4},
 "limits":{"send_cap":3,"cancelling":true,"retry_after":true,"max_retry_after":1000,"connect_timeout":250},
 "rules":{"answer_slack":20,"drain_grace":2000,"extra_free":2,"extra_per_request":0.2,"ratio_span":10000}}"#;

/// The settings of the tests, requests given up after that many milliseconds.
pub fn config(engines: &[SocketAddr], wire: &str, give_up: u32) -> String {
    let member = |(i, at): (usize, &SocketAddr)| {
        format!(
            r#"{{"id":"s-{i}","host_port":"{at}","locality":"a","flavor":"std","cell":0,"phase":"ready","size":1,"up_since_ms":0}}"#
        )
    };
    let members: Vec<_> = engines.iter().enumerate().map(member).collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","engines":"{wire}",
         "clickhouse":{{"listen":"127.0.0.1:0","rules":[{{"class":"load","verbs":["insert"]}},{{"class":"lookup"}}]}},
         "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
         "known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
         "settings":{}}}"#,
        members.join(","),
        SETTINGS.replace("GIVE_UP", &give_up.to_string())
    )
}

/// The text with one part of it changed; that part is there.
pub fn changed(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from} is in the text");
    text.replacen(from, to, 1)
}

/// The class `load` must not run twice.
pub fn at_most_once(config: &str) -> String {
    let keyed = r#""idempotency":"deduplicated","dedup_scope":"all","window":12000"#;
    changed(config, keyed, r#""idempotency":"at_most_once""#)
}

/// No request is late before its own limit, so that nothing but what the test does ends an attempt.
pub fn never_late(config: &str) -> String {
    let text = changed(config, r#""on_time":500"#, r#""on_time":60000"#);
    changed(&text, r#""on_time":900"#, r#""on_time":60000"#)
}

/// No retry budget, and so many attempts for a request at most.
pub fn without_retry_budget(config: &str, max_attempts: u32) -> String {
    let text = changed(config, r#","extra_free":2,"extra_per_request":0.2,"ratio_span":10000"#, "");
    changed(&text, r#""send_cap":3"#, &format!(r#""send_cap":{max_attempts}"#))
}

impl Gateway {
    /// With a folder that its processes share.
    pub fn start_in(config: &str, folder: &std::path::Path) -> Self {
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
        command.env("TMPDIR", folder).arg("serve");
        Self::spawn(command, file)
    }

    pub fn start(config: &str) -> Self {
        Self::start_with(config, None)
    }

    /// With an operator's file beside the platform's.
    pub fn start_with(config: &str, operator: Option<&std::path::Path>) -> Self {
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
    pub fn start_after(config: &str, first: &str) -> Self {
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

    fn spawn(mut command: Command, dir: PathBuf) -> Self {
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
        let said = Some(thread::spawn(move || lines.map_while(Result::ok).collect()));
        Self { child, file: dir, thrift, http, operator, said }
    }

    pub fn signal(&self, which: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([which, &id]).status().expect("kill runs").success());
    }

    pub fn terminate(&self) {
        self.send_signal(Signal::TERM);
    }

    /// Stops the process; returns once none of its threads runs.
    pub fn stop(&self) {
        self.send_signal(Signal::STOP);
        until_true(|| self.has_stopped());
    }

    /// Lets a stopped process go on.
    pub fn resume(&self) {
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
    pub fn connections_coming_up(&self, at: SocketAddr) -> usize {
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
    pub fn until_stream_end_arrived(&self, client: SocketAddr) {
        let (from, close_wait) = (table_address(client), "08");
        let arrived = |words: &[&str]| words.get(2) == Some(&&*from) && words.get(3) == Some(&close_wait);
        until_true(|| !table_inodes(arrived).is_empty());
    }

    /// Writes a new configuration and has it read.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a file");
        self.signal("-HUP");
    }

    /// Ends it; what it says of each class at its end.
    pub fn counts(mut self) -> Vec<String> {
        self.terminate();
        assert!(self.child.wait().expect("it ends").success());
        let said = self.said.take().expect("once").join().expect("read");
        said.iter()
            .filter(|l| l.contains(" taken, "))
            .filter_map(|l| l.split_once(" INFO "))
            .map(|(_, l)| l.to_owned())
            .collect()
    }

    pub fn client(&self) -> TcpStream {
        connect(self.thrift)
    }

    pub fn web(&self) -> TcpStream {
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

/// A name service's answer to a question: a list of these engines, with that number.
pub fn names_answer(question: &[u8], serial: u32, engines: &[(&str, SocketAddr)]) -> Vec<u8> {
    let all: Vec<_> = engines.iter().map(|(id, at)| (*id, *at, false)).collect();
    names_answer_of(question, serial, &all)
}

/// The same, of engines that drain or don't.
pub fn names_answer_of(question: &[u8], serial: u32, engines: &[(&str, SocketAddr, bool)]) -> Vec<u8> {
    let all: Vec<_> = engines.iter().map(|(id, at, drains)| (*id, *at, *drains, 0)).collect();
    names_answer_with_starts(question, serial, &all)
}

/// The same, with the Unix milliseconds of late starts; 0 for a start long ago.
pub fn names_answer_with_starts(
    question: &[u8],
    serial: u32,
    engines: &[(&str, SocketAddr, bool, u64)],
) -> Vec<u8> {
    let record = |out: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]| {
        out.extend(owner);
        out.extend([0, kind, 0, 1, 0, 0, 0, 0]);
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
    };
    let count = engines.len() as u16;
    let started = engines.iter().filter(|(.., started)| *started > 0).count() as u16;
    let counts = [1, count, 1, count + started].map(u16::to_be_bytes).concat();
    let mut out = [&question[..2], &[0x84, 0], &counts, &question[12..]].concat();
    let target = |id: &str| [&[id.len() as u8], id.as_bytes(), b"\x01a\x05hosts\0"].concat();
    for (id, at, drains, _) in engines {
        let data = [&[0, u8::from(*drains), 0, 40][..], &at.port().to_be_bytes(), &target(id)].concat();
        record(&mut out, &[0xc0, 12], 33, &data);
    }
    record(&mut out, &[0], 6, &[&[0, 0][..], &serial.to_be_bytes(), &[0; 16]].concat());
    for (id, at, _, started) in engines {
        let SocketAddr::V4(at) = at else { panic!("IPv4") };
        record(&mut out, &target(id), 1, &at.ip().octets());
        if *started > 0 {
            let text = format!("started={started}");
            record(&mut out, &target(id), 16, &[&[text.len() as u8], text.as_bytes()].concat());
        }
    }
    out
}

/// A list service that speaks and falls silent: what it says, none for nothing.
pub type Said = Arc<Mutex<Option<(u32, Vec<(&'static str, SocketAddr, bool)>)>>>;

pub fn list_service() -> (SocketAddr, Said) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (at, said) = (socket.local_addr().expect("bound"), Said::default());
    let says = said.clone();
    thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((len, from)) = socket.recv_from(&mut bytes) {
            if let Some((serial, list)) = &*says.lock().expect("said") {
                let _ = socket.send_to(&names_answer_of(&bytes[..len], *serial, list), from);
            }
        }
    });
    (at, said)
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    stream
}

fn text(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn message(kind: u8, name: &str, seq: i32, args: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, kind];
    text(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out.extend(args);
    [&(out.len() as u32).to_be_bytes()[..], &out].concat()
}

/// A `call` as the platform's clients write it.
pub fn call(seq: i32, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut args = vec![13, 0, 1, 11, 11];
    args.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        text(&mut args, name.as_bytes());
        text(&mut args, value.as_bytes());
    }
    args.extend([11, 0, 2]);
    text(&mut args, body.as_bytes());
    args.push(0);
    message(1, "call", seq, &args)
}

pub fn cancel(seq: i32) -> Vec<u8> {
    message(4, "cancel", 99, &[&[8, 0, 1][..], &seq.to_be_bytes(), &[0]].concat())
}

pub fn health(seq: i32) -> Vec<u8> {
    message(1, "health", seq, &[2, 0, 1, 0, 0])
}

/// Number, kind (`served`, `overloaded`, `internal` or `exception`) and text of the next answer.
pub fn answer(stream: &mut TcpStream) -> (i32, &'static str, String) {
    let mut len = [0; 4];
    stream.read_exact(&mut len).expect("an answer");
    let mut frame = vec![0; u32::from_be_bytes(len) as usize];
    stream.read_exact(&mut frame).expect("all of it");
    let name = u32::from_be_bytes(frame[4..8].try_into().expect("4")) as usize;
    let rest = &frame[8 + name..];
    let seq = i32::from_be_bytes(rest[..4].try_into().expect("4"));
    let kind = match (frame[3], rest[6]) {
        (2, 0) => "served",
        (2, 1) => "overloaded",
        (2, 2) => "internal",
        _ => "exception",
    };
    let body = match kind {
        "served" => {
            let len = u32::from_be_bytes(rest[10..14].try_into().expect("4")) as usize;
            String::from_utf8_lossy(&rest[14..14 + len]).into_owned()
        }
        _ => String::from_utf8_lossy(rest).into_owned(),
    };
    (seq, kind, body)
}

/// What a stand-in was sent, in order.
pub type Log = Arc<Mutex<Vec<Vec<String>>>>;

/// A command of the platform's engines, as an array of strings.
fn command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let count: usize = line.trim().strip_prefix('*')?.parse().ok()?;
    (0..count)
        .map(|_| {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let mut bytes = vec![0; line.trim().strip_prefix('$')?.parse::<usize>().ok()? + 2];
            reader.read_exact(&mut bytes).ok()?;
            bytes.truncate(bytes.len() - 2);
            String::from_utf8(bytes).ok()
        })
        .collect()
}

/// An answer of the platform's engines.
pub fn reply(parts: &[&str]) -> String {
    let bulk = |p: &&str| format!("${}\r\n{p}\r\n", p.len());
    format!("*{}\r\n{}", parts.len(), parts.iter().map(bulk).collect::<String>())
}

/// A platform engine that answers each command by `act`; none closes the connection.
pub fn resp_engine(act: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static) -> (SocketAddr, Log) {
    resp_engine_that(said(act))
}

/// A platform engine that does as it likes with each command's connection; false closes it.
pub fn resp_engine_that(
    act: impl Fn(&[String], &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    serve(commands(act))
}

fn said(act: impl Fn(&[String]) -> Option<String>) -> impl Fn(&[String], &mut TcpStream) -> bool {
    move |parts, stream| act(parts).is_some_and(|said| stream.write_all(said.as_bytes()).is_ok())
}

fn commands(act: impl Fn(&[String], &mut TcpStream) -> bool) -> impl Fn(&mut TcpStream, &Log) {
    move |stream, log| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(parts) = command(&mut reader) {
            log.lock().expect("log").push(parts.clone());
            if !act(&parts, stream) {
                return;
            }
        }
        log.lock().expect("log").push(vec!["closed".into()]);
    }
}

/// A ClickHouse engine that answers each request, its target and body, by `act`; none closes the connection.
pub fn http_engine(act: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static) -> (SocketAddr, Log) {
    serve(move |stream, log| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some((head, body)) = web_message(&mut reader) {
            let target = head[0].split(' ').nth(1).expect("a target").to_owned();
            log.lock().expect("log").push(vec![target.clone(), body.clone()]);
            let Some(said) = act(&target, &body) else { return };
            if stream.write_all(said.as_bytes()).is_err() {
                return;
            }
        }
        log.lock().expect("log").push(vec!["closed".into()]);
    })
}

fn serve(each: impl Fn(&mut TcpStream, &Log) + Send + Sync + 'static) -> (SocketAddr, Log) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    (at, serve_at(listener, each))
}

fn serve_at(listener: TcpListener, each: impl Fn(&mut TcpStream, &Log) + Send + Sync + 'static) -> Log {
    let log = Log::default();
    let (each, seen) = (Arc::new(each), log.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (each, seen) = (each.clone(), seen.clone());
            thread::spawn(move || each(&mut stream, &seen));
        }
    });
    log
}

/// Head lines and body of an HTTP message; a body cut short ends where the stream does.
pub fn web_message(reader: &mut impl BufRead) -> Option<(Vec<String>, String)> {
    let mut head: Vec<String> = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end() {
            "" => break,
            line => head.push(line.to_owned()),
        }
    }
    let headers: BTreeMap<String, String> = head[1..]
        .iter()
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_lowercase(), v.to_owned()))
        .collect();
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    } else if headers.contains_key("transfer-encoding") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                body.extend(b"<cut>");
                break;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                body.extend(b"<cut>");
                break;
            }
            if size == 0 {
                break;
            }
            body.extend(&chunk[..size]);
        }
    }
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// An HTTP answer.
pub fn web_answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends a request and reads its answer: status line and headers as one text, and the body.
pub fn ask(stream: &mut TcpStream, request: &str) -> (String, String) {
    stream.write_all(request.as_bytes()).expect("sent");
    let mut reader = BufReader::new(stream);
    let (head, body) = web_message(&mut reader).expect("an answer");
    (head.join("\n"), body)
}

/// Waits until the log holds what is looked for: an event, not a time.
pub fn until(log: &Log, found: impl Fn(&[Vec<String>]) -> bool) {
    for _ in 0..30_000 {
        if found(&log.lock().expect("log")) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("never came: {:?}", log.lock().expect("log"));
}

/// Waits until something has become so: an event, not a time.
pub fn until_true(is_so: impl Fn() -> bool) {
    for _ in 0..30_000 {
        if is_so() {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("it never becomes so");
}

/// An IPv4 address as the system's table of connections writes it.
fn table_address(at: SocketAddr) -> String {
    let SocketAddr::V4(at) = at else { panic!("IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port())
}

/// Inodes of the connections in the system's table whose columns fit.
fn table_inodes(fits: impl Fn(&[&str]) -> bool) -> BTreeSet<String> {
    const INODE_COLUMN: usize = 9;
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines.filter(|words| fits(words)).filter_map(|w| w.get(INODE_COLUMN).map(|i| (*i).to_owned())).collect()
}

/// A listener whose queue is full: connections to it come up once there is room, at the system's next try a second later.
/// With what fills it.
pub fn full_listener() -> (TcpListener, Vec<std::io::Result<TcpStream>>) {
    let socket = rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    rustix::net::bind(&socket, &any).expect("bound");
    rustix::net::listen(&socket, 0).expect("listens");
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().expect("bound");
    let filling: Vec<_> =
        (0..2).map(|_| TcpStream::connect_timeout(&at, Duration::from_millis(100))).collect();
    assert!(filling[1].is_err(), "the queue is full");
    (listener, filling)
}

/// Waits until a connection to that address is on its way and not up yet.
pub fn until_coming_up(at: SocketAddr) {
    let (to, syn_sent) = (format!("0100007F:{:04X}", at.port()), "02");
    let of = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(2) == Some(&to.as_str()) && words.get(3) == Some(&syn_sent)
    };
    for _ in 0..30_000 {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        if table.lines().any(of) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection to {at} is ever on its way");
}

/// An address at which nothing listens and nothing will: connections are refused for as long as the socket is held.
pub fn refusing() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = socket.local_addr().expect("bound");
    (socket, at)
}

/// A platform engine at a listener that stands already.
pub fn resp_engine_at(
    listener: TcpListener,
    act: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> Log {
    serve_at(listener, commands(said(act)))
}

/// A platform engine that keeps its first answer to the command `want` of that name back: after the first
/// [`Barrier::wait`] it sends the answer, and joins the second once the answer is sent. All else is answered by `act`.
pub fn resp_engine_that_holds(
    name: &'static str,
    held_answer: String,
    act: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log, Arc<Barrier>) {
    let barrier = Arc::new(Barrier::new(2));
    let (joined, is_first, act) = (barrier.clone(), AtomicBool::new(true), said(act));
    let (at, log) = resp_engine_that(move |parts, stream| {
        let is_held = parts[0] == "want" && parts[1] == name && is_first.swap(false, Ordering::SeqCst);
        if !is_held {
            return act(parts, stream);
        }
        joined.wait();
        let is_sent = stream.write_all(held_answer.as_bytes()).is_ok();
        joined.wait();
        is_sent
    });
    (at, log, barrier)
}

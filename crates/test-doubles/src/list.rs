//! A list service: DNS over UDP, as the platform's protocol has it, with a capacity and a bounded line. What it was asked
//! and what it said is its ledger.
//!
//! It can come up late, fall silent for a while, answer late from its line, answer no more than so many questions a
//! second, fall for as long as it is asked more than that, and say for a while what is older than what it said before.
//! It cannot answer wrongly or cut short: the gateway's parser tests do that.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Questions that are written down at most; nothing is answered after them, so that a reader sees it.
const LEDGER: usize = 2_000_000;

/// How it behaves. Times in seconds from its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Script {
    /// It answers nothing before this.
    pub up_from: f64,
    /// It answers nothing from the first to the second.
    pub silent: (f64, f64),
    /// Questions a second that it can answer.
    pub capacity: f64,
    /// Questions wait for their answer no longer than this, or behind seven others; those that would are lost.
    pub line: f64,
    /// Asked more than it can answer within a second it answers nothing, until a second in which it was not.
    pub falls: bool,
    /// Until then it says what is older than its first version.
    pub stale_until: f64,
}

impl Script {
    /// One that is well.
    pub const WELL: Self =
        Self { up_from: 0.0, silent: (0.0, 0.0), capacity: 1e6, line: 0.1, falls: false, stale_until: 0.0 };
}

/// An engine as the service lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// It drains.
    pub drains: bool,
    /// Unix milliseconds of a late start; 0: it has been there.
    pub started: f64,
}

/// What it says from a time on.
#[derive(Debug, Clone, PartialEq)]
pub struct Version {
    /// Seconds from its start.
    pub from: f64,
    /// The number of the last event: 1 or more, as older news is said under 0.
    pub serial: u32,
    /// The list.
    pub engines: Vec<Entry>,
}

/// One question.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asked {
    /// Seconds from the start.
    pub at: f64,
    /// The id of the question.
    pub id: u16,
    /// Who: one socket a gateway.
    pub from: SocketAddr,
    /// What it was told, and when; none: it was lost.
    pub told: Option<(u32, f64)>,
}

/// A running service; it ends with the process, or when it is told to.
pub struct List {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started.
    pub begun: Instant,
    ledger: Arc<Mutex<Vec<Asked>>>,
    versions: Arc<Mutex<Vec<Version>>>,
    ended: Arc<Mutex<bool>>,
}

fn locked<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl List {
    /// Starts it on a thread of its own, with versions in the order of their times.
    ///
    /// # Errors
    /// There is no port.
    pub fn start(script: Script, versions: Vec<Version>) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let (address, begun) = (socket.local_addr()?, Instant::now());
        let list = Self {
            address,
            begun,
            ledger: Arc::default(),
            versions: Arc::new(Mutex::new(versions)),
            ended: Arc::default(),
        };
        let (ledger, says, ended) = (list.ledger.clone(), list.versions.clone(), list.ended.clone());
        std::thread::spawn(move || serve(&socket, begun, script, &ledger, &says, &ended));
        Ok(list)
    }

    /// All questions so far, in their order.
    pub fn asked(&self) -> Vec<Asked> {
        locked(&self.ledger).clone()
    }

    /// Says that from now on.
    pub fn say(&self, serial: u32, engines: Vec<Entry>) {
        let from = self.begun.elapsed().as_secs_f64();
        locked(&self.versions).push(Version { from, serial, engines });
    }
}

impl Drop for List {
    fn drop(&mut self) {
        *locked(&self.ended) = true;
    }
}

fn serve(
    socket: &UdpSocket,
    begun: Instant,
    script: Script,
    ledger: &Mutex<Vec<Asked>>,
    versions: &Mutex<Vec<Version>>,
    ended: &Mutex<bool>,
) {
    let mut bytes = [0; 512];
    // Until when it is busy with what it took, and what waits: when it is due, by its place in the ledger.
    let (mut busy, mut line) = (0.0_f64, VecDeque::<(f64, usize, Vec<u8>)>::new());
    while !*locked(ended) {
        let now = begun.elapsed().as_secs_f64();
        while line.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, place, question)) = line.pop_front() else { break };
            let versions = locked(versions);
            let stale = Version { from: 0.0, serial: 0, engines: Vec::new() };
            let said = versions.iter().rev().find(|v| v.from <= now).filter(|_| now >= script.stale_until);
            let said = said.unwrap_or(&stale);
            let mut ledger = locked(ledger);
            let asked = &mut ledger[place];
            if socket.send_to(&answer(&question, said.serial, &said.engines), asked.from).is_ok() {
                asked.told = Some((said.serial, now));
            }
        }
        let next = line.front().map_or(0.05, |(due, ..)| (due - now).clamp(0.0005, 0.05));
        if socket.set_read_timeout(Some(Duration::from_secs_f64(next))).is_err() {
            return;
        }
        let Ok((len, from)) = socket.recv_from(&mut bytes) else { continue };
        let at = begun.elapsed().as_secs_f64();
        let mut ledger = locked(ledger);
        let recent = ledger.iter().rev().take_while(|a| at - a.at < 1.0).count();
        let up = at >= script.up_from && !(script.silent.0..script.silent.1).contains(&at);
        let fallen = script.falls && recent as f64 > script.capacity;
        let due = busy.max(at) + 1.0 / script.capacity;
        if up
            && !fallen
            && ledger.len() < LEDGER
            && len >= 12
            && due - at <= script.line.max(8.0 / script.capacity)
        {
            busy = due;
            line.push_back((due, ledger.len(), bytes[..len].to_vec()));
        }
        let id = u16::from_be_bytes([bytes[0], bytes[1]]);
        if ledger.len() < LEDGER {
            ledger.push(Asked { at, id, from, told: None });
        }
    }
}

/// The answer to a question: a list of these engines with that number (RFC 1035: SRV, SOA, A, TXT).
pub fn answer(question: &[u8], serial: u32, engines: &[Entry]) -> Vec<u8> {
    let record = |out: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]| {
        out.extend(owner);
        out.extend([0, kind, 0, 1, 0, 0, 0, 0]);
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
    };
    let count = (engines.len() as u16).to_be_bytes();
    let more = (2 * engines.len() as u16).to_be_bytes();
    let mut out = [&question[..2], &[0x84, 0, 0, 1], &count, &[0, 1], &more, &question[12..]].concat();
    let target = |id: &str| [&[id.len() as u8], id.as_bytes(), b"\x01a\x05hosts\0"].concat();
    for e in engines {
        let place = [&[0, u8::from(e.drains), 0, 40][..], &e.address.port().to_be_bytes()].concat();
        record(&mut out, &[0xc0, 12], 33, &[place, target(&e.id)].concat());
    }
    record(&mut out, &[0], 6, &[&[0, 0][..], &serial.to_be_bytes(), &[0; 16]].concat());
    for e in engines {
        let ip = match e.address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => [0; 4],
        };
        record(&mut out, &target(&e.id), 1, &ip);
        let text = |t: String| [&[t.len() as u8], t.as_bytes()].concat();
        let texts = [text("kind=std".into()), text(format!("started={:.0}", e.started))].concat();
        record(&mut out, &target(&e.id), 16, &texts);
    }
    out
}

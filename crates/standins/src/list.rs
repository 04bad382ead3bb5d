//! A list service: DNS over UDP, as the platform's protocol has it, with a capacity. What it was asked is its ledger.
//!
//! It can be silent, come up late, answer no more than so many questions a second, and fall for as long as it is asked
//! more than that. It cannot answer late, cut short or with an older list.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How it behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Script {
    /// It answers nothing before this, in seconds from its start.
    pub up_from: f64,
    /// Questions a second that it can answer; those over are lost.
    pub capacity: f64,
    /// Asked more than it can answer within a second it answers nothing, until a second in which it was not.
    pub falls: bool,
}

/// One question.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asked {
    /// Seconds from the start.
    pub at: f64,
    /// Who: one socket a gateway.
    pub from: SocketAddr,
    /// Whether it was answered.
    pub answered: bool,
}

/// A running service; it ends with the process, or when it is told to.
pub struct List {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started.
    pub begun: Instant,
    ledger: Arc<Mutex<Vec<Asked>>>,
    ended: Arc<Mutex<bool>>,
}

fn locked<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl List {
    /// Starts it on a thread of its own.
    ///
    /// # Errors
    /// There is no port.
    pub fn start(script: Script, engines: Vec<(String, SocketAddr)>) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let (address, begun) = (socket.local_addr()?, Instant::now());
        let (ledger, ended): (Arc<Mutex<Vec<Asked>>>, Arc<Mutex<bool>>) = Default::default();
        let (asked, stop) = (ledger.clone(), ended.clone());
        std::thread::spawn(move || {
            let mut bytes = [0; 512];
            let (mut tokens, mut last) = (0.0, 0.0);
            while !*locked(&stop) {
                let Ok((len, from)) = socket.recv_from(&mut bytes) else { continue };
                let at = begun.elapsed().as_secs_f64();
                // A tenth of a second's worth may be saved up.
                tokens = f64::min(tokens + (at - last) * script.capacity, (script.capacity / 10.0).max(1.0));
                last = at;
                let mut asked = locked(&asked);
                let recent = asked.iter().rev().take_while(|a| at - a.at < 1.0).count();
                let fallen = script.falls && recent as f64 > script.capacity;
                let answered = at >= script.up_from && tokens >= 1.0 && !fallen && len >= 12;
                if answered {
                    tokens -= 1.0;
                    let _ = socket.send_to(&answer(&bytes[..len], 1, &engines), from);
                }
                asked.push(Asked { at, from, answered });
            }
        });
        Ok(Self { address, begun, ledger, ended })
    }

    /// All questions so far, in their order.
    pub fn asked(&self) -> Vec<Asked> {
        locked(&self.ledger).clone()
    }
}

impl Drop for List {
    fn drop(&mut self) {
        *locked(&self.ended) = true;
    }
}

/// The answer to a question: a list of these engines, all ready, with that number (RFC 1035: SRV, SOA, A).
pub fn answer(question: &[u8], serial: u32, engines: &[(String, SocketAddr)]) -> Vec<u8> {
    let record = |out: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]| {
        out.extend(owner);
        out.extend([0, kind, 0, 1, 0, 0, 0, 0]);
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
    };
    let count = engines.len() as u8;
    let mut out = [&question[..2], &[0x84, 0, 0, 1, 0, count, 0, 1, 0, count], &question[12..]].concat();
    let target = |id: &str| [&[id.len() as u8], id.as_bytes(), b"\x01a\x05hosts\0"].concat();
    for (id, at) in engines {
        let data = [&[0, 0, 0, 40][..], &at.port().to_be_bytes(), &target(id)].concat();
        record(&mut out, &[0xc0, 12], 33, &data);
    }
    record(&mut out, &[0], 6, &[&[0, 0][..], &serial.to_be_bytes(), &[0; 16]].concat());
    for (id, at) in engines {
        let ip = match at.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => [0; 4],
        };
        record(&mut out, &target(id), 1, &ip);
    }
    out
}

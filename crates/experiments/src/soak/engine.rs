//! An engine of the platform that serves by a clock, with troubles that can be switched on, and writes down every attempt.

use super::ledger::{AttemptEnd, AttemptRecord};
use super::Stage;
use rand::Rng;
use rustix::net::sockopt::set_socket_linger;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;
use tokio::time::sleep;

/// The shortest and the longest time that a request takes here.
const SERVICE_MS: std::ops::Range<u64> = 60..260;
/// The mean of that, in seconds.
pub const MEAN_SERVICE: f64 = 0.16;
/// Bytes of a command at most.
const LONGEST: usize = 1 << 16;

/// How it behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    Well,
    /// It answers nothing.
    Hang,
    /// It turns everything away.
    Overload,
    /// It closes connections on which nothing is open.
    CloseIdle,
}

/// An engine.
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    stage: Rc<Stage>,
    /// Its number in the ledger; another after each start.
    pub number: Cell<usize>,
    mode: Cell<Mode>,
    /// Connections of an earlier value are reset.
    generation: watch::Sender<u64>,
    up: watch::Sender<bool>,
}

/// An attempt that is out.
struct Open {
    txn: String,
    place: usize,
}

type Table = Rc<RefCell<HashMap<String, Open>>>;

impl Engine {
    /// Starts it on a port of its own.
    ///
    /// # Errors
    /// There is no port.
    pub async fn start(stage: Rc<Stage>, number: usize) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Rc::new(Self {
            address: listener.local_addr()?,
            stage,
            number: Cell::new(number),
            mode: Cell::new(Mode::Well),
            generation: watch::Sender::new(0),
            up: watch::Sender::new(true),
        });
        tokio::task::spawn_local(engine.clone().run(listener));
        Ok(engine)
    }

    /// Behaves so from now on.
    pub fn behave(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Ends as a process that dies.
    pub fn crash(&self) {
        self.up.send_replace(false);
        self.reset();
    }

    /// Starts anew under that number.
    pub fn restart(&self, number: usize) {
        self.number.set(number);
        self.up.send_replace(true);
    }

    async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut up = self.up.subscribe();
        loop {
            if !*up.borrow_and_update() {
                listener = None;
                if up.wait_for(|up| *up).await.is_err() {
                    return;
                }
            }
            let Some(open) = listener.take() else {
                listener = TcpListener::bind(self.address).await.ok();
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            tokio::select! {
                accepted = open.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::task::spawn_local(self.clone().serve(stream));
                    }
                    listener = Some(open);
                }
                _ = up.changed() => {}
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut generation = self.generation.subscribe();
        generation.borrow_and_update();
        let table = Table::default();
        // A reset takes all bytes with it that were not sent.
        let resettable = stream.into_std().ok().and_then(|s| {
            let copy = s.try_clone().ok()?;
            TcpStream::from_std(s).ok().map(|stream| (stream, copy))
        });
        let Some((stream, copy)) = resettable else { return };
        let (reader, mut writer) = stream.into_split();
        let (say, mut said) = unbounded_channel::<Vec<u8>>();
        let writes = async {
            while let Some(bytes) = said.recv().await {
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = writes => {}
            () = self.read(reader, &table, say) => {}
            _ = generation.changed() => {
                let _ = set_socket_linger(&copy, Some(Duration::ZERO));
            }
        }
        let open: Vec<Open> = table.borrow_mut().drain().map(|(_, open)| open).collect();
        open.iter().for_each(|open| self.end(open, AttemptEnd::ConnectionClosed));
    }

    async fn read(self: &Rc<Self>, mut reader: OwnedReadHalf, table: &Table, say: UnboundedSender<Vec<u8>>) {
        let mut bytes = Vec::new();
        loop {
            while let Some((parts, used)) = command(&bytes) {
                bytes.drain(..used);
                if !self.act(&parts, table, &say) {
                    return;
                }
            }
            if bytes.len() > LONGEST || !matches!(reader.read_buf(&mut bytes).await, Ok(1..)) {
                return;
            }
        }
    }

    /// Does what a command asks for; false closes the connection.
    fn act(self: &Rc<Self>, parts: &[String], table: &Table, say: &UnboundedSender<Vec<u8>>) -> bool {
        match parts[0].as_str() {
            "want" if parts.len() > 2 => self.begin(&parts[1], &parts[2], table, say),
            "never_mind" if parts.len() > 1 => {
                let open = table.borrow_mut().remove(&parts[1]);
                open.iter().for_each(|open| self.end(open, AttemptEnd::GivenUp));
            }
            "busy" if parts.len() > 1 && self.mode.get() != Mode::Hang => {
                drop(say.send(reply(&[&parts[1], "green", "use=util:0.3", ""])));
            }
            _ => {}
        }
        true
    }

    fn begin(self: &Rc<Self>, txn: &str, fields: &str, table: &Table, say: &UnboundedSender<Vec<u8>>) {
        let budget = fields.split(',').find_map(|f| f.strip_prefix("budget=")?.parse::<f64>().ok());
        let attempt = AttemptRecord {
            engine: self.number.get(),
            arrived: self.stage.now(),
            budget: budget.unwrap_or(f64::INFINITY) / 1000.0,
            end: None,
        };
        let mut ledger = self.stage.ledger.borrow_mut();
        let attempts = ledger.attempts.entry(txn.to_owned()).or_default();
        attempts.push(attempt);
        let open = Open { txn: txn.to_owned(), place: attempts.len() - 1 };
        drop(ledger);
        if self.mode.get() == Mode::Overload {
            self.end(&open, AttemptEnd::NeverRan);
            return drop(say.send(reply(&[txn, "overload", "-", ""])));
        }
        table.borrow_mut().insert(txn.to_owned(), open);
        let (engine, table, say, txn) = (self.clone(), table.clone(), say.clone(), txn.to_owned());
        let takes = self.stage.draw(|rng| rng.random_range(SERVICE_MS));
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(takes)).await;
            engine.finish(&txn, takes, &table, &say).await;
        });
    }

    async fn finish(&self, txn: &str, took: u64, table: &Table, say: &UnboundedSender<Vec<u8>>) {
        // What hangs is served once the trouble is over, if anybody still waits for it.
        while self.mode.get() == Mode::Hang {
            sleep(Duration::from_millis(20)).await;
        }
        let Some(open) = table.borrow_mut().remove(txn) else { return };
        self.end(&open, AttemptEnd::Served);
        let _ = say.send(reply(&[txn, "served", &format!("pages=1,cost={took},need=8"), "a\tb\tc\n"]));
        if self.mode.get() == Mode::CloseIdle && table.borrow().is_empty() {
            // The answer leaves first; what was on its way meets the close.
            sleep(Duration::from_millis(1)).await;
            self.reset();
        }
    }

    fn end(&self, open: &Open, how: AttemptEnd) {
        let now = self.stage.now();
        let mut ledger = self.stage.ledger.borrow_mut();
        let attempt = ledger.attempts.get_mut(&open.txn).and_then(|all| all.get_mut(open.place));
        if let Some(attempt) = attempt {
            attempt.end.get_or_insert((now, how));
        }
    }
}

/// An array of bulk strings.
fn reply(parts: &[&str]) -> Vec<u8> {
    let bulk = |part: &&str| format!("${}\r\n{part}\r\n", part.len());
    format!("*{}\r\n{}", parts.len(), parts.iter().map(bulk).collect::<String>()).into_bytes()
}

/// The first whole command, and the bytes that it took.
fn command(bytes: &[u8]) -> Option<(Vec<String>, usize)> {
    let line = |at: usize| {
        let end = bytes.get(at..)?.windows(2).position(|w| w == b"\r\n")? + at;
        let number = std::str::from_utf8(bytes.get(at + 1..end)?).ok()?.parse::<usize>().ok()?;
        Some((number, end + 2))
    };
    let (count, mut at) = line(0)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let (len, from) = line(at)?;
        parts.push(String::from_utf8_lossy(bytes.get(from..from + len)?).into_owned());
        at = from + len + 2;
    }
    (at <= bytes.len() && !parts.is_empty()).then_some((parts, at))
}

#[cfg(test)]
mod tests;

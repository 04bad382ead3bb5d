//! A stand-in engine on loopback, speaking the platform's RESP commands or the ClickHouse HTTP interface, as far as
//! the gateway uses them. Its time is [`Model`]'s. A statement says how much work it is: `work=250 usual=300 threads=2`,
//! the second being what a cold engine's budget counts.
//!
//! It drops repeats of a key for a window, from when the first arrived at any engine of its fleet, and writes down each
//! run of a key. It can be stopped, so that connections break, and started anew, cold; it can refuse connections, or take
//! them and say nothing. All that comes to it is its ledger. It can't answer wrongly: `tests/stand` of the gateway does.

use crate::model::{Model, Spec};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

/// Bytes of one message at most.
const MOST: usize = 4 << 20;
/// So long may a message on one connection be read after a later one on another: every time limit of the rules is 50 ms
/// longer on sockets.
const CROSSING: f64 = 50.0;
/// A look that is later than this shows a stand-still.
const STILL: f64 = 5.0;
/// Time between two looks at what has ended.
const TICK: Duration = Duration::from_millis(1);

/// What the engines speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wire {
    /// The platform's commands.
    Resp,
    /// The ClickHouse HTTP interface.
    ClickHouse,
}

/// What becomes of new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// They are served.
    Open,
    /// Nobody listens.
    Shut,
    /// They are taken, and nothing is said on them.
    Mute,
}

/// One thing that came to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Milliseconds of the fleet's clock.
    pub at: f64,
    /// What.
    pub what: Came,
}

/// What came.
#[derive(Debug, Clone, PartialEq)]
pub enum Came {
    /// A connection.
    Connection,
    /// A probe.
    Probe,
    /// An attempt of that request, with its usual work in milliseconds on one core.
    Attempt(String, f64),
}

/// Entries of a ledger at most; a longer run has a gap that its reader sees.
pub const LEDGER: usize = 2_000_000;

/// What all engines of a fleet saw of keys and requests.
#[derive(Debug, Default)]
struct Seen {
    /// By key, when its first arrived.
    keys: HashMap<String, f64>,
    /// By key, when each run began.
    runs: BTreeMap<String, Vec<f64>>,
    /// Attempts that are out, by request.
    out: HashMap<String, u32>,
    /// Requests of which two are out, since when by the clock without stand-stills.
    twice: HashMap<String, f64>,
    /// How long the thread that serves them stood still in all, and which engine measures it.
    stood: f64,
    meter: Option<SocketAddr>,
    overlapping: u64,
    attempts: u64,
}

/// A fleet's common clock and memory.
#[derive(Debug, Clone)]
pub struct Fleet {
    start: Instant,
    window: f64,
    seen: Arc<Mutex<Seen>>,
}

fn locked<T>(x: &Mutex<T>) -> MutexGuard<'_, T> {
    x.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Engines that drop repeats of a key for so many milliseconds.
    pub fn new(window: f64) -> Self {
        Self { start: Instant::now(), window, seen: Arc::default() }
    }

    /// Milliseconds since the fleet began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// One of its engines looked at its clock again after so long: what is over the usual is a stand-still of the
    /// thread that serves them all, in which nothing was read, in whatever order it came.
    fn stands(&self, engine: SocketAddr, gap: f64) {
        let mut seen = locked(&self.seen);
        if *seen.meter.get_or_insert(engine) == engine {
            seen.stood += (gap - STILL).max(0.0);
        }
    }

    /// Each key with the times at which it ran.
    pub fn runs(&self) -> BTreeMap<String, Vec<f64>> {
        locked(&self.seen).runs.clone()
    }

    /// Requests of which two attempts were out at a time, for longer than messages on two connections may cross.
    pub fn overlapping(&self) -> u64 {
        let seen = locked(&self.seen);
        let now = self.now() - seen.stood;
        seen.overlapping + seen.twice.values().filter(|at| now - **at > CROSSING).count() as u64
    }

    /// Attempts that came.
    pub fn attempts(&self) -> u64 {
        locked(&self.seen).attempts
    }
}

struct Open {
    name: String,
    work: f64,
    conn: u64,
    reply: UnboundedSender<Vec<u8>>,
}

struct State {
    model: Model,
    open: HashMap<u64, Open>,
    next: u64,
    up: bool,
    /// Connections of an earlier life end.
    life: u64,
    door: Door,
    ledger: Vec<Arrival>,
    rng: Pcg64Mcg,
}

/// A running engine; clones are the same engine.
#[derive(Clone)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    wire: Wire,
    fleet: Fleet,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts a warm engine on a port of loopback. It runs on the current local set.
    ///
    /// # Errors
    /// There is no port.
    pub async fn start(wire: Wire, spec: Spec, fleet: Fleet, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let now = fleet.now();
        let state = State {
            model: Model::new(spec, now - 1e9, now),
            open: HashMap::new(),
            next: 0,
            up: true,
            life: 0,
            door: Door::Open,
            ledger: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        let engine =
            Self { address: listener.local_addr()?, wire, fleet, state: Arc::new(Mutex::new(state)) };
        tokio::task::spawn_local(engine.clone().accept(listener));
        tokio::task::spawn_local(engine.clone().run());
        Ok(engine)
    }

    /// It stops: its connections break, and new ones end at once.
    pub fn stop(&self) {
        let mut s = locked(&self.state);
        s.up = false;
        s.life += 1;
        s.model.clear();
        self.drop_open(&mut s, |_| true);
    }

    /// It starts anew, cold.
    pub fn restart(&self) {
        let mut s = locked(&self.state);
        let now = self.fleet.now();
        // The worst of all its lives is kept.
        let worst = s.model.worst;
        s.model = Model::new(s.model.spec.clone(), now, now);
        s.model.worst = worst;
        s.up = true;
    }

    /// Looks at its model.
    pub fn look<T>(&self, at: impl FnOnce(&Model) -> T) -> T {
        at(&locked(&self.state).model)
    }

    /// What becomes of new connections from now on.
    pub fn set_door(&self, door: Door) {
        locked(&self.state).door = door;
    }

    /// All that came so far.
    pub fn ledger(&self) -> Vec<Arrival> {
        locked(&self.state).ledger.clone()
    }

    fn note(&self, s: &mut State, what: Came) {
        if s.ledger.len() < LEDGER {
            s.ledger.push(Arrival { at: self.fleet.now(), what });
        }
    }

    fn drop_open(&self, s: &mut State, which: impl Fn(&Open) -> bool) {
        let mut seen = locked(&self.fleet.seen);
        for (_, open) in s.open.extract_if(|_, o| which(o)) {
            end(&mut seen, &open.name, self.fleet.now());
        }
    }

    async fn accept(self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut look = tokio::time::interval(Duration::from_millis(5));
        loop {
            let shut = locked(&self.state).door == Door::Shut;
            match (&listener, shut) {
                (Some(_), true) => listener = None,
                // The port is this engine's: nobody else takes it meanwhile but by bad luck, and then it stays shut.
                (None, false) => listener = TcpListener::bind(self.address).await.ok(),
                _ => {}
            }
            let Some(open) = &listener else {
                look.tick().await;
                continue;
            };
            let stream = tokio::select! {
                accepted = open.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
                _ = look.tick() => continue,
            };
            let (life, mute) = {
                let mut s = locked(&self.state);
                self.note(&mut s, Came::Connection);
                if !s.up || s.model.fallen.is_some() {
                    continue;
                }
                (s.life, s.door == Door::Mute)
            };
            let _ = stream.set_nodelay(true);
            if mute {
                tokio::task::spawn_local(self.clone().hold(stream, life));
            } else {
                tokio::task::spawn_local(self.clone().serve(stream, life));
            }
        }
    }

    /// Holds a connection on which nothing is said.
    async fn hold(self, stream: TcpStream, life: u64) {
        let mut look = tokio::time::interval(Duration::from_millis(50));
        while locked(&self.state).life == life {
            look.tick().await;
        }
        drop(stream);
    }

    async fn run(self) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last = self.fleet.now();
        loop {
            tick.tick().await;
            let mut s = locked(&self.state);
            let now = self.fleet.now();
            self.fleet.stands(self.address, now - last);
            last = now;
            for id in s.model.advance(now) {
                let Some(open) = s.open.remove(&id) else { continue };
                end(&mut locked(&self.fleet.seen), &open.name, now);
                let _ = open.reply.send(self.served(&open.name, open.work, &report(&s.model)));
            }
            if s.model.fallen.is_some() && s.up {
                s.up = false;
                s.life += 1;
                self.drop_open(&mut s, |_| true);
            }
        }
    }

    fn served(&self, name: &str, work: f64, report: &str) -> Vec<u8> {
        match self.wire {
            Wire::Resp => {
                resp(&[name, "served", &format!("pages=1,cost={work:.1},need=8{report}"), "a\tb\tc\n"])
            }
            Wire::ClickHouse => http("200 OK", "a\tb\tc\n"),
        }
    }

    async fn serve(self, mut stream: TcpStream, life: u64) {
        let (reply, mut replies) = unbounded_channel::<Vec<u8>>();
        let conn = {
            let mut s = locked(&self.state);
            s.next += 1;
            s.next
        };
        let mut bytes = Vec::new();
        let mut look = tokio::time::interval(Duration::from_millis(5));
        loop {
            tokio::select! {
                read = stream.read_buf(&mut bytes) => {
                    if !matches!(read, Ok(n) if n > 0) || bytes.len() > MOST {
                        break;
                    }
                    loop {
                        let parsed = match self.wire {
                            Wire::Resp => read_resp(&bytes),
                            Wire::ClickHouse => read_http(&bytes),
                        };
                        let Ok(parsed) = parsed else { return self.gone(conn) };
                        let Some((ask, used)) = parsed else { break };
                        bytes.drain(..used);
                        if let Some(said) = self.take(&ask, conn, &reply) {
                            let _ = reply.send(said);
                        }
                    }
                }
                Some(said) = replies.recv() => {
                    if stream.write_all(&said).await.is_err() {
                        break;
                    }
                }
                _ = look.tick() => {
                    if locked(&self.state).life != life {
                        break;
                    }
                }
            }
        }
        self.gone(conn);
    }

    /// Closing a connection gives up all that is open on it.
    fn gone(&self, conn: u64) {
        let mut s = locked(&self.state);
        let ids: Vec<u64> = s.open.iter().filter(|(_, o)| o.conn == conn).map(|(id, _)| *id).collect();
        ids.iter().for_each(|id| s.model.cancel(*id));
        self.drop_open(&mut s, |o| o.conn == conn);
    }

    /// One command; what is said to it at once.
    fn take(&self, ask: &Ask, conn: u64, reply: &UnboundedSender<Vec<u8>>) -> Option<Vec<u8>> {
        let mut s = locked(&self.state);
        let told = report(&s.model);
        match ask {
            Ask::Probe(tag) => {
                self.note(&mut s, Came::Probe);
                Some(match self.wire {
                    Wire::Resp => resp(&[tag, "green", &format!("cost=0{told}"), ""]),
                    Wire::ClickHouse => http("200 OK", "Ok.\n"),
                })
            }
            Ask::GiveUp(name) => {
                let id = s.open.iter().find(|(_, o)| o.name == *name).map(|(id, _)| *id)?;
                s.model.cancel(id);
                self.drop_open(&mut s, |o| o.name == *name);
                None
            }
            Ask::Other => None,
            Ask::Query { name, key, text } => {
                let now = self.fleet.now();
                let figure = |what: &str, otherwise: f64| {
                    let (_, rest) = text.split_once(what)?;
                    let end = rest.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(rest.len());
                    rest[..end].parse::<f64>().ok().or(Some(otherwise))
                };
                let (work, threads) = (figure("work=", 1.0).unwrap_or(1.0), figure("threads=", 1.0));
                let usual = figure("usual=", work).unwrap_or(work);
                self.note(&mut s, Came::Attempt(name.clone(), usual));
                let mut seen = locked(&self.fleet.seen);
                seen.attempts += 1;
                let out = seen.out.entry(name.clone()).or_default();
                *out += 1;
                if *out > 1 {
                    let at = now - seen.stood;
                    seen.twice.entry(name.clone()).or_insert(at);
                }
                let dropped = key.as_ref().is_some_and(|k| {
                    let known = seen.keys.get(k).is_some_and(|at| now < at + self.fleet.window);
                    if !known {
                        seen.keys.insert(k.clone(), now);
                        seen.runs.entry(k.clone()).or_default().push(now);
                    }
                    known
                });
                let errors = s.model.spec.errors;
                let errs = s.rng.random_bool(errors);
                if dropped || errs || s.model.spec.at_once {
                    end(&mut seen, name, now);
                    return Some(match (dropped || !errs, self.wire) {
                        (true, _) => self.served(name, 1.0, &told),
                        (false, Wire::Resp) => resp(&[name, "crashed", &format!("cost=0{told}"), ""]),
                        (false, Wire::ClickHouse) => http("500 Internal Server Error", "Code: 1000.\n"),
                    });
                }
                drop(seen);
                s.next += 1;
                let id = s.next;
                s.open.insert(id, Open { name: name.clone(), work, conn, reply: reply.clone() });
                s.model.start(id, work, usual, threads.unwrap_or(1.0).max(0.1), now);
                None
            }
        }
    }
}

/// What an answer says of the engine's load.
fn report(model: &Model) -> String {
    if model.spec.tells {
        format!(",use=util:{:.3}", model.util())
    } else {
        String::new()
    }
}

fn end(seen: &mut Seen, name: &str, now: f64) {
    if let Some(out) = seen.out.get_mut(name) {
        *out -= 1;
        // The word that gives one up and the next attempt travel on two connections: which is read first is chance.
        if *out == 1 {
            let (now, since) = (now - seen.stood, seen.twice.remove(name));
            seen.overlapping += u64::from(since.is_some_and(|at| now - at > CROSSING));
        }
        if *out == 0 {
            seen.out.remove(name);
        }
    }
}

/// What a gateway asks.
#[derive(Debug, PartialEq)]
enum Ask {
    Query { name: String, key: Option<String>, text: String },
    Probe(String),
    GiveUp(String),
    Other,
}

/// A command as an array of bulk strings; none: more bytes are needed.
fn read_resp(bytes: &[u8]) -> Result<Option<(Ask, usize)>, ()> {
    let mut at = 0;
    let line = |at: &mut usize, mark: u8| -> Result<Option<usize>, ()> {
        let rest = bytes.get(*at..).unwrap_or_default();
        let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
        if rest[0] != mark {
            return Err(());
        }
        *at += end + 2;
        let number = std::str::from_utf8(&rest[1..end]).ok().and_then(|n| n.parse().ok());
        number.filter(|n| *n <= MOST).map(Some).ok_or(())
    };
    let Some(count) = line(&mut at, b'*')? else { return Ok(None) };
    let mut parts = Vec::new();
    for _ in 0..count.min(8) {
        let Some(len) = line(&mut at, b'$')? else { return Ok(None) };
        let Some(part) = bytes.get(at..at + len) else { return Ok(None) };
        if bytes.len() < at + len + 2 {
            return Ok(None);
        }
        parts.push(String::from_utf8_lossy(part).into_owned());
        at += len + 2;
    }
    let part = |n: usize| parts.get(n).cloned().unwrap_or_default();
    let ask = match part(0).as_str() {
        "want" => {
            let fields = part(2);
            let key = fields.split(',').find_map(|f| f.strip_prefix("uniq=")).map(str::to_owned);
            Ask::Query { name: part(1), key, text: part(3) }
        }
        "busy" | "there" => Ask::Probe(part(1)),
        "never_mind" => Ask::GiveUp(part(1)),
        _ => Ask::Other,
    };
    Ok(Some((ask, at)))
}

/// A request with a length; none: more bytes are needed.
fn read_http(bytes: &[u8]) -> Result<Option<(Ask, usize)>, ()> {
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(None) };
    let text = std::str::from_utf8(&bytes[..head]).map_err(drop)?;
    let length = text.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let end = head + 4 + length.unwrap_or(0);
    if end > MOST {
        return Err(());
    }
    let Some(body) = bytes.get(head + 4..end) else { return Ok(None) };
    let target = text.split(' ').nth(1).ok_or(())?;
    if target == "/ping" {
        return Ok(Some((Ask::Probe(String::new()), end)));
    }
    let param = |name: &str| {
        let (_, query) = target.split_once('?')?;
        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
    };
    let name = param("query_id").unwrap_or_default();
    let key = param("insert_deduplication_token");
    Ok(Some((Ask::Query { name, key, text: String::from_utf8_lossy(body).into_owned() }, end)))
}

fn resp(parts: &[&str]) -> Vec<u8> {
    let bulk = |p: &&str| format!("${}\r\n{p}\r\n", p.len());
    format!("*{}\r\n{}", parts.len(), parts.iter().map(bulk).collect::<String>()).into_bytes()
}

fn http(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[cfg(test)]
mod tests;

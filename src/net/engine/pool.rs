//! Connections to the platform's engines, in pools by the engine's id. The address never says which engine it
//! is: a new engine may be given the address of one that has gone.

use crate::core::{AttemptId, End, Event, Rows, Send};
use crate::interface::{EngineId, Outcome};
use crate::limits::Limits;
use crate::net::conn::{Close, Inbox, Outbox};
use crate::net::engine::resp::{self, Read, Reply};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{timeout, Instant};

/// What the runtime asks of the engines' side, whatever they speak. News that comes at once is pushed to
/// `events`; all else arrives through the channel.
pub trait Engines {
    /// Sends an attempt.
    fn send(&mut self, send: Send, events: &mut Vec<Event>);
    /// Gives one up.
    fn give_up(&mut self, id: AttemptId);
    /// Changes the priority of one.
    fn hurry(&mut self, id: AttemptId, priority: u8);
    /// Probes an engine.
    fn probe(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>);
    /// Takes back what has not left for an engine that drains or is gone.
    fn shut(&mut self, engine: &EngineId, events: &mut Vec<Event>);
    /// Closes what has gone idle.
    fn sweep(&mut self);
}

/// A result as its pages come in.
#[derive(Debug)]
struct Pages {
    parts: Vec<Option<Vec<u8>>>,
    bytes: usize,
    end: End,
}

#[derive(Debug)]
struct Flight {
    id: AttemptId,
    pages: Option<Pages>,
}

/// One connection.
struct Conn {
    address: SocketAddr,
    out: Outbox,
    up: Cell<bool>,
    dead: Cell<bool>,
    /// No new attempts; it closes once it is empty.
    retired: Cell<bool>,
    flights: RefCell<HashMap<String, Flight>>,
    /// Ids given up here. One is never sent here again: an answer to the old attempt would pass for the new.
    spent: RefCell<BTreeSet<String>>,
    probes: RefCell<BTreeSet<u64>>,
    used: Cell<Instant>,
}

impl Conn {
    fn empty(&self) -> bool {
        self.flights.borrow().is_empty() && self.probes.borrow().is_empty()
    }

    fn takes(&self, limits: &Limits, name: &str) -> bool {
        !self.dead.get()
            && !self.retired.get()
            && !self.out.closing()
            && self.flights.borrow().len() < limits.streams
            && !self.flights.borrow().contains_key(name)
            && !self.spent.borrow().contains(name)
    }

    fn end(&self, name: &str) -> Option<Flight> {
        self.used.set(Instant::now());
        self.flights.borrow_mut().remove(name)
    }
}

/// All connections to the platform's engines.
pub struct RespEngines {
    pools: BTreeMap<EngineId, Vec<Rc<Conn>>>,
    at: HashMap<AttemptId, (Rc<Conn>, String)>,
    limits: Rc<Limits>,
    total: Rc<Cell<usize>>,
    events: Sender<Event>,
}

impl RespEngines {
    /// No connection yet.
    pub fn new(limits: Rc<Limits>, total: Rc<Cell<usize>>, events: Sender<Event>) -> Self {
        Self { pools: BTreeMap::new(), at: HashMap::new(), limits, total, events }
    }

    /// The connection with most room, one that is up before one that is not; else a new one.
    fn pick(&mut self, engine: &EngineId, address: SocketAddr, name: &str) -> Option<Rc<Conn>> {
        let pool = self.pools.entry(engine.clone()).or_default();
        pool.iter().filter(|c| c.address != address).for_each(|c| c.retired.set(true));
        let free = pool.iter().filter(|c| c.takes(&self.limits, name));
        if let Some(conn) = free.min_by_key(|c| (!c.up.get(), c.flights.borrow().len())) {
            return Some(conn.clone());
        }
        let open = |p: &Vec<Rc<Conn>>| p.iter().filter(|c| !c.dead.get()).count();
        if self.pools.values().map(open).sum::<usize>() >= self.limits.engine_conns {
            return None;
        }
        let conn = Rc::new(Conn {
            address,
            out: Outbox::new(self.total.clone()),
            up: Cell::new(false),
            dead: Cell::new(false),
            retired: Cell::new(false),
            flights: RefCell::default(),
            spent: RefCell::default(),
            probes: RefCell::default(),
            used: Cell::new(Instant::now()),
        });
        self.pools.entry(engine.clone()).or_default().push(conn.clone());
        tokio::task::spawn_local(run(conn.clone(), self.limits.clone(), self.events.clone()));
        Some(conn)
    }
}

impl Engines for RespEngines {
    fn send(&mut self, send: Send, events: &mut Vec<Event>) {
        let name = send.statement.name.clone();
        let Some(conn) = self.pick(&send.engine, send.address, &name) else {
            eprintln!("no connection is left for an attempt on {}", send.engine.0);
            return events.push(Event::Ended(send.id, End::plain(Outcome::Moot)));
        };
        conn.used.set(Instant::now());
        conn.flights.borrow_mut().insert(name.clone(), Flight { id: send.id, pages: None });
        conn.out.push(resp::want(&send), &self.limits);
        self.at.insert(send.id, (conn, name));
    }

    fn give_up(&mut self, id: AttemptId) {
        let Some((conn, name)) = self.at.remove(&id) else { return };
        if conn.flights.borrow().get(&name).is_none_or(|f| f.id != id) {
            return;
        }
        let Some(flight) = conn.end(&name) else { return };
        if conn.out.withdraw(id) {
            return;
        }
        let word = if flight.pages.is_some() { "shut" } else { "never_mind" };
        conn.out.push(resp::say(&[word, &name]), &self.limits);
        conn.spent.borrow_mut().insert(name);
        if conn.spent.borrow().len() > self.limits.queue {
            conn.retired.set(true);
        }
    }

    fn hurry(&mut self, id: AttemptId, priority: u8) {
        if let Some((conn, name)) = self.at.get(&id) {
            if conn.flights.borrow().get(name).is_some_and(|f| f.id == id && f.pages.is_none()) {
                conn.out.push(resp::say(&["hurry", name, &priority.to_string()]), &self.limits);
            }
        }
    }

    fn probe(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>) {
        let Some(conn) = self.pick(engine, address, "") else {
            return events.push(Event::Probed(tag, false, None));
        };
        conn.probes.borrow_mut().insert(tag);
        conn.out.push(resp::say(&["busy", &format!("p{tag}")]), &self.limits);
    }

    fn shut(&mut self, engine: &EngineId, events: &mut Vec<Event>) {
        for conn in self.pools.get(engine).into_iter().flatten() {
            conn.retired.set(true);
            for id in conn.out.unsent() {
                if conn.out.withdraw(id) {
                    conn.flights.borrow_mut().retain(|_, f| f.id != id);
                    self.at.remove(&id);
                    events.push(Event::Ended(id, End::plain(Outcome::Moot)));
                }
            }
        }
    }

    fn sweep(&mut self) {
        for pool in self.pools.values_mut() {
            for conn in pool.iter().filter(|c| !c.dead.get() && c.empty()) {
                if conn.retired.get() || conn.used.get().elapsed() >= self.limits.idle {
                    conn.retired.set(true);
                    conn.out.close(Close::AfterWrite);
                }
            }
            pool.retain(|c| !c.dead.get());
        }
        self.pools.retain(|_, pool| !pool.is_empty());
        self.at.retain(|id, (conn, name)| conn.flights.borrow().get(name).is_some_and(|f| f.id == *id));
    }
}

/// Opens a connection, then writes and reads until it ends; tells what became of all that was on it.
async fn run(conn: Rc<Conn>, limits: Rc<Limits>, events: Sender<Event>) {
    let stream = match timeout(limits.connect, TcpStream::connect(conn.address)).await {
        Ok(Ok(stream)) => Some(stream),
        Ok(Err(_)) | Err(_) => None,
    };
    if let Some(stream) = &stream {
        conn.up.set(true);
        let _ = stream.set_nodelay(true);
        tokio::select! {
            ended = conn.out.write_all(stream, &limits) => drop(ended),
            () = read(&conn, stream, &limits, &events) => {}
        }
    }
    conn.dead.set(true);
    let unsent = conn.out.unsent();
    conn.out.close(Close::Now);
    let flights: Vec<_> = conn.flights.borrow_mut().drain().collect();
    for (_, flight) in flights {
        let outcome = match (&stream, unsent.contains(&flight.id)) {
            (None, _) => Outcome::ConnectFailed,
            (Some(_), true) => Outcome::Moot,
            (Some(_), false) => Outcome::Reset,
        };
        let _ = events.send(Event::Ended(flight.id, End::plain(outcome))).await;
    }
    let probes = std::mem::take(&mut *conn.probes.borrow_mut());
    for tag in probes {
        let _ = events.send(Event::Probed(tag, false, None)).await;
    }
}

async fn read(conn: &Conn, stream: &TcpStream, limits: &Limits, events: &Sender<Event>) {
    let mut inbox = Inbox::new(conn.out.total());
    loop {
        loop {
            let (event, used) = match resp::read(inbox.unread(), limits.message_bytes) {
                Read::Reply(reply, used) => (take(conn, &reply, limits), used),
                Read::More if inbox.unread().len() > 2 * limits.message_bytes => {
                    return eprintln!("an engine's answer is too long; the connection was closed");
                }
                Read::More => break,
                Read::Bad => {
                    return eprintln!("an engine's answer cannot be read; the connection was closed")
                }
            };
            inbox.used(used);
            if let Some(event) = event {
                if events.send(event).await.is_err() {
                    return;
                }
            }
        }
        if !matches!(inbox.fill(stream, limits).await, Ok(true)) {
            return;
        }
    }
}

/// What an answer means. One to an id that was given up means nothing any more.
fn take(conn: &Conn, reply: &Reply<'_>, limits: &Limits) -> Option<Event> {
    if let Some(tag) = reply.id.strip_prefix('p').and_then(|t| t.parse().ok()) {
        if conn.probes.borrow_mut().remove(&tag) {
            conn.used.set(Instant::now());
            return Some(Event::Probed(tag, reply.word == b"green", reply.report()));
        }
    }
    let outcome = match reply.word {
        b"served" | b"rows" => return take_page(conn, reply, limits),
        b"overload" => Outcome::Full,
        b"nobody" => Outcome::Moot,
        b"crashed" => Outcome::Error,
        other => {
            eprintln!("an engine said {:?}", String::from_utf8_lossy(other));
            Outcome::Error
        }
    };
    let flight = conn.end(reply.id)?;
    // What ran far enough to have pages has run, whatever is said of it now.
    let outcome = if flight.pages.is_some() { Outcome::Error } else { outcome };
    Some(Event::Ended(flight.id, End { report: reply.report(), ..End::plain(outcome) }))
}

/// A page, the first with the result's measures. The attempt has ended well once all of them are here: a page
/// that is lost is an error of an attempt that ran.
fn take_page(conn: &Conn, reply: &Reply<'_>, limits: &Limits) -> Option<Event> {
    let mut flights = conn.flights.borrow_mut();
    let flight = flights.get_mut(reply.id)?;
    let first = reply.word == b"served";
    let number = if first { 0 } else { reply.number("page").map_or(usize::MAX, |n| n as usize) };
    if first && flight.pages.is_none() {
        let count = reply.number("pages").map_or(1, |n| (n as usize).max(1));
        // A count beyond all sense is no result: no page fits it.
        let count = if count > limits.queue { 0 } else { count };
        let end = End { work: reply.number("cost"), report: reply.report(), ..End::plain(Outcome::Ok) };
        let parts = (0..count).map(|_| None).collect();
        flight.pages = Some(Pages { parts, bytes: 0, end });
        for page in 1..count {
            conn.out.push(resp::say(&["turn", reply.id, &page.to_string()]), limits);
        }
    }
    let pages = flight.pages.as_mut().filter(|p| {
        p.parts.get(number).is_some_and(Option::is_none) && p.bytes + reply.body.len() <= limits.message_bytes
    });
    let Some(pages) = pages else {
        eprintln!("an engine's page does not fit its result");
        let id = flight.id;
        flights.remove(reply.id);
        conn.spent.borrow_mut().insert(reply.id.to_owned());
        conn.out.push(resp::say(&["shut", reply.id]), limits);
        return Some(Event::Ended(id, End::plain(Outcome::Error)));
    };
    pages.bytes += reply.body.len();
    pages.parts[number] = Some(reply.body.to_vec());
    if pages.parts.iter().any(Option::is_none) {
        return None;
    }
    if pages.parts.len() > 1 {
        conn.out.push(resp::say(&["shut", reply.id]), limits);
    }
    drop(flights);
    let flight = conn.end(reply.id)?;
    let pages = flight.pages?;
    let rows = Rows { parts: pages.parts.into_iter().flatten().collect(), headers: Vec::new() };
    Some(Event::Ended(flight.id, End { rows, ..pages.end }))
}

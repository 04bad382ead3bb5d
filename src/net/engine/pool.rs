//! Connections to the platform's engines, in pools by the engine's id. The address never says which engine it
//! is: a new engine may be given the address of one that has gone.

use crate::core::{AttemptId, End, Event, Rows, Send};
use crate::interface::{EngineId, Outcome};
use crate::limits::Limits;
use crate::net::conn::{Close, Common, Inbox, Outbox};
use crate::net::engine::resp::{self, Read, Reply};
use crate::net::log;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep_until, timeout, Instant};

/// What the runtime asks of the engines' side, whatever they speak. News that comes at once is pushed to
/// `events`; all else arrives through the channel.
pub trait Engines {
    /// Sends an attempt.
    fn send(&mut self, send: Send, events: &mut Vec<Event>);
    /// Gives one up, because its time is over or because nobody wants it any more.
    fn give_up(&mut self, id: AttemptId, out_of_time: bool);
    /// Changes the priority of one.
    fn hurry(&mut self, id: AttemptId, priority: u8);
    /// Probes an engine.
    fn probe(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>);
    /// Takes back what has not left for an engine that drains or is gone.
    fn shut(&mut self, engine: &EngineId, events: &mut Vec<Event>);
    /// Closes what has gone idle, and ends what an engine keeps back.
    fn sweep(&mut self, events: &mut Vec<Event>);
}

/// A result as its pages come in.
#[derive(Debug)]
struct Pages {
    parts: Vec<Option<Vec<u8>>>,
    bytes: usize,
    end: End,
    /// When the last page came.
    since: Instant,
}

#[derive(Debug)]
struct Flight {
    id: AttemptId,
    since: Instant,
    pages: Option<Pages>,
}

/// One connection.
struct Conn {
    address: SocketAddr,
    out: Outbox,
    /// Since when it is up.
    up: Cell<Option<Instant>>,
    dead: Cell<bool>,
    /// No new attempts; it closes once it is empty.
    retired: Cell<bool>,
    flights: RefCell<HashMap<String, Flight>>,
    /// Ids given up here. One is never sent here again: an answer to the old attempt would pass for the new.
    spent: RefCell<BTreeSet<String>>,
    /// Probes that are out, and since when.
    probes: RefCell<BTreeMap<u64, Instant>>,
    used: Cell<Instant>,
    /// When anything last came.
    heard: Cell<Instant>,
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

    /// Ends attempts whose further pages do not come: they ran, and the rest of their results is lost.
    fn drop_stuck(&self, limits: &Limits, events: &mut Vec<Event>) {
        let stuck = |f: &Flight| f.pages.as_ref().is_some_and(|p| p.since.elapsed() > limits.engine_silent);
        let names: Vec<_> =
            self.flights.borrow().iter().filter(|(_, f)| stuck(f)).map(|(n, _)| n.clone()).collect();
        for name in names {
            let Some(flight) = self.end(&name) else { continue };
            self.out.push(resp::say(&["shut", &name]), limits);
            self.spent.borrow_mut().insert(name);
            events.push(Event::Ended(flight.id, End::plain(Outcome::Error)));
        }
    }

    /// What was sent then is waited for no longer. Where nothing has come since, for as long as anything is waited for, this
    /// connection may never speak again, though its engine does on another. One that comes up has its own time for that.
    fn doubt(&self, sent: Instant, least: Duration) {
        let silent = |up: Instant| self.heard.get() <= up.max(sent) && up.max(sent).elapsed() >= least;
        if self.up.get().is_some_and(silent) {
            self.retired.set(true);
        }
    }

    /// Gives up probes that nobody answers.
    fn drop_probes(&self, limits: &Limits) {
        self.probes.borrow_mut().retain(|_, since| {
            let over = since.elapsed() >= limits.probe_over;
            if over {
                self.doubt(*since, limits.probe_over);
            }
            !over
        });
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
    common: Rc<Common>,
    events: Sender<Event>,
}

impl RespEngines {
    /// No connection yet.
    pub fn new(limits: Rc<Limits>, common: Rc<Common>, events: Sender<Event>) -> Self {
        Self { pools: BTreeMap::new(), at: HashMap::new(), limits, common, events }
    }

    /// The connection with most room, one that is up before one that is not; else a new one.
    fn pick(&mut self, engine: &EngineId, address: SocketAddr, name: &str) -> Option<Rc<Conn>> {
        let pool = self.pools.entry(engine.clone()).or_default();
        pool.iter().filter(|c| c.address != address).for_each(|c| c.retired.set(true));
        let free = pool.iter().filter(|c| c.takes(&self.limits, name));
        let free = free.min_by_key(|c| (c.up.get().is_none(), c.flights.borrow().len())).cloned();
        let open = |p: &Vec<Rc<Conn>>| p.iter().filter(|c| !c.dead.get()).count();
        let most = self.common.part(self.limits.engine_conns);
        let part = most / self.pools.len().max(1);
        let more = |c: &Conn| {
            let busy = c.flights.borrow().len() >= self.limits.streams_wanted;
            busy && self.pools.get(engine).map_or(0, open) < part / 2
        };
        if free.as_ref().is_some_and(|c| !more(c)) {
            return free;
        }
        if self.pools.values().map(open).sum::<usize>() >= most {
            return free;
        }
        let conn = Rc::new(Conn {
            address,
            out: Outbox::new(self.common.clone()),
            up: Cell::new(None),
            dead: Cell::new(false),
            retired: Cell::new(false),
            flights: RefCell::default(),
            spent: RefCell::default(),
            probes: RefCell::default(),
            used: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
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
            tracing::warn!("no connection is left for an attempt on {}", send.engine.0);
            return events.push(Event::Ended(send.id, End::plain(Outcome::Moot)));
        };
        conn.used.set(Instant::now());
        conn.flights
            .borrow_mut()
            .insert(name.clone(), Flight { id: send.id, since: Instant::now(), pages: None });
        conn.out.push(resp::want(&send), &self.limits);
        self.at.insert(send.id, (conn, name));
    }

    fn give_up(&mut self, id: AttemptId, out_of_time: bool) {
        let Some((conn, name)) = self.at.remove(&id) else { return };
        if conn.flights.borrow().get(&name).is_none_or(|f| f.id != id) {
            return;
        }
        let Some(flight) = conn.end(&name) else { return };
        if conn.out.withdraw(id) {
            return;
        }
        // All the time that it had, however little, or more than an engine that lives says nothing for.
        let least = if out_of_time { Duration::ZERO } else { self.limits.engine_silent };
        conn.doubt(flight.since, least);
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
        conn.probes.borrow_mut().insert(tag, Instant::now());
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

    fn sweep(&mut self, events: &mut Vec<Event>) {
        for conn in self.pools.values().flatten() {
            conn.drop_stuck(&self.limits, events);
            conn.drop_probes(&self.limits);
        }
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
        Ok(Err(e)) => {
            tracing::trace!("connection to {} failed: {e}", conn.address);
            None
        }
        Err(_) => {
            tracing::trace!("connection to {} failed: not up in time", conn.address);
            None
        }
    };
    if let Some(stream) = &stream {
        conn.up.set(Some(Instant::now()));
        tracing::trace!("connection to {} is up", conn.address);
        let _ = stream.set_nodelay(true);
        tokio::select! {
            ended = conn.out.write_all(stream, &limits) => drop(ended),
            () = read(&conn, stream, &limits, &events) => {}
            () = drop_overdue(&conn, &events) => {}
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
    for (tag, _) in probes {
        let _ = events.send(Event::Probed(tag, false, None)).await;
    }
}

/// Tells of attempts that could not leave in time.
async fn drop_overdue(conn: &Conn, events: &Sender<Event>) {
    loop {
        let id = conn.out.overdue().await;
        // Held until it is told: a connection that ends meanwhile ends what is on it.
        let _ = events.send(Event::Ended(id, End::plain(Outcome::Moot))).await;
        conn.flights.borrow_mut().retain(|_, f| f.id != id);
    }
}

async fn read(conn: &Conn, stream: &TcpStream, limits: &Limits, events: &Sender<Event>) {
    let mut inbox = Inbox::new(conn.out.common());
    loop {
        loop {
            let (taken, used) = match resp::read(inbox.unread(), limits.result_bytes) {
                Read::Reply(reply, used) => (take(conn, &reply, limits), used),
                Read::More if inbox.unread().len() > 2 * limits.result_bytes => (Taken::Spoilt, 0),
                Read::More => break,
                Read::Bad => (Taken::Spoilt, 0),
            };
            inbox.used(used);
            match taken {
                Taken::Nothing => {}
                Taken::News(event) => {
                    if events.send(event).await.is_err() {
                        return;
                    }
                }
                // Whatever follows on this connection, nobody can tell what it answers.
                Taken::Spoilt => {
                    return log::seldom(
                        limits,
                        "an engine's answer cannot be used; the connection was closed",
                    );
                }
            }
        }
        let stuck = inbox.since().map(|since| since + limits.engine_silent);
        let stuck = async move {
            match stuck {
                Some(until) => sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            more = inbox.fill(stream, limits) => {
                if !matches!(more, Ok(true)) {
                    return;
                }
                conn.heard.set(Instant::now());
            }
            () = stuck => {
                return log::seldom(limits, "an engine stopped inside an answer; the connection was closed");
            }
        }
    }
}

/// What an answer brings.
enum Taken {
    /// It is to nothing that is open here: given up, unknown, or a second copy.
    Nothing,
    News(Event),
    /// It is none that an engine in order would give.
    Spoilt,
}

/// What an answer means.
fn take(conn: &Conn, reply: &Reply<'_>, limits: &Limits) -> Taken {
    if let Some(tag) = reply.id.strip_prefix('p').and_then(|t| t.parse().ok()) {
        if conn.probes.borrow_mut().remove(&tag).is_none() {
            return Taken::Nothing;
        }
        conn.used.set(Instant::now());
        return Taken::News(Event::Probed(tag, reply.word == b"green", reply.report()));
    }
    let outcome = match reply.word {
        b"served" | b"rows" => return take_page(conn, reply, limits),
        b"overload" => Outcome::Full,
        b"nobody" => Outcome::Moot,
        b"crashed" => Outcome::Error,
        b"update" => return take_update(conn, reply, limits),
        _ => return Taken::Spoilt,
    };
    let Some(flight) = conn.end(reply.id) else { return Taken::Nothing };
    // What ran far enough to have pages has run, whatever is said of it now.
    let outcome = if flight.pages.is_some() { Outcome::Error } else { outcome };
    Taken::News(Event::Ended(flight.id, End { report: reply.report(), ..End::plain(outcome) }))
}

/// A progress update: news of an attempt that is out, and no answer to it. One that cannot be used is dropped; the
/// attempt and its neighbours go on.
fn take_update(conn: &Conn, reply: &Reply<'_>, limits: &Limits) -> Taken {
    let flights = conn.flights.borrow();
    // Once a result has begun its query is over.
    let Some(flight) = flights.get(reply.id).filter(|f| f.pages.is_none()) else { return Taken::Nothing };
    match reply.note() {
        Ok(Some(note)) => Taken::News(Event::Noted(flight.id, note)),
        Ok(None) => Taken::Nothing,
        Err(resp::BadNote) => {
            log::seldom(limits, "an engine's progress update cannot be used; it was dropped");
            Taken::Nothing
        }
    }
}

/// A page, the first with the result's measures. The attempt has ended well once all of them are here: a page
/// that is lost is an error of an attempt that ran. A copy of a page that is here changes nothing.
fn take_page(conn: &Conn, reply: &Reply<'_>, limits: &Limits) -> Taken {
    let mut flights = conn.flights.borrow_mut();
    let Some(flight) = flights.get_mut(reply.id) else { return Taken::Nothing };
    let first = reply.word == b"served";
    let whole = |name: &str, most: usize| {
        reply.number(name).filter(|n| n.fract() == 0.0 && (1.0..=most as f64).contains(n)).map(|n| n as usize)
    };
    if first && flight.pages.is_none() {
        // Pages past all sense are no result, and neither is one that does not say how many it has.
        let Some(count) = whole("pages", limits.queue) else { return Taken::Spoilt };
        let end = End { work: reply.number("cost"), report: reply.report(), ..End::plain(Outcome::Ok) };
        let parts = (0..count).map(|_| None).collect();
        flight.pages = Some(Pages { parts, bytes: 0, end, since: Instant::now() });
        for page in 1..count {
            conn.out.push(resp::say(&["turn", reply.id, &page.to_string()]), limits);
        }
    }
    let number = if first { Some(0) } else { whole("page", limits.queue) };
    let (Some(pages), Some(number)) = (flight.pages.as_mut(), number) else { return Taken::Spoilt };
    match pages.parts.get(number) {
        Some(Some(_)) => return Taken::Nothing,
        Some(None) if resp::rows(reply.body) && pages.bytes + reply.body.len() <= limits.result_bytes => {}
        _ => return Taken::Spoilt,
    }
    pages.since = Instant::now();
    pages.bytes += reply.body.len();
    pages.parts[number] = Some(reply.body.to_vec());
    if pages.parts.iter().any(Option::is_none) {
        return Taken::Nothing;
    }
    if pages.parts.len() > 1 {
        conn.out.push(resp::say(&["shut", reply.id]), limits);
    }
    drop(flights);
    let Some(Flight { id, pages: Some(pages), .. }) = conn.end(reply.id) else { return Taken::Nothing };
    let rows = Rows { parts: pages.parts.into_iter().flatten().collect(), headers: Vec::new() };
    Taken::News(Event::Ended(id, End { rows, ..pages.end }))
}

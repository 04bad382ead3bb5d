//! Connections to the platform's engines, in pools by the engine's id. The address never says which engine it
//! is: a new engine may be given the address of one that has gone.

use crate::core::{AttemptId, End, Event, Send};
use crate::interface::{EngineId, Outcome};
use crate::limits::Limits;
use crate::net::conn::{Close, Common, Outbox};
use crate::net::engine::connection::{Conn, Flight};
use crate::net::engine::driver::run;
use crate::net::engine::{resp, Engines};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;

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

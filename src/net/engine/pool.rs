//! Connections to the platform's engines, in pools by the engine's id. The address never says which engine it
//! is: a new engine may be given the address of one that has gone.

use crate::core::{AttemptId, End, Event, Send};
use crate::interface::{EngineId, Outcome};
use crate::limits::Limits;
use crate::net::conn::{Close, Common, Outbox};
use crate::net::engine::connection::{Connection, InFlight};
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
    pools: BTreeMap<EngineId, Vec<Rc<Connection>>>,
    placements: HashMap<AttemptId, (Rc<Connection>, String)>,
    limits: Rc<Limits>,
    common: Rc<Common>,
    events: Sender<Event>,
}

impl RespEngines {
    /// No connection yet.
    pub fn new(limits: Rc<Limits>, common: Rc<Common>, events: Sender<Event>) -> Self {
        Self { pools: BTreeMap::new(), placements: HashMap::new(), limits, common, events }
    }

    /// The connection with most room, one that is up before one that is not; else a new one.
    fn choose_connection(
        &mut self,
        engine: &EngineId,
        address: SocketAddr,
        name: &str,
    ) -> Option<Rc<Connection>> {
        let pool = self.pools.entry(engine.clone()).or_default();
        pool.iter().filter(|c| c.address != address).for_each(|c| c.retired.set(true));
        let free = pool.iter().filter(|c| c.accepts(&self.limits, name));
        let free = free.min_by_key(|c| (c.connected_at.get().is_none(), c.in_flight.borrow().len())).cloned();
        let open = |p: &Vec<Rc<Connection>>| p.iter().filter(|c| !c.closed.get()).count();
        let most = self.common.part(self.limits.engine_conns);
        let part = most / self.pools.len().max(1);
        let more = |c: &Connection| {
            let busy = c.in_flight.borrow().len() >= self.limits.streams_wanted;
            busy && self.pools.get(engine).map_or(0, open) < part / 2
        };
        if free.as_ref().is_some_and(|c| !more(c)) {
            return free;
        }
        if self.pools.values().map(open).sum::<usize>() >= most {
            return free;
        }
        let connection = Rc::new(Connection {
            address,
            outbox: Outbox::new(self.common.clone()),
            connected_at: Cell::new(None),
            closed: Cell::new(false),
            retired: Cell::new(false),
            in_flight: RefCell::default(),
            retired_ids: RefCell::default(),
            probes: RefCell::default(),
            last_used: Cell::new(Instant::now()),
            last_received: Cell::new(Instant::now()),
        });
        self.pools.entry(engine.clone()).or_default().push(connection.clone());
        tokio::task::spawn_local(run(connection.clone(), self.limits.clone(), self.events.clone()));
        Some(connection)
    }
}

impl Engines for RespEngines {
    fn send(&mut self, send: Send, events: &mut Vec<Event>) {
        let name = send.statement.name.clone();
        let Some(connection) = self.choose_connection(&send.engine, send.address, &name) else {
            tracing::warn!("no connection is left for an attempt on {}", send.engine.0);
            return events.push(Event::Ended(send.id, End::plain(Outcome::Moot)));
        };
        connection.last_used.set(Instant::now());
        connection
            .in_flight
            .borrow_mut()
            .insert(name.clone(), InFlight { id: send.id, sent_at: Instant::now(), result: None });
        connection.outbox.push(resp::want_command(&send), &self.limits);
        self.placements.insert(send.id, (connection, name));
    }

    fn give_up(&mut self, id: AttemptId, out_of_time: bool) {
        let Some((connection, name)) = self.placements.remove(&id) else { return };
        if connection.in_flight.borrow().get(&name).is_none_or(|f| f.id != id) {
            return;
        }
        let Some(attempt) = connection.end_attempt(&name) else { return };
        if connection.outbox.withdraw(id) {
            return;
        }
        // All the time that it had, however little, or more than an engine that lives says nothing for.
        let least = if out_of_time { Duration::ZERO } else { self.limits.engine_silent };
        connection.retire_if_silent(attempt.sent_at, least);
        let word = if attempt.result.is_some() { "shut" } else { "never_mind" };
        connection.outbox.push(resp::command(&[word, &name]), &self.limits);
        connection.retired_ids.borrow_mut().insert(name);
        if connection.retired_ids.borrow().len() > self.limits.queue {
            connection.retired.set(true);
        }
    }

    fn hurry(&mut self, id: AttemptId, priority: u8) {
        if let Some((connection, name)) = self.placements.get(&id) {
            if connection.in_flight.borrow().get(name).is_some_and(|f| f.id == id && f.result.is_none()) {
                connection.outbox.push(resp::command(&["hurry", name, &priority.to_string()]), &self.limits);
            }
        }
    }

    fn probe(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>) {
        let Some(connection) = self.choose_connection(engine, address, "") else {
            return events.push(Event::Probed(tag, false, None));
        };
        connection.probes.borrow_mut().insert(tag, Instant::now());
        connection.outbox.push(resp::command(&["busy", &format!("p{tag}")]), &self.limits);
    }

    fn shut(&mut self, engine: &EngineId, events: &mut Vec<Event>) {
        for connection in self.pools.get(engine).into_iter().flatten() {
            connection.retired.set(true);
            for id in connection.outbox.unsent() {
                if connection.outbox.withdraw(id) {
                    connection.in_flight.borrow_mut().retain(|_, f| f.id != id);
                    self.placements.remove(&id);
                    events.push(Event::Ended(id, End::plain(Outcome::Moot)));
                }
            }
        }
    }

    fn maintain(&mut self, events: &mut Vec<Event>) {
        for connection in self.pools.values().flatten() {
            connection.end_stalled_results(&self.limits, events);
            connection.expire_probes(&self.limits);
        }
        for pool in self.pools.values_mut() {
            for connection in pool.iter().filter(|c| !c.closed.get() && c.is_idle()) {
                if connection.retired.get() || connection.last_used.get().elapsed() >= self.limits.idle {
                    connection.retired.set(true);
                    connection.outbox.close(Close::AfterWrite);
                }
            }
            pool.retain(|c| !c.closed.get());
        }
        self.pools.retain(|_, pool| !pool.is_empty());
        self.placements.retain(|id, (connection, name)| {
            connection.in_flight.borrow().get(name).is_some_and(|f| f.id == *id)
        });
    }
}

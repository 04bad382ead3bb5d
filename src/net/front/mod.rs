//! Fronts: they turn what clients ask into requests, and final answers into what clients read.

pub mod clickhouse;
pub mod rules;
pub mod thrift;

use crate::core::{Answer, Ask, Event, Rows, Statement};
use crate::interface::{ClassId, DataSet, Incoming, Ms, RequestId, Settings};
use crate::limits::Limits;
use crate::net::conn::Outbox;
use crate::net::sql;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::Sender;

/// The system's Unix clock at the start, carried on by a clock that never jumps.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Ms, Instant);

impl Clock {
    /// Set from the system's clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(unix.as_secs_f64() * 1000.0, Instant::now())
    }

    /// Unix milliseconds.
    pub fn now(&self) -> Ms {
        self.0 + self.1.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time.
    pub fn instant(&self, at: Ms) -> Instant {
        self.1 + std::time::Duration::from_secs_f64(((at - self.0) / 1000.0).max(0.0))
    }
}

/// Who waits for an answer.
pub trait Client {
    /// Passes on the first part of an answer.
    fn begin(&self, rows: Rows);
    /// Passes on a further part.
    fn part(&self, bytes: Vec<u8>);
    /// Gives the final answer.
    fn answer(self: Box<Self>, answer: Answer);
}

/// What fronts share: where requests are handed in and answers given out.
pub struct Desk {
    /// The module's settings.
    pub settings: Rc<Settings>,
    /// The program's limits.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// To the reducer.
    pub events: Sender<Event>,
    /// Bytes waiting to be written, over all connections.
    pub total: Rc<Cell<usize>>,
    /// The end was asked for.
    pub terminating: Cell<bool>,
    waiting: RefCell<HashMap<RequestId, Box<dyn Client>>>,
    outboxes: RefCell<Vec<Weak<Outbox>>>,
    conns: Cell<usize>,
    next: Cell<u64>,
}

impl Desk {
    /// Nobody waits yet.
    pub fn new(settings: Rc<Settings>, limits: Rc<Limits>, events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self {
            settings,
            limits,
            clock: Clock::start(),
            events,
            total: Rc::default(),
            terminating: Cell::new(false),
            waiting: RefCell::default(),
            outboxes: RefCell::default(),
            conns: Cell::new(0),
            next: Cell::new(1),
        })
    }

    /// A client's connection, or none if there are too many.
    pub fn connect(&self) -> Option<Rc<Outbox>> {
        if self.conns.get() >= self.limits.front_conns {
            return None;
        }
        self.conns.set(self.conns.get() + 1);
        let out = Rc::new(Outbox::new(self.total.clone()));
        let mut all = self.outboxes.borrow_mut();
        all.retain(|o| o.strong_count() > 0);
        all.push(Rc::downgrade(&out));
        Some(out)
    }

    /// A client's connection has ended.
    pub fn disconnect(&self) {
        self.conns.set(self.conns.get() - 1);
    }

    /// Whether anything still waits to be written to clients.
    pub fn writing(&self) -> bool {
        self.outboxes.borrow().iter().filter_map(Weak::upgrade).any(|o| o.waiting() > 0 && !o.closing())
    }

    /// An id for a request that is about to be taken.
    pub fn number(&self) -> RequestId {
        let id = self.next.get();
        self.next.set(id + 1);
        RequestId(id)
    }

    /// Hands in a request whose client waits up to `limit`.
    pub async fn take(&self, id: RequestId, client: Box<dyn Client>, asked: Asked) {
        let data = sql::table_group(&asked.statement.text).map(DataSet);
        let asked_of_module = Incoming {
            id,
            class: asked.class,
            tenant: None,
            key: None,
            deadline: asked.arrived + asked.limit,
            work: asked.work.filter(|w| *w > 0.0),
            memory_mb: asked.memory_mb.filter(|m| *m > 0.0),
            data,
            repeat: false,
        };
        self.waiting.borrow_mut().insert(id, client);
        let ask = Ask { asked: asked_of_module, statement: Rc::new(asked.statement) };
        let _ = self.events.send(Event::Taken(ask)).await;
    }

    /// Withdraws a request whose client no longer waits.
    pub async fn leave(&self, id: RequestId) {
        if self.waiting.borrow_mut().remove(&id).is_some() {
            let _ = self.events.send(Event::Left(id)).await;
        }
    }

    /// Passes on the first part of an answer.
    pub fn begin(&self, id: RequestId, rows: Rows) {
        self.waiting.borrow().get(&id).into_iter().for_each(|c| c.begin(rows.clone()));
    }

    /// Passes on a further part.
    pub fn part(&self, id: RequestId, bytes: Vec<u8>) {
        if let Some(client) = self.waiting.borrow().get(&id) {
            client.part(bytes);
        }
    }

    /// Gives the final answer.
    pub fn answer(&self, id: RequestId, answer: Answer) {
        let client = self.waiting.borrow_mut().remove(&id);
        client.into_iter().for_each(|c| c.answer(answer.clone()));
    }
}

/// What a front read from a client.
pub struct Asked {
    /// Its class.
    pub class: ClassId,
    /// When its last byte was read.
    pub arrived: Ms,
    /// How long the client waits.
    pub limit: Ms,
    /// Guess of its work.
    pub work: Option<Ms>,
    /// Guess of its memory.
    pub memory_mb: Option<f64>,
    /// What is to be run.
    pub statement: Statement,
}

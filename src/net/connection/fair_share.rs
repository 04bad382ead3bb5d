//! Fair shares of the event loop: how much of it one connection may take before others run.
//!
//! All tasks run on one thread. A task that finds bytes in its socket whenever it looks would never return to the event loop, and
//! timers, engines, signals and all other clients would wait for it. Therefore each task measures its own polls and asks for its
//! [`turn`](WorkShare::turn) before each system call and before each message:
//!
//! - A poll may last for one [`SLICE`]. Afterwards the task yields, and all other tasks that are ready run before it continues. All
//!   clients together take about [`MAX_ROUND`] before engines, timers, signals and the reducer run.
//! - Each task has a credit of processing time, which accrues while the task does not wait for its turn. A task without credit waits in a
//!   queue, from which one task is granted a slice each time all others have run. However many tasks are without credit,
//!   together they take one slice of each round.
//! - New connections take their first credit from a common one, so that a client that connects again and again is treated as one that
//!   sends without end.
//!
//! Only time counts, whatever the messages are: small, long, invalid, rejected or costly.

use crate::net::loop_profile::{LoopProfile, Task, TaskKind};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::Instant;

/// Maximum processing time of a task before others run.
const SLICE: Duration = Duration::from_micros(500);
/// Processing time of all clients after which further ones wait until all other tasks have run.
const MAX_ROUND: Duration = Duration::from_millis(2);
/// Share of the elapsed time that a task may use without waiting in the queue.
const CREDIT_RATE: f64 = 0.05;
/// Maximum credit of a task, in seconds of processing time.
const MAX_CREDIT_SECONDS: f64 = 0.005;
/// Maximum debt of a task, in seconds of processing time.
const MAX_DEBT_SECONDS: f64 = 0.02;
/// Credit of a new connection, in seconds of processing time, if the common credit has as much.
const NEW_CONNECTION_CREDIT_SECONDS: f64 = 0.000_5;
/// Share of the elapsed time that accrues to the common credit of new connections.
const NEW_CONNECTIONS_CREDIT_RATE: f64 = 0.2;
/// Maximum common credit of new connections, in seconds of processing time.
const MAX_NEW_CONNECTIONS_CREDIT_SECONDS: f64 = 0.02;
/// Weight of the last measurement in the mean processing time of a request.
const REQUEST_TIME_WEIGHT: f64 = 0.1;

/// Processing time that accrues over time, up to a maximum.
#[derive(Debug)]
struct Credit {
    /// Negative for a debt.
    seconds: Cell<f64>,
    updated_at: Cell<Instant>,
    rate: f64,
    max_seconds: f64,
}

impl Credit {
    fn new(seconds: f64, rate: f64, max_seconds: f64) -> Self {
        Self { seconds: Cell::new(seconds), updated_at: Cell::new(Instant::now()), rate, max_seconds }
    }

    /// Returns the credit at a time, with what has accrued until then.
    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at.replace(now));
        let accrued = self.seconds.get() + elapsed.as_secs_f64() * self.rate;
        self.seconds.set(accrued.min(self.max_seconds));
        self.seconds.get()
    }

    /// Accrues nothing for the time until `now`.
    fn skip_until(&self, now: Instant) {
        self.updated_at.set(now);
    }

    /// Removes used processing time, which may leave a debt.
    fn deduct(&self, seconds: f64) {
        self.seconds.set((self.seconds.get() - seconds).max(-MAX_DEBT_SECONDS));
    }
}

/// Queue of the tasks without credit.
#[derive(Debug)]
pub struct FairScheduler {
    /// Tasks that wait for a slice, in order.
    waiting: RefCell<VecDeque<Weak<WorkShare>>>,
    /// Whether the task that begins rounds and grants slices is running.
    is_running: Cell<bool>,
    /// Processing time of all clients in the current round.
    round_used: Cell<Duration>,
    /// Whether a task with credit waits for the next round.
    is_round_requested: Cell<bool>,
    /// Common credit of new connections.
    new_connections: Credit,
    /// Mean processing time of the reducer for one request.
    request_seconds: Cell<f64>,
    profile: Rc<LoopProfile>,
}

impl FairScheduler {
    /// Creates a scheduler without tasks, which records the time that tasks take in `profile`.
    pub(super) fn new(profile: Rc<LoopProfile>) -> Rc<Self> {
        let max_seconds = MAX_NEW_CONNECTIONS_CREDIT_SECONDS;
        Rc::new(Self {
            waiting: RefCell::default(),
            is_running: Cell::new(false),
            round_used: Cell::new(Duration::ZERO),
            is_round_requested: Cell::new(false),
            new_connections: Credit::new(max_seconds, NEW_CONNECTIONS_CREDIT_RATE, max_seconds),
            request_seconds: Cell::new(0.0),
            profile,
        })
    }

    /// Returns the share of a client's new connection. It has no credit if the common credit of new connections is used up.
    pub fn new_connection(self: &Rc<Self>, peer: SocketAddr) -> Rc<WorkShare> {
        let is_available = self.new_connections.at(Instant::now()) >= NEW_CONNECTION_CREDIT_SECONDS;
        let credit = if is_available { NEW_CONNECTION_CREDIT_SECONDS } else { 0.0 };
        self.new_connections.deduct(credit);
        WorkShare::new(self, Task::of_peer(TaskKind::Client, peer), Some(credit))
    }

    /// Returns the share of a task that accepts connections.
    pub fn listener(self: &Rc<Self>) -> Rc<WorkShare> {
        WorkShare::new(self, Task::new(TaskKind::Listener), Some(MAX_CREDIT_SECONDS))
    }

    /// Returns the share of a task that yields after each slice, and never waits in the queue.
    pub fn unlimited(self: &Rc<Self>, task: Task) -> Rc<WorkShare> {
        WorkShare::new(self, task, None)
    }

    /// Records that the reducer has handled this number of requests in the given time.
    pub fn record_requests(&self, requests: usize, time: Duration) {
        if requests > 0 {
            let measured = time.as_secs_f64() / requests as f64;
            let mean = self.request_seconds.get();
            self.request_seconds.set(mean + (measured - mean) * REQUEST_TIME_WEIGHT);
        }
    }

    /// Returns the number of tasks that wait for a slice.
    pub fn waiting_tasks(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn enqueue(self: &Rc<Self>, share: &Rc<WorkShare>) {
        self.waiting.borrow_mut().push_back(Rc::downgrade(share));
        self.start_rounds();
    }

    fn request_round(self: &Rc<Self>) {
        self.is_round_requested.set(true);
        self.start_rounds();
    }

    fn start_rounds(self: &Rc<Self>) {
        if !self.is_running.replace(true) {
            spawn_local(self.clone().run_rounds());
        }
    }

    /// Begins one round after the other, and grants one slice in each, until no task waits.
    async fn run_rounds(self: Rc<Self>) {
        loop {
            self.round_used.set(Duration::ZERO);
            let next = self.next_waiting();
            if next.is_none() && !self.is_round_requested.take() {
                break;
            }
            if let Some(share) = next {
                share.grant();
            }
            // Continues once all tasks that are ready have run, and the sockets and timers were polled.
            yield_now().await;
        }
        self.is_running.set(false);
    }

    fn is_round_used(&self) -> bool {
        self.round_used.get() >= MAX_ROUND
    }

    fn next_waiting(&self) -> Option<Rc<WorkShare>> {
        let mut waiting = self.waiting.borrow_mut();
        while let Some(next) = waiting.pop_front() {
            if let Some(share) = next.upgrade() {
                return Some(share);
            }
        }
        None
    }
}

/// Position of a task with regard to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// The task does not wait, and has no granted slice.
    None,
    Queued,
    /// The task may run for one slice, although it has no credit.
    Granted,
}

/// Share of one task in the event loop.
#[derive(Debug)]
pub struct WorkShare {
    scheduler: Rc<FairScheduler>,
    task: Task,
    /// Credit of the task; `None` without a limit.
    credit: Option<Credit>,
    poll_started_at: Cell<Instant>,
    place: Cell<Place>,
    /// Notified when a slice is granted.
    granted: Notify,
}

impl WorkShare {
    fn new(scheduler: &Rc<FairScheduler>, task: Task, credit_seconds: Option<f64>) -> Rc<Self> {
        Rc::new(Self {
            scheduler: scheduler.clone(),
            task,
            credit: credit_seconds.map(|seconds| Credit::new(seconds, CREDIT_RATE, MAX_CREDIT_SECONDS)),
            poll_started_at: Cell::new(Instant::now()),
            place: Cell::new(Place::None),
            granted: Notify::new(),
        })
    }

    /// Runs a task and measures its polls. The task asks for its turn with [`turn`](Self::turn).
    pub async fn run<F: Future>(self: Rc<Self>, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|context| {
            let had_grant = self.place.get() == Place::Granted;
            self.poll_started_at.set(Instant::now());
            let polled = task.as_mut().poll(context);
            let used = self.poll_started_at.get().elapsed();
            self.scheduler.profile.record(self.task, used);
            if self.credit.is_some() {
                self.scheduler.round_used.set(self.scheduler.round_used.get() + used);
            }
            self.deduct(used.as_secs_f64());
            if had_grant && self.place.get() == Place::Granted {
                self.place.set(Place::None);
            }
            polled
        })
        .await
    }

    /// Returns whether the task may continue now, without waiting for its turn.
    pub fn may_continue(&self) -> bool {
        let now = Instant::now();
        let used = now.saturating_duration_since(self.poll_started_at.get());
        let is_in_turn = || {
            let round_is_used = self.credit.is_some() && self.scheduler.is_round_used();
            self.place.get() == Place::Granted || self.has_credit(now, used) && !round_is_used
        };
        used < SLICE && is_in_turn()
    }

    /// Waits until the task may continue. A call that is dropped keeps the task's place in the queue.
    pub async fn turn(self: &Rc<Self>) {
        while !self.may_continue() {
            let now = Instant::now();
            let used = now.saturating_duration_since(self.poll_started_at.get());
            if self.has_credit(now, used) {
                self.scheduler.request_round();
                yield_now().await;
            } else {
                self.wait_for_grant().await;
            }
        }
    }

    /// Deducts the processing time that the reducer will need for a request of this task.
    pub fn deduct_request(&self) {
        self.deduct(self.scheduler.request_seconds.get());
    }

    fn deduct(&self, seconds: f64) {
        if let Some(credit) = &self.credit {
            credit.deduct(seconds);
        }
    }

    /// Returns whether the task has credit beyond the time that it has used in the current poll.
    fn has_credit(&self, now: Instant, used: Duration) -> bool {
        self.credit.as_ref().is_none_or(|credit| credit.at(now) > used.as_secs_f64())
    }

    /// Grants one slice to a task that waits in the queue. The time of its wait adds nothing to its credit.
    fn grant(&self) {
        if let Some(credit) = &self.credit {
            credit.skip_until(Instant::now());
        }
        self.place.set(Place::Granted);
        self.granted.notify_one();
    }

    async fn wait_for_grant(self: &Rc<Self>) {
        if self.place.get() != Place::Queued {
            self.place.set(Place::Queued);
            self.scheduler.enqueue(self);
        }
        while self.place.get() == Place::Queued {
            self.granted.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;

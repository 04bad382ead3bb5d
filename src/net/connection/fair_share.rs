//! Fair shares of the event loop: how much of it one connection may take before others run.
//!
//! All tasks run on one thread. A task that finds bytes in its socket whenever it looks would never return to the event loop, and
//! timers, engines, signals and all other clients would wait for it. Therefore each task measures its own polls and asks for its
//! [`turn`](WorkShare::turn) before each read, each write and each message:
//!
//! - A poll may last for one [`SLICE`]. Afterwards the task waits, and all other tasks that are ready run before it continues.
//! - Each task has a credit of processing time, which accrues while the task does not wait for its turn. Tasks with credit run at once, until
//!   together they have used [`MAX_ROUND`]; further ones wait in a queue, from which some are granted a slice in each round.
//! - Tasks without credit wait in a second queue, from which one task is granted a slice in each round. However many they are, together
//!   they take one slice of each round.
//! - A round ends once all tasks that are ready have run, and the sockets and timers were polled.
//! - New connections take their first credit from a common one, so that a client that connects again and again is treated as one that
//!   sends without end.
//!
//! Only time counts, whatever the messages are: small, long, invalid, rejected or costly.

use crate::net::loop_profile::{LoopProfile, Task, TaskKind};
use crate::net::wait_profile::{Resource, WaitProfile};
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
/// Processing time of tasks that run at once after which further ones wait until all other tasks have run.
const MAX_ROUND: Duration = Duration::from_millis(2);
/// Number of tasks with credit that are granted a slice in each round, of those that wait.
const GRANTS_WITH_CREDIT: usize = 4;
/// Maximum share of the elapsed time that accrues to the credit of a task.
const MAX_CREDIT_RATE: f64 = 0.05;
/// Maximum share of the elapsed time that accrues to the credit of all tasks that wait.
const TOTAL_CREDIT_RATE: f64 = 0.5;
/// Maximum credit of a task, in seconds of processing time.
const MAX_CREDIT_SECONDS: f64 = 0.005;
/// Maximum debt of a task, in seconds of processing time.
const MAX_DEBT_SECONDS: f64 = 0.005;
/// Maximum processing time that is deducted for one poll, as a poll in which another process had the core takes longer.
const MAX_POLL_SECONDS: f64 = 0.001;
/// Credit of a new connection, in seconds of processing time, if the common credit has as much.
const NEW_CONNECTION_CREDIT_SECONDS: f64 = 0.000_5;
/// Share of the elapsed time that accrues to the common credit of new connections.
const NEW_CONNECTIONS_CREDIT_RATE: f64 = 0.2;
/// Maximum common credit of new connections, in seconds of processing time.
const MAX_NEW_CONNECTIONS_CREDIT_SECONDS: f64 = 0.02;
/// Maximum processing time of the reducer that is deducted for one request. The first cycles of a process take longer.
const MAX_REQUEST_SECONDS: f64 = 0.000_2;
/// Weight of the last measurement in the mean processing time of a request.
const REQUEST_TIME_WEIGHT: f64 = 0.1;

/// Processing time that accrues over time, up to a maximum.
#[derive(Debug)]
struct Credit {
    /// Negative for a debt.
    seconds: Cell<f64>,
    updated_at: Cell<Instant>,
    max_seconds: f64,
}

impl Credit {
    fn new(seconds: f64, max_seconds: f64) -> Self {
        Self { seconds: Cell::new(seconds), updated_at: Cell::new(Instant::now()), max_seconds }
    }

    /// Returns the credit at a time, with the share `rate` of the time since the last call.
    fn at(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at.replace(now));
        let accrued = self.seconds.get() + elapsed.as_secs_f64() * rate;
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

/// Tasks that wait for a slice, in order.
#[derive(Debug, Default)]
struct WaitQueue(RefCell<VecDeque<Weak<WorkShare>>>);

impl WaitQueue {
    fn push(&self, share: &Rc<WorkShare>) {
        self.0.borrow_mut().push_back(Rc::downgrade(share));
    }

    fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Removes the first task that has not ended.
    fn pop(&self) -> Option<Rc<WorkShare>> {
        let mut waiting = self.0.borrow_mut();
        while let Some(next) = waiting.pop_front() {
            if let Some(share) = next.upgrade() {
                return Some(share);
            }
        }
        None
    }
}

/// Grants the slices of the event loop to the tasks that wait for them.
#[derive(Debug)]
pub struct FairScheduler {
    with_credit: WaitQueue,
    without_credit: WaitQueue,
    /// Whether the task that begins rounds and grants slices runs.
    is_running: Cell<bool>,
    /// Processing time of the tasks that have run at once in the current round.
    round_used: Cell<Duration>,
    /// Common credit of new connections.
    new_connections: Credit,
    /// Mean processing time of the reducer for one request.
    request_seconds: Cell<f64>,
    profile: Rc<LoopProfile>,
    waits: Rc<WaitProfile>,
}

impl FairScheduler {
    /// Creates a scheduler without tasks, which records the time that tasks take in `profile`, and their waits in `waits`.
    pub(super) fn new(profile: Rc<LoopProfile>, waits: Rc<WaitProfile>) -> Rc<Self> {
        let max_seconds = MAX_NEW_CONNECTIONS_CREDIT_SECONDS;
        Rc::new(Self {
            with_credit: WaitQueue::default(),
            without_credit: WaitQueue::default(),
            is_running: Cell::new(false),
            round_used: Cell::new(Duration::ZERO),
            new_connections: Credit::new(max_seconds, max_seconds),
            request_seconds: Cell::new(0.0),
            profile,
            waits,
        })
    }

    /// Returns the share of a client's new connection. It has no credit if the common credit of new connections is used up.
    pub fn new_connection(self: &Rc<Self>, peer: SocketAddr) -> Rc<WorkShare> {
        let available = self.new_connections.at(Instant::now(), NEW_CONNECTIONS_CREDIT_RATE);
        let is_available = available >= NEW_CONNECTION_CREDIT_SECONDS;
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
        self.with_credit.len() + self.without_credit.len()
    }

    /// Returns the share of the elapsed time that accrues to the credit of a task. The more tasks wait, the less accrues to each.
    fn credit_rate(&self) -> f64 {
        MAX_CREDIT_RATE.min(TOTAL_CREDIT_RATE / (1 + self.waiting_tasks()) as f64)
    }

    fn enqueue(self: &Rc<Self>, share: &Rc<WorkShare>, has_credit: bool) {
        let queue = if has_credit { &self.with_credit } else { &self.without_credit };
        queue.push(share);
        if !self.is_running.replace(true) {
            spawn_local(self.clone().run_rounds());
        }
    }

    /// Begins one round after the other, and grants slices in each, until no task waits.
    async fn run_rounds(self: Rc<Self>) {
        loop {
            self.round_used.set(Duration::ZERO);
            let with_credit = (0..GRANTS_WITH_CREDIT).map_while(|_| self.with_credit.pop());
            let granted: Vec<_> = with_credit.chain(self.without_credit.pop()).collect();
            if granted.is_empty() {
                break;
            }
            for share in granted {
                share.grant();
            }
            // Continues once all tasks that are ready have run, and the sockets and timers were polled.
            yield_now().await;
        }
        self.is_running.set(false);
    }

    /// Returns whether no further task may run at once: the round is used, or others wait.
    fn is_round_full(&self) -> bool {
        self.round_used.get() >= MAX_ROUND || self.with_credit.len() > 0
    }

    fn add_to_round(&self, used: Duration) {
        self.round_used.set(self.round_used.get() + used);
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
            credit: credit_seconds.map(|seconds| Credit::new(seconds, MAX_CREDIT_SECONDS)),
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
            // The slice that is granted in a round takes nothing from the time of the tasks with credit.
            if self.credit.is_some() && !had_grant {
                self.scheduler.add_to_round(used);
            }
            self.deduct(used.as_secs_f64().min(MAX_POLL_SECONDS));
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
        let used = self.used_in_poll(now);
        used < SLICE
            && (self.credit.is_none() || self.place.get() == Place::Granted || self.runs_at_once(now, used))
    }

    fn used_in_poll(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.poll_started_at.get())
    }

    /// Returns whether a task with a limit may run without waiting. A listener with credit does not wait for clients: it may have to
    /// repeat calls that failed, and would wait again before each of them.
    fn runs_at_once(&self, now: Instant, used: Duration) -> bool {
        let is_listener = self.task.kind == TaskKind::Listener;
        self.has_credit(now, used) && (is_listener || !self.scheduler.is_round_full())
    }

    /// Waits until the task may continue. A call that is dropped keeps the task's place in its queue.
    pub async fn turn(self: &Rc<Self>) {
        while !self.may_continue() {
            if self.credit.is_none() {
                yield_now().await;
            } else {
                self.wait_for_grant().await;
            }
        }
    }

    /// Deducts the processing time that the reducer will need for a request of this task.
    pub fn deduct_request(&self) {
        self.deduct(self.scheduler.request_seconds.get().min(MAX_REQUEST_SECONDS));
    }

    fn deduct(&self, seconds: f64) {
        if let Some(credit) = &self.credit {
            credit.deduct(seconds);
        }
    }

    /// Returns whether the task has used less than its share recently.
    pub fn is_within_share(&self) -> bool {
        let now = Instant::now();
        self.has_credit(now, self.used_in_poll(now))
    }

    /// Returns whether the task has credit beyond the time that it has used in the current poll.
    fn has_credit(&self, now: Instant, used: Duration) -> bool {
        let rate = self.scheduler.credit_rate();
        self.credit.as_ref().is_none_or(|credit| credit.at(now, rate) > used.as_secs_f64())
    }

    /// Grants one slice to a task that waits. The time of its wait adds nothing to its credit.
    fn grant(&self) {
        if let Some(credit) = &self.credit {
            credit.skip_until(Instant::now());
        }
        self.place.set(Place::Granted);
        // The task may wait in two places, to read and to write.
        self.granted.notify_waiters();
    }

    async fn wait_for_grant(self: &Rc<Self>) {
        if self.place.get() != Place::Queued {
            self.place.set(Place::Queued);
            let now = Instant::now();
            self.scheduler.enqueue(self, self.has_credit(now, self.used_in_poll(now)));
        }
        let _wait = self.scheduler.waits.begin(Resource::Turn);
        while self.place.get() == Place::Queued {
            self.granted.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;

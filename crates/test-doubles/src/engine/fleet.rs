//! State that the engines of one fleet share: the clock, and the record of idempotency keys and of in-flight attempts.

use crate::lock;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Longest delay, in milliseconds, with which a message on one connection may be read after a later message on another. Every
/// time limit of the rules is 50 ms longer on sockets.
const MAX_REORDERING: f64 = 50.0;
/// Longest expected time between two observations of the clock, in milliseconds. Any excess counts as a pause of the thread.
const MAX_EXPECTED_GAP: f64 = 5.0;

/// A group of engines with a shared clock, in milliseconds, and a shared record. Clones refer to the same fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    start: Instant,
    deduplication_window: f64,
    record: Arc<Mutex<Record>>,
}

/// Record of the attempts and executions at all engines of a fleet. Times are in milliseconds of the fleet's clock.
#[derive(Debug, Default)]
struct Record {
    /// Start of the current deduplication window of each key: the arrival of the first attempt in it.
    first_arrivals: HashMap<String, f64>,
    /// Start times of the executions of each key.
    executions: BTreeMap<String, Vec<f64>>,
    /// Number of in-flight attempts, by request.
    in_flight: HashMap<String, u32>,
    /// Time since which several attempts of a request have been in flight, by request. Pauses are subtracted from the clock.
    overlapping_since: HashMap<String, f64>,
    /// Total time for which the thread that serves all engines was paused, in milliseconds.
    paused: f64,
    /// Engine whose observations of the clock detect pauses, so that each pause counts once.
    pause_observer: Option<SocketAddr>,
    overlaps: u64,
    attempts: u64,
}

impl Record {
    fn end_attempt(&mut self, request: &str, now: f64) {
        let Some(in_flight) = self.in_flight.get_mut(request) else { return };
        *in_flight -= 1;
        let remaining = *in_flight;
        // The cancellation of an attempt and the next attempt are sent on different connections and may be read in any order.
        if remaining == 1 {
            let since = self.overlapping_since.remove(request);
            let is_overlap = since.is_some_and(|since| now - self.paused - since > MAX_REORDERING);
            self.overlaps += u64::from(is_overlap);
        }
        if remaining == 0 {
            self.in_flight.remove(request);
        }
    }
}

impl Fleet {
    /// Creates a fleet. Its engines don't execute repeats of a key within the deduplication window, in milliseconds.
    pub fn new(deduplication_window: f64) -> Self {
        Self { start: Instant::now(), deduplication_window, record: Arc::default() }
    }

    /// Returns the time since the fleet started, in milliseconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Records the time between two consecutive observations of the clock by an engine. Any excess over [`MAX_EXPECTED_GAP`]
    /// counts as a pause of the thread that serves all engines. During a pause no messages are read, so the order in which they
    /// arrived is lost.
    pub(super) fn observe_gap(&self, engine: SocketAddr, gap: f64) {
        let mut record = lock(&self.record);
        if *record.pause_observer.get_or_insert(engine) == engine {
            record.paused += (gap - MAX_EXPECTED_GAP).max(0.0);
        }
    }

    /// Records the arrival of an attempt.
    pub(super) fn begin_attempt(&self, request: &str, now: f64) {
        let mut record = lock(&self.record);
        record.attempts += 1;
        let in_flight = record.in_flight.entry(request.to_owned()).or_default();
        *in_flight += 1;
        if *in_flight > 1 {
            let now_without_pauses = now - record.paused;
            record.overlapping_since.entry(request.to_owned()).or_insert(now_without_pauses);
        }
    }

    /// Records the end of an attempt.
    pub(super) fn end_attempt(&self, request: &str, now: f64) {
        lock(&self.record).end_attempt(request, now);
    }

    /// Returns whether a key has already arrived within its deduplication window, in which case the caller must not execute the
    /// statement. Otherwise records an execution of the key and begins a new window.
    pub(super) fn is_duplicate(&self, key: &str, now: f64) -> bool {
        let mut record = lock(&self.record);
        let first = record.first_arrivals.get(key);
        if first.is_some_and(|first| now < first + self.deduplication_window) {
            return true;
        }
        record.first_arrivals.insert(key.to_owned(), now);
        record.executions.entry(key.to_owned()).or_default().push(now);
        false
    }

    /// Returns the start times of the executions of each key.
    pub fn executions(&self) -> BTreeMap<String, Vec<f64>> {
        lock(&self.record).executions.clone()
    }

    /// Returns the number of times that two attempts of one request were in flight together for longer than messages on two
    /// connections may be reordered.
    pub fn overlaps(&self) -> u64 {
        let record = lock(&self.record);
        let now = self.now() - record.paused;
        let current = record.overlapping_since.values().filter(|since| now - **since > MAX_REORDERING);
        record.overlaps + current.count() as u64
    }

    /// Returns the number of attempts that have arrived.
    pub fn attempts(&self) -> u64 {
        lock(&self.record).attempts
    }
}

#[cfg(test)]
mod tests;

//! What the engines of one fleet share: the clock, and the record of keys and of attempts in flight.

use crate::lock;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The time by which a message on one connection may be read after a later one on another. Every time limit of the rules is
/// 50 ms longer on sockets.
const MAX_REORDERING: f64 = 50.0;
/// The longest usual time between two observations of the clock: what is over it is a pause of the thread.
const USUAL_GAP: f64 = 5.0;

/// A common clock, in milliseconds, and a common record. Clones are the same fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    start: Instant,
    deduplication_window: f64,
    record: Arc<Mutex<Record>>,
}

/// What all engines of a fleet have received.
#[derive(Debug, Default)]
struct Record {
    /// When the first attempt with a key arrived.
    first_arrivals: HashMap<String, f64>,
    /// When the executions of a key began.
    executions: BTreeMap<String, Vec<f64>>,
    /// The number of attempts in flight, by request.
    in_flight: HashMap<String, u32>,
    /// Since when two attempts of a request are in flight, by the clock without pauses.
    overlapping_since: HashMap<String, f64>,
    /// The total time for which the thread that serves all engines was paused.
    paused: f64,
    /// The engine that observes pauses.
    pause_observer: Option<SocketAddr>,
    overlaps: u64,
    attempts: u64,
}

impl Record {
    fn end_attempt(&mut self, request: &str, now: f64) {
        let Some(in_flight) = self.in_flight.get_mut(request) else { return };
        *in_flight -= 1;
        let left = *in_flight;
        // The cancellation of an attempt and the next attempt are sent on two connections and may be read in any order.
        if left == 1 {
            let since = self.overlapping_since.remove(request);
            let is_overlap = since.is_some_and(|since| now - self.paused - since > MAX_REORDERING);
            self.overlaps += u64::from(is_overlap);
        }
        if left == 0 {
            self.in_flight.remove(request);
        }
    }
}

impl Fleet {
    /// A fleet whose engines drop repeats of a key for so many milliseconds.
    pub fn new(deduplication_window: f64) -> Self {
        Self { start: Instant::now(), deduplication_window, record: Arc::default() }
    }

    /// Milliseconds since the fleet started.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Takes the time between two observations of the clock by one engine. What is over the usual is a pause of the thread
    /// that serves all engines, in which nothing was read, in whatever order it arrived.
    pub(super) fn observe_gap(&self, engine: SocketAddr, gap: f64) {
        let mut record = lock(&self.record);
        if *record.pause_observer.get_or_insert(engine) == engine {
            record.paused += (gap - USUAL_GAP).max(0.0);
        }
    }

    /// Records an attempt that arrived.
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

    /// Records an execution under a key, unless the key arrived within the window: then the execution is to be dropped.
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

    /// When the executions of each key began.
    pub fn executions(&self) -> BTreeMap<String, Vec<f64>> {
        lock(&self.record).executions.clone()
    }

    /// The number of times that two attempts of one request were in flight for longer than messages on two connections may be
    /// reordered.
    pub fn overlaps(&self) -> u64 {
        let record = lock(&self.record);
        let now = self.now() - record.paused;
        let open = record.overlapping_since.values().filter(|since| now - **since > MAX_REORDERING);
        record.overlaps + open.count() as u64
    }

    /// The number of attempts that arrived.
    pub fn attempts(&self) -> u64 {
        lock(&self.record).attempts
    }
}

#[cfg(test)]
mod tests;

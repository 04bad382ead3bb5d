//! How a stand-in engine's capacity is modelled. Pure: queries and times go in, ends come out.
//!
//! An engine runs all that it is sent at once. Its cores are shared evenly among threads; past two threads a core it
//! gets less done in total. It starts with a share of its capacity and is warm after a while; sent more work than a
//! multiple of what it can do over a span, while cold, it falls over and stays down. Not modelled: disks, memory and
//! data sets.

use std::collections::VecDeque;

/// What an engine is like. Times in milliseconds.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Share of its capacity at its start.
    pub slow_start_from: f64,
    /// Time from its start until it is warm.
    pub slow_start_duration: f64,
    /// Falls over beyond this multiple of what it can do ...
    pub overload_collapse_multiple: f64,
    /// ... sent over this span.
    pub overload_collapse_after: f64,
    /// Mean work of a query, where so many send to it by chance that it bears N + 2 times the root of N + 2 of them, N
    /// being those of its budget: the users' rule for the sum of all gateways. 0: it bears its budget alone.
    pub chance_of: f64,
    /// Every query takes so many times longer.
    pub slow: f64,
    /// Share of queries that end in an error, at once.
    pub errors: f64,
    /// Threads that others run here.
    pub others: f64,
    /// Its answers tell of its load.
    pub tells: bool,
    /// It answers at once, whatever the work.
    pub at_once: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            cores: 12.0,
            slow_start_from: 0.31,
            slow_start_duration: 15_000.0,
            overload_collapse_multiple: 3.0,
            overload_collapse_after: 2_000.0,
            chance_of: 0.0,
            slow: 1.0,
            errors: 0.0,
            others: 0.0,
            tells: true,
            at_once: false,
        }
    }
}

/// Threads a core past which an engine gets less done in total.
const PEAK: f64 = 2.0;

#[derive(Debug)]
struct Query {
    id: u64,
    left: f64,
    threads: f64,
}

/// One engine.
#[derive(Debug)]
pub struct Model {
    /// What it is like.
    pub spec: Spec,
    /// When it started; far in the past: warm.
    pub started: f64,
    /// It has fallen over: when.
    pub fallen: Option<f64>,
    /// The most that it was sent while cold, over the time that tips it, as a share of its budget.
    pub worst: f64,
    queries: Vec<Query>,
    now: f64,
    /// Work that arrived: when, and how much.
    arrived: VecDeque<(f64, f64)>,
    /// Core-milliseconds used of those there were, of late.
    busy: f64,
}

impl Model {
    /// An engine that started then.
    pub fn new(spec: Spec, started: f64, now: f64) -> Self {
        let (queries, arrived) = (Vec::new(), VecDeque::new());
        Self { spec, started, fallen: None, worst: 0.0, queries, now, arrived, busy: 0.0 }
    }

    /// Cores' worth of work that it does at that time.
    pub fn capacity(&self, at: f64) -> f64 {
        let age = ((at - self.started) / self.spec.slow_start_duration.max(1.0)).clamp(0.0, 1.0);
        self.spec.cores * (self.spec.slow_start_from + (1.0 - self.spec.slow_start_from) * age)
    }

    /// What it may be sent over a span from then without falling over, in core-milliseconds.
    pub fn budget(&self, from: f64, span: f64) -> f64 {
        // Capacity grows in a straight line while it is cold: the middle of the span is its mean.
        self.spec.overload_collapse_multiple * self.capacity(from + span / 2.0) * span
    }

    /// Work that arrived from then on, over a span.
    pub fn arrived(&self, from: f64, span: f64) -> f64 {
        self.arrived.iter().filter(|(at, _)| *at >= from && *at < from + span).map(|(_, w)| w).sum()
    }

    /// A query of so much work, in milliseconds on one core, on so many threads; `usual` is the work by which the
    /// budget counts it. False: the engine has fallen.
    pub fn start(&mut self, id: u64, work: f64, usual: f64, threads: f64, now: f64) -> bool {
        self.arrived.push_back((now, usual));
        while self.arrived.front().is_some_and(|(at, _)| *at < now - 60_000.0) {
            self.arrived.pop_front();
        }
        let cold = now - self.started < self.spec.slow_start_duration;
        let from = now - self.spec.overload_collapse_after;
        // What it stood through before its start does not count.
        let ratio = |m: &Self| {
            m.arrived(from.max(m.started), m.spec.overload_collapse_after + 1.0)
                / m.budget(from, m.spec.overload_collapse_after)
        };
        let ratio = if cold { ratio(self) } else { 0.0 };
        self.worst = self.worst.max(ratio);
        let most = self.budget(from, self.spec.overload_collapse_after).max(1.0);
        let bears = 1.0 + 2.0 * (self.spec.chance_of / most).sqrt() + 2.0 * self.spec.chance_of / most;
        if ratio > bears {
            self.fallen = self.fallen.or(Some(now));
            self.queries.clear();
        }
        if self.fallen.is_none() {
            self.queries.push(Query { id, left: work * self.spec.slow, threads });
        }
        self.fallen.is_none()
    }

    /// Drops a query that was given up.
    pub fn cancel(&mut self, id: u64) {
        self.queries.retain(|q| q.id != id);
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.queries.clear();
    }

    /// Runs until then; the queries that ended.
    pub fn advance(&mut self, now: f64) -> Vec<u64> {
        let span = (now - self.now).max(0.0);
        self.now = now;
        let threads = self.queries.iter().map(|q| q.threads).sum::<f64>() + self.spec.others;
        let capacity = self.capacity(now);
        let level = threads / capacity.max(0.01);
        let less = if level > PEAK { 1.0 / (1.0 + 0.3 * (level - PEAK)) } else { 1.0 };
        let each = if threads > 0.0 { (capacity * less / threads).min(1.0) } else { 0.0 };
        let weight = (span / 500.0).min(1.0);
        self.busy += weight * ((threads * each / capacity.max(0.01)).min(1.0) - self.busy);
        for q in &mut self.queries {
            q.left -= span * each * q.threads;
        }
        self.queries.extract_if(.., |q| q.left <= 0.0).map(|q| q.id).collect()
    }

    /// Share of its cores in use of late.
    pub fn util(&self) -> f64 {
        self.busy
    }
}

#[cfg(test)]
mod tests;

//! The capacity of an engine double, as a pure model: queries and times are the input, ended queries the output.
//!
//! An engine executes all queries at once. Its cores are shared evenly among threads; above two threads for each core its total
//! throughput falls. It starts with a share of its capacity and is warm after a time (slow start). While cold it collapses,
//! and stays down, if it receives more work over a span than a multiple of its capacity. Disks, memory and data sets are not
//! modelled.

use std::collections::VecDeque;

/// The parameters of an engine. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// The number of cores.
    pub cores: f64,
    /// The share of its capacity at its start.
    pub slow_start_initial_share: f64,
    /// The time from its start until it is warm.
    pub slow_start_duration: f64,
    /// It collapses above this multiple of its capacity ...
    pub overload_collapse_multiple: f64,
    /// ... received over this span.
    pub overload_collapse_after: f64,
    /// The mean work of a query, for engines that many gateways send to independently: where its budget is N queries, it
    /// withstands N + 2 times the root of N + 2, the users' rule for the sum of all gateways. 0: it withstands its budget
    /// alone.
    pub chance_allowance_work: f64,
    /// The factor by which every query takes longer.
    pub slowdown: f64,
    /// The share of queries that fail, at once.
    pub error_share: f64,
    /// The number of threads of other users.
    pub background_threads: f64,
    /// Whether its answers report its load.
    pub reports_load: bool,
    /// Whether it answers at once, whatever the work.
    pub answers_at_once: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            cores: 12.0,
            slow_start_initial_share: 0.31,
            slow_start_duration: 15_000.0,
            overload_collapse_multiple: 3.0,
            overload_collapse_after: 2_000.0,
            chance_allowance_work: 0.0,
            slowdown: 1.0,
            error_share: 0.0,
            background_threads: 0.0,
            reports_load: true,
            answers_at_once: false,
        }
    }
}

/// The number of threads for each core above which the total throughput falls ...
const PEAK_THREADS_PER_CORE: f64 = 2.0;
/// ... and by how much, for each further thread of a core.
const CONTENTION: f64 = 0.3;
/// How long received work is remembered.
const WORK_MEMORY: f64 = 60_000.0;
/// The time constant of the reported utilization.
const UTILIZATION_SPAN: f64 = 500.0;

/// The work of a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryWork {
    /// In milliseconds on one core.
    pub work: f64,
    /// The work that the slow-start budget counts.
    pub usual: f64,
    /// The number of threads that execute it.
    pub threads: f64,
}

/// Work that was received.
#[derive(Debug)]
struct ReceivedWork {
    at: f64,
    work: f64,
}

/// A query that is being executed.
#[derive(Debug)]
struct Query {
    id: u64,
    work_left: f64,
    threads: f64,
}

/// The state of one engine.
#[derive(Debug)]
pub struct CapacityModel {
    /// Its parameters.
    pub spec: EngineSpec,
    /// When it started.
    pub started_at: f64,
    /// When it collapsed.
    pub collapsed_at: Option<f64>,
    /// The most work that it received while cold, over the span after which it collapses, as a share of its budget.
    pub max_overload_ratio: f64,
    queries: Vec<Query>,
    now: f64,
    received: VecDeque<ReceivedWork>,
    utilization: f64,
}

impl CapacityModel {
    /// An engine that started at `started_at`.
    pub fn new(spec: EngineSpec, started_at: f64, now: f64) -> Self {
        Self {
            spec,
            started_at,
            collapsed_at: None,
            max_overload_ratio: 0.0,
            queries: Vec::new(),
            now,
            received: VecDeque::new(),
            utilization: 0.0,
        }
    }

    /// Its capacity at that time, in cores.
    pub fn capacity(&self, at: f64) -> f64 {
        let age = ((at - self.started_at) / self.spec.slow_start_duration.max(1.0)).clamp(0.0, 1.0);
        self.spec.cores
            * (self.spec.slow_start_initial_share + (1.0 - self.spec.slow_start_initial_share) * age)
    }

    /// The work that it can receive over a span without a collapse, in core-milliseconds.
    pub fn budget(&self, from: f64, span: f64) -> f64 {
        // Capacity rises linearly during the slow start: the middle of the span is its mean.
        self.spec.overload_collapse_multiple * self.capacity(from + span / 2.0) * span
    }

    /// The work that it received over a span, in core-milliseconds.
    pub fn work_received(&self, from: f64, span: f64) -> f64 {
        let within = self.received.iter().filter(|received| received.at >= from && received.at < from + span);
        within.map(|received| received.work).sum()
    }

    /// Starts a query. Returns whether the engine is up.
    pub fn start(&mut self, id: u64, query: QueryWork, now: f64) -> bool {
        self.receive(query.usual, now);
        let ratio = self.overload_ratio(now);
        self.max_overload_ratio = self.max_overload_ratio.max(ratio);
        if ratio > self.collapse_ratio(now) {
            self.collapsed_at = self.collapsed_at.or(Some(now));
            self.queries.clear();
        }
        if self.collapsed_at.is_none() {
            let work_left = query.work * self.spec.slowdown;
            self.queries.push(Query { id, work_left, threads: query.threads });
        }
        self.collapsed_at.is_none()
    }

    fn receive(&mut self, work: f64, now: f64) {
        self.received.push_back(ReceivedWork { at: now, work });
        while self.received.front().is_some_and(|received| received.at < now - WORK_MEMORY) {
            self.received.pop_front();
        }
    }

    /// The work that it received over the last span, as a share of its budget; 0 once it is warm.
    fn overload_ratio(&self, now: f64) -> f64 {
        if now - self.started_at >= self.spec.slow_start_duration {
            return 0.0;
        }
        let span = self.spec.overload_collapse_after;
        let from = now - span;
        // Work from before its start does not count.
        self.work_received(from.max(self.started_at), span + 1.0) / self.budget(from, span)
    }

    /// The ratio above which it collapses.
    fn collapse_ratio(&self, now: f64) -> f64 {
        let span = self.spec.overload_collapse_after;
        let budget = self.budget(now - span, span).max(1.0);
        let allowance = self.spec.chance_allowance_work;
        1.0 + 2.0 * (allowance / budget).sqrt() + 2.0 * allowance / budget
    }

    /// Cancels a query.
    pub fn cancel(&mut self, id: u64) {
        self.queries.retain(|query| query.id != id);
    }

    /// Cancels all queries.
    pub fn clear(&mut self) {
        self.queries.clear();
    }

    /// Advances to that time. Returns the queries that ended.
    pub fn advance(&mut self, now: f64) -> Vec<u64> {
        let span = (now - self.now).max(0.0);
        self.now = now;
        let threads =
            self.queries.iter().map(|query| query.threads).sum::<f64>() + self.spec.background_threads;
        let capacity = self.capacity(now);
        let level = threads / capacity.max(0.01);
        let is_contended = level > PEAK_THREADS_PER_CORE;
        let throughput =
            if is_contended { 1.0 / (1.0 + CONTENTION * (level - PEAK_THREADS_PER_CORE)) } else { 1.0 };
        let thread_speed = if threads > 0.0 { (capacity * throughput / threads).min(1.0) } else { 0.0 };
        let weight = (span / UTILIZATION_SPAN).min(1.0);
        let utilization = (threads * thread_speed / capacity.max(0.01)).min(1.0);
        self.utilization += weight * (utilization - self.utilization);
        for query in &mut self.queries {
            query.work_left -= span * thread_speed * query.threads;
        }
        self.queries.extract_if(.., |query| query.work_left <= 0.0).map(|query| query.id).collect()
    }

    /// The field of an answer that reports the load; empty where the engine does not report it.
    pub fn load_report(&self) -> String {
        if !self.spec.reports_load {
            return String::new();
        }
        format!(",use=util:{:.3}", self.utilization())
    }

    /// The share of its cores in use, over the last half second.
    pub fn utilization(&self) -> f64 {
        self.utilization
    }
}

#[cfg(test)]
mod tests;

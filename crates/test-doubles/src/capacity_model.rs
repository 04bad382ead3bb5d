//! The capacity model of the engine double. It is a pure model, which computes the ends of queries from their starts and the
//! time.
//!
//! An engine executes all queries concurrently and shares its cores evenly among their threads. With more than two threads per
//! core, its total throughput decreases. It starts with a share of its capacity, which rises to the full capacity during slow
//! start; until then the engine is cold. A cold engine collapses permanently if the work that it receives within a time window
//! exceeds a multiple of its capacity. Disks, memory and data sets are not modelled.

use std::collections::VecDeque;

/// The parameters of an engine. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Number of cores.
    pub cores: f64,
    /// Share of the capacity that is available at the start of the engine.
    pub slow_start_initial_share: f64,
    /// Duration of slow start.
    pub slow_start_duration: f64,
    /// Multiple of the capacity that a cold engine can receive within [`Self::overload_collapse_after`]. It collapses above it.
    pub overload_collapse_multiple: f64,
    /// Length of the time window over which received work is compared with the capacity.
    pub overload_collapse_after: f64,
    /// Mean work of a query, for engines to which many gateways send independently. An engine with a budget of N such queries
    /// then accepts N + 2 sqrt(N) + 2 of them, which is the users' rule for the sum over all gateways. With 0 it accepts no more
    /// than its budget.
    pub independent_gateway_allowance_work: f64,
    /// Factor by which the work of every query is multiplied.
    pub slowdown: f64,
    /// Share of queries that fail immediately.
    pub error_share: f64,
    /// Number of threads that other users of the engine occupy.
    pub background_threads: f64,
    /// Whether answers contain a load report.
    pub reports_load: bool,
    /// Whether queries are answered immediately, regardless of their work.
    pub answers_immediately: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            cores: 12.0,
            slow_start_initial_share: 0.31,
            slow_start_duration: 15_000.0,
            overload_collapse_multiple: 3.0,
            overload_collapse_after: 2_000.0,
            independent_gateway_allowance_work: 0.0,
            slowdown: 1.0,
            error_share: 0.0,
            background_threads: 0.0,
            reports_load: true,
            answers_immediately: false,
        }
    }
}

/// Number of threads per core above which the total throughput decreases.
const PEAK_THREADS_PER_CORE: f64 = 2.0;
/// Strength of the decrease in throughput: with n threads per core above the peak, it is divided by 1 + `CONTENTION` * n.
const CONTENTION: f64 = 0.3;
/// Time for which received work is recorded, in milliseconds.
const RECEIVED_WORK_RETENTION: f64 = 60_000.0;
/// Time constant of the smoothed utilization, in milliseconds.
const UTILIZATION_TIME_CONSTANT: f64 = 500.0;

/// The work of a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryWork {
    /// Actual work, in milliseconds on one core.
    pub work: f64,
    /// Work that counts against the slow-start budget, in milliseconds on one core.
    pub usual: f64,
    /// Number of threads that execute the query.
    pub threads: f64,
}

/// The work of a query that was received, and the time of its arrival.
#[derive(Debug)]
struct ReceivedWork {
    at: f64,
    work: f64,
}

/// An in-flight query.
#[derive(Debug)]
struct Query {
    id: u64,
    remaining_work: f64,
    threads: f64,
}

/// The capacity model of one engine. Times are in milliseconds.
#[derive(Debug)]
pub struct CapacityModel {
    /// Parameters of the engine.
    pub spec: EngineSpec,
    /// Time at which the engine started.
    pub started_at: f64,
    /// Time at which the engine collapsed, if it did.
    pub collapsed_at: Option<f64>,
    /// Maximum work that the engine received while cold within the window of [`EngineSpec::overload_collapse_after`], as a share
    /// of its budget for that window.
    pub max_overload_ratio: f64,
    queries: Vec<Query>,
    now: f64,
    received: VecDeque<ReceivedWork>,
    utilization: f64,
}

impl CapacityModel {
    /// Creates the model of an engine that started at `started_at`.
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

    /// Returns the capacity of the engine at a time, in cores.
    pub fn capacity(&self, at: f64) -> f64 {
        let age = ((at - self.started_at) / self.spec.slow_start_duration.max(1.0)).clamp(0.0, 1.0);
        self.spec.cores
            * (self.spec.slow_start_initial_share + (1.0 - self.spec.slow_start_initial_share) * age)
    }

    /// Returns the work that a cold engine can receive over a span without collapsing, in core-milliseconds.
    pub fn budget(&self, from: f64, span: f64) -> f64 {
        // Capacity rises linearly during slow start, so its mean over the span is its value at the middle.
        self.spec.overload_collapse_multiple * self.capacity(from + span / 2.0) * span
    }

    /// Returns the work that was received over a span, in core-milliseconds.
    pub fn work_received(&self, from: f64, span: f64) -> f64 {
        let within = self.received.iter().filter(|received| received.at >= from && received.at < from + span);
        within.map(|received| received.work).sum()
    }

    /// Starts a query. Returns whether the engine is still up; the query may have made it collapse.
    pub fn start(&mut self, id: u64, query: QueryWork, now: f64) -> bool {
        self.receive(query.usual, now);
        let ratio = self.overload_ratio(now);
        self.max_overload_ratio = self.max_overload_ratio.max(ratio);
        if ratio > self.collapse_ratio(now) {
            self.collapsed_at = self.collapsed_at.or(Some(now));
            self.queries.clear();
        }
        if self.collapsed_at.is_none() {
            let remaining_work = query.work * self.spec.slowdown;
            self.queries.push(Query { id, remaining_work, threads: query.threads });
        }
        self.collapsed_at.is_none()
    }

    fn receive(&mut self, work: f64, now: f64) {
        self.received.push_back(ReceivedWork { at: now, work });
        while self.received.front().is_some_and(|received| received.at < now - RECEIVED_WORK_RETENTION) {
            self.received.pop_front();
        }
    }

    /// Returns the work that was received within the window that ends now, as a share of its budget, or 0 if the engine is warm.
    fn overload_ratio(&self, now: f64) -> f64 {
        if now - self.started_at >= self.spec.slow_start_duration {
            return 0.0;
        }
        let span = self.spec.overload_collapse_after;
        let from = now - span;
        // Work that arrived before the start of the engine doesn't count.
        self.work_received(from.max(self.started_at), span + 1.0) / self.budget(from, span)
    }

    /// Returns the share of the budget above which a cold engine collapses.
    fn collapse_ratio(&self, now: f64) -> f64 {
        let span = self.spec.overload_collapse_after;
        let budget = self.budget(now - span, span).max(1.0);
        let allowance = self.spec.independent_gateway_allowance_work;
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

    /// Advances the model to a time. Returns the ids of the queries that have ended.
    pub fn advance(&mut self, now: f64) -> Vec<u64> {
        let span = (now - self.now).max(0.0);
        self.now = now;
        let threads =
            self.queries.iter().map(|query| query.threads).sum::<f64>() + self.spec.background_threads;
        let capacity = self.capacity(now);
        let threads_per_core = threads / capacity.max(0.01);
        let is_contended = threads_per_core > PEAK_THREADS_PER_CORE;
        let throughput = if is_contended {
            1.0 / (1.0 + CONTENTION * (threads_per_core - PEAK_THREADS_PER_CORE))
        } else {
            1.0
        };
        let thread_speed = if threads > 0.0 { (capacity * throughput / threads).min(1.0) } else { 0.0 };
        let weight = (span / UTILIZATION_TIME_CONSTANT).min(1.0);
        let utilization = (threads * thread_speed / capacity.max(0.01)).min(1.0);
        self.utilization += weight * (utilization - self.utilization);
        for query in &mut self.queries {
            query.remaining_work -= span * thread_speed * query.threads;
        }
        self.queries.extract_if(.., |query| query.remaining_work <= 0.0).map(|query| query.id).collect()
    }

    /// Returns the field of an answer that reports the load, or an empty string if the engine doesn't report its load.
    pub fn load_report(&self) -> String {
        if !self.spec.reports_load {
            return String::new();
        }
        format!(",use=util:{:.3}", self.utilization())
    }

    /// Returns the share of the cores in use, smoothed with a time constant of half a second.
    pub fn utilization(&self) -> f64 {
        self.utilization
    }
}

#[cfg(test)]
mod tests;

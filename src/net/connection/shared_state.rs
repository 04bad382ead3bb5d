//! State that all connections of a process share: the sum of buffered bytes, counters and the retry budget.

use crate::net::connection::read_barrier::ReadBarrier;
use starlingplank_admin::metrics::Metrics;
use starlingplank_decision::interface::{Milliseconds, RetryBudgetSettings};
use starlingplank_decision::permission::counters::RuleCounters;
use starlingplank_decision::retry_budget::RetryBudget;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// State that all connections share. The frontend state owns it; each connection holds a reference.
#[derive(Debug)]
pub struct SharedState {
    /// Bytes in all read buffers and write queues.
    pub buffered_bytes: Cell<usize>,
    /// Requests and attempts that were written, by class.
    pub metrics: Metrics,
    /// Processes of this gateway that run now. Together they stay within what one process may use.
    pub process_count: Cell<usize>,
    /// Attempts that the rules refused.
    pub rule_counters: Rc<RuleCounters>,
    /// Counts requests as they are read, and retries as they are written.
    retry_budget: RefCell<RetryBudget>,
    started: Instant,
    /// Passed before an attempt is written.
    pub read_barrier: ReadBarrier,
}

impl SharedState {
    /// State of a process that runs alone, without a retry budget.
    pub fn new(classes: usize) -> Rc<Self> {
        Self::with_retry_budget(classes, None)
    }

    /// State of a process that runs alone, with a retry budget if there is one.
    pub fn with_retry_budget(classes: usize, retry_budget: Option<RetryBudgetSettings>) -> Rc<Self> {
        Rc::new(Self {
            buffered_bytes: Cell::new(0),
            metrics: Metrics::new(classes),
            process_count: Cell::new(1),
            rule_counters: Rc::default(),
            retry_budget: RefCell::new(RetryBudget::new(retry_budget)),
            started: Instant::now(),
            read_barrier: ReadBarrier::new(),
        })
    }

    /// Time since the start, by the clock of the retry budget.
    fn elapsed(&self) -> Milliseconds {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Counts a request that was read: it earns its part of a retry.
    pub fn count_request(&self) {
        let now = self.elapsed();
        let mut budget = self.retry_budget.borrow_mut();
        budget.receive(now);
        budget.forget(now, 0.0);
    }

    /// Whether a retry may be written now; if so it counts as written.
    pub(super) fn take_from_retry_budget(&self) -> bool {
        let now = self.elapsed();
        let mut budget = self.retry_budget.borrow_mut();
        let allowed = budget.allows(now, 0.0);
        if allowed {
            budget.retry(now);
        }
        allowed
    }

    /// This process's share of a limit that holds for all processes of the gateway together.
    pub fn process_share(&self, limit: usize) -> usize {
        limit / self.process_count.get().max(1)
    }
}

//! State that all connections of a process share: the buffered bytes, the counters and the retry budget.

use starlingplank_admin::metrics::Metrics;
use starlingplank_decision::interface::RetryBudgetSettings;
use starlingplank_decision::permission::counters::RuleCounters;
use starlingplank_decision::retry_budget::RetryBudget;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// What all connections have in common.
#[derive(Debug)]
pub struct SharedState {
    /// Bytes read and not yet used, and bytes that wait to be written.
    pub held: Cell<usize>,
    /// What has been written to whom.
    pub figures: Metrics,
    /// Processes of this gateway that run now: together they keep to what one may use.
    pub processes: Cell<usize>,
    /// What the rules refused.
    pub rules: Rc<RuleCounters>,
    /// Requests as they are read, and further attempts as they are written.
    retry_budget: RefCell<RetryBudget>,
    started: Instant,
}

impl SharedState {
    /// Nothing is held, and this process is the only one.
    pub fn new(classes: usize) -> Rc<Self> {
        Self::with_retry_budget(classes, None)
    }

    /// The same, and further attempts are bounded.
    pub fn with_retry_budget(classes: usize, retry_budget: Option<RetryBudgetSettings>) -> Rc<Self> {
        Rc::new(Self {
            held: Cell::new(0),
            figures: Metrics::new(classes),
            processes: Cell::new(1),
            rules: Rc::default(),
            retry_budget: RefCell::new(RetryBudget::new(retry_budget)),
            started: Instant::now(),
        })
    }

    fn milliseconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// A request was read.
    pub fn count_request(&self) {
        let now = self.milliseconds();
        let mut budget = self.retry_budget.borrow_mut();
        budget.receive(now);
        budget.forget(now, 0.0);
    }

    /// Whether a further attempt may be written now; if so it counts as written.
    pub(super) fn take_from_retry_budget(&self) -> bool {
        let now = self.milliseconds();
        let mut budget = self.retry_budget.borrow_mut();
        let allowed = budget.allows(now, 0.0);
        if allowed {
            budget.retry(now);
        }
        allowed
    }

    /// This process's part of what one may use.
    pub fn part(&self, of: usize) -> usize {
        of / self.processes.get().max(1)
    }
}

//! State shared by all connections of a process: memory in use, counters and retry budget.

use crate::net::connection::discard_buffer::DiscardBuffer;
use crate::net::connection::fair_share::FairScheduler;
use crate::net::connection::incoming_memory::IncomingMemory;
use crate::net::connection::outgoing_memory::OutgoingMemory;
use crate::net::connection::read_barrier::ReadBarrier;
use crate::net::loop_profile::LoopProfile;
use crate::net::pause::PauseDetector;
use crate::net::wait_profile::WaitProfile;
use starlingplank_admin::metrics::Metrics;
use starlingplank_decision::interface::{Milliseconds, RetryBudgetSettings};
use starlingplank_decision::permission::counters::RuleCounters;
use starlingplank_decision::retry_budget::RetryBudget;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// State shared by all connections of a process, of clients and to engines.
#[derive(Debug)]
pub struct SharedState {
    /// Memory for messages that clients have not sent completely.
    pub incoming: IncomingMemory,
    /// Buffer for bytes that are discarded.
    pub(super) discard_buffer: DiscardBuffer,
    /// Memory for results and queued answers.
    pub outgoing: OutgoingMemory,
    /// Numbers of answers and attempts that were written, by class.
    pub metrics: Metrics,
    /// Number of running processes of this gateway. Together they stay within the limits of one process.
    pub process_count: Cell<usize>,
    /// Numbers of attempts that were withheld, by reason.
    pub rule_counters: Rc<RuleCounters>,
    /// Retry budget. Requests are counted when they are read, retries when they are written.
    retry_budget: RefCell<RetryBudget>,
    started: Instant,
    /// Detects pauses of the process, which arrival times take into account.
    pub pauses: PauseDetector,
    /// Shares of the tasks in the event loop.
    pub scheduler: Rc<FairScheduler>,
    /// Time that the tasks of the event loop take.
    pub profile: Rc<LoopProfile>,
    /// What the tasks of clients wait for.
    pub waits: Rc<WaitProfile>,
    /// Barrier that is passed before an attempt is written.
    pub read_barrier: ReadBarrier,
}

impl SharedState {
    /// Creates the state of a single process without a retry budget.
    pub fn new(classes: usize) -> Rc<Self> {
        Self::with_retry_budget(classes, None)
    }

    /// Creates the state of a single process, with an optional retry budget.
    pub fn with_retry_budget(classes: usize, retry_budget: Option<RetryBudgetSettings>) -> Rc<Self> {
        let profile = Rc::<LoopProfile>::default();
        let waits = Rc::<WaitProfile>::default();
        Rc::new(Self {
            incoming: IncomingMemory::default(),
            discard_buffer: DiscardBuffer::default(),
            outgoing: OutgoingMemory::default(),
            metrics: Metrics::new(classes),
            process_count: Cell::new(1),
            rule_counters: Rc::default(),
            retry_budget: RefCell::new(RetryBudget::new(retry_budget)),
            started: Instant::now(),
            pauses: PauseDetector::new(Instant::now()),
            scheduler: FairScheduler::new(profile.clone(), waits.clone()),
            profile,
            waits,
            read_barrier: ReadBarrier::new(),
        })
    }

    /// Returns the time since the state was created, which is the clock of the retry budget.
    fn elapsed(&self) -> Milliseconds {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Counts a request that was read, which adds a fraction of a retry to the retry budget. Returns the time under which it is
    /// counted.
    pub fn count_request(&self) -> Milliseconds {
        let now = self.elapsed();
        let mut budget = self.retry_budget.borrow_mut();
        budget.record_request(now);
        budget.discard_before_window(now, 0.0);
        now
    }

    /// Removes a request from the retry budget that was counted at `counted_at`, and that its client has withdrawn.
    pub fn remove_request(&self, counted_at: Milliseconds) {
        self.retry_budget.borrow_mut().remove_request(counted_at);
    }

    /// Returns whether a retry may be written now. If so, counts it as written.
    pub(super) fn take_from_retry_budget(&self) -> bool {
        let now = self.elapsed();
        let mut budget = self.retry_budget.borrow_mut();
        let allowed = budget.allows(now, 0.0);
        if allowed {
            budget.record_retry(now);
        }
        allowed
    }

    /// Returns this process's share of a limit for all processes of the gateway together.
    pub fn process_share(&self, limit: usize) -> usize {
        limit / self.process_count.get().max(1)
    }
}

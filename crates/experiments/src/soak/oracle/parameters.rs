//! The parameters of the rules.

/// The parameters of the rules, as the run's settings have them. Times are in seconds.
#[derive(Debug, Clone)]
pub struct RuleParameters {
    /// How long after the client's timeout an answer may arrive.
    pub answer_grace: f64,
    /// How long after its client has abandoned it an attempt of a request may arrive.
    pub abandoned_slack: f64,
    /// How much a stated deadline may exceed what is left.
    pub budget_slack: f64,
    /// The deduplication window.
    pub key_window: f64,
    /// The time to stop sending to a draining engine.
    pub drain_grace: f64,
    /// A change of the list counts as propagated so long after it happened, or after a valid response would have held it ...
    pub propagation_delay: f64,
    /// ... so long after the name service was relocated ...
    pub relocation_propagation_delay: f64,
    /// ... and so long after it happened in any case.
    pub max_propagation_delay: f64,
    /// The retry budget of a process.
    pub retry_budget: RetryBudget,
    /// The slow start of engines.
    pub slow_start: SlowStart,
    /// A process listens so long after its start.
    pub ready_by: f64,
    /// A process has ended so long after SIGTERM.
    pub ended_by: f64,
    /// The lines that a process may log in a second.
    pub max_log_lines: f64,
}

/// A retry budget.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Retries that are free.
    pub free: f64,
    /// Further retries for each request.
    pub per_request: f64,
    /// The span over which they count.
    pub span: f64,
}

/// The slow start of an engine.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    /// The requests that a warm engine may be sent within a span.
    pub warm_budget: f64,
    /// The span.
    pub span: f64,
    /// The share of that budget at the engine's start.
    pub from_share: f64,
    /// The time until it is warm.
    pub duration: f64,
}

impl SlowStart {
    /// The greatest number of requests within a span at whose end the engine has that share of the slow start behind it: by
    /// the users' rule for the sum of all gateways, N + 2 x root of N + 2, and under 30 N + 3 x root of N + 3.
    pub(super) fn max_requests(&self, progress: f64) -> SlowStartBound {
        let budget = self.warm_budget * (self.from_share + (1.0 - self.from_share) * progress);
        let factor = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
        SlowStartBound { budget, max_requests: budget + factor * budget.sqrt() + factor }
    }
}

/// The bound of a slow start.
pub(super) struct SlowStartBound {
    /// N.
    pub(super) budget: f64,
    pub(super) max_requests: f64,
}

/// A slow-start budget is small below this.
const SMALL_BUDGET: f64 = 30.0;

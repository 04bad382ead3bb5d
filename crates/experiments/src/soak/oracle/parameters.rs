//! The parameters of the oracle's rules.

/// Parameters of the rules, in accordance with the settings of the gateways. Times are in seconds.
#[derive(Debug, Clone)]
pub struct RuleParameters {
    /// Maximum time after the client's timeout at which an answer may arrive.
    pub answer_grace: f64,
    /// Maximum time after a client has abandoned its request at which an attempt of that request may arrive at an engine.
    pub abandoned_slack: f64,
    /// Maximum time by which a deadline stated to an engine may exceed the remaining time of the client.
    pub deadline_slack: f64,
    /// Deduplication window: engines discard repeats of an idempotency key within this time.
    pub key_window: f64,
    /// Grace period after the propagation of a drain within which a gateway may still send to the engine.
    pub drain_grace: f64,
    /// Time after which a change of the endpoint list counts as propagated. It runs from the change, from the end of a silence, or from a
    /// lost or invalid response.
    pub propagation_delay: f64,
    /// Time after a relocation of the name service at which all changes made until then count as propagated.
    pub relocation_propagation_delay: f64,
    /// Time after which a change counts as propagated in any case, also during a silence.
    pub max_propagation_delay: f64,
    /// Retry budget of a process.
    pub retry_budget: RetryBudget,
    /// Slow start of engines.
    pub slow_start: SlowStart,
    /// Maximum time from the start of a process until it listens.
    pub max_start_time: f64,
    /// Maximum time from SIGTERM until a process has exited.
    pub max_shutdown_time: f64,
    /// Maximum number of lines that a process may log per second.
    pub max_log_lines: f64,
}

/// Retry budget of a process over a sliding span of time.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Number of retries within `span` that are allowed in addition to those that requests earn.
    pub base_retries: f64,
    /// Number of retries that each request earns.
    pub per_request: f64,
    /// Span in seconds over which requests and retries are counted.
    pub span: f64,
}

/// Slow start of an engine.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    /// Number of requests that a warm engine may receive within `span`.
    pub warm_budget: f64,
    /// Span in seconds over which requests are counted.
    pub span: f64,
    /// Share of `warm_budget` that applies at the engine's start.
    pub initial_share: f64,
    /// Time in seconds from the engine's start until it is warm.
    pub duration: f64,
}

impl SlowStart {
    /// Returns the maximum number of requests, from all gateways together, within a span at whose end `progress` (0 to 1) of the slow start
    /// has elapsed. With N the budget at that time, the specified limit is N + 2 sqrt(N) + 2, and N + 3 sqrt(N) + 3 for N below 30.
    pub(super) fn max_requests(&self, progress: f64) -> SlowStartBound {
        let budget = self.warm_budget * (self.initial_share + (1.0 - self.initial_share) * progress);
        let factor = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
        SlowStartBound { budget, max_requests: budget + factor * budget.sqrt() + factor }
    }
}

/// Limit for one span of a slow start.
pub(super) struct SlowStartBound {
    /// N: the number of requests that the slow start allows, without a tolerance.
    pub(super) budget: f64,
    /// Limit on the number of requests, with the tolerance.
    pub(super) max_requests: f64,
}

/// Slow-start budget below which the wider tolerance applies.
const SMALL_BUDGET: f64 = 30.0;

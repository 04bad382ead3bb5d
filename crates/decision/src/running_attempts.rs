//! Per-cycle handling of requests with attempts in flight.

use crate::admission::MIN_RETRY_AFTER;
use crate::balancer::Balancer;
use crate::interface::{Action, BlockReason};
use crate::outlier_ejection::is_outlier;
use crate::state::Request;
use crate::types::{ClassId, Milliseconds, RequestId};

/// Number of requests with attempts in flight above which checking all of them in each cycle takes too much CPU time;
/// they are then checked every [`CHECK_INTERVAL`].
const MAX_CHECKED_EACH_CYCLE: usize = 64;
/// Interval at which requests with attempts in flight are checked if there are more than [`MAX_CHECKED_EACH_CYCLE`].
const CHECK_INTERVAL: Milliseconds = 20.0;

/// Elapsed time of an overdue attempt, to be recorded as a latency sample.
struct OverdueSample {
    class: ClassId,
    /// Load of the engine in threads a core when the attempt was sent.
    load_level: f64,
    /// Elapsed time, scaled to a query of average size of the class.
    latency: Milliseconds,
}

impl Balancer {
    /// Cancels, answers or hedges requests with attempts in flight, and updates their priority.
    pub(crate) fn manage_running_attempts(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_attempt_check {
            return;
        }
        let is_running = |request: &&Request| request.in_flight() > 0;
        let running = self.requests.values().filter(is_running).map(|request| request.details.id);
        let running: Vec<RequestId> = running.collect();
        let interval = if running.len() > MAX_CHECKED_EACH_CYCLE { CHECK_INTERVAL } else { 0.0 };
        self.next_attempt_check = self.now + interval;
        for id in running {
            self.manage_running_request(id, actions);
        }
    }

    fn manage_running_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.closed {
            self.cancel_attempts_of_closed(id, actions);
        } else if request.streaming {
            // Its result is on its way to the client, who would only lose the rest of it.
        } else if self.is_past_deadline(request) {
            self.answer(id, 0.0, BlockReason::Deadline, actions);
        } else if self.should_stop_running(request) {
            self.answer(id, MIN_RETRY_AFTER, BlockReason::Late, actions);
        } else {
            let (memory_grant_mb, priority) = (request.memory_grant_mb, self.priority(request));
            self.set_terms(id, memory_grant_mb, priority, actions);
            self.hedge_or_replace(id, actions);
        }
    }

    /// Returns whether the deadline and half of the grace period after it have passed. Normally the timeout of the
    /// attempt ends a request earlier; this check covers clock jumps.
    fn is_past_deadline(&self, request: &Request) -> bool {
        self.now >= request.details.deadline + self.settings.answer_grace / 2.0
    }

    /// Records the elapsed time of overdue attempts as latency samples before the attempts end, except on engines
    /// that are outliers.
    pub(crate) fn sample_overdue_attempts(&mut self) {
        let mut samples = Vec::new();
        for request in self.requests.values_mut() {
            for attempt in &mut request.attempts {
                let age = self.now - attempt.sent_at;
                if !attempt.in_flight || attempt.sampled || age <= attempt.overdue_after {
                    continue;
                }
                if self.engines.get(&attempt.engine).is_none_or(is_outlier) {
                    continue;
                }
                attempt.sampled = true;
                samples.push(OverdueSample {
                    class: request.details.class,
                    load_level: attempt.load_level,
                    latency: age / request.relative_size,
                });
            }
        }
        for sample in samples {
            self.add_sample(sample.class, sample.load_level, sample.latency);
        }
    }
}

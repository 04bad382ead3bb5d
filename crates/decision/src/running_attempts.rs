//! What is done each cycle about requests with attempts in flight.

use crate::admission::MIN_RETRY_AFTER;
use crate::balancer::Balancer;
use crate::interface::{Action, BlockReason};
use crate::outlier_ejection::is_outlier;
use crate::state::Request;
use crate::types::{ClassId, Milliseconds, RequestId};

/// The number of requests with attempts in flight past which going through all of them each cycle costs too much CPU ...
const MAX_CHECKED_EACH_CYCLE: usize = 64;
/// ... and they are gone through at this interval.
const CHECK_INTERVAL: Milliseconds = 20.0;

/// The latency so far of an attempt that is overdue.
struct OverdueSample {
    class: ClassId,
    /// Threads a core on the engine when the attempt was sent.
    load_level: f64,
    /// At the size of a usual query of the class.
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
        } else if self.is_past_deadline(request) {
            self.answer(id, 0.0, BlockReason::Deadline, actions);
        } else if self.runs_in_vain(request) {
            self.answer(id, MIN_RETRY_AFTER, BlockReason::Late, actions);
        } else {
            let (memory_grant_mb, priority) = (request.memory_grant_mb, self.priority(request));
            self.set_terms(id, memory_grant_mb, priority, actions);
            self.hedge_or_replace(id, actions);
        }
    }

    /// Whether the deadline and half of the grace after it have passed. The timeout of the attempt normally ends a
    /// request before; this is for clocks that jump.
    fn is_past_deadline(&self, request: &Request) -> bool {
        self.now >= request.details.deadline + self.settings.answer_grace / 2.0
    }

    /// Counts attempts that are overdue as latency before they end, except on engines that are outliers.
    pub(crate) fn count_overdue_attempts(&mut self) {
        let mut samples = Vec::new();
        for request in self.requests.values_mut() {
            for attempt in &mut request.attempts {
                let age = self.now - attempt.sent_at;
                if !attempt.in_flight || attempt.counted || age <= attempt.patience {
                    continue;
                }
                if self.engines.get(&attempt.engine).is_none_or(is_outlier) {
                    continue;
                }
                attempt.counted = true;
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

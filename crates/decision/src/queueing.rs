//! Queueing: the order in which waiting requests are placed, how long each may wait, which group of classes is
//! deferred behind the other, and the order of requests with the same key.

use crate::admission::MIN_RETRY_AFTER;
use crate::balancer::Balancer;
use crate::interface::{Action, Outcome, RequestDetails};
use crate::load_levels::LEVELS;
use crate::state::{EndedAttempt, Request, RuntimeGroup};
use crate::types::{Milliseconds, RequestId};

/// The maximum wait of a request is at least the minimum Retry-After.
const MIN_LONGEST_WAIT: Milliseconds = MIN_RETRY_AFTER;
/// The maximum wait of a request is at least this share of its expected latency.
const LONGEST_WAIT_LATENCY_SHARE: f64 = 0.1;
/// The maximum wait of a request is at least this share of its latency objective: capacity becomes free sooner than a
/// rejected client retries.
const LONGEST_WAIT_OBJECTIVE_SHARE: f64 = 0.25;
/// A group is deferred if its ratio of runtime to arrivals is more than this multiple of the other group's ratio.
const DEFERRAL_RATIO: f64 = 1.5;
/// Minimum number of recent arrivals from which the ratio of a group is computed.
const MIN_GROUP_ARRIVALS: f64 = 0.5;
/// Number of waiting requests above which checking all of them in each cycle takes too much CPU time; they are then
/// checked every [`PLACEMENT_INTERVAL`].
const MAX_PLACED_EACH_CYCLE: usize = 64;
/// Interval at which waiting requests are checked if there are more than [`MAX_PLACED_EACH_CYCLE`].
const PLACEMENT_INTERVAL: Milliseconds = 4.0;
/// Requests are ordered by their relative size in steps of 1 / `SIZE_STEPS`.
const SIZE_STEPS: f64 = 4.0;
/// Number of cycles that may pass before a request is checked again.
const CYCLES_TO_NEXT_CHECK: f64 = 3.0;

/// Sort key of waiting requests; the lowest is placed first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePriority {
    /// The request is late already, or exceeds its tenant's quota.
    is_last: bool,
    /// The group of the request's class is deferred.
    is_deferred: bool,
    /// Relative size of the request, in steps: small requests first.
    size_step: u64,
}

/// A request that waits for an engine, with its sort key.
struct WaitingRequest {
    id: RequestId,
    priority: QueuePriority,
    received_at: Milliseconds,
}

impl Balancer {
    /// Sends each waiting request, rejects it, or leaves it waiting.
    pub(crate) fn place_waiting_requests(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_placement {
            return;
        }
        let queue = self.waiting_requests();
        let is_long = queue.len() > MAX_PLACED_EACH_CYCLE;
        self.next_placement = self.now + if is_long { PLACEMENT_INTERVAL } else { 0.0 };
        for waiting in queue {
            self.place_or_keep_waiting(waiting.id, actions);
        }
    }

    /// Returns the requests that have neither an answer nor an attempt in flight, in the order in which they are
    /// placed: by priority, then by arrival.
    fn waiting_requests(&self) -> Vec<WaitingRequest> {
        let is_waiting = |request: &&Request| !request.closed && request.in_flight() == 0;
        let waiting = self.requests.values().filter(is_waiting).map(|request| WaitingRequest {
            id: request.details.id,
            priority: self.queue_priority(request),
            received_at: request.received_at,
        });
        let mut queue: Vec<WaitingRequest> = waiting.collect();
        queue.sort_by(|a, b| {
            let by_priority = a.priority.cmp(&b.priority);
            by_priority.then(a.received_at.total_cmp(&b.received_at)).then(a.id.cmp(&b.id))
        });
        queue
    }

    fn queue_priority(&self, request: &Request) -> QueuePriority {
        QueuePriority {
            is_last: request.over_quota || self.is_late(request),
            is_deferred: self.deferred_group == Some(self.class_state_of(request).group),
            size_step: (request.relative_size * SIZE_STEPS).round() as u64,
        }
    }

    fn place_or_keep_waiting(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let reason = match self.select_engine(request) {
            Ok(engine) => return self.send(id, &engine, actions),
            Err(reason) => reason,
        };
        let class = request.details.class;
        if request.waiting_since == self.now {
            self.blocked_counts[class.0][reason as usize] += 1;
        }
        let expected_latency = self.latency_at(class, LEVELS[self.limit_level]).mean * request.relative_size;
        let is_first_of_key = self.is_first_of_key(request);
        if self.should_stop_waiting(request, expected_latency, is_first_of_key) {
            self.answer(id, expected_latency, reason, actions);
        } else if !is_first_of_key {
            // The wait for earlier requests of the same key does not count as queueing, which begins when those have
            // ended.
            if let Some(request) = self.requests.get_mut(&id) {
                request.waiting_since = self.now;
            }
        }
    }

    /// Returns whether a waiting request should be rejected: it cannot end before its deadline, the rules allow no
    /// engine for it, or its maximum wait has elapsed.
    fn should_stop_waiting(
        &self,
        request: &Request,
        expected_latency: Milliseconds,
        is_first_of_key: bool,
    ) -> bool {
        // A request with too many earlier requests of its key to end before its deadline is answered now.
        let earlier = if is_first_of_key { 0 } else { self.earlier_requests_of_key(request) };
        // The deadline may pass during a pause of this process, so a pause of the recent maximum length is allowed
        // for.
        let next_check =
            self.now + CYCLES_TO_NEXT_CHECK * self.settings.min_decision_interval + self.longest_recent_pause;
        if next_check + earlier as f64 * expected_latency >= request.details.deadline {
            return true;
        }
        let is_retry = !request.attempts.is_empty();
        if is_retry && !self.engines.values().any(|engine| self.rules_allow(request, engine)) {
            return true;
        }
        is_first_of_key && self.now - request.waiting_since >= self.longest_wait(request, expected_latency)
    }

    fn longest_wait(&self, request: &Request, expected_latency: Milliseconds) -> Milliseconds {
        MIN_LONGEST_WAIT
            .max(LONGEST_WAIT_LATENCY_SHARE * expected_latency)
            .max(LONGEST_WAIT_OBJECTIVE_SHARE * self.class_of(request).latency_objective)
    }

    /// Splits the classes into two groups by runtime, and defers the group whose ratio of runtime to arrivals is far
    /// above the other's. The split is the geometric mean of the shortest and the longest runtime: the mean minus one
    /// deviation would lie below every class where most classes are short.
    pub(crate) fn choose_deferred_group(&mut self) {
        let shortest = self.classes.iter().map(|state| state.best_latency).fold(f64::INFINITY, f64::min);
        let longest = self.classes.iter().map(|state| state.best_latency).fold(0.0, f64::max);
        let split = (shortest * longest).sqrt();
        for state in &mut self.classes {
            state.group = if state.best_latency > split { RuntimeGroup::Long } else { RuntimeGroup::Short };
        }
        let (short, long) = (self.runtime_ratio(RuntimeGroup::Short), self.runtime_ratio(RuntimeGroup::Long));
        let exceeds = |ratio: f64, other: f64| ratio > DEFERRAL_RATIO * other && other > 0.0;
        self.deferred_group = if exceeds(long, short) {
            Some(RuntimeGroup::Long)
        } else {
            exceeds(short, long).then_some(RuntimeGroup::Short)
        };
    }

    /// Returns the recent runtime of a group per arrival, or 0 if there are too few arrivals.
    fn runtime_ratio(&self, group: RuntimeGroup) -> f64 {
        let (mut runtime, mut arrivals) = (0.0, 0.0);
        for state in self.classes.iter().filter(|state| state.group == group) {
            runtime += state.runtime;
            arrivals += state.arrivals;
        }
        if arrivals > MIN_GROUP_ARRIVALS {
            runtime / arrivals
        } else {
            0.0
        }
    }

    /// Adds a request of an ordered class to the queue of its key.
    pub(crate) fn enqueue_for_key(&mut self, details: &RequestDetails) {
        let is_ordered = self.settings.classes[details.class.0].ordered;
        if let Some(key) = details.key.filter(|_| is_ordered) {
            self.ordered_keys.entry(key).or_default().queue.push_back(details.id);
        }
    }

    /// Returns whether a request is the first of its key, or is not ordered by a key. A first attempt also waits for
    /// the end of the key's pause.
    pub(crate) fn is_first_of_key(&self, request: &Request) -> bool {
        let Some(key) = request.details.key.and_then(|key| self.ordered_keys.get(&key)) else { return true };
        let is_first = key.queue.front() == Some(&request.details.id);
        let is_paused = self.now < key.paused_until;
        !self.class_of(request).ordered || is_first && (!request.attempts.is_empty() || !is_paused)
    }

    fn earlier_requests_of_key(&self, request: &Request) -> usize {
        let key = request.details.key.and_then(|key| self.ordered_keys.get(&key));
        key.map_or(0, |key| key.queue.iter().take_while(|id| **id != request.details.id).count())
    }

    /// Pauses an ordered key after an attempt that may still be running.
    pub(crate) fn pause_key(&mut self, ended: &EndedAttempt) {
        let may_run = matches!(ended.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        let is_ordered = self.settings.classes[ended.class.0].ordered;
        if let Some(key) = ended.key.filter(|_| may_run && is_ordered) {
            let key = self.ordered_keys.entry(key).or_default();
            key.paused_until = key.paused_until.max(self.now + self.settings.ordered_key_pause);
        }
    }

    /// Discards keys that have neither requests nor a pause.
    pub(crate) fn discard_idle_keys(&mut self) {
        let now = self.now;
        self.ordered_keys.retain(|_, key| !key.queue.is_empty() || key.paused_until > now);
    }
}

#[cfg(test)]
mod tests;

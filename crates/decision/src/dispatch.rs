//! Dispatch: checks the rules that apply to every attempt, and sends attempts. No other module sends.

use crate::balancer::Balancer;
use crate::interface::Action;
use crate::permission::send::{may_repeat, EarlierAttempt};
use crate::retries_and_hedging::MIN_OVERDUE_AFTER;
use crate::state::{Attempt, Engine, RecentSend, Request};
use crate::types::{Availability, ClassId, DataSet, EngineId, RequestId};

/// An attempt is sent only while at least this number of minimum decision intervals remains until its deadline.
const CYCLES_BEFORE_DEADLINE: f64 = 2.0;
/// Number of standard deviations above the mean latency after which an attempt is overdue.
const OVERDUE_DEVIATIONS: f64 = 2.0;
/// Minimum relative size that the time until an attempt is overdue is scaled by: estimates of small queries are
/// inexact.
const MIN_OVERDUE_RELATIVE_SIZE: f64 = 0.5;

impl Balancer {
    /// Returns whether the rules allow the request to be sent to that engine now: the request is open, the engine
    /// accepts work and may run the class, the limits on attempts and retries are not reached, earlier requests of
    /// the key have ended, the slow start budget allows it, and enough time remains.
    pub(crate) fn rules_allow(&self, request: &Request, engine: &Engine) -> bool {
        let class = self.class_of(request);
        let member = &engine.member;
        let is_retry = !request.attempts.is_empty();
        !request.closed
            && member.availability == Availability::Live
            && class.may_run_on(member)
            && self.may_repeat_on(request, engine)
            && (self.settings.may_hedge || request.in_flight() == 0)
            && request.attempts.len() < self.settings.max_attempts as usize
            && self.now + CYCLES_BEFORE_DEADLINE * self.settings.min_decision_interval
                < request.details.deadline
            && (!is_retry || self.retry_budget_allows())
            && self.is_first_of_key(request)
            && self.slow_start_budget_allows(request, engine)
    }

    /// Returns whether the idempotency of the class allows an attempt on the engine after the earlier attempts.
    fn may_repeat_on(&self, request: &Request, engine: &Engine) -> bool {
        let earlier = request
            .may_have_run()
            .map(|attempt| EarlierAttempt { sent_at: attempt.sent_at, placement: attempt.placement });
        let sent_by = self.now + self.settings.min_decision_interval;
        may_repeat(self.class_of(request).idempotency, earlier, engine.member.placement(), sent_by)
    }

    /// Sends a request to an engine, if the rules allow it.
    pub(crate) fn send(&mut self, id: RequestId, engine_id: &EngineId, actions: &mut Vec<Action>) {
        let (Some(request), Some(engine)) = (self.requests.get(&id), self.engines.get(engine_id)) else {
            return;
        };
        if !self.rules_allow(request, engine) {
            return;
        }
        let (class, data) = (request.details.class, request.details.data);
        let is_retry = !request.attempts.is_empty();
        let timeout = request.details.deadline - self.now;
        let attempt = self.new_attempt(request, engine);
        let memory_grant_mb = self.memory_grant_mb(request, engine);
        let priority = self.priority(request);
        self.set_terms(id, memory_grant_mb, priority, actions);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
        self.lower_grant_factor(class);
        self.occupy_engine(engine_id, class, data);
        if is_retry {
            self.retry_budget.record_retry(self.now);
        }
        actions.push(Action::Send { id, engine: engine_id.clone(), timeout });
    }

    fn new_attempt(&self, request: &Request, engine: &Engine) -> Attempt {
        let class = request.details.class;
        let threads = self.settings.classes[class.0].threads;
        let load_level = (engine.load.all_threads() + threads) / engine.cores;
        let latency = self.latency_at(class, load_level);
        let overdue_after = (latency.mean + OVERDUE_DEVIATIONS * latency.deviation).max(MIN_OVERDUE_AFTER)
            * request.relative_size.max(MIN_OVERDUE_RELATIVE_SIZE);
        let placement = engine.member.placement();
        Attempt::new(engine.member.engine.clone(), placement, self.now, load_level, overdue_after)
    }

    /// Adds a new attempt to the load of its engine.
    fn occupy_engine(&mut self, engine: &EngineId, class: ClassId, data: Option<DataSet>) {
        let work = self.expected_work(class);
        let class_settings = &self.settings.classes[class.0];
        let Some(engine) = self.engines.get_mut(engine) else { return };
        engine.load.own_threads += class_settings.threads;
        self.fleet.own_threads += class_settings.threads;
        engine.load.in_flight += 1.0;
        engine.slow_start.recent_sends.push_back(RecentSend { sent_at: self.now, work });
        engine.slow_start.recent_work += work;
        if let Some(data) = data.filter(|_| class_settings.is_load) {
            *engine.own_loads.entry(data).or_default() += 1;
        }
    }
}

//! A checker of the sending rules that uses no code of the decision module.

use crate::common::{engine, member};
use starlingplank::interface::*;
use std::collections::BTreeMap;

/// Minimum work of a query.
const MIN_WORK: Milliseconds = 20.0;
/// Number of cores of each engine.
const CORES: f64 = 8.0;

/// Outcome of an attempt, and the time at which the attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct AttemptResult {
    pub at: Milliseconds,
    pub outcome: Outcome,
}

pub(crate) struct SentAttempt {
    pub at: Milliseconds,
    pub engine: usize,
    pub timeout: Milliseconds,
    pub result: Option<AttemptResult>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !matches!(
            self.result,
            Some(AttemptResult {
                outcome: Outcome::Full | Outcome::ConnectFailed | Outcome::NotExecuted,
                ..
            })
        )
    }
}

pub(crate) struct ReceivedRequest {
    pub details: RequestDetails,
    pub received_at: Milliseconds,
    pub answered_at: Option<Milliseconds>,
    pub attempts: Vec<SentAttempt>,
}

/// Independent implementation of the rules, separate from the decision module. Identifies engines by their number.
pub(crate) struct Checker {
    settings: Settings,
    pub requests: BTreeMap<u64, ReceivedRequest>,
    /// The requests of each order key, in the order in which they were received.
    order: BTreeMap<u64, Vec<u64>>,
    pub drained_at: BTreeMap<usize, Milliseconds>,
    pub started_at: BTreeMap<usize, Milliseconds>,
    received_times: Vec<Milliseconds>,
    retry_times: Vec<Milliseconds>,
    slow_start_sends: BTreeMap<usize, Vec<Milliseconds>>,
}

impl Checker {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings,
            requests: BTreeMap::new(),
            order: BTreeMap::new(),
            drained_at: BTreeMap::new(),
            started_at: BTreeMap::new(),
            received_times: Vec::new(),
            retry_times: Vec::new(),
            slow_start_sends: BTreeMap::new(),
        }
    }

    pub(crate) fn engine_started(&mut self, number: usize, now: Milliseconds) {
        self.started_at.insert(number, now);
        self.slow_start_sends.remove(&number);
    }

    pub(crate) fn request_received(&mut self, details: RequestDetails, now: Milliseconds) {
        let id = details.id.0;
        if let Some(key) = details.key {
            self.order.entry(key.0).or_default().push(id);
        }
        self.received_times.push(now);
        let request = ReceivedRequest { details, received_at: now, answered_at: None, attempts: vec![] };
        self.requests.insert(id, request);
    }

    /// Ends all open requests and attempts, and discards the counts for the retry budget and the order of keys: the gateway was
    /// killed and has restarted.
    pub(crate) fn gateway_restarted(&mut self, now: Milliseconds) {
        for request in self.requests.values_mut() {
            request.answered_at.get_or_insert(now);
            for attempt in &mut request.attempts {
                attempt.result.get_or_insert(AttemptResult { at: now, outcome: Outcome::NotExecuted });
            }
        }
        self.received_times.clear();
        self.retry_times.clear();
        self.order.clear();
    }

    pub(crate) fn action(&mut self, now: Milliseconds, action: &Action) {
        match action {
            Action::Send { id, engine, timeout } => {
                self.send(now, id.0, engine_number(engine), *timeout);
            }
            Action::Reject { id, retry_after, .. } => self.reject(now, id.0, *retry_after),
            Action::Fail { id } => self.answer(now, id.0),
            Action::Cancel { id, attempt } => {
                assert!(self.settings.may_cancel);
                assert!(self.requests[&id.0].attempts.len() > *attempt as usize);
            }
            Action::CheckHealth { .. } => assert!(self.settings.may_check_health),
            Action::SetTerms { .. } | Action::Timer { .. } | Action::SubscribeToEndpoints => {}
        }
    }

    fn answer(&mut self, now: Milliseconds, id: u64) {
        let request = self.requests.get_mut(&id).expect("a request that was received");
        assert!(request.answered_at.is_none(), "rule 1: a request was answered twice");
        request.answered_at = Some(now);
    }

    fn reject(&mut self, now: Milliseconds, id: u64, retry_after: Milliseconds) {
        assert!(retry_after <= self.settings.max_retry_after, "retry-after exceeds its maximum");
        self.answer(now, id);
        let request = &self.requests[&id];
        let may_have_run = request.attempts.iter().any(SentAttempt::may_have_run);
        match self.settings.classes[request.details.class.0].idempotency {
            Idempotency::NotIdempotent => {
                assert!(!may_have_run, "rule 2: rejected a request that is not idempotent and may have run");
            }
            Idempotency::Keyed { scope, .. } => {
                assert!(
                    scope == Scope::All || !may_have_run,
                    "rule 2: rejected a keyed request that may have run"
                );
            }
            Idempotency::Idempotent => {}
        }
    }

    fn send(&mut self, now: Milliseconds, id: u64, to: usize, timeout: Milliseconds) {
        self.check_drain(now, to);
        self.check_attempt_allowed(id, &member(to));
        self.check_repeats(now, id, &member(to));
        self.check_order(now, id);
        self.check_retry_budget(now, id);
        self.check_slow_start_budget(now, to);
        let request = self.requests.get_mut(&id).expect("known");
        assert!(
            timeout >= 0.0 && now + timeout <= request.details.deadline + 1e-6,
            "the timeout ends after the deadline"
        );
        request.attempts.push(SentAttempt { at: now, engine: to, timeout, result: None });
    }

    fn class_of(&self, request: &ReceivedRequest) -> &Class {
        &self.settings.classes[request.details.class.0]
    }

    fn check_drain(&self, now: Milliseconds, to: usize) {
        if let Some(drained) = self.drained_at.get(&to) {
            assert!(now <= drained + self.settings.drain_grace, "rule 3: sent to a draining engine");
        }
    }

    fn check_attempt_allowed(&self, id: u64, to: &Member) {
        let request = &self.requests[&id];
        let class = self.class_of(request);
        assert!(request.answered_at.is_none(), "rule 1: sent after the answer");
        assert!(
            request.attempts.len() < self.settings.max_attempts as usize,
            "more attempts than the maximum"
        );
        if let Some(kinds) = &class.machine_types {
            assert!(
                kinds.contains(&to.machine_type.expect("a machine type")),
                "rule 6: machine type is not allowed"
            );
        }
        if let Some(zones) = &class.zones {
            assert!(zones.contains(&to.zone.expect("a zone")), "rule 6: zone is not allowed");
        }
        let in_flight = request.attempts.iter().filter(|attempt| attempt.result.is_none()).count();
        assert!(
            self.settings.may_hedge || in_flight == 0,
            "rule 2: two attempts at the same time without hedging"
        );
    }

    fn check_repeats(&self, now: Milliseconds, id: u64, to: &Member) {
        let request = &self.requests[&id];
        for attempt in request.attempts.iter().filter(|attempt| attempt.may_have_run()) {
            match self.class_of(request).idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("rule 2: a non-idempotent request was sent again"),
                Idempotency::Keyed { scope, window } => {
                    let previous = member(attempt.engine);
                    let same_scope = match scope {
                        Scope::All => true,
                        Scope::Zone => previous.zone == to.zone,
                        Scope::Cell => previous.cell == to.cell,
                    };
                    assert!(
                        same_scope && now <= attempt.at + window,
                        "rule 2: a keyed request was sent again outside its scope or window"
                    );
                }
            }
        }
    }

    fn check_order(&self, now: Milliseconds, id: u64) {
        let request = &self.requests[&id];
        let (true, Some(key)) = (self.class_of(request).ordered, request.details.key) else { return };
        let is_retry = !request.attempts.is_empty();
        for earlier_id in self.order[&key.0].iter().take_while(|earlier| **earlier != id) {
            let earlier = &self.requests[earlier_id];
            assert!(earlier.answered_at.is_some(), "rule 5: an earlier request of the key has no answer");
            for attempt in &earlier.attempts {
                let result = attempt.result.expect("rule 5: an earlier attempt of the key is in flight");
                if matches!(result.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                    assert!(
                        is_retry || now >= result.at + self.settings.ordered_key_pause,
                        "rule 5: sent during the pause of the key"
                    );
                }
            }
        }
    }

    fn check_retry_budget(&mut self, now: Milliseconds, id: u64) {
        if self.requests[&id].attempts.is_empty() {
            return;
        }
        self.retry_times.push(now);
        if let Some(retry_budget) = self.settings.retry_budget {
            let recent = |times: &[Milliseconds]| {
                times.iter().filter(|at| **at > now - retry_budget.window).count() as f64
            };
            let max_retries =
                retry_budget.min_retries + retry_budget.retry_ratio * recent(&self.received_times);
            assert!(recent(&self.retry_times) <= max_retries, "rule 7: retry budget exceeded");
        }
    }

    /// Checks that the sends to an engine in slow start stay within this gateway's share of the budget. The bound is that of an
    /// engine at full capacity, with the minimum work for each query.
    fn check_slow_start_budget(&mut self, now: Milliseconds, to: usize) {
        let settings = &self.settings;
        if self.started_at.get(&to).is_none_or(|at| now >= at + settings.slow_start_duration) {
            return;
        }
        let sends = self.slow_start_sends.entry(to).or_default();
        sends.push(now);
        let span = settings.overload_collapse_after;
        let recent = sends.iter().filter(|at| **at > now - span).count() as f64;
        let share = settings.overload_collapse_multiple * CORES * span / settings.gateways as f64;
        assert!(recent * MIN_WORK <= share, "rule 4: a burst to an engine in slow start");
    }

    /// Checks that every request whose deadline has passed by more than the grace period has an answer.
    pub(crate) fn check_deadlines(&self, now: Milliseconds) {
        for request in self.requests.values() {
            let due = request.details.deadline + self.settings.answer_grace;
            assert!(
                request.answered_at.is_some() || now < due,
                "rule 1: no answer to the request received at {}",
                request.received_at
            );
        }
    }
}

fn engine_number(id: &EngineId) -> usize {
    (0..32).find(|number| engine(*number) == *id).expect("an engine of the endpoint list")
}

//! Random days under varied settings, checked by a checker that knows only the rules.

mod common;

use common::{engine, incoming, member, settings as default_settings};
use starlingplank::decide::Balancer;
use starlingplank::interface::*;
use std::collections::BTreeMap;

#[derive(Clone)]
struct SentAttempt {
    at: Milliseconds,
    engine: usize,
    timeout: Milliseconds,
    outcome: Option<(Milliseconds, Outcome)>,
}

struct SeenRequest {
    details: RequestDetails,
    received_at: Milliseconds,
    answered: Option<Milliseconds>,
    sent: Vec<SentAttempt>,
}

/// The rules, implemented from their wording, apart from the decision module.
struct Checker {
    settings: Settings,
    requests: BTreeMap<u64, SeenRequest>,
    order: BTreeMap<u64, Vec<u64>>,
    drained_at: BTreeMap<usize, Milliseconds>,
    started_at: BTreeMap<usize, Milliseconds>,
    received_times: Vec<Milliseconds>,
    retries: Vec<Milliseconds>,
    slow_start_sends: BTreeMap<usize, Vec<(Milliseconds, u64)>>,
}

fn may_have_run(outcome: &Option<(Milliseconds, Outcome)>) -> bool {
    !matches!(outcome, Some((_, Outcome::Full | Outcome::ConnectFailed | Outcome::NotExecuted)))
}

impl Checker {
    fn index(id: &EngineId) -> usize {
        (0..32).find(|n| engine(*n) == *id).expect("an engine of the list")
    }

    fn action(&mut self, now: Milliseconds, action: &Action) {
        match action {
            Action::Send { id, engine, timeout } => self.send(now, id.0, Self::index(engine), *timeout),
            Action::Reject { id, retry_after, .. } => {
                assert!(*retry_after <= self.settings.max_retry_after, "advice that is not allowed");
                let request = self.requests.get_mut(&id.0).expect("a request of ours");
                assert!(request.answered.is_none(), "rule 1: two answers");
                let may_have_run_before = request.sent.iter().any(|attempt| may_have_run(&attempt.outcome));
                match self.settings.classes[request.details.class.0].idempotency {
                    Idempotency::NotIdempotent => {
                        assert!(!may_have_run_before, "rule 2: refused what may have run");
                    }
                    Idempotency::Keyed { scope, .. } => {
                        assert!(scope == Scope::All || !may_have_run_before, "rule 2: refused a keyed one");
                    }
                    Idempotency::Idempotent => {}
                }
                request.answered = Some(now);
            }
            Action::Fail { id } => {
                let request = self.requests.get_mut(&id.0).expect("a request of ours");
                assert!(request.answered.is_none(), "rule 1: two answers");
                request.answered = Some(now);
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.may_cancel);
                assert!(self.requests[&id.0].sent.len() > *attempt as usize);
            }
            Action::CheckHealth { .. } => assert!(self.settings.may_check_health),
            Action::Terms { .. } | Action::Timer { .. } | Action::Watch => {}
        }
    }

    fn send(&mut self, now: Milliseconds, id: u64, to: usize, timeout: Milliseconds) {
        let entry = member(to);
        if let Some(drained) = self.drained_at.get(&to) {
            assert!(now <= drained + self.settings.drain_grace, "rule 3: sent to one that drains");
        }
        let request = &self.requests[&id];
        let class = self.settings.classes[request.details.class.0].clone();
        assert!(request.answered.is_none(), "rule 1: sent after the end");
        assert!(request.sent.len() < self.settings.max_attempts as usize, "send cap");
        if let Some(kinds) = &class.kinds {
            assert!(kinds.contains(&entry.kind.expect("kind")), "rule 6: kind");
        }
        if let Some(zones) = &class.zones {
            assert!(zones.contains(&entry.zone.expect("zone")), "rule 6: zone");
        }
        let in_flight = request.sent.iter().filter(|attempt| attempt.outcome.is_none()).count();
        assert!(self.settings.may_hedge || in_flight == 0, "rule 2: two at once");
        for attempt in request.sent.iter().filter(|attempt| may_have_run(&attempt.outcome)) {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("rule 2: unsafe sent again"),
                Idempotency::Keyed { scope, window } => {
                    let old = member(attempt.engine);
                    let same = match scope {
                        Scope::All => true,
                        Scope::Zone => old.zone == entry.zone,
                        Scope::Cell => old.cell == entry.cell,
                    };
                    assert!(
                        same && now <= attempt.at + window,
                        "rule 2: keyed sent out of its group or window"
                    );
                }
            }
        }
        if let (true, Some(key)) = (class.ordered, request.details.key) {
            let is_retry = !request.sent.is_empty();
            for earlier_id in self.order[&key.0].iter().take_while(|earlier| **earlier != id) {
                let earlier = &self.requests[earlier_id];
                assert!(earlier.answered.is_some(), "rule 5: an earlier one is unfinished");
                for attempt in &earlier.sent {
                    let (at, result) = attempt.outcome.expect("rule 5: an earlier attempt is out");
                    if matches!(result, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                        assert!(
                            is_retry || now >= at + self.settings.ordered_key_pause,
                            "rule 5: the key rests"
                        );
                    }
                }
            }
        }
        if !request.sent.is_empty() {
            self.retries.push(now);
            if let Some(retry_budget) = self.settings.retry_budget {
                let recent = |list: &[Milliseconds]| {
                    list.iter().filter(|t| **t > now - retry_budget.span).count() as f64
                };
                let max_retries = retry_budget.free + retry_budget.per_request * recent(&self.received_times);
                assert!(recent(&self.retries) <= max_retries, "rule 7: ration");
            }
        }
        if self.started_at.get(&to).is_some_and(|t| now < t + self.settings.slow_start_duration) {
            // This gateway's share of the budget, at full capacity and at least 20 ms of work a query.
            let slow_start_sends = self.slow_start_sends.entry(to).or_default();
            slow_start_sends.push((now, id));
            let recent = slow_start_sends
                .iter()
                .filter(|(t, _)| *t > now - self.settings.overload_collapse_after)
                .count() as f64;
            let share =
                self.settings.overload_collapse_multiple * 8.0 * self.settings.overload_collapse_after
                    / self.settings.gateways as f64;
            assert!(recent * 20.0 <= share, "rule 4: a burst into a cold engine");
        }
        let request = self.requests.get_mut(&id).expect("known");
        assert!(
            timeout >= 0.0 && now + timeout <= request.details.deadline + 1e-6,
            "time-out past the deadline"
        );
        request.sent.push(SentAttempt { at: now, engine: to, timeout, outcome: None });
    }
}

fn varied_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut settings = default_settings();
    settings.seed = rng.u64(..);
    settings.gateways = rng.usize(1..6);
    settings.may_hedge = rng.bool();
    settings.may_cancel = rng.bool();
    settings.may_check_health = rng.bool();
    settings.priorities = rng.bool();
    settings.grants = rng.bool();
    settings.max_attempts = rng.u32(1..6);
    settings.subscribes_to_endpoints = rng.bool();
    settings.reporting = [Reporting::Answers, Reporting::Probes, Reporting::Never][rng.usize(..3)];
    let span = [2_000.0, 5_000.0][rng.usize(..2)];
    settings.retry_budget =
        rng.bool().then_some(RetryBudgetSettings { free: rng.f64() * 4.0, per_request: 0.1, span });
    settings.drain_grace = [0.0, 250.0, 1_000.0][rng.usize(..3)];
    settings.overload_collapse_multiple = 2.5 + rng.f64();
    settings.max_retry_after = if rng.bool() { 1_000.0 } else { 0.0 };
    settings.ordered_key_pause = [0.0, 500.0][rng.usize(..2)];
    if rng.bool() {
        settings.tenants =
            (0..2).map(|i| Tenant { name: format!("t{i}"), quota_per_s: rng.f64() * 20.0 }).collect();
    }
    for class in &mut settings.classes {
        class.idempotency = match rng.u8(..5) {
            0 => Idempotency::NotIdempotent,
            1 => Idempotency::Keyed { scope: Scope::All, window: 800.0 },
            2 => Idempotency::Keyed { scope: Scope::Zone, window: 800.0 },
            3 => Idempotency::Keyed { scope: Scope::Cell, window: 800.0 },
            _ => Idempotency::Idempotent,
        };
        class.ordered = rng.u8(..3) == 0;
        class.kinds = (rng.u8(..4) == 0).then(|| vec![KindId(rng.usize(..2))]);
        class.zones = (rng.u8(..4) == 0).then(|| vec![ZoneId(rng.usize(..2))]);
        class.is_load = rng.u8(..5) == 0;
        class.waits_for_loads = rng.u8(..5) == 0;
    }
    settings
}

fn report(rng: &mut fastrand::Rng, reporting: Reporting) -> Option<LoadReport> {
    if reporting != Reporting::Answers {
        return None;
    }
    let counts = rng.bool();
    let odd = [f64::NAN, f64::INFINITY, -3.0, 1e300, 0.0];
    let mut value = || if rng.u8(..8) == 0 { odd[rng.usize(..5)] } else { rng.f64() * 20.0 };
    let (inflight, util) = (Some(value()), Some(value() / 20.0));
    let inflight = inflight.filter(|_| counts);
    Some(LoadReport { inflight, util, queue: None, memory: Some(value() / 20.0), disks: None })
}

fn play(seed: u64) -> (usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = varied_settings(&mut rng);
    let mut balancer = Balancer::new(settings.clone(), 0.0).expect("settings are good");
    let mut checker = Checker {
        settings: settings.clone(),
        requests: BTreeMap::new(),
        order: BTreeMap::new(),
        drained_at: BTreeMap::new(),
        started_at: BTreeMap::new(),
        received_times: Vec::new(),
        retries: Vec::new(),
        slow_start_sends: BTreeMap::new(),
    };
    let ok_share = 0.7 + 0.3 * rng.f64();
    let mut next = 0;
    let mut first = vec![Event::Members { complete: true, members: (0..6).map(member).collect() }];
    // After the last arrival a day continues past the longest deadline, 5,050 ms later.
    for cycle in 0..3_100 {
        let now = f64::from(cycle) * 5.0;
        let mut events = std::mem::take(&mut first);
        if rng.u8(..60) == 0 {
            let n = rng.usize(..6);
            let mut entry = member(n);
            entry.availability = [Availability::Live, Availability::Draining, Availability::Removed]
                [rng.usize(..5).saturating_sub(2)];
            if entry.availability == Availability::Live {
                checker.drained_at.remove(&n);
                if rng.bool() {
                    entry.started = Some(now);
                    checker.started_at.insert(n, now);
                    checker.slow_start_sends.remove(&n);
                }
            } else {
                checker.drained_at.entry(n).or_insert(now);
            }
            // Later updates of an engine keep the time of its start.
            entry.started = checker.started_at.get(&n).copied();
            events.push(Event::Members { complete: false, members: vec![entry] });
        }
        if rng.u8(..100) == 0 {
            events.push(Event::ListFailed);
            events.push(Event::Peer((0..rng.usize(..300)).map(|_| rng.u8(..)).collect()));
        }
        // The gateway is killed and restarts with its last list; clients retry what was in flight.
        if cycle == 1_200 && seed.is_multiple_of(3) {
            balancer = Balancer::new(Settings { seed: rng.u64(..), ..settings.clone() }, now).expect("good");
            for request in checker.requests.values_mut() {
                request.answered.get_or_insert(now);
                request.sent.iter_mut().for_each(|attempt| {
                    attempt.outcome = attempt.outcome.or(Some((now, Outcome::NotExecuted)));
                });
            }
            (checker.received_times, checker.retries) = (Vec::new(), Vec::new());
            checker.order.clear();
            let members = (0..6).map(|n| {
                let down = checker.drained_at.contains_key(&n);
                let availability = if down { Availability::Draining } else { Availability::Live };
                Member { availability, started: checker.started_at.get(&n).copied(), ..member(n) }
            });
            events = vec![Event::Members { complete: true, members: members.collect() }];
        }
        while cycle < 2_000 && rng.u8(..10) == 0 {
            let class = rng.usize(..2);
            let mut details =
                incoming(next, class, now + 50.0 + rng.f64() * settings.classes[class].client_timeout / 4.0);
            details.key = (settings.classes[class].ordered && rng.bool()).then(|| OrderKey(rng.u64(..3)));
            details.tenant = (!settings.tenants.is_empty()).then(|| TenantId(rng.usize(..2)));
            details.data = Some(DataSet(rng.u64(..4)));
            details.work = rng.bool().then(|| rng.f64() * 1_000.0);
            details.memory_mb = rng.bool().then(|| rng.f64() * 900.0);
            if let Some(key) = details.key {
                checker.order.entry(key.0).or_default().push(next);
            }
            checker.received_times.push(now);
            checker.requests.insert(
                next,
                SeenRequest { details: details.clone(), received_at: now, answered: None, sent: vec![] },
            );
            events.push(Event::Request(details));
            next += 1;
        }
        // Some attempts end; all do by their timeout.
        for (id, request) in &mut checker.requests {
            let mut closed = request.answered.is_some();
            for (number, attempt) in
                request.sent.iter_mut().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
            {
                let late = now >= attempt.at + attempt.timeout;
                if !late && rng.u8(..20) != 0 {
                    continue;
                }
                let result = if late {
                    Outcome::Timeout
                } else if rng.f64() < ok_share {
                    Outcome::Ok
                } else {
                    [Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset][rng.usize(..4)]
                };
                attempt.outcome = Some((now, result));
                if result == Outcome::Ok && !closed {
                    request.answered = Some(now);
                    closed = true;
                }
                events.push(Event::Outcome {
                    id: RequestId(*id),
                    attempt: number as u32,
                    engine: engine(attempt.engine),
                    outcome: result,
                    took: now - attempt.at,
                    over: closed,
                    work: None,
                    report: report(&mut rng, settings.reporting),
                });
            }
            if request.answered.is_none() && rng.u16(..4_000) == 0 {
                request.answered = Some(now);
                events.push(Event::ClientDisconnected(RequestId(*id)));
            }
        }
        events.push(Event::Timer(0));
        let mut actions = Vec::new();
        balancer.run_cycle(now, &events, &mut actions);
        for action in &actions {
            checker.action(now, action);
        }
        for request in checker.requests.values() {
            let due = request.details.deadline + settings.answer_grace;
            assert!(
                request.answered.is_some() || now < due,
                "rule 1: taken at {}, no answer",
                request.received_at
            );
        }
    }
    let sent = checker.requests.values().map(|request| request.sent.len()).sum();
    assert_eq!(balancer.open_requests(), 0, "something is kept for what is over");
    (checker.requests.len(), sent)
}

#[test]
fn rules_hold_on_arbitrary_days() {
    let (mut received, mut sent) = (0, 0);
    for seed in 0..120 {
        let day = std::panic::catch_unwind(|| play(seed));
        let (t, n) = day.unwrap_or_else(|_| panic!("day {seed} broke a rule"));
        received += t;
        sent += n;
    }
    assert!(received > 10_000 && sent > received / 6, "days were idle: {received} received, {sent} sent");
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut balancer = Balancer::new(default_settings(), 0.0).expect("settings are good");
        let mut all = Vec::new();
        balancer.run_cycle(0.0, &[common::fleet(5)], &mut all);
        for i in 0..200_u64 {
            let now = i as f64 * 7.0;
            let details = incoming(i, (i % 7 == 0).into(), now + 900.0);
            balancer.run_cycle(now, &[Event::Request(details), Event::Timer(0)], &mut all);
        }
        all
    };
    assert_eq!(run(), run());
}

//! Arbitrary legal days under varied settings, judged by a checker that knows only the rules.

mod common;

use common::{engine, incoming, member, settings};
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

struct Seen {
    asked: RequestDetails,
    taken: Milliseconds,
    answered: Option<Milliseconds>,
    sent: Vec<SentAttempt>,
}

/// The rules, written down anew from their wording.
struct Checker {
    s: Settings,
    requests: BTreeMap<u64, Seen>,
    order: BTreeMap<u64, Vec<u64>>,
    told_down: BTreeMap<usize, Milliseconds>,
    started: BTreeMap<usize, Milliseconds>,
    taken: Vec<Milliseconds>,
    extra: Vec<Milliseconds>,
    cold: BTreeMap<usize, Vec<(Milliseconds, u64)>>,
}

fn ran(o: &Option<(Milliseconds, Outcome)>) -> bool {
    !matches!(o, Some((_, Outcome::Full | Outcome::ConnectFailed | Outcome::NotExecuted)))
}

impl Checker {
    fn index(id: &EngineId) -> usize {
        (0..32).find(|n| engine(*n) == *id).expect("an engine of the list")
    }

    fn action(&mut self, now: Milliseconds, action: &Action) {
        match action {
            Action::Send { id, engine, timeout } => self.send(now, id.0, Self::index(engine), *timeout),
            Action::Reject { id, retry_after, .. } => {
                assert!(*retry_after <= self.s.max_retry_after, "advice that is not allowed");
                let r = self.requests.get_mut(&id.0).expect("a request of ours");
                assert!(r.answered.is_none(), "rule 1: two answers");
                let maybe = r.sent.iter().any(|a| ran(&a.outcome));
                match self.s.classes[r.asked.class.0].idempotency {
                    Idempotency::NotIdempotent => assert!(!maybe, "rule 2: refused what may have run"),
                    Idempotency::Keyed { scope, .. } => {
                        assert!(scope == Scope::All || !maybe, "rule 2: refused a keyed one")
                    }
                    Idempotency::Idempotent => {}
                }
                r.answered = Some(now);
            }
            Action::Fail { id } => {
                let r = self.requests.get_mut(&id.0).expect("a request of ours");
                assert!(r.answered.is_none(), "rule 1: two answers");
                r.answered = Some(now);
            }
            Action::Cancel { id, attempt } => {
                assert!(self.s.may_cancel);
                assert!(self.requests[&id.0].sent.len() > *attempt as usize);
            }
            Action::CheckHealth { .. } => assert!(self.s.may_check_health),
            Action::Terms { .. } | Action::Timer { .. } | Action::Watch => {}
        }
    }

    fn send(&mut self, now: Milliseconds, id: u64, to: usize, timeout: Milliseconds) {
        let m = member(to);
        if let Some(told) = self.told_down.get(&to) {
            assert!(now <= told + self.s.drain_grace, "rule 3: sent to one that drains");
        }
        let r = &self.requests[&id];
        let c = self.s.classes[r.asked.class.0].clone();
        assert!(r.answered.is_none(), "rule 1: sent after the end");
        assert!(r.sent.len() < self.s.max_attempts as usize, "send cap");
        if let Some(kinds) = &c.kinds {
            assert!(kinds.contains(&m.kind.expect("kind")), "rule 6: kind");
        }
        if let Some(zones) = &c.zones {
            assert!(zones.contains(&m.zone.expect("zone")), "rule 6: zone");
        }
        let out = r.sent.iter().filter(|a| a.outcome.is_none()).count();
        assert!(self.s.may_hedge || out == 0, "rule 2: two at once");
        for a in r.sent.iter().filter(|a| ran(&a.outcome)) {
            match c.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("rule 2: unsafe sent again"),
                Idempotency::Keyed { scope, window } => {
                    let old = member(a.engine);
                    let same = match scope {
                        Scope::All => true,
                        Scope::Zone => old.zone == m.zone,
                        Scope::Cell => old.cell == m.cell,
                    };
                    assert!(same && now <= a.at + window, "rule 2: keyed sent out of its group or window");
                }
            }
        }
        if let (true, Some(key)) = (c.ordered, r.asked.key) {
            let own = !r.sent.is_empty();
            for before in self.order[&key.0].iter().take_while(|b| **b != id) {
                let b = &self.requests[before];
                assert!(b.answered.is_some(), "rule 5: an earlier one is unfinished");
                for a in &b.sent {
                    let (at, how) = a.outcome.expect("rule 5: an earlier attempt is out");
                    if matches!(how, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                        assert!(own || now >= at + self.s.ordered_key_pause, "rule 5: the key rests");
                    }
                }
            }
        }
        if !r.sent.is_empty() {
            self.extra.push(now);
            if let Some(retry_budget) = self.s.retry_budget {
                let recent = |list: &[Milliseconds]| {
                    list.iter().filter(|t| **t > now - retry_budget.span).count() as f64
                };
                let most = retry_budget.free + retry_budget.per_request * recent(&self.taken);
                assert!(recent(&self.extra) <= most, "rule 7: ration");
            }
        }
        if self.started.get(&to).is_some_and(|t| now < t + self.s.slow_start_duration) {
            // Our part of the budget, at the capacity after its start and at least a millisecond a query.
            let cold = self.cold.entry(to).or_default();
            cold.push((now, id));
            let recent =
                cold.iter().filter(|(t, _)| *t > now - self.s.overload_collapse_after).count() as f64;
            let part = self.s.overload_collapse_multiple * 8.0 * self.s.overload_collapse_after
                / self.s.gateways as f64;
            assert!(recent * 20.0 <= part, "rule 4: a burst into a cold engine");
        }
        let r = self.requests.get_mut(&id).expect("known");
        assert!(timeout >= 0.0 && now + timeout <= r.asked.deadline + 1e-6, "time-out past the deadline");
        r.sent.push(SentAttempt { at: now, engine: to, timeout, outcome: None });
    }
}

fn varied(rng: &mut fastrand::Rng) -> Settings {
    let mut s = settings();
    s.seed = rng.u64(..);
    s.gateways = rng.usize(1..6);
    s.may_hedge = rng.bool();
    s.may_cancel = rng.bool();
    s.may_check_health = rng.bool();
    s.priorities = rng.bool();
    s.grants = rng.bool();
    s.max_attempts = rng.u32(1..6);
    s.subscribes_to_endpoints = rng.bool();
    s.reporting = [Reporting::Answers, Reporting::Probes, Reporting::Never][rng.usize(..3)];
    let span = [2_000.0, 5_000.0][rng.usize(..2)];
    s.retry_budget =
        rng.bool().then_some(RetryBudgetSettings { free: rng.f64() * 4.0, per_request: 0.1, span });
    s.drain_grace = [0.0, 250.0, 1_000.0][rng.usize(..3)];
    s.overload_collapse_multiple = 2.5 + rng.f64();
    s.max_retry_after = if rng.bool() { 1_000.0 } else { 0.0 };
    s.ordered_key_pause = [0.0, 500.0][rng.usize(..2)];
    if rng.bool() {
        s.tenants = (0..2).map(|i| Tenant { name: format!("t{i}"), quota_per_s: rng.f64() * 20.0 }).collect();
    }
    for c in &mut s.classes {
        c.idempotency = match rng.u8(..5) {
            0 => Idempotency::NotIdempotent,
            1 => Idempotency::Keyed { scope: Scope::All, window: 800.0 },
            2 => Idempotency::Keyed { scope: Scope::Zone, window: 800.0 },
            3 => Idempotency::Keyed { scope: Scope::Cell, window: 800.0 },
            _ => Idempotency::Idempotent,
        };
        c.ordered = rng.u8(..3) == 0;
        c.kinds = (rng.u8(..4) == 0).then(|| vec![KindId(rng.usize(..2))]);
        c.zones = (rng.u8(..4) == 0).then(|| vec![ZoneId(rng.usize(..2))]);
        c.is_load = rng.u8(..5) == 0;
        c.waits_for_loads = rng.u8(..5) == 0;
    }
    s
}

fn report(rng: &mut fastrand::Rng, how: Reporting) -> Option<LoadReport> {
    if how != Reporting::Answers {
        return None;
    }
    let counts = rng.bool();
    let odd = [f64::NAN, f64::INFINITY, -3.0, 1e300, 0.0];
    let mut figure = || if rng.u8(..8) == 0 { odd[rng.usize(..5)] } else { rng.f64() * 20.0 };
    let (inflight, util) = (Some(figure()), Some(figure() / 20.0));
    let inflight = inflight.filter(|_| counts);
    Some(LoadReport { inflight, util, queue: None, memory: Some(figure() / 20.0), disks: None })
}

fn play(seed: u64) -> (usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let s = varied(&mut rng);
    let mut balancer = Balancer::new(s.clone(), 0.0).expect("settings are good");
    let mut check = Checker {
        s: s.clone(),
        requests: BTreeMap::new(),
        order: BTreeMap::new(),
        told_down: BTreeMap::new(),
        started: BTreeMap::new(),
        taken: Vec::new(),
        extra: Vec::new(),
        cold: BTreeMap::new(),
    };
    let ok_share = 0.7 + 0.3 * rng.f64();
    let mut next = 0;
    let mut first = vec![Event::Members { complete: true, members: (0..6).map(member).collect() }];
    // After the last arrival a day runs on past the longest deadline, 5,050 ms later.
    for turn in 0..3_100 {
        let now = f64::from(turn) * 5.0;
        let mut events = std::mem::take(&mut first);
        if rng.u8(..60) == 0 {
            let n = rng.usize(..6);
            let mut m = member(n);
            m.availability = [Availability::Live, Availability::Draining, Availability::Removed]
                [rng.usize(..5).saturating_sub(2)];
            if m.availability == Availability::Live {
                check.told_down.remove(&n);
                if rng.bool() {
                    m.started = Some(now);
                    check.started.insert(n, now);
                    check.cold.remove(&n);
                }
            } else {
                check.told_down.entry(n).or_insert(now);
            }
            // Later news of an engine keeps the time it started.
            m.started = check.started.get(&n).copied();
            events.push(Event::Members { complete: false, members: vec![m] });
        }
        if rng.u8(..100) == 0 {
            events.push(Event::ListFailed);
            events.push(Event::Peer((0..rng.usize(..300)).map(|_| rng.u8(..)).collect()));
        }
        // The gateway is killed and comes back with its last list; what it held is the clients' to retry.
        if turn == 1_200 && seed.is_multiple_of(3) {
            balancer = Balancer::new(Settings { seed: rng.u64(..), ..s.clone() }, now).expect("good");
            for r in check.requests.values_mut() {
                r.answered.get_or_insert(now);
                r.sent.iter_mut().for_each(|a| a.outcome = a.outcome.or(Some((now, Outcome::NotExecuted))));
            }
            (check.taken, check.extra) = (Vec::new(), Vec::new());
            check.order.clear();
            let listed = (0..6).map(|n| {
                let down = check.told_down.contains_key(&n);
                let availability = if down { Availability::Draining } else { Availability::Live };
                Member { availability, started: check.started.get(&n).copied(), ..member(n) }
            });
            events = vec![Event::Members { complete: true, members: listed.collect() }];
        }
        while turn < 2_000 && rng.u8(..10) == 0 {
            let class = rng.usize(..2);
            let mut asked =
                incoming(next, class, now + 50.0 + rng.f64() * s.classes[class].client_timeout / 4.0);
            asked.key = (s.classes[class].ordered && rng.bool()).then(|| OrderKey(rng.u64(..3)));
            asked.tenant = (!s.tenants.is_empty()).then(|| TenantId(rng.usize(..2)));
            asked.data = Some(DataSet(rng.u64(..4)));
            asked.work = rng.bool().then(|| rng.f64() * 1_000.0);
            asked.memory_mb = rng.bool().then(|| rng.f64() * 900.0);
            if let Some(key) = asked.key {
                check.order.entry(key.0).or_default().push(next);
            }
            check.taken.push(now);
            check
                .requests
                .insert(next, Seen { asked: asked.clone(), taken: now, answered: None, sent: vec![] });
            events.push(Event::Request(asked));
            next += 1;
        }
        // Some attempts end; all do by their time-out.
        for (id, r) in &mut check.requests {
            let mut over = r.answered.is_some();
            for (no, a) in r.sent.iter_mut().enumerate().filter(|(_, a)| a.outcome.is_none()) {
                let late = now >= a.at + a.timeout;
                if !late && rng.u8(..20) != 0 {
                    continue;
                }
                let how = if late {
                    Outcome::Timeout
                } else if rng.f64() < ok_share {
                    Outcome::Ok
                } else {
                    [Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset][rng.usize(..4)]
                };
                a.outcome = Some((now, how));
                if how == Outcome::Ok && !over {
                    r.answered = Some(now);
                    over = true;
                }
                events.push(Event::Outcome {
                    id: RequestId(*id),
                    attempt: no as u32,
                    engine: engine(a.engine),
                    outcome: how,
                    took: now - a.at,
                    over,
                    work: None,
                    report: report(&mut rng, s.reporting),
                });
            }
            if r.answered.is_none() && rng.u16(..4_000) == 0 {
                r.answered = Some(now);
                events.push(Event::ClientDisconnected(RequestId(*id)));
            }
        }
        events.push(Event::Timer(0));
        let mut actions = Vec::new();
        balancer.turn(now, &events, &mut actions);
        for action in &actions {
            check.action(now, action);
        }
        for r in check.requests.values() {
            let due = r.asked.deadline + s.answer_grace;
            assert!(r.answered.is_some() || now < due, "rule 1: taken at {}, no answer", r.taken);
        }
    }
    let sent = check.requests.values().map(|r| r.sent.len()).sum();
    assert_eq!(balancer.open_requests(), 0, "something is kept for what is over");
    (check.requests.len(), sent)
}

#[test]
fn rules_hold_on_arbitrary_days() {
    let (mut taken, mut sent) = (0, 0);
    for seed in 0..120 {
        let day = std::panic::catch_unwind(|| play(seed));
        let (t, n) = day.unwrap_or_else(|_| panic!("day {seed} broke a rule"));
        taken += t;
        sent += n;
    }
    assert!(taken > 10_000 && sent > taken / 6, "days were idle: {taken} taken, {sent} sent");
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut balancer = Balancer::new(settings(), 0.0).expect("settings are good");
        let mut all = Vec::new();
        balancer.turn(0.0, &[common::fleet(5)], &mut all);
        for i in 0..200_u64 {
            let now = i as f64 * 7.0;
            let asked = incoming(i, (i % 7 == 0).into(), now + 900.0);
            balancer.turn(now, &[Event::Request(asked), Event::Timer(0)], &mut all);
        }
        all
    };
    assert_eq!(run(), run());
}

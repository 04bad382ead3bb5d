//! Two hundred reducers before one stand-in fleet, in virtual time and on one seed: what no gateway can see alone, the
//! sums over all of them, keeps the rules while engines drain, start cold and fall silent and gateways are killed.

mod common;

use common::settings;
use starlingplank::core::{AttemptEnd, AttemptId, ClientRequest, Core, Effect, Endpoint, Event, Statement};
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;
use std::rc::Rc;

const GATEWAYS: usize = 200;
const ENGINES: usize = 24;
const CORES: f64 = 8.0;
const STEP: Milliseconds = 20.0;
const BEGIN: Milliseconds = 100_000.0;
const DRAIN: Milliseconds = BEGIN + 4_000.0;
const COLD: Milliseconds = BEGIN + 5_000.0;
const KILL: Milliseconds = BEGIN + 8_000.0;
const SILENT: (Milliseconds, Milliseconds) = (BEGIN + 10_000.0, BEGIN + 12_000.0);
const LAST: Milliseconds = BEGIN + 14_000.0;
const END: Milliseconds = BEGIN + 35_000.0;

/// An engine that shares its cores among all that it was sent; past two threads a core the total falls.
#[derive(Default)]
struct Engine {
    /// By gateway, its life, and attempt: threads and work left.
    running: BTreeMap<(usize, u32, AttemptId), (f64, f64, f64)>,
    util: f64,
}

impl Engine {
    fn threads(&self) -> f64 {
        self.running.values().map(|r| r.0).sum()
    }

    /// Works for a step and returns what it finished, with its whole work.
    fn work(&mut self, capacity: f64) -> Vec<((usize, u32, AttemptId), f64)> {
        let threads = self.threads();
        let total = capacity * (2.0 * CORES / threads.max(1.0)).min(1.0).powi(2);
        let each = (total / threads.max(1e-9)).min(1.0);
        self.util = each * threads / CORES;
        self.running.values_mut().for_each(|r| r.1 -= each * r.0 * STEP);
        let done: Vec<_> = self.running.iter().filter(|(_, r)| r.1 <= 0.0).map(|(k, r)| (*k, r.2)).collect();
        self.running.retain(|_, r| r.1 > 0.0);
        done
    }
}

/// One request that a living gateway took.
struct Taken {
    work: f64,
    threads: f64,
    deadline: Milliseconds,
    out: u32,
    answered: u32,
}

struct Gateway {
    core: Core,
    life: u32,
    events: Vec<Event>,
    requests: BTreeMap<RequestId, Taken>,
    /// When it hears of each list, and which it has.
    told: [Milliseconds; 2],
    heard: usize,
    taken: Vec<Milliseconds>,
    extras: Vec<Milliseconds>,
}

impl Gateway {
    fn start(gateway_index: usize, seed: u64, now: Milliseconds, told: [Milliseconds; 2]) -> Self {
        let retry_budget = Some(RetryBudgetSettings { free: 2.0, per_request: 0.2, span: 10_000.0 });
        let s = Settings {
            seed,
            gateways: GATEWAYS,
            gateway_index: Some(gateway_index as u64),
            retry_budget,
            drain_grace: 2_000.0,
            ..settings()
        };
        let s = Settings { may_cancel: true, may_check_health: true, ..s };
        let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
        let core = Core::new(s, limits, now).expect("sound");
        let heard = told.iter().filter(|t| **t <= now).count();
        let events = vec![Event::EndpointList { version: 1 + heard as u64, endpoints: list(heard) }];
        let (requests, taken, extras) = (BTreeMap::new(), Vec::new(), Vec::new());
        Self { core, life: 0, events, requests, told, heard, taken, extras }
    }
}

fn id(n: usize) -> EngineId {
    EngineId(format!("s-{n:02}").into())
}

/// The list at the start, with the first engine draining, and with a new one that has just started.
fn list(version: usize) -> Vec<Endpoint> {
    let engine = |n: usize| Endpoint {
        member: Member {
            engine: id(n),
            zone: Some(ZoneId(n % 2)),
            kind: Some(KindId(0)),
            cell: 0,
            availability: if n == 0 && version > 0 { Availability::Draining } else { Availability::Live },
            started: (n == ENGINES).then_some(COLD),
        },
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    (0..ENGINES + usize::from(version > 1)).map(engine).collect()
}

/// Most in any span of that length, of what came at those times.
fn most(sent: &[(Milliseconds, f64)], span: Milliseconds) -> f64 {
    let from = |t: Milliseconds| sent.iter().filter(|x| x.0 >= t && x.0 < t + span).map(|x| x.1).sum();
    sent.iter().map(|x| from(x.0)).fold(0.0, f64::max)
}

#[test]
fn what_two_hundred_gateways_do_together_keeps_drains_the_cold_budget_and_the_ration() {
    let mut rng = fastrand::Rng::with_seed(5);
    let told = |rng: &mut fastrand::Rng| [DRAIN + 1_500.0 * rng.f64(), COLD + 1_500.0 * rng.f64()];
    let mut gateways: Vec<Gateway> =
        (0..GATEWAYS).map(|g| Gateway::start(g, g as u64, BEGIN, told(&mut rng))).collect();
    let mut engines: BTreeMap<EngineId, Engine> = (0..=ENGINES).map(|n| (id(n), Engine::default())).collect();
    let (mut to_cold, mut crowd, mut sends, mut served) = (Vec::new(), 0.0_f64, 0, 0);
    let (mut next, mut now) = (1, BEGIN);
    while now < END {
        if now == KILL {
            for g in (0..GATEWAYS).filter(|g| g % 10 < 7) {
                let old = &gateways[g];
                let life = old.life + 1;
                gateways[g] = Gateway { life, ..Gateway::start(g, 1_000 + g as u64, now, old.told) };
                engines.values_mut().for_each(|e| e.running.retain(|k, _| k.0 != g));
            }
        }
        for (n, e) in engines.values_mut().enumerate() {
            let warmth =
                if n == ENGINES { (0.3 + 0.7 * (now - COLD) / 15_000.0).clamp(0.3, 1.0) } else { 1.0 };
            if n == 3 && (SILENT.0..SILENT.1).contains(&now) {
                continue;
            }
            let util =
                Some(LoadReport { util: Some((e.util * 20.0).round() / 20.0), ..LoadReport::default() });
            for ((g, life, attempt), work) in e.work(CORES * warmth) {
                let end = AttemptEnd { work: Some(work), report: util, ..AttemptEnd::plain(Outcome::Ok) };
                if gateways[g].life == life {
                    gateways[g].events.push(Event::AttemptEnded(attempt, end));
                    gateways[g].requests.entry(attempt.request).and_modify(|r| r.out -= 1);
                }
            }
        }
        if now < BEGIN + 3_000.0 {
            crowd = crowd.max(engines.values().map(Engine::threads).sum::<f64>() / (ENGINES as f64 * CORES));
        }
        for (g, gateway) in gateways.iter_mut().enumerate() {
            while gateway.heard < 2 && now >= gateway.told[gateway.heard] {
                gateway.heard += 1;
                let version = 1 + gateway.heard as u64;
                gateway.events.push(Event::EndpointList { version, endpoints: list(gateway.heard) });
            }
            // Three queries a second each, one in ten of them long, are 0.6 of the fleet's capacity; 1.5 at first.
            let rate = if now < BEGIN + 3_000.0 { 7.5 } else { 3.0 };
            if now < LAST && rng.f64() < rate * STEP / 1_000.0 {
                let long = rng.f64() < 0.1;
                let (work, threads, limit) =
                    if long { (1_200.0, 4.0, 12_000.0) } else { (80.0, 1.0, 2_000.0) };
                let work = work * (0.5 + rng.f64());
                let deadline = now + limit;
                let asked = RequestDetails {
                    id: RequestId(next),
                    class: ClassId(usize::from(long)),
                    tenant: None,
                    key: None,
                    deadline,
                    work: Some(work),
                    memory_mb: None,
                    data: None,
                    is_retry: false,
                };
                next += 1;
                gateway.taken.push(now);
                gateway.requests.insert(asked.id, Taken { work, threads, deadline, out: 0, answered: 0 });
                gateway.events.push(Event::RequestReceived(ClientRequest {
                    details: asked,
                    statement: Rc::new(Statement::default()),
                }));
            }
            if gateway.events.is_empty() && gateway.core.next_due().is_none_or(|at| at > now) {
                continue;
            }
            let mut effects = Vec::new();
            for event in gateway.events.drain(..).chain([Event::TimersDue, Event::RunDecisionCycle]) {
                gateway.core.handle(now, event, &mut effects);
            }
            for effect in effects {
                match effect {
                    Effect::Send(s) => {
                        let late = gateway.told[0] + 2_000.0;
                        assert!(s.engine != id(0) || now <= late, "{now}: sent to an engine that drains");
                        let r = gateway.requests.get_mut(&s.id.request).expect("taken");
                        r.out += 1;
                        assert_eq!(
                            (r.out, r.answered),
                            (1, 0),
                            "{now}: two attempts, or one after the answer"
                        );
                        if s.id.number > 0 {
                            gateway.extras.push(now);
                        }
                        if s.engine == id(ENGINES) {
                            to_cold.push((now, r.work));
                        }
                        sends += 1;
                        let key = (g, gateway.life, s.id);
                        engines
                            .get_mut(&s.engine)
                            .expect("listed")
                            .running
                            .insert(key, (r.threads, r.work, r.work));
                    }
                    Effect::AbortAttempt { attempt, engine, .. } => {
                        let e = engines.get_mut(&engine).expect("listed");
                        if e.running.remove(&(g, gateway.life, attempt)).is_some() {
                            gateway.requests.entry(attempt.request).and_modify(|r| r.out -= 1);
                        }
                    }
                    Effect::Answer(request, answer) => {
                        let r = gateway.requests.get_mut(&request).expect("taken");
                        r.answered += 1;
                        assert!(now <= r.deadline + 20.0, "answered {} ms late", now - r.deadline);
                        served += u64::from(matches!(answer, starlingplank::core::Answer::Served(_)));
                    }
                    Effect::CheckHealth { number: tag, engine, .. } => {
                        let silent = engine == id(3) && (SILENT.0..SILENT.1).contains(&now);
                        let util = engines[&engine].util;
                        let report = Some(LoadReport { util: Some(util), ..LoadReport::default() });
                        gateway.events.extend((!silent).then_some(Event::HealthChecked(tag, true, report)));
                    }
                    _ => {}
                }
            }
        }
        now += STEP;
    }
    let unanswered = gateways.iter().flat_map(|g| g.requests.values()).filter(|r| r.answered != 1).count();
    assert_eq!(unanswered, 0, "each gets one final answer");
    for g in &gateways {
        for (n, at) in g.extras.iter().enumerate() {
            let spent = g.extras[..=n].iter().filter(|t| **t > at - 10_000.0).count();
            let earned = g.taken.iter().filter(|t| **t > at - 10_000.0 && *t <= at).count();
            assert!(spent as f64 <= 2.0 + 0.2 * earned as f64, "{spent} further attempts for {earned} taken");
        }
    }
    for span in to_cold.iter().map(|x| x.0) {
        let within: Vec<_> =
            to_cold.iter().filter(|x| x.0 >= span && x.0 < span + 2_000.0).copied().collect();
        let warmth = (0.3 + 0.7 * (span - COLD) / 15_000.0).min(1.0);
        let (work, budget) = (most(&within, 2_000.0), 3.0 * warmth * CORES * 2_000.0);
        assert!(work <= budget, "a cold engine got {work:.0} of {budget:.0} core ms");
    }
    // 15, and 1,104 served, where each gateway begins by taking itself for most of the traffic.
    assert!(crowd < 5.0, "{crowd:.2} threads a core while all begin");
    assert!(!to_cold.is_empty() && sends > 4_000, "{} to the cold engine, {sends} in all", to_cold.len());
    assert!(served > 5_400, "{served} of {next} were served");
}

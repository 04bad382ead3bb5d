//! What a decision and a step of the module cost as the fleet grows. In: the numbers of engines. Out: microseconds of
//! this machine's time, at each of them, beside those at the smallest. It runs the module alone, without sockets.

use crate::report::Figures;
use serde_json::json;
use starlingplank_decision::decide::Balancer;
use starlingplank_decision::interface::*;
use std::collections::BTreeMap;
use std::time::Instant;

type Failure = Box<dyn std::error::Error>;

/// Engines of the fleets that are compared; the first is the baseline.
const FLEETS: [usize; 4] = [8, 60, 240, 1_000];
/// Gateways for each engine, or one gateway alone, which meets all engines.
const GATEWAYS: [usize; 2] = [8, 0];
/// Queries out at any time.
const OUT: usize = 2;
const ROUNDS: usize = 4_000;

fn class(name: &str, latency_objective: Milliseconds, threads: f64) -> Class {
    Class {
        name: name.into(),
        latency_objective,
        latency_objective_stretch: 2.0,
        client_timeout: 10.0 * latency_objective,
        priority_weight: threads,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
        ordered: false,
        kinds: None,
        zones: None,
        threads,
        is_load: false,
        waits_for_loads: false,
    }
}

fn settings(gateways: usize, seed: u64) -> Settings {
    Settings {
        seed,
        gateways,
        gateway_index: Some(seed % gateways as u64),
        zone: Some(ZoneId(0)),
        classes: vec![class("lookup", 1_200.0, 1.0), class("report", 1_500.0, 3.0)],
        kinds: vec![Kind { name: "std-12".into(), cores: 12.0, memory_mb: 24_576.0 }],
        zones: vec!["a".into(), "b".into()],
        tenants: vec![],
        subscribes_to_endpoints: false,
        may_cancel: true,
        may_hedge: false,
        may_check_health: true,
        health_check_price: 0.01,
        max_retry_after: 1_000.0,
        max_attempts: 3,
        reporting: Reporting::Answers,
        answer_grace: 20.0,
        max_poll_interval: 10_000.0,
        drain_grace: 2_000.0,
        slow_start_from: 0.31,
        slow_start_duration: 15_000.0,
        overload_collapse_multiple: 3.0,
        overload_collapse_after: 2_000.0,
        retry_budget: Some(RetryBudgetSettings { free: 2.0, per_request: 0.2, span: 10_000.0 }),
        ordered_key_pause: 500.0,
        grants: true,
        max_grant_share: 0.4,
        priorities: true,
        tick: 5.0,
    }
}

/// Medians, in microseconds: a turn that takes a request, and a turn with a step of the control period. And how many of
/// the requests were sent in their turn: one that is not costs less.
fn measure(engines: usize, gateways: usize, seed: u64) -> Result<(f64, f64, usize), Failure> {
    let mut balancer = Balancer::new(settings(gateways, seed), 0.0)?;
    let member = |n: usize| Member {
        engine: EngineId(format!("s-{n:05}").as_str().into()),
        zone: Some(ZoneId(n % 2)),
        kind: Some(KindId(0)),
        cell: 0,
        availability: Availability::Live,
        started: None,
    };
    let mut actions = Vec::new();
    let list = Event::Members { complete: true, members: (0..engines).map(member).collect() };
    balancer.run_cycle(0.0, &[list], &mut actions);
    let (mut now, mut out) = (0.0, BTreeMap::<u64, EngineId>::new());
    let (mut decisions, mut steps, mut sent) = (Vec::new(), Vec::new(), 0);
    for id in 0..ROUNDS as u64 {
        // A step is due each 100 ms, and nothing else in its turn.
        now += 100.0;
        let timed = Instant::now();
        balancer.run_cycle(now, &[Event::Timer(0)], &mut actions);
        steps.push(timed.elapsed().as_secs_f64() * 1e6);
        actions.clear();
        let mut events = Vec::new();
        if out.len() >= OUT {
            let (id, engine) = out.pop_first().ok_or("none is out")?;
            let report = Some(LoadReport { util: Some(0.2), ..LoadReport::default() });
            events.push(Event::Outcome {
                id: RequestId(id),
                attempt: 0,
                engine,
                outcome: Outcome::Ok,
                took: 200.0,
                over: true,
                work: Some(180.0),
                report,
            });
        }
        balancer.run_cycle(now + 1.0, &events, &mut actions);
        actions.clear();
        let asked = RequestDetails {
            id: RequestId(id),
            class: ClassId(usize::from(id % 8 == 0)),
            tenant: None,
            key: None,
            deadline: now + 60_000.0,
            work: Some(180.0),
            memory_mb: Some(200.0),
            data: None,
            is_retry: false,
        };
        let timed = Instant::now();
        balancer.run_cycle(now + 2.0, &[Event::Request(asked)], &mut actions);
        decisions.push(timed.elapsed().as_secs_f64() * 1e6);
        for action in actions.drain(..) {
            if let Action::Send { id, engine, .. } = action {
                out.insert(id.0, engine);
                sent += 1;
            }
        }
    }
    let median = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times[times.len() / 2]
    };
    Ok((median(decisions), median(steps), sent))
}

/// Runs all fleets, as one of many gateways and as the only one.
pub fn run(seed: u64) -> Result<Figures, Failure> {
    let mut rows = Vec::new();
    for each in GATEWAYS {
        let mut base = None;
        for engines in FLEETS {
            let gateways = (each * engines).max(1);
            let (decision, step, sent) = measure(engines, gateways, seed)?;
            let (first, first_step) = *base.get_or_insert((decision, step));
            let linear = engines as f64 / FLEETS[0] as f64;
            rows.push(json!({
                "gateways": gateways,
                "engines": engines,
                "sent": sent,
                "decision_us": (decision * 10.0).round() / 10.0,
                "step_us": (step * 10.0).round() / 10.0,
                "decision_over_linear": (decision / first / linear * 100.0).round() / 100.0,
                "step_over_linear": (step / first_step / linear * 100.0).round() / 100.0,
            }));
        }
    }
    let json = json!({ "rows": rows, "rounds": ROUNDS, "out": OUT });
    Ok(Figures { json, chart: None })
}

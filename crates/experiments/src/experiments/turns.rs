//! `turns`: measures the time of a decision and of a step of the control period by the number of engines, relative to the smallest
//! number. Only the decision module runs, without sockets.

use crate::harness::Failure;
use crate::report::ExperimentResult;
use serde_json::json;
use starlingplank_decision::decide::Balancer;
use starlingplank_decision::interface::*;
use std::collections::BTreeMap;
use std::time::Instant;

/// Numbers of engines that are compared. The first is the baseline.
const ENGINE_COUNTS: [usize; 4] = [8, 60, 240, 1_000];
/// Numbers of gateways for each engine. 0 means a single gateway, which uses all engines.
const GATEWAYS_PER_ENGINE: [usize; 2] = [8, 0];
/// Number of requests that are kept in flight.
const MAX_IN_FLIGHT: usize = 2;
/// Number of requests, and of steps of the control period, in a measurement.
const ROUNDS: usize = 4_000;
/// Control period of the decision module, in milliseconds: one step is due in each period.
const CONTROL_PERIOD: Milliseconds = 100.0;

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
        machine_types: None,
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
        machine_types: vec![MachineType { name: "std-12".into(), cores: 12.0, memory_mb: 24_576.0 }],
        zones: vec!["a".into(), "b".into()],
        tenants: vec![],
        subscribes_to_endpoints: false,
        may_cancel: true,
        may_hedge: false,
        may_check_health: true,
        health_check_cost: 0.01,
        max_retry_after: 1_000.0,
        max_attempts: 3,
        answer_grace: 20.0,
        max_poll_interval: 10_000.0,
        drain_grace: 2_000.0,
        slow_start_initial_share: 0.31,
        slow_start_duration: 15_000.0,
        overload_collapse_multiple: 3.0,
        overload_collapse_after: 2_000.0,
        retry_budget: Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.2, window: 10_000.0 }),
        ordered_key_pause: 500.0,
        supports_memory_grants: true,
        max_grant_share: 0.4,
        supports_priorities: true,
        min_decision_interval: 5.0,
    }
}

/// Result of measuring one number of engines and gateways.
struct Measurement {
    /// Median time of a decision cycle that receives a request, in microseconds.
    decision_us: f64,
    /// Median time of a decision cycle with a step of the control period, in microseconds.
    step_us: f64,
    /// Number of requests that were sent in the cycle that received them. A cycle that sends no request takes less time.
    sent: usize,
}

/// Decision module of one gateway, and its in-flight requests with their engines.
struct MeasuredBalancer {
    balancer: Balancer,
    in_flight: BTreeMap<u64, EngineId>,
    actions: Vec<Action>,
}

impl MeasuredBalancer {
    fn new(engines: usize, gateways: usize, seed: u64) -> Result<Self, Failure> {
        let mut balancer = Balancer::new(settings(gateways, seed), 0.0)?;
        let mut actions = Vec::new();
        let list =
            Event::EndpointListReceived { complete: true, members: (0..engines).map(member).collect() };
        balancer.run_cycle(0.0, &[list], &mut actions);
        Ok(Self { balancer, in_flight: BTreeMap::new(), actions })
    }

    /// Runs a decision cycle and returns its time in microseconds.
    fn run_timed_cycle(&mut self, now: Milliseconds, events: &[Event]) -> f64 {
        let started_at = Instant::now();
        self.balancer.run_cycle(now, events, &mut self.actions);
        started_at.elapsed().as_secs_f64() * 1e6
    }

    /// Removes the oldest in-flight request and returns its outcome, if [`MAX_IN_FLIGHT`] requests are in flight.
    fn next_outcome(&mut self) -> Option<Event> {
        if self.in_flight.len() < MAX_IN_FLIGHT {
            return None;
        }
        let (id, engine) = self.in_flight.pop_first()?;
        Some(Event::Outcome {
            id: RequestId(id),
            attempt: 0,
            engine,
            outcome: Outcome::Ok,
            elapsed: 200.0,
            request_finished: true,
            work: Some(180.0),
            report: Some(LoadReport { util: Some(0.2), ..LoadReport::default() }),
        })
    }

    /// Records the requests that the last cycle has sent as in flight, and returns their number.
    fn record_sent(&mut self) -> usize {
        let mut sent = 0;
        for action in self.actions.drain(..) {
            if let Action::Send { id, engine, .. } = action {
                self.in_flight.insert(id.0, engine);
                sent += 1;
            }
        }
        sent
    }
}

fn member(number: usize) -> Member {
    Member {
        engine: EngineId(format!("s-{number:05}").as_str().into()),
        zone: Some(ZoneId(number % 2)),
        machine_type: Some(MachineTypeId(0)),
        cell: 0,
        availability: Availability::Live,
        started: None,
    }
}

fn request(id: u64, now: Milliseconds) -> RequestDetails {
    RequestDetails {
        id: RequestId(id),
        class: ClassId(usize::from(id.is_multiple_of(8))),
        tenant: None,
        key: None,
        deadline: now + 60_000.0,
        work: Some(180.0),
        memory_mb: Some(200.0),
        data: None,
        is_retry: false,
    }
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn measure(engines: usize, gateways: usize, seed: u64) -> Result<Measurement, Failure> {
    let mut measured = MeasuredBalancer::new(engines, gateways, seed)?;
    let (mut now, mut sent) = (0.0, 0);
    let (mut decisions, mut steps) = (Vec::new(), Vec::new());
    for id in 0..ROUNDS as u64 {
        now += CONTROL_PERIOD;
        steps.push(measured.run_timed_cycle(now, &[Event::Timer(0)]));
        measured.actions.clear();
        let outcome = measured.next_outcome();
        measured.run_timed_cycle(now + 1.0, outcome.as_slice());
        measured.actions.clear();
        let event = Event::Request(request(id, now));
        decisions.push(measured.run_timed_cycle(now + 2.0, &[event]));
        sent += measured.record_sent();
    }
    Ok(Measurement { decision_us: median(decisions), step_us: median(steps), sent })
}

/// Measures all numbers of engines, each for one of many gateways and for a single gateway.
pub(super) fn run(seed: u64) -> Result<ExperimentResult, Failure> {
    let mut rows = Vec::new();
    for gateways_per_engine in GATEWAYS_PER_ENGINE {
        let mut baseline = None;
        for engines in ENGINE_COUNTS {
            let gateways = (gateways_per_engine * engines).max(1);
            let Measurement { decision_us, step_us, sent } = measure(engines, gateways, seed)?;
            let (first_decision, first_step) = *baseline.get_or_insert((decision_us, step_us));
            let linear = engines as f64 / ENGINE_COUNTS[0] as f64;
            rows.push(json!({
                "gateways": gateways,
                "engines": engines,
                "sent": sent,
                "decision_us": (decision_us * 10.0).round() / 10.0,
                "step_us": (step_us * 10.0).round() / 10.0,
                "decision_over_linear": (decision_us / first_decision / linear * 100.0).round() / 100.0,
                "step_over_linear": (step_us / first_step / linear * 100.0).round() / 100.0,
            }));
        }
    }
    let json = json!({ "rows": rows, "rounds": ROUNDS, "out": MAX_IN_FLIGHT });
    Ok(ExperimentResult { json, chart: None })
}

//! Evaluation of a run: its metrics and violations, computed from what the test doubles and the clients recorded. Times are in seconds
//! since the start of the run.

use super::clients::{AttemptRecord, MAX_ATTEMPTS};
use super::run::{FleetResult, FleetRun, TimeSeries};
use super::setup::service_script;
use crate::ledger::{self, ClientAttempt};
use serde_json::{json, Value};
use starlingplank_test_doubles::engine::Arrival;
use starlingplank_test_doubles::name_service::{ReceivedQuery, SentAnswer};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Maximum difference between the clocks of the name service and of the relays, in seconds.
const CLOCK_TOLERANCE: f64 = 0.01;
/// Span over which excess work makes a cold engine collapse, in seconds. The work received in this span before a collapse is attributed
/// to gateways.
const COLLAPSE_SPAN: f64 = 2.0;
/// Share of the work from gateways notified of an engine's start above which the engine's collapse is a violation, as stated in the
/// operators' documentation.
const MAX_NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// Records of the test doubles and the clients. Times are in seconds since the start of the run.
struct Observations {
    queries: Vec<ReceivedQuery>,
    arrivals: Vec<Vec<Arrival>>,
    attempts: Vec<ClientAttempt>,
    /// By gateway, the addresses from which it polled the name service.
    flows: Vec<Vec<SocketAddr>>,
}

/// Collapses of cold engines in a run.
struct Collapses {
    count: usize,
    max_overload_ratio: f64,
    /// For each collapse, the share of the engine's work that came from gateways notified of its start.
    notified_shares: Vec<f64>,
}

pub(super) fn evaluate(
    run: &FleetRun<'_>,
    queries: Vec<ReceivedQuery>,
    records: &[AttemptRecord],
) -> FleetResult {
    let observations = Observations {
        queries: delivered_queries(run, queries),
        arrivals: engine_arrivals(run),
        attempts: records.iter().map(|record| client_attempt(run, record)).collect(),
        flows: run.gateways.borrow().iter().map(super::gateway::Gateway::flow_addresses).collect(),
    };
    let collapses = observations.collapses(run);
    let violations = observations.violations(run, &collapses);
    let seconds = run.scenario.seconds;
    let queries = observations.queries.iter().filter(|query| query.at < seconds).copied();
    let queries: Vec<_> = queries.collect();
    let json = metrics(run, &observations, &queries, &collapses, violations.len());
    let poll_times = queries.iter().map(|query| (query.at, 1.0));
    let series = |name, points| TimeSeries { name, points };
    let series = vec![
        series("questions", ledger::sum_by_tenths(poll_times, seconds)),
        series("connections", ledger::sum_by_tenths(ledger::connections(&observations.arrivals), seconds)),
        series("cores' worth served", ledger::sum_by_tenths(ledger::served(&observations.attempts), seconds)),
    ];
    FleetResult { json, series, violations }
}

fn metrics(
    run: &FleetRun<'_>,
    observations: &Observations,
    queries: &[ReceivedQuery],
    collapses: &Collapses,
    violations: usize,
) -> Value {
    let scenario = run.scenario;
    let gateways = run.gateways.borrow();
    let flows: Vec<_> = gateways.iter().map(super::gateway::Gateway::current_flow_addresses).collect();
    let capacity = service_script(scenario, run.options.gateways).capacity;
    let notified_shares: Vec<f64> =
        collapses.notified_shares.iter().map(|share| ledger::round(*share)).collect();
    let mut json = json!({
        "about": scenario.about,
        "started_within_s": ledger::round(run.max_start_delay),
        "list": ledger::poll_metrics(queries, &flows, capacity, scenario.seconds),
        "engines": ledger::arrival_metrics(&observations.arrivals, scenario.seconds),
        "worst_cold_ratio": ledger::round(collapses.max_overload_ratio),
        "fallen": collapses.count,
        "fallen_share_from_told": notified_shares,
        "overlapping": run.engines.fleet.overlaps(),
        "rules_broken": violations,
    });
    if !observations.attempts.is_empty() {
        let cores = scenario.engines.cores * run.engines.all.len() as f64;
        json["clients"] = ledger::client_metrics(&observations.attempts, cores, scenario.seconds);
    }
    json
}

/// Returns the queries that the name service received, with times since the start of the run. The time of an answer is when the relay
/// forwarded it to the gateway; a query whose answer was not forwarded counts as unanswered.
fn delivered_queries(run: &FleetRun<'_>, queries: Vec<ReceivedQuery>) -> Vec<ReceivedQuery> {
    let started_at = run.started_at.into_std();
    let mut deliveries: HashMap<(SocketAddr, u16), Vec<f64>> = HashMap::new();
    for delivery in run.gateways.borrow().iter().flat_map(|gateway| gateway.path.deliveries()) {
        let at = (delivery.at - started_at).as_secs_f64();
        deliveries.entry((delivery.relay_address, delivery.id)).or_default().push(at);
    }
    let on_run_clock = |mut query: ReceivedQuery| {
        query.at -= run.name_service_clock_at_start;
        query.answer = query.answer.and_then(|SentAnswer { serial, at }| {
            let earliest = at - run.name_service_clock_at_start - CLOCK_TOLERANCE;
            let times = deliveries.get(&(query.from, query.id))?;
            times.iter().find(|time| **time >= earliest).map(|time| SentAnswer { serial, at: *time })
        });
        query
    };
    queries.into_iter().map(on_run_clock).collect()
}

fn engine_arrivals(run: &FleetRun<'_>) -> Vec<Vec<Arrival>> {
    let on_run_clock = |mut arrival: Arrival| {
        arrival.at = (arrival.at - run.engine_clock_at_start) / 1000.0;
        arrival
    };
    let engines = run.engines.all.iter();
    engines.map(|engine| engine.arrivals().into_iter().map(on_run_clock).collect()).collect()
}

fn client_attempt(run: &FleetRun<'_>, record: &AttemptRecord) -> ClientAttempt {
    let request = &record.request;
    ClientAttempt {
        gateway: record.gateway,
        name: request.name.clone(),
        sent: (request.sent - run.started_at).as_secs_f64(),
        ended: (request.ended - run.started_at).as_secs_f64(),
        answer: request.answer,
        connected: request.connected,
        work: request.job.work,
        meets_objective: request.meets_objective(),
        is_late: request.is_late(),
    }
}

impl Observations {
    /// Returns the time at which a gateway first received the given version of the endpoint list or a newer one; infinite if it never
    /// did.
    fn notified_at(&self, gateway: usize, version: u32) -> f64 {
        let polls = self.queries.iter().filter(|query| self.flows[gateway].contains(&query.from));
        let answers = polls.filter_map(|query| query.answer.filter(|answer| answer.serial >= version));
        answers.map(|answer| answer.at).fold(f64::INFINITY, f64::min)
    }

    fn collapses(&self, run: &FleetRun<'_>) -> Collapses {
        let engines = &run.engines.all;
        let ratios = engines.iter().map(|engine| engine.with_model(|model| model.max_overload_ratio));
        let mut notified_shares = Vec::new();
        for (number, engine) in engines.iter().enumerate() {
            let Some(collapsed_at) = engine.with_model(|model| model.collapsed_at) else { continue };
            let collapsed_at = (collapsed_at - run.engine_clock_at_start) / 1000.0;
            let start = run.engine_starts[number];
            let from = start.at.max(collapsed_at - COLLAPSE_SPAN);
            let notified_at = |gateway| self.notified_at(gateway, start.version);
            let arrivals = &self.arrivals[number];
            let share = ledger::notified_share(&self.attempts, arrivals, from..=collapsed_at, notified_at);
            notified_shares.push(share);
        }
        Collapses {
            count: notified_shares.len(),
            max_overload_ratio: ratios.fold(0.0, f64::max),
            notified_shares,
        }
    }

    fn violations(&self, run: &FleetRun<'_>, collapses: &Collapses) -> Vec<String> {
        let gateways = run.gateways.borrow();
        let is_excused =
            |attempt: &ClientAttempt| gateways[attempt.gateway].is_disrupted(attempt.sent, attempt.ended);
        let mut violations = ledger::check_lost_answers(&self.attempts, is_excused);
        if self.attempts.len() >= MAX_ATTEMPTS {
            violations.push(format!("clients made {MAX_ATTEMPTS} attempts, the maximum, so they stopped before the end of the run"));
        }
        violations.extend(ledger::check_overlapping_attempts(run.engines.fleet.overlaps()));
        violations.extend(ledger::check_retry_budget(&self.attempts, &self.arrivals, gateways.len()));
        if let Some(version) = run.drain_version {
            let notified_at = |gateway| (gateway, self.notified_at(gateway, version));
            let notified: BTreeMap<_, _> = (0..gateways.len()).map(notified_at).collect();
            violations.extend(ledger::check_drains(&self.attempts, &self.arrivals[0], &notified));
        }
        if collapses.notified_shares.iter().any(|share| *share > MAX_NOTIFIED_SHARE) {
            violations.push(format!(
                "{} cold engines collapsed, the maximum work received was {:.2} times the budget of the engine",
                collapses.count, collapses.max_overload_ratio
            ));
        }
        violations
    }
}

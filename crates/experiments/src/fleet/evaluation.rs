//! The result of a run, from what the doubles and the clients recorded, on the run's clock in seconds.

use super::clients::{AttemptRecord, MAX_ATTEMPTS};
use super::run::{FleetResult, FleetRun, TimeSeries};
use super::setup::service_script;
use crate::ledger::{self, ClientAttempt};
use serde_json::{json, Value};
use starlingplank_test_doubles::engine::Arrival;
use starlingplank_test_doubles::name_service::{ReceivedQuery, SentAnswer};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The time by which the clocks of the name service and of the relay may differ, in seconds.
const CLOCK_TOLERANCE: f64 = 0.01;
/// The span over which work makes a cold engine collapse, in seconds.
const COLLAPSE_SPAN: f64 = 2.0;
/// The share of the work of gateways that knew of an engine's start above which its collapse is a violation: the operators'
/// page.
const MAX_NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// What was recorded, on the run's clock in seconds.
struct Observations {
    queries: Vec<ReceivedQuery>,
    arrivals: Vec<Vec<Arrival>>,
    attempts: Vec<ClientAttempt>,
    /// By gateway, the addresses from which it polled.
    flows: Vec<Vec<SocketAddr>>,
}

/// The collapses of cold engines.
struct Collapses {
    count: usize,
    max_overload_ratio: f64,
    /// For each, the share of the work that came from gateways that knew of its start.
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
    let json = figures(run, &observations, &queries, &collapses, violations.len());
    let poll_times = queries.iter().map(|query| (query.at, 1.0));
    let series = |name, points| TimeSeries { name, points };
    let series = vec![
        series("questions", ledger::in_tenths(poll_times, seconds)),
        series("connections", ledger::in_tenths(ledger::connections(&observations.arrivals), seconds)),
        series("cores' worth served", ledger::in_tenths(ledger::served(&observations.attempts), seconds)),
    ];
    FleetResult { json, series, violations }
}

fn figures(
    run: &FleetRun<'_>,
    observations: &Observations,
    queries: &[ReceivedQuery],
    collapses: &Collapses,
    violations: usize,
) -> Value {
    let scenario = run.scenario;
    let gateways = run.gateways.borrow();
    let flows: Vec<_> = gateways.iter().map(super::gateway::Gateway::present_flow_addresses).collect();
    let capacity = service_script(scenario, run.options.gateways).capacity;
    let notified_shares: Vec<f64> =
        collapses.notified_shares.iter().map(|share| ledger::round(*share)).collect();
    let mut json = json!({
        "about": scenario.about,
        "started_within_s": ledger::round(run.started_within),
        "list": ledger::poll_figures(queries, &flows, capacity, scenario.seconds),
        "engines": ledger::arrival_figures(&observations.arrivals, scenario.seconds),
        "worst_cold_ratio": ledger::round(collapses.max_overload_ratio),
        "fallen": collapses.count,
        "fallen_share_from_told": notified_shares,
        "overlapping": run.engines.fleet.overlaps(),
        "rules_broken": violations,
    });
    if !observations.attempts.is_empty() {
        let cores = scenario.engines.cores * run.engines.all.len() as f64;
        json["clients"] = ledger::client_figures(&observations.attempts, cores, scenario.seconds);
    }
    json
}

/// The queries of the name service. One was answered when its answer left the relay towards the gateway.
fn delivered_queries(run: &FleetRun<'_>, queries: Vec<ReceivedQuery>) -> Vec<ReceivedQuery> {
    let begun = run.begun.into_std();
    let mut deliveries: HashMap<(SocketAddr, u16), Vec<f64>> = HashMap::new();
    for delivery in run.gateways.borrow().iter().flat_map(|gateway| gateway.path.deliveries()) {
        let at = (delivery.at - begun).as_secs_f64();
        deliveries.entry((delivery.relay_address, delivery.id)).or_default().push(at);
    }
    let on_run_clock = |mut query: ReceivedQuery| {
        query.at -= run.name_service_began_at;
        query.answer = query.answer.and_then(|SentAnswer { serial, at }| {
            let earliest = at - run.name_service_began_at - CLOCK_TOLERANCE;
            let times = deliveries.get(&(query.from, query.id))?;
            times.iter().find(|time| **time >= earliest).map(|time| SentAnswer { serial, at: *time })
        });
        query
    };
    queries.into_iter().map(on_run_clock).collect()
}

fn engine_arrivals(run: &FleetRun<'_>) -> Vec<Vec<Arrival>> {
    let on_run_clock = |mut arrival: Arrival| {
        arrival.at = (arrival.at - run.engines_began_at) / 1000.0;
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
        sent: (request.sent - run.begun).as_secs_f64(),
        ended: (request.ended - run.begun).as_secs_f64(),
        answer: request.answer,
        connected: request.connected,
        work: request.job.work,
        meets_objective: request.meets_objective(),
        is_late: request.is_late(),
    }
}

impl Observations {
    /// When a gateway received that version of the list or a newer one; infinite if it did not.
    fn notified_at(&self, gateway: usize, version: u32) -> f64 {
        let own = self.queries.iter().filter(|query| self.flows[gateway].contains(&query.from));
        let answers = own.filter_map(|query| query.answer.filter(|answer| answer.serial >= version));
        answers.map(|answer| answer.at).fold(f64::INFINITY, f64::min)
    }

    fn collapses(&self, run: &FleetRun<'_>) -> Collapses {
        let engines = &run.engines.all;
        let ratios = engines.iter().map(|engine| engine.with_model(|model| model.max_overload_ratio));
        let mut notified_shares = Vec::new();
        for (number, engine) in engines.iter().enumerate() {
            let Some(collapsed_at) = engine.with_model(|model| model.collapsed_at) else { continue };
            let collapsed_at = (collapsed_at - run.engines_began_at) / 1000.0;
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
        let mut violations = ledger::lost_answers(&self.attempts, is_excused);
        if self.attempts.len() >= MAX_ATTEMPTS {
            violations.push(format!("clients tried {MAX_ATTEMPTS} times, and the play was cut short"));
        }
        violations.extend(ledger::overlaps(run.engines.fleet.overlaps()));
        violations.extend(ledger::retry_budget(&self.attempts, &self.arrivals, gateways.len()));
        if let Some(version) = run.drained_in {
            let notified_at = |gateway| (gateway, self.notified_at(gateway, version));
            let notified: BTreeMap<_, _> = (0..gateways.len()).map(notified_at).collect();
            violations.extend(ledger::drains(&self.attempts, &self.arrivals[0], &notified));
        }
        if collapses.notified_shares.iter().any(|share| *share > MAX_NOTIFIED_SHARE) {
            violations.push(format!(
                "{} cold engines were pushed over, the worst sent {:.2} times its budget",
                collapses.count, collapses.max_overload_ratio
            ));
        }
        violations
    }
}

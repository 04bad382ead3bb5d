//! The rules, checked in what clients and engines recorded. Each check returns a line for each violation, with the transaction id.

use super::ledger::{
    AttemptRecord, Class, ConnectionFlood, Ledger, ProcessEvent, RecoveryCheck, RequestEnd, RequestRecord,
};
use std::collections::BTreeMap;

mod drains;
mod parameters;
mod processes;
mod retry_budgets;
pub use drains::drains;
use parameters::SlowStartBound;
pub use parameters::{RetryBudget, RuleParameters, SlowStart};
pub use processes::processes;
pub use retry_budgets::retry_budgets;

/// Two ends may be recorded in the other order on two connections.
const REORDERING_SLACK: f64 = 0.03;
/// A request that crosses the close of a connection without open requests within this time is the client's to send again.
const CLOSE_CROSSING: f64 = 0.05;
/// How long a client may use a connection after its process was killed, before it notices.
const KILL_NOTICE: f64 = 0.1;
/// How long after the end of a flood its connections are closed.
const FLOOD_CLOSE_TIME: f64 = 1.0;
/// The least share of the requests after the last fault that are served.
const MIN_RECOVERED_SHARE: f64 = 0.8;

/// All violations of all rules.
pub fn violations(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let checks = [
        answers,
        single_attempts,
        repeats,
        abandoned_requests,
        deadlines,
        drains,
        slow_starts,
        retry_budgets,
        processes,
        recoveries,
    ];
    checks.iter().flat_map(|check| check(ledger, parameters)).collect()
}

/// Each request that a process accepted gets one final answer, in time. A process that was paused answers later by that time;
/// one that was killed answers nothing.
pub fn answers(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, request): (&String, _)| answer_violation(ledger, parameters, txn, request);
    ledger.requests.iter().filter_map(violation).collect()
}

fn answer_violation(
    ledger: &Ledger,
    parameters: &RuleParameters,
    txn: &str,
    request: &RequestRecord,
) -> Option<String> {
    if request.further_answers > 0 {
        return Some(format!("{txn}: answered more than once"));
    }
    let processes = ledger.processes.get(request.gateway).map_or(&[][..], Vec::as_slice);
    // During a hot restart it is not known which of two processes accepted a connection: both excuse it.
    let is_killed = |at: f64| {
        let mut kills = processes.iter().filter_map(|process| process.first(ProcessEvent::Killed));
        kills.any(|kill| kill >= request.sent - KILL_NOTICE && kill <= at + parameters.answer_grace)
    };
    let delay = |at: f64| {
        let pauses = processes.iter().map(|process| process.paused_within(request.sent, at));
        at - request.sent - request.timeout - pauses.fold(0.0, f64::max)
    };
    match request.end {
        RequestEnd::Answered(at, _) => {
            let delay = delay(at);
            (delay > parameters.answer_grace).then(|| format!("{txn}: answered {delay:.3} s too late"))
        }
        RequestEnd::ConnectionLost(at) => {
            let is_crossing = request.on_used_connection && at - request.sent <= CLOSE_CROSSING;
            let is_excused = is_crossing || is_closed_unread(ledger, txn, request) || is_killed(at);
            (!is_excused).then(|| format!("{txn}: connection ended without an answer: {request:?}"))
        }
        RequestEnd::NoAnswer(at) => {
            let is_late = delay(at) > parameters.answer_grace;
            (!is_killed(at) && is_late).then(|| format!("{txn}: no answer: {request:?}"))
        }
        RequestEnd::Abandoned(_) => None,
    }
}

/// Whether a new connection may have been closed unread as the descriptors were full: then there was no attempt.
fn is_closed_unread(ledger: &Ledger, txn: &str, request: &RequestRecord) -> bool {
    let is_during = |flood: &ConnectionFlood| {
        let span = flood.from..flood.to + FLOOD_CLOSE_TIME;
        flood.gateway == request.gateway && span.contains(&request.sent)
    };
    !request.on_used_connection
        && !ledger.attempts.contains_key(txn)
        && ledger.connection_floods.iter().any(is_during)
}

/// At most one attempt of a request is in flight.
pub fn single_attempts(ledger: &Ledger, _: &RuleParameters) -> Vec<String> {
    let overlap =
        |pair: &[AttemptRecord]| pair[0].end.is_none_or(|end| end.at > pair[1].arrived + REORDERING_SLACK);
    let violating = ledger.attempts.iter().filter(|(_, attempts)| attempts.windows(2).any(overlap));
    violating.map(|(txn, attempts)| format!("{txn}: two attempts out at once: {attempts:?}")).collect()
}

/// What may have been executed is sent again only where its class allows it.
pub fn repeats(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, attempts): (&String, &Vec<AttemptRecord>)| {
        let class = ledger.requests.get(txn)?.class;
        let first = attempts.iter().position(AttemptRecord::may_have_run)?;
        let repeats = &attempts[first + 1..];
        let window_end = attempts[first].arrived + parameters.key_window;
        let is_violation = match class {
            Class::Idempotent => false,
            Class::NotIdempotent => !repeats.is_empty(),
            Class::Keyed => repeats.iter().any(|attempt| attempt.arrived > window_end),
        };
        is_violation.then(|| format!("{txn}: sent again though it may have run: {attempts:?}"))
    };
    ledger.attempts.iter().filter_map(violation).collect()
}

/// No attempt begins over 0.1 s after its client has abandoned the request.
pub fn abandoned_requests(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, request): (&String, &RequestRecord)| {
        let RequestEnd::Abandoned(abandoned) = request.end else { return None };
        let attempts = ledger.attempts.get(txn)?;
        let last = attempts.iter().map(|attempt| attempt.arrived).fold(0.0, f64::max);
        let delay = last - abandoned;
        (last > abandoned + parameters.abandoned_slack)
            .then(|| format!("{txn}: an attempt arrived {delay:.3} s after its client had gone"))
    };
    ledger.requests.iter().filter_map(violation).collect()
}

/// The deadline stated to an engine is at most what the client has left.
pub fn deadlines(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, attempts): (&String, &Vec<AttemptRecord>)| {
        let request = ledger.requests.get(txn)?;
        let left = |attempt: &AttemptRecord| request.sent + request.timeout - attempt.arrived;
        let excesses = attempts.iter().map(|attempt| attempt.budget - left(attempt));
        let excess = excesses.fold(f64::NEG_INFINITY, f64::max);
        (excess > parameters.budget_slack)
            .then(|| format!("{txn}: an engine was told {excess:.3} s more than was left"))
    };
    ledger.attempts.iter().filter_map(violation).collect()
}

/// A cold engine gets no more requests within a span than its slow start allows, over all gateways.
pub fn slow_starts(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let mut arrivals: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for attempt in ledger.attempts.values().flatten() {
        arrivals.entry(attempt.engine).or_default().push(attempt.arrived);
    }
    let violation = |(engine, mut times): (usize, Vec<f64>)| {
        let cold_since = ledger.engines.get(engine)?.cold_since?;
        times.sort_by(f64::total_cmp);
        slow_start_violation(engine, cold_since, &times, parameters.slow_start)
    };
    arrivals.into_iter().filter_map(violation).collect()
}

fn slow_start_violation(
    engine: usize,
    cold_since: f64,
    times: &[f64],
    slow_start: SlowStart,
) -> Option<String> {
    let span = slow_start.span;
    times.iter().enumerate().find_map(|(index, from)| {
        let count = times[index..].iter().take_while(|at| **at <= from + span).count() as f64;
        let progress = ((from + span - cold_since) / slow_start.duration).clamp(0.0, 1.0);
        let SlowStartBound { budget, max_requests } = slow_start.max_requests(progress);
        (progress < 1.0 && count > max_requests)
            .then(|| format!("engine {engine}: {count} attempts within {span} s, N is {budget:.1}"))
    })
}

/// Every process serves within 3 s of the end of the last fault.
pub fn recoveries(ledger: &Ledger, _: &RuleParameters) -> Vec<String> {
    let violation = |(gateway, check): (usize, &RecoveryCheck)| {
        let RecoveryCheck { served, sent } = *check;
        ((served as f64) < MIN_RECOVERED_SHARE * sent as f64)
            .then(|| format!("gateway {gateway}: serves {served} of {sent} after the last trouble"))
    };
    ledger.recovery_checks.iter().enumerate().filter_map(violation).collect()
}

#[cfg(test)]
mod tests;

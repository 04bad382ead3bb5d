//! The oracle: checks the records of a run against every rule. Each check returns one line for each violation, which begins with the
//! transaction id, or with the gateway or engine that the violation concerns.

use super::ledger::{AttemptRecord, Class, Ledger, RecoveryCheck, RequestEnd, RequestRecord};
use std::collections::BTreeMap;

mod answers;
mod drains;
mod parameters;
mod processes;
mod retry_budgets;
pub use answers::{answers, excuses, Excuse};
pub use drains::drains;
use parameters::SlowStartBound;
pub use parameters::{RetryBudget, RuleParameters, SlowStart};
pub use processes::processes;
pub use retry_budgets::retry_budgets;

/// Slack in seconds when two attempts are compared: events on two connections may be recorded in reverse order.
const REORDERING_SLACK: f64 = 0.03;
/// Maximum time, in seconds, from the moment a client abandons its request to the beginning of an attempt.
const ABANDONED_SLACK: f64 = 0.1;
/// Minimum share of the requests sent after the last fault that a gateway must serve.
const MIN_RECOVERED_SHARE: f64 = 0.8;

/// Checks one rule and returns its violations.
type Check = fn(&Ledger, &RuleParameters) -> Vec<String>;

/// All rules, each with its name in reports.
const RULES: [(&str, Check); 11] = [
    ("answers", answers),
    ("single attempts", single_attempts),
    ("repeats", repeats),
    ("abandoned requests", abandoned_requests),
    ("deadlines", deadlines),
    ("drains", drains),
    ("slow starts", slow_starts),
    ("retry budgets", retry_budgets),
    ("processes", processes),
    ("recoveries", recoveries),
    ("unknown requests", unknown_requests),
];

/// Returns all violations by the name of their rule. Rules without a violation are omitted.
pub fn violations_by_rule(
    ledger: &Ledger,
    parameters: &RuleParameters,
) -> BTreeMap<&'static str, Vec<String>> {
    let checked = RULES.iter().map(|(rule, check)| (*rule, check(ledger, parameters)));
    checked.filter(|(_, violations)| !violations.is_empty()).collect()
}

/// Returns the violations of all rules in one list.
pub fn violations(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    violations_by_rule(ledger, parameters).into_values().flatten().collect()
}

/// Checks that engines receive only requests that a client sent.
pub fn unknown_requests(ledger: &Ledger, _: &RuleParameters) -> Vec<String> {
    let unknown = ledger.attempts.iter().filter(|(txn, _)| !ledger.requests.contains_key(*txn));
    unknown
        .map(|(txn, attempts)| {
            format!("{txn}: an engine received a request that no client sent: {attempts:?}")
        })
        .collect()
}

/// Checks that no more than one attempt of a request is in flight at any time.
pub fn single_attempts(ledger: &Ledger, _: &RuleParameters) -> Vec<String> {
    let overlap = |pair: &[AttemptRecord]| {
        pair[0].end.is_none_or(|end| end.at.earliest > pair[1].arrived.latest + REORDERING_SLACK)
    };
    let violating = ledger.attempts.iter().filter(|(_, attempts)| attempts.windows(2).any(overlap));
    violating.map(|(txn, attempts)| format!("{txn}: two attempts in flight at once: {attempts:?}")).collect()
}

/// Checks that a request that may have been executed is sent again only if its class allows this.
pub fn repeats(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, attempts): (&String, &Vec<AttemptRecord>)| {
        let class = ledger.requests.get(txn)?.class;
        let first = attempts.iter().position(AttemptRecord::may_have_run)?;
        let repeats = &attempts[first + 1..];
        let window_end = attempts[first].arrived.latest + parameters.key_window;
        let is_violation = match class {
            Class::Idempotent => false,
            Class::NotIdempotent => !repeats.is_empty(),
            Class::Keyed => repeats.iter().any(|attempt| attempt.arrived.earliest > window_end),
        };
        is_violation.then(|| format!("{txn}: sent again although it may have been executed: {attempts:?}"))
    };
    ledger.attempts.iter().filter_map(violation).collect()
}

/// Checks that no attempt begins more than `abandoned_slack` (0.1 s) after its client has abandoned the request. If the client abandoned
/// it while the process was paused, and the pause lasted for more than 0.1 s after that, no attempt begins after the pause either, even
/// if the slack is wider to allow for a slow machine.
pub fn abandoned_requests(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, request): (&String, &RequestRecord)| {
        let (RequestEnd::Abandoned(abandoned) | RequestEnd::WriteFailed(abandoned)) = request.end else {
            return None;
        };
        let attempts = ledger.attempts.get(txn)?;
        let last = attempts.iter().map(|attempt| attempt.arrived.earliest).fold(0.0, f64::max);
        let allowed = (abandoned + parameters.abandoned_slack).min(end_of_pause(ledger, request, abandoned));
        let delay = last - abandoned;
        (last > allowed)
            .then(|| format!("{txn}: an attempt arrived {delay:.3} s after the client abandoned the request"))
    };
    ledger.requests.iter().filter_map(violation).collect()
}

/// Returns the end of the pause of the process during which a request was abandoned, if that pause lasted longer than the rule allows
/// for an attempt, and infinity otherwise. During a hot restart the result is infinity too: the ledger does not show which of the two
/// processes accepted the request.
fn end_of_pause(ledger: &Ledger, request: &RequestRecord, abandoned: f64) -> f64 {
    let processes = ledger.processes.get(request.gateway).into_iter().flatten();
    let mut running = processes.filter(|process| process.is_running(abandoned));
    let (Some(process), None) = (running.next(), running.next()) else { return f64::INFINITY };
    let resumed = process.resumed_after(abandoned).filter(|resumed| resumed - abandoned > ABANDONED_SLACK);
    resumed.unwrap_or(f64::INFINITY)
}

/// Checks that the time to the deadline that a gateway states to an engine does not exceed the remaining time of the client.
pub fn deadlines(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, attempts): (&String, &Vec<AttemptRecord>)| {
        let request = ledger.requests.get(txn)?;
        let remaining = |attempt: &AttemptRecord| request.sent + request.timeout - attempt.arrived.earliest;
        let excesses = attempts.iter().map(|attempt| attempt.budget - remaining(attempt));
        let excess = excesses.fold(f64::NEG_INFINITY, f64::max);
        (excess > parameters.deadline_slack)
            .then(|| format!("{txn}: an engine was given {excess:.3} s more than the client had left"))
    };
    ledger.attempts.iter().filter_map(violation).collect()
}

/// Checks that a cold engine receives, from all gateways together, no more requests within any span than its slow start allows.
pub fn slow_starts(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let mut arrivals: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for attempt in ledger.attempts.values().flatten() {
        arrivals.entry(attempt.engine).or_default().push(attempt.arrived.latest);
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
        (progress < 1.0 && count > max_requests).then(|| {
            format!(
                "engine {engine}: {count} attempts within {span} s of slow start, budget N is {budget:.1}"
            )
        })
    })
}

/// Checks that every gateway serves requests again from 3 s after the end of the last fault.
pub fn recoveries(ledger: &Ledger, _: &RuleParameters) -> Vec<String> {
    let violation = |(gateway, check): (usize, &RecoveryCheck)| {
        let RecoveryCheck { served, sent } = *check;
        ((served as f64) < MIN_RECOVERED_SHARE * sent as f64)
            .then(|| format!("gateway {gateway}: served {served} of {sent} requests after the last fault"))
    };
    ledger.recovery_checks.iter().enumerate().filter_map(violation).collect()
}

#[cfg(test)]
mod tests;

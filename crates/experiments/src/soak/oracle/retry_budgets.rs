//! The rule on retry budgets: each gateway process keeps its retries within its own budget, which starts anew with the process. If a
//! gateway had a hot restart, the ledger does not show which of two processes sent an attempt, so that all attempts of the gateway are
//! counted together.

use super::parameters::{RetryBudget, RuleParameters};
use crate::soak::ledger::{Ledger, ProcessEvent, ProcessRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Factor by which the retries may exceed the budget.
const SLACK_FACTOR: f64 = 1.15;
/// Number of retries by which the budget, times `SLACK_FACTOR`, may be exceeded.
const SLACK: f64 = 1.0;

/// Processes whose retries are counted against one budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RetryScope {
    gateway: usize,
    /// Number of a process of the gateway; `None` stands for all of its processes.
    incarnation: Option<u32>,
}

/// Times at which requests were sent and retries arrived at engines.
#[derive(Default)]
struct Times {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

/// Checks that the retries stay within the retry budgets.
pub fn retry_budgets(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violations = times(ledger).into_iter().filter_map(|(scope, times)| {
        let at = first_violation(ledger, parameters.retry_budget, scope, &times)?;
        Some(format!("gateway {}: retry budget exceeded at {at:.3} s", scope.gateway))
    });
    violations.collect()
}

fn times(ledger: &Ledger) -> BTreeMap<RetryScope, Times> {
    let gateways = 0..ledger.processes.len();
    let with_hot_restart: BTreeSet<usize> =
        gateways.filter(|gateway| has_overlap(&ledger.processes[*gateway])).collect();
    let mut times: BTreeMap<RetryScope, Times> = BTreeMap::new();
    for (txn, request) in &ledger.requests {
        let gateway = request.gateway;
        let incarnation = (!with_hot_restart.contains(&gateway)).then_some(request.incarnation);
        let times = times.entry(RetryScope { gateway, incarnation }).or_default();
        times.requests.push(request.sent);
        let retries = ledger.attempts.get(txn).into_iter().flatten().skip(1);
        times.retries.extend(retries.map(|attempt| attempt.arrived.latest));
    }
    times
}

/// Returns whether a process of a gateway was started while an earlier one was still running.
fn has_overlap(processes: &[ProcessRecord]) -> bool {
    processes.windows(2).any(|pair| {
        let started = pair[1].first(ProcessEvent::Started).unwrap_or(f64::INFINITY);
        pair[0].exit().is_none_or(|(at, _)| at > started)
    })
}

/// Returns the number of `times` within the last `span` seconds before `at`.
fn count_within(times: &[f64], at: f64, span: f64) -> f64 {
    times.iter().filter(|time| **time <= at && **time > at - span).count() as f64
}

/// Returns the time of the first retry that exceeds the budget.
fn first_violation(ledger: &Ledger, budget: RetryBudget, scope: RetryScope, times: &Times) -> Option<f64> {
    let RetryBudget { base_retries, per_request, span } = budget;
    let is_violation = |at: &f64| {
        let (budgets, earned_span) = match scope.incarnation {
            Some(_) => (1.0, span),
            // Retries of the previous process within this span may have been earned by requests before the span.
            None => (running_within(ledger, scope.gateway, *at, span), 2.0 * span),
        };
        let earned = per_request * count_within(&times.requests, *at, earned_span);
        count_within(&times.retries, *at, span) > SLACK_FACTOR * (base_retries * budgets + earned) + SLACK
    };
    times.retries.iter().copied().find(is_violation)
}

/// Returns the number of processes of a gateway that ran at some time within the last `span` seconds before `at`.
fn running_within(ledger: &Ledger, gateway: usize, at: f64, span: f64) -> f64 {
    let is_started =
        |process: &ProcessRecord| process.first(ProcessEvent::Started).is_some_and(|started| started <= at);
    let is_running =
        |process: &ProcessRecord| process.events.last().is_none_or(|(last, _)| *last > at - span);
    let processes = ledger.processes.get(gateway).into_iter().flatten();
    processes.filter(|process| is_started(process) && is_running(process)).count() as f64
}

//! The rule on retry budgets: further attempts of a process keep to its budget, which begins with the process. Where one process
//! takes over from another it is not known which of them sent an attempt: the attempts of their gateway are counted together.

use super::Terms;
use crate::soak::ledger::{Ledger, ProcessEvent, ProcessRecord};
use std::collections::{BTreeMap, BTreeSet};

/// The budget is widened by so much, and by one attempt.
const SLACK: f64 = 1.15;

/// A gateway, and one of its processes; none: all of them.
type Counted = (usize, Option<u32>);

/// When requests were received and further attempts arrived.
#[derive(Default)]
struct Times {
    received: Vec<f64>,
    further: Vec<f64>,
}

/// Further attempts keep to the retry budgets.
pub fn retry_budgets(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let over = times(ledger).into_iter().filter_map(|(counted, times)| {
        let at = first_over(ledger, terms, counted, &times)?;
        Some(format!("gateway {}: retry budget exceeded at {at:.3} s", counted.0))
    });
    over.collect()
}

fn times(ledger: &Ledger) -> BTreeMap<Counted, Times> {
    let shared: BTreeSet<usize> =
        (0..ledger.processes.len()).filter(|g| overlap(&ledger.processes[*g])).collect();
    let mut times: BTreeMap<Counted, Times> = BTreeMap::new();
    for (txn, request) in &ledger.requests {
        let process = (!shared.contains(&request.gateway)).then_some(request.incarnation);
        let times = times.entry((request.gateway, process)).or_default();
        times.received.push(request.sent);
        let attempts = ledger.attempts.get(txn).into_iter().flatten().skip(1);
        times.further.extend(attempts.map(|attempt| attempt.arrived));
    }
    times
}

/// Whether a process of a gateway was started while another ran.
fn overlap(lives: &[ProcessRecord]) -> bool {
    lives.windows(2).any(|pair| {
        let started = pair[1].first(ProcessEvent::Started).unwrap_or(f64::INFINITY);
        let ended = pair[0].events.iter().find(|(_, event)| matches!(event, ProcessEvent::Exited(_)));
        ended.is_none_or(|(at, _)| *at > started)
    })
}

/// The first further attempt past the budget.
fn first_over(ledger: &Ledger, terms: &Terms, counted: Counted, times: &Times) -> Option<f64> {
    let (free, share, span) = terms.retry_budget;
    let within =
        |all: &[f64], at: f64, span: f64| all.iter().filter(|t| **t <= at && **t > at - span).count() as f64;
    let (budgets, earned_span): (Box<dyn Fn(f64) -> f64>, f64) = match counted.1 {
        Some(_) => (Box::new(|_| 1.0), span),
        // What the former process spent last was earned before the span.
        None => (Box::new(|at| lives_within(ledger, counted.0, at, span)), 2.0 * span),
    };
    let is_over = |at: &f64| {
        let earned = share * within(&times.received, *at, earned_span);
        within(&times.further, *at, span) > SLACK * (free * budgets(*at) + earned) + 1.0
    };
    times.further.iter().copied().find(is_over)
}

/// Processes of a gateway that lived within the span before.
fn lives_within(ledger: &Ledger, gateway: usize, at: f64, span: f64) -> f64 {
    let began = |life: &&ProcessRecord| life.first(ProcessEvent::Started).is_some_and(|t| t <= at);
    let ended = |life: &&ProcessRecord| life.events.last().is_none_or(|(t, _)| *t > at - span);
    ledger.processes.get(gateway).map_or(0, |all| all.iter().filter(began).filter(ended).count()) as f64
}

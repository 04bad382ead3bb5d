//! The rules, checked in what clients and engines saw. Each check returns a line for each break, with the transaction id.

use super::ledger::{AttemptRecord, Class, Ledger, ProcessEvent, ProcessRecord, RequestEnd, RequestRecord};
use std::collections::BTreeMap;

mod drains;
mod retry_budgets;
pub use drains::drains;
pub use retry_budgets::retry_budgets;

/// The settings that the rules are counted with, as the play writes them.
#[derive(Debug, Clone)]
pub struct Terms {
    /// An answer may be so much later than its client's limit, in seconds.
    pub answer_grace: f64,
    /// An attempt may arrive so long after its client has gone.
    pub gone_slack: f64,
    /// What a deadline told may lie over what is left.
    pub budget_slack: f64,
    /// Window of keys.
    pub key_window: f64,
    /// Time to stop sending to a drained engine.
    pub drain_grace: f64,
    /// A change of the list counts as told so long after it happened, or after a good answer would have told it ...
    pub told_within: f64,
    /// ... so long after the name service has moved ...
    pub told_after_move: f64,
    /// ... and so long after it happened in any case.
    pub told_by_all_means: f64,
    /// Free further attempts, those for each request, and the span.
    pub retry_budget: (f64, f64, f64),
    /// Requests that a cold engine may be sent within a span, and the span.
    pub cold_budget: (f64, f64),
    /// The cold budget at the start as a share of the warm one, and the time to be warm.
    pub cold_ramp: (f64, f64),
    /// A process listens by then.
    pub ready_by: f64,
    /// A process has ended by then after SIGTERM.
    pub ended_by: f64,
    /// Lines of log of a process a second, at most.
    pub log_lines: f64,
}

/// Two ends may be seen in the other order on two connections.
const ORDER_SLACK: f64 = 0.03;
/// A request that crosses the close of a connection without open requests within this is the client's to send again.
const CROSSING: f64 = 0.05;
/// A connection is used so long after its process was killed, before its client sees that.
const CONNECTED: f64 = 0.1;
/// The connections of a crowd are gone so long after its end.
const CROWD_LEAVES_WITHIN: f64 = 1.0;
/// The least share of the requests of the last check that are served.
const RECOVERED: f64 = 0.8;

/// All breaks of all rules.
pub fn breaks(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let checks = [
        answers,
        single_attempts,
        repeats,
        gone_clients,
        deadlines,
        drains,
        slow_starts,
        retry_budgets,
        processes,
        recoveries,
    ];
    checks.iter().flat_map(|check| check(ledger, terms)).collect()
}

/// One final answer for each request that a process took, in time. A process that was stopped answers later by that time; one
/// that was killed answers nothing.
pub fn answers(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let lost = |(txn, request): (&String, &RequestRecord)| {
        let lives = ledger.processes.get(request.gateway).map_or(&[][..], Vec::as_slice);
        if request.further_answers > 0 {
            return Some(format!("{txn}: answered more than once"));
        }
        // Where one process takes over from another it is not known which of them took a connection.
        let killed = || lives.iter().filter_map(|life| life.first(ProcessEvent::Killed));
        let excused =
            |at: f64| killed().any(|k| k >= request.sent - CONNECTED && k <= at + terms.answer_grace);
        // A process that stands still answers later by that time.
        let stopped =
            |at: f64| lives.iter().map(|life| life.stopped_within(request.sent, at)).fold(0.0, f64::max);
        match request.end {
            RequestEnd::Answered(at, _) => {
                let late = at - request.sent - request.limit - stopped(at);
                (late > terms.answer_grace).then(|| format!("{txn}: answered {late:.3} s too late"))
            }
            RequestEnd::ConnectionLost(at) => {
                let crossed = request.on_used_connection && at - request.sent <= CROSSING;
                let shut_unread = is_shut_in_a_crowd(ledger, txn, request);
                (!crossed && !shut_unread && !excused(at))
                    .then(|| format!("{txn}: connection ended without an answer: {request:?}"))
            }
            RequestEnd::Nothing(at) => {
                let late = at - request.sent - request.limit - stopped(at);
                (!excused(at) && late > terms.answer_grace).then(|| format!("{txn}: no answer: {request:?}"))
            }
            RequestEnd::Gone(_) => None,
        }
    };
    ledger.requests.iter().filter_map(lost).collect()
}

/// Where descriptors are full, a new connection may be shut unread: then nothing of its request was sent on.
fn is_shut_in_a_crowd(ledger: &Ledger, txn: &str, request: &RequestRecord) -> bool {
    let is_in = |(gateway, from, to): &(usize, f64, f64)| {
        *gateway == request.gateway && (*from..*to + CROWD_LEAVES_WITHIN).contains(&request.sent)
    };
    !request.on_used_connection && !ledger.attempts.contains_key(txn) && ledger.crowds.iter().any(is_in)
}

/// At most one attempt of a request is out.
pub fn single_attempts(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let overlaps = |attempts: &Vec<AttemptRecord>| {
        attempts
            .windows(2)
            .any(|pair| pair[0].end.is_none_or(|(ended, _)| ended > pair[1].arrived + ORDER_SLACK))
    };
    let broken = ledger.attempts.iter().filter(|(_, attempts)| overlaps(attempts));
    broken.map(|(txn, attempts)| format!("{txn}: two attempts out at once: {attempts:?}")).collect()
}

/// What may have run is sent again only where its class allows it.
pub fn repeats(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let broken = |txn: &String, attempts: &Vec<AttemptRecord>| {
        let class = ledger.requests.get(txn)?.class;
        let first = attempts.iter().position(AttemptRecord::may_have_run)?;
        let later = &attempts[first + 1..];
        let past = |attempt: &AttemptRecord| attempt.arrived > attempts[first].arrived + terms.key_window;
        let is_broken = match class {
            Class::Safe => false,
            Class::Unsafe => !later.is_empty(),
            Class::Keyed => later.iter().any(past),
        };
        is_broken.then(|| format!("{txn}: sent again though it may have run: {attempts:?}"))
    };
    ledger.attempts.iter().filter_map(|(txn, attempts)| broken(txn, attempts)).collect()
}

/// No attempt begins over 0.1 s after its client has gone.
pub fn gone_clients(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let late = |(txn, request): (&String, &RequestRecord)| {
        let RequestEnd::Gone(gone) = request.end else { return None };
        let attempts = ledger.attempts.get(txn)?;
        let last = attempts.iter().map(|a| a.arrived).fold(0.0, f64::max);
        (last > gone + terms.gone_slack)
            .then(|| format!("{txn}: an attempt arrived {:.3} s after its client had gone", last - gone))
    };
    ledger.requests.iter().filter_map(late).collect()
}

/// The deadline told to an engine is at most what the client has left.
pub fn deadlines(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let over = |(txn, attempts): (&String, &Vec<AttemptRecord>)| {
        let request = ledger.requests.get(txn)?;
        let left = |a: &AttemptRecord| request.sent + request.limit - a.arrived;
        let worst = attempts.iter().map(|a| a.budget - left(a)).fold(f64::NEG_INFINITY, f64::max);
        (worst > terms.budget_slack)
            .then(|| format!("{txn}: an engine was told {worst:.3} s more than was left"))
    };
    ledger.attempts.iter().filter_map(over).collect()
}

/// A cold engine gets no more within a span than N + 2 x root of N + 2, over all gateways.
pub fn slow_starts(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let mut arrivals: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for attempt in ledger.attempts.values().flatten() {
        arrivals.entry(attempt.engine).or_default().push(attempt.arrived);
    }
    let (warm_budget, span) = terms.cold_budget;
    let (slow_start_from, slow_start_duration) = terms.cold_ramp;
    let mut broken = Vec::new();
    for (engine, times) in &mut arrivals {
        let Some(since) = ledger.engines.get(*engine).and_then(|e| e.cold_since) else { continue };
        times.sort_by(f64::total_cmp);
        for (i, from) in times.iter().enumerate() {
            let count = times[i..].iter().take_while(|t| **t <= from + span).count() as f64;
            let age = ((from + span - since) / slow_start_duration).clamp(0.0, 1.0);
            let n = warm_budget * (slow_start_from + (1.0 - slow_start_from) * age);
            let factor = if n < 30.0 { 3.0 } else { 2.0 };
            if age < 1.0 && count > n + factor * n.sqrt() + factor {
                broken.push(format!("engine {engine}: {count} attempts within {span} s, N is {n:.1}"));
                break;
            }
        }
    }
    broken
}

/// Processes listen in time, end when they are told and not before, count no violation, and log little.
pub fn processes(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let mut broken = Vec::new();
    for (gateway, lives) in ledger.processes.iter().enumerate() {
        for (n, life) in lives.iter().enumerate() {
            let name = format!("gateway {gateway} process {n}");
            broken.extend(
                life_breaks(life, answered_within(ledger, gateway, life), terms)
                    .into_iter()
                    .map(|line| format!("{name}: {line}")),
            );
        }
    }
    broken
}

/// Whether the gateway answered anything while that process lived. A process whose log could not be written told nobody
/// that it listens.
fn answered_within(ledger: &Ledger, gateway: usize, life: &ProcessRecord) -> bool {
    let from = life.events.first().map_or(0.0, |(at, _)| *at);
    let to = life.events.last().map_or(from, |(at, _)| *at);
    let of_life = |r: &&RequestRecord| r.gateway == gateway && r.sent > from;
    let answered = |r: &RequestRecord| matches!(r.end, RequestEnd::Answered(at, _) if at < to);
    ledger.requests.values().filter(of_life).any(answered)
}

fn life_breaks(life: &ProcessRecord, answered: bool, terms: &Terms) -> Vec<String> {
    let mut broken = Vec::new();
    let started = life.first(ProcessEvent::Started).unwrap_or(0.0);
    let told_to_end = life.first(ProcessEvent::Terminated);
    let killed = life.first(ProcessEvent::Killed);
    let exited = life.events.iter().find_map(|(at, event)| match event {
        ProcessEvent::Exited(code) => Some((*at, *code)),
        _ => None,
    });
    let ends =
        [told_to_end, killed, exited.map(|(at, _)| at)].into_iter().flatten().fold(f64::INFINITY, f64::min);
    match life.first(ProcessEvent::Listening) {
        Some(at) if at - started - life.stopped_within(started, at) > terms.ready_by => {
            broken.push(format!("listened after {:.1} s", at - started));
        }
        None if !answered && ends - started > terms.ready_by => broken.push("never listened".into()),
        _ => {}
    }
    match (exited, told_to_end, killed) {
        (Some((at, code)), None, None) => broken.push(format!("ended by itself at {at:.3} s with {code:?}")),
        (Some((_, code)), Some(_), None) if code != Some(0) => {
            broken.push(format!("ended with {code:?} after SIGTERM"))
        }
        (Some((at, _)), Some(told), None) => {
            let took = at - told - life.stopped_within(told, at);
            if took > terms.ended_by {
                broken.push(format!("ended {took:.1} s after SIGTERM"));
            }
        }
        (None, Some(_), None) => broken.push("did not end after SIGTERM".into()),
        _ => {}
    }
    if life.first(ProcessEvent::Overdue).is_some() {
        broken.push("had not ended when SIGKILL came".into());
    }
    if life.violations.is_some_and(|n| n > 0) {
        broken.push(format!("counted {:?} violations of the rules", life.violations));
    }
    let last = life.events.last().map_or(started, |(at, _)| *at);
    if life.log_lines as f64 > terms.log_lines * (last - started).max(1.0) {
        broken.push(format!("wrote {} lines of log in {:.1} s", life.log_lines, last - started));
    }
    broken
}

/// Within 3 s of the last trouble's end every process serves.
pub fn recoveries(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let short = |(gateway, (served, of)): (usize, &(usize, usize))| {
        ((*served as f64) < RECOVERED * *of as f64)
            .then(|| format!("gateway {gateway}: serves {served} of {of} after the last trouble"))
    };
    ledger.recovered.iter().enumerate().filter_map(short).collect()
}

#[cfg(test)]
mod tests;

//! The rule on answers: each request that a gateway process accepted gets exactly one final answer, in time. Requests without an answer
//! that a known cause excuses are counted by cause, so that a report shows if their number rises.

use super::parameters::RuleParameters;
use crate::soak::ledger::{ConnectionFlood, Ledger, ProcessEvent, ProcessRecord, RequestEnd, RequestRecord};
use std::collections::BTreeMap;

/// Maximum time in seconds from sending a request to the end of its reused connection for which the request counts as having crossed the
/// gateway's close of an idle connection. The client then has to send it again.
const CLOSE_RACE_WINDOW: f64 = 0.05;
/// Maximum time in seconds from the kill of a process until its clients notice that their connections have ended.
const KILL_DETECTION_TIME: f64 = 0.1;
/// Maximum time in seconds from the end of a flood until the gateway has closed the flood's connections.
const FLOOD_CLOSE_TIME: f64 = 1.0;

/// Time in seconds after SIGTERM for which a process still accepts new connections if no other process takes over its listener.
const NEW_CONNECTIONS_AFTER_TERMINATION: f64 = 0.4;

/// Cause for which a request with no answer, or with a late one, violates no rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// The request was sent on a reused connection while the gateway closed it.
    CrossedClose,
    /// The gateway closed the new connection without reading from it because its descriptors were exhausted.
    ClosedUnread,
    /// The new connection was closed unread by a process that had received SIGTERM over 0.4 s before.
    ClosedInShutdown,
    /// The run killed the process as an injected fault.
    Killed,
    /// The process was paused when the run sent SIGKILL at the end of the grace period after SIGTERM.
    KilledInPause,
    /// The answer is late or missing, but not after subtraction of the time for which the process was paused.
    Paused,
    /// The request could not be written completely, so that no process accepted it.
    WriteFailed,
}

impl Excuse {
    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::CrossedClose => "crossed a close",
            Self::ClosedUnread => "closed unread in a flood",
            Self::ClosedInShutdown => "closed unread in a shutdown",
            Self::Killed => "killed",
            Self::KilledInPause => "killed in a pause",
            Self::Paused => "late by a pause",
            Self::WriteFailed => "not written",
        }
    }
}

/// Result of the rule for one request.
enum Verdict {
    Satisfied,
    Excused(Excuse),
    Violated(String),
}

/// Checks that each request that a process accepted gets exactly one final answer, in time. An answer may be late by the time for which
/// the process was paused, and a process that the run killed need not answer.
pub fn answers(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, request): (&String, _)| match verdict(ledger, parameters, txn, request) {
        Verdict::Violated(violation) => Some(violation),
        Verdict::Satisfied | Verdict::Excused(_) => None,
    };
    ledger.requests.iter().filter_map(violation).collect()
}

/// Returns the number of requests that each excuse covers.
pub fn excuses(ledger: &Ledger, parameters: &RuleParameters) -> BTreeMap<Excuse, usize> {
    let mut counts = BTreeMap::new();
    for (txn, request) in &ledger.requests {
        if let Verdict::Excused(excuse) = verdict(ledger, parameters, txn, request) {
            *counts.entry(excuse).or_default() += 1;
        }
    }
    counts
}

fn verdict(ledger: &Ledger, parameters: &RuleParameters, txn: &str, request: &RequestRecord) -> Verdict {
    if request.further_answers > 0 {
        return Verdict::Violated(format!("{txn}: answered more than once"));
    }
    let processes = ledger.processes.get(request.gateway).map_or(&[][..], Vec::as_slice);
    match request.end {
        RequestEnd::Answered(..) => answered_verdict(processes, parameters, txn, request),
        RequestEnd::ConnectionLost(at) => {
            if request.on_used_connection && request.ended_after - request.sent <= CLOSE_RACE_WINDOW {
                return Verdict::Excused(Excuse::CrossedClose);
            }
            if is_closed_unread(ledger, txn, request) {
                return Verdict::Excused(Excuse::ClosedUnread);
            }
            if is_closed_in_shutdown(ledger, processes, txn, request) {
                return Verdict::Excused(Excuse::ClosedInShutdown);
            }
            kill_excuse(processes, parameters, request, at).map_or_else(
                || Verdict::Violated(format!("{txn}: connection ended without an answer: {request:?}")),
                Verdict::Excused,
            )
        }
        RequestEnd::NoAnswer(at) => {
            if delay(processes, request, at) <= parameters.answer_grace {
                return Verdict::Excused(Excuse::Paused);
            }
            kill_excuse(processes, parameters, request, at)
                .map_or_else(|| Verdict::Violated(format!("{txn}: no answer: {request:?}")), Verdict::Excused)
        }
        RequestEnd::WriteFailed(_) => Verdict::Excused(Excuse::WriteFailed),
        RequestEnd::Abandoned(_) => Verdict::Satisfied,
    }
}

fn answered_verdict(
    processes: &[ProcessRecord],
    parameters: &RuleParameters,
    txn: &str,
    request: &RequestRecord,
) -> Verdict {
    let at = request.ended_after;
    let delay = delay(processes, request, at);
    if delay > parameters.answer_grace {
        return Verdict::Violated(format!("{txn}: answered {delay:.3} s too late"));
    }
    match at - request.sent - request.timeout > parameters.answer_grace {
        true => Verdict::Excused(Excuse::Paused),
        false => Verdict::Satisfied,
    }
}

/// Returns the time in seconds by which an answer exceeds the client's timeout, less the time for which a process was paused.
fn delay(processes: &[ProcessRecord], request: &RequestRecord, at: f64) -> f64 {
    let pauses = processes.iter().map(|process| process.paused_within(request.sent, at));
    at - request.sent - request.timeout - pauses.fold(0.0, f64::max)
}

/// Returns the excuse of a request whose process the run killed. During a hot restart the ledger does not show which of the two processes
/// accepted a connection, so that the kill of either excuses the request.
fn kill_excuse(
    processes: &[ProcessRecord],
    parameters: &RuleParameters,
    request: &RequestRecord,
    at: f64,
) -> Option<Excuse> {
    let is_during =
        |kill: f64| kill >= request.sent - KILL_DETECTION_TIME && kill <= at + parameters.answer_grace;
    let is_any_killed = |event: ProcessEvent, condition: fn(&ProcessRecord) -> bool| {
        let killed = processes.iter().filter(|process| process.first(event).is_some_and(is_during));
        killed.into_iter().any(condition)
    };
    if is_any_killed(ProcessEvent::Killed, |_| true) {
        return Some(Excuse::Killed);
    }
    is_any_killed(ProcessEvent::Overdue, ProcessRecord::is_paused_when_overdue)
        .then_some(Excuse::KilledInPause)
}

/// Returns whether the gateway may have closed a new connection unread because a flood had exhausted its descriptors. There is no attempt
/// of the request in this case.
fn is_closed_unread(ledger: &Ledger, txn: &str, request: &RequestRecord) -> bool {
    let is_during = |flood: &ConnectionFlood| {
        let span = flood.from..flood.to + FLOOD_CLOSE_TIME;
        flood.gateway == request.gateway && span.contains(&request.sent)
    };
    !request.on_used_connection
        && !ledger.attempts.contains_key(txn)
        && ledger.connection_floods.iter().any(is_during)
}

/// Returns whether a new connection was closed unread because the gateway's only process was shutting down: the operating system resets
/// a connection that enters the accept queue while the listener is being closed. There is no attempt of the request in this case.
fn is_closed_in_shutdown(
    ledger: &Ledger,
    processes: &[ProcessRecord],
    txn: &str,
    request: &RequestRecord,
) -> bool {
    let mut running = processes.iter().filter(|process| process.is_running(request.sent));
    let (Some(process), None) = (running.next(), running.next()) else { return false };
    let terminated = process.first(ProcessEvent::Terminated);
    !request.on_used_connection
        && !ledger.attempts.contains_key(txn)
        && terminated.is_some_and(|at| request.sent > at + NEW_CONNECTIONS_AFTER_TERMINATION)
}

//! The rule on answers: each request that a process accepted gets one final answer, in time. What excuses a request that got none is
//! counted, so that a rise is seen.

use super::parameters::RuleParameters;
use crate::soak::ledger::{ConnectionFlood, Ledger, ProcessEvent, ProcessRecord, RequestEnd, RequestRecord};
use std::collections::BTreeMap;

/// A request that crosses the close of a connection without open requests within this time is the client's to send again.
const CLOSE_CROSSING: f64 = 0.05;
/// How long a client may use a connection after its process was killed, before it notices.
const KILL_NOTICE: f64 = 0.1;
/// How long after the end of a flood its connections are closed.
const FLOOD_CLOSE_TIME: f64 = 1.0;

/// New connections come for so long after SIGTERM where no other process takes over.
const NEW_CONNECTIONS_AFTER_TERMINATION: f64 = 0.4;

/// Why a request that was not answered, or late, violates no rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// It crossed the close of a used connection.
    CrossedClose,
    /// Its new connection was closed unread, as the descriptors were full.
    ClosedUnread,
    /// Its new connection was closed unread by a process that was told to end long before.
    ClosedInShutdown,
    /// The process was killed as a fault of the run.
    Killed,
    /// The process was paused when SIGKILL came at the end of its shutdown.
    KilledInPause,
    /// The answer is late by less than the process was paused.
    Paused,
    /// It could not be written completely: no process accepted it.
    WriteFailed,
}

impl Excuse {
    /// The name in reports.
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

/// What the rule says of a request.
enum Verdict {
    Kept,
    Excused(Excuse),
    Violated(String),
}

/// Each request that a process accepted gets one final answer, in time. A process that was paused answers later by that time;
/// one that was killed answers nothing.
pub fn answers(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let violation = |(txn, request): (&String, _)| match verdict(ledger, parameters, txn, request) {
        Verdict::Violated(violation) => Some(violation),
        Verdict::Kept | Verdict::Excused(_) => None,
    };
    ledger.requests.iter().filter_map(violation).collect()
}

/// How many requests each excuse covers.
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
            if request.on_used_connection && request.ended_after - request.sent <= CLOSE_CROSSING {
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
        RequestEnd::Abandoned(_) => Verdict::Kept,
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
        false => Verdict::Kept,
    }
}

/// By how much an answer is late, without the time for which a process was paused.
fn delay(processes: &[ProcessRecord], request: &RequestRecord, at: f64) -> f64 {
    let pauses = processes.iter().map(|process| process.paused_within(request.sent, at));
    at - request.sent - request.timeout - pauses.fold(0.0, f64::max)
}

/// During a hot restart it is not known which of two processes accepted a connection: both excuse it.
fn kill_excuse(
    processes: &[ProcessRecord],
    parameters: &RuleParameters,
    request: &RequestRecord,
    at: f64,
) -> Option<Excuse> {
    let is_during = |kill: f64| kill >= request.sent - KILL_NOTICE && kill <= at + parameters.answer_grace;
    let has = |event: ProcessEvent, also: fn(&ProcessRecord) -> bool| {
        let killed = processes.iter().filter(|process| process.first(event).is_some_and(is_during));
        killed.into_iter().any(also)
    };
    if has(ProcessEvent::Killed, |_| true) {
        return Some(Excuse::Killed);
    }
    has(ProcessEvent::Overdue, ProcessRecord::is_paused_when_overdue).then_some(Excuse::KilledInPause)
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

/// Whether a connection that was opened when no more come, as the only process had been told to end, was closed unread: the system
/// resets one that comes into the accept queue as its listener is closed.
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

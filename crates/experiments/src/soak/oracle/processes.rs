//! The rules on gateway processes: a process listens in time, exits in time after SIGTERM and not before, counts no violations of its own
//! rules, and logs no more than a maximum number of lines per second.

use super::parameters::RuleParameters;
use crate::soak::ledger::{Ledger, ProcessEvent, ProcessRecord, RequestEnd, RequestRecord};

/// Checks all processes of all gateways.
pub fn processes(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let mut violations = Vec::new();
    for (gateway, processes) in ledger.processes.iter().enumerate() {
        for (number, process) in processes.iter().enumerate() {
            let has_answered = has_answered(ledger, gateway, process);
            let lines = process_violations(process, has_answered, parameters);
            let named = lines.into_iter().map(|line| format!("gateway {gateway} process {number}: {line}"));
            violations.extend(named);
        }
    }
    violations
}

/// Returns whether the gateway answered a request while the process ran. This shows that a process listened whose log line about it
/// could not be written.
fn has_answered(ledger: &Ledger, gateway: usize, process: &ProcessRecord) -> bool {
    let from = process.events.first().map_or(0.0, |(at, _)| *at);
    let to = process.events.last().map_or(from, |(at, _)| *at);
    let is_sent = |request: &&RequestRecord| request.gateway == gateway && request.sent > from;
    let is_answered = |request: &RequestRecord| matches!(request.end, RequestEnd::Answered(at, _) if at < to);
    ledger.requests.values().filter(is_sent).any(is_answered)
}

fn process_violations(
    process: &ProcessRecord,
    has_answered: bool,
    parameters: &RuleParameters,
) -> Vec<String> {
    let checks = [
        start_violation(process, has_answered, parameters),
        end_violation(process, parameters),
        overdue_violation(process),
        counted_violations(process),
        log_violation(process, parameters),
    ];
    checks.into_iter().flatten().collect()
}

fn started_at(process: &ProcessRecord) -> f64 {
    process.first(ProcessEvent::Started).unwrap_or(0.0)
}

fn start_violation(
    process: &ProcessRecord,
    has_answered: bool,
    parameters: &RuleParameters,
) -> Option<String> {
    let started = started_at(process);
    if let Some(at) = process.first(ProcessEvent::Listening) {
        let took = at - started;
        let is_late = took - process.paused_within(started, at) > parameters.max_start_time;
        return is_late.then(|| format!("began to listen only {took:.1} s after its start"));
    }
    let ends = [
        process.first(ProcessEvent::Terminated),
        process.first(ProcessEvent::Killed),
        process.exit().map(|(at, _)| at),
    ];
    let ended = ends.into_iter().flatten().fold(f64::INFINITY, f64::min);
    (!has_answered && ended - started > parameters.max_start_time).then(|| "never listened".into())
}

fn end_violation(process: &ProcessRecord, parameters: &RuleParameters) -> Option<String> {
    if process.first(ProcessEvent::Killed).is_some() || process.paused_in_shutdown() > 0.0 {
        return None;
    }
    match (process.exit(), process.first(ProcessEvent::Terminated)) {
        (Some((at, code)), None) => Some(format!("exited by itself at {at:.3} s with {code:?}")),
        (Some((_, code)), Some(_)) if code != Some(0) => Some(format!("exited with {code:?} after SIGTERM")),
        (Some((at, _)), Some(terminated)) => {
            let took = at - terminated - process.paused_within(terminated, at);
            (took > parameters.max_shutdown_time).then(|| format!("exited only {took:.1} s after SIGTERM"))
        }
        (None, Some(_)) => Some("did not exit after SIGTERM".into()),
        (None, None) => None,
    }
}

fn overdue_violation(process: &ProcessRecord) -> Option<String> {
    // A process that was paused during the grace period had less time to shut down. The rule on answers checks its requests.
    let overdue = process.first(ProcessEvent::Overdue).filter(|_| process.paused_in_shutdown() == 0.0);
    overdue.map(|_| "was still running when the run sent SIGKILL".into())
}

fn counted_violations(process: &ProcessRecord) -> Option<String> {
    let has_violations = process.violations.is_some_and(|count| count > 0);
    has_violations.then(|| format!("logged {:?} violations of its own rules", process.violations))
}

fn log_violation(process: &ProcessRecord, parameters: &RuleParameters) -> Option<String> {
    let started = started_at(process);
    let ran = process.events.last().map_or(started, |(at, _)| *at) - started;
    let is_too_much = process.log_lines as f64 > parameters.max_log_lines * ran.max(1.0);
    is_too_much.then(|| format!("wrote {} log lines in {ran:.1} s", process.log_lines))
}

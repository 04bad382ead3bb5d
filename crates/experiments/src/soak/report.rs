//! Reports the result of a run: its figures, and the records behind each violation.

use super::ledger::{Answer, ProcessEvent, ProcessRecord, RequestEnd};
use super::options::SoakOptions;
use super::run::SoakResult;
use super::schedule;
use serde_json::{json, Value};

/// Maximum number of characters of the first violation in the figures.
const MAX_FIGURE_CHARS: usize = 160;

/// Prints the schedule, and the records of each request with a violation, so that the schedule of a failing seed can be reduced by leaving
/// out faults by their numbers.
pub(super) fn print_violations(result: &SoakResult) {
    if result.violations.is_empty() {
        return;
    }
    for (number, planned) in result.schedule.iter().enumerate() {
        eprintln!("fault {number}: {planned:?}");
    }
    eprintln!("violations by rule: {:?}; excuses: {:?}", result.violations_by_rule, result.excuses);
    for line in &result.violations {
        eprintln!("violation: {line}");
        print_request(result, line.split(':').next().unwrap_or_default());
    }
    print_unserved_requests(result);
    for line in &result.errors {
        eprintln!("standard error: {line}");
    }
}

fn print_request(result: &SoakResult, txn: &str) {
    let ledger = &result.ledger;
    let Some(request) = ledger.requests.get(txn) else { return };
    let processes = ledger.processes.get(request.gateway);
    let process = processes.and_then(|processes| processes.get(request.incarnation as usize));
    eprintln!("  request {request:?}");
    eprintln!("  attempts {:?}", ledger.attempts.get(txn));
    eprintln!("  process {process:?}");
}

fn is_served(end: RequestEnd) -> bool {
    matches!(end, RequestEnd::Answered(_, Answer::Served))
}

/// Prints the requests after the last fault that were not served, for each gateway that failed a request of the recovery check.
fn print_unserved_requests(result: &SoakResult) {
    let ledger = &result.ledger;
    let checks = ledger.recovery_checks.iter().enumerate();
    for (gateway, _) in checks.filter(|(_, check)| check.served < check.sent) {
        for (txn, request) in &ledger.requests {
            let is_late = request.gateway == gateway && request.sent > ledger.last_fault_ended;
            if is_late && !is_served(request.end) {
                let attempts = ledger.attempts.get(txn);
                eprintln!("gateway {gateway} after the last fault: {txn} {request:?} {attempts:?}");
            }
        }
    }
}

/// Returns the longest time in seconds from SIGTERM to the exit of a process that was not paused in between.
fn longest_end(processes: &[Vec<ProcessRecord>]) -> f64 {
    let end = |process: &ProcessRecord| {
        let (terminated, (ended, _)) = process.first(ProcessEvent::Terminated).zip(process.exit())?;
        (process.paused_within(terminated, ended) == 0.0).then_some(ended - terminated)
    };
    processes.iter().flatten().filter_map(end).fold(0.0, f64::max)
}

/// Returns the figures of a run.
pub(super) fn figures(options: &SoakOptions, result: &SoakResult) -> Value {
    let ledger = &result.ledger;
    let ends = || ledger.requests.values().map(|request| request.end);
    let answered = |wanted| {
        ends().filter(|end| matches!(end, RequestEnd::Answered(_, answer) if *answer == wanted)).count()
    };
    let first_violation: String =
        result.violations.first().map_or("", String::as_str).chars().take(MAX_FIGURE_CHARS).collect();
    json!({
        "processes": options.gateways,
        "seconds": options.seconds,
        "crowd": schedule::has_run_long_flood(options.seed),
        "troubles": result.schedule.len(),
        "requests": ends().count(),
        "served": answered(Answer::Served),
        "refused": answered(Answer::Rejected),
        "failed": answered(Answer::Failed),
        "left": ends().filter(|end| matches!(end, RequestEnd::Abandoned(_))).count(),
        "attempts": ledger.attempts.values().map(Vec::len).sum::<usize>(),
        "starts": ledger.processes.iter().map(Vec::len).sum::<usize>(),
        "longest_end_s": longest_end(&ledger.processes),
        "memory_mb": (result.footprint.memory_mb * 10.0).round() / 10.0,
        "descriptors": result.footprint.descriptors,
        "blind_ms": (result.max_observation_delay * 1000.0).round(),
        "breaks": result.violations.len(),
        "breaks_by_rule": result.violations_by_rule,
        "excuses": result.excuses,
        "first_break": first_violation,
    })
}

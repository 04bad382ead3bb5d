//! The rule on drains. It grants the specified excuses and no others. A change of the endpoint list counts as propagated to a gateway
//!
//! - when the name service sends a valid response with the change,
//! - `propagation_delay` after a lost or invalid response that would otherwise have contained the change,
//! - `propagation_delay` after the change, or after the end of a silence of the name service during which the change was made,
//! - `relocation_propagation_delay` after the relocation of the gateway's name service, for a process that got its SIGHUP,
//! - `max_propagation_delay` after the change,
//!
//! whichever comes first. A pause of the process or a backoff does not extend these times.

use super::parameters::RuleParameters;
use crate::soak::ledger::{AttemptRecord, Drain, Ledger, ProcessEvent, ProcessRecord};

/// Checks that no new attempt is sent to an engine that drains or was removed once the grace period after propagation is over.
pub fn drains(ledger: &Ledger, parameters: &RuleParameters) -> Vec<String> {
    let attempts =
        ledger.attempts.iter().flat_map(|(txn, all)| all.iter().map(move |attempt| (txn, attempt)));
    let violation = |(txn, attempt): (&String, _)| drain_violation(ledger, parameters, txn, attempt);
    attempts.filter_map(violation).collect()
}

fn drain_violation(
    ledger: &Ledger,
    parameters: &RuleParameters,
    txn: &str,
    attempt: &AttemptRecord,
) -> Option<String> {
    let engine = attempt.engine;
    let drain = ledger.engines.get(engine)?.drain?;
    let gateway = ledger.requests.get(txn)?.gateway;
    let propagated = propagated_at(ledger, parameters, gateway, &drain, attempt);
    let excess = attempt.arrived.earliest - propagated - parameters.drain_grace;
    let since = propagated - drain.at;
    (excess > 0.0).then(|| {
        format!("{txn}: gateway {gateway} sent to drained engine {engine} {excess:.3} s after the grace period, propagated {since:.3} s after the drain")
    })
}

/// Returns the time at which a drain counts as propagated to the gateway that sent an attempt.
fn propagated_at(
    ledger: &Ledger,
    parameters: &RuleParameters,
    gateway: usize,
    drain: &Drain,
    attempt: &AttemptRecord,
) -> f64 {
    let processes = || starts_of_running(ledger, gateway, drain.at, attempt.arrived.latest);
    // A process does not have the responses that an earlier process received.
    let by_responses = match processes().count() {
        1 => propagated_by_responses(ledger, parameters, gateway, drain),
        _ => f64::INFINITY,
    };
    // A process that started after a relocation did not receive its SIGHUP.
    let last_start = processes().reduce(f64::max);
    let relocations = ledger.relocations.iter().filter(|relocation| {
        relocation.gateway == gateway
            && relocation.at < attempt.arrived.latest
            && last_start.is_none_or(|started| started < relocation.at)
    });
    let by_relocations = relocations
        .map(|relocation| relocation.at + parameters.relocation_propagation_delay)
        .filter(|by| *by >= drain.at);
    let bounds = [
        by_responses,
        end_of_silence(ledger, parameters, gateway, drain.at) + parameters.propagation_delay,
        drain.at + parameters.max_propagation_delay,
    ];
    by_relocations.chain(bounds).fold(f64::INFINITY, f64::min)
}

/// Returns the time at which a drain counts as propagated by the responses that the name service sent to the gateway, or would have sent
/// in place of lost and invalid ones.
fn propagated_by_responses(
    ledger: &Ledger,
    parameters: &RuleParameters,
    gateway: usize,
    drain: &Drain,
) -> f64 {
    let announcements = ledger.announcements.iter();
    let holding = announcements
        .filter(|announcement| announcement.gateway == gateway && announcement.version >= drain.version);
    let propagated = holding.map(|announcement| match announcement.is_valid {
        true => announcement.at,
        false => announcement.at + parameters.propagation_delay,
    });
    propagated.fold(f64::INFINITY, f64::min)
}

/// Returns the earliest time, not before `from`, that is followed by `propagation_delay` without a silence of the name service.
fn end_of_silence(ledger: &Ledger, parameters: &RuleParameters, gateway: usize, from: f64) -> f64 {
    let mut at = from;
    loop {
        let silences =
            ledger.silences.iter().filter(|silence| silence.gateway.is_none_or(|own| own == gateway));
        let overlapping =
            silences.filter(|silence| silence.from < at + parameters.propagation_delay && silence.to > at);
        let Some(end) = overlapping.map(|silence| silence.to).reduce(f64::max) else { return at };
        at = end;
    }
}

/// Returns the start times of those processes of a gateway that ran at some time between `from` and `to`.
fn starts_of_running(ledger: &Ledger, gateway: usize, from: f64, to: f64) -> impl Iterator<Item = f64> + '_ {
    let start = move |process: &ProcessRecord| {
        let started = process.first(ProcessEvent::Started)?;
        (started <= to && process.exit().is_none_or(|(at, _)| at > from)).then_some(started)
    };
    ledger.processes.get(gateway).into_iter().flatten().filter_map(start)
}

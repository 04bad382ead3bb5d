//! The rule on drains, with the excuses of the pages and no others: a change of the list counts as told to a gateway
//!
//! - once a good answer is sent that holds it,
//! - `told_within` after a good answer would have told it that was lost or spoilt,
//! - `told_within` after it happened, or after the end of a silence that it happened in,
//! - `told_after_move` after the gateway's name service has moved, to a process that was told of the move,
//! - `told_by_all_means` after it happened,
//!
//! whichever is first. That a process stood still or backed off is no excuse.

use super::Terms;
use crate::soak::ledger::{AttemptRecord, Ledger, ProcessEvent, ProcessRecord};

/// Nothing new goes to an engine that drains or has gone, past the grace.
pub fn drains(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let all = ledger.attempts.iter().flat_map(|(txn, all)| all.iter().map(move |a| (txn, a)));
    let late = all.filter_map(|(txn, attempt)| {
        let (drained_at, version) = ledger.engines.get(attempt.engine)?.drained?;
        let gateway = ledger.requests.get(txn)?.gateway;
        let told = told(ledger, terms, gateway, &Change { at: drained_at, version }, attempt);
        let over = attempt.arrived - told - terms.drain_grace;
        (over > 0.0).then(|| {
            let since = told - drained_at;
            let engine = attempt.engine;
            format!("{txn}: gateway {gateway} sent to drained engine {engine} {over:.3} s past the grace, told {since:.3} s after the drain")
        })
    });
    late.collect()
}

/// A change of the list.
struct Change {
    at: f64,
    version: u32,
}

/// When a change counts as told to a gateway, for an attempt that it sent.
fn told(ledger: &Ledger, terms: &Terms, gateway: usize, change: &Change, attempt: &AttemptRecord) -> f64 {
    let heard = match lives_in(ledger, gateway, change.at, attempt.arrived) {
        1 => told_by_answers(ledger, terms, gateway, change),
        // What one process was told is not told to the next.
        _ => f64::INFINITY,
    };
    // A process that was started after a move was not told of it.
    let youngest = started_last(ledger, gateway, change.at, attempt.arrived);
    let moves = ledger.moves.iter().filter(|(moved, at)| {
        *moved == gateway && *at < attempt.arrived && youngest.is_none_or(|started| started < *at)
    });
    let by_moves = moves.map(|(_, at)| at + terms.told_after_move).filter(|by| *by >= change.at);
    let bounds = [
        heard,
        unsilenced(ledger, terms, gateway, change.at) + terms.told_within,
        change.at + terms.told_by_all_means,
    ];
    by_moves.chain(bounds).fold(f64::INFINITY, f64::min)
}

/// By the answers that were sent to the gateway, or would have been.
fn told_by_answers(ledger: &Ledger, terms: &Terms, gateway: usize, change: &Change) -> f64 {
    let holds = ledger.announcements.iter().filter(|a| a.gateway == gateway && a.version >= change.version);
    let told = holds.map(|a| if a.is_good { a.at } else { a.at + terms.told_within });
    told.fold(f64::INFINITY, f64::min)
}

/// The first time from then on after which the service is not silent before a change would have been told.
fn unsilenced(ledger: &Ledger, terms: &Terms, gateway: usize, from: f64) -> f64 {
    let mut at = from;
    loop {
        let silent = ledger.silences.iter().filter(|s| s.gateway.is_none_or(|of| of == gateway));
        let overlapping = silent.filter(|s| s.from < at + terms.told_within && s.to > at);
        let Some(end) = overlapping.map(|s| s.to).reduce(f64::max) else { return at };
        at = end;
    }
}

/// When the processes of a gateway started that lived at some time between the two.
fn starts_in(ledger: &Ledger, gateway: usize, from: f64, to: f64) -> impl Iterator<Item = f64> + '_ {
    let start = move |life: &ProcessRecord| {
        let started = life.first(ProcessEvent::Started)?;
        let ended = life.events.iter().find(|(_, event)| matches!(event, ProcessEvent::Exited(_)));
        (started <= to && ended.is_none_or(|(at, _)| *at > from)).then_some(started)
    };
    ledger.processes.get(gateway).into_iter().flatten().filter_map(start)
}

fn lives_in(ledger: &Ledger, gateway: usize, from: f64, to: f64) -> usize {
    starts_in(ledger, gateway, from, to).count()
}

fn started_last(ledger: &Ledger, gateway: usize, from: f64, to: f64) -> Option<f64> {
    starts_in(ledger, gateway, from, to).reduce(f64::max)
}

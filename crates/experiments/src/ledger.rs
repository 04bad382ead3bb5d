//! Checkers and figures over what stand-ins and clients saw. Seconds of the play's clock.

use serde_json::{json, Value};
use starlingplank_test_doubles::engine::{Arrival, ArrivalKind};
use starlingplank_test_doubles::name_service::ReceivedQuery;
use starlingplank_test_doubles::thrift::Answer;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// One try of a client.
#[derive(Debug, Clone)]
pub struct Try {
    pub gateway: usize,
    /// Its name, which the gateway passes on.
    pub txn: String,
    pub sent: f64,
    pub ended: f64,
    /// None: nothing came in its time.
    pub answer: Option<Answer>,
    /// Its gateway took its connection.
    pub connected: bool,
    /// Milliseconds on one core.
    pub work: f64,
    pub in_aim: bool,
    /// Answered past its time.
    pub late: bool,
}

/// The rule on drains on sockets, and what clocks of several processes and threads of this bed may differ by.
const DRAIN: f64 = 2.0 + 0.05 + 0.05;
/// The ration of further attempts: its figures, and its slack on sockets.
const RATION: (f64, f64, f64) = (2.0, 0.2, 10.0);

pub fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

/// Tries that were taken and got no answer, or one too late, but for those that are excused.
pub fn lost_answers(tries: &[Try], excused: impl Fn(&Try) -> bool) -> Vec<String> {
    let lost = |t: &&Try| t.connected && matches!(t.answer, None | Some(Answer::Lost)) && !excused(t);
    let lost: Vec<_> = tries.iter().filter(lost).collect();
    let line = |t: &&Try| {
        format!(
            "{} requests got no answer, the first sent to gateway {} at {:.2} s as {}, over at {:.2} s: {:?}",
            lost.len(),
            t.gateway,
            t.sent,
            t.txn,
            t.ended,
            t.answer
        )
    };
    lost.first().map(line).into_iter().collect()
}

/// Attempts that came while another of their request was out.
pub fn overlaps(n: u64) -> Option<String> {
    (n > 0).then(|| format!("{n} attempts came while another of their request was out"))
}

fn attempts(ledger: &[Arrival]) -> impl Iterator<Item = (f64, &str)> {
    ledger.iter().filter_map(|a| match &a.kind {
        ArrivalKind::Attempt { request: txn, .. } => Some((a.at, txn.as_str())),
        _ => None,
    })
}

fn gateways_of(tries: &[Try]) -> HashMap<&str, usize> {
    tries.iter().map(|t| (t.txn.as_str(), t.gateway)).collect()
}

/// Attempts that came to an engine over two seconds after their gateway was told that it drains.
pub fn drains(tries: &[Try], ledger: &[Arrival], told: &BTreeMap<usize, f64>) -> Option<String> {
    let of = gateways_of(tries);
    let late = attempts(ledger).filter_map(|(at, txn)| {
        let gateway = *of.get(txn)?;
        let told = *told.get(&gateway)?;
        (at > told + DRAIN).then_some((gateway, at, told))
    });
    let late: Vec<_> = late.collect();
    late.first().map(|(gateway, at, told)| {
        format!(
            "{} attempts at a draining engine; gateway {gateway} at {at:.2} s was told at {told:.2} s",
            late.len()
        )
    })
}

/// Of the work that came to an engine over that span, the share from gateways that had been told by then.
pub fn told_share(
    tries: &[Try],
    ledger: &[Arrival],
    (from, to): (f64, f64),
    told: impl Fn(usize) -> f64,
) -> f64 {
    let of = gateways_of(tries);
    let (mut known, mut all) = (0.0, 0.0);
    for a in ledger.iter().filter(|a| a.at >= from && a.at <= to + 0.001) {
        let ArrivalKind::Attempt { request: txn, usual_work: work } = &a.kind else { continue };
        all += work;
        known += of.get(txn.as_str()).filter(|g| told(**g) <= a.at).map_or(0.0, |_| *work);
    }
    if all > 0.0 {
        known / all
    } else {
        0.0
    }
}

/// Further attempts of a gateway beyond its ration in any ten seconds.
pub fn retry_budget(tries: &[Try], ledgers: &[Vec<Arrival>], gateways: usize) -> Option<String> {
    let of = gateways_of(tries);
    let mut sent: Vec<_> = ledgers.iter().flat_map(|l| attempts(l)).collect();
    sent.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut seen, mut further) = (HashMap::<&str, u32>::new(), vec![Vec::new(); gateways]);
    for (at, txn) in sent {
        let n = seen.entry(txn).or_default();
        *n += 1;
        if let Some(gateway) = of.get(txn).filter(|_| *n > 1) {
            further[*gateway].push(at);
        }
    }
    let (free, each, span) = RATION;
    for (gateway, further) in further.iter().enumerate() {
        let taken: Vec<f64> = tries.iter().filter(|t| t.gateway == gateway).map(|t| t.sent).collect();
        for at in further {
            let within = |t: &&f64| **t > at - span && **t <= *at;
            let (n, of) = (further.iter().filter(within).count(), taken.iter().filter(within).count());
            let most = (free + each * of as f64) * 1.15 + 1.0;
            if n as f64 > most {
                return Some(format!(
                    "gateway {gateway} sent {n} further attempts in the 10 s to {at:.2} s, of {of} requests"
                ));
            }
        }
    }
    None
}

fn most_within(times: &[f64], width: f64) -> usize {
    let (mut most, mut first) = (0, 0);
    for (n, at) in times.iter().enumerate() {
        while times[first] < at - width {
            first += 1;
        }
        most = most.max(n + 1 - first);
    }
    most
}

/// What the list service's ledger tells. A gateway holds the list once it was told of it.
/// `ports`: by gateway, what it asked from in its last life.
pub fn questions(asked: &[ReceivedQuery], ports: &[Vec<SocketAddr>], capacity: f64, seconds: f64) -> Value {
    let times: Vec<f64> = asked.iter().map(|a| a.at).collect();
    let later: Vec<f64> = times.iter().copied().filter(|at| *at >= 1.0).collect();
    let told: HashMap<SocketAddr, f64> = asked
        .iter()
        .rev()
        .filter_map(|a| Some((a.from, a.answer.filter(|answer| answer.serial > 0)?.at)))
        .collect();
    // A gateway whose questions go unanswered asks from one socket after the other: when any of its last life's was told.
    let held =
        |ports: &Vec<SocketAddr>| ports.iter().filter_map(|p| told.get(p).copied()).min_by(f64::total_cmp);
    let mut held: Vec<f64> = ports.iter().filter_map(held).collect();
    held.sort_by(f64::total_cmp);
    let by = |share: f64| {
        let n = (ports.len() as f64 * share).ceil().max(1.0) as usize;
        held.get(n - 1).map_or(json!("never"), |at| json!(round(*at)))
    };
    let half = times.iter().filter(|at| **at >= seconds / 2.0).count() as f64 / (seconds / 2.0);
    let late = || asked.iter().filter(|a| a.at >= seconds / 2.0);
    let answered = (late().filter(|a| a.answer.is_some()).count() as f64 / (seconds / 2.0)).round();
    let mut each: HashMap<SocketAddr, usize> = HashMap::new();
    late().for_each(|a| *each.entry(a.from).or_default() += 1);
    let mut each: Vec<usize> = each.into_values().collect();
    each.sort_unstable();
    let quick = each.get(each.len() * 9 / 10).map_or(0.0, |n| round(*n as f64 / (seconds / 2.0)));
    let worst = most_within(&later, 1.0) as f64;
    let mean = later.len() as f64 / (seconds - 1.0).max(1.0);
    json!({
        "questions": times.len(),
        "most_in_10_ms": most_within(&times, 0.01),
        "most_in_100_ms": most_within(&times, 0.1),
        "most_in_1_s": most_within(&times, 1.0),
        "most_in_1_s_after_the_first": worst,
        "a_second_after_the_first": round(mean),
        "answered_a_second_in_the_second_half": answered,
        "quickest_tenth_of_gateways_a_second": quick,
        "a_second_in_the_second_half": half.round(),
        "over_capacity_worst_second": round(worst / capacity),
        "over_capacity_mean": round(mean / capacity),
        "held_by_half_s": by(0.5),
        "held_by_99_in_100_s": by(0.99),
        "held_by_all_s": by(1.0),
    })
}

pub fn connections(ledgers: &[Vec<Arrival>]) -> impl Iterator<Item = (f64, f64)> + '_ {
    ledgers.iter().flatten().filter(|a| a.kind == ArrivalKind::Connection).map(|a| (a.at, 1.0))
}

/// Connections and probes at the engine that had most of them.
pub fn doors(ledgers: &[Vec<Arrival>], seconds: f64) -> Value {
    let of = |what: fn(&ArrivalKind) -> bool, width: f64| {
        let times = |l: &Vec<Arrival>| -> Vec<f64> {
            l.iter().filter(|a| a.at < seconds && what(&a.kind)).map(|a| a.at).collect()
        };
        ledgers.iter().map(|l| most_within(&times(l), width)).max().unwrap_or(0)
    };
    json!({
        "most_connections_in_100_ms": of(|w| *w == ArrivalKind::Connection, 0.1),
        "most_connections_in_1_s": of(|w| *w == ArrivalKind::Connection, 1.0),
        "most_probes_in_100_ms": of(|w| *w == ArrivalKind::HealthCheck, 0.1),
        "most_attempts_in_100_ms": of(|w| matches!(w, ArrivalKind::Attempt { .. }), 0.1),
    })
}

/// Cores' worth of work that was served, at the time it was.
pub fn served(tries: &[Try]) -> impl Iterator<Item = (f64, f64)> + '_ {
    let served = tries.iter().filter(|t| t.answer == Some(Answer::Served));
    served.map(|t| (t.ended, t.work / 100.0))
}

/// What clients met, and the work that was served by spans against the cores that there are when warm.
pub fn clients(tries: &[Try], cores: f64, seconds: f64) -> Value {
    let of = |what: fn(&Try) -> bool| tries.iter().filter(|t| what(t)).count();
    let span = |from: f64, to: f64| {
        let to = to.min(seconds);
        let work: f64 = served(tries).filter(|(at, _)| (from..to).contains(at)).map(|(_, w)| w / 10.0).sum();
        if to > from {
            json!(round(work / (cores * (to - from))))
        } else {
            json!("not played")
        }
    };
    let mut times: Vec<f64> = tries.iter().map(|t| t.sent).collect();
    times.sort_by(f64::total_cmp);
    json!({
        "tries": tries.len(),
        "served": of(|t| t.answer == Some(Answer::Served)),
        "in_aim": of(|t| t.in_aim),
        "late": of(|t| t.late),
        "refused": of(|t| matches!(t.answer, Some(Answer::Refused(_)))),
        "failed": of(|t| t.answer == Some(Answer::Failed)),
        "no_connection": of(|t| !t.connected),
        "most_tries_in_100_ms": most_within(&times, 0.1),
        "served_share_of_cores_0_5_s": span(0.0, 5.0),
        "served_share_of_cores_5_15_s": span(5.0, 15.0),
        "served_share_of_cores_15_60_s": span(15.0, 60.0),
    })
}

/// Sums by tenths of a second.
pub fn in_tenths(points: impl Iterator<Item = (f64, f64)>, seconds: f64) -> Vec<(f64, f64)> {
    let mut out = vec![0.0; (seconds * 10.0).ceil() as usize];
    for (at, n) in points.filter(|(at, _)| *at >= 0.0) {
        if let Some(sum) = out.get_mut((at * 10.0) as usize) {
            *sum += n;
        }
    }
    out.into_iter().enumerate().map(|(n, sum)| (n as f64 / 10.0, sum)).collect()
}

#[cfg(test)]
mod tests;

//! Checks of the rules, and metrics, computed from what test doubles and clients recorded. Times are in seconds since the start of
//! the run.

use serde_json::{json, Value};
use starlingplank_test_doubles::engine::{Arrival, ArrivalKind};
use starlingplank_test_doubles::name_service::ReceivedQuery;
use starlingplank_test_doubles::thrift::Answer;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// One attempt of a client to get an answer for its request.
#[derive(Debug, Clone)]
pub struct ClientAttempt {
    /// Index of the gateway to which the attempt was sent.
    pub gateway: usize,
    /// Client's name for the request, which the gateway forwards to engines.
    pub name: String,
    /// Time at which the attempt was sent.
    pub sent: f64,
    /// Time at which the attempt was answered, lost its connection or timed out.
    pub ended: f64,
    /// Answer from the gateway; `None` if the client stopped waiting before an answer arrived.
    pub answer: Option<Answer>,
    /// Whether the gateway accepted the connection.
    pub connected: bool,
    /// CPU time that the request takes, in milliseconds on one core.
    pub work: f64,
    /// Whether the request was served within the latency objective of its class.
    pub meets_objective: bool,
    /// Whether the attempt ended after the client's timeout.
    pub is_late: bool,
}

/// Time after a gateway was notified of a drain in which its attempts may still arrive at the engine, in seconds: the grace period of
/// the rule, 50 ms of tolerance on sockets, and 50 ms for the difference between the clocks of processes and threads in a run.
const DRAIN_GRACE: f64 = 2.0 + 0.05 + 0.05;
/// Retry budget of a gateway: the minimum number of retries, the number of additional retries for each request, and the sliding window
/// over which both count, in seconds.
const FREE_RETRIES: f64 = 2.0;
const RETRIES_PER_REQUEST: f64 = 0.2;
const RETRY_WINDOW: f64 = 10.0;
/// Tolerance of the retry budget check, as retries and requests are delayed on sockets: a factor, and a number of retries.
const RETRY_SLACK_FACTOR: f64 = 1.15;
const RETRY_SLACK: f64 = 1.0;
/// Tolerance at the end of a span, in seconds, so that arrivals at exactly that time are included.
const SPAN_SLACK: f64 = 0.001;
/// Time at the start of a run that metrics of the steady poll rate exclude, in seconds.
const START_SPAN: f64 = 1.0;
/// Spans over which the served work is reported: key of the metric, start and end in seconds.
const SERVED_SPANS: [(&str, f64, f64); 3] = [
    ("served_share_of_cores_0_5_s", 0.0, 5.0),
    ("served_share_of_cores_5_15_s", 5.0, 15.0),
    ("served_share_of_cores_15_60_s", 15.0, 60.0),
];

/// Rounds a value to three decimals.
pub fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Reports attempts on accepted connections that received no answer, except for excused ones.
pub fn check_lost_answers(
    attempts: &[ClientAttempt],
    is_excused: impl Fn(&ClientAttempt) -> bool,
) -> Vec<String> {
    let is_lost = |attempt: &&ClientAttempt| {
        attempt.connected && matches!(attempt.answer, None | Some(Answer::Lost)) && !is_excused(attempt)
    };
    let lost: Vec<_> = attempts.iter().filter(is_lost).collect();
    let Some(first) = lost.first() else { return Vec::new() };
    vec![format!(
        "{} requests received no answer, the first sent to gateway {} at {:.2} s as {}, ended at {:.2} s: {:?}",
        lost.len(),
        first.gateway,
        first.sent,
        first.name,
        first.ended,
        first.answer
    )]
}

/// Reports attempts that arrived at an engine while another attempt of the same request was in flight.
pub fn check_overlapping_attempts(overlaps: u64) -> Option<String> {
    (overlaps > 0).then(|| {
        format!("{overlaps} attempts arrived while another attempt of the same request was in flight")
    })
}

/// Arrival of an attempt at an engine.
#[derive(Debug, Clone, Copy)]
struct AttemptArrival<'a> {
    at: f64,
    request: &'a str,
    usual_work: f64,
}

fn attempt_arrivals(arrivals: &[Arrival]) -> impl Iterator<Item = AttemptArrival<'_>> {
    arrivals.iter().filter_map(|arrival| match &arrival.kind {
        ArrivalKind::Attempt { request, usual_work } => {
            Some(AttemptArrival { at: arrival.at, request, usual_work: *usual_work })
        }
        _ => None,
    })
}

fn gateways_by_request(attempts: &[ClientAttempt]) -> HashMap<&str, usize> {
    attempts.iter().map(|attempt| (attempt.name.as_str(), attempt.gateway)).collect()
}

/// Reports attempts that arrived at a draining engine after the grace period that follows the notification of their gateway.
pub fn check_drains(
    attempts: &[ClientAttempt],
    arrivals: &[Arrival],
    notified: &BTreeMap<usize, f64>,
) -> Option<String> {
    let gateways = gateways_by_request(attempts);
    let late = attempt_arrivals(arrivals).filter_map(|arrival| {
        let gateway = *gateways.get(arrival.request)?;
        let notified_at = *notified.get(&gateway)?;
        (arrival.at > notified_at + DRAIN_GRACE).then_some((gateway, arrival.at, notified_at))
    });
    let late: Vec<_> = late.collect();
    let (gateway, at, notified_at) = late.first()?;
    Some(format!(
        "{} attempts arrived at a draining engine, the first from gateway {gateway} at {at:.2} s, notified at {notified_at:.2} s",
        late.len()
    ))
}

/// Returns the share of the work arriving at an engine over a span that came from gateways notified before each arrival.
pub fn notified_share(
    attempts: &[ClientAttempt],
    arrivals: &[Arrival],
    span: RangeInclusive<f64>,
    notified_at: impl Fn(usize) -> f64,
) -> f64 {
    let gateways = gateways_by_request(attempts);
    let (from, to) = (*span.start(), *span.end() + SPAN_SLACK);
    let (mut notified, mut all) = (0.0, 0.0);
    for arrival in attempt_arrivals(arrivals).filter(|arrival| arrival.at >= from && arrival.at <= to) {
        all += arrival.usual_work;
        let gateway = gateways.get(arrival.request);
        if gateway.is_some_and(|gateway| notified_at(*gateway) <= arrival.at) {
            notified += arrival.usual_work;
        }
    }
    if all > 0.0 {
        notified / all
    } else {
        0.0
    }
}

/// Returns, by gateway, the times at which its retries arrived at engines: all attempts of a request after the first.
fn retries_by_gateway(
    attempts: &[ClientAttempt],
    arrivals: &[Vec<Arrival>],
    gateways: usize,
) -> Vec<Vec<f64>> {
    let gateway_of = gateways_by_request(attempts);
    let mut sent: Vec<_> = arrivals.iter().flat_map(|arrivals| attempt_arrivals(arrivals)).collect();
    sent.sort_by(|arrival, other| arrival.at.total_cmp(&other.at));
    let (mut counts, mut retries) = (HashMap::<&str, u32>::new(), vec![Vec::new(); gateways]);
    for AttemptArrival { at, request, .. } in sent {
        let count = counts.entry(request).or_default();
        *count += 1;
        if let Some(gateway) = gateway_of.get(request).filter(|_| *count > 1) {
            retries[*gateway].push(at);
        }
    }
    retries
}

/// Reports the first gateway that sent more retries in any window of ten seconds than its retry budget allows.
pub fn check_retry_budget(
    attempts: &[ClientAttempt],
    arrivals: &[Vec<Arrival>],
    gateways: usize,
) -> Option<String> {
    for (gateway, retries) in retries_by_gateway(attempts, arrivals, gateways).iter().enumerate() {
        let of_gateway = attempts.iter().filter(|attempt| attempt.gateway == gateway);
        let requests: Vec<f64> = of_gateway.map(|attempt| attempt.sent).collect();
        for at in retries {
            let is_within = |time: &&f64| **time > at - RETRY_WINDOW && **time <= *at;
            let recent_retries = retries.iter().filter(is_within).count();
            let recent_requests = requests.iter().filter(is_within).count();
            let budget = FREE_RETRIES + RETRIES_PER_REQUEST * recent_requests as f64;
            if recent_retries as f64 > budget * RETRY_SLACK_FACTOR + RETRY_SLACK {
                return Some(format!(
                    "gateway {gateway} sent {recent_retries} retries in the 10 s before {at:.2} s, for {recent_requests} requests"
                ));
            }
        }
    }
    None
}

/// Returns the maximum number of the given ascending times that lie within any span of the given width.
fn max_within(times: &[f64], width: f64) -> usize {
    let (mut max, mut first) = (0, 0);
    for (number, at) in times.iter().enumerate() {
        while times[first] < at - width {
            first += 1;
        }
        max = max.max(number + 1 - first);
    }
    max
}

/// Returns the times at which gateways first received the endpoint list, in ascending order. A gateway whose polls get no response
/// polls from new flows (source addresses) in turn, so a response on any flow of its last process counts.
fn first_list_times(queries: &[ReceivedQuery], flows: &[Vec<SocketAddr>]) -> Vec<f64> {
    let answered = queries.iter().rev().filter_map(|query| {
        let answer = query.answer.filter(|answer| answer.serial > 0)?;
        Some((query.from, answer.at))
    });
    let first_answers: HashMap<SocketAddr, f64> = answered.collect();
    let first_of = |flows: &Vec<SocketAddr>| {
        flows.iter().filter_map(|flow| first_answers.get(flow).copied()).min_by(f64::total_cmp)
    };
    let mut times: Vec<f64> = flows.iter().filter_map(first_of).collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Returns the 90th percentile of the poll rates of flows over a span, in polls per second.
fn poll_rate_90th_percentile<'a>(queries: impl Iterator<Item = &'a ReceivedQuery>, span: f64) -> f64 {
    let mut counts: HashMap<SocketAddr, usize> = HashMap::new();
    for query in queries {
        *counts.entry(query.from).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable();
    counts.get(counts.len() * 9 / 10).map_or(0.0, |count| round(*count as f64 / span))
}

/// Returns metrics of the polls that the name service received: counts, rates, and times until shares of the gateways received the
/// endpoint list. `flows` has, by gateway, the addresses from which its last process polled.
pub fn poll_metrics(
    queries: &[ReceivedQuery],
    flows: &[Vec<SocketAddr>],
    capacity: f64,
    seconds: f64,
) -> Value {
    let times: Vec<f64> = queries.iter().map(|query| query.at).collect();
    let later: Vec<f64> = times.iter().copied().filter(|at| *at >= START_SPAN).collect();
    let list_times = first_list_times(queries, flows);
    let received_by = |share: f64| {
        let gateways = (flows.len() as f64 * share).ceil().max(1.0) as usize;
        list_times.get(gateways - 1).map_or(json!("never"), |at| json!(round(*at)))
    };
    let half = seconds / 2.0;
    let second_half = || queries.iter().filter(|query| query.at >= half);
    let answered = second_half().filter(|query| query.answer.is_some()).count();
    let max_later = max_within(&later, 1.0) as f64;
    let mean_later = later.len() as f64 / (seconds - START_SPAN).max(1.0);
    json!({
        "questions": times.len(),
        "most_in_10_ms": max_within(&times, 0.01),
        "most_in_100_ms": max_within(&times, 0.1),
        "most_in_1_s": max_within(&times, 1.0),
        "most_in_1_s_after_the_first": max_later,
        "a_second_after_the_first": round(mean_later),
        "answered_a_second_in_the_second_half": (answered as f64 / half).round(),
        "quickest_tenth_of_gateways_a_second": poll_rate_90th_percentile(second_half(), half),
        "a_second_in_the_second_half": (second_half().count() as f64 / half).round(),
        "over_capacity_worst_second": round(max_later / capacity),
        "over_capacity_mean": round(mean_later / capacity),
        "held_by_half_s": received_by(0.5),
        "held_by_99_in_100_s": received_by(0.99),
        "held_by_all_s": received_by(1.0),
    })
}

/// Returns a point for each connection to an engine: its time, and the count 1.
pub fn connections(arrivals: &[Vec<Arrival>]) -> impl Iterator<Item = (f64, f64)> + '_ {
    let connections = arrivals.iter().flatten().filter(|arrival| arrival.kind == ArrivalKind::Connection);
    connections.map(|arrival| (arrival.at, 1.0))
}

/// Returns the maximum numbers of connections, health checks and attempts that one engine received within short spans.
pub fn arrival_metrics(arrivals: &[Vec<Arrival>], seconds: f64) -> Value {
    let max_of = |is_counted: fn(&ArrivalKind) -> bool, width: f64| {
        let max_at_engine = |arrivals: &Vec<Arrival>| {
            let counted = arrivals.iter().filter(|arrival| arrival.at < seconds && is_counted(&arrival.kind));
            let times: Vec<f64> = counted.map(|arrival| arrival.at).collect();
            max_within(&times, width)
        };
        arrivals.iter().map(max_at_engine).max().unwrap_or(0)
    };
    json!({
        "most_connections_in_100_ms": max_of(|kind| *kind == ArrivalKind::Connection, 0.1),
        "most_connections_in_1_s": max_of(|kind| *kind == ArrivalKind::Connection, 1.0),
        "most_probes_in_100_ms": max_of(|kind| *kind == ArrivalKind::HealthCheck, 0.1),
        "most_attempts_in_100_ms": max_of(|kind| matches!(kind, ArrivalKind::Attempt { .. }), 0.1),
    })
}

/// Returns a point for each served request: the time at which it was served, and the number of cores that its work occupies for a
/// tenth of a second.
pub fn served(attempts: &[ClientAttempt]) -> impl Iterator<Item = (f64, f64)> + '_ {
    let served = attempts.iter().filter(|attempt| attempt.answer == Some(Answer::Served));
    served.map(|attempt| (attempt.ended, attempt.work / 100.0))
}

/// Returns the work that was served over a span, as a share of the capacity of the engines' cores when all engines are warm.
fn served_share(attempts: &[ClientAttempt], cores: f64, from: f64, to: f64) -> Value {
    if to <= from {
        return json!("not played");
    }
    let within = served(attempts).filter(|(at, _)| (from..to).contains(at));
    let work: f64 = within.map(|(_, cores)| cores / 10.0).sum();
    json!(round(work / (cores * (to - from))))
}

/// Returns metrics of clients: their attempts by outcome, and the served work as a share of capacity over several spans.
pub fn client_metrics(attempts: &[ClientAttempt], cores: f64, seconds: f64) -> Value {
    let count = |is_counted: fn(&ClientAttempt) -> bool| {
        attempts.iter().filter(|attempt| is_counted(attempt)).count()
    };
    let mut times: Vec<f64> = attempts.iter().map(|attempt| attempt.sent).collect();
    times.sort_by(f64::total_cmp);
    let mut metrics = json!({
        "tries": attempts.len(),
        "served": count(|attempt| attempt.answer == Some(Answer::Served)),
        "in_aim": count(|attempt| attempt.meets_objective),
        "late": count(|attempt| attempt.is_late),
        "refused": count(|attempt| matches!(attempt.answer, Some(Answer::Rejected(_)))),
        "failed": count(|attempt| attempt.answer == Some(Answer::Failed)),
        "no_connection": count(|attempt| !attempt.connected),
        "most_tries_in_100_ms": max_within(&times, 0.1),
    });
    for (name, from, to) in SERVED_SPANS {
        metrics[name] = served_share(attempts, cores, from, to.min(seconds));
    }
    metrics
}

/// Returns the sum of the values of points by tenth of a second, each with the start of its tenth.
pub fn sum_by_tenths(points: impl Iterator<Item = (f64, f64)>, seconds: f64) -> Vec<(f64, f64)> {
    let mut sums = vec![0.0; (seconds * 10.0).ceil() as usize];
    for (at, value) in points.filter(|(at, _)| *at >= 0.0) {
        if let Some(sum) = sums.get_mut((at * 10.0) as usize) {
            *sum += value;
        }
    }
    sums.into_iter().enumerate().map(|(number, sum)| (number as f64 / 10.0, sum)).collect()
}

#[cfg(test)]
mod tests;

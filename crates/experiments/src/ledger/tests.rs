use super::*;

fn client_attempt(gateway: usize, name: &str, sent: f64, answer: Option<Answer>) -> ClientAttempt {
    ClientAttempt {
        gateway,
        name: name.into(),
        sent,
        ended: sent + 1.0,
        answer,
        connected: true,
        work: 1.0,
        meets_objective: false,
        is_late: false,
    }
}

fn attempt(at: f64, request: &str) -> Arrival {
    Arrival { at, kind: ArrivalKind::Attempt { request: request.into(), usual_work: 1.0 } }
}

#[test]
fn rule_violations_are_reported() {
    let valid = [
        client_attempt(0, "a", 1.0, Some(Answer::Served)),
        client_attempt(1, "b", 1.0, Some(Answer::Rejected(5.0))),
    ];
    assert!(check_lost_answers(&valid, |_| false).is_empty());
    let lost = [
        valid[0].clone(),
        client_attempt(1, "c", 2.0, Some(Answer::Lost)),
        client_attempt(1, "d", 2.0, None),
    ];
    assert!(check_lost_answers(&lost, |_| false)[0].starts_with("2 requests"));
    assert!(check_lost_answers(&lost, |attempt| attempt.gateway == 1).is_empty());
    assert!(check_overlapping_attempts(0).is_none() && check_overlapping_attempts(1).is_some());
    let notified = BTreeMap::from([(0, 3.0), (1, f64::INFINITY)]);
    let attempts = [client_attempt(0, "a", 4.0, None), client_attempt(1, "b", 4.0, None)];
    assert!(check_drains(&attempts, &[attempt(5.0, "a"), attempt(9.0, "b")], &notified).is_none());
    assert!(check_drains(&attempts, &[attempt(5.2, "a")], &notified).is_some());
}

#[test]
fn retries_beyond_the_budget_are_reported() {
    let attempts: Vec<_> = (0..10).map(|n| client_attempt(0, &format!("t{n}"), 1.0, None)).collect();
    let with_retries = |n: usize| -> Vec<Arrival> {
        (0..10).chain(0..n).map(|t| attempt(1.0 + t as f64 / 100.0, &format!("t{t}"))).collect()
    };
    // Ten requests allow 2 retries and 20%, 4 in total, and 5.6 with the tolerance for sockets.
    assert!(check_retry_budget(&attempts, &[with_retries(5)], 1).is_none());
    assert!(check_retry_budget(&attempts, &[with_retries(6)], 1).is_some());
}

#[test]
fn notified_share_is_by_work_and_time_of_arrival() {
    let attempts = [client_attempt(0, "a", 1.0, None), client_attempt(1, "b", 1.0, None)];
    let arrivals = [attempt(1.0, "a"), attempt(2.0, "a"), attempt(2.0, "b"), attempt(9.0, "b")];
    let notified_at = |gateway: usize| if gateway == 0 { 1.5 } else { f64::INFINITY };
    assert_eq!(notified_share(&attempts, &arrivals, 1.0..=3.0, notified_at), 1.0 / 3.0);
    assert_eq!(notified_share(&attempts, &arrivals, 20.0..=30.0, notified_at), 0.0);
}

#[test]
fn max_within_covers_any_span_of_the_width() {
    assert_eq!(max_within(&[0.0, 0.05, 0.09, 0.5, 0.55], 0.1), 3);
    assert_eq!(max_within(&[], 0.1), 0);
}

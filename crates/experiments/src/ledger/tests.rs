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
fn ledger_in_which_a_rule_is_broken_is_found_out() {
    let fine = [
        client_attempt(0, "a", 1.0, Some(Answer::Served)),
        client_attempt(1, "b", 1.0, Some(Answer::Refused(5.0))),
    ];
    assert!(lost_answers(&fine, |_| false).is_empty());
    let lost =
        [fine[0].clone(), client_attempt(1, "c", 2.0, Some(Answer::Lost)), client_attempt(1, "d", 2.0, None)];
    assert!(lost_answers(&lost, |_| false)[0].starts_with("2 requests"));
    assert!(lost_answers(&lost, |attempt| attempt.gateway == 1).is_empty());
    assert!(overlaps(0).is_none() && overlaps(1).is_some());
    let notified = BTreeMap::from([(0, 3.0), (1, f64::INFINITY)]);
    let attempts = [client_attempt(0, "a", 4.0, None), client_attempt(1, "b", 4.0, None)];
    assert!(drains(&attempts, &[attempt(5.0, "a"), attempt(9.0, "b")], &notified).is_none());
    assert!(drains(&attempts, &[attempt(5.2, "a")], &notified).is_some());
}

#[test]
fn further_attempts_beyond_the_ration_are_found_out() {
    let attempts: Vec<_> = (0..10).map(|n| client_attempt(0, &format!("t{n}"), 1.0, None)).collect();
    let again = |n: usize| -> Vec<Arrival> {
        (0..10).chain(0..n).map(|t| attempt(1.0 + t as f64 / 100.0, &format!("t{t}"))).collect()
    };
    // Of ten requests: 2 and 20%, and the slack of sockets, 5.6 in all.
    assert!(retry_budget(&attempts, &[again(5)], 1).is_none());
    assert!(retry_budget(&attempts, &[again(6)], 1).is_some());
}

#[test]
fn share_of_those_that_were_told_is_by_work_and_time() {
    let attempts = [client_attempt(0, "a", 1.0, None), client_attempt(1, "b", 1.0, None)];
    let arrivals = [attempt(1.0, "a"), attempt(2.0, "a"), attempt(2.0, "b"), attempt(9.0, "b")];
    let notified_at = |gateway: usize| if gateway == 0 { 1.5 } else { f64::INFINITY };
    assert_eq!(notified_share(&attempts, &arrivals, 1.0..=3.0, notified_at), 1.0 / 3.0);
    assert_eq!(notified_share(&attempts, &arrivals, 20.0..=30.0, notified_at), 0.0);
}

#[test]
fn spans_are_sliding() {
    assert_eq!(max_within(&[0.0, 0.05, 0.09, 0.5, 0.55], 0.1), 3);
    assert_eq!(max_within(&[], 0.1), 0);
}

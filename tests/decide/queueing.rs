//! Queueing of requests: how long they wait, and in which order they are sent.

use crate::common::{class, engine, incoming, outcome, sends, settings as default_settings};
use crate::harness::{report_busy, run_timers, TestGateway};
use starlingplank::interface::*;

#[test]
fn requests_do_not_wait_while_engines_have_capacity() {
    let settings = default_settings();
    let mut gateway = TestGateway::new(settings, 2);
    let placed = (0..10).filter(|_| gateway.receive(0).1.is_some()).count();
    assert_eq!(placed, 10);
}

#[test]
fn under_overload_a_query_waits_its_maximum_time_and_is_then_rejected_with_retry_after() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    for _ in 0..10 {
        report_busy(&mut gateway, 0, 60.0);
    }
    let (id, sent_to) = gateway.receive(0);
    assert!(sent_to.is_none());
    // 10% of the expected latency is less than a quarter of the latency objective here, so the maximum wait is 125 ms.
    gateway.now += 120.0;
    assert!(gateway.run_cycle(&[Event::Timer(0)]).iter().all(|a| !matches!(a, Action::Reject { .. })));
    gateway.now += 10.0;
    let actions = gateway.run_cycle(&[Event::Timer(0)]);
    let rejected = actions.iter().any(
        |a| matches!(a, Action::Reject { id: r, retry_after, .. } if r.0 == id && *retry_after >= 100.0),
    );
    assert!(rejected, "{actions:?}");
    assert_eq!(gateway.balancer.open_requests(), 0);
}

#[test]
fn at_the_concurrency_limit_the_class_that_used_more_time_is_sent_last() {
    let mut settings = default_settings();
    settings.classes = vec![class("short", 500.0, 3_000.0, 1.0), class("long", 3_000.0, 20_000.0, 1.0)];
    let mut gateway = TestGateway::new(settings, 1);
    gateway.serve(30, 0, 20.0);
    gateway.serve(10, 1, 900.0);
    for _ in 0..10 {
        report_busy(&mut gateway, 0, 60.0);
    }
    let (long, sent_to) = gateway.receive(1);
    assert!(sent_to.is_none());
    let (short, sent_to) = gateway.receive(0);
    assert!(sent_to.is_none());
    let report = LoadReport { util: Some(0.2), inflight: Some(0.0), ..LoadReport::default() };
    let idle = Event::HealthChecked { engine: engine(0), ok: true, elapsed: 1.0, report: Some(report) };
    let order: Vec<u64> = sends(&gateway.run_cycle(&vec![idle; 120])).into_iter().map(|(id, _)| id).collect();
    assert_eq!(order.first(), Some(&short), "the long request is {long}, the order {order:?}");
}

#[test]
fn request_with_a_close_deadline_is_answered_in_time_by_an_idle_gateway() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    for _ in 0..10 {
        report_busy(&mut gateway, 0, 60.0);
    }
    let mut actions = Vec::new();
    run_timers(&mut gateway, 1_010.0, &mut actions);
    let deadline = gateway.now + 27.0;
    let now = gateway.now;
    let received = gateway.run_cycle(&[Event::Request(incoming(900, 0, deadline))]);
    actions.extend(received.into_iter().map(|a| (now, a)));
    run_timers(&mut gateway, deadline + 200.0, &mut actions);
    let answer = actions.iter().find(|(_, a)| matches!(a, Action::Reject { id: RequestId(900), .. }));
    assert!(answer.is_some_and(|(at, _)| *at < deadline), "{answer:?}");
}

/// Requests with the same order key run one after another. Those that cannot end before their deadline are rejected
/// at once. For the others, the wait is counted from the time at which a request becomes the first of its key, so that the
/// requests before it do not use up its maximum wait.
#[test]
fn ordered_requests_that_cannot_end_in_time_are_rejected_at_once_and_the_others_wait() {
    let mut settings = default_settings();
    settings.classes[0].ordered = true;
    let mut gateway = TestGateway::new(settings, 2);
    gateway.serve(40, 0, 500.0);
    let mut events = Vec::new();
    for id in 1_000..1_010 {
        let mut request = incoming(id, 0, gateway.now + 3_000.0);
        request.key = Some(OrderKey(7));
        events.push(Event::Request(request));
    }
    let actions = gateway.run_cycle(&events);
    assert_eq!(sends(&actions).len(), 1);
    let rejected = actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!((2..7).contains(&rejected), "{rejected} of ten rejected at once");
    let first = sends(&actions)[0].clone();
    // Both engines are overloaded when the second request becomes the first of its key. Its wait begins at that time.
    assert!(gateway.advance(500.0).is_empty());
    for n in 0..2 {
        report_busy(&mut gateway, n, 100.0);
    }
    let actions = gateway.run_cycle(&[outcome(first.0, 0, &first.1, Outcome::Ok, 500.0)]);
    assert!(!actions.iter().any(|a| matches!(a, Action::Reject { id: RequestId(1_001), .. })), "{actions:?}");
}

#[test]
fn request_is_rejected_after_its_maximum_wait_if_the_endpoint_list_is_empty() {
    let mut gateway = TestGateway::new(default_settings(), 0);
    gateway.receive(0);
    gateway.now += 130.0;
    assert!(gateway.run_cycle(&[Event::Timer(0)]).iter().any(|a| matches!(a, Action::Reject { .. })));
}

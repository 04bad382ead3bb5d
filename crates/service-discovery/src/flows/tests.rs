use super::*;
use std::net::SocketAddr;

struct Bed {
    flows: Flows,
    open: OpenQuestions,
}

impl Bed {
    fn new() -> Self {
        Self { flows: Flows::new(MOST_FLOWS), open: OpenQuestions::default() }
    }

    fn ask(&mut self, now: Milliseconds) -> Question {
        let flow = self.flows.current().expect("a flow");
        let question = self.open.ask(flow, SocketAddr::from(([127, 0, 0, 1], 53)), now, || now as u16);
        self.flows.ask(&question);
        question
    }
}

#[test]
fn first_flow_is_wanted_and_a_confirmed_one_is_kept() {
    let mut bed = Bed::new();
    assert!(bed.flows.wants_fresh(0.0));
    let flow = bed.flows.open(0.0);
    assert_eq!(bed.flows.current(), Some(flow));
    assert!(!bed.flows.wants_fresh(10_000.0), "nothing was asked from it");
    let question = bed.ask(0.0);
    assert!(!bed.flows.wants_fresh(RENEW_AFTER - 1.0));
    assert!(bed.flows.wants_fresh(RENEW_AFTER));
    bed.flows.confirm(&question, &bed.open);
    assert!(!bed.flows.wants_fresh(RENEW_AFTER));
}

#[test]
fn confirmation_leaves_later_questions_unconfirmed() {
    let mut bed = Bed::new();
    bed.flows.open(0.0);
    let first = bed.ask(0.0);
    bed.ask(200.0);
    bed.flows.confirm(&first, &bed.open);
    assert!(!bed.flows.wants_fresh(199.0 + RENEW_AFTER));
    assert!(bed.flows.wants_fresh(200.0 + RENEW_AFTER));
}

#[test]
fn flow_that_fails_is_left_at_once() {
    let mut bed = Bed::new();
    let flow = bed.flows.open(0.0);
    bed.flows.fail(flow);
    assert!(bed.flows.wants_fresh(0.0));
}

#[test]
fn former_flow_lives_as_long_as_its_last_question() {
    let mut bed = Bed::new();
    let former = bed.flows.open(0.0);
    bed.ask(100.0);
    bed.flows.open(700.0);
    assert_eq!(bed.flows.close(100.0 + ANSWERABLE), []);
    assert_eq!(bed.flows.close(101.0 + ANSWERABLE), [former]);
    assert_eq!(bed.flows.close(1e9), [], "the current flow stays");
}

#[test]
fn flows_are_bounded_and_the_oldest_gives_way() {
    let mut bed = Bed::new();
    let first = bed.flows.open(0.0);
    for _ in 1..MOST_FLOWS {
        bed.flows.open(0.0);
        assert_eq!(bed.flows.close(0.0), []);
    }
    bed.flows.open(0.0);
    assert_eq!(bed.flows.close(0.0), [first]);
}

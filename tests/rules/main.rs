//! Randomized runs of the decision module under random settings. A checker that shares no code with it checks the sending rules.

mod checker;
#[path = "../common/mod.rs"]
mod common;
mod day;
mod settings;

use common::{incoming, settings as default_settings};
use day::RandomRun;
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

#[test]
fn rules_hold_in_randomized_runs() {
    let (mut received, mut sent) = (0, 0);
    for seed in 0..120 {
        let result = std::panic::catch_unwind(|| RandomRun::run(seed));
        let totals = result.unwrap_or_else(|_| panic!("the run of seed {seed} broke a rule"));
        received += totals.received;
        sent += totals.sent;
    }
    assert!(received > 10_000 && sent > received / 6, "too little traffic: {received} received, {sent} sent");
}

#[test]
fn same_events_result_in_the_same_actions() {
    let run = || {
        let mut balancer = Balancer::new(default_settings(), 0.0).expect("settings are valid");
        let mut actions = Vec::new();
        balancer.run_cycle(0.0, &[common::fleet(5)], &mut actions);
        for id in 0..200_u64 {
            let now = id as f64 * 7.0;
            let details = incoming(id, (id % 7 == 0).into(), now + 900.0);
            balancer.run_cycle(now, &[Event::Request(details), Event::Timer(0)], &mut actions);
        }
        actions
    };
    assert_eq!(run(), run());
}

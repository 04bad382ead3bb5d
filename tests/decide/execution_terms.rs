//! Priorities and memory grants.

use crate::common::{incoming, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

/// A load holds up all readers of its data set, so it runs before the many short queries.
#[test]
fn loads_run_first() {
    let mut settings = default_settings();
    settings.supports_priorities = true;
    settings.classes[1].is_load = true;
    let mut gateway = TestGateway::new(settings, 1);
    let actions = gateway.run_cycle(&[Event::Request(incoming(1, 1, 20_000.0))]);
    assert!(actions.iter().any(|a| matches!(a, Action::SetTerms { priority: 3, .. })), "{actions:?}");
}

/// Grants shrink with each attempt, but not below the estimate where engines report no spills.
#[test]
fn grants_stay_over_the_estimate_where_nothing_tells_of_spills() {
    let mut settings = default_settings();
    settings.supports_memory_grants = true;
    let mut gateway = TestGateway::new(settings, 2);
    let mut least = f64::INFINITY;
    for id in 0..2_000 {
        let request = RequestDetails { memory_mb: Some(100.0), ..incoming(id, 0, gateway.now + 3_000.0) };
        for action in gateway.run_cycle(&[Event::Request(request)]) {
            if let Action::SetTerms { memory_mb, .. } = action {
                least = least.min(memory_mb);
            } else if let Action::Send { id, engine, .. } = action {
                gateway.now += 5.0;
                gateway.run_cycle(&[outcome(id.0, 0, &engine, Outcome::Ok, 5.0)]);
            }
        }
    }
    assert!((120.0..1_000.0).contains(&least), "{least}");
}

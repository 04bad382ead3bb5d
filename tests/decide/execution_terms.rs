//! Execution terms that are sent with an attempt: priority and memory grant.

use crate::common::{incoming, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

/// All readers of a data set wait for its load, so a load gets a higher priority than the many short queries.
#[test]
fn loads_get_a_higher_priority_than_queries() {
    let mut settings = default_settings();
    settings.supports_priorities = true;
    settings.classes[1].is_load = true;
    let mut gateway = TestGateway::new(settings, 1);
    let actions = gateway.run_cycle(&[Event::Request(incoming(1, 1, 20_000.0))]);
    assert!(actions.iter().any(|a| matches!(a, Action::SetTerms { priority: 3, .. })), "{actions:?}");
}

/// Memory grants shrink with each attempt. Where engines do not report spills, a grant below the memory estimate
/// would make queries spill without notice, so grants must stay above the estimate.
#[test]
fn grants_stay_above_the_estimate_if_engines_report_no_spills() {
    let mut settings = default_settings();
    settings.supports_memory_grants = true;
    let mut gateway = TestGateway::new(settings, 2);
    let mut min_grant_mb = f64::INFINITY;
    for id in 0..2_000 {
        let request = RequestDetails { memory_mb: Some(100.0), ..incoming(id, 0, gateway.now + 3_000.0) };
        for action in gateway.run_cycle(&[Event::Request(request)]) {
            if let Action::SetTerms { memory_mb, .. } = action {
                min_grant_mb = min_grant_mb.min(memory_mb);
            } else if let Action::Send { id, engine, .. } = action {
                gateway.now += 5.0;
                gateway.run_cycle(&[outcome(id.0, 0, &engine, Outcome::Ok, 5.0)]);
            }
        }
    }
    assert!((120.0..1_000.0).contains(&min_grant_mb), "{min_grant_mb}");
}

//! Subscription to the endpoint list, and removal of the state of engines that are no longer listed.

use crate::common::{member, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn subscription_is_renewed_in_time_after_a_failed_poll() {
    let mut settings = default_settings();
    settings.subscribes_to_endpoints = true;
    let mut gateway = TestGateway::new(settings, 0);
    gateway.now = 10.0;
    gateway.run_cycle(&[Event::EndpointPollFailed]);
    let mut subscribed = false;
    while gateway.now < 2_500.0 {
        gateway.now += 50.0;
        subscribed |= gateway.run_cycle(&[Event::Timer(0)]).contains(&Action::SubscribeToEndpoints);
    }
    assert!(subscribed, "no new subscription within a quarter of ask_within");
}

/// Engines are replaced continually. The state that the gateway keeps of removed engines must not grow without bound.
#[test]
fn state_of_removed_engines_is_discarded() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    for n in 1..=40 {
        gateway.run_cycle(&[Event::EndpointListReceived { complete: true, members: vec![member(n)] }]);
        let (id, sent_to) = gateway.receive(0);
        gateway.advance(1_000.0);
        gateway.run_cycle(&[outcome(id, 0, &sent_to.expect("sent"), Outcome::Ok, 1_000.0)]);
    }
    gateway.advance(30_000.0);
    assert_eq!(gateway.balancer.known_engines(), 1);
}

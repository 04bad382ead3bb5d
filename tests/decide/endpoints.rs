//! Subscription to the endpoint list, and engines that leave it.

use crate::common::{member, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn an_asked_list_is_subscribed_to_and_asked_again_in_time() {
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
    assert!(subscribed, "not asked again within a quarter of ask_within");
}

/// Engines are replaced all day long: the memory for them is bounded.
#[test]
fn engines_that_have_gone_are_forgotten() {
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

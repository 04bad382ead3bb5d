//! Choice of engines for loads of a data set and for the queries that read it.

use crate::common::{incoming, outcome, sends, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

/// Loads of the same data set wait for each other on an engine, so each load is sent to a different engine.
#[test]
fn loads_of_one_data_set_use_different_engines() {
    let mut settings = default_settings();
    settings.classes[1].is_load = true;
    let mut gateway = TestGateway::new(settings, 3);
    let load = |gateway: &mut TestGateway| {
        gateway.next += 1;
        let mut request = incoming(gateway.next, 1, gateway.now + 20_000.0);
        request.data = Some(DataSet(5));
        sends(&gateway.run_cycle(&[Event::Request(request)]))[0].clone()
    };
    // Without this rule, the engine that the data set prefers would get all of its loads.
    let sent_to: std::collections::BTreeSet<EngineId> = (0..3).map(|_| load(&mut gateway).1).collect();
    assert_eq!(sent_to.len(), 3, "{sent_to:?}");
}

/// A data set is locked on an engine while its load is in flight there, and not only for the time that loads are expected
/// to take. Otherwise readers would be sent to an engine where they wait for a load that is slower than usual.
#[test]
fn data_set_is_locked_until_the_load_of_this_gateway_ends() {
    let mut settings = default_settings();
    settings.classes[1].is_load = true;
    // Loads are expected to take this long, so the engine is not considered stuck.
    (settings.classes[1].latency_objective, settings.classes[1].client_timeout) = (30_000.0, 60_000.0);
    settings.classes[0].waits_for_loads = true;
    let mut gateway = TestGateway::new(settings, 2);
    let send_request = |gateway: &mut TestGateway, class: usize, set: u64| {
        gateway.next += 1;
        let request = RequestDetails {
            data: Some(DataSet(set)),
            ..incoming(gateway.next, class, gateway.now + 20_000.0)
        };
        sends(&gateway.run_cycle(&[Event::Request(request)]))[0].clone()
    };
    let (load, loading) = send_request(&mut gateway, 1, 5);
    // A load of another data set occupies the other engine, so that the engines differ only in their locked data sets.
    send_request(&mut gateway, 1, 6);
    gateway.advance(15_000.0);
    let lookups = |gateway: &mut TestGateway| -> Vec<EngineId> {
        (0..12)
            .map(|_| {
                let (id, sent_to) = send_request(gateway, 0, 5);
                gateway.now += 20.0;
                gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 20.0)]);
                sent_to
            })
            .collect()
    };
    assert!(
        lookups(&mut gateway).iter().all(|sent_to| *sent_to != loading),
        "a lookup was sent to the engine that runs the load"
    );
    gateway.run_cycle(&[outcome(load, 0, &loading, Outcome::Ok, 15_000.0)]);
    assert!(
        lookups(&mut gateway).contains(&loading),
        "no lookup was sent to the engine after its load ended"
    );
}

/// A gateway has no information about loads that other gateways sent. Readers of a data set must still rarely be sent to the
/// engine that loads it, because readers and loads of one data set prefer different engines.
#[test]
fn readers_rarely_use_the_engine_to_which_another_gateway_sent_the_load() {
    const DATA_SETS: u64 = 400;
    let mut settings = default_settings();
    settings.classes[0].waits_for_loads = true;
    settings.classes[1].is_load = true;
    let sent_to = |seed: u64, class: usize| -> Vec<EngineId> {
        let mut gateway = TestGateway::new(Settings { seed, ..settings.clone() }, 8);
        let send_one = |data_set: u64| {
            gateway.next += 1;
            let request = RequestDetails {
                data: Some(DataSet(data_set)),
                ..incoming(gateway.next, class, gateway.now + 20_000.0)
            };
            let (id, sent_to) = sends(&gateway.run_cycle(&[Event::Request(request)]))[0].clone();
            gateway.now += 20.0;
            gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 20.0)]);
            sent_to
        };
        (0..DATA_SETS).map(send_one).collect()
    };
    let same_engine =
        sent_to(1, 0).iter().zip(sent_to(2, 1)).filter(|(reader, load)| **reader == *load).count();
    assert!(
        same_engine < 24,
        "{same_engine} of {DATA_SETS} lookups used the engine that loads their data set; chance gives 50"
    );
}

//! Loads and readers of data sets.

use crate::common::{incoming, outcome, sends, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

/// Loads of one data set wait for each other, so each goes to another engine.
#[test]
fn loads_of_one_data_set_keep_apart() {
    let mut settings = default_settings();
    settings.classes[1].is_load = true;
    let mut gateway = TestGateway::new(settings, 3);
    let load = |gateway: &mut TestGateway| {
        gateway.next += 1;
        let mut request = incoming(gateway.next, 1, gateway.now + 20_000.0);
        request.data = Some(DataSet(5));
        sends(&gateway.run_cycle(&[Event::Request(request)]))[0].clone()
    };
    // Without that, the engine that the data set prefers would get all its loads.
    let sent_to: std::collections::BTreeSet<EngineId> = (0..3).map(|_| load(&mut gateway).1).collect();
    assert_eq!(sent_to.len(), 3, "{sent_to:?}");
}

/// The lock of a data set lasts as long as its load is in flight, not as long as loads are expected to take.
#[test]
fn a_set_counts_as_held_for_as_long_as_our_load_is_out() {
    let mut settings = default_settings();
    settings.classes[1].is_load = true;
    // Loads usually take this long: the engine is not stuck.
    (settings.classes[1].latency_objective, settings.classes[1].client_timeout) = (30_000.0, 60_000.0);
    settings.classes[0].waits_for_loads = true;
    let mut gateway = TestGateway::new(settings, 2);
    let ask = |gateway: &mut TestGateway, class: usize, set: u64| {
        gateway.next += 1;
        let request = RequestDetails {
            data: Some(DataSet(set)),
            ..incoming(gateway.next, class, gateway.now + 20_000.0)
        };
        sends(&gateway.run_cycle(&[Event::Request(request)]))[0].clone()
    };
    let (load, loading) = ask(&mut gateway, 1, 5);
    // A load of another data set makes both engines alike except for their locks.
    ask(&mut gateway, 1, 6);
    gateway.advance(15_000.0);
    let lookups = |gateway: &mut TestGateway| -> Vec<EngineId> {
        (0..12)
            .map(|_| {
                let (id, sent_to) = ask(gateway, 0, 5);
                gateway.now += 20.0;
                gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 20.0)]);
                sent_to
            })
            .collect()
    };
    assert!(lookups(&mut gateway).iter().all(|sent_to| *sent_to != loading), "behind the load");
    gateway.run_cycle(&[outcome(load, 0, &loading, Outcome::Ok, 15_000.0)]);
    assert!(lookups(&mut gateway).contains(&loading), "the load has ended");
}

/// A gateway knows of its own loads only. Readers and loads of one data set still prefer different engines.
#[test]
fn readers_of_an_area_stay_clear_of_loads_that_other_gateways_sent() {
    const AREAS: u64 = 400;
    let mut settings = default_settings();
    settings.classes[0].waits_for_loads = true;
    settings.classes[1].is_load = true;
    let sent_to = |seed: u64, class: usize| -> Vec<EngineId> {
        let mut gateway = TestGateway::new(Settings { seed, ..settings.clone() }, 8);
        let one = |area: u64| {
            gateway.next += 1;
            let request = RequestDetails {
                data: Some(DataSet(area)),
                ..incoming(gateway.next, class, gateway.now + 20_000.0)
            };
            let (id, sent_to) = sends(&gateway.run_cycle(&[Event::Request(request)]))[0].clone();
            gateway.now += 20.0;
            gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 20.0)]);
            sent_to
        };
        (0..AREAS).map(one).collect()
    };
    let met = sent_to(1, 0).iter().zip(sent_to(2, 1)).filter(|(reader, load)| **reader == *load).count();
    assert!(met < 24, "{met} of {AREAS} lookups met the load of their area, 50 by chance");
}

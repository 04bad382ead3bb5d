//! Engines in slow start and their budget.

use crate::common::{engine, incoming, member, outcome, sends, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn a_cold_engine_gets_its_part_of_the_budget_and_heavy_queries_cannot_burst() {
    let mut settings = default_settings();
    settings.gateways = 4;
    let mut gateway = TestGateway::new(settings, 0);
    let mut starting = member(0);
    starting.started = Some(0.0);
    gateway.run_cycle(&[Event::Members { complete: true, members: vec![starting] }]);
    let long = (0..10).filter(|_| gateway.receive(1).1.is_some()).count();
    // 3 x 0.3 x 8 cores x 2 s x 0.8 / 4 gateways is 2.9 s of work; a long query counts 4.8 s before any is known.
    assert_eq!(long, 0);
    let short = (0..60).filter(|_| gateway.receive(0).1.is_some()).count();
    assert!((1..=15).contains(&short), "{short} of 60 short ones sent at once");
}

/// What 300 gateways together send to one engine in slow start stays under its budget in any span of the stated length:
/// however load is reported, for light and heavy classes, under steady load, in a burst, after a pause of all, and with
/// two thirds of the gateways restarted in between, which have forgotten what they sent.
fn hundreds_of_gateways_before_a_starting_engine(
    class: usize,
    usual: Milliseconds,
    reported: Option<LoadReport>,
) {
    let settings = default_settings();
    let start = |seed| TestGateway::new(Settings { gateways: 300, seed, ..settings.clone() }, 0);
    let mut gateways: Vec<TestGateway> = (0..300).map(start).collect();
    let mut starting = member(0);
    starting.started = Some(0.0);
    let members: Vec<Member> = std::iter::once(starting).chain((1..12).map(member)).collect();
    let mut sent: Vec<(Milliseconds, f64)> = Vec::new();
    // Each is answered by the next cycle.
    let mut in_flight: Vec<Vec<(u64, EngineId)>> = vec![Vec::new(); gateways.len()];
    let mut times: Vec<Milliseconds> = (0..60).map(|round| f64::from(round) * 100.0).collect();
    times.extend((0..40).map(|round| 8_000.0 + f64::from(round) * 100.0));
    for (round, now) in times.iter().enumerate() {
        for (index, gateway) in gateways.iter_mut().enumerate() {
            let restarts = round == 30 && index % 3 > 0;
            if restarts {
                *gateway = start(1_000 + index as u64);
            }
            gateway.now = *now;
            let mut events = vec![Event::Timer(0)];
            if round == 0 || restarts {
                events.push(Event::Members { complete: true, members: members.clone() });
            }
            if let Some(r) = reported {
                let health_checked = |n, report| Event::HealthChecked {
                    engine: engine(n),
                    ok: true,
                    took: 1.0,
                    report: Some(report),
                };
                events.extend((1..12).map(|n| health_checked(n, r)));
                let idle = LoadReport { inflight: r.inflight.map(|_| 0.0), util: Some(0.0), ..r };
                events.push(health_checked(0, idle));
            }
            // Three queries a second each; more at once after the pause.
            let count = if round == 60 { 6 } else { usize::from((round + index) % 3 == 0) };
            for _ in 0..count {
                gateway.next += 1;
                events.push(Event::Request(incoming(gateway.next, class, now + 3_000.0)));
            }
            events.extend(std::mem::take(&mut in_flight[index]).iter().map(|(id, sent_to)| {
                outcome(*id, 0, sent_to, Outcome::Ok, usual / settings.classes[class].threads)
            }));
            in_flight[index] = sends(&gateway.run_cycle(&events));
            let to_starting = in_flight[index].iter().filter(|(_, e)| *e == engine(0)).count();
            sent.extend((0..to_starting).map(|_| (*now, usual)));
        }
    }
    for (start, _) in &sent {
        let span = sent.iter().filter(|(t, _)| t >= start && *t < start + settings.overload_collapse_after);
        let work: f64 = span.map(|(_, w)| w).sum();
        let warmth = settings.slow_start_from
            + (1.0 - settings.slow_start_from) * start / settings.slow_start_duration;
        let budget = settings.overload_collapse_multiple * warmth * 8.0 * settings.overload_collapse_after;
        assert!(work <= budget, "{work} of {budget} from {start}: class {class}, {reported:?}");
    }
    // Few heavy queries fill that budget: chance may leave them none.
    assert!(class > 0 || sent.len() > 10, "only {} queries: a cold engine must be used", sent.len());
}

#[test]
fn hundreds_of_gateways_together_keep_a_cold_engines_budget() {
    let util = LoadReport { util: Some(1.0), ..LoadReport::default() };
    for reported in [None, Some(util), Some(LoadReport { inflight: Some(10.0), ..util })] {
        hundreds_of_gateways_before_a_starting_engine(0, 200.0, reported);
        hundreds_of_gateways_before_a_starting_engine(1, 4_800.0, reported);
    }
}

/// Engines in slow start are slow without being crowded; a gateway whose engines have all just started uses them fully.
#[test]
fn query_that_takes_long_as_its_engine_is_cold_does_not_tell_of_a_crowd() {
    let mut settings = default_settings();
    settings.gateways = 1;
    settings.slow_start_duration = 1e9;
    let mut gateway = TestGateway::new(settings, 0);
    let started = |n| Member { started: Some(0.0), ..member(n) };
    gateway.run_cycle(&[Event::Members { complete: true, members: (0..4).map(started).collect() }]);
    for _ in 0..200 {
        let (id, sent_to) = gateway.receive(0);
        gateway.advance(300.0);
        let Some(sent_to) = sent_to else { continue };
        // 100 ms of work takes 333 at three tenths of the speed.
        let mut end = outcome(id, 0, &sent_to, Outcome::Ok, 333.0);
        if let Event::Outcome { work, .. } = &mut end {
            *work = Some(100.0);
        }
        gateway.run_cycle(&[end]);
    }
    let speed = gateway.balancer.learned().fleet.speed;
    assert!(speed > 0.9, "queries seem to take {:.1} times as long as alone", 1.0 / speed);
}

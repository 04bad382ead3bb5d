//! The reducer by itself: no sockets, and the clock is a number.

mod common;

use common::settings;
use rstest::rstest;
use starlingplank::core::{
    Answer, AttemptEnd, AttemptId, ClientRequest, Core, Effect, Endpoint, Event, Statement,
};
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use starlingplank_admin::inherited_membership::InheritedMembership;
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_decision::permission::send::{SendPermit, SendRefusal};
use starlingplank_persistence::deduplication_window::{self, DeduplicationWindow, LogState, TrustedLog};
use starlingplank_persistence::recovery::{self, RestoredState};
use starlingplank_persistence::snapshot_records::Snapshot;
use std::collections::BTreeMap;
use std::rc::Rc;

struct Bed {
    core: Core,
    now: Milliseconds,
}

impl Bed {
    fn new(settings: Settings) -> Self {
        let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
        Self { core: Core::new(settings, limits, 1_000.0).expect("sound"), now: 1_000.0 }
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.now += 5.0; // a turn may follow each event
        self.core.handle(self.now, event, &mut effects);
        self.core.handle(self.now, Event::TimersDue, &mut effects);
        self.core.handle(self.now, Event::RunDecisionCycle, &mut effects);
        effects
    }

    fn list(&mut self, version: u64, engines: &[&str]) -> Vec<Effect> {
        let live = |id: &&str| endpoint(id, Availability::Live);
        self.step(Event::EndpointList { version, endpoints: engines.iter().map(live).collect() })
    }

    fn take(&mut self, id: u64, key: Option<&str>) -> Vec<Effect> {
        let asked = RequestDetails {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            key: None,
            deadline: self.now + 2_000.0,
            work: None,
            memory_mb: None,
            data: None,
            is_retry: false,
        };
        let statement = Rc::new(Statement { key: key.map(str::to_owned), ..Statement::default() });
        self.step(Event::RequestReceived(ClientRequest { details: asked, statement }))
    }
}

fn endpoint(id: &str, availability: Availability) -> Endpoint {
    Endpoint {
        member: Member {
            engine: EngineId(id.into()),
            zone: Some(ZoneId(0)),
            kind: Some(KindId(0)),
            cell: 0,
            availability,
            started: None,
        },
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

fn sent(effects: &[Effect]) -> Option<AttemptId> {
    effects.iter().find_map(|e| if let Effect::Send(s) = e { Some(s.id) } else { None })
}

fn answers(effects: &[Effect]) -> Vec<&Answer> {
    effects.iter().filter_map(|e| if let Effect::Answer(_, a) = e { Some(a) } else { None }).collect()
}

#[test]
fn a_late_answer_to_an_attempt_given_up_is_not_the_next_one_s() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a", "b"]);
    let first = sent(&bed.take(1, None)).expect("sent");
    let effects = bed.step(Event::AttemptEnded(first, AttemptEnd::plain(Outcome::ConnectFailed)));
    let second = sent(&effects).expect("sent again");
    assert_eq!(second, AttemptId { request: first.request, number: 1 });
    assert!(answers(&bed.step(Event::AttemptEnded(first, AttemptEnd::plain(Outcome::Ok)))).is_empty());
    assert_eq!(answers(&bed.step(Event::AttemptEnded(second, AttemptEnd::plain(Outcome::Ok)))).len(), 1);
    assert!(
        answers(&bed.step(Event::AttemptEnded(second, AttemptEnd::plain(Outcome::Ok)))).is_empty(),
        "a second answer"
    );
}

#[test]
fn a_list_that_came_late_changes_nothing_and_one_that_is_new_shuts_what_left() {
    let mut bed = Bed::new(settings());
    bed.list(5, &["a"]);
    assert!(!bed.list(4, &[]).iter().any(|e| matches!(e, Effect::DropQueued(_))));
    let first = sent(&bed.take(1, None)).expect("sent");
    assert!(bed.list(6, &[]).iter().any(|e| matches!(e, Effect::DropQueued(_))));
    // What ran there can end no more: it is given up soon, not at its deadline.
    bed.now += 300.0;
    let effects = bed.step(Event::TimersDue);
    assert!(effects.iter().any(|e| matches!(e, Effect::AbortAttempt { attempt, .. } if *attempt == first)));
}

#[test]
fn a_client_that_leaves_ends_its_attempts_at_once() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a"]);
    let first = sent(&bed.take(1, None)).expect("sent");
    let mut effects = Vec::new();
    bed.core.handle(bed.now, Event::ClientDisconnected(RequestId(1)), &mut effects);
    assert!(effects.iter().any(|e| matches!(e, Effect::AbortAttempt { attempt, .. } if *attempt == first)));
}

#[test]
fn a_deadline_is_answered_once_and_in_time() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a"]);
    assert!(sent(&bed.take(1, None)).is_some());
    bed.now += 1_990.0;
    assert_eq!(answers(&bed.step(Event::TimersDue)).len(), 1);
    bed.now += 100.0;
    assert!(answers(&bed.step(Event::TimersDue)).is_empty());
}

/// At the end of its time an attempt was followed by two more that could not leave, both counted as sent.
#[test]
fn nothing_is_sent_in_the_time_kept_for_the_answer() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a", "b"]);
    assert!(sent(&bed.take(1, None)).is_some());
    bed.now += 1_970.0;
    let mut effects = Vec::new();
    for _ in 0..6 {
        effects.extend(bed.step(Event::TimersDue));
    }
    assert_eq!((answers(&effects).len(), sent(&effects)), (1, None));
    assert_eq!(bed.core.counts()[0].outcomes[Outcome::NotExecuted as usize], 0);
}

#[test]
fn a_repeat_of_a_key_does_not_leave_once_the_engines_may_have_forgotten_it() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 1_000.0 };
    let mut bed = Bed::new(s);
    bed.list(1, &["a"]);
    let first = sent(&bed.take(1, Some("k"))).expect("sent");
    bed.step(Event::AttemptEnded(first, AttemptEnd::plain(Outcome::Ok)));
    bed.now += 980.0;
    assert_eq!(sent(&bed.take(2, Some("k"))), None);
    assert!(sent(&bed.take(3, Some("other"))).is_some());
    bed.now += 100.0;
    let late = bed.take(4, Some("k"));
    assert!(sent(&late).is_none() && matches!(answers(&late)[..], [Answer::Rejected(_)]), "engines may lag");
    bed.now += deduplication_window::MAX_ARRIVAL_DELAY;
    assert!(sent(&bed.take(5, Some("k"))).is_some(), "past the window it is a load of its own");
}

/// A bed whose keys go through a log, which was begun.
fn logged() -> Bed {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 12_000.0 };
    let mut bed = Bed::new(s);
    let mut gate = DeduplicationWindow::new(LogState::Open { required: false }, 12_000.0, 100, bed.now);
    gate.restore(TrustedLog::default(), bed.now);
    bed.core.resume(gate, None);
    bed.list(1, &["a", "b"]);
    assert!(bed.step(Event::MaintenanceTick).iter().any(|e| matches!(e, Effect::RewriteLog(_))));
    assert!(bed.step(Event::LogRewritten(Vec::new())).iter().any(|e| matches!(e, Effect::WriteMark { .. })));
    bed
}

fn record(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| if let Effect::WriteRecord { number, .. } = e { Some(*number) } else { None })
}

#[test]
fn keyed_send_leaves_once_its_record_is_durable_and_not_before() {
    let mut bed = logged();
    let effects = bed.take(1, Some("k"));
    let number = record(&effects).expect("a record");
    assert_eq!(sent(&effects), None);
    assert!(sent(&bed.take(2, None)).is_some(), "what has no key waits for no record");
    assert_eq!(
        sent(&bed.step(Event::RecordsDurable(vec![number]))),
        Some(AttemptId { request: RequestId(1), number: 0 })
    );
    assert_eq!(sent(&bed.step(Event::RecordsDurable(vec![number]))), None, "once");
}

#[test]
fn engine_that_drains_while_a_record_is_written_gets_nothing() {
    let mut bed = logged();
    let number = record(&bed.take(1, Some("k"))).expect("a record");
    bed.list(2, &[]);
    let effects = bed.step(Event::RecordsDurable(vec![number]));
    assert_eq!(sent(&effects), None);
    assert_eq!(bed.core.counts()[0].outcomes[Outcome::NotExecuted as usize], 1, "it never ran");
}

/// The window counts from when the request was taken, and what is left of it goes along with the attempt.
#[test]
fn keyed_send_says_until_when_it_may_leave() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 800.0 };
    let mut bed = Bed::new(s);
    bed.list(1, &["a"]);
    let within = |effects: &[Effect]| {
        let sends =
            effects.iter().filter_map(|e| if let Effect::Send(s) = e { Some(s.leave_within) } else { None });
        sends.collect::<Vec<_>>()
    };
    // 20 ms are kept for the way.
    assert_eq!(within(&bed.take(1, Some("k"))), [Some(780.0)]);
    let unkeyed = bed.take(2, None);
    assert_eq!(within(&unkeyed), [None]);
}

#[test]
fn client_that_leaves_before_there_is_an_engine_sends_nothing_once_there_is_one() {
    let mut bed = Bed::new(settings());
    bed.list(1, &[]);
    assert_eq!(sent(&bed.take(1, None)), None, "it waits");
    bed.step(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(sent(&bed.list(2, &["a"])), None);
    // One that stays is sent then.
    bed.list(3, &[]);
    assert_eq!(sent(&bed.take(2, None)), None);
    assert_eq!(sent(&bed.list(4, &["a"])), Some(AttemptId { request: RequestId(2), number: 0 }));
}

#[test]
fn client_that_leaves_while_its_record_is_written_sends_nothing() {
    let mut bed = logged();
    let number = record(&bed.take(1, Some("k"))).expect("a record");
    bed.step(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(sent(&bed.step(Event::RecordsDurable(vec![number]))), None);
}

#[test]
fn disk_that_hangs_costs_keyed_requests_alone_and_they_are_answered_at_once() {
    let mut bed = logged();
    let number = record(&bed.take(1, Some("k"))).expect("a record");
    let mut effects = Vec::new();
    for _ in 0..400 {
        effects.extend(bed.step(Event::TimersDue));
    }
    assert!(sent(&effects).is_none() && answers(&effects).len() == 1, "one answer: {effects:?}");
    assert_eq!(sent(&bed.step(Event::RecordsDurable(vec![number]))), None, "too late to be of use");
    let refused = bed.take(2, Some("other"));
    assert!(matches!(answers(&refused)[..], [Answer::Rejected(_)]) && record(&refused).is_none());
    assert!(sent(&bed.take(3, None)).is_some());
    // The disk goes on: the log is begun anew, and keys leave again once that is durable.
    let effects = bed.step(Event::MaintenanceTick);
    let keys =
        effects.iter().find_map(|e| if let Effect::RewriteLog(w) = e { Some(w.clone()) } else { None });
    let rewrite = keys.expect("begun anew");
    assert_eq!(rewrite.mark, None, "a log that failed carries no mark until it is whole");
    bed.step(Event::LogRewritten(rewrite.keys));
    assert!(record(&bed.take(4, Some("third"))).is_some());
}

#[test]
fn recalled_engines_follow_the_list_that_names_them() {
    let mut first = Bed::new(settings());
    first.list(1, &["a", "b"]);
    let send = sent(&first.take(1, None)).expect("sent");
    (0..60).for_each(|_| drop(first.step(Event::TimersDue)));
    first.step(Event::AttemptEnded(send, AttemptEnd::plain(Outcome::Ok)));
    let learned = first.core.learned(first.now);
    let snapshot = Snapshot::new("n0", &learned, &first.core.addresses());
    assert!(snapshot.engines.iter().any(|e| e.confirmed.is_some()), "{snapshot:?}");

    let mut second = Bed::new(settings());
    second.now = first.now + 500.0;
    let recall = RestoredState::new(&snapshot, second.now, recovery::DEFAULT).expect("it counts");
    second.core.resume(DeduplicationWindow::off(), Some(recall));
    second.list(1, &["a", "b"]);
    let back = second.core.learned(second.now);
    assert!(back.classes[0].bands.iter().any(|b| b.n > 0.5), "{back:?}");
    let doubted: Vec<_> = back.engines.iter().filter(|e| e.perhaps_cold).collect();
    assert_eq!(doubted.len(), 1, "the one that was never heard of: {back:?}");
}

#[test]
fn the_end_answers_what_is_open_and_then_exits() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a"]);
    bed.take(1, None);
    bed.step(Event::Terminate);
    bed.now += 1_000.0;
    assert!(!bed.step(Event::TimersDue).iter().any(|e| matches!(e, Effect::Exit)));
    bed.now += 2_500.0;
    let effects = bed.step(Event::TimersDue);
    assert_eq!(answers(&effects).len(), 1);
    assert!(effects.iter().any(|e| matches!(e, Effect::Exit)));
}

/// One guard keeps both rules: an engine that is out by hand is one that drains, whatever the list says of it later.
#[test]
fn engine_out_by_hand_drains_until_it_is_called_back() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a"]);
    assert!(sent(&bed.take(1, None)).is_some());
    let mut hand = OperatorOverrides::default();
    hand.exclude("a", true, bed.now).expect("listed");
    let effects = bed.step(Event::OperatorOverrides(hand.clone()));
    assert!(effects.iter().any(|e| matches!(e, Effect::DropQueued(engine) if &*engine.0 == "a")));
    assert_eq!(bed.core.engines(), (1, 1));
    assert!(sent(&bed.take(2, None)).is_none());
    // A new event of the list, one without it, and one with it again.
    for (serial, engines) in [(2, &["a", "b"][..]), (3, &["b"]), (4, &["a", "b"])] {
        bed.list(serial, engines);
        for id in 0..20 {
            let effects = bed.take(serial * 100 + id, None);
            let to =
                effects
                    .iter()
                    .find_map(|e| if let Effect::Send(s) = e { Some(s.engine.clone()) } else { None });
            assert!(to.is_none_or(|engine| &*engine.0 == "b"));
        }
    }
    bed.list(5, &["a"]);
    assert!(sent(&bed.take(1_000, None)).is_none());
    hand.include("a", true, bed.now).expect("out");
    bed.step(Event::OperatorOverrides(hand));
    assert_eq!(bed.core.engines(), (1, 0));
    // It is cold, and its budget lets the first request in once a draw allows it.
    let used = (0..500).any(|n| {
        bed.now += 10.0;
        sent(&bed.take(2_000 + n, None)).is_some()
    });
    assert!(used);
}

#[test]
fn what_comes_after_the_last_answers_is_refused_at_once() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a"]);
    bed.step(Event::Terminate);
    assert!(sent(&bed.take(1, None)).is_some(), "there is time left");
    bed.now += 60_000.0;
    bed.step(Event::TimersDue);
    let effects = bed.take(2, None);
    assert!(effects.iter().any(|e| matches!(e, Effect::Answer(RequestId(2), Answer::Rejected(_)))));
    assert!(sent(&effects).is_none());
}

/// A repeat of what another process of this gateway sent keeps to the window of that.
#[test]
fn key_that_another_process_sent_is_not_sent_after_its_window() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 12_000.0 };
    let mut bed = Bed::new(s);
    bed.now = 100_000.0;
    bed.list(1, &["a"]);
    let sends = deduplication_window::KeySends {
        first: bed.now - 11_990.0,
        last: bed.now - 11_990.0,
        window: 12_000.0,
    };
    bed.step(Event::PeerKeys(vec![(deduplication_window::key("k1"), sends)]));
    let effects = bed.take(1, Some("k1"));
    assert!(effects.iter().any(|e| matches!(e, Effect::Answer(_, Answer::Rejected(_)))), "{effects:?}");
    assert!(sent(&bed.take(2, Some("k2"))).is_some());
}

/// A successor starts on `known` alone while the list is silent: what its predecessor heard binds until the service
/// speaks, though it says nothing new, and no longer than a minute.
#[rstest]
#[case::until_the_service_speaks(true)]
#[case::no_longer_than_a_minute(false)]
fn engine_that_an_earlier_process_heard_to_drain_gets_nothing(#[case] speaks: bool) {
    let mut bed = Bed::new(settings());
    let now = bed.now;
    bed.step(Event::InheritedMembership(InheritedMembership::new(now, ["b".to_owned()])));
    bed.list(1, &["a", "b"]);
    let live = |bed: &Bed| bed.core.engines();
    assert_eq!(live(&bed), (2, 1));
    // A stale answer frees nothing.
    bed.list(0, &["a", "b"]);
    assert_eq!(live(&bed), (2, 1));
    // It is passed on to the next successor as it came.
    assert_eq!(bed.core.membership_for_successor(), Some(InheritedMembership::new(now, ["b".to_owned()])));
    if speaks {
        bed.list(1, &["a", "b"]);
    } else {
        bed.now += 60_000.0;
        bed.step(Event::TimersDue);
    }
    assert_eq!(live(&bed), (2, 0));
    assert_eq!(bed.core.membership_for_successor().is_some(), speaks);
}

/// Nothing is known and the list is awaited: what comes is turned away at once, each to come back at another time,
/// until the service speaks, even under the number that this began with.
#[test]
fn what_comes_before_the_first_list_is_refused_at_once_and_spread() {
    let mut bed = Bed::new(Settings { max_retry_after: 10_000.0, ..settings() });
    bed.list(0, &[]);
    bed.core.await_list(bed.now);
    bed.now += 1_000.0;
    let waits: Vec<f64> = (0..20)
        .map(|id| match answers(&bed.take(id, None))[..] {
            [Answer::Rejected(ms)] => *ms,
            ref other => panic!("{other:?}"),
        })
        .collect();
    assert!(waits.iter().all(|ms| (1_000.0..2_600.0).contains(ms)), "{waits:?}");
    let apart = |w: &[f64]| (w[0] - w[1]).abs() > 1.0;
    assert!(waits.windows(2).filter(|w| apart(w)).count() > 15, "{waits:?}");
    bed.list(0, &["a"]);
    assert!(!bed.core.awaits_list() && sent(&bed.take(100, None)).is_some());
}

/// Of 300 that start together this one's probes leave at its place, 150 ms on; requests wait for none of it.
#[test]
fn first_probes_leave_in_turn_and_hold_no_request_up() {
    let mut bed =
        Bed::new(Settings { gateways: 300, gateway_index: Some(150), may_check_health: true, ..settings() });
    let begun = bed.now;
    let probed =
        |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::CheckHealth { .. })).count();
    let mut early = probed(&bed.list(1, &["a", "b", "c"]));
    let effects = bed.take(1, None);
    assert!(sent(&effects).is_some(), "a request does not wait for its gateway's place");
    early += probed(&effects);
    while bed.now < begun + 140.0 {
        early += probed(&bed.step(Event::TimersDue));
    }
    assert_eq!(early, 0);
    let mut later = 0;
    while bed.now < begun + 160.0 {
        later += probed(&bed.step(Event::TimersDue));
    }
    assert!(later >= 2, "{later}");
}

fn permits(effects: &[Effect]) -> Vec<&SendPermit> {
    effects.iter().filter_map(|e| if let Effect::Send(s) = e { Some(&s.permit) } else { None }).collect()
}

/// Whether the reducer says that the list may be relied on, or no longer.
fn told_reliable(effects: &[Effect]) -> Option<bool> {
    effects
        .iter()
        .find_map(|e| if let Effect::LogListReliability(reliable) = e { Some(*reliable) } else { None })
}

#[test]
fn nothing_is_sent_while_the_list_may_not_be_relied_on() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a"]);
    let until = bed.now + 1_000.0;
    assert_eq!(told_reliable(&bed.step(Event::EndpointListLease(until))), None);
    let effects = bed.take(1, None);
    let permit = permits(&effects)[0].clone();
    assert_eq!(permit.check(until - 1.0), Ok(()));
    // The writer asks by itself, also before the reducer's timer has fired.
    assert_eq!(permit.check(until), Err(SendRefusal::ListExpired));
    bed.now = until;
    let effects = bed.step(Event::TimersDue);
    assert_eq!(told_reliable(&effects), Some(false));
    assert!(!effects.iter().any(|e| matches!(e, Effect::DropQueued(_))), "connections stay");
    assert!(sent(&bed.take(2, None)).is_none());
    let until = bed.now + 1_000.0;
    let effects = bed.step(Event::EndpointListLease(until));
    assert_eq!(told_reliable(&effects), Some(true));
    assert!(
        sent(&effects).is_some() || sent(&bed.step(Event::RunDecisionCycle)).is_some(),
        "what waited goes out"
    );
}

#[test]
fn renewed_list_is_relied_on_past_its_former_end() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a"]);
    for _ in 0..100 {
        let effects = bed.step(Event::EndpointListLease(bed.now + 3_500.0));
        assert_eq!(told_reliable(&effects), None);
        bed.now += 200.0;
    }
    assert!(sent(&bed.take(1, None)).is_some());
    // The end comes forward: what was confirmed no longer counts.
    assert_eq!(told_reliable(&bed.step(Event::EndpointListLease(bed.now))), Some(false));
    assert!(sent(&bed.take(2, None)).is_none());
}

/// A service that has moved says an older version than its former address has said since: the version is taken, and what the
/// former one told of drains binds until the present one says as much.
#[test]
fn drains_that_a_former_address_told_bind_until_the_present_one_says_as_much() {
    let mut bed = Bed::new(settings());
    bed.list(1, &["a", "b"]);
    let drains = |id| endpoint(id, Availability::Draining);
    let live = |id| endpoint(id, Availability::Live);
    bed.list(1, &["a", "b"]);
    bed.step(Event::EndpointList { version: 9, endpoints: vec![drains("a"), live("b")] });
    bed.list(9, &["a", "b"]);
    bed.step(Event::PreviousAddressSuperseded);
    bed.list(2, &["a", "b", "c"]);
    assert_eq!((bed.core.membership_version(), bed.core.draining()), (Some(2), vec!["a"]));
    bed.list(8, &["a", "c"]);
    assert_eq!(bed.core.draining(), ["a"]);
    bed.list(9, &["a", "c"]);
    assert!(bed.core.draining().is_empty());
    bed.step(Event::EndpointList { version: 10, endpoints: vec![drains("a"), live("b")] });
    bed.step(Event::PreviousAddressSuperseded);
    bed.list(9, &["a"]);
    assert_eq!(bed.core.draining(), ["a"]);
    bed.now += 61_000.0;
    bed.step(Event::TimersDue);
    assert!(bed.core.draining().is_empty(), "its word does not bind for ever");
}

use super::close::*;
use super::counters::RuleCounters;
use super::list_lease::ListLease;
use super::process::*;
use super::send::*;
use crate::interface::{Idempotency, Outcome, Placement, Scope};
use rstest::rstest;

const FACTS: SendFacts = SendFacts {
    request_open: true,
    list_reliable: true,
    engine_live: true,
    now: 1_000.0,
    deadline: 2_000.0,
    send_by: f64::INFINITY,
    in_flight: 0,
    may_hedge: false,
    may_repeat: true,
    attempts: 0,
    max_attempts: 3,
};

/// An engine of no known zone in that cell.
fn cell(cell: u64) -> Placement {
    Placement { zone: None, cell }
}

#[test]
fn attempt_with_nothing_against_it_is_sent() {
    assert_eq!(may_send(&FACTS), Ok(()));
}

#[rstest]
#[case::client_gone(SendFacts { request_open: false, ..FACTS }, SendRefusal::RequestOver)]
#[case::list_too_old(SendFacts { list_reliable: false, ..FACTS }, SendRefusal::ListExpired)]
#[case::draining(SendFacts { engine_live: false, ..FACTS }, SendRefusal::EngineNotLive)]
#[case::at_its_deadline(SendFacts { deadline: 1_000.0, ..FACTS }, SendRefusal::DeadlineOver)]
#[case::past_its_window(SendFacts { send_by: 999.0, ..FACTS }, SendRefusal::WindowOver)]
#[case::second_copy(SendFacts { in_flight: 1, ..FACTS }, SendRefusal::AnotherInFlight)]
#[case::may_have_run(SendFacts { may_repeat: false, ..FACTS }, SendRefusal::MayNotRepeat)]
#[case::at_the_cap(SendFacts { attempts: 3, ..FACTS }, SendRefusal::AttemptsSpent)]
fn each_reason_is_enough(#[case] facts: SendFacts, #[case] refusal: SendRefusal) {
    assert_eq!(may_send(&facts), Err(refusal));
}

#[rstest]
#[case::safe(Idempotency::Idempotent, cell(2), 9_999.0, true)]
#[case::must_not_run_twice(Idempotency::NotIdempotent, cell(1), 1_001.0, false)]
#[case::same_cell(Idempotency::Keyed { scope: Scope::Cell, window: 500.0 }, cell(1), 1_499.0, true)]
#[case::other_cell(Idempotency::Keyed { scope: Scope::Cell, window: 500.0 }, cell(2), 1_001.0, false)]
#[case::past_the_window(Idempotency::Keyed { scope: Scope::All, window: 500.0 }, cell(1), 1_500.0, false)]
fn what_may_have_run_is_sent_again_where_the_class_allows_it(
    #[case] idempotency: Idempotency,
    #[case] placement: Placement,
    #[case] now: f64,
    #[case] allowed: bool,
) {
    let earlier = EarlierAttempt { sent_at: 1_000.0, placement: cell(1) };
    assert_eq!(may_repeat(idempotency, [earlier].into_iter(), placement, now), allowed);
    assert!(may_repeat(idempotency, std::iter::empty(), placement, now), "nothing has run");
}

#[test]
fn only_what_proves_it_counts_as_never_run() {
    use Outcome::*;
    let proofs = [Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotExecuted].map(never_ran);
    assert_eq!(proofs, [false, false, true, false, true, false, false, true]);
}

#[test]
fn refusal_of_what_may_have_run_is_for_classes_that_any_engine_recognises() {
    assert!(may_reject(Idempotency::NotIdempotent, false) && !may_reject(Idempotency::NotIdempotent, true));
    assert!(may_reject(Idempotency::Idempotent, true));
    assert!(may_reject(Idempotency::Keyed { scope: Scope::All, window: 1.0 }, true));
    assert!(!may_reject(Idempotency::Keyed { scope: Scope::Zone, window: 1.0 }, true));
}

#[rstest]
#[case::resting(ConnectionFacts::default(), Ok(()))]
#[case::open(ConnectionFacts { open_requests: 1, ..Default::default() }, Err(KeepReason::RequestOpen))]
#[case::unwritten(ConnectionFacts { unwritten: 1, ..Default::default() }, Err(KeepReason::Unwritten))]
#[case::begun(ConnectionFacts { incomplete: 1, ..Default::default() }, Err(KeepReason::Incomplete))]
#[case::arrived(ConnectionFacts { unread: 1, ..Default::default() }, Err(KeepReason::Unread))]
fn resting_connection_is_closed_with_nothing_pending(
    #[case] facts: ConnectionFacts,
    #[case] verdict: Result<(), KeepReason>,
) {
    assert_eq!(may_close(&facts), verdict);
}

#[test]
fn client_that_stops_inside_a_message_is_cut_off_unless_more_has_arrived() {
    let stopped = ConnectionFacts { incomplete: 9, ..Default::default() };
    assert_eq!(may_cut_off(&stopped), Ok(()));
    assert_eq!(may_cut_off(&ConnectionFacts { unread: 1, ..stopped }), Err(KeepReason::Unread));
}

#[test]
fn process_with_an_open_request_does_not_end() {
    let open = EndFacts { settled: false, unconnected: true, overdue: true };
    assert!(!may_end(&open));
    assert!(may_end(&EndFacts { settled: true, overdue: false, ..open }));
    assert!(!may_end(&EndFacts { settled: true, unconnected: false, overdue: false }));
}

#[test]
fn violations_are_counted_apart_from_refusals() {
    let counters = RuleCounters::default();
    counters.count(SendRefusal::RequestOver);
    assert_eq!(counters.violations(), 0);
    counters.count(SendRefusal::Revoked);
    assert_eq!((counters.violations(), counters.refused(SendRefusal::Revoked)), (1, 1));
    assert_eq!(counters.by_name().into_iter().collect::<Vec<_>>(), [("request over", 1), ("revoked", 1)]);
}

#[test]
fn permit_holds_while_the_list_may_be_relied_on_and_until_the_attempt_ends() {
    let list = ListLease::default();
    let permit = SendPermit::new(list.clone());
    assert_eq!(permit.check(f64::MAX), Ok(()), "a list that needs no confirmation");
    list.set(1_000.0);
    assert_eq!((list.until(), permit.check(999.0)), (1_000.0, Ok(())));
    assert_eq!(permit.check(1_000.0), Err(SendRefusal::ListExpired));
    assert!(!SendRefusal::ListExpired.is_violation());
    permit.clone().revoke();
    assert_eq!(permit.check(999.0), Err(SendRefusal::Revoked));
}

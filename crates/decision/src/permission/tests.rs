use super::close::*;
use super::counters::RuleCounters;
use super::list_lease::ListLease;
use super::process::*;
use super::send::*;
use crate::interface::{Idempotency, Outcome, Placement, Scope};
use rstest::rstest;

const FACTS: SendConditions = SendConditions {
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
#[case::client_gone(SendConditions { request_open: false, ..FACTS }, SendRefusal::RequestFinished)]
#[case::list_too_old(SendConditions { list_reliable: false, ..FACTS }, SendRefusal::ListExpired)]
#[case::draining(SendConditions { engine_live: false, ..FACTS }, SendRefusal::EngineNotLive)]
#[case::at_its_deadline(SendConditions { deadline: 1_000.0, ..FACTS }, SendRefusal::DeadlinePassed)]
#[case::past_its_window(SendConditions { send_by: 999.0, ..FACTS }, SendRefusal::DeduplicationWindowExpired)]
#[case::second_copy(SendConditions { in_flight: 1, ..FACTS }, SendRefusal::AnotherInFlight)]
#[case::may_have_run(SendConditions { may_repeat: false, ..FACTS }, SendRefusal::MayNotRepeat)]
#[case::at_the_cap(SendConditions { attempts: 3, ..FACTS }, SendRefusal::MaxAttemptsReached)]
fn each_reason_is_enough(#[case] facts: SendConditions, #[case] refusal: SendRefusal) {
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
#[case::resting(CloseConditions::default(), Ok(()))]
#[case::open(CloseConditions { open_requests: 1, ..Default::default() }, Err(KeepReason::RequestOpen))]
#[case::unwritten(CloseConditions { unwritten: 1, ..Default::default() }, Err(KeepReason::Unwritten))]
#[case::begun(CloseConditions { incomplete: 1, ..Default::default() }, Err(KeepReason::Incomplete))]
#[case::arrived(CloseConditions { unread: 1, ..Default::default() }, Err(KeepReason::Unread))]
fn resting_connection_is_closed_with_nothing_pending(
    #[case] facts: CloseConditions,
    #[case] verdict: Result<(), KeepReason>,
) {
    assert_eq!(may_close(&facts), verdict);
}

#[test]
fn client_that_stops_inside_a_message_is_cut_off_unless_more_has_arrived() {
    let stopped = CloseConditions { incomplete: 9, ..Default::default() };
    assert_eq!(may_close_mid_message(&stopped), Ok(()));
    assert_eq!(may_close_mid_message(&CloseConditions { unread: 1, ..stopped }), Err(KeepReason::Unread));
}

#[test]
fn process_with_an_open_request_does_not_end() {
    let open =
        ShutdownConditions { requests_finished: false, no_connections: true, close_window_expired: true };
    assert!(!may_exit(&open));
    assert!(may_exit(&ShutdownConditions { requests_finished: true, close_window_expired: false, ..open }));
    assert!(!may_exit(&ShutdownConditions {
        requests_finished: true,
        no_connections: false,
        close_window_expired: false
    }));
}

#[test]
fn violations_are_counted_apart_from_refusals() {
    let counters = RuleCounters::default();
    counters.count(SendRefusal::RequestFinished);
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

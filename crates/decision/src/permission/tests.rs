use super::close::*;
use super::counters::RuleCounters;
use super::list_lease::ListLease;
use super::process::*;
use super::send::*;
use crate::interface::{Idempotency, Outcome, Placement, Scope};
use rstest::rstest;

const CONDITIONS: SendConditions = SendConditions {
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

/// Returns the placement of an engine in that cell whose zone is not in the settings.
fn cell(cell: u64) -> Placement {
    Placement { zone: None, cell }
}

#[test]
fn attempt_that_meets_all_conditions_may_be_sent() {
    assert_eq!(may_send(&CONDITIONS), Ok(()));
}

#[rstest]
#[case::request_finished(SendConditions { request_open: false, ..CONDITIONS }, SendRefusal::RequestFinished)]
#[case::list_expired(SendConditions { list_reliable: false, ..CONDITIONS }, SendRefusal::ListExpired)]
#[case::draining(SendConditions { engine_live: false, ..CONDITIONS }, SendRefusal::EngineNotLive)]
#[case::at_the_deadline(SendConditions { deadline: 1_000.0, ..CONDITIONS }, SendRefusal::DeadlinePassed)]
#[case::past_the_deduplication_window(SendConditions { send_by: 999.0, ..CONDITIONS }, SendRefusal::DeduplicationWindowExpired)]
#[case::another_in_flight(SendConditions { in_flight: 1, ..CONDITIONS }, SendRefusal::AnotherInFlight)]
#[case::may_have_run(SendConditions { may_repeat: false, ..CONDITIONS }, SendRefusal::MayNotRepeat)]
#[case::at_the_maximum_of_attempts(SendConditions { attempts: 3, ..CONDITIONS }, SendRefusal::MaxAttemptsReached)]
fn each_unmet_condition_refuses_the_attempt(
    #[case] conditions: SendConditions,
    #[case] refusal: SendRefusal,
) {
    assert_eq!(may_send(&conditions), Err(refusal));
}

#[rstest]
#[case::idempotent(Idempotency::Idempotent, cell(2), 9_999.0, true)]
#[case::not_idempotent(Idempotency::NotIdempotent, cell(1), 1_001.0, false)]
#[case::same_cell(Idempotency::Keyed { scope: Scope::Cell, window: 500.0 }, cell(1), 1_499.0, true)]
#[case::other_cell(Idempotency::Keyed { scope: Scope::Cell, window: 500.0 }, cell(2), 1_001.0, false)]
#[case::past_the_window(Idempotency::Keyed { scope: Scope::All, window: 500.0 }, cell(1), 1_500.0, false)]
fn request_that_may_have_run_is_repeated_only_if_its_idempotency_allows_it(
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
fn only_rejected_refused_or_unsent_attempts_never_ran() {
    use Outcome::*;
    let proofs = [Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotExecuted].map(never_ran);
    assert_eq!(proofs, [false, false, true, false, true, false, false, true]);
}

#[test]
fn request_that_may_have_run_is_rejected_only_if_a_retry_anywhere_is_harmless() {
    assert!(may_reject(Idempotency::NotIdempotent, false) && !may_reject(Idempotency::NotIdempotent, true));
    assert!(may_reject(Idempotency::Idempotent, true));
    assert!(may_reject(Idempotency::Keyed { scope: Scope::All, window: 1.0 }, true));
    assert!(!may_reject(Idempotency::Keyed { scope: Scope::Zone, window: 1.0 }, true));
}

#[rstest]
#[case::idle(CloseConditions::default(), Ok(()))]
#[case::open(CloseConditions { open_requests: 1, ..Default::default() }, Err(KeepReason::RequestOpen))]
#[case::unwritten(CloseConditions { unwritten: 1, ..Default::default() }, Err(KeepReason::Unwritten))]
#[case::incomplete_message(CloseConditions { incomplete: 1, ..Default::default() }, Err(KeepReason::Incomplete))]
#[case::unread(CloseConditions { unread: 1, ..Default::default() }, Err(KeepReason::Unread))]
fn idle_connection_is_closed_only_with_nothing_pending(
    #[case] conditions: CloseConditions,
    #[case] verdict: Result<(), KeepReason>,
) {
    assert_eq!(may_close(&conditions), verdict);
}

#[test]
fn connection_stalled_within_a_message_is_closed_unless_bytes_are_unread() {
    let stopped = CloseConditions { incomplete: 9, ..Default::default() };
    assert_eq!(may_close_mid_message(&stopped), Ok(()));
    assert_eq!(may_close_mid_message(&CloseConditions { unread: 1, ..stopped }), Err(KeepReason::Unread));
}

#[test]
fn process_with_an_open_request_does_not_exit() {
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
fn only_refusals_that_are_violations_count_as_violations() {
    let counters = RuleCounters::default();
    counters.count(SendRefusal::RequestFinished);
    assert_eq!(counters.violations(), 0);
    counters.count(SendRefusal::Revoked);
    assert_eq!((counters.violations(), counters.refused(SendRefusal::Revoked)), (1, 1));
    assert_eq!(counters.by_name().into_iter().collect::<Vec<_>>(), [("request over", 1), ("revoked", 1)]);
}

#[test]
fn permit_holds_until_the_list_lease_expires_or_the_attempt_ends() {
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

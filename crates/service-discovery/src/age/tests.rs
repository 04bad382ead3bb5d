use super::*;
use starlingplank_pacing::poll_schedule::{DEFAULT_MAX_INTERVAL, STEADY_INTERVAL};

#[test]
fn age_counts_from_the_poll_whose_response_confirms_the_list() {
    let mut age = ListAge::new(0.0, STEADY_INTERVAL);
    age.confirm(500.0, 0);
    assert_eq!(age.age(2_000.0), 1_500.0);
    age.confirm(400.0, 0);
    assert_eq!(age.age(2_000.0), 1_500.0, "a response to an earlier poll does not change the age");
}

#[test]
fn unconfirmed_list_becomes_late_then_silent_and_each_change_is_reported_once() {
    let mut age = ListAge::new(0.0, STEADY_INTERVAL);
    assert_eq!(age.freshness_change(LATE_AFTER), None);
    assert_eq!(age.freshness_change(LATE_AFTER + 1.0), Some(Freshness::Late));
    assert_eq!(age.freshness_change(SILENT_AFTER), None);
    assert_eq!(age.freshness_change(SILENT_AFTER + 1.0), Some(Freshness::Silent));
    age.confirm(SILENT_AFTER, 0);
    assert_eq!(age.freshness_change(SILENT_AFTER + 1.0), Some(Freshness::Fresh));
}

#[test]
fn service_is_relocated_until_it_responds_to_a_poll_sent_since_the_relocation() {
    let mut age = ListAge::new(0.0, STEADY_INTERVAL);
    age.relocate(300.0);
    age.relocate(600.0);
    assert_eq!(age.freshness(700.0), Freshness::Relocated);
    age.confirm(299.0, 0);
    assert_eq!(age.freshness(700.0), Freshness::Relocated, "the poll was sent to the previous address");
    age.confirm(300.0, 0);
    assert_eq!(age.freshness(700.0), Freshness::Fresh);
}

const GRACE: Milliseconds = 2_000.0;

/// Creates the state of a list that was confirmed as of time 0, with `polls` unanswered polls since, 200 ms apart.
fn list_with_unanswered_polls(polls: u32) -> ListAge {
    let mut age = ListAge::new(0.0, STEADY_INTERVAL);
    (1..=polls).for_each(|n| age.poll_sent(f64::from(n) * 200.0));
    age
}

#[test]
fn lease_ends_one_drain_grace_after_a_change_may_count_as_propagated() {
    assert_eq!(list_with_unanswered_polls(2).lease_end(GRACE), PROPAGATION_DELAY + GRACE);
    assert_eq!(list_with_unanswered_polls(10).lease_end(GRACE), 2_000.0 + PROPAGATION_DELAY + GRACE);
    assert_eq!(list_with_unanswered_polls(100).lease_end(GRACE), MAX_PROPAGATION_DELAY + GRACE);
}

#[test]
fn relocation_of_the_service_shortens_the_lease() {
    let mut age = list_with_unanswered_polls(100);
    age.relocate(500.0);
    age.relocate(900.0);
    assert_eq!(
        age.lease_end(GRACE),
        500.0 + RELOCATION_PROPAGATION_DELAY + GRACE,
        "the first relocation counts"
    );
    age.confirm(600.0, 50);
    assert_eq!(
        age.lease_end(GRACE),
        500.0 + RELOCATION_PROPAGATION_DELAY + GRACE,
        "also after the service has responded"
    );
    age.confirm(500.0 + RELOCATION_PROPAGATION_DELAY, 50);
    assert_eq!(
        age.lease_end(GRACE),
        4_500.0 + PROPAGATION_DELAY + GRACE,
        "the second relocation determines the end"
    );
    age.confirm(900.0 + RELOCATION_PROPAGATION_DELAY, 50);
    assert_eq!(
        age.lease_end(GRACE),
        4_900.0 + MAX_PROPAGATION_DELAY + GRACE,
        "no relocation affects the lease any more"
    );
    let mut late = list_with_unanswered_polls(100);
    late.relocate(5_000.0);
    assert_eq!(late.lease_end(GRACE), MAX_PROPAGATION_DELAY + GRACE);
}

#[test]
fn invalid_response_shortens_the_lease_until_the_list_is_confirmed() {
    let mut age = list_with_unanswered_polls(100);
    age.receive_invalid(700.0);
    age.receive_invalid(800.0);
    assert_eq!(age.lease_end(GRACE), 700.0 + PROPAGATION_DELAY + GRACE);
    age.confirm(600.0, 50);
    assert_eq!(
        age.lease_end(GRACE),
        700.0 + PROPAGATION_DELAY + GRACE,
        "the poll was sent before the invalid response"
    );
    age.confirm(700.0, 50);
    assert_eq!(age.lease_end(GRACE), 700.0 + MAX_PROPAGATION_DELAY + GRACE);
}

/// Changes in a period without polls count as propagated soon afterwards, even if the service is silent since.
#[test]
fn poll_gap_affects_the_lease_until_a_later_poll_is_confirmed() {
    let mut age = list_with_unanswered_polls(2);
    (0..20).for_each(|n| age.poll_sent(5_000.0 + f64::from(n) * 200.0));
    assert_eq!(age.lease_end(GRACE), PROPAGATION_DELAY + GRACE);
    age.confirm(400.0, 20);
    assert_eq!(age.lease_end(GRACE), 400.0 + PROPAGATION_DELAY + GRACE, "the poll was sent before the gap");
    age.confirm(5_000.0, 19);
    assert_eq!(age.lease_end(GRACE), 8_800.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn rare_polls_during_a_silence_count_as_part_of_the_silence() {
    let mut age = list_with_unanswered_polls(3);
    age.poll_sent(4_000.0);
    assert_eq!(age.lease_end(GRACE), 4_000.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn pause_during_a_silence_limits_the_lease_from_the_last_poll_before_the_pause() {
    let mut age = list_with_unanswered_polls(10);
    age.late_poll_sent(5_000.0);
    (1..=20).for_each(|n| age.poll_sent(5_000.0 + f64::from(n) * 200.0));
    assert_eq!(age.lease_end(GRACE), 2_000.0 + PROPAGATION_DELAY + GRACE);
    age.confirm(1_800.0, 22);
    assert_eq!(
        age.lease_end(GRACE),
        1_800.0 + PROPAGATION_DELAY + GRACE,
        "the poll was sent before the pause"
    );
    age.confirm(5_000.0, 20);
    assert_eq!(
        age.lease_end(GRACE),
        9_000.0 + PROPAGATION_DELAY + GRACE,
        "the poll after the pause confirms the list"
    );
}

#[test]
fn slightly_late_poll_does_not_count_as_a_pause_during_a_silence() {
    let mut age = list_with_unanswered_polls(10);
    age.late_poll_sent(2_000.0 + PROPAGATION_DELAY);
    assert_eq!(age.lease_end(GRACE), 2_000.0 + 2.0 * PROPAGATION_DELAY + GRACE);
}

#[test]
fn second_pause_still_limits_the_lease_after_the_first_is_confirmed() {
    let mut age = list_with_unanswered_polls(10);
    age.late_poll_sent(5_000.0);
    age.late_poll_sent(8_000.0);
    age.confirm(5_000.0, 1);
    (1..=20).for_each(|n| age.poll_sent(8_000.0 + f64::from(n) * 200.0));
    assert_eq!(age.lease_end(GRACE), 5_000.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn delayed_response_to_an_earlier_poll_does_not_extend_the_lease() {
    let mut age = list_with_unanswered_polls(10);
    age.confirm(1_000.0, 5);
    let before = age.lease_end(GRACE);
    age.confirm(400.0, 8);
    assert_eq!(age.lease_end(GRACE), before);
}

#[test]
fn lease_covers_four_intervals_if_polls_are_far_apart() {
    let age = ListAge::new(0.0, DEFAULT_MAX_INTERVAL);
    assert_eq!(age.lease_end(GRACE), 4.0 * DEFAULT_MAX_INTERVAL + GRACE);
}

#[test]
fn freshness_is_displayed_by_its_log_name() {
    let names = [Freshness::Fresh, Freshness::Late, Freshness::Silent, Freshness::Relocated]
        .map(|freshness| freshness.to_string());
    assert_eq!(names, ["fresh", "late", "silent", "moved"]);
}

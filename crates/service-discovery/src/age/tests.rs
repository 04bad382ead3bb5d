use super::*;
use starlingplank_pacing::poll_schedule::{DEFAULT_MAX_INTERVAL, STEADY_INTERVAL};

#[test]
fn list_is_as_old_as_the_question_whose_answer_confirms_it() {
    let mut age = ListAge::new(0.0, STEADY_INTERVAL);
    age.confirm(500.0, 0);
    assert_eq!(age.age(2_000.0), 1_500.0);
    age.confirm(400.0, 0);
    assert_eq!(age.age(2_000.0), 1_500.0, "an earlier poll proves nothing more");
}

#[test]
fn list_that_is_not_confirmed_is_late_and_then_silent_and_each_change_is_told_once() {
    let mut age = ListAge::new(0.0, STEADY_INTERVAL);
    assert_eq!(age.freshness_change(LATE_AFTER), None);
    assert_eq!(age.freshness_change(LATE_AFTER + 1.0), Some(Freshness::Late));
    assert_eq!(age.freshness_change(SILENT_AFTER), None);
    assert_eq!(age.freshness_change(SILENT_AFTER + 1.0), Some(Freshness::Silent));
    age.confirm(SILENT_AFTER, 0);
    assert_eq!(age.freshness_change(SILENT_AFTER + 1.0), Some(Freshness::Fresh));
}

#[test]
fn moved_service_counts_as_moved_until_it_answers_a_question_sent_since() {
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

/// A list confirmed as of 0, and so many polls since, 200 ms apart.
fn unanswered(polls: u32) -> ListAge {
    let mut age = ListAge::new(0.0, STEADY_INTERVAL);
    (1..=polls).for_each(|n| age.poll_sent(f64::from(n) * 200.0));
    age
}

#[test]
fn list_is_reliable_for_the_grace_after_a_change_may_count_as_told() {
    assert_eq!(unanswered(2).lease_end(GRACE), PROPAGATION_DELAY + GRACE);
    assert_eq!(unanswered(10).lease_end(GRACE), 2_000.0 + PROPAGATION_DELAY + GRACE);
    assert_eq!(unanswered(100).lease_end(GRACE), MAX_PROPAGATION_DELAY + GRACE);
}

#[test]
fn move_of_the_service_brings_the_end_forward() {
    let mut age = unanswered(100);
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
        "also once it has responded"
    );
    age.confirm(500.0 + RELOCATION_PROPAGATION_DELAY, 50);
    assert_eq!(age.lease_end(GRACE), 4_500.0 + PROPAGATION_DELAY + GRACE, "the second relocation binds");
    age.confirm(900.0 + RELOCATION_PROPAGATION_DELAY, 50);
    assert_eq!(age.lease_end(GRACE), 4_900.0 + MAX_PROPAGATION_DELAY + GRACE, "no relocation binds any more");
    let mut late = unanswered(100);
    late.relocate(5_000.0);
    assert_eq!(late.lease_end(GRACE), MAX_PROPAGATION_DELAY + GRACE);
}

#[test]
fn unusable_answer_brings_the_end_forward_until_the_list_is_confirmed() {
    let mut age = unanswered(100);
    age.receive_invalid(700.0);
    age.receive_invalid(800.0);
    assert_eq!(age.lease_end(GRACE), 700.0 + PROPAGATION_DELAY + GRACE);
    age.confirm(600.0, 50);
    assert_eq!(age.lease_end(GRACE), 700.0 + PROPAGATION_DELAY + GRACE, "its poll was sent before");
    age.confirm(700.0, 50);
    assert_eq!(age.lease_end(GRACE), 700.0 + MAX_PROPAGATION_DELAY + GRACE);
}

/// Changes in a span without polls count as propagated soon after, also where the service is silent since.
#[test]
fn span_in_which_nothing_was_asked_ends_with_a_confirmation_and_not_with_a_silence() {
    let mut age = unanswered(2);
    (0..20).for_each(|n| age.poll_sent(5_000.0 + f64::from(n) * 200.0));
    assert_eq!(age.lease_end(GRACE), PROPAGATION_DELAY + GRACE);
    age.confirm(400.0, 20);
    assert_eq!(age.lease_end(GRACE), 400.0 + PROPAGATION_DELAY + GRACE, "its poll was sent before");
    age.confirm(5_000.0, 19);
    assert_eq!(age.lease_end(GRACE), 8_800.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn span_without_questions_in_the_middle_of_a_silence_is_a_part_of_it() {
    let mut age = unanswered(3);
    age.poll_sent(4_000.0);
    assert_eq!(age.lease_end(GRACE), 4_000.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn pause_within_a_silence_binds_from_the_last_poll_before_it() {
    let mut age = unanswered(10);
    age.late_poll_sent(5_000.0);
    (1..=20).for_each(|n| age.poll_sent(5_000.0 + f64::from(n) * 200.0));
    assert_eq!(age.lease_end(GRACE), 2_000.0 + PROPAGATION_DELAY + GRACE);
    age.confirm(1_800.0, 22);
    assert_eq!(age.lease_end(GRACE), 1_800.0 + PROPAGATION_DELAY + GRACE, "its poll was sent before");
    age.confirm(5_000.0, 20);
    assert_eq!(
        age.lease_end(GRACE),
        9_000.0 + PROPAGATION_DELAY + GRACE,
        "the poll after the pause confirms"
    );
}

#[test]
fn poll_that_is_late_by_a_moment_ends_no_silence() {
    let mut age = unanswered(10);
    age.late_poll_sent(2_000.0 + PROPAGATION_DELAY);
    assert_eq!(age.lease_end(GRACE), 2_000.0 + 2.0 * PROPAGATION_DELAY + GRACE);
}

#[test]
fn second_pause_is_not_forgotten_with_the_first() {
    let mut age = unanswered(10);
    age.late_poll_sent(5_000.0);
    age.late_poll_sent(8_000.0);
    age.confirm(5_000.0, 1);
    (1..=20).for_each(|n| age.poll_sent(8_000.0 + f64::from(n) * 200.0));
    assert_eq!(age.lease_end(GRACE), 5_000.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn late_answer_to_an_early_question_proves_nothing() {
    let mut age = unanswered(10);
    age.confirm(1_000.0, 5);
    let before = age.lease_end(GRACE);
    age.confirm(400.0, 8);
    assert_eq!(age.lease_end(GRACE), before);
}

#[test]
fn list_whose_questions_are_far_apart_is_reliable_for_four_of_them() {
    let age = ListAge::new(0.0, DEFAULT_MAX_INTERVAL);
    assert_eq!(age.lease_end(GRACE), 4.0 * DEFAULT_MAX_INTERVAL + GRACE);
}

#[test]
fn freshness_is_named_in_the_log() {
    let names = [Freshness::Fresh, Freshness::Late, Freshness::Silent, Freshness::Relocated]
        .map(|freshness| freshness.to_string());
    assert_eq!(names, ["fresh", "late", "silent", "moved"]);
}

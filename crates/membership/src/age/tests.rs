use super::*;

#[test]
fn list_is_as_old_as_the_question_whose_answer_confirms_it() {
    let mut age = ListAge::new(0.0);
    age.confirm(500.0);
    assert_eq!(age.age(2_000.0), 1_500.0);
    age.confirm(400.0);
    assert_eq!(age.age(2_000.0), 1_500.0, "an earlier question proves nothing more");
}

#[test]
fn list_that_is_not_confirmed_is_late_and_then_silent_and_each_change_is_told_once() {
    let mut age = ListAge::new(0.0);
    assert_eq!(age.change(LATE_AFTER), None);
    assert_eq!(age.change(LATE_AFTER + 1.0), Some(Freshness::Late));
    assert_eq!(age.change(SILENT_AFTER), None);
    assert_eq!(age.change(SILENT_AFTER + 1.0), Some(Freshness::Silent));
    age.confirm(SILENT_AFTER);
    assert_eq!(age.change(SILENT_AFTER + 1.0), Some(Freshness::Fresh));
}

#[test]
fn moved_service_counts_as_moved_until_it_answers_a_question_sent_since() {
    let mut age = ListAge::new(0.0);
    age.relocate(300.0);
    age.relocate(600.0);
    assert_eq!(age.freshness(700.0), Freshness::Moved);
    age.confirm(299.0);
    assert_eq!(age.freshness(700.0), Freshness::Moved, "the question was for the former address");
    age.confirm(300.0);
    assert_eq!(age.freshness(700.0), Freshness::Fresh);
}

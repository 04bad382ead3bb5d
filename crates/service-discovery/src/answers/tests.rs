use super::*;

#[test]
fn version_tells_news_from_confirmations_and_older_lists() {
    let kinds = [4, 5, 6].map(|version| AnswerKind::of_version(version, 5));
    assert_eq!(kinds, [AnswerKind::Older, AnswerKind::Confirmation, AnswerKind::News]);
}

#[test]
fn counts_are_told_by_kind() {
    let mut counts = AnswerCounts::default();
    counts.count_question();
    counts.count_question();
    AnswerKind::ALL.into_iter().for_each(|kind| counts.count(kind));
    counts.count(AnswerKind::Older);
    assert_eq!((counts.questions(), counts.of(AnswerKind::Older)), (2, 2));
    assert_eq!(
        counts.to_string(),
        "2 questions; answers: 1 news, 1 confirmations, 2 older, 1 from a former address, 1 to no open question, 1 unreadable, 1 truncated"
    );
}

#[test]
fn only_lists_as_new_as_any_known_confirm_it() {
    let confirming: Vec<_> = AnswerKind::ALL.into_iter().filter(|kind| kind.confirms()).collect();
    assert_eq!(confirming, [AnswerKind::News, AnswerKind::Confirmation]);
    let spoilt: Vec<_> = AnswerKind::ALL.into_iter().filter(|kind| kind.is_spoilt()).collect();
    assert_eq!(spoilt, [AnswerKind::UnknownQuestion, AnswerKind::Unreadable, AnswerKind::Truncated]);
}

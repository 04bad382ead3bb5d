use super::*;

#[test]
fn version_distinguishes_updates_confirmations_and_older_lists() {
    let kinds = [4, 5, 6].map(|version| ResponseKind::of_version(version, 5));
    assert_eq!(kinds, [ResponseKind::Older, ResponseKind::Confirmation, ResponseKind::Update]);
}

#[test]
fn responses_are_counted_and_displayed_by_kind() {
    let mut counts = PollCounts::default();
    counts.count_poll();
    counts.count_poll();
    ResponseKind::ALL.into_iter().for_each(|kind| counts.count_response(kind));
    counts.count_response(ResponseKind::Older);
    assert_eq!((counts.polls(), counts.responses(ResponseKind::Older)), (2, 2));
    assert_eq!(
        counts.to_string(),
        "2 questions; answers: 1 news, 1 confirmations, 2 older, 1 from a former address, 1 to no open question, 1 unreadable, 1 truncated"
    );
}

#[test]
fn only_updates_and_confirmations_confirm_the_list() {
    let confirming: Vec<_> = ResponseKind::ALL.into_iter().filter(|kind| kind.confirms()).collect();
    assert_eq!(confirming, [ResponseKind::Update, ResponseKind::Confirmation]);
    let invalid: Vec<_> = ResponseKind::ALL.into_iter().filter(|kind| kind.is_invalid()).collect();
    assert_eq!(invalid, [ResponseKind::Unsolicited, ResponseKind::Malformed, ResponseKind::Truncated]);
}

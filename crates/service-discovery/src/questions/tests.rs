use super::*;

const TO: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 53);

fn ask(open: &mut OpenQuestions, id: u16, flow: u64, now: Milliseconds) -> Question {
    open.ask(FlowId(flow), TO, now, || id)
}

#[test]
fn question_is_answered_once_and_within_its_time() {
    let mut open = OpenQuestions::default();
    let first = ask(&mut open, 7, 1, 0.0);
    ask(&mut open, 8, 1, 10.0);
    assert_eq!(open.answer(7, TO, FlowId(1), ANSWERABLE), Some(first));
    assert_eq!(open.answer(7, TO, FlowId(1), ANSWERABLE), None);
    assert!(open.any_to(TO));
    assert_eq!(open.answer(8, TO, FlowId(1), ANSWERABLE + 11.0), None, "too late");
    assert!(!open.any_to(TO));
}

#[test]
fn open_questions_have_different_ids_and_are_bounded() {
    let mut open = OpenQuestions::default();
    let mut ids = [3, 3, 4].into_iter();
    open.ask(FlowId(1), TO, 0.0, || ids.next().expect("an id"));
    let second = open.ask(FlowId(1), TO, 1.0, || ids.next().expect("an id"));
    assert_eq!((second.id, second.number), (4, 2));
    for n in 0..2 * MOST as u16 {
        ask(&mut open, 100 + n, 1, 2.0);
    }
    assert_eq!(open.open.len(), MOST);
}

#[test]
fn first_question_after_another_is_found_by_its_flow() {
    let mut open = OpenQuestions::default();
    let first = ask(&mut open, 1, 1, 0.0);
    ask(&mut open, 2, 2, 5.0);
    ask(&mut open, 3, 1, 9.0);
    assert_eq!(open.first_after(first.number, FlowId(1)), Some(9.0));
    assert_eq!(open.first_after(first.number, FlowId(3)), None);
    assert_eq!(open.last_number(), 3);
}

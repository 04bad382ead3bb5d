use super::*;

const TO: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 53);

fn add(outstanding: &mut OutstandingPolls, id: u16, flow: u64, now: Milliseconds) -> Poll {
    outstanding.add(FlowId(flow), TO, now, || id)
}

#[test]
fn poll_is_completed_only_once_and_before_it_expires() {
    let mut outstanding = OutstandingPolls::default();
    let first = add(&mut outstanding, 7, 1, 0.0);
    add(&mut outstanding, 8, 1, 10.0);
    assert_eq!(outstanding.complete(7, TO, FlowId(1), RESPONSE_TIMEOUT), Some(first));
    assert_eq!(outstanding.complete(7, TO, FlowId(1), RESPONSE_TIMEOUT), None);
    assert!(outstanding.any_to(TO));
    assert_eq!(outstanding.complete(8, TO, FlowId(1), RESPONSE_TIMEOUT + 11.0), None, "too late");
    assert!(!outstanding.any_to(TO));
}

#[test]
fn outstanding_polls_have_distinct_ids_and_are_bounded() {
    let mut outstanding = OutstandingPolls::default();
    let mut ids = [3, 3, 4].into_iter();
    outstanding.add(FlowId(1), TO, 0.0, || ids.next().expect("an id"));
    let second = outstanding.add(FlowId(1), TO, 1.0, || ids.next().expect("an id"));
    assert_eq!((second.id, second.number), (4, 2));
    for number in 0..2 * MAX_OUTSTANDING as u16 {
        add(&mut outstanding, 100 + number, 1, 2.0);
    }
    assert_eq!(outstanding.polls.len(), MAX_OUTSTANDING);
}

#[test]
fn first_later_poll_is_found_by_flow() {
    let mut outstanding = OutstandingPolls::default();
    let first = add(&mut outstanding, 1, 1, 0.0);
    add(&mut outstanding, 2, 2, 5.0);
    add(&mut outstanding, 3, 1, 9.0);
    assert_eq!(outstanding.first_after(first.number, FlowId(1)), Some(9.0));
    assert_eq!(outstanding.first_after(first.number, FlowId(3)), None);
    assert_eq!(outstanding.last_number(), 3);
}

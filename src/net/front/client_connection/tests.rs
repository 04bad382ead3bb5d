use super::*;
use crate::net::connection::SharedState;
use crate::simulator::Fields;
use std::collections::BTreeMap;

fn connection() -> ClientConnection {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let shared = SharedState::new(1);
    let share = shared.scheduler.new_connection(peer);
    ClientConnection::new(
        peer,
        share.clone(),
        WriteQueue::for_client(shared, share),
        Rc::default(),
        Rc::default(),
    )
}

fn limits() -> Limits {
    Limits::read(&Fields::new("settings", BTreeMap::new())).expect("default limits are valid")
}

#[test]
fn connection_evicted_before_its_first_answer_does_not_linger() {
    let connection = connection();
    connection.write_queue.close(CloseMode::Immediately);
    assert_eq!(connection.close_linger(&limits()), Duration::ZERO);
}

#[test]
fn answered_connection_lingers_so_that_no_answer_is_lost() {
    let (connection, limits) = (connection(), limits());
    connection.send(Frame::plain(b"answer".to_vec()), &limits);
    assert_eq!(connection.close_linger(&limits), limits.close_linger);
    connection.write_queue.close(CloseMode::Immediately);
    assert_eq!(connection.close_linger(&limits), limits.min_idle_before_eviction);
}

use super::*;
use crate::net::connection::SharedState;
use crate::simulator::Fields;
use std::collections::BTreeMap;

fn connection() -> ClientConnection {
    ClientConnection::new(Rc::new(WriteQueue::new(SharedState::new(1))), Rc::default())
}

fn limits() -> Limits {
    Limits::read(&Fields::new("settings", BTreeMap::new())).expect("the defaults")
}

#[test]
fn connection_that_was_never_answered_gives_its_slot_up_at_once() {
    let connection = connection();
    connection.write_queue.close(CloseMode::Immediately);
    assert_eq!(connection.close_linger(&limits()), Duration::ZERO);
}

#[test]
fn connection_that_was_answered_is_read_for_a_moment_so_that_no_answer_is_lost() {
    let (connection, limits) = (connection(), limits());
    connection.send(Frame::plain(b"answer".to_vec()), &limits);
    assert_eq!(connection.close_linger(&limits), limits.close_linger);
    connection.write_queue.close(CloseMode::Immediately);
    assert_eq!(connection.close_linger(&limits), limits.min_idle_before_eviction);
}

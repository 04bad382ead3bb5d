//! What a process may take of its machine, added up.

use rstest::rstest;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;

/// Descriptors that a process needs whatever comes: some 20 were counted, two sockets of the name service among them.
const OWN: usize = 24;

/// Clients, engines, staff and those that wait for room, all at their most, leave what the process itself needs.
#[rstest]
fn descriptors_of_all_that_comes_leave_those_that_the_process_needs(
    #[values(64, 65, 96, 256, 384, 544, 1024)] sockets: usize,
) {
    let set = BTreeMap::from([("machine.sockets".to_owned(), sockets.to_string())]);
    let l = Limits::read(&Fields::new("settings", set)).expect("a number");
    let all = l.max_client_connections
        + l.max_waiting_connections
        + l.max_engine_connections
        + l.max_admin_connections;
    assert!(all + OWN <= sockets, "{all} and {OWN} of {sockets}");
    assert!(all + OWN + sockets / 10 + 8 >= sockets, "and little is left over: {all} of {sockets}");
}

/// SIGKILL follows SIGTERM by the longest deadline, 3 s at most, and 0.7 s: by then a process has answered and closed its connections, with
/// time to spare.
#[rstest]
#[case::longest(9_000.0, 300.0)]
#[case::three_seconds(3_000.0, 300.0)]
#[case::short(1_000.0, 140.0)]
#[case::shortest(100.0, 140.0)]
fn process_ends_well_before_it_may_be_killed(#[case] longest_deadline: f64, #[case] margin: f64) {
    let defaults = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("the defaults");
    let limits = defaults.with_shutdown_deadlines(longest_deadline);
    let close_wait = limits.connection_close_wait.as_secs_f64() * 1000.0;
    let killed_after = longest_deadline.min(3_000.0) + 700.0;
    assert!(limits.shutdown_answer_deadline + close_wait + margin <= killed_after, "{limits:?}");
}

//! Sums of the limits of one process, compared with what its machine allows.

use rstest::rstest;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;

/// Descriptors that a process needs for itself at any load: about 20 are in use, two sockets for the name service among them.
const PROCESS_DESCRIPTORS: usize = 24;

/// With the connections of clients, waiting clients, engines and operators all at their limits, the descriptors that the process
/// itself needs stay free.
#[rstest]
fn connections_at_their_limits_leave_the_descriptors_that_the_process_needs(
    #[values(64, 65, 96, 256, 384, 544, 1024)] sockets: usize,
) {
    let settings = BTreeMap::from([("machine.sockets".to_owned(), sockets.to_string())]);
    let limits = Limits::read(&Fields::new("settings", settings)).expect("a number");
    let connections = limits.max_client_connections
        + limits.max_waiting_connections
        + limits.max_engine_connections
        + limits.max_admin_connections;
    assert!(
        connections + PROCESS_DESCRIPTORS <= sockets,
        "{connections} connections and {PROCESS_DESCRIPTORS} descriptors of the process exceed {sockets}"
    );
    assert!(
        connections + PROCESS_DESCRIPTORS + sockets / 10 + 8 >= sockets,
        "too many descriptors are unused: {connections} of {sockets} are connections"
    );
}

/// The limits of all owners, and what is not counted byte by byte, used to exceed a small machine together.
#[rstest]
fn limits_of_memory_stay_within_the_machine(
    #[values(16, 24, 32, 48, 96, 192)] memory_mb: usize,
    #[values(256, 1_024)] sockets: usize,
    #[values(false, true)] may_hot_restart: bool,
) {
    /// Memory that a process takes at rest with nothing connected, rounded up.
    const PROCESS_BYTES: usize = 5_200_000;
    /// Memory that a connection takes beside what is counted.
    const CONNECTION_BYTES: usize = 4_000;
    let mut settings = BTreeMap::from([
        ("machine.sockets".to_owned(), sockets.to_string()),
        ("machine.memory_mb".to_owned(), memory_mb.to_string()),
    ]);
    settings.extend(may_hot_restart.then(|| ("gateway.operator".to_owned(), "127.0.0.1:1".to_owned())));
    let limits = Limits::read(&Fields::new("settings", settings)).expect("numbers");
    let memory = limits.memory;
    let connections = limits.max_client_connections + limits.max_engine_connections;
    let processes = 1 + usize::from(may_hot_restart);
    let counted = memory.statement_bytes
        + memory.outgoing_bytes
        + memory.short_incoming_bytes
        + memory.long_incoming_bytes;
    let sum = counted + processes * PROCESS_BYTES + connections * CONNECTION_BYTES;
    assert!(memory.long_incoming_bytes > processes * limits.max_message_bytes, "{memory:?}");
    if memory_mb << 20 >= memory.least_machine_bytes {
        assert!(sum <= memory_mb << 20, "{sum} bytes of {memory_mb} MiB: {memory:?}");
    } else {
        assert!(
            may_hot_restart && memory_mb < 32,
            "one process fits into 16 MiB, and two into 32: {memory:?}"
        );
    }
}

/// SIGKILL follows SIGTERM after the longest request deadline, capped at 3 s, plus 0.7 s. Before that the process must have answered
/// its requests and closed its connections, with a margin.
#[rstest]
#[case::longest(9_000.0, 300.0)]
#[case::three_seconds(3_000.0, 300.0)]
#[case::short(1_000.0, 140.0)]
#[case::shortest(100.0, 140.0)]
fn shutdown_ends_with_a_margin_before_sigkill(#[case] longest_deadline: f64, #[case] margin: f64) {
    let defaults = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("the defaults");
    let limits = defaults.with_shutdown_deadlines(longest_deadline);
    let close_wait = limits.connection_close_wait.as_secs_f64() * 1000.0;
    let killed_after = longest_deadline.min(3_000.0) + 700.0;
    assert!(limits.shutdown_answer_deadline + close_wait + margin <= killed_after, "{limits:?}");
}

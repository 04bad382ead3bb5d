//! Upgrades beside hundreds of clients that do not complete their messages: both processes together stay within the memory limit.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use stand::*;

/// Number of clients that stop inside a message of this length.
const CLIENTS: usize = 500;
const LONG_BYTES: usize = 1_040_000;
/// Number of requests of usual clients during the upgrade.
const USUAL_REQUESTS: u32 = 20;

fn start_crowd(gateway: &SharedGateway, sending: Sending) -> Crowd {
    let fields = [("verb", "lookup"), ("txn", "0123456789abcdef"), ("limit", "20000")];
    let crowd = Crowd::start(gateway.at, call(1, &fields, &"x".repeat(LONG_BYTES)), sending, CLIENTS);
    wait_until(|| crowd.connected() >= CLIENTS * 9 / 10);
    crowd
}

/// Usual clients used to lose their connections in an upgrade beside such a crowd.
#[rstest::rstest]
fn processes_of_an_upgrade_share_the_memory_limit(
    #[values(32, 48)] memory_mb: usize,
    #[values(Sending::StopAt(0.999), Sending::StopAt(0.6))] sending: Sending,
) {
    let _running = RunningTest::begin();
    let (engine, _) = resp_engine(served);
    let mut gateway = SharedGateway::new(&[engine]);
    let memory = format!(r#""memory_mb":{memory_mb}"#);
    gateway.config = with_replacement(&gateway.config, r#""memory_mb":192"#, &memory);
    gateway.config = with_replacement(&gateway.config, r#""sockets":256"#, r#""sockets":1024"#);
    let old = gateway.start();
    let crowd = start_crowd(&gateway, sending);
    let new = gateway.start();
    assert_eq!(served_lookups(&new, 0, USUAL_REQUESTS), USUAL_REQUESTS as usize);
    let peak_before = peak_memory(old.child.id()).expect("a process");
    old.signal("-TERM");
    assert_eq!(served_lookups(&new, USUAL_REQUESTS, USUAL_REQUESTS), USUAL_REQUESTS as usize);
    let old_peak = peak_memory(old.child.id()).unwrap_or(peak_before);
    let peak = old_peak + peak_memory(new.child.id()).expect("a process");
    drop(crowd);
    old.wait_for_exit();
    println!("{sending:?} {CLIENTS} clients, {memory_mb} MiB: peaks {} KiB in all", peak >> 10);
    assert!(peak <= memory_mb << 20, "{} KiB of {memory_mb} MiB", peak >> 10);
}

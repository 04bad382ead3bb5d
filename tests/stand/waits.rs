//! Waits for events, polling every millisecond for at least 30 s.

use super::engines::Log;
use std::thread;
use std::time::Duration;

/// Waits until the log satisfies a predicate. Fails if it doesn't within the polling limit.
pub(crate) fn wait_for_log(log: &Log, matches: impl Fn(&[Vec<String>]) -> bool) {
    for _ in 0..30_000 {
        if matches(&log.lock().expect("log")) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("the log never matched: {:?}", log.lock().expect("log"));
}

/// Waits until a condition holds. Fails if it doesn't within the polling limit.
pub(crate) fn wait_until(holds: impl Fn() -> bool) {
    for _ in 0..30_000 {
        if holds() {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("the condition never held");
}

//! Waits for events.

use super::engines::Log;
use std::thread;
use std::time::Duration;

/// Waits until the log holds what is looked for: an event, not a time.
pub(crate) fn until(log: &Log, found: impl Fn(&[Vec<String>]) -> bool) {
    for _ in 0..30_000 {
        if found(&log.lock().expect("log")) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("never came: {:?}", log.lock().expect("log"));
}

/// Waits until something has become so: an event, not a time.
pub(crate) fn until_true(is_so: impl Fn() -> bool) {
    for _ in 0..30_000 {
        if is_so() {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("it never becomes so");
}

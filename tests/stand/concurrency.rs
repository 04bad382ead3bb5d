//! A limit on the number of tests of one file that run at a time, as they share the machine's cores.

use std::sync::{Condvar, Mutex};

/// Number of tests that run at a time.
pub(crate) const CONCURRENT_TESTS: usize = 2;

/// Number of tests that run now.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Counts a test as running until it is dropped.
pub(crate) struct RunningTest(());

impl RunningTest {
    /// Waits until fewer than [`CONCURRENT_TESTS`] run.
    pub(crate) fn begin() -> Self {
        let mut running = RUNNING.0.lock().expect("running");
        while *running >= CONCURRENT_TESTS {
            running = RUNNING.1.wait(running).expect("running");
        }
        *running += 1;
        Self(())
    }
}

impl Drop for RunningTest {
    fn drop(&mut self) {
        *RUNNING.0.lock().expect("running") -= 1;
        RUNNING.1.notify_one();
    }
}

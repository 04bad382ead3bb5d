//! Part of a core: busy threads that compete with a gateway for one core.

use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Number of the next core that is shared, among those that this process may use.
static NEXT_CORE: AtomicUsize = AtomicUsize::new(0);

/// A core that a gateway shares with busy threads. The threads end when it is dropped.
pub(crate) struct CoreShare {
    core: CpuSet,
    stop: Arc<AtomicBool>,
    busy_threads: Vec<JoinHandle<()>>,
}

impl CoreShare {
    /// Starts busy threads on one core. A process on the same core gets about one part of `busy_threads + 1`.
    pub(crate) fn beside(busy_threads: usize) -> Self {
        let core = next_core();
        let stop = Arc::new(AtomicBool::new(false));
        let busy_threads = (0..busy_threads)
            .map(|_| {
                let stop = stop.clone();
                thread::spawn(move || {
                    sched_setaffinity(None, &core).expect("set");
                    while !stop.load(Ordering::Relaxed) {
                        std::hint::spin_loop();
                    }
                })
            })
            .collect();
        Self { core, stop, busy_threads }
    }

    /// Calls `start` with the current thread on the shared core, so that processes that it starts run there.
    pub(crate) fn run<T>(&self, start: impl FnOnce() -> T) -> T {
        let before = sched_getaffinity(None).expect("read");
        sched_setaffinity(None, &self.core).expect("set");
        let result = start();
        sched_setaffinity(None, &before).expect("set");
        result
    }
}

impl Drop for CoreShare {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for busy_thread in self.busy_threads.drain(..) {
            let _ = busy_thread.join();
        }
    }
}

fn next_core() -> CpuSet {
    let usable = sched_getaffinity(None).expect("read");
    let cores: Vec<_> = (0..CpuSet::MAX_CPU).filter(|core| usable.is_set(*core)).collect();
    let mut core = CpuSet::new();
    core.set(cores[NEXT_CORE.fetch_add(1, Ordering::Relaxed) % cores.len()]);
    core
}

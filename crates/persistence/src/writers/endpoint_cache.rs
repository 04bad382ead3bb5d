//! The thread that writes the cached endpoint list.

use crate::cached_endpoints::{self, CachedEndpoints};
use crate::disk::Disk;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

/// Maximum number of endpoint lists that wait while one is being written.
const MAX_QUEUED_LISTS: usize = 1;

/// A change in whether the cached endpoint list can be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointCacheHealth {
    /// Writes have begun to fail; contains the error of the first failed write.
    Failing(String),
    /// Writes succeed again after failed ones.
    Recovered,
}

/// Handle of the thread that writes the cached endpoint list. Owns the sender of the queue, so the thread ends when the
/// handle is dropped.
pub struct EndpointCacheWriter {
    queue: SyncSender<CachedEndpoints>,
}

impl EndpointCacheWriter {
    /// Starts the thread. The thread calls `notify` when writes begin to fail and when they succeed again, but not for each
    /// list, as lists arrive every second.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(
        disk: Box<dyn Disk>,
        notify: impl Fn(EndpointCacheHealth) + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, queued) = sync_channel(MAX_QUEUED_LISTS);
        let write = move || write_lists(disk, &queued, &notify);
        thread::Builder::new().name("list".into()).spawn(write)?;
        Ok(Self { queue })
    }

    /// Queues a list. Returns `false` if another list is already waiting; the caller then has to queue the list again later.
    pub fn save(&self, list: CachedEndpoints) -> bool {
        self.queue.try_send(list).is_ok()
    }
}

fn write_lists(
    mut disk: Box<dyn Disk>,
    queued: &Receiver<CachedEndpoints>,
    notify: &impl Fn(EndpointCacheHealth),
) {
    let mut failing = false;
    while let Ok(list) = queued.recv() {
        match (cached_endpoints::save(&mut *disk, &list), failing) {
            (Ok(()), true) => {
                failing = false;
                notify(EndpointCacheHealth::Recovered);
            }
            (Err(error), false) => {
                failing = true;
                notify(EndpointCacheHealth::Failing(error.to_string()));
            }
            (Ok(()), false) | (Err(_), true) => {}
        }
    }
}

//! The thread that writes the cached endpoint list.

use crate::cached_endpoints::{self, CachedEndpoints};
use crate::disk::Disk;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

/// Lists that wait while one is written.
const MAX_QUEUED_LISTS: usize = 1;

/// Whether the cached list can be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointCacheHealth {
    /// Writing has begun to fail; tells why.
    Failing(String),
    /// Writing works again.
    Recovered,
}

/// Writes the cached endpoint list. Owns the queue of its thread, which ends when this is dropped.
pub struct EndpointCacheWriter {
    queue: SyncSender<CachedEndpoints>,
}

impl EndpointCacheWriter {
    /// Starts the thread. It calls `notify` when writing begins to fail and when it works again, not for each list, as lists
    /// arrive every second.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        disk: Box<dyn Disk>,
        notify: impl Fn(EndpointCacheHealth) + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, queued) = sync_channel(MAX_QUEUED_LISTS);
        let write = move || write_lists(disk, &queued, &notify);
        thread::Builder::new().name("list".into()).spawn(write)?;
        Ok(Self { queue })
    }

    /// Queues a list. Returns `false` if one waits already: the caller passes the list again later.
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

//! The threads that write, so that the decision thread never does. One for snapshots, one for the log of keys: a
//! snapshot that hangs holds up no key. What waits is bounded; what does not fit is told as failed at once.

use crate::cached_endpoints::{self, CachedEndpoints};
use crate::deduplication_window::{Key, KeySend, KeySends, Rewrite};
use crate::disk::Disk;
use crate::idempotency_log::{IdempotencyLog, Mark, Record};
use crate::snapshot_records::Snapshot;
use crate::snapshot_store::Store;
use starlingplank_decision::interface::Milliseconds;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

/// Jobs that wait for the log at most.
const WAITING: usize = 4096;

/// What is asked of the log.
#[derive(Debug)]
enum KeyJob {
    /// A send of a key, under a ticket.
    Record(u64, Key, KeySend),
    Mark(Milliseconds, Milliseconds),
    Rewrite(Rewrite),
}

/// What came of it.
#[derive(Debug)]
pub enum IdempotencyLogEvent {
    /// These records are durable.
    Recorded(Vec<u64>),
    /// These may not be.
    Failed(Vec<u64>, String),
    /// The log was begun anew with these keys.
    Rewritten(Vec<(Key, KeySends)>),
}

/// Bytes and calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Written {
    /// Bytes handed to the disk.
    pub bytes: u64,
    /// Writes that were made durable.
    pub writes: u64,
}

/// Times of this life, and how they are written down: as milliseconds since the machine started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offset {
    /// Added to a time of this life.
    pub by: Milliseconds,
    /// Which start of the machine.
    pub boot: [u8; 16],
}

impl Offset {
    /// As it is written down.
    pub fn sent(&self, sent: KeySend) -> KeySend {
        KeySend { at: (sent.at + self.by).max(0.0), ..sent }
    }

    /// As they are written down.
    pub fn sends(&self, sends: KeySends) -> KeySends {
        let at = |at: Milliseconds| (at + self.by).max(0.0);
        KeySends { first: at(sends.first), last: at(sends.last), ..sends }
    }

    /// As they are in this life.
    pub fn back(&self, sends: KeySends) -> KeySends {
        KeySends { first: sends.first - self.by, last: sends.last - self.by, ..sends }
    }

    /// As it is written down.
    pub fn mark(&self, (at, shut): (Milliseconds, Milliseconds)) -> Mark {
        let shut_until = if shut > 0.0 { shut + self.by } else { 0.0 };
        Mark { at: (at + self.by).max(0.0), shut_until, boot: self.boot }
    }
}

/// Writes the log of keys, records that wait together in one go.
pub struct IdempotencyLogWriter {
    jobs: SyncSender<KeyJob>,
}

impl IdempotencyLogWriter {
    /// Starts its thread. News is told through `tell`, from that thread.
    ///
    /// # Errors
    /// The folder cannot be read, or there is no thread to be had.
    pub fn start(
        disk: Box<dyn Disk>,
        offset: Offset,
        tell: impl Fn(IdempotencyLogEvent, Written) + Send + 'static,
    ) -> std::io::Result<Self> {
        let log = IdempotencyLog::open(disk)?;
        let (jobs, waiting) = sync_channel(WAITING);
        std::thread::Builder::new()
            .name("keys".into())
            .spawn(move || write_keys(log, &waiting, offset, &tell))?;
        Ok(Self { jobs })
    }

    /// A record, told of under its ticket. False: too many wait, and it will not be written.
    pub fn record(&self, ticket: u64, key: Key, sent: KeySend) -> bool {
        self.jobs.try_send(KeyJob::Record(ticket, key, sent)).is_ok()
    }

    /// A mark; one that does not fit is left out.
    pub fn mark(&self, (at, shut): (Milliseconds, Milliseconds)) -> bool {
        self.jobs.try_send(KeyJob::Mark(at, shut)).is_ok()
    }

    /// Begins the log anew. False: too many wait.
    pub fn rewrite(&self, rewrite: Rewrite) -> bool {
        self.jobs.try_send(KeyJob::Rewrite(rewrite)).is_ok()
    }
}

fn write_keys(
    mut log: IdempotencyLog,
    jobs: &Receiver<KeyJob>,
    offset: Offset,
    tell: &impl Fn(IdempotencyLogEvent, Written),
) {
    let mut written = Written::default();
    let mut next = None;
    while let Some(job) = next.take().or_else(|| jobs.recv().ok()) {
        let mut records = Vec::new();
        let mut tickets = Vec::new();
        let mut add = |job: KeyJob| match job {
            KeyJob::Record(ticket, key, sent) => {
                tickets.push(ticket);
                records.push(Record::KeySend(key, offset.sent(sent)));
                None
            }
            KeyJob::Mark(at, shut) => {
                records.push(Record::Mark(offset.mark((at, shut))));
                None
            }
            job @ KeyJob::Rewrite(_) => Some(job),
        };
        if let Some(KeyJob::Rewrite(rewrite)) = add(job) {
            let keys: Vec<_> = rewrite.keys.iter().map(|(key, sends)| (*key, offset.sends(*sends))).collect();
            let news = match log.rewrite(&keys, rewrite.mark.map(|mark| offset.mark(mark))) {
                Ok(bytes) => {
                    written.bytes += bytes as u64;
                    written.writes += 1;
                    IdempotencyLogEvent::Rewritten(rewrite.keys)
                }
                Err(e) => IdempotencyLogEvent::Failed(Vec::new(), e.to_string()),
            };
            tell(news, written);
            continue;
        }
        // Whatever else waits goes out with it: one sync serves all.
        while let Ok(job) = jobs.try_recv() {
            next = add(job);
            if next.is_some() {
                break;
            }
        }
        let news = match log.append(&records) {
            Ok(bytes) => {
                written.bytes += bytes as u64;
                written.writes += 1;
                IdempotencyLogEvent::Recorded(tickets)
            }
            Err(e) => IdempotencyLogEvent::Failed(tickets, e.to_string()),
        };
        tell(news, written);
    }
}

/// Writes the last list, on a thread of its own.
pub struct EndpointCacheWriter {
    jobs: SyncSender<CachedEndpoints>,
}

impl EndpointCacheWriter {
    /// Starts its thread. When writing begins to fail, and when it works again (none), is told through `tell`, from that
    /// thread: lists come every second.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn start(
        mut disk: Box<dyn Disk>,
        tell: impl Fn(Option<String>) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (jobs, waiting) = sync_channel::<CachedEndpoints>(1);
        let write = move || {
            let mut failing = false;
            while let Ok(kept) = waiting.recv() {
                let failed = cached_endpoints::save(&mut *disk, &kept).err().map(|e| e.to_string());
                if std::mem::replace(&mut failing, failed.is_some()) != failed.is_some() {
                    tell(failed);
                }
            }
        };
        std::thread::Builder::new().name("list".into()).spawn(write)?;
        Ok(Self { jobs })
    }

    /// Has one written. False: one waits already, and this must be said again.
    pub fn save(&self, kept: CachedEndpoints) -> bool {
        self.jobs.try_send(kept).is_ok()
    }
}

/// What came of a snapshot.
#[derive(Debug)]
pub enum SnapshotEvent {
    /// It is durable.
    Saved(Written),
    /// It is not, and why.
    Failed(String),
}

/// Writes snapshots, one at a time; one that comes while another is written waits, and a later one replaces it.
pub struct SnapshotWriter {
    jobs: Option<SyncSender<Snapshot>>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Starts its thread. News is told through `tell`, from that thread.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn start(mut store: Store, tell: impl Fn(SnapshotEvent) + Send + 'static) -> std::io::Result<Self> {
        let (jobs, waiting) = sync_channel::<Snapshot>(1);
        let write = move || {
            let mut written = Written::default();
            while let Ok(snapshot) = waiting.recv() {
                tell(match store.save(&snapshot) {
                    Ok(bytes) => {
                        written.bytes += bytes as u64;
                        written.writes += 1;
                        SnapshotEvent::Saved(written)
                    }
                    Err(e) => SnapshotEvent::Failed(e.to_string()),
                });
            }
        };
        let thread = std::thread::Builder::new().name("snapshots".into()).spawn(write)?;
        Ok(Self { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Has one written. False: the last two still wait, so this one is left out.
    pub fn save(&self, snapshot: Snapshot) -> bool {
        let Some(jobs) = &self.jobs else { return false };
        match jobs.try_send(snapshot) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// No more come: true once all are written. A disk that hangs keeps the thread, which then ends with the
    /// program.
    pub fn finished(&mut self) -> bool {
        self.jobs = None;
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

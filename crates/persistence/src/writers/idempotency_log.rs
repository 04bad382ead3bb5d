//! The thread that writes the idempotency log.

use super::statistics::WriteStatistics;
use crate::clock_offset::ClockOffset;
use crate::deduplication_window::Rewrite;
use crate::disk::Disk;
use crate::idempotency_key::{Key, KeySend, KeySends, LogMark};
use crate::idempotency_log::{IdempotencyLog, Record};
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

/// Maximum number of jobs that wait to be written to the log.
const MAX_QUEUED_JOBS: usize = 4096;

/// Identifies a record until the outcome of its write is reported.
type Ticket = u64;

/// A job for the thread that writes the log.
#[derive(Debug)]
enum Job {
    Record(Ticket, Key, KeySend),
    Mark(LogMark),
    Rewrite(Rewrite),
}

/// Outcome of a write to the idempotency log.
#[derive(Debug)]
pub enum IdempotencyLogEvent {
    /// The records with these tickets are durable.
    Recorded(Vec<u64>),
    /// The records with these tickets may not be durable; contains the error.
    Failed(Vec<u64>, String),
    /// The log was rewritten and contains these keys.
    Rewritten(Vec<(Key, KeySends)>),
}

/// Handle of the thread that writes the idempotency log. Records that wait at the same time are made durable by one sync.
/// Owns the sender of the queue, so the thread ends when the handle is dropped.
pub struct IdempotencyLogWriter {
    queue: SyncSender<Job>,
}

impl IdempotencyLogWriter {
    /// Starts the thread. The thread calls `notify` with the outcome of each write.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read or the thread cannot be started.
    pub fn start(
        disk: Box<dyn Disk>,
        offset: ClockOffset,
        notify: impl Fn(IdempotencyLogEvent, WriteStatistics) + Send + 'static,
    ) -> io::Result<Self> {
        let log = IdempotencyLog::open(disk)?;
        let (queue, queued) = sync_channel(MAX_QUEUED_JOBS);
        let mut writer = Writer { log, offset, statistics: WriteStatistics::default() };
        thread::Builder::new().name("keys".into()).spawn(move || writer.run(&queued, &notify))?;
        Ok(Self { queue })
    }

    /// Queues the record of a send. Returns `false` if the queue is full; the record is then not written.
    pub fn record(&self, ticket: u64, key: Key, send: KeySend) -> bool {
        self.queue.try_send(Job::Record(ticket, key, send)).is_ok()
    }

    /// Queues a mark. Returns `false` if the queue is full; the mark is then not written.
    pub fn mark(&self, mark: LogMark) -> bool {
        self.queue.try_send(Job::Mark(mark)).is_ok()
    }

    /// Queues a rewrite of the log. Returns `false` if the queue is full; the log is then not rewritten.
    pub fn rewrite(&self, rewrite: Rewrite) -> bool {
        self.queue.try_send(Job::Rewrite(rewrite)).is_ok()
    }
}

/// Records that are appended to the log in one write.
#[derive(Default)]
struct Batch {
    records: Vec<Record>,
    /// Tickets of those records that are sends.
    tickets: Vec<Ticket>,
}

/// State of the thread that writes the log.
struct Writer {
    log: IdempotencyLog,
    offset: ClockOffset,
    statistics: WriteStatistics,
}

impl Writer {
    fn run(&mut self, queued: &Receiver<Job>, notify: &impl Fn(IdempotencyLogEvent, WriteStatistics)) {
        let mut next = None;
        while let Some(job) = next.take().or_else(|| queued.recv().ok()) {
            let mut batch = Batch::default();
            let event = if let Some(rewrite) = self.add_to(&mut batch, job) {
                self.rewrite(rewrite)
            } else {
                next = self.collect(&mut batch, queued).map(Job::Rewrite);
                self.append(batch)
            };
            notify(event, self.statistics);
        }
    }

    /// Adds all waiting jobs to the batch, so that one sync makes all of them durable. Stops at a rewrite and returns it.
    fn collect(&self, batch: &mut Batch, queued: &Receiver<Job>) -> Option<Rewrite> {
        while let Ok(job) = queued.try_recv() {
            let rewrite = self.add_to(batch, job);
            if rewrite.is_some() {
                return rewrite;
            }
        }
        None
    }

    /// Adds a record or mark to the batch. A rewrite is returned instead, as it writes a new file.
    fn add_to(&self, batch: &mut Batch, job: Job) -> Option<Rewrite> {
        match job {
            Job::Record(ticket, key, send) => {
                batch.tickets.push(ticket);
                batch.records.push(Record::KeySend(key, self.offset.stored_send(send)));
            }
            Job::Mark(mark) => batch.records.push(Record::Mark(self.offset.stored_mark(mark))),
            Job::Rewrite(rewrite) => return Some(rewrite),
        }
        None
    }

    fn rewrite(&mut self, rewrite: Rewrite) -> IdempotencyLogEvent {
        let stored = |(key, sends): &(Key, KeySends)| (*key, self.offset.stored_sends(*sends));
        let keys: Vec<_> = rewrite.keys.iter().map(stored).collect();
        match self.log.rewrite(&keys, rewrite.mark.map(|mark| self.offset.stored_mark(mark))) {
            Ok(bytes) => {
                self.statistics.count(bytes);
                IdempotencyLogEvent::Rewritten(rewrite.keys)
            }
            Err(error) => IdempotencyLogEvent::Failed(Vec::new(), error.to_string()),
        }
    }

    fn append(&mut self, batch: Batch) -> IdempotencyLogEvent {
        match self.log.append(&batch.records) {
            Ok(bytes) => {
                self.statistics.count(bytes);
                IdempotencyLogEvent::Recorded(batch.tickets)
            }
            Err(error) => IdempotencyLogEvent::Failed(batch.tickets, error.to_string()),
        }
    }
}

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

/// Jobs that may wait for the log.
const MAX_QUEUED_JOBS: usize = 4096;

/// Identifies a record until its outcome is known.
type Ticket = u64;

/// What the thread is to write.
#[derive(Debug)]
enum Job {
    Record(Ticket, Key, KeySend),
    Mark(LogMark),
    Rewrite(Rewrite),
}

/// The outcome of a write.
#[derive(Debug)]
pub enum IdempotencyLogEvent {
    /// The records with these tickets are durable.
    Recorded(Vec<u64>),
    /// The records with these tickets may not be durable; tells why.
    Failed(Vec<u64>, String),
    /// The log was rewritten with these keys.
    Rewritten(Vec<(Key, KeySends)>),
}

/// Writes the idempotency log; records that wait together are made durable by one sync. Owns the queue of its thread,
/// which ends when this is dropped.
pub struct IdempotencyLogWriter {
    queue: SyncSender<Job>,
}

impl IdempotencyLogWriter {
    /// Starts the thread. It calls `notify` with the outcome of each write.
    ///
    /// # Errors
    /// The folder cannot be read, or the thread cannot be started.
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

    /// Queues a record. Returns `false` if the queue is full: the record will not be written.
    pub fn record(&self, ticket: u64, key: Key, send: KeySend) -> bool {
        self.queue.try_send(Job::Record(ticket, key, send)).is_ok()
    }

    /// Queues a mark. Returns `false` if the queue is full: the mark is left out.
    pub fn mark(&self, mark: LogMark) -> bool {
        self.queue.try_send(Job::Mark(mark)).is_ok()
    }

    /// Queues a rewrite of the log. Returns `false` if the queue is full.
    pub fn rewrite(&self, rewrite: Rewrite) -> bool {
        self.queue.try_send(Job::Rewrite(rewrite)).is_ok()
    }
}

/// Records that are appended by one write.
#[derive(Default)]
struct Batch {
    records: Vec<Record>,
    /// Tickets of the sends among the records.
    tickets: Vec<Ticket>,
}

/// What runs on the thread. Owns the log.
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

    /// Adds all jobs that wait now, so that one sync serves them all. Returns the rewrite that ends the batch, if any.
    fn collect(&self, batch: &mut Batch, queued: &Receiver<Job>) -> Option<Rewrite> {
        while let Ok(job) = queued.try_recv() {
            let rewrite = self.add_to(batch, job);
            if rewrite.is_some() {
                return rewrite;
            }
        }
        None
    }

    /// Adds a record or mark to the batch; a rewrite is returned, as it cannot be part of one.
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

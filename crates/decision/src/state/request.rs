//! Requests, their attempts, and the order of keyed requests.

use crate::interface::{Outcome, RequestDetails};
use crate::types::{ClassId, DataSet, EngineId, Milliseconds, OrderKey, Placement, RequestId};
use std::collections::VecDeque;

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The engine that it was sent to.
    pub(crate) engine: EngineId,
    /// Where that engine stood at the time.
    pub(crate) placement: Placement,
    /// When it was sent.
    pub(crate) sent_at: Milliseconds,
    /// Threads a core on the engine when it was sent, with its own.
    pub(crate) load_level: f64,
    /// The time after which it is overdue.
    pub(crate) patience: Milliseconds,
    /// It has no outcome yet.
    pub(crate) in_flight: bool,
    /// Its time so far was counted as latency already, before its outcome.
    pub(crate) counted: bool,
    /// Its outcome proves that it did not run.
    pub(crate) never_ran: bool,
    /// It was cancelled.
    pub(crate) cancelled: bool,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn new(
        engine: EngineId,
        placement: Placement,
        sent_at: Milliseconds,
        load_level: f64,
        patience: Milliseconds,
    ) -> Self {
        Self {
            engine,
            placement,
            sent_at,
            load_level,
            patience,
            in_flight: true,
            counted: false,
            never_ran: false,
            cancelled: false,
        }
    }
}

/// An attempt that has just ended, with what the decisions learn from it.
pub(crate) struct EndedAttempt {
    pub(crate) request: RequestId,
    pub(crate) class: ClassId,
    pub(crate) key: Option<OrderKey>,
    pub(crate) data: Option<DataSet>,
    /// The size of the request, see [`Request::relative_size`].
    pub(crate) relative_size: f64,
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Milliseconds,
    /// Threads a core on the engine when it was sent, with its own.
    pub(crate) load_level: f64,
    /// Its time was counted as latency while it ran.
    pub(crate) counted: bool,
    /// The outcome proves that it did not run.
    pub(crate) never_ran: bool,
    pub(crate) outcome: Outcome,
    /// Time since the send.
    pub(crate) elapsed: Milliseconds,
    /// Its true work, where the engine reports it.
    pub(crate) work: Option<Milliseconds>,
}

/// A request, from its arrival until no event of it can follow.
pub(crate) struct Request {
    /// What was received.
    pub(crate) details: RequestDetails,
    /// When it was received, as far as that is known after a pause of the process.
    pub(crate) received_at: Milliseconds,
    /// Drawn once, from 0 to 1: rounds this gateway's share of the limit up or down.
    pub(crate) share_draw: f64,
    /// Since when it waits for an engine.
    pub(crate) waiting_since: Milliseconds,
    /// Its estimated work, as a multiple of the usual work of its class.
    pub(crate) relative_size: f64,
    /// It arrived when its tenant's quota was used up.
    pub(crate) over_quota: bool,
    /// It has its final answer, or its client has disconnected.
    pub(crate) closed: bool,
    /// The memory grant in MB; 0: the engine chooses.
    pub(crate) memory_grant_mb: f64,
    /// The priority, from 0 to 3.
    pub(crate) priority: u8,
    /// Its attempts, by number.
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// A request that is received now.
    pub(crate) fn new(
        details: RequestDetails,
        now: Milliseconds,
        relative_size: f64,
        over_quota: bool,
    ) -> Self {
        Self {
            details,
            received_at: now,
            share_draw: 0.5,
            waiting_since: now,
            relative_size,
            over_quota,
            closed: false,
            memory_grant_mb: 0.0,
            priority: 1,
            attempts: Vec::new(),
        }
    }

    /// The number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// The attempts that may have run, or may still be running.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.never_ran)
    }
}

/// The requests of one ordered key.
#[derive(Default)]
pub(crate) struct OrderedKey {
    /// The requests in order of arrival; the first may be sent.
    pub(crate) queue: VecDeque<RequestId>,
    /// The key pauses until then: an earlier attempt may still be running.
    pub(crate) paused_until: Milliseconds,
}

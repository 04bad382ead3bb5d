//! State of requests, of their attempts, and of ordered keys.

use crate::interface::{Outcome, RequestDetails};
use crate::types::{ClassId, DataSet, EngineId, Milliseconds, OrderKey, Placement, RequestId};
use std::collections::VecDeque;

/// An attempt of a request.
pub(crate) struct Attempt {
    /// Engine that the attempt was sent to.
    pub(crate) engine: EngineId,
    /// Zone and cell of the engine at the time of the send.
    pub(crate) placement: Placement,
    /// Time at which the attempt was sent.
    pub(crate) sent_at: Milliseconds,
    /// Load of the engine in threads a core when the attempt was sent, including the attempt.
    pub(crate) load_level: f64,
    /// Elapsed time after which the attempt is overdue.
    pub(crate) overdue_after: Milliseconds,
    /// The attempt has no outcome yet.
    pub(crate) in_flight: bool,
    /// The elapsed time was already recorded as a latency sample while the attempt was overdue.
    pub(crate) sampled: bool,
    /// The outcome proves that the attempt did not run.
    pub(crate) never_ran: bool,
    /// The gateway has cancelled the attempt.
    pub(crate) cancelled: bool,
}

impl Attempt {
    /// Creates an attempt that is being sent.
    pub(crate) fn new(
        engine: EngineId,
        placement: Placement,
        sent_at: Milliseconds,
        load_level: f64,
        overdue_after: Milliseconds,
    ) -> Self {
        Self {
            engine,
            placement,
            sent_at,
            load_level,
            overdue_after,
            in_flight: true,
            sampled: false,
            never_ran: false,
            cancelled: false,
        }
    }
}

/// An attempt that has just ended, with the data that statistics and decisions need.
pub(crate) struct EndedAttempt {
    pub(crate) request: RequestId,
    pub(crate) class: ClassId,
    pub(crate) key: Option<OrderKey>,
    pub(crate) data: Option<DataSet>,
    /// Relative size of the request, see [`Request::relative_size`].
    pub(crate) relative_size: f64,
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Milliseconds,
    /// Load of the engine in threads a core when the attempt was sent, including the attempt.
    pub(crate) load_level: f64,
    /// The elapsed time was already recorded as a latency sample while the attempt was overdue.
    pub(crate) sampled: bool,
    /// The outcome proves that the attempt did not run.
    pub(crate) never_ran: bool,
    pub(crate) outcome: Outcome,
    /// Time from the send to the outcome.
    pub(crate) elapsed: Milliseconds,
    /// Actual work of the query, if the engine reports it.
    pub(crate) work: Option<Milliseconds>,
}

/// A request, held from its arrival until no further event for it can arrive.
pub(crate) struct Request {
    /// Request as it was received.
    pub(crate) details: RequestDetails,
    /// Time at which the request was received; estimated if it arrived during a pause of the process.
    pub(crate) received_at: Milliseconds,
    /// Time at which the request was recorded in the retry budget.
    pub(crate) counted_at: Milliseconds,
    /// Random number from 0 to 1, drawn once, that rounds this gateway's share of the concurrency limit up or down.
    pub(crate) share_draw: f64,
    /// Time since which the request has been waiting for an engine.
    pub(crate) waiting_since: Milliseconds,
    /// Estimated work of the request, as a multiple of the mean work of its class.
    pub(crate) relative_size: f64,
    /// The request arrived when its tenant's quota was exhausted.
    pub(crate) over_quota: bool,
    /// The request has its final answer, or its client has disconnected.
    pub(crate) closed: bool,
    /// A part of the result was forwarded to the client. The request then ends with its attempt, which is not cancelled.
    pub(crate) streaming: bool,
    /// Memory grant in MB; 0: the engine chooses.
    pub(crate) memory_grant_mb: f64,
    /// Priority, from 0 (lowest) to 3.
    pub(crate) priority: u8,
    /// Attempts of the request, by number.
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Creates a request that has just been received.
    pub(crate) fn new(
        details: RequestDetails,
        now: Milliseconds,
        relative_size: f64,
        over_quota: bool,
    ) -> Self {
        Self {
            details,
            received_at: now,
            counted_at: now,
            share_draw: 0.5,
            waiting_since: now,
            relative_size,
            over_quota,
            closed: false,
            streaming: false,
            memory_grant_mb: 0.0,
            priority: 1,
            attempts: Vec::new(),
        }
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Returns the attempts that may have run or may still be running.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.never_ran)
    }
}

/// Requests of one ordered key.
#[derive(Default)]
pub(crate) struct OrderedKey {
    /// Requests in order of arrival; only the first may be sent.
    pub(crate) queue: VecDeque<RequestId>,
    /// Time until which the key is paused, because an earlier attempt may still be running.
    pub(crate) paused_until: Milliseconds,
}

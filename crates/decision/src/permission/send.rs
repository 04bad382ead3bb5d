//! Conditions under which an attempt may be sent and a request may be rejected.

use super::list_lease::ListLease;
use crate::interface::{Idempotency, Milliseconds, Outcome, Placement};
use std::cell::Cell;
use std::rc::Rc;

/// Reason why an attempt may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendRefusal {
    /// The request has its final answer, or its client has disconnected or cancelled it.
    RequestFinished,
    /// The endpoint list is older than the drain rule allows: the engine may have started draining since.
    ListExpired,
    /// The engine is draining, has been removed from the list, or has no address.
    EngineNotLive,
    /// The deadline of the attempt has passed.
    DeadlinePassed,
    /// The deduplication window may have expired: engines may no longer recognise the idempotency key.
    DeduplicationWindowExpired,
    /// Another attempt of the request is in flight.
    AnotherInFlight,
    /// An earlier attempt may have run, and the class does not allow a repetition on this engine.
    MayNotRepeat,
    /// The request has reached the maximum number of attempts.
    MaxAttemptsReached,
    /// The retry budget of this gateway is exhausted.
    RetryBudgetExhausted,
    /// The attempt ended while it was still in the write queue.
    Revoked,
}

impl SendRefusal {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 10] = [
        Self::RequestFinished,
        Self::ListExpired,
        Self::EngineNotLive,
        Self::DeadlinePassed,
        Self::DeduplicationWindowExpired,
        Self::AnotherInFlight,
        Self::MayNotRepeat,
        Self::MaxAttemptsReached,
        Self::RetryBudgetExhausted,
        Self::Revoked,
    ];

    /// Returns the name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::RequestFinished => "request over",
            Self::ListExpired => "list expired",
            Self::EngineNotLive => "engine not live",
            Self::DeadlinePassed => "deadline over",
            Self::DeduplicationWindowExpired => "window over",
            Self::AnotherInFlight => "another in flight",
            Self::MayNotRepeat => "may not repeat",
            Self::MaxAttemptsReached => "attempts spent",
            Self::RetryBudgetExhausted => "retry budget spent",
            Self::Revoked => "revoked",
        }
    }

    /// Returns whether the refusal indicates a fault of this program: no external event explains it, so the caller
    /// should not have tried to send.
    pub fn is_violation(self) -> bool {
        matches!(self, Self::AnotherInFlight | Self::MayNotRepeat | Self::MaxAttemptsReached | Self::Revoked)
    }
}

/// Returns whether the outcome proves that the attempt never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotExecuted)
}

/// An earlier attempt of the request that may have run or may still be running.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EarlierAttempt {
    /// Time at which the attempt was sent.
    pub sent_at: Milliseconds,
    /// Zone and cell of the attempt's engine.
    pub placement: Placement,
}

/// Returns whether a request may be sent to an engine at `placement` after the attempts in `earlier`, which may have
/// run. A request with an idempotency key is sent again only to engines in the scope of the key, and only within its
/// deduplication window.
pub fn may_repeat(
    idempotency: Idempotency,
    mut earlier: impl Iterator<Item = EarlierAttempt>,
    placement: Placement,
    now: Milliseconds,
) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => earlier.next().is_none(),
        Idempotency::Keyed { scope, window } => earlier
            .all(|attempt| scope.covers(attempt.placement, placement) && now < attempt.sent_at + window),
    }
}

/// Returns whether a request may be rejected. A rejection states that a retry is harmless, so it must not be used
/// where the request may have run and must not run twice.
pub fn may_reject(idempotency: Idempotency, may_have_run: bool) -> bool {
    idempotency.allows_retry_anywhere() || !may_have_run
}

/// State of an attempt that is about to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendConditions {
    /// The request has no final answer yet, and its client is connected.
    pub request_open: bool,
    /// The lease of the endpoint list is valid.
    pub list_reliable: bool,
    /// The engine is in the list, accepts new work and has an address.
    pub engine_live: bool,
    /// Current time.
    pub now: Milliseconds,
    /// Deadline of the attempt.
    pub deadline: Milliseconds,
    /// Time by which a request with an idempotency key must be sent, because its deduplication window ends then.
    pub send_by: Milliseconds,
    /// Number of other attempts of the request in flight.
    pub in_flight: usize,
    /// The settings allow several attempts of one request in flight at once.
    pub may_hedge: bool,
    /// The class allows this attempt after the earlier ones, see [`may_repeat`].
    pub may_repeat: bool,
    /// Number of earlier attempts of the request.
    pub attempts: usize,
    /// Maximum number of attempts of a request.
    pub max_attempts: usize,
}

/// Checks whether an attempt may be sent now.
///
/// # Errors
/// Returns the first reason why the attempt may not be sent.
pub fn may_send(conditions: &SendConditions) -> Result<(), SendRefusal> {
    let refusals = [
        (!conditions.request_open, SendRefusal::RequestFinished),
        (!conditions.list_reliable, SendRefusal::ListExpired),
        (!conditions.engine_live, SendRefusal::EngineNotLive),
        (conditions.now >= conditions.deadline, SendRefusal::DeadlinePassed),
        (conditions.now >= conditions.send_by, SendRefusal::DeduplicationWindowExpired),
        (conditions.in_flight > 0 && !conditions.may_hedge, SendRefusal::AnotherInFlight),
        (!conditions.may_repeat, SendRefusal::MayNotRepeat),
        (conditions.attempts >= conditions.max_attempts, SendRefusal::MaxAttemptsReached),
    ];
    refusals.iter().find(|(holds, _)| *holds).map_or(Ok(()), |(_, refusal)| Err(*refusal))
}

/// Permission to write one attempt to an engine connection. It is revoked when the attempt ends, and does not hold
/// while the lease of the endpoint list has expired. The writer checks it before it writes the first byte.
#[derive(Debug, Clone, Default)]
pub struct SendPermit {
    revoked: Rc<Cell<bool>>,
    list_lease: ListLease,
}

impl SendPermit {
    /// Creates a permit for an attempt to an engine of the endpoint list that has the lease `list_lease`.
    pub fn new(list_lease: ListLease) -> Self {
        Self { revoked: Rc::default(), list_lease }
    }

    /// Revokes the permit when the attempt has ended: no more of it may be written.
    pub fn revoke(&self) {
        self.revoked.set(true);
    }

    /// Checks whether the attempt may be written now.
    ///
    /// # Errors
    /// Returns the reason why the attempt may not be written.
    pub fn check(&self, now: Milliseconds) -> Result<(), SendRefusal> {
        if self.revoked.get() {
            return Err(SendRefusal::Revoked);
        }
        if !self.list_lease.is_valid(now) {
            return Err(SendRefusal::ListExpired);
        }
        Ok(())
    }
}

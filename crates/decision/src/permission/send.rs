//! Whether an attempt may be sent, and whether a request may be rejected.

use super::list_lease::ListLease;
use crate::interface::{Idempotency, Milliseconds, Outcome, Placement};
use std::cell::Cell;
use std::rc::Rc;

/// Why an attempt may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendRefusal {
    /// The request is answered, or its client has disconnected or cancelled it.
    RequestFinished,
    /// The endpoint list is older than the rule on drains allows: the engine may be draining by now.
    ListExpired,
    /// The engine is draining, was removed, or has no address.
    EngineNotLive,
    /// The deadline of the attempt has passed.
    DeadlinePassed,
    /// The engines may have forgotten the idempotency key by now.
    DeduplicationWindowExpired,
    /// Another attempt is in flight.
    AnotherInFlight,
    /// An earlier attempt may have run, and the class does not allow another.
    MayNotRepeat,
    /// The request has used its maximum of attempts.
    MaxAttemptsReached,
    /// The retry budget of this gateway is used up.
    RetryBudgetExhausted,
    /// The attempt has ended already, but was still in the write queue.
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

    /// The name in logs.
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

    /// Whether the refusal shows a fault of this program: no outside event explains it, so the caller should not have
    /// tried to send.
    pub fn is_violation(self) -> bool {
        matches!(self, Self::AnotherInFlight | Self::MayNotRepeat | Self::MaxAttemptsReached | Self::Revoked)
    }
}

/// Whether an outcome proves that an attempt never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotExecuted)
}

/// An earlier attempt of the request that may have run, or may run still.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EarlierAttempt {
    /// When it was sent.
    pub sent_at: Milliseconds,
    /// The zone and the cell of its engine.
    pub placement: Placement,
}

/// Whether a request may be sent to an engine at `placement` after these attempts, which may have run. A request with an
/// idempotency key is sent again only to engines in the scope of the key, and only within its window.
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

/// Whether a request may be rejected. A rejection states that a retry is harmless, so it must not be used where the request
/// may have run and must not run twice.
pub fn may_reject(idempotency: Idempotency, may_have_run: bool) -> bool {
    idempotency.allows_retry_anywhere() || !may_have_run
}

/// The state of an attempt that is about to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendConditions {
    /// The request has no final answer yet, and its client is connected.
    pub request_open: bool,
    /// The endpoint list is recent enough.
    pub list_reliable: bool,
    /// The engine is in the list, accepts new work and has an address.
    pub engine_live: bool,
    /// The current time.
    pub now: Milliseconds,
    /// The attempt's deadline.
    pub deadline: Milliseconds,
    /// The time by which a request with an idempotency key must be sent.
    pub send_by: Milliseconds,
    /// The number of other attempts of the request in flight.
    pub in_flight: usize,
    /// The settings allow several attempts in flight at once.
    pub may_hedge: bool,
    /// The class allows this attempt after the earlier ones, see [`may_repeat`].
    pub may_repeat: bool,
    /// The number of attempts of the request before this one.
    pub attempts: usize,
    /// The maximum of attempts of a request.
    pub max_attempts: usize,
}

/// Whether an attempt may be sent now.
///
/// # Errors
/// The first reason against it.
pub fn may_send(facts: &SendConditions) -> Result<(), SendRefusal> {
    let refusals = [
        (!facts.request_open, SendRefusal::RequestFinished),
        (!facts.list_reliable, SendRefusal::ListExpired),
        (!facts.engine_live, SendRefusal::EngineNotLive),
        (facts.now >= facts.deadline, SendRefusal::DeadlinePassed),
        (facts.now >= facts.send_by, SendRefusal::DeduplicationWindowExpired),
        (facts.in_flight > 0 && !facts.may_hedge, SendRefusal::AnotherInFlight),
        (!facts.may_repeat, SendRefusal::MayNotRepeat),
        (facts.attempts >= facts.max_attempts, SendRefusal::MaxAttemptsReached),
    ];
    refusals.iter().find(|(holds, _)| *holds).map_or(Ok(()), |(_, refusal)| Err(*refusal))
}

/// Permission to write one attempt. It ends with the attempt, and is suspended while the endpoint list is not recent
/// enough. The writer checks it when the first byte leaves.
#[derive(Debug, Clone, Default)]
pub struct SendPermit {
    revoked: Rc<Cell<bool>>,
    list_lease: ListLease,
}

impl SendPermit {
    /// A permit for an attempt on an engine of the endpoint list with that lease.
    pub fn new(list_lease: ListLease) -> Self {
        Self { revoked: Rc::default(), list_lease }
    }

    /// Revokes the permit: the attempt has ended, and nothing of it may be written any more.
    pub fn revoke(&self) {
        self.revoked.set(true);
    }

    /// Whether the attempt may be written now.
    ///
    /// # Errors
    /// The reason against it.
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

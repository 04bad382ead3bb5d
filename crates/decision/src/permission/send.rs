//! Whether an attempt may be sent, and whether a request may be refused.

use super::list_lease::ListLease;
use crate::interface::{Idempotency, Milliseconds, Outcome, Placement};
use std::cell::Cell;
use std::rc::Rc;

/// Why an attempt may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendRefusal {
    /// The request is answered, or its client has disconnected or cancelled it.
    RequestOver,
    /// The list of engines is older than the rule on drains allows: the engine may drain by now.
    ListExpired,
    /// The engine drains, was removed, or has no address.
    EngineNotLive,
    /// Its time is over.
    DeadlineOver,
    /// The engines may have forgotten its key by now.
    WindowOver,
    /// Another attempt is in flight.
    AnotherInFlight,
    /// An earlier attempt may have run, and the class does not allow another.
    MayNotRepeat,
    /// The request has had as many attempts as it may have.
    AttemptsSpent,
    /// The retry budget of this gateway is spent.
    RetryBudgetSpent,
    /// The attempt has ended already, and was still about to be written.
    Revoked,
}

impl SendRefusal {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 10] = [
        Self::RequestOver,
        Self::ListExpired,
        Self::EngineNotLive,
        Self::DeadlineOver,
        Self::WindowOver,
        Self::AnotherInFlight,
        Self::MayNotRepeat,
        Self::AttemptsSpent,
        Self::RetryBudgetSpent,
        Self::Revoked,
    ];

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::RequestOver => "request over",
            Self::ListExpired => "list expired",
            Self::EngineNotLive => "engine not live",
            Self::DeadlineOver => "deadline over",
            Self::WindowOver => "window over",
            Self::AnotherInFlight => "another in flight",
            Self::MayNotRepeat => "may not repeat",
            Self::AttemptsSpent => "attempts spent",
            Self::RetryBudgetSpent => "retry budget spent",
            Self::Revoked => "revoked",
        }
    }

    /// Whether nothing that happens outside explains it: the caller should have known.
    pub fn is_violation(self) -> bool {
        matches!(self, Self::AnotherInFlight | Self::MayNotRepeat | Self::AttemptsSpent | Self::Revoked)
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

/// Whether a request may be sent to an engine after these attempts, which may have run. A keyed request is sent again only
/// where engines recognise it, and only until shortly before the window's end.
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

/// Whether a refusal, which tells the client that a retry is harmless, is true of a request.
pub fn may_reject(idempotency: Idempotency, may_have_run: bool) -> bool {
    idempotency.allows_retry_anywhere() || !may_have_run
}

/// What is so of an attempt as it is about to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendFacts {
    /// The request waits for its answer, and its client is there.
    pub request_open: bool,
    /// The list of engines may be relied on.
    pub list_reliable: bool,
    /// The engine is in the list, takes new work and has an address.
    pub engine_live: bool,
    /// Now.
    pub now: Milliseconds,
    /// The attempt's deadline.
    pub deadline: Milliseconds,
    /// The time by which a keyed request leaves.
    pub send_by: Milliseconds,
    /// Further attempts of the request in flight.
    pub in_flight: usize,
    /// The settings allow several at once.
    pub may_hedge: bool,
    /// The class allows it after the earlier attempts, see [`may_repeat`].
    pub may_repeat: bool,
    /// Attempts of the request before this one.
    pub attempts: usize,
    /// Attempts that a request may have.
    pub max_attempts: usize,
}

/// Whether an attempt may be sent now.
///
/// # Errors
/// The first reason against it.
pub fn may_send(facts: &SendFacts) -> Result<(), SendRefusal> {
    let against = [
        (!facts.request_open, SendRefusal::RequestOver),
        (!facts.list_reliable, SendRefusal::ListExpired),
        (!facts.engine_live, SendRefusal::EngineNotLive),
        (facts.now >= facts.deadline, SendRefusal::DeadlineOver),
        (facts.now >= facts.send_by, SendRefusal::WindowOver),
        (facts.in_flight > 0 && !facts.may_hedge, SendRefusal::AnotherInFlight),
        (!facts.may_repeat, SendRefusal::MayNotRepeat),
        (facts.attempts >= facts.max_attempts, SendRefusal::AttemptsSpent),
    ];
    against.iter().find(|(holds, _)| *holds).map_or(Ok(()), |(_, refusal)| Err(*refusal))
}

/// Permission for one attempt to be written, which ends with the attempt, and pauses while the list of engines may not be relied
/// on. The writer looks at it as the first byte leaves.
#[derive(Debug, Clone, Default)]
pub struct SendPermit {
    revoked: Rc<Cell<bool>>,
    list: ListLease,
}

impl SendPermit {
    /// For an attempt on an engine of that list.
    pub fn new(list: ListLease) -> Self {
        Self { revoked: Rc::default(), list }
    }

    /// The attempt has ended: nothing of it is written any more.
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
        match self.list.holds(now) {
            true => Ok(()),
            false => Err(SendRefusal::ListExpired),
        }
    }
}

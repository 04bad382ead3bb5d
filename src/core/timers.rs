//! The timer queue, and the dispatch of timers to their handlers.

use super::{AttemptId, Core, Effect};
use crate::interface::{EngineId, Event as DecisionEvent, Milliseconds, RequestId};

/// The purpose of a timer.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TimerKind {
    /// A timer of the decision module, identified by its token.
    DecisionTimer(u64),
    /// The deadline of an attempt.
    AttemptTimeout(AttemptId),
    /// The last moment to answer a request, shortly before its deadline.
    RequestDeadline(RequestId),
    /// The deadline of a health check, identified by its number.
    HealthCheckTimeout(u64),
    /// The end of the grace period of an engine that was removed from the membership.
    EngineRemoved(EngineId),
    /// The earliest time at which the process may exit after a shutdown was requested.
    TerminationWindow,
    /// A decision cycle that was postponed.
    DecisionCycle,
    /// The time at which every request that is still open is answered because of the shutdown.
    AnswerDeadline,
    /// The deadline for a record of a keyed send to become durable, identified by the record's number.
    RecordTimeout(u64),
    /// The expiry of the membership inherited from an earlier process.
    InheritedMembership,
    /// The expiry of the lease on the list of engines.
    ListLease,
    /// The expiry of the drains and removals learned from previous addresses of the name service.
    PreviousAddress,
    /// The time at which the deferred initial health checks are sent.
    InitialHealthChecks,
}

/// A timer. As the queue is a max-heap, the earliest timer compares as the greatest; among timers for the same time, the one
/// that was set first does.
pub(super) struct Timer {
    at: Milliseconds,
    number: u64,
    kind: TimerKind,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

impl Core {
    /// Returns the time at which [`Event::TimersDue`](super::Event::TimersDue) is due next; `None` without a timer.
    pub fn next_due(&self) -> Option<Milliseconds> {
        self.timers.peek().map(|timer| timer.at)
    }

    /// Sets a timer. Timers are never cancelled: handlers check whether their timer still applies.
    pub(super) fn set_timer(&mut self, at: Milliseconds, kind: TimerKind) {
        self.last_number += 1;
        self.timers.push(Timer { at, number: self.last_number, kind });
    }

    /// Handles every timer that is due at `now`.
    pub(super) fn fire_due_timers(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        while let Some(kind) = self.pop_due(now) {
            self.fire(now, kind, effects);
        }
    }

    fn pop_due(&mut self, now: Milliseconds) -> Option<TimerKind> {
        self.timers.peek().filter(|timer| timer.at <= now)?;
        self.timers.pop().map(|timer| timer.kind)
    }

    fn fire(&mut self, now: Milliseconds, kind: TimerKind, effects: &mut Vec<Effect>) {
        match kind {
            TimerKind::DecisionTimer(token) => self.pending_events.push(DecisionEvent::Timer(token)),
            TimerKind::AttemptTimeout(id) => self.attempt_timed_out(now, id, effects),
            TimerKind::RequestDeadline(id) => self.deadline_passed(now, id, effects),
            TimerKind::HealthCheckTimeout(number) => self.end_health_check(now, number, false, None),
            TimerKind::EngineRemoved(engine) => self.engine_removed(now, &engine, effects),
            // Nothing to do: `exit_when_done` runs after every event.
            TimerKind::TerminationWindow => {}
            // The decision cycle runs with the next `Event::RunDecisionCycle`.
            TimerKind::DecisionCycle => self.decision_timer_set = false,
            TimerKind::AnswerDeadline => self.answer_deadline_passed(now, effects),
            TimerKind::RecordTimeout(number) => self.record_timed_out(now, number, effects),
            TimerKind::InheritedMembership => self.inherited_membership_expired(now, effects),
            TimerKind::ListLease => self.list_lease_due(now, effects),
            TimerKind::PreviousAddress => self.previous_address_expired(now, effects),
            TimerKind::InitialHealthChecks => self.send_initial_health_checks(now, effects),
        }
    }
}

//! The timer queue, and the handler of each timer.

use super::{AttemptId, Core, Effect};
use crate::interface::{EngineId, Event as DecisionEvent, Milliseconds, RequestId};

/// What a timer is set for.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TimerKind {
    /// A timer of the decision module, by its token.
    DecisionTimer(u64),
    /// The deadline of an attempt.
    AttemptTimeout(AttemptId),
    /// Just before the deadline of a request.
    RequestDeadline(RequestId),
    /// The deadline of a health check, by its number.
    HealthCheckTimeout(u64),
    /// The grace period of an engine that was removed from the membership.
    EngineRemoved(EngineId),
    /// The earliest exit after a shutdown was requested.
    TerminationWindow,
    /// A decision cycle that was put off.
    DecisionCycle,
    /// The time by which every open request is answered for the shutdown.
    AnswerDeadline,
    /// The deadline of a record of a keyed send, by its number.
    RecordTimeout(u64),
    /// The expiry of the membership inherited from an earlier process.
    InheritedMembership,
    /// The end of the lease on the list of engines.
    ListLease,
    /// The expiry of the drains and removals learned from previous addresses of the name service.
    PreviousAddress,
    /// The time of the initial health checks.
    InitialHealthChecks,
}

/// A timer. The earliest is the greatest, as the queue is a max-heap; among equals the one that was set first.
pub(super) struct Timer {
    at: Milliseconds,
    number: u64,
    due: TimerKind,
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
    /// When [`Event::TimersDue`](super::Event::TimersDue) is due next.
    pub fn next_due(&self) -> Option<Milliseconds> {
        self.timers.peek().map(|timer| timer.at)
    }

    /// Sets a timer. Timers are never cancelled: their handlers check whether they still apply.
    pub(super) fn set_timer(&mut self, at: Milliseconds, due: TimerKind) {
        self.last_number += 1;
        self.timers.push(Timer { at, number: self.last_number, due });
    }

    /// Handles every timer that is due by now.
    pub(super) fn fire_due_timers(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        while let Some(due) = self.pop_due(now) {
            self.fire(now, due, effects);
        }
    }

    fn pop_due(&mut self, now: Milliseconds) -> Option<TimerKind> {
        self.timers.peek().filter(|timer| timer.at <= now)?;
        self.timers.pop().map(|timer| timer.due)
    }

    fn fire(&mut self, now: Milliseconds, due: TimerKind, effects: &mut Vec<Effect>) {
        match due {
            TimerKind::DecisionTimer(token) => self.pending_events.push(DecisionEvent::Timer(token)),
            TimerKind::AttemptTimeout(id) => self.attempt_timed_out(now, id, effects),
            TimerKind::RequestDeadline(id) => self.deadline_passed(now, id, effects),
            TimerKind::HealthCheckTimeout(number) => self.end_health_check(now, number, false, None),
            TimerKind::EngineRemoved(engine) => self.engine_removed(now, &engine, effects),
            // `exit_when_done` runs after every event.
            TimerKind::TerminationWindow => {}
            // The cycle follows with the next `Event::RunDecisionCycle`.
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

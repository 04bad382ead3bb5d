//! Shutdown: open requests are answered in time, then the process exits.

use super::request_state::{Attempt, Request};
use super::timers::TimerKind;
use super::{Answer, Core, Effect};
use crate::interface::{Event as DecisionEvent, Milliseconds, Outcome};
use starlingplank_decision::permission::send::may_reject;

/// A shutdown that was requested.
#[derive(Debug, Clone, Copy)]
pub(super) struct Termination {
    /// The earliest time at which the shutdown may have been requested. SIGKILL follows at a fixed time after the request.
    requested_at: Milliseconds,
    /// New requests are accepted at least until this time.
    accept_until: Milliseconds,
}

impl Core {
    /// Returns whether a shutdown has been requested.
    pub fn terminating(&self) -> bool {
        self.termination.is_some()
    }

    /// Begins the shutdown that was requested at `requested_at`. Requests are accepted until the deadline for answers. The process
    /// runs for at least `shutdown_accept_window` from now on, as clients could not be notified of the shutdown before.
    pub(super) fn terminate(&mut self, now: Milliseconds, requested_at: Milliseconds) {
        if self.termination.is_some() {
            return;
        }
        let accept_until = now + self.limits.shutdown_accept_window;
        self.termination = Some(Termination { requested_at, accept_until });
        self.set_timer(accept_until, TimerKind::TerminationWindow);
        self.set_answer_by(requested_at + self.limits.shutdown_answer_deadline);
    }

    /// Extends the deadline for answers, as a successor process takes over.
    pub(super) fn extend_shutdown(&mut self) {
        if let Some(Termination { requested_at, .. }) = self.termination {
            self.set_answer_by(requested_at + self.limits.hot_restart_answer_deadline);
        }
    }

    fn set_answer_by(&mut self, at: Milliseconds) {
        self.answer_by = at;
        self.set_timer(at, TimerKind::AnswerDeadline);
    }

    /// Answers all open requests, unless the deadline for answers has been extended since the timer was set.
    pub(super) fn answer_deadline_passed(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        if now >= self.answer_by {
            self.answer_all(now, effects);
        }
    }

    /// Answers all open requests, so that none is left unanswered when the process is killed.
    fn answer_all(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let open = self.requests.iter().filter(|(_, request)| !request.is_closed());
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        for id in open {
            let Some(request) = self.requests.get(&id) else { continue };
            if self.may_be_repeated(request) {
                self.shed(now, id, self.settings.max_retry_after, "ending", effects);
            } else {
                self.abort_attempts(now, id, Outcome::Cancelled, effects);
                self.answer(id, Answer::Failed(None), effects);
            }
            self.pending_events.push(DecisionEvent::ClientDisconnected(id));
        }
    }

    /// Returns whether the client can safely send the request again.
    fn may_be_repeated(&self, request: &Request) -> bool {
        let may_have_run = request.attempts.iter().any(Attempt::may_have_run);
        may_reject(self.settings.classes[request.class.0].idempotency, may_have_run)
    }

    /// Exits once the termination window has passed and no request is open.
    pub(super) fn exit_when_done(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let Some(Termination { accept_until, .. }) = self.termination else { return };
        if self.open_requests == 0 && now >= accept_until {
            effects.push(Effect::Exit);
        }
    }
}

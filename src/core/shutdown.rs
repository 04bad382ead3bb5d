//! The end of the process: what is still open is answered, then the program leaves.

use super::{Answer, Core, Effect};
use crate::interface::Event as DecisionEvent;
use crate::interface::{Ms, Outcome, Repeat, Scope};

impl Core {
    /// Whether the end was asked for.
    pub fn terminating(&self) -> bool {
        self.terminating.is_some()
    }

    /// The program must end soon: what is still open is answered while that can be done.
    pub(super) fn answer_all(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| !r.over).map(|(id, _)| *id).collect();
        for id in open {
            let Some(r) = self.requests.get(&id) else { continue };
            let harmless = match self.settings.classes[r.class.0].repeat {
                Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. } => true,
                _ => r.attempts.is_empty(),
            };
            if harmless {
                self.refuse(now, id, self.settings.max_retry_after, "ending", effects);
            } else {
                self.stop(now, id, Outcome::Cancelled, effects);
                self.answer(id, Answer::Failed(None), effects);
            }
            self.pending.push(DecisionEvent::Gone(id));
        }
    }

    pub(super) fn exit_when_done(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        let window = |from: Ms| now >= from + self.limits.term_window;
        if self.open == 0 && self.terminating.is_some_and(window) {
            effects.push(Effect::Exit);
        }
    }
}

//! Records of keyed sends, and the log that keeps them.

use super::{Core, Effect, End};
use crate::interface::{Ms, Outcome};
use starlingplank_knowledge::gate::{Gate, Key, Sends};

impl Core {
    /// How keys are kept.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// The log of keys of a process that has ended is this one's from now on.
    pub fn take_log(&mut self, required: bool, trusted: Option<(Vec<(Key, Sends)>, Ms)>, now: Ms) {
        self.gate.take_log(required, trusted, now);
    }

    /// A record is durable, or never will be. Late words on one whose attempt was given up change nothing.
    pub(super) fn recorded(&mut self, now: Ms, number: u64, durable: bool, effects: &mut Vec<Effect>) {
        let Some(id) = self.records.remove(&number) else { return };
        let Some(r) = self.requests.get_mut(&id.0) else { return };
        let (Some((key, _)), over, by) = (r.key, r.over, r.send_by) else { return };
        let Some(a) = r.attempts.get_mut(id.1 as usize) else { return };
        let Some((_, sent, ends)) = a.record.take() else { return };
        let in_time = durable && self.gate.recorded(&key, sent, now);
        if !a.out {
            return;
        }
        if in_time && !over && now < by {
            self.go(now, id, ends, effects);
        } else {
            self.end(now, id, End::plain(Outcome::Moot), effects);
        }
    }

    /// Looks after the log: a mark, or a new file where the old one failed or has grown long.
    pub(super) fn tend(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        match self.gate.rewrite(now) {
            Some(rewrite) => effects.push(Effect::Rewrite(rewrite)),
            None => self.mark(now, effects),
        }
    }

    pub(super) fn mark(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        effects.extend(self.gate.mark(now).map(|(at, shut_until)| Effect::Mark(at, shut_until)));
    }
}

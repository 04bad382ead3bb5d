//! The timer queue, and what happens to each timer that is due.

use super::{Answer, AttemptId, Core, Effect};
use crate::interface::Event as DecisionEvent;
use crate::interface::{EngineId, Ms, Outcome, RequestId};

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Due {
    Module(u64),
    Attempt(AttemptId),
    Deadline(RequestId),
    Probe(u64),
    Gone(EngineId),
    Leave,
    Turn,
    AnswerAll,
    Record(u64),
    Earlier,
    FirstProbes,
}

/// Timers order by time alone, earliest first.
pub(super) struct Timer(Ms, u64, Due);

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
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

impl Core {
    /// When [`Event::Clock`] is due next.
    pub fn next_due(&self) -> Option<Ms> {
        self.timers.peek().map(|t| t.0)
    }

    pub(super) fn timer(&mut self, at: Ms, due: Due) {
        self.numbers += 1;
        self.timers.push(Timer(at, self.numbers, due));
    }

    pub(super) fn clock(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        while self.timers.peek().is_some_and(|t| t.0 <= now) {
            let Some(Timer(_, _, due)) = self.timers.pop() else { return };
            match due {
                Due::Module(token) => self.pending.push(DecisionEvent::Timer(token)),
                // A stream that has begun has no deadline any more.
                Due::Attempt(id) if self.requests.get(&id.0).is_some_and(|r| !r.begun) => {
                    self.give_up(now, id, Outcome::Timeout, effects);
                }
                // The module answers in time by itself. This makes sure of it, whatever it does.
                Due::Deadline(id) => {
                    if self.requests.get(&id).is_some_and(|r| !r.over && !r.begun) {
                        self.stop(now, id, Outcome::Timeout, effects);
                        self.answer(id, Answer::Expired, effects);
                        self.pending.push(DecisionEvent::Gone(id));
                    }
                }
                Due::Probe(tag) => self.probed(now, tag, false, None),
                // What ran on an engine that has left the list has ended with it, or never will.
                Due::Gone(engine) if !self.engines.contains_key(&engine) => {
                    for id in self.out_on(&engine) {
                        self.give_up(now, id, Outcome::Reset, effects);
                    }
                }
                Due::AnswerAll if now >= self.answer_by => self.answer_all(now, effects),
                // The disk hangs: what waits for it ends, and the log is not relied on until it is begun anew.
                Due::Record(number) if self.records.contains_key(&number) => {
                    self.gate.failed();
                    self.recorded(now, number, false, effects);
                }
                Due::Earlier if self.earlier.take_if(|e| now >= e.until()).is_some() => {
                    self.merge(now, effects)
                }
                Due::FirstProbes => {
                    for engine in self.first_probes.due(now) {
                        self.probe(now, engine, effects);
                    }
                }
                Due::Turn => self.turn_set = false,
                Due::Attempt(_)
                | Due::Gone(_)
                | Due::Leave
                | Due::Record(_)
                | Due::AnswerAll
                | Due::Earlier => {}
            }
        }
    }
}

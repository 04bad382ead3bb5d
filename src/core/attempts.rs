//! Attempts of requests: sending, results in parts, outcomes and giving up.

use super::timers::Due;
use super::{Answer, AttemptId, Core, Effect, End, Rows, Send};
use crate::interface::Event as DecisionEvent;
use crate::interface::{Availability, EngineId, Ms, Note, Outcome, RequestId};
use starlingplank_knowledge::gate::{Leave, Sent};

pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent: Ms,
    pub(super) out: bool,
    /// It leaves once this record of it is durable, and is answered by then.
    pub(super) record: Option<(u64, Sent, Ms)>,
}

impl Core {
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.requests.get(&id.0).and_then(|r| r.attempts.get(id.1 as usize))
    }

    pub(super) fn send(
        &mut self,
        now: Ms,
        id: RequestId,
        engine: EngineId,
        timeout: Ms,
        effects: &mut Vec<Effect>,
    ) {
        let listed = self.engines.get(&engine).filter(|l| l.member.availability == Availability::Live);
        let address = listed.map(|l| l.address);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let number = r.attempts.len() as u32;
        let lone = r.attempts.iter().all(|a| !a.out) || self.settings.may_copy;
        r.attempts.push(Attempt { engine: engine.clone(), sent: now, out: true, record: None });
        let ends = r.deadline - self.limits.answer_margin;
        let ends = if timeout > 0.0 { ends.min(now + timeout) } else { ends };
        let may = address.is_some() && lone && !r.over && now < r.send_by && now < ends;
        let leave = match r.key.filter(|_| may) {
            Some((key, window)) => self.gate.leave(&key, window, now),
            None if may => Leave::Now,
            None => Leave::No,
        };
        match leave {
            Leave::No => self.end(now, (id, number), End::plain(Outcome::Moot), effects),
            Leave::Now => self.go(now, (id, number), ends, effects),
            Leave::AfterRecord(sent) => {
                let Some((key, _)) = r.key else { return };
                self.numbers += 1;
                let record = self.numbers;
                if let Some(a) = r.attempts.last_mut() {
                    a.record = Some((record, sent, ends));
                }
                self.records.insert(record, (id, number));
                self.timer(now + self.limits.record, Due::Record(record));
                effects.push(Effect::Record(record, key, sent));
            }
        }
    }

    /// An attempt leaves, if its engine still takes work.
    pub(super) fn go(&mut self, now: Ms, id: AttemptId, ends: Ms, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get(&id.0) else { return };
        let Some(engine) = r.attempts.get(id.1 as usize).map(|a| a.engine.clone()) else { return };
        let listed = self.engines.get(&engine).filter(|l| l.member.availability == Availability::Live);
        let Some(address) = listed.map(|l| l.address).filter(|_| now < ends) else {
            return self.end(now, id, End::plain(Outcome::Moot), effects);
        };
        let (memory_mb, priority) = r.terms;
        effects.push(Effect::Send(Send {
            id,
            engine,
            address,
            class: r.class,
            statement: r.statement.clone(),
            budget: ends - now,
            leave_within: Some(r.send_by - now).filter(|t| t.is_finite()),
            memory_mb,
            priority,
        }));
        self.timer(ends, Due::Attempt(id));
    }

    pub(super) fn begin(&mut self, now: Ms, id: AttemptId, rows: Rows, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id.0).filter(|r| !r.over && !r.begun) else { return };
        if !r.attempts.get(id.1 as usize).is_some_and(|a| a.out) || now >= r.deadline {
            return;
        }
        r.begun = true;
        self.pending.push(DecisionEvent::Streaming { id: id.0 });
        effects.push(Effect::Begin(id.0, rows));
    }

    /// An attempt ended. A late word on one that was given up finds it not out, and changes nothing.
    pub(super) fn end(&mut self, now: Ms, id: AttemptId, end: End, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id.0) else { return };
        let Some(a) = r.attempts.get_mut(id.1 as usize).filter(|a| a.out) else { return };
        a.out = false;
        let (engine, took) = (a.engine.clone(), now - a.sent);
        self.counts[r.class.0].outcomes[end.outcome as usize] += 1;
        let begun = r.begun;
        if end.outcome == Outcome::Ok {
            let whole = match end.error {
                _ if begun => Answer::Finished,
                // The engine did its part: the statement itself is at fault.
                Some(error) => Answer::Failed(Some(error)),
                None => Answer::Served(end.rows),
            };
            self.answer(id.0, whole, effects);
        } else if begun {
            self.answer(id.0, Answer::Cut, effects);
        } else {
            r.error = end.error;
        }
        let over = self.requests.get(&id.0).is_none_or(|r| r.over);
        self.urgent |= !over;
        self.pending.push(DecisionEvent::Outcome {
            id: id.0,
            attempt: id.1,
            engine,
            outcome: end.outcome,
            took,
            over,
            work: end.work,
            report: end.report,
        });
        self.forget(id.0);
    }

    /// A progress update says nothing of an attempt that has ended or of a result that is being passed on.
    pub(super) fn note(&mut self, id: AttemptId, note: Note) {
        let running = self.requests.get(&id.0).is_some_and(|r| !r.over && !r.begun);
        if running && self.attempt(id).is_some_and(|a| a.out) {
            self.pending.push(DecisionEvent::Note { id: id.0, attempt: id.1, note });
        }
    }

    /// Ends an attempt from this side.
    pub(super) fn give_up(&mut self, now: Ms, id: AttemptId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(engine) = self.attempt(id).filter(|a| a.out).map(|a| a.engine.clone()) else { return };
        effects.push(Effect::GiveUp(id, engine, outcome));
        self.end(now, id, End::plain(outcome), effects);
    }

    pub(super) fn stop(&mut self, now: Ms, id: RequestId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let attempts = self.requests.get(&id).map_or(0, |r| r.attempts.len() as u32);
        (0..attempts).for_each(|n| self.give_up(now, (id, n), outcome, effects));
    }

    pub(super) fn out_on(&self, engine: &EngineId) -> Vec<AttemptId> {
        let all = self
            .requests
            .iter()
            .flat_map(|(id, r)| r.attempts.iter().zip(0..).map(move |(a, n)| (*id, n, a)));
        all.filter(|(_, _, a)| a.out && a.engine == *engine).map(|(id, n, _)| (id, n)).collect()
    }
}

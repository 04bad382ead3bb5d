//! Performs the effects that the reducer asks for.

use crate::core::{Answer, AttemptEnd, Effect, Event, Send};
use crate::interface::{Idempotency, Outcome};
use crate::net::log;
use crate::net::runtime::Runtime;
use starlingplank_persistence::deduplication_window::{self, KeySend};

impl Runtime {
    /// Performs one effect. Events that arise at once are pushed to `new_events`.
    pub fn perform(&mut self, effect: Effect, new_events: &mut Vec<Event>) {
        trace_effect(&effect);
        match effect {
            Effect::Send(send) if self.record_for_peers(&send) => self.engines.send(send, new_events),
            Effect::Send(send) => new_events.push(Event::AttemptEnded(send.id, AttemptEnd::plain(Outcome::NotExecuted))),
            Effect::AbortAttempt(id, _, outcome) => self.engines.abort_attempt(id, outcome == Outcome::Timeout),
            Effect::SetPriority(id, _, priority) => self.engines.set_priority(id, priority),
            Effect::CheckHealth(tag, engine, address) => self.engines.check_health(tag, &engine, address, new_events),
            Effect::DropQueued(engine) => self.engines.drop_queued(&engine, new_events),
            Effect::StartResponse(id, rows) => self.frontend.start_response(id, rows),
            Effect::ResponseChunk(id, bytes) => self.frontend.send_chunk(id, bytes),
            Effect::Answer(id, answer) => self.frontend.finish_response(id, answer),
            Effect::LogRejection(id, class, why, waited) => tracing::debug!(
                "request {} of {} was refused after {waited:.1} ms: {why}",
                id.0,
                self.frontend.settings.classes[class.0].name
            ),
            Effect::LogViolation((id, n), refusal) => log::seldom_error(
                "an attempt was asked for against the rules",
                format_args!("{}.{n}: {}", id.0, refusal.name()),
            ),
            Effect::WriteRecord(number, key, sent) => {
                if !self.persistence.record(number, key, sent) {
                    new_events.push(Event::RecordsFailed(vec![number]));
                }
            }
            // A mark that cannot be queued is left out: the log is then trusted for a shorter time.
            Effect::WriteMark(at, shut_until) => drop(self.persistence.mark((at, shut_until))),
            Effect::RewriteLog(rewrite) => {
                if !self.persistence.rewrite(rewrite) {
                    new_events.push(Event::RecordsFailed(Vec::new()));
                }
            }
            Effect::LogListReliability(true) => tracing::info!("the list of engines is confirmed: new work goes on"),
            Effect::LogListReliability(false) => tracing::warn!(
                "the list of engines is older than the rule on drains allows: no new work until it is confirmed"
            ),
            Effect::Exit => self.settled = true,
        }
    }

    /// Records a keyed send for other processes of this gateway. False: it is not recorded, and must not leave.
    fn record_for_peers(&mut self, send: &Send) -> bool {
        let (Some(hot_restart), Some(key)) = (&mut self.hot_restart, &send.statement.key) else {
            return true;
        };
        let Idempotency::Keyed { window, .. } = self.frontend.settings.classes[send.class.0].idempotency
        else {
            return true;
        };
        let recorded = hot_restart
            .record(deduplication_window::key(key), KeySend { at: self.frontend.clock.now(), window });
        if let Err(e) = &recorded {
            log::seldom_error("a keyed request was not sent, as other versions would not hear of it", e);
        }
        recorded.is_ok()
    }
}

/// Logs an effect in one line at the level `trace`, and each further attempt at the level `debug`.
fn trace_effect(effect: &Effect) {
    match effect {
        Effect::Send(s) => {
            if s.is_retry {
                tracing::debug!("request {} goes out again, attempt {} to {}", s.id.0 .0, s.id.1, s.engine.0);
            }
            tracing::trace!("send {}.{} to {} for {:.0} ms", s.id.0 .0, s.id.1, s.engine.0, s.budget)
        }
        Effect::AbortAttempt((id, n), engine, _) => tracing::trace!("give up {}.{n} on {}", id.0, engine.0),
        Effect::CheckHealth(tag, engine, _) => tracing::trace!("probe {tag} to {}", engine.0),
        Effect::DropQueued(engine) => tracing::trace!("shut {}", engine.0),
        Effect::Answer(id, answer) => {
            let kind = match answer {
                Answer::Served(_) | Answer::Finished => "served",
                Answer::Rejected(_) => "refused",
                Answer::Cut | Answer::Failed(_) => "failed",
                Answer::Expired => "expired",
            };
            tracing::trace!("answer {} {kind}", id.0);
        }
        _ => {}
    }
}

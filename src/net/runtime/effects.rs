//! Performs the effects that the reducer returns: sends attempts, answers clients, writes records.

use crate::core::{Answer, AttemptEnd, AttemptId, Effect, Event, Send};
use crate::interface::{Idempotency, Outcome};
use crate::net::log;
use crate::net::runtime::Runtime;
use starlingplank_persistence::deduplication_window::{self, KeySend};
use starlingplank_persistence::sent_requests;

impl Runtime {
    /// Performs one effect. Events that result immediately are pushed to `new_events`.
    pub(super) fn perform(&mut self, effect: Effect, new_events: &mut Vec<Event>) {
        trace_effect(&effect);
        match effect {
            Effect::Send(send) => self.send(send, new_events),
            Effect::AbortAttempt { attempt: id, outcome, .. } => {
                self.engines.abort_attempt(id, outcome == Outcome::Timeout);
            }
            Effect::SetPriority { attempt: id, priority, .. } => self.engines.set_priority(id, priority),
            Effect::CheckHealth { number: tag, engine, address } => {
                self.engines.check_health(tag, &engine, address, new_events);
            }
            Effect::DropQueued(engine) => self.engines.drop_queued(&engine, new_events),
            Effect::StartResponse(id, rows) => self.frontend.start_response(id, rows),
            Effect::ResponseChunk(id, bytes) => self.frontend.send_chunk(id, bytes),
            Effect::Answer(id, answer) => self.frontend.finish_response(id, answer),
            Effect::LogRejection { request: id, class, reason, waited: waited_ms } => {
                let class = &*self.frontend.settings.classes[class.0].name;
                tracing::debug!(request = id.0, class, reason, waited_ms, "request rejected");
            }
            Effect::LogViolation { attempt: AttemptId { request: id, number: attempt }, refusal } => {
                log::error_rate_limited(
                    "a requested attempt violates a sending rule and is discarded",
                    format_args!("{}.{attempt}: {}", id.0, refusal.name()),
                );
            }
            Effect::WriteRecord { number, key, sent } => {
                if !self.persistence.record(number, key, sent) {
                    new_events.push(Event::RecordsFailed(vec![number]));
                }
            }
            // A mark that cannot be queued is skipped: the next process then trusts the log for a shorter time.
            Effect::WriteMark(mark) => drop(self.persistence.mark(mark)),
            Effect::RewriteLog(rewrite) => {
                if !self.persistence.rewrite(rewrite) {
                    new_events.push(Event::RecordsFailed(Vec::new()));
                }
            }
            Effect::LogListReliability(is_reliable) => log_list_reliability(is_reliable),
            Effect::Exit => self.requests_finished = true,
        }
    }

    /// Sends an attempt. An attempt that cannot be recorded for the other processes, or whose request another process has sent and
    /// must not run twice, is not sent and ends as not executed.
    fn send(&mut self, send: Send, new_events: &mut Vec<Event>) {
        let may_send = self.record_for_peers(&send)
            && self.record_request_for_peers(&send)
            && !self.was_sent_by_peer(&send, new_events);
        if may_send {
            self.engines.send(send, new_events);
        } else {
            let end = AttemptEnd::from_outcome(Outcome::NotExecuted);
            new_events.push(Event::AttemptEnded(send.id, end));
        }
    }

    /// Records a request that must not run twice for the other processes of this gateway. Returns `false` if the record failed.
    fn record_request_for_peers(&mut self, send: &Send) -> bool {
        let (Some(hot_restart), Some(identity)) = (&mut self.hot_restart, send.statement.identity) else {
            return true;
        };
        let sent = KeySend { at: self.frontend.clock.now(), window: sent_requests::RETENTION };
        let recorded = hot_restart.record_request(identity, sent);
        if let Err(error) = &recorded {
            log::error_rate_limited(
                "request that must not run twice not sent: it cannot be recorded for the other processes",
                error,
            );
        }
        recorded.is_ok()
    }

    /// Returns whether another process of this gateway has sent a request that must not run twice. As each process first records its
    /// own, at least one of two that send at the same time notices the other.
    fn was_sent_by_peer(&mut self, send: &Send, new_events: &mut Vec<Event>) -> bool {
        let (Some(hot_restart), Some(identity)) = (&mut self.hot_restart, send.statement.identity) else {
            return false;
        };
        let requests = hot_restart.peer_requests(self.frontend.clock.now());
        let is_repeated = requests.iter().any(|(sent, _)| *sent == identity);
        if !requests.is_empty() {
            new_events.push(Event::PeerRequests(requests));
        }
        is_repeated
    }

    /// Records a keyed send for the other processes of this gateway. Returns `false` if the record failed: the attempt must not
    /// be sent.
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
        if let Err(error) = &recorded {
            log::error_rate_limited(
                "keyed request not sent: its key cannot be recorded for the other processes",
                error,
            );
        }
        recorded.is_ok()
    }
}

fn log_list_reliability(is_reliable: bool) {
    if is_reliable {
        tracing::info!("endpoint list confirmed: new work is sent again");
    } else {
        tracing::warn!("endpoint list lease expired: no new work until the list is confirmed");
    }
}

/// Logs an effect as one line at level `trace`, and additionally each retry at level `debug`.
fn trace_effect(effect: &Effect) {
    match effect {
        Effect::Send(Send {
            id: AttemptId { request: id, number: attempt },
            engine,
            time_left,
            is_retry,
            ..
        }) => {
            if *is_retry {
                tracing::debug!(request = id.0, attempt, engine = %engine.0, "request is retried");
            }
            tracing::trace!(request = id.0, attempt, engine = %engine.0, budget_ms = time_left, "attempt sent");
        }
        Effect::AbortAttempt { attempt: AttemptId { request: id, number: attempt }, engine, .. } => {
            tracing::trace!(request = id.0, attempt, engine = %engine.0, "attempt aborted");
        }
        Effect::CheckHealth { number: tag, engine, .. } => {
            tracing::trace!(tag, engine = %engine.0, "health check sent");
        }
        Effect::DropQueued(engine) => tracing::trace!(engine = %engine.0, "queued attempts dropped"),
        Effect::Answer(id, answer) => {
            let kind = match answer {
                Answer::Served(_) | Answer::Streamed => "served",
                Answer::Rejected(_) => "refused",
                Answer::Aborted | Answer::Failed(_) => "failed",
                Answer::Expired => "expired",
            };
            tracing::trace!(request = id.0, kind, "request answered");
        }
        _ => {}
    }
}

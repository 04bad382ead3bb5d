//! Outcomes and progress updates of attempts: updates all learned state from them, in a fixed order.

use crate::balancer::Balancer;
use crate::interface::{Outcome, ProgressUpdate};
use crate::outlier_ejection::is_outlier;
use crate::permission::send::never_ran;
use crate::state::EndedAttempt;
use crate::types::{Milliseconds, RequestId};

/// Outcome of an attempt, as the event reports it.
pub(crate) struct AttemptOutcome {
    pub(crate) id: RequestId,
    /// Number of the attempt within the request, from 0.
    pub(crate) attempt: u32,
    pub(crate) outcome: Outcome,
    /// Time from the send to the outcome.
    pub(crate) elapsed: Milliseconds,
    /// Actual work of the query, if the engine reports it.
    pub(crate) work: Option<Milliseconds>,
}

impl Balancer {
    /// Processes the outcome of an attempt. An outcome of an attempt that is not in flight is ignored.
    pub(crate) fn learn_outcome(&mut self, reported: AttemptOutcome) {
        let Some(ended) = self.end_attempt(&reported) else { return };
        self.pause_key(&ended);
        self.learn_runtime(&ended);
        if self.engines.contains_key(&ended.engine) {
            self.release_engine(&ended);
            self.learn_thread_times(&ended);
            let signal = self.learn_response(&ended);
            let was_outlier = self.engines.get(&ended.engine).is_none_or(is_outlier);
            self.learn_health(&ended, signal);
            self.learn_latency(&ended, was_outlier);
        }
        self.discard_if_done(ended.request);
    }

    /// Marks the attempt as ended. If no other attempt is in flight, the request starts waiting for an engine again.
    fn end_attempt(&mut self, reported: &AttemptOutcome) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&reported.id)?;
        let attempt = request.attempts.get_mut(reported.attempt as usize)?;
        if !attempt.in_flight {
            return None;
        }
        attempt.in_flight = false;
        attempt.never_ran = never_ran(reported.outcome);
        let ended = EndedAttempt {
            request: reported.id,
            class: request.details.class,
            key: request.details.key,
            data: request.details.data,
            relative_size: request.relative_size,
            engine: attempt.engine.clone(),
            sent_at: attempt.sent_at,
            load_level: attempt.load_level,
            sampled: attempt.sampled,
            never_ran: attempt.never_ran,
            outcome: reported.outcome,
            elapsed: reported.elapsed,
            work: reported.work,
        };
        if request.in_flight() == 0 {
            request.waiting_since = self.now;
        }
        Some(ended)
    }

    /// Removes an ended attempt from the load of its engine.
    fn release_engine(&mut self, ended: &EndedAttempt) {
        let class = &self.settings.classes[ended.class.0];
        let Some(engine) = self.engines.get_mut(&ended.engine) else { return };
        engine.load.own_threads = (engine.load.own_threads - class.threads).max(0.0);
        self.fleet.own_threads = (self.fleet.own_threads - class.threads).max(0.0);
        engine.load.in_flight = (engine.load.in_flight - 1.0).max(0.0);
        if let Some(data) = ended.data.filter(|_| class.is_load) {
            engine.release_load(data);
        }
    }

    /// Processes a progress update of an attempt in flight.
    pub(crate) fn learn_progress(&mut self, id: RequestId, attempt: u32, update: ProgressUpdate) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(attempt) = request.attempts.get(attempt as usize) else { return };
        if !attempt.in_flight {
            return;
        }
        let state = &mut self.classes[request.details.class.0];
        if matches!(update, ProgressUpdate::Spill(missing_mb) if missing_mb > 0.0) {
            state.raise_grant_factor();
        }
        // A progress update proves that the engine is responsive.
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        engine.last_answer_at = self.now;
        engine.confirmed_at = Some(self.now);
        if update == ProgressUpdate::WaitsForLoad {
            if let Some(data) = request.details.data {
                let locked_until = self.now + state.best_latency * request.relative_size;
                engine.locked_until.insert(data, locked_until);
            }
        }
    }
}

//! Slow start: an engine that has just started has only part of its capacity, and collapses under a load far above
//! that. Each engine in slow start has a budget of work, which all gateways share.

use crate::balancer::Balancer;
use crate::settings::Settings;
use crate::state::{Engine, Request, DISTANT_PAST, MIN_CORES};
use crate::types::Milliseconds;

/// Share of an engine's slow start budget that is used; the rest is a safety margin.
const USABLE_BUDGET_SHARE: f64 = 0.8;
/// Safety margin where each gateway's share of a budget is smaller than one query: number of standard deviations by
/// which the expected total work of all gateways stays below the budget.
const BUDGET_MARGIN_DEVIATIONS: f64 = 3.0;
/// Number of consecutive answers faster than the assumed capacity share allows, after which the share is raised.
const MIN_FAST_ANSWERS: u32 = 8;
/// Minimum increase of the capacity share over a slow start. Prevents a division by zero where engines start at full
/// capacity.
const MIN_CAPACITY_INCREASE: f64 = 0.01;

/// Measured speed of one answer of an engine.
pub(crate) struct AnswerSpeed {
    /// Latency of the query as a multiple of its latency on an idle engine.
    pub(crate) slowdown: f64,
    /// Number of threads that the query ran on.
    pub(crate) threads: f64,
}

impl Balancer {
    /// Returns the share of its full capacity, up to 1, that the engine has now. The start of the engine's process is
    /// stated by the endpoint list, suspected after a state restore, or inferred from refused connections.
    pub(crate) fn capacity_share(&self, engine: &Engine) -> f64 {
        let refusals_ended_at = engine.connections_refused_at.map_or(DISTANT_PAST, |refused_at| {
            if engine.ejection.ended_at > refused_at {
                engine.ejection.ended_at
            } else {
                self.now
            }
        });
        let started_at = refusals_ended_at.max(engine.slow_start.started_at.unwrap_or(DISTANT_PAST));
        let progress = (self.now - started_at) / self.settings.slow_start_duration.max(1.0);
        let initial_share = self.settings.slow_start_initial_share;
        initial_share + (1.0 - initial_share) * progress.clamp(0.0, 1.0)
    }

    /// Returns whether the budget of an engine in slow start allows a request. The budget limits the work sent to the
    /// engine within any window of `overload_collapse_after`. All gateways have even shares, so the shares add up to
    /// one budget regardless of load reports and lost state. The expected work of each class counts, so a few heavy
    /// queries exhaust the budget. Without shares, each of hundreds of gateways would use the whole budget.
    /// Disadvantage: a gateway that receives most of the traffic gets no larger share.
    pub(crate) fn slow_start_budget_allows(&self, request: &Request, engine: &Engine) -> bool {
        let capacity_share = self.capacity_share(engine);
        if capacity_share >= 1.0 {
            return true;
        }
        let budget = USABLE_BUDGET_SHARE
            * self.settings.overload_collapse_multiple
            * capacity_share
            * engine.cores
            * self.settings.overload_collapse_after;
        let work = self.expected_work(request.details.class);
        let own_budget = own_share_of_budget(budget, work, engine.slow_start.own_share);
        engine.slow_start.recent_work + work * engine.slow_start.budget_draw <= own_budget
    }
}

/// Returns this gateway's share of a budget, for queries of the given work. If the share is smaller than one query,
/// whether a query fits is decided by a random draw, repeated about once per window. The expected total of all
/// gateways then lies [`BUDGET_MARGIN_DEVIATIONS`] standard deviations below the budget, counted in queries of that
/// work.
fn own_share_of_budget(budget: Milliseconds, work: Milliseconds, share: f64) -> Milliseconds {
    if budget * share >= work {
        return budget * share;
    }
    let (queries, variance) = (budget / work, BUDGET_MARGIN_DEVIATIONS * BUDGET_MARGIN_DEVIATIONS);
    let mean = queries + variance / 2.0 - BUDGET_MARGIN_DEVIATIONS * (queries + variance / 4.0).sqrt();
    mean * work * share
}

impl Engine {
    /// Advances the slow start budget by one control step: discards sends older than `window`, and about once per
    /// window repeats the draw that rounds this gateway's share.
    pub(crate) fn update_slow_start_budget(
        &mut self,
        now: Milliseconds,
        window: Milliseconds,
        rng: &mut fastrand::Rng,
    ) {
        if now >= self.slow_start.next_draw_at {
            self.slow_start.budget_draw = rng.f64();
            self.slow_start.next_draw_at = now + window * (0.5 + rng.f64());
        }
        self.slow_start.recent_sends.retain(|sent| sent.sent_at >= now - window);
        self.slow_start.recent_work = self.slow_start.recent_sends.iter().map(|sent| sent.work).sum();
    }

    /// Raises the capacity share of an engine whose restart is only suspected, if its answers are fast. An engine
    /// that answers as fast as an idle one while a number of threads run has at least the share of its cores that
    /// these threads need. Answers under light load prove little, because an engine in slow start serves a few
    /// queries as fast as any other; each answer proves only the share that its own load needs.
    pub(crate) fn learn_capacity_share(
        &mut self,
        answer: &AnswerSpeed,
        now: Milliseconds,
        settings: &Settings,
    ) {
        let Some(started_at) = self.slow_start.started_at.filter(|_| self.slow_start.start_suspected) else {
            return;
        };
        let initial_share = settings.slow_start_initial_share;
        let increase =
            (1.0 - initial_share).max(MIN_CAPACITY_INCREASE) / settings.slow_start_duration.max(1.0);
        let load = (self.load.own_threads + answer.threads) / self.cores.max(MIN_CORES);
        let shown_capacity_share = load.min(1.0) / answer.slowdown.max(1.0);
        if shown_capacity_share <= initial_share + increase * (now - started_at) {
            self.reset_fast_answers();
            return;
        }
        self.slow_start.fast_answers += 1;
        self.slow_start.shown_capacity_share = self.slow_start.shown_capacity_share.min(shown_capacity_share);
        if self.slow_start.fast_answers >= MIN_FAST_ANSWERS {
            self.slow_start.started_at =
                Some(started_at.min(now - (self.slow_start.shown_capacity_share - initial_share) / increase));
            self.reset_fast_answers();
        }
    }

    fn reset_fast_answers(&mut self) {
        self.slow_start.fast_answers = 0;
        self.slow_start.shown_capacity_share = 1.0;
    }
}

#[cfg(test)]
mod tests;

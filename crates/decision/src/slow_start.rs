//! Slow start: an engine that has just started has part of its capacity, and collapses under far more load than that.
//! It is sent no more than a budget, which all gateways share.

use crate::balancer::Balancer;
use crate::settings::Settings;
use crate::state::{Engine, Request, MIN_CORES, NEVER};
use crate::types::Milliseconds;

/// The share of an engine's budget that is used.
const BUDGET_MARGIN: f64 = 0.8;
/// Standard deviations of a chance sum that the budget leaves free, where gateways' shares are smaller than a query.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// The number of answers in a row that show how warm an engine is.
const MIN_WARM_ANSWERS: u32 = 8;
/// The least increase of capacity over a slow start: one that starts at full capacity has none.
const MIN_CAPACITY_INCREASE: f64 = 0.01;

/// The pace at which an engine answered a query.
pub(crate) struct AnswerPace {
    /// How many times longer than alone the query took.
    pub(crate) slowdown: f64,
    /// The threads that it ran on.
    pub(crate) threads: f64,
}

impl Balancer {
    /// The share of its capacity that an engine has now, up to 1. Its start is stated by the endpoint list, suspected,
    /// or inferred from refused connections.
    pub(crate) fn warmth(&self, engine: &Engine) -> f64 {
        let refusals_ended_at = engine.connections_refused_at.map_or(NEVER, |refused_at| {
            if engine.ejection.ended_at > refused_at {
                engine.ejection.ended_at
            } else {
                self.now
            }
        });
        let started_at = refusals_ended_at.max(engine.slow_start.started_at.unwrap_or(NEVER));
        let progress = (self.now - started_at) / self.settings.slow_start_duration.max(1.0);
        let from = self.settings.slow_start_initial_share;
        from + (1.0 - from) * progress.clamp(0.0, 1.0)
    }

    /// Whether the budget of an engine in slow start allows a request: what the engine may be sent within any span of
    /// the settings' length. Gateways have even shares of it, which add up to one budget whatever is reported or
    /// forgotten. The usual work of classes is counted, so few heavy queries use it up. Keeps hundreds of gateways from
    /// each taking itself for the only one. Does harm to a gateway with most of the traffic.
    pub(crate) fn slow_start_budget_allows(&self, request: &Request, engine: &Engine) -> bool {
        let warmth = self.warmth(engine);
        if warmth >= 1.0 {
            return true;
        }
        let budget = BUDGET_MARGIN
            * self.settings.overload_collapse_multiple
            * warmth
            * engine.cores
            * self.settings.overload_collapse_after;
        let work = self.usual_work(request.details.class);
        let own_budget = own_share_of_budget(budget, work, engine.slow_start.own_share);
        engine.slow_start.recent_work + work * engine.slow_start.budget_draw <= own_budget
    }
}

/// This gateway's share of a budget for queries of that work. A share smaller than a query is won by chance, drawn anew
/// each span. The mean then lies so many deviations of such a draw under the budget, in queries of that work.
fn own_share_of_budget(budget: Milliseconds, work: Milliseconds, share: f64) -> Milliseconds {
    if budget * share >= work {
        return budget * share;
    }
    let (queries, variance) = (budget / work, CHANCE_DEVIATIONS * CHANCE_DEVIATIONS);
    let mean = queries + variance / 2.0 - CHANCE_DEVIATIONS * (queries + variance / 4.0).sqrt();
    mean * work * share
}

impl Engine {
    /// Advances the slow start budget by a control step: forgets sends older than `span`, and draws anew how this
    /// gateway's share is rounded, about once a span.
    pub(crate) fn renew_slow_start_budget(
        &mut self,
        now: Milliseconds,
        span: Milliseconds,
        rng: &mut fastrand::Rng,
    ) {
        if now >= self.slow_start.next_draw_at {
            self.slow_start.budget_draw = rng.f64();
            self.slow_start.next_draw_at = now + span * (0.5 + rng.f64());
        }
        self.slow_start.recent_sends.retain(|sent| sent.sent_at >= now - span);
        self.slow_start.recent_work = self.slow_start.recent_sends.iter().map(|sent| sent.work).sum();
    }

    /// Learns from an answer how warm an engine is whose start is only suspected. One that answers at its usual pace
    /// while so many threads run has at least their share of its cores. Light loads show little, as an engine in slow
    /// start serves a few queries as fast as a warm one; and a load shows the warmth for that load only.
    pub(crate) fn learn_warmth(&mut self, answer: &AnswerPace, now: Milliseconds, settings: &Settings) {
        let Some(started_at) = self.slow_start.started_at.filter(|_| self.slow_start.start_suspected) else {
            return;
        };
        let from = settings.slow_start_initial_share;
        let increase = (1.0 - from).max(MIN_CAPACITY_INCREASE) / settings.slow_start_duration.max(1.0);
        let load = (self.load.own_threads + answer.threads) / self.cores.max(MIN_CORES);
        let shown_warmth = load.min(1.0) / answer.slowdown.max(1.0);
        if shown_warmth <= from + increase * (now - started_at) {
            self.reset_warm_answers();
            return;
        }
        self.slow_start.warm_answers += 1;
        self.slow_start.shown_warmth = self.slow_start.shown_warmth.min(shown_warmth);
        if self.slow_start.warm_answers >= MIN_WARM_ANSWERS {
            self.slow_start.started_at =
                Some(started_at.min(now - (self.slow_start.shown_warmth - from) / increase));
            self.reset_warm_answers();
        }
    }

    fn reset_warm_answers(&mut self) {
        self.slow_start.warm_answers = 0;
        self.slow_start.shown_warmth = 1.0;
    }
}

#[cfg(test)]
mod tests;

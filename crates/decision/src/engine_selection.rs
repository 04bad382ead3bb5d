//! Engine selection: among the engines that health, rules and limits allow, one is chosen at random; the more free
//! capacity an engine has, the more likely it is chosen.

use crate::balancer::Balancer;
use crate::data_set_areas::preference;
use crate::interface::BlockReason;
use crate::load_levels::{LEVELS, MAX_LEVEL, MIN_LEVEL};
use crate::outlier_ejection::RECOVERY_RAMP;
use crate::state::{Engine, Request, MIN_CORES};
use crate::types::{EngineId, Milliseconds};

/// Additional weight of an engine in this gateway's zone, as a share of its weight.
const ZONE_PREFERENCE: f64 = 0.1;
/// Amount by which the score of engines without free capacity lies below that of all others.
const NO_CAPACITY_PENALTY: f64 = 1e9;
/// Amount by which the score of engines outside the aperture lies below that of all engines inside it that have free
/// capacity.
const OUTSIDE_APERTURE_PENALTY: f64 = NO_CAPACITY_PENALTY / 2.0;
/// No attempt is sent to an engine within this time after it rejected one as full.
const FULL_PAUSE: Milliseconds = 250.0;
/// Age of the figures in a load report when the report arrives.
const REPORT_DELAY: Milliseconds = 200.0;
/// Minimum share of an engine's cores that counts as effective directly after an ejection.
const MIN_RECOVERY: f64 = 0.1;
/// Minimum share of an engine's cores that counts as effective while its attempts fail.
const MIN_SUCCESS_RATE: f64 = 0.3;
/// Lower bound of the ratio of an engine's slowdown to the median of the fleet. The effective cores of the engine are
/// divided by this ratio.
const MIN_RELATIVE_SLOWDOWN: f64 = 0.9;
/// Upper bound of the ratio of an engine's slowdown to the median of the fleet.
const MAX_RELATIVE_SLOWDOWN: f64 = 10.0;

impl Balancer {
    /// Chooses the engine for a request.
    ///
    /// # Errors
    /// Returns the reason why the engine that passed the most checks was not chosen.
    pub(crate) fn select_engine(&self, request: &Request) -> Result<EngineId, BlockReason> {
        if !self.fleet_has_capacity(request) {
            return Err(BlockReason::FleetShare);
        }
        let ignores_ejections = self.most_are_ejected();
        let mut reason = BlockReason::NoEngine;
        let mut best: Option<(f64, &EngineId)> = None;
        for (id, engine) in &self.engines {
            if let Err(engine_reason) = self.may_choose(engine, request, ignores_ejections) {
                reason = reason.max(engine_reason);
                continue;
            }
            let score = self.score(engine, request);
            if best.is_none_or(|(best_score, _)| score > best_score) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone()).ok_or(reason)
    }

    fn may_choose(
        &self,
        engine: &Engine,
        request: &Request,
        ignores_ejections: bool,
    ) -> Result<(), BlockReason> {
        if !self.is_available(engine, request, ignores_ejections) {
            return Err(BlockReason::Unavailable);
        }
        if !self.rules_allow(request, engine) {
            let is_within_budget = self.slow_start_budget_allows(request, engine);
            return Err(if is_within_budget { BlockReason::Rules } else { BlockReason::SlowStart });
        }
        self.engine_has_capacity(engine, request)
    }

    fn is_available(&self, engine: &Engine, request: &Request, ignores_ejections: bool) -> bool {
        if let Some(ejected_until) = engine.ejection.until {
            let is_ejected = !ignores_ejections || engine.connections_refused_at.is_some();
            if is_ejected && !self.may_send_trial(engine, ejected_until, request) {
                return false;
            }
        }
        // A retry goes to a different engine if there is one.
        let was_tried = request.attempts.iter().any(|attempt| {
            attempt.engine == engine.member.engine && (attempt.in_flight || !attempt.never_ran)
        });
        let must_go_elsewhere = was_tried && self.engines.len() > 1;
        !self.is_full(engine) && !must_go_elsewhere
    }

    fn is_full(&self, engine: &Engine) -> bool {
        self.now - engine.full_at < FULL_PAUSE
    }

    /// Returns whether the engine is temporarily not selected because of its own behaviour: it is ejected, or has
    /// just rejected an attempt as full.
    pub fn is_temporarily_excluded(&self, engine: &EngineId) -> bool {
        let Some(engine) = self.engines.get(engine) else { return false };
        let is_ejected = engine.ejection.until.is_some();
        is_ejected && (engine.connections_refused_at.is_some() || !self.most_are_ejected())
            || self.is_full(engine)
    }

    /// Returns the score of an engine; the engine with the highest score is chosen. An engine with free capacity is
    /// chosen with a probability proportional to its weight, because the largest ln(draw) / weight has that
    /// distribution. The draw is a function of the request and the engine.
    fn score(&self, engine: &Engine, request: &Request) -> f64 {
        let class = self.class_of(request);
        // Loads of one data set wait for each other, and queries that wait for loads wait too: they are sent to
        // different engines.
        let data_set = request.details.data.filter(|_| class.is_load || class.waits_for_loads);
        let is_locked = data_set.is_some_and(|data| engine.is_locked(data, self.now));
        let capacity = self.free_capacity(engine) - MAX_LEVEL * f64::from(is_locked);
        if capacity > 0.0 {
            let data_set_weight =
                data_set.map_or(1.0, |data| preference(data, engine.stable_hash, class.is_load));
            let penalty = if engine.aperture_share > 0.0 { 0.0 } else { OUTSIDE_APERTURE_PENALTY };
            selection_draw(request, engine).ln() / self.weight(engine, capacity, data_set_weight) - penalty
        } else {
            capacity - NO_CAPACITY_PENALTY
        }
    }

    /// Returns the weight of an engine in the random selection.
    fn weight(&self, engine: &Engine, capacity: f64, data_set_weight: f64) -> f64 {
        let cores = self.effective_cores(engine).max(MIN_CORES);
        let zone_weight = 1.0 + ZONE_PREFERENCE * f64::from(engine.member.zone == self.settings.zone);
        let aperture_weight = if engine.aperture_share > 0.0 { engine.aperture_share } else { 1.0 };
        capacity * cores * zone_weight * aperture_weight * data_set_weight
    }

    /// Returns the free capacity of an engine, in threads a core: the difference between its load and the level to
    /// which the fleet fills all engines. Until the next report, the estimated load moves towards the mean of the
    /// fleet (load interpretation, Dahlin 1999). This prevents hundreds of gateways from all choosing the one engine
    /// whose outdated report shows the most free capacity.
    fn free_capacity(&self, engine: &Engine) -> f64 {
        let fleet = &self.fleet;
        // Share of the queries that have been replaced by others since the report was made.
        let turnover = |age: Milliseconds| (REPORT_DELAY + age) / fleet.residence_time.max(1.0);
        let cores = self.effective_cores(engine).max(MIN_CORES);
        let own = engine.load.own_threads / cores;
        let others = engine.load.other_threads / cores;
        let still_valid = (-turnover(engine.report_age(self.now))).exp();
        let load = own + fleet.mean_other_load + (others - fleet.mean_other_load) * still_valid;
        let mean = fleet.load().max(MIN_LEVEL);
        let fill_level = mean * (1.0 + (1.0 - fleet.share) * turnover(fleet.report_age));
        fill_level.min(LEVELS[self.limit_level]) - load
    }

    /// Returns the effective cores of an engine: fewer than its actual cores in slow start, while it is slow, while
    /// its attempts fail, and after an ejection.
    pub(crate) fn effective_cores(&self, engine: &Engine) -> f64 {
        let recovery = ((self.now - engine.ejection.ended_at) / RECOVERY_RAMP).clamp(MIN_RECOVERY, 1.0);
        let success_rate = (1.0 - engine.error_rate).max(MIN_SUCCESS_RATE);
        let slowdown = (engine.slowdown / self.fleet.median_slowdown)
            .clamp(MIN_RELATIVE_SLOWDOWN, MAX_RELATIVE_SLOWDOWN);
        engine.cores * self.capacity_share(engine) * recovery * success_rate / slowdown
    }
}

/// Returns a random number above 0 and below 1, the same on each call for the same request and engine.
fn selection_draw(request: &Request, engine: &Engine) -> f64 {
    let seed = request.share_draw.to_bits() ^ engine.jitter.to_bits().rotate_left(32);
    fastrand::Rng::with_seed(seed).f64().max(f64::MIN_POSITIVE)
}

//! Engine selection: of the engines that health, the rules and the limits allow, the one with the most free capacity
//! is the most likely choice.

use crate::balancer::Balancer;
use crate::data_set_areas::preference;
use crate::interface::BlockReason;
use crate::load_levels::{LEVELS, MAX_LEVEL, MIN_LEVEL};
use crate::outlier_ejection::RECOVERY_RAMP;
use crate::state::{Engine, Request, MIN_CORES};
use crate::types::{EngineId, Milliseconds};

/// How much more weight an engine in this gateway's zone has.
const ZONE_PREFERENCE: f64 = 0.1;
/// The score of engines without free capacity lies this far below that of all others.
const NO_CAPACITY_PENALTY: f64 = 1e9;
/// The score of engines outside the aperture lies this far below that of all inside it that have free capacity.
const OUTSIDE_APERTURE_PENALTY: f64 = NO_CAPACITY_PENALTY / 2.0;
/// No attempt is sent to an engine for this long after it rejected one as full.
const FULL_PAUSE: Milliseconds = 250.0;
/// The age of what a load report shows, when it arrives.
const REPORT_DELAY: Milliseconds = 200.0;
/// The least share of its cores that counts of an engine just back from an ejection ...
const MIN_RECOVERY: f64 = 0.1;
/// ... and of one that fails.
const MIN_SUCCESS_RATE: f64 = 0.3;
/// The limits of an engine's slowdown over that of the fleet, as far as it takes away cores.
const MIN_RELATIVE_SLOWDOWN: f64 = 0.9;
const MAX_RELATIVE_SLOWDOWN: f64 = 10.0;

impl Balancer {
    /// Chooses the engine for a request.
    ///
    /// # Errors
    /// The reason that the engine which came nearest was not chosen for.
    pub(crate) fn select_engine(&self, request: &Request) -> Result<EngineId, BlockReason> {
        if !self.fleet_has_capacity(request) {
            return Err(BlockReason::FleetShare);
        }
        let ignores_ejections = self.most_are_ejected();
        let mut reason = BlockReason::NoEngine;
        let mut best: Option<(f64, &EngineId)> = None;
        for (id, engine) in &self.engines {
            if let Err(against) = self.may_choose(engine, request, ignores_ejections) {
                reason = reason.max(against);
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
            if is_ejected && !self.may_try_again(engine, ejected_until, request) {
                return false;
            }
        }
        // A retry goes to another engine, where there is one.
        let was_tried = request.attempts.iter().any(|attempt| {
            attempt.engine == engine.member.engine && (attempt.in_flight || !attempt.never_ran)
        });
        let must_go_elsewhere = was_tried && self.engines.len() > 1;
        !self.is_full(engine) && !must_go_elsewhere
    }

    fn is_full(&self, engine: &Engine) -> bool {
        self.now - engine.full_at < FULL_PAUSE
    }

    /// Whether the choice leaves that engine out for now, for what it did: it was ejected, or has just rejected an
    /// attempt as full.
    pub fn avoids(&self, engine: &EngineId) -> bool {
        let Some(engine) = self.engines.get(engine) else { return false };
        let is_ejected = engine.ejection.until.is_some();
        is_ejected && (engine.connections_refused_at.is_some() || !self.most_are_ejected())
            || self.is_full(engine)
    }

    /// The score of an engine; the highest is chosen. Each engine with free capacity is chosen by chance in proportion to
    /// its weight: the largest of ln(draw) / weight has that distribution. The draw follows from the request and the
    /// engine.
    fn score(&self, engine: &Engine, request: &Request) -> f64 {
        let class = self.class_of(request);
        // Loads of one data set wait for each other, and so does what waits for loads: they are kept apart.
        let area = request.details.data.filter(|_| class.is_load || class.waits_for_loads);
        let is_locked = area.is_some_and(|data| engine.is_locked(data, self.now));
        let capacity = self.free_capacity(engine) - MAX_LEVEL * f64::from(is_locked);
        if capacity > 0.0 {
            let area_weight = area.map_or(1.0, |data| preference(data, engine.stable_hash, class.is_load));
            let penalty = if engine.aperture_share > 0.0 { 0.0 } else { OUTSIDE_APERTURE_PENALTY };
            choice_draw(request, engine).ln() / self.weight(engine, capacity, area_weight) - penalty
        } else {
            capacity - NO_CAPACITY_PENALTY
        }
    }

    /// The weight of an engine in the choice.
    fn weight(&self, engine: &Engine, capacity: f64, area_weight: f64) -> f64 {
        let cores = self.effective_cores(engine).max(MIN_CORES);
        let zone_weight = 1.0 + ZONE_PREFERENCE * f64::from(engine.member.zone == self.settings.zone);
        let aperture_weight = if engine.aperture_share > 0.0 { engine.aperture_share } else { 1.0 };
        capacity * cores * zone_weight * aperture_weight * area_weight
    }

    /// The free capacity of an engine, in threads a core: what it has less than the level up to which the fleet fills
    /// all engines. Until its next report an engine's load drifts to the mean (load interpretation, Dahlin 1999). Keeps
    /// hundreds of gateways from all choosing the one engine whose old report shows the most free capacity.
    fn free_capacity(&self, engine: &Engine) -> f64 {
        let fleet = &self.fleet;
        // The share of the queries that were replaced by others since the report was made.
        let turnover = |age: Milliseconds| (REPORT_DELAY + age) / fleet.residence_time.max(1.0);
        let cores = self.effective_cores(engine).max(MIN_CORES);
        let own = engine.load.own_threads / cores;
        let others = engine.load.other_threads / cores;
        let still_valid = (-turnover(engine.report_age(self.now))).exp();
        let load = own + fleet.usual_load + (others - fleet.usual_load) * still_valid;
        let mean = fleet.load().max(MIN_LEVEL);
        let fill_level = mean * (1.0 + (1.0 - fleet.share) * turnover(fleet.report_age));
        fill_level.min(LEVELS[self.limit_level]) - load
    }

    /// The cores that count of an engine: fewer in slow start, while it is slow or fails, and after an ejection.
    pub(crate) fn effective_cores(&self, engine: &Engine) -> f64 {
        let recovery = ((self.now - engine.ejection.ended_at) / RECOVERY_RAMP).clamp(MIN_RECOVERY, 1.0);
        let success_rate = (1.0 - engine.error_rate).max(MIN_SUCCESS_RATE);
        let slowdown = (engine.slowdown / self.fleet.median_slowdown)
            .clamp(MIN_RELATIVE_SLOWDOWN, MAX_RELATIVE_SLOWDOWN);
        engine.cores * self.warmth(engine) * recovery * success_rate / slowdown
    }
}

/// A random number above 0 and below 1, the same each time for that request and engine.
fn choice_draw(request: &Request, engine: &Engine) -> f64 {
    let seed = request.share_draw.to_bits() ^ engine.jitter.to_bits().rotate_left(32);
    fastrand::Rng::with_seed(seed).f64().max(f64::MIN_POSITIVE)
}

//! Admission and load shedding: decides whether an engine and the fleet have capacity for a request, and when a
//! running request is given up. All final answers of the decision module are given here.

use crate::balancer::Balancer;
use crate::interface::{Action, BlockReason};
use crate::load_levels::{LEVELS, MIN_LEVEL};
use crate::permission::send::may_reject;
use crate::state::{Attempt, Engine, Request, MIN_CORES};
use crate::types::{Milliseconds, RequestId};

/// Load in threads a core above which an engine is under pressure.
pub(crate) const PRESSURE_LOAD: f64 = 1.25;
/// Slowdown above which an engine is under pressure.
const PRESSURE_SLOWDOWN: f64 = 2.5;
/// Exponent of the ratio of concurrency limit to fleet load, by which this gateway's own limit is scaled.
const FLEET_LIMIT_EXPONENT: i32 = 2;
/// Maximum size that a query is counted with, relative to the mean of its class: estimates from clients may be far
/// off.
const MAX_COUNTED_SIZE: f64 = 3.0;
/// Part of an average query by which an engine's limit may be exceeded, because queries are not divisible.
const QUERY_ROUNDING: f64 = 0.5;
/// Minimum Retry-After: clients that retry sooner find the same load.
pub(crate) const MIN_RETRY_AFTER: Milliseconds = 100.0;
/// Slowdown above which a late attempt is considered stalled: its engine makes no progress with it.
const STALLED_SLOWDOWN: f64 = 4.0;
/// Minimum latency on an idle engine that an attempt is assumed to have when it is checked for a stall.
const MIN_UNLOADED_LATENCY: Milliseconds = 100.0;

impl Balancer {
    /// Checks whether an engine has capacity for a request. The limit applies only while the engine is under
    /// pressure. It bounds this gateway's threads by its share, where one query always fits, and the threads of all
    /// gateways by the whole limit.
    ///
    /// # Errors
    /// Returns the kind of pressure if the request does not fit.
    pub(crate) fn engine_has_capacity(&self, engine: &Engine, request: &Request) -> Result<(), BlockReason> {
        let Some(pressure) = self.pressure_on(engine) else { return Ok(()) };
        let threads = self.class_of(request).threads;
        let limit = LEVELS[self.limit_level] * self.effective_cores(engine);
        let own_limit = (limit * self.fleet.share).max(threads);
        let counted_size = request.relative_size.min(MAX_COUNTED_SIZE) - QUERY_ROUNDING;
        let all_threads = engine.load.all_threads() + threads * counted_size;
        if engine.load.own_threads + threads <= own_limit && all_threads <= limit.max(threads) {
            return Ok(());
        }
        Err(pressure)
    }

    fn pressure_on(&self, engine: &Engine) -> Option<BlockReason> {
        let cores = self.effective_cores(engine).max(MIN_CORES);
        if engine.load.is_saturated {
            Some(BlockReason::Busy)
        } else if engine.load.all_threads() / cores > PRESSURE_LOAD {
            Some(BlockReason::Crowded)
        } else if engine.slowdown > PRESSURE_SLOWDOWN {
            Some(BlockReason::Slow)
        } else {
            None
        }
    }

    /// Returns whether this gateway's share of the concurrency limit over all engines has capacity for a request.
    /// Fractions of a query are rounded by the request's random draw, and rounded up for the group of classes that is
    /// not deferred.
    pub(crate) fn fleet_has_capacity(&self, request: &Request) -> bool {
        let threads = self.class_of(request).threads;
        let is_preferred = self.deferred_group == Some(self.class_state_of(request).group.other());
        let rounding = threads * if is_preferred { 1.0 } else { request.share_draw };
        let own_threads = self.fleet.own_threads + threads * request.relative_size.min(MAX_COUNTED_SIZE);
        own_threads <= self.own_thread_limit() + rounding
    }

    /// Returns the maximum number of threads that this gateway may run on all engines together: its share of the
    /// concurrency limit, scaled up strongly while the fleet is below the limit and down while it is above. This
    /// prevents hundreds of gateways from all filling the engine whose outdated report shows free capacity, and
    /// bounds bursts and retries. Disadvantage: may reject too much where this gateway's share of the traffic has
    /// just risen.
    fn own_thread_limit(&self) -> f64 {
        let (fleet, limit) = (&self.fleet, LEVELS[self.limit_level]);
        let load = fleet.load().max(fleet.slowdown / fleet.unloaded_slowdown).max(MIN_LEVEL);
        let usable_share = 1.0 - fleet.overloaded_share.max(fleet.stuck_share);
        fleet.share * limit * fleet.cores * usable_share * (limit / load).powi(FLEET_LIMIT_EXPONENT)
    }

    /// Returns whether a running request should be given up: it is late, and either a late answer earns nothing or
    /// its engine makes no progress. This prevents engines from filling up with work that nobody needs any more.
    pub(crate) fn should_stop_running(&self, request: &Request) -> bool {
        if !self.settings.may_cancel || !self.is_late(request) {
            return false;
        }
        let unloaded_latency = self.unloaded_latency(request).max(MIN_UNLOADED_LATENCY);
        let is_stalled = |attempt: &Attempt| {
            attempt.in_flight && self.now - attempt.sent_at > STALLED_SLOWDOWN * unloaded_latency
        };
        self.class_of(request).late_weight_share <= 0.0 || request.attempts.iter().any(is_stalled)
    }

    /// Gives the final answer to a request; no other function does. The answer is a rejection if a retry is harmless,
    /// otherwise a failure.
    pub(crate) fn answer(
        &mut self,
        id: RequestId,
        retry_after: Milliseconds,
        reason: BlockReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.closed) else { return };
        let may_have_run = request.may_have_run().next().is_some();
        request.closed = true;
        let idempotency = self.settings.classes[request.details.class.0].idempotency;
        if may_reject(idempotency, may_have_run) {
            let retry_after = retry_after.max(MIN_RETRY_AFTER).min(self.settings.max_retry_after.max(0.0));
            actions.push(Action::Reject { id, retry_after, reason });
        } else {
            actions.push(Action::Fail { id });
        }
        self.discard_if_done(id);
    }

    /// Discards a request for which no further event can arrive.
    pub(crate) fn discard_if_done(&mut self, id: RequestId) {
        let is_done = |request: &&Request| request.closed && request.in_flight() == 0;
        let Some(request) = self.requests.get(&id).filter(is_done) else { return };
        if let Some(key) = request.details.key.and_then(|key| self.ordered_keys.get_mut(&key)) {
            key.queue.retain(|queued| *queued != id);
        }
        self.requests.remove(&id);
    }
}

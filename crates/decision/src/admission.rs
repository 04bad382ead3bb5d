//! Admission and load shedding: whether an engine and the fleet have capacity for a request, when a running request is
//! given up, and the one place that gives final answers.

use crate::balancer::Balancer;
use crate::interface::{Action, BlockReason};
use crate::load_levels::{LEVELS, MIN_LEVEL};
use crate::permission::send::may_reject;
use crate::state::{Attempt, Engine, Request, MIN_CORES};
use crate::types::{Milliseconds, RequestId};

/// Threads a core past which an engine is under pressure.
pub(crate) const CROWDED: f64 = 1.25;
/// The slowdown past which an engine is under pressure.
const SLOW: f64 = 2.5;
/// How fast this gateway's limit falls as the fleet passes the concurrency limit: the power of the ratio.
const FLEET_LIMIT_EXPONENT: i32 = 2;
/// The most that a query counts as, relative to the usual one of its class: estimates may be absurd.
const MAX_COUNTED_SIZE: f64 = 3.0;
/// The part of a usual query by which an engine's limit may be passed, as queries are not divisible.
const QUERY_ROUNDING: f64 = 0.5;
/// The shortest Retry-After: clients that come back sooner find the same load.
pub(crate) const MIN_RETRY_AFTER: Milliseconds = 100.0;
/// How many times longer than alone a late attempt takes when its engine makes no progress with it.
const STALLED_SLOWDOWN: f64 = 4.0;
/// Attempts that take less alone are taken to take this long.
const MIN_UNLOADED_LATENCY: Milliseconds = 100.0;

impl Balancer {
    /// Whether an engine has capacity for a request. The limit binds only under pressure: this gateway's share of it,
    /// where one query always fits, and the threads of all gateways.
    ///
    /// # Errors
    /// The pressure because of which the request does not fit.
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
        } else if engine.load.all_threads() / cores > CROWDED {
            Some(BlockReason::Crowded)
        } else if engine.slowdown > SLOW {
            Some(BlockReason::Slow)
        } else {
            None
        }
    }

    /// Whether this gateway's share of the limit over all engines has capacity for a request. Fractions of a query are
    /// rounded by the request's own draw, and up for the group that is preferred.
    pub(crate) fn fleet_has_capacity(&self, request: &Request) -> bool {
        let threads = self.class_of(request).threads;
        let is_preferred = self.deferred_group == Some(self.class_state_of(request).group.other());
        let rounding = threads * if is_preferred { 1.0 } else { request.share_draw };
        let own_threads = self.fleet.own_threads + threads * request.relative_size.min(MAX_COUNTED_SIZE);
        own_threads <= self.own_thread_limit() + rounding
    }

    /// The threads that this gateway may run on all engines together: its share of the limit, far more while the fleet
    /// is under the limit and less while it is over. Keeps hundreds of gateways from all filling the engine whose old
    /// report shows free capacity, and bounds bursts and retries. May reject too much where a share has just risen.
    fn own_thread_limit(&self) -> f64 {
        let (fleet, limit) = (&self.fleet, LEVELS[self.limit_level]);
        let load = fleet.load().max(fleet.slowdown / fleet.unloaded_slowdown).max(MIN_LEVEL);
        let usable_share = 1.0 - fleet.overloaded_share.max(fleet.stuck_share);
        fleet.share * limit * fleet.cores * usable_share * (limit / load).powi(FLEET_LIMIT_EXPONENT)
    }

    /// Whether a running request is given up: it is late, and nothing is earned any more or its engine makes no
    /// progress. Keeps engines from filling up with work that nobody wants any more.
    pub(crate) fn runs_in_vain(&self, request: &Request) -> bool {
        if !self.settings.may_cancel || !self.is_late(request) {
            return false;
        }
        let unloaded_latency = self.unloaded_latency(request).max(MIN_UNLOADED_LATENCY);
        let is_stalled = |attempt: &Attempt| {
            attempt.in_flight && self.now - attempt.sent_at > STALLED_SLOWDOWN * unloaded_latency
        };
        self.class_of(request).late_weight_share <= 0.0 || request.attempts.iter().any(is_stalled)
    }

    /// Gives the final answer, the one place that does so: a rejection where a retry is harmless, else a failure.
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
        self.forget_if_done(id);
    }

    /// Forgets a request for which no further event can arrive.
    pub(crate) fn forget_if_done(&mut self, id: RequestId) {
        let is_done = |request: &&Request| request.closed && request.in_flight() == 0;
        let Some(request) = self.requests.get(&id).filter(is_done) else { return };
        if let Some(key) = request.details.key.and_then(|key| self.ordered_keys.get_mut(&key)) {
            key.queue.retain(|queued| *queued != id);
        }
        self.requests.remove(&id);
    }
}

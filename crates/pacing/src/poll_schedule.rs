//! The schedule of a gateway's polls of the name service for the list of engines.
//!
//! | state | next poll after |
//! | --- | --- |
//! | start | a delay by this gateway's position in a period that grows with the fleet |
//! | polls receive responses | the steady interval, whatever the size of the fleet |
//! | a poll received no response, and the last response, the start or a relocation of the service is no longer ago than [`SILENCE_TOLERANCE`] | the same interval, as single responses get lost; before the first response the fleet sends no more than [`START_ACTIONS_PER_SECOND`] polls per second |
//! | no response for longer than that | a backoff with decorrelated jitter, up to a limit that bounds the rate of the whole fleet |
//! | the first responses after a backoff | half the interval with each response, down to the steady one |
//!
//! If the operator allows longer intervals than the steady one ([`PollConfig::max_interval`]), a service that responds to only
//! some of the polls is considered overloaded, and is polled at a rate that follows its capacity: additive increase,
//! multiplicative decrease.
//!
//! | state | interval |
//! | --- | --- |
//! | start | a total of [`INITIAL_POLLS_PER_SECOND`] polls per second for the whole fleet; each response raises the rate by [`RATE_INCREASE`], and [`RESPONSES_BEFORE_HALVING`] consecutive ones halve the interval; a change of the list sets the steady interval at once if no poll was lost |
//! | a poll without a response | longer by a factor of [`INTERVAL_INCREASE`] on average, up to the longest one; the interval is no longer halved |
//! | responses after that | each raises the rate by [`RATE_INCREASE`], until the interval is the steady one |

use crate::fleet::{start_position, START_ACTIONS_PER_SECOND};
use crate::Milliseconds;

/// The steady interval in ms, used while the service responds. A change that an unanswered poll would have reported counts as
/// propagated 1.5 s after that poll, no attempt may be sent to a draining engine from 2 s after that, and a service may be
/// silent for up to 3 s: the interval must therefore not exceed 0.5 s. An interval of 300 ms for large fleets showed no benefit
/// that outweighs the later updates.
pub const STEADY_INTERVAL: Milliseconds = 200.0;
/// The longest interval in ms unless the operator's configuration sets another. A fleet whose service can respond to only a
/// sixth of the polls sent at the steady interval still receives each change within the 2 s allowed for a drain plus one lost
/// response.
pub const DEFAULT_MAX_INTERVAL: Milliseconds = 1_250.0;
/// The time in ms without responses for which polls continue without a backoff, as the service is expected to respond again.
/// After this time the list is no longer reliable, and a backoff reduces the load on the service.
pub const SILENCE_TOLERANCE: Milliseconds = 4_000.0;
/// Maximum number of polls per second of a whole fleet during a backoff.
pub const BACKOFF_POLLS_PER_SECOND: f64 = 100.0;
/// The longest backoff of any gateway in ms, which bounds the time until a recovered service is noticed.
pub const MAX_BACKOFF: Milliseconds = 5_000.0;
/// The longest backoff of a small fleet in ms, if intervals may be longer than the steady one. Otherwise small fleets continue
/// at the steady interval: twenty gateways then send no more than [`BACKOFF_POLLS_PER_SECOND`].
pub const SMALL_FLEET_MAX_BACKOFF: Milliseconds = 1_000.0;
/// Number of polls per second of a whole fleet at its start, if intervals may be longer than the steady one.
pub const INITIAL_POLLS_PER_SECOND: f64 = 300.0;
/// Additive increase: the number of polls per second by which each response raises the rate of a gateway whose interval is
/// longer than the steady one.
pub const RATE_INCREASE: f64 = 0.04;
/// Multiplicative decrease: the average factor by which a poll without a response lengthens the interval. A factor for the
/// increase as well would not hold each gateway to its share: all lose the same fraction of their polls whatever their rate,
/// and the few that happen to be fast stay fast. If each gateway receives one response per second, one poll in nine is lost.
pub const INTERVAL_INCREASE: f64 = 1.5;
/// Number of consecutive responses after which the interval is halved, if the longer interval is due to a possible overload.
/// With eight, an overload would be a tenth lower during the first seconds, but a fleet that starts while the service is
/// healthy would receive updates late for 14 s instead of 4 s, while engines may be starting as well.
pub const RESPONSES_BEFORE_HALVING: u32 = 3;
/// Maximum deviation of a poll from its slot in the schedule, as a fraction of the interval, if that is longer than the steady
/// one.
const INTERVAL_JITTER: f64 = 0.25;
/// Maximum factor by which a backoff may exceed the previous one (decorrelated jitter).
const MAX_BACKOFF_GROWTH: f64 = 3.0;
/// Range from which a backoff is drawn once it has reached the longest one, as fractions of the longest one.
const MAX_BACKOFF_JITTER: (f64, f64) = (0.75, 1.25);
/// A period for the first polls of a fleet that is below this fraction of the steady interval is not rounded up to whole
/// intervals.
const MIN_ROUNDED_FRACTION: f64 = 0.25;

/// The parameters of a poll schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollConfig {
    /// Number of gateways that poll the same service.
    pub gateways: usize,
    /// Index of this gateway in the fleet, counted from 0.
    pub gateway_index: Option<u64>,
    /// The longest interval at which an overloaded service is polled. With [`STEADY_INTERVAL`], a service that responds is always
    /// polled at the steady interval.
    pub max_interval: Milliseconds,
}

/// The poll schedule of one gateway.
#[derive(Debug, Clone)]
pub struct PollSchedule {
    max_backoff: Milliseconds,
    max_interval: Milliseconds,
    next_poll_at: Milliseconds,
    /// The current interval. If it exceeds `max_interval`, it is a backoff.
    interval: Milliseconds,
    /// Whether consecutive responses halve the interval.
    is_halving: bool,
    /// The interval at which polls were last lost while others received responses. The interval is not halved below it.
    overload_interval: Milliseconds,
    consecutive_responses: u32,
    /// Whether the last poll has received no response so far.
    is_outstanding: bool,
    /// Whether a response has been received since the start.
    has_response: bool,
    /// The time until which a poll without a response is considered lost. After it the service is considered silent.
    silence_tolerated_until: Milliseconds,
    /// The interval after a lost poll before the first response, if [`PollConfig::max_interval`] is the steady interval; also the
    /// shortest interval after a relocation that ends a backoff.
    start_interval: Milliseconds,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// Creates the schedule of a gateway that starts now. The first polls of a fleet are spread evenly by the gateways' indexes,
    /// and randomly without indexes.
    pub fn new(config: PollConfig, seed: u64, now: Milliseconds) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = config.gateways.max(1) as f64;
        let position = start_position(config.gateways, config.gateway_index, &mut rng);
        let max_interval = config.max_interval.max(STEADY_INTERVAL);
        let is_always_steady = max_interval <= STEADY_INTERVAL;
        let min_backoff_limit = if is_always_steady { STEADY_INTERVAL } else { SMALL_FLEET_MAX_BACKOFF };
        let interval_at = |polls_per_second: f64| gateways / polls_per_second * 1_000.0;
        Self {
            max_backoff: interval_at(BACKOFF_POLLS_PER_SECOND).clamp(min_backoff_limit, MAX_BACKOFF),
            max_interval,
            next_poll_at: now + position * first_poll_spread(interval_at(START_ACTIONS_PER_SECOND)),
            interval: interval_at(INITIAL_POLLS_PER_SECOND).clamp(STEADY_INTERVAL, max_interval),
            is_halving: true,
            overload_interval: STEADY_INTERVAL,
            consecutive_responses: 0,
            is_outstanding: false,
            has_response: false,
            silence_tolerated_until: now + SILENCE_TOLERANCE,
            start_interval: interval_at(START_ACTIONS_PER_SECOND).clamp(STEADY_INTERVAL, MAX_BACKOFF),
            rng,
        }
    }

    /// Returns the time at which the next poll is due.
    pub fn next_poll_at(&self) -> Milliseconds {
        self.next_poll_at
    }

    /// Records that a poll is sent. If the previous poll has received no response, it counts as lost.
    pub fn poll_sent(&mut self, now: Milliseconds) {
        if self.is_outstanding {
            self.poll_lost(now);
        }
        self.is_outstanding = true;
        // Intervals count from the time at which the poll was due, so that a gateway keeps its slot in the schedule of the
        // fleet. Longer intervals have no fixed slots: in step with the service's queue, the same gateways would succeed again
        // and again.
        let is_slowed = self.interval > STEADY_INTERVAL && self.interval <= self.max_interval;
        let jitter =
            if is_slowed { 1.0 - INTERVAL_JITTER + 2.0 * INTERVAL_JITTER * self.rng.f64() } else { 1.0 };
        // After a process pause a gateway continues at its slot in the schedule: hundreds that resume together would otherwise
        // poll in step from then on.
        let missed = ((now - self.next_poll_at) / self.interval + 0.5).floor().max(0.0);
        self.next_poll_at += (missed + jitter) * self.interval;
    }

    fn poll_lost(&mut self, now: Milliseconds) {
        self.consecutive_responses = 0;
        if now >= self.silence_tolerated_until {
            self.back_off();
        } else if !self.has_response && self.max_interval <= STEADY_INTERVAL {
            self.interval = self.interval.max(self.start_interval);
        } else if self.interval < self.max_interval {
            self.slow_down();
        }
    }

    /// Lengthens the interval after a lost poll, as the service is considered overloaded.
    fn slow_down(&mut self) {
        let factor = 1.0 + 2.0 * (INTERVAL_INCREASE - 1.0) * self.rng.f64();
        self.interval = (self.interval * factor).min(self.max_interval);
        (self.is_halving, self.overload_interval) = (false, self.interval);
    }

    /// Draws the next backoff, as the service is considered silent.
    fn back_off(&mut self) {
        let shortest = (self.interval / 2.0).max(STEADY_INTERVAL);
        let longest = MAX_BACKOFF_GROWTH * self.interval;
        let backoff = shortest + self.rng.f64() * (longest - shortest).max(0.0);
        self.interval = backoff.min(self.max_backoff);
        self.is_halving = true;
        // The longest backoff is jittered as well: gateways that have all reached it would otherwise poll in step from then on.
        if self.interval >= self.max_backoff && self.max_backoff > STEADY_INTERVAL {
            let (from, to) = MAX_BACKOFF_JITTER;
            self.interval = self.max_backoff * (from + self.rng.f64() * (to - from));
        }
    }

    /// Records that the last response has changed the list. Changes tend to follow each other closely, so the next poll is sent
    /// after the steady interval, unless the service was overloaded.
    pub fn list_changed(&mut self, now: Milliseconds) {
        if self.interval <= self.max_interval && self.overload_interval <= STEADY_INTERVAL {
            self.interval = STEADY_INTERVAL;
            self.next_poll_at = self.next_poll_at.min(now + STEADY_INTERVAL);
        }
    }

    /// Records that the address of the service has changed, and that the service may respond at the new one.
    pub fn service_relocated(&mut self, now: Milliseconds) {
        self.silence_tolerated_until = now + SILENCE_TOLERANCE;
        if self.interval > self.max_interval {
            // The backoff ends. The delay is random, as all gateways of a fleet may be notified of the relocation at once.
            self.interval = self.start_interval.max(self.max_interval);
            self.next_poll_at = self.next_poll_at.min(now + self.rng.f64() * self.interval);
        }
    }

    /// Records a valid response. Invalid and outdated ones must not be recorded: a service that sends those is polled no more
    /// often than one that is silent.
    pub fn response_received(&mut self, now: Milliseconds) {
        self.consecutive_responses += 1;
        (self.is_outstanding, self.has_response) = (false, true);
        self.silence_tolerated_until = self.silence_tolerated_until.max(now + SILENCE_TOLERANCE);
        if self.interval <= STEADY_INTERVAL {
            return;
        }
        self.speed_up();
        if self.interval <= STEADY_INTERVAL {
            (self.interval, self.overload_interval) = (STEADY_INTERVAL, STEADY_INTERVAL);
        }
        self.next_poll_at = self.next_poll_at.min(now + self.interval);
    }

    /// Shortens the interval after a response. As the fleet itself may have overloaded the service, the interval is halved down to
    /// the one at which polls were lost, and is shortened in small steps from there. During a backoff a single response is enough
    /// to halve the interval.
    fn speed_up(&mut self) {
        let is_backoff = self.interval > self.max_interval;
        let needed = if is_backoff { 1 } else { RESPONSES_BEFORE_HALVING };
        let is_above_overload = self.interval > self.overload_interval;
        if self.is_halving && self.consecutive_responses >= needed && is_above_overload {
            self.consecutive_responses = 0;
            self.interval = (self.interval / 2.0).max(self.overload_interval);
        } else {
            self.is_halving &= is_above_overload;
            self.interval /= 1.0 + RATE_INCREASE * self.interval / 1_000.0;
        }
    }
}

/// Returns the period over which the first polls of a fleet are spread: `span`, rounded up to a multiple of the steady interval
/// so that later polls are spread as evenly. In small fleets it is not rounded: 3 ms for three gateways.
fn first_poll_spread(span: Milliseconds) -> Milliseconds {
    let spread = if span < STEADY_INTERVAL * MIN_ROUNDED_FRACTION {
        span
    } else {
        (span / STEADY_INTERVAL).ceil() * STEADY_INTERVAL
    };
    spread.min(MAX_BACKOFF)
}

#[cfg(test)]
mod tests;

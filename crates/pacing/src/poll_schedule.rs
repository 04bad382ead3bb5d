//! When a gateway polls the name service for the list of engines.
//!
//! | state | next poll after |
//! | --- | --- |
//! | start | this gateway's position in a span that grows with the fleet |
//! | polls get responses | the steady interval, whatever the size of the fleet |
//! | a poll got no response, and within [`SILENCE_TOLERANCE`] there was a response, a start or a relocation of the service | the same interval, as single responses get lost; before the first response the fleet sends at most [`START_ACTIONS_PER_SECOND`] polls a second |
//! | no response for longer | a backoff with decorrelated jitter, up to a limit for the whole fleet |
//! | the first responses after a backoff | half the interval each time, down to the steady one |
//!
//! Where the operator allows longer intervals than the steady one ([`PollConfig::max_interval`]), a service that responds to
//! some polls and not to others is overloaded, and is polled at a rate that follows its capacity: additive increase,
//! multiplicative decrease.
//!
//! | state | interval |
//! | --- | --- |
//! | start | one poll a second for each [`INITIAL_POLLS_PER_SECOND`] gateways; with each response [`RATE_INCREASE`], and half the interval after [`RESPONSES_BEFORE_HALVING`] in a row, or the steady one at once where the list has changed and no poll was lost |
//! | with each poll without a response | longer by a factor of [`INTERVAL_INCREASE`] on average, up to the longest; halving ends here |
//! | then, with each response | [`RATE_INCREASE`], down to the steady interval |

use crate::fleet::{start_position, START_ACTIONS_PER_SECOND};
use crate::Milliseconds;

/// The steady interval. A change that an unanswered poll would have reported counts as propagated 1.5 s after it, 2 s later
/// nothing may be sent to an engine that drains, and a service is silent for up to 3 s: no more than half a second may lie
/// between polls. An interval of 300 ms for large fleets was tried, and showed no gain to make up for later updates.
pub const STEADY_INTERVAL: Milliseconds = 200.0;
/// The longest interval where the operator's file gives none: a fleet that gets a sixth of the responses that it polls for at
/// the steady interval still receives each change within its 2 s and one lost response.
pub const DEFAULT_MAX_INTERVAL: Milliseconds = 1_250.0;
/// A silence of the service up to this long is expected to pass, and polls go on through it. After it the list is not reliable
/// any more, and the service is spared.
pub const SILENCE_TOLERANCE: Milliseconds = 4_000.0;
/// Polls a second of a whole fleet during a backoff.
pub const BACKOFF_POLLS_PER_SECOND: f64 = 100.0;
/// The longest backoff of any gateway, which is how late a service that has recovered is noticed.
pub const MAX_BACKOFF: Milliseconds = 5_000.0;
/// The longest backoff in a small fleet, where intervals may be longer than the steady one. Otherwise small fleets go on at
/// the steady interval: twenty gateways then send no more than [`BACKOFF_POLLS_PER_SECOND`].
pub const SMALL_FLEET_MAX_BACKOFF: Milliseconds = 1_000.0;
/// Polls a second of a whole fleet at its start, where intervals may be longer than the steady one.
pub const INITIAL_POLLS_PER_SECOND: f64 = 300.0;
/// Additive increase: polls a second that a gateway sends more after each response, once a poll got none.
pub const RATE_INCREASE: f64 = 0.04;
/// Multiplicative decrease: the factor by which a poll without a response lengthens the interval, on average. Two factors, as
/// tried first, hold no gateway to its share, as all lose the same part of their polls whatever they send, and the few that
/// are fast by chance stay fast. Where each gateway gets one response a second, one poll in nine is lost.
pub const INTERVAL_INCREASE: f64 = 1.5;
/// Responses in a row after which the interval is halved where an overload may have lengthened it. Eight would leave an
/// overload at a tenth less for the first seconds, and a fleet that starts before a healthy service without recent updates on
/// engines, which may start as well, for 14 s in place of 4.
pub const RESPONSES_BEFORE_HALVING: u32 = 3;
/// How far a poll may be from its place, as a share of the interval, where that is longer than the steady one.
const INTERVAL_JITTER: f64 = 0.25;
/// The factor by which a backoff may exceed the one before it (decorrelated jitter).
const MAX_BACKOFF_GROWTH: f64 = 3.0;
/// The bounds of the longest backoff when it is drawn anew each time, as a share of it.
const LONGEST_BACKOFF_SPREAD: (f64, f64) = (0.75, 1.25);
/// Spans of a start below this share of the steady interval are not rounded up to whole intervals.
const SHORT_START_SHARE: f64 = 0.25;

/// The parameters of a schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollConfig {
    /// Gateways that poll the same service.
    pub gateways: usize,
    /// This gateway's index among them, from 0.
    pub gateway_index: Option<u64>,
    /// The longest interval at which an overloaded service may be polled. With [`STEADY_INTERVAL`] it is always polled at
    /// the steady interval.
    pub max_interval: Milliseconds,
}

/// The polls of one gateway.
#[derive(Debug, Clone)]
pub struct PollSchedule {
    max_backoff: Milliseconds,
    max_interval: Milliseconds,
    next_poll_at: Milliseconds,
    /// The present interval. Over `max_interval` it is a backoff.
    interval: Milliseconds,
    /// Whether responses halve the interval.
    halves: bool,
    /// The interval at which polls were last lost while others got responses. Halving ends there.
    overload_interval: Milliseconds,
    consecutive_responses: u32,
    /// Whether a poll was sent that may still get a response.
    is_outstanding: bool,
    /// Whether there was a response since the start.
    has_response: bool,
    /// Until then polls without a response are taken for lost ones, and not for a long silence of the service.
    tolerant_until: Milliseconds,
    /// The interval before the first response, where that may be the steady one.
    start_interval: Milliseconds,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// A gateway that starts now. Its index spreads the first polls of a fleet evenly; without one they are spread by chance.
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
            next_poll_at: now + position * start_spread(interval_at(START_ACTIONS_PER_SECOND)),
            interval: interval_at(INITIAL_POLLS_PER_SECOND).clamp(STEADY_INTERVAL, max_interval),
            halves: true,
            overload_interval: STEADY_INTERVAL,
            consecutive_responses: 0,
            is_outstanding: false,
            has_response: false,
            tolerant_until: now + SILENCE_TOLERANCE,
            start_interval: interval_at(START_ACTIONS_PER_SECOND).clamp(STEADY_INTERVAL, MAX_BACKOFF),
            rng,
        }
    }

    /// When the next poll is due.
    pub fn next_poll_at(&self) -> Milliseconds {
        self.next_poll_at
    }

    /// Notes that a poll is sent. An outstanding one before it counts as lost.
    pub fn poll_sent(&mut self, now: Milliseconds) {
        if self.is_outstanding {
            self.poll_lost(now);
        }
        self.is_outstanding = true;
        // Intervals count from when the poll was due, so that a gateway keeps its place among the others. At longer intervals
        // there is no place to keep: in step with the service's queue the same gateways would succeed again and again.
        let is_slowed = self.interval > STEADY_INTERVAL && self.interval <= self.max_interval;
        let jitter =
            if is_slowed { 1.0 - INTERVAL_JITTER + 2.0 * INTERVAL_JITTER * self.rng.f64() } else { 1.0 };
        // After a pause of the process a gateway goes on at its place: hundreds that resume together would otherwise poll in
        // step from then on.
        let missed = ((now - self.next_poll_at) / self.interval + 0.5).floor().max(0.0);
        self.next_poll_at += (missed + jitter) * self.interval;
    }

    fn poll_lost(&mut self, now: Milliseconds) {
        self.consecutive_responses = 0;
        if now >= self.tolerant_until {
            self.back_off();
        } else if !self.has_response && self.max_interval <= STEADY_INTERVAL {
            self.interval = self.interval.max(self.start_interval);
        } else if self.interval < self.max_interval {
            self.slow_down();
        }
    }

    /// Lengthens the interval, as the service is overloaded.
    fn slow_down(&mut self) {
        let factor = 1.0 + 2.0 * (INTERVAL_INCREASE - 1.0) * self.rng.f64();
        self.interval = (self.interval * factor).min(self.max_interval);
        (self.halves, self.overload_interval) = (false, self.interval);
    }

    /// Draws the next backoff, as the service is silent.
    fn back_off(&mut self) {
        let shortest = (self.interval / 2.0).max(STEADY_INTERVAL);
        let longest = MAX_BACKOFF_GROWTH * self.interval;
        let backoff = shortest + self.rng.f64() * (longest - shortest).max(0.0);
        self.interval = backoff.min(self.max_backoff);
        self.halves = true;
        // Gateways that have all reached the longest backoff would otherwise poll in step from then on.
        if self.interval >= self.max_backoff && self.max_backoff > STEADY_INTERVAL {
            let (from, to) = LONGEST_BACKOFF_SPREAD;
            self.interval = self.max_backoff * (from + self.rng.f64() * (to - from));
        }
    }

    /// Notes that the last response has changed the list. Changes come together: the next poll follows soon, unless the
    /// service was overloaded.
    pub fn list_changed(&mut self, now: Milliseconds) {
        if self.interval <= self.max_interval && self.overload_interval <= STEADY_INTERVAL {
            self.interval = STEADY_INTERVAL;
            self.next_poll_at = self.next_poll_at.min(now + STEADY_INTERVAL);
        }
    }

    /// Notes that the service is at another address, where it may respond.
    pub fn service_relocated(&mut self, now: Milliseconds) {
        self.tolerant_until = now + SILENCE_TOLERANCE;
        if self.interval > self.max_interval {
            // A backoff ends. All gateways of a fleet may be notified of the relocation at once.
            self.interval = self.start_interval.max(self.max_interval);
            self.next_poll_at = self.next_poll_at.min(now + self.rng.f64() * self.interval);
        }
    }

    /// Notes a valid response. Invalid and outdated ones are not to be noted: a service that sends those is polled no more
    /// often than one that is silent.
    pub fn response_received(&mut self, now: Milliseconds) {
        self.consecutive_responses += 1;
        (self.is_outstanding, self.has_response) = (false, true);
        self.tolerant_until = self.tolerant_until.max(now + SILENCE_TOLERANCE);
        if self.interval <= STEADY_INTERVAL {
            return;
        }
        self.speed_up();
        if self.interval <= STEADY_INTERVAL {
            (self.interval, self.overload_interval) = (STEADY_INTERVAL, STEADY_INTERVAL);
        }
        self.next_poll_at = self.next_poll_at.min(now + self.interval);
    }

    /// Shortens the interval. The fleet itself may have overloaded the service: the interval is halved down to the one at
    /// which polls were lost, and shortened in small steps from there. A backoff ends with the first response.
    fn speed_up(&mut self) {
        let is_backoff = self.interval > self.max_interval;
        let needed = if is_backoff { 1 } else { RESPONSES_BEFORE_HALVING };
        let is_above_overload = self.interval > self.overload_interval;
        if self.halves && self.consecutive_responses >= needed && is_above_overload {
            self.consecutive_responses = 0;
            self.interval = (self.interval / 2.0).max(self.overload_interval);
        } else {
            self.halves &= is_above_overload;
            self.interval /= 1.0 + RATE_INCREASE * self.interval / 1_000.0;
        }
    }
}

/// The span over which the first polls of a fleet are spread: whole steady intervals, so that later polls are spread as
/// evenly. In small fleets it is shorter; for three gateways 3 ms.
fn start_spread(span: Milliseconds) -> Milliseconds {
    let spread = if span < STEADY_INTERVAL * SHORT_START_SHARE {
        span
    } else {
        (span / STEADY_INTERVAL).ceil() * STEADY_INTERVAL
    };
    spread.min(MAX_BACKOFF)
}

#[cfg(test)]
mod tests;

//! Questions for the list of engines.
//!
//! | state | next question after |
//! | --- | --- |
//! | start | this gateway's place in a span that grows with the fleet |
//! | answers come | the steady pace, whatever the size of the fleet |
//! | a question went unanswered, and the list was heard, or the process started, or the service moved, within [`PATIENT`] | the same pace, at most [`FLEET`] questions a second of the fleet before the first answer: answers get lost |
//! | nothing for longer | back-off with decorrelated jitter, up to a pace of the whole fleet |
//! | the first answers after a back-off | half the pace each time, down to the steady one |
//!
//! Where the operator allows a slower pace than the steady one ([`Rules::slowest`]), a service that answers some questions
//! and not others is asked less, down to what it can answer:
//!
//! | state | pace |
//! | --- | --- |
//! | start | a question a second for each 300 gateways; a question in 25 s more with each answer, and half the pace after three in a row, or at once the steady one where the list has changed and no question was lost |
//! | with each question that goes unanswered | by half slower, up to the slowest; climbing by halves ends here |
//! | then, with each answer | a question in 25 s more, down to the steady pace |

use crate::startup;

/// Milliseconds.
pub type Milliseconds = f64;

/// Questions a second that a fleet begins with at most, where its gateways start together.
pub const FLEET: f64 = 1_000.0;
/// Questions a second that all gateways together ask of one that is silent.
pub const FLEET_SILENT: f64 = 100.0;
/// The steady pace. What an unanswered question would have told counts as told 1.5 s after it, and 2 s later nothing may
/// leave for an engine that drains; a service is silent for up to 3 s: no more than half a second may lie between
/// questions. A pace of 300 ms for large fleets was tried, and showed no gain to set against later news.
pub const STEADY: Milliseconds = 200.0;
/// The slowest pace that an operator's file stands for where it says nothing: a fleet that is given a sixth of the
/// answers that it asks for at the steady pace still hears each change within its 2 s and one lost answer.
pub const SLOWEST: Milliseconds = 1_250.0;
/// So long a silence is one of the service's own, as it passes, and is asked through. After it nobody can know what was
/// told, and the service is spared.
pub const PATIENT: Milliseconds = 4_000.0;
/// The slowest of all paces: it is how late a service that is back is heard.
pub const SILENT_MOST: Milliseconds = 5_000.0;
/// ... and where the fleet is small, and the service may be asked less than steadily. Else a small fleet goes on at the steady
/// pace: twenty gateways ask no more than [`FLEET_SILENT`] so.
pub const SILENT_LEAST: Milliseconds = 1_000.0;
/// Questions a second that a fleet begins to climb from, where it may be slower than steady.
const CLIMBS_FROM: f64 = 300.0;
/// Questions a second more after each answer, once a question went unanswered ...
const QUICKER: f64 = 0.04;
/// ... and by how much each unanswered one slows the pace, on average. A sum after answers and a factor after losses: two
/// factors, as tried first, hold no gateway to its part, as all lose the same share whatever they ask; so that the few
/// that luck makes quick stay quick. Where each has one answer a second, one question in nine is lost.
const SLOWER: f64 = 1.5;
/// Answers in a row after which the pace is halved where it may be an overload that made it slow. Eight would leave an
/// overload at a tenth less for the first seconds, and a fleet that starts before a service that is well without fresh
/// news of engines, which may start as well, for 14 s in place of 4.
const ROW: u32 = 3;
/// How far a question lies from its place, as a share of the pace, where that is slower than steady.
const JITTER: f64 = 0.25;
/// How far a back-off may lie over the one before it (decorrelated jitter).
const GROWS: f64 = 3.0;

/// What a gateway goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Gateways that ask the same service.
    pub gateways: usize,
    /// This one's number among them, from 0.
    pub gateway_index: Option<u64>,
    /// The pace down to which one that answers some questions and not others may be asked. [`STEADY`]: it is always
    /// asked at the steady pace.
    pub slowest: Milliseconds,
}

/// The pace of one gateway.
#[derive(Debug, Clone)]
pub struct PollSchedule {
    silent: Milliseconds,
    slowest: Milliseconds,
    due: Milliseconds,
    /// The present distance between questions.
    pace: Milliseconds,
    /// Answers halve the pace.
    climbs: bool,
    /// The pace at which questions were last lost while others were answered: halves end there.
    fair: Milliseconds,
    /// Questions answered in a row.
    row: u32,
    /// A question is out that may still be answered.
    out: bool,
    /// An answer was heard.
    heard: bool,
    /// Until then unanswered questions are taken for lost ones, and not for a service that is silent for long.
    patient_until: Milliseconds,
    /// The pace before the first answer, where that may be the steady one.
    opening: Milliseconds,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// A gateway that starts now. Its number spreads the first questions evenly; without one chance does.
    pub fn new(rules: Rules, seed: u64, now: Milliseconds) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let all = rules.gateways.max(1) as f64;
        let place = startup::place(rules.gateways, rules.gateway_index, &mut rng);
        let slowest = rules.slowest.max(STEADY);
        let least_silent = if slowest > STEADY { SILENT_LEAST } else { STEADY };
        let silent = (all / FLEET_SILENT * 1_000.0).clamp(least_silent, SILENT_MOST);
        // Whole rounds of the steady pace, so that later questions lie as evenly; of three gateways, 3 ms.
        let span = all / FLEET * 1_000.0;
        let span = if span < STEADY / 4.0 { span } else { (span / STEADY).ceil() * STEADY };
        Self {
            silent,
            slowest,
            due: now + place * span.min(SILENT_MOST),
            pace: (all / CLIMBS_FROM * 1_000.0).clamp(STEADY, slowest),
            climbs: true,
            fair: STEADY,
            row: 0,
            out: false,
            heard: false,
            patient_until: now + PATIENT,
            opening: (all / FLEET * 1_000.0).clamp(STEADY, SILENT_MOST),
            rng,
        }
    }

    /// When the next question is due.
    pub fn due(&self) -> Milliseconds {
        self.due
    }

    /// A question leaves now. One before it that is still out counts as unanswered.
    pub fn asked(&mut self, now: Milliseconds) {
        if self.out {
            self.unanswered(now);
        }
        self.out = true;
        // From when it was due, so that a gateway keeps its place among the others; but never two at once.
        // Slower ones have none to keep: in step with the service's line the same would win again and again.
        let slowed = self.pace > STEADY && self.pace <= self.slowest;
        let spread = if slowed { 1.0 - JITTER + 2.0 * JITTER * self.rng.f64() } else { 1.0 };
        // Who stood still goes on at its place: hundreds that wake together would else ask in step from then on.
        let missed = ((now - self.due) / self.pace + 0.5).floor().max(0.0);
        self.due += (missed + spread) * self.pace;
    }

    fn unanswered(&mut self, now: Milliseconds) {
        self.row = 0;
        if now < self.patient_until {
            if !self.heard && self.slowest <= STEADY {
                self.pace = self.pace.max(self.opening);
            } else if self.pace < self.slowest {
                let by = 1.0 + 2.0 * (SLOWER - 1.0) * self.rng.f64();
                self.pace = (self.pace * by).min(self.slowest);
                (self.climbs, self.fair) = (false, self.pace);
            }
            return;
        }
        let (least, most) = ((self.pace / 2.0).max(STEADY), GROWS * self.pace);
        self.pace = (least + self.rng.f64() * (most - least).max(0.0)).min(self.silent);
        self.climbs = true;
        // All that reach the slowest pace would else ask in step from then on.
        if self.pace >= self.silent && self.silent > STEADY {
            self.pace = self.silent * (0.75 + self.rng.f64() / 2.0);
        }
    }

    /// The last answer said something new. Changes come together: the next is asked for soon, unless the service was
    /// seen to be overloaded.
    pub fn changed(&mut self, now: Milliseconds) {
        if self.pace <= self.slowest && self.fair <= STEADY {
            self.pace = STEADY;
            self.due = self.due.min(now + STEADY);
        }
    }

    /// The service is at another address: whether that one is silent is not known.
    pub fn relocated(&mut self, now: Milliseconds) {
        self.patient_until = now + PATIENT;
        if self.pace > self.slowest {
            // A back-off ends. All gateways of a fleet may be told of the move at once.
            self.pace = self.opening.max(self.slowest);
            self.due = self.due.min(now + self.rng.f64() * self.pace);
        }
    }

    /// An answer came that could be used. One that could not, or said what was known to be older, is none: such a
    /// service is asked no harder than one that is silent.
    pub fn answered(&mut self, now: Milliseconds) {
        self.row += 1;
        (self.out, self.heard) = (false, true);
        self.patient_until = self.patient_until.max(now + PATIENT);
        if self.pace <= STEADY {
            return;
        }
        // What silenced it may have been all of us: back by halves, and by small steps from where it was too much.
        // Past the slowest pace at which an overload is asked it was silence, and an answer tells that it is over.
        let enough = if self.pace > self.slowest { 1 } else { ROW };
        if self.climbs && self.row >= enough && self.pace > self.fair {
            self.row = 0;
            self.pace = (self.pace / 2.0).max(self.fair);
        } else {
            self.climbs &= self.pace > self.fair;
            self.pace /= 1.0 + QUICKER * self.pace / 1_000.0;
        }
        if self.pace <= STEADY {
            (self.pace, self.fair) = (STEADY, STEADY);
        }
        self.due = self.due.min(now + self.pace);
    }
}

#[cfg(test)]
mod tests;

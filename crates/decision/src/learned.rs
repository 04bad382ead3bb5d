//! What the module has learned, as plain records: handed out by [`Balancer::learned`], and taken back as
//! [`Event::Restored`](crate::interface::Event::Restored). What an old record is still worth is settled by who hands
//! it in; here nothing is judged, but what does not fit the settings, or is no figure at all, is left out.

use super::{band, Balancer, FULL_REST, LEVELS};
use crate::interface::{ClassId, EngineId, Milliseconds, ZoneId};
use crate::state::{Engine, Stat, Times, NEVER};

/// Answers in a row that show how warm an engine is.
const PROOFS: u32 = 8;
/// More than any budget.
const SPENT: f64 = 1e12;

/// All that was learned that is worth more than a fresh start. Times are on the clock of the turns.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Learned {
    /// When this was so.
    pub at: Milliseconds,
    /// The bound last chosen, in threads a core; 0: none.
    pub bound: f64,
    /// Of all engines together.
    pub fleet: FleetLearned,
    /// By class.
    pub classes: Vec<ClassLearned>,
    /// By engine.
    pub engines: Vec<EngineLearned>,
}

/// What was learned of all engines together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetLearned {
    /// This gateway's threads of late.
    pub own_seen: f64,
    /// All threads of late.
    pub all_seen: f64,
    /// Threads of a query.
    pub width: f64,
    /// Threads a core that others run.
    pub usual_load: f64,
    /// Share of engines far over any bound.
    pub jammed: f64,
    /// The middle engine's slowness.
    pub usual_slow: f64,
    /// What queries would take alone over what they take.
    pub speed: f64,
    /// The shortest probe by zone, in milliseconds; the empty name: engines of no known zone.
    pub floors: Vec<(String, Milliseconds)>,
}

/// Latencies in one band of running threads.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BandLearned {
    /// Threads a core.
    pub level: f64,
    /// Outcomes, faded.
    pub n: f64,
    /// Mean in milliseconds, of a query of usual size.
    pub mean: Milliseconds,
    /// Variance, in square milliseconds.
    pub var: f64,
}

/// What was learned of a class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassLearned {
    /// Its name.
    pub name: String,
    /// Threads of a query when this was learned: with others, latencies are others.
    pub threads: f64,
    /// When an outcome last told of it.
    pub confirmed: Option<Milliseconds>,
    /// Bands with outcomes.
    pub bands: Vec<BandLearned>,
    /// Lowest mean latency of late.
    pub best: Milliseconds,
    /// Latency of a usual query that runs alone.
    pub usual: Milliseconds,
    /// Steps over which the best was learned.
    pub steps: f64,
    /// Clients' usual time from asking to giving up.
    pub time_left: Milliseconds,
    /// Mean of the estimates that came with requests.
    pub size: f64,
    /// Recent first tries.
    pub arrivals: f64,
    /// Recent time that attempts ran.
    pub runtime: f64,
    /// Memory asked for over the estimate.
    pub grant: f64,
}

/// What was learned of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineLearned {
    /// Its id.
    pub id: String,
    /// When its process started, where the list told.
    pub started: Option<Milliseconds>,
    /// When an answer, probe or note last came from it.
    pub confirmed: Option<Milliseconds>,
    /// When it last told of its load.
    pub heard: Option<Milliseconds>,
    /// Latency here over the best.
    pub slow: f64,
    /// Recent share of failures.
    pub errors: f64,
    /// Threads of other gateways.
    pub others: f64,
    /// Until when it was ejected.
    pub ejected: Option<Milliseconds>,
    /// Ejections in a row.
    pub ejections: u32,
    /// End of the last ejection.
    pub back: Option<Milliseconds>,
    /// When it last refused connections.
    pub lost: Option<Milliseconds>,
    /// It was cold when last seen, told or suspected.
    pub cold: bool,
    /// Taking this back: it may have started anew unseen, and is cold until time or answers show otherwise.
    pub perhaps_cold: bool,
    /// Taking this back: what it may be sent while cold was spent just now.
    pub spent: bool,
}

fn sane(x: f64, least: f64, most: f64) -> Option<f64> {
    (x.is_finite() && x >= least && x <= most).then_some(x)
}

impl Balancer {
    /// Whether routing leaves that engine out for now, for what it did: it was ejected, or has just said that it is full.
    pub fn avoids(&self, engine: &EngineId) -> bool {
        let Some(e) = self.engines.get(engine) else { return false };
        let ejected = e.ejected.is_some() && (e.lost.is_some() || !self.shared());
        ejected || self.now - e.full_at < FULL_REST
    }

    /// What has been learned so far.
    pub fn learned(&self) -> Learned {
        let f = &self.fleet;
        let zone = |z: &Option<ZoneId>| z.and_then(|z| self.s.zones.get(z.0)).cloned().unwrap_or_default();
        let classes = self.classes.iter().zip(&self.s.classes).map(|(c, of)| ClassLearned {
            name: of.name.clone(),
            threads: of.threads,
            confirmed: c.confirmed,
            bands: c
                .bands
                .iter()
                .zip(LEVELS)
                .filter(|(b, _)| b.n > 0.01)
                .map(|(b, level)| BandLearned { level, n: b.n, mean: b.mean, var: b.var })
                .collect(),
            best: c.best,
            usual: c.usual,
            steps: c.learned,
            time_left: c.time_left,
            size: c.size,
            arrivals: c.arrivals,
            runtime: c.runtime,
            grant: c.grant,
        });
        let known = |t: Milliseconds| (t > NEVER).then_some(t);
        let engines = self.engines.iter().map(|(id, e)| EngineLearned {
            id: id.0.to_string(),
            started: e.member.started,
            confirmed: e.confirmed,
            heard: e.heard,
            slow: e.slow,
            errors: e.errors,
            others: e.others,
            ejected: e.ejected,
            ejections: e.ejections,
            back: known(e.back),
            lost: e.lost,
            cold: self.warmth(e) < 1.0,
            perhaps_cold: e.suspect,
            spent: false,
        });
        Learned {
            at: self.now,
            bound: self.bound(),
            fleet: FleetLearned {
                own_seen: f.own_seen,
                all_seen: f.all_seen,
                width: f.width,
                usual_load: f.usual_load,
                jammed: f.jammed,
                usual_slow: f.usual_slow,
                speed: 1.0 / f.slow.clamp(1.0, super::SLOW_MOST),
                floors: f.floors.iter().map(|(z, t)| (zone(z), *t)).collect(),
            },
            classes: classes.collect(),
            engines: engines.collect(),
        }
    }

    /// Takes records back. Engines that are not known are left out.
    pub(super) fn recall(&mut self, learned: &Learned) {
        for c in &learned.classes {
            let Some(i) = self.s.classes.iter().position(|of| of.name == c.name) else { continue };
            if self.s.classes[i].threads == c.threads {
                self.recall_class(ClassId(i), c);
            }
        }
        if let Some(bound) = sane(learned.bound, LEVELS[0], LEVELS[LEVELS.len() - 1]) {
            self.bound = band(bound);
            self.recall_fleet(&learned.fleet);
        }
        for e in &learned.engines {
            self.recall_engine(e);
        }
    }

    fn recall_class(&mut self, class: ClassId, from: &ClassLearned) {
        let most = self.s.classes[class.0].client_timeout.max(1.0);
        let c = &mut self.classes[class.0];
        for b in &from.bands {
            let figures =
                (sane(b.n, 0.0, 1e6), sane(b.mean, 0.0, 10.0 * most), sane(b.var, 0.0, 100.0 * most * most));
            if let (Some(n), Some(mean), Some(var)) = figures {
                c.bands[band(b.level)] = Stat { n, mean, var };
            }
        }
        let take = |to: &mut f64, x: f64, least: f64, most: f64| *to = sane(x, least, most).unwrap_or(*to);
        take(&mut c.best, from.best, 1e-6, most);
        take(&mut c.usual, from.usual, 0.0, most);
        take(&mut c.learned, from.steps, 0.0, 1e9);
        take(&mut c.time_left, from.time_left, 0.0, 1e9);
        take(&mut c.size, from.size, 0.0, 1e12);
        take(&mut c.arrivals, from.arrivals, 0.0, 1e9);
        take(&mut c.runtime, from.runtime, 0.0, 1e12);
        take(&mut c.grant, from.grant, super::GRANT, 2.0 * super::GRANT);
        c.confirmed = from.confirmed;
    }

    fn recall_fleet(&mut self, from: &FleetLearned) {
        let f = &mut self.fleet;
        let take = |to: &mut f64, x: f64, least: f64, most: f64| *to = sane(x, least, most).unwrap_or(*to);
        take(&mut f.own_seen, from.own_seen, 0.0, 1e9);
        take(&mut f.all_seen, from.all_seen, 0.0, 1e9);
        take(&mut f.width, from.width, 0.01, 1e4);
        take(&mut f.usual_load, from.usual_load, 0.0, super::ABSURD);
        take(&mut f.jammed, from.jammed, 0.0, 1.0);
        take(&mut f.usual_slow, from.usual_slow, 1.0, super::SLOW_MOST);
        for (zone, floor) in &from.floors {
            let at = self.s.zones.iter().position(|z| z == zone).map(ZoneId);
            let known = at.is_some() || zone.is_empty();
            if let Some(floor) = sane(*floor, 0.0, 60_000.0).filter(|_| known) {
                f.floors.insert(at, floor);
            }
        }
    }

    fn recall_engine(&mut self, from: &EngineLearned) {
        let now = self.now;
        let Some(e) = self.engines.get_mut(&EngineId(from.id.as_str().into())) else { return };
        // What was heard in this life is worth more than anything older.
        if e.confirmed.is_some() {
            return;
        }
        let past = |t: Option<Milliseconds>| t.filter(|t| t.is_finite() && *t <= now);
        // So slow, over twice the prior: what is out from now on soon says more.
        let slow = sane(from.slow, 0.1, super::SLOW_MOST).unwrap_or(1.0);
        let seen = 2.0 * super::SLOW_PRIOR;
        e.time = Times { out: (slow * (seen + super::SLOW_PRIOR) - super::SLOW_PRIOR).max(0.0), alone: seen };
        e.slow = slow;
        e.errors = sane(from.errors, 0.0, 1.0).unwrap_or(e.errors);
        e.others = sane(from.others, 0.0, super::ABSURD * e.cores).unwrap_or(e.others);
        e.heard = past(from.heard);
        e.ejections = from.ejections.min(6);
        e.ejected = from.ejected.filter(|t| t.is_finite()).map(|t| t.min(now + super::EJECT_MOST));
        e.back = past(from.back).unwrap_or(NEVER);
        e.lost = past(from.lost);
        if from.perhaps_cold {
            (e.started, e.suspect) = (Some(now), true);
        }
        if from.spent {
            e.cold_sent.push_back((now, SPENT));
            e.cold_sum += SPENT;
        }
    }
}

impl Engine {
    /// An engine that was only suspected of being cold is as warm as it shows: one that answers at its usual pace while
    /// so many threads run there has at least their share of its cores. Light loads show little, as a cold engine
    /// serves a few as fast as a warm one; and what a load shows holds for that load alone, not for a full one.
    pub(super) fn show_warmth(
        &mut self,
        slow: f64,
        width: f64,
        now: Milliseconds,
        slow_start_from: f64,
        slow_start_duration: Milliseconds,
    ) {
        let Some(started) = self.started.filter(|_| self.suspect) else { return };
        let proven = ((self.threads + width) / self.cores.max(0.1)).min(1.0) / slow.max(1.0);
        let rises = (1.0 - slow_start_from).max(0.01) / slow_start_duration.max(1.0);
        if proven <= slow_start_from + rises * (now - started) {
            (self.proofs, self.proven) = (0, 1.0);
            return;
        }
        (self.proofs, self.proven) = (self.proofs + 1, self.proven.min(proven));
        if self.proofs >= PROOFS {
            self.started = Some(started.min(now - (self.proven - slow_start_from) / rises));
            (self.proofs, self.proven) = (0, 1.0);
        }
    }
}

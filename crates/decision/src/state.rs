//! What the decision module remembers: plain records and sums. No decision and no tuned value lives here.

use crate::aperture::spread;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Before any clock.
pub const NEVER: Milliseconds = -1e15;

/// Mean and deviation that forget: of one class in one band.
#[derive(Clone, Copy, Default)]
pub struct Stat {
    pub n: f64,
    pub mean: f64,
    pub var: f64,
}

impl Stat {
    /// Takes one figure, at `least` weight or more.
    pub fn add(&mut self, x: f64, least: f64) {
        self.n += 1.0;
        let weight = (1.0 / self.n).max(least);
        let off = x - self.mean;
        self.mean += weight * off;
        self.var = (1.0 - weight) * (self.var + weight * off * off);
    }
}

/// Time that threads were out, and that they would have been alone; both fade.
#[derive(Clone, Copy, Default)]
pub struct Times {
    pub out: Milliseconds,
    pub alone: Milliseconds,
}

impl Times {
    /// Takes one figure of each.
    pub fn add(&mut self, out: Milliseconds, alone: Milliseconds) {
        self.out += out;
        self.alone += alone;
    }

    /// Forgets a part.
    pub fn fade(&mut self, by: f64) {
        self.out *= by;
        self.alone *= by;
    }

    /// How many times longer than alone; the less was seen against the prior, the nearer to one.
    pub fn ratio(&self, prior: Milliseconds) -> f64 {
        (self.out + prior) / (self.alone + prior)
    }
}

/// What was learned of a class.
#[derive(Default)]
pub struct ClassState {
    pub bands: Vec<Stat>,
    /// Lowest mean latency of late.
    pub best: Milliseconds,
    /// Latency of a usual query that runs alone.
    pub usual: Milliseconds,
    /// Steps over which the best was learned.
    pub learned: f64,
    /// Clients' usual time from asking to giving up.
    pub time_left: Milliseconds,
    /// Mean of the estimates that came with requests.
    pub size: f64,
    /// Recent, first tries.
    pub arrivals: f64,
    /// Recent, time that attempts ran.
    pub runtime: f64,
    /// Memory asked for over the estimate.
    pub grant: f64,
    /// When an outcome last told of it.
    pub confirmed: Option<Milliseconds>,
    /// Of the two groups, the one with long runtimes.
    pub long: bool,
}

/// What is known of all engines together, and of this gateway's part in it.
pub struct Fleet {
    /// This gateway's share of all threads.
    pub share: f64,
    /// Our threads, over all engines.
    pub own: f64,
    /// Cores that count, of all engines.
    pub cores: f64,
    /// Our threads of late.
    pub own_seen: f64,
    /// All threads of late.
    pub all_seen: f64,
    /// Threads of a query.
    pub width: f64,
    /// Threads a core that others run, over the latest reports.
    pub usual_load: f64,
    /// Share of engines that are far over any bound.
    pub jammed: f64,
    /// The middle engine's slowness.
    pub usual_slow: f64,
    /// Time over time alone, on engines that are not stuck.
    pub slow: f64,
    /// The same while few threads run: what spills and locks cost without any load.
    pub unloaded_slow: f64,
    /// Share of our work that is on engines from which it does not come back.
    pub stuck: f64,
    /// Age of the latest news of an engine.
    pub age: Milliseconds,
    /// How long a thread of a usual query stays.
    pub residence: Milliseconds,
    /// The shortest probe to each zone.
    pub floors: BTreeMap<Option<ZoneId>, Milliseconds>,
}

/// What is known of an engine.
pub struct Engine {
    pub member: Member,
    /// Its number for hashing, the same on every gateway.
    pub spread: u64,
    pub cores: f64,
    pub memory_mb: f64,
    /// The share in which this gateway meets it, from 0 to 1.
    pub met: f64,
    /// This gateway's part of its budget while it is cold.
    pub cold_part: f64,
    /// Parts engines that are otherwise alike, from 0 to 1.
    pub jitter: f64,
    /// Of this gateway's attempts.
    pub threads: f64,
    /// Of this gateway's attempts.
    pub count: f64,
    /// Over the time that reports are late by.
    pub usual_count: f64,
    /// Threads of other gateways, from reports.
    pub others: f64,
    pub heard: Option<Milliseconds>,
    pub busy: bool,
    /// Time here over time alone, with what is out.
    pub slow: f64,
    /// Of attempts that ended of late.
    pub time: Times,
    pub errors: f64,
    pub last_answer: Milliseconds,
    pub full_at: Milliseconds,
    /// When a connection last broke.
    pub reset_at: Milliseconds,
    /// Until then; a trial follows.
    pub ejected: Option<Milliseconds>,
    pub ejections: u32,
    /// End of the last ejection.
    pub back: Milliseconds,
    /// When it last refused connections: it may come back cold.
    pub lost: Option<Milliseconds>,
    pub cold_sent: VecDeque<(Milliseconds, f64)>,
    /// Sum of it, a step old at most.
    pub cold_sum: f64,
    /// From 0 to 1: rounds this gateway's part of the engine's cold budget.
    pub chance: f64,
    /// When that is drawn anew.
    pub redraw: Milliseconds,
    pub started: Option<Milliseconds>,
    /// Its start was not told but is suspected: nobody knows that it is still the process that was warm.
    pub suspect: bool,
    /// Answers in a row that show it to be warmer than it is taken for.
    pub proofs: u32,
    /// The least that they show, as a share of its capacity.
    pub proven: f64,
    /// When it last answered anything, in this life of the gateway.
    pub confirmed: Option<Milliseconds>,
    pub probed: Milliseconds,
    /// Data sets that another gateway's load is thought to hold here, until then.
    pub held_for: BTreeMap<DataSet, Milliseconds>,
    /// Our loads that are out here, by their data sets.
    pub loading: BTreeMap<DataSet, u32>,
}

/// One attempt of a request.
pub struct Attempt {
    pub engine: EngineId,
    pub place: (Option<ZoneId>, u64),
    pub sent: Milliseconds,
    pub level: f64,
    pub patience: Milliseconds,
    pub out: bool,
    /// Taken as censored latency already.
    pub counted: bool,
    /// Known not to have run.
    pub unseen: bool,
    pub cancelled: bool,
}

/// A request from its arrival until nothing can arrive for it.
pub struct Request {
    pub asked: RequestDetails,
    pub taken: Milliseconds,
    /// Drawn once, from 0 to 1: rounds this gateway's part of a bound.
    pub chance: f64,
    pub held: Milliseconds,
    pub size: f64,
    pub over_quota: bool,
    pub over: bool,
    pub grant: f64,
    pub priority: u8,
    pub attempts: Vec<Attempt>,
}

impl Engine {
    /// An engine of which nothing is known yet.
    pub fn new(member: Member, kind: &Kind, now: Milliseconds, jitter: f64) -> Self {
        Self {
            spread: spread(&member.engine),
            member,
            cores: kind.cores,
            memory_mb: kind.memory_mb.max(1.0),
            met: 1.0,
            cold_part: 0.0,
            jitter,
            threads: 0.0,
            count: 0.0,
            usual_count: 0.0,
            others: 0.0,
            heard: None,
            busy: false,
            slow: 1.0,
            time: Times::default(),
            errors: 0.0,
            last_answer: now,
            full_at: NEVER,
            reset_at: NEVER,
            ejected: None,
            ejections: 0,
            back: NEVER,
            lost: None,
            cold_sent: VecDeque::new(),
            cold_sum: 0.0,
            chance: 1.0,
            redraw: now,
            started: None,
            suspect: false,
            proofs: 0,
            proven: 1.0,
            confirmed: None,
            probed: NEVER,
            held_for: BTreeMap::new(),
            loading: BTreeMap::new(),
        }
    }

    /// Whether a load is known or thought to hold that data set here.
    pub fn holds(&self, data: DataSet, now: Milliseconds) -> bool {
        self.loading.contains_key(&data) || self.held_for.get(&data).is_some_and(|until| now < *until)
    }

    /// Whether this gateway sends it work as a rule.
    pub fn is_met(&self) -> bool {
        self.member.availability == Availability::Live && self.met > 0.0
    }

    /// A new process took its place: what was held against the old one is void.
    pub fn restart(&mut self, started: Milliseconds) {
        let kind = Kind { name: String::new(), cores: self.cores, memory_mb: self.memory_mb };
        let fresh = Self::new(self.member.clone(), &kind, self.last_answer, self.jitter);
        let (threads, count) = (self.threads, self.count);
        let (cold_sent, cold_sum) = (std::mem::take(&mut self.cold_sent), self.cold_sum);
        let (met, cold_part) = (self.met, self.cold_part);
        *self = Self { threads, count, cold_sent, cold_sum, met, cold_part, started: Some(started), ..fresh };
    }
}

impl Request {
    /// A request just taken.
    pub fn new(asked: RequestDetails, now: Milliseconds, size: f64, over_quota: bool) -> Self {
        Self {
            asked,
            taken: now,
            chance: 0.5,
            held: now,
            size,
            over_quota,
            over: false,
            grant: 0.0,
            priority: 1,
            attempts: Vec::new(),
        }
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.out).count()
    }

    /// Attempts not known to be harmless.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| !a.unseen)
    }
}

/// The line of an ordered key.
#[derive(Default)]
pub struct Key {
    pub line: VecDeque<RequestId>,
    pub rest_until: Milliseconds,
}

impl Fleet {
    /// Threads a core that run on all engines: others' by the latest reports, and our own.
    pub fn load(&self) -> f64 {
        self.usual_load + self.own / self.cores
    }

    /// Nothing seen yet, and that share.
    pub fn new(share: f64) -> Self {
        let (own, own_seen, all_seen, usual_load) = (0.0, 0.0, 0.0, 0.0);
        let (cores, width, jammed, usual_slow) = (1.0, 1.0, 0.0, 1.0);
        let (age, residence, floors) = (0.0, 1000.0, BTreeMap::new());
        Self {
            share,
            own,
            cores,
            own_seen,
            all_seen,
            width,
            usual_load,
            jammed,
            usual_slow,
            slow: 1.0,
            unloaded_slow: 1.0,
            stuck: 0.0,
            age,
            residence,
            floors,
        }
    }
}

impl Attempt {
    /// An attempt just sent.
    pub fn new(
        engine: EngineId,
        place: (Option<ZoneId>, u64),
        sent: Milliseconds,
        level: f64,
        patience: Milliseconds,
    ) -> Self {
        let (out, unseen, counted, cancelled) = (true, false, false, false);
        Self { engine, place, sent, level, patience, out, unseen, counted, cancelled }
    }
}

//! Every decision of a gateway. The types it speaks are in `interface.rs`; read those first.
//! One turn learns from all events, then decides once: `turn` -> `learn` -> `decide`.
//! All sends pass `gate` and `send`; all final answers pass `answer`. ThreadTimes are milliseconds.

use crate::aperture::Aperture;
use crate::areas;
use crate::interface::*;
use crate::permission::send::{self as permission, EarlierAttempt};
use crate::retry_budget::RetryBudget;
use crate::state::{
    Attempt, ClassState, Engine, Fleet, LatencyStatistics, OrderedKey, Request, SentWork, ThreadTimes, NEVER,
};
use std::collections::BTreeMap;

// ---- The design's figures ----
/// Candidate bounds and bands of running threads, in threads a core.
pub(crate) const LEVELS: [f64; 12] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.25, 2.5, 2.75, 3.0];
const START_LEVEL: usize = 5; // 1½ threads a core
const LEAST_LEVEL: usize = 3; // where no candidate serves any class
const STEP: Milliseconds = 100.0; // the control period
const RATIO: f64 = 1.5; // runtime/arrival ratio over the other group's that puts a group behind
const WAIT_LEAST: Milliseconds = 100.0; // a held query waits this ...
const WAIT_SHARE: f64 = 0.1; // ... or this share of its expected latency ...
const WAIT_AIM: f64 = 0.25; // ... or of its aim: room comes up sooner than a refused client comes back

// ---- Learning ----
const MEMORY: f64 = 0.03; // weight of a new outcome in a band, once enough are in
const FADE: f64 = 0.99; // of a band's count, each step: old bands give way to new outcomes
const ENOUGH: f64 = 4.0; // outcomes before a band speaks for itself
const SEEN: f64 = 1.0; // outcomes that make a band known enough to try the next
const CLIP: f64 = 4.0; // deviations past the mean at which one sample is cut: runaways
const PRIOR_WEIGHT: f64 = 1.0; // outcomes that this counts as
const BEST_LEVEL: usize = 2; // the best latency is that at three quarters of a thread a core
const BEST_FALLS: f64 = 0.05; // a step
const BEST_RISES: f64 = 0.005;
const PRIOR: f64 = 0.4; // share of a class's aim taken as latency before any outcome
pub(crate) const GRANT: f64 = 1.6; // memory asked for over the estimate, at least: too little costs far more work
const RECENT: f64 = 0.99; // decay a step of arrivals, runtimes and shares: about ten seconds

// ---- Pressure and health ----
const STOOD: Milliseconds = 250.0; // between turns: this gateway stood still
const STALL_FADES: Milliseconds = 60_000.0;
const FAR_ABOVE_BEST: f64 = 2.5; // latency over best that is pressure
const BUSY: f64 = 0.95; // reported share of cores, memory or disks that is pressure
const CROWDED: f64 = 1.25; // threads a core that are pressure
const PART_GAIN: i32 = 2; // how fast own part over the fleet falls as the fleet passes the bound
const FULL_REST: Milliseconds = 250.0; // nothing is sent so long after a `full`
const PATIENCE: f64 = 2.0; // deviations past the mean at which an attempt is overdue
const PATIENCE_LEAST: Milliseconds = 200.0;
const SLOW_SPAN: Milliseconds = 5000.0; // over which slowness is learned ...
pub(crate) const SLOW_PRIOR: Milliseconds = 500.0; // ... with so much time of a thread taken to be as usual
const UNLOADED: f64 = 0.05; // weight of a step's slowness in that without load ...
const NEWS: Milliseconds = 500.0; // mean age of reports up to which they tell how many threads run
const UNLOADED_MOST: f64 = 1.5; // ... past which an engine is ill, whatever slows it
const CRAWL: f64 = 4.0; // times slower, past which idle cores mean that all wait for disks
const STUCK: f64 = 3.0; // times its time alone past which one attempt in three still ends in time
pub(crate) const SLOW_MOST: f64 = 10.0;
const ERROR_WEIGHT: f64 = 0.2; // of one outcome in it
const ERRORS: f64 = 0.3; // recent share of failures that ejects an engine
const EJECT: Milliseconds = 1000.0; // first ejection; doubles each time
pub(crate) const EJECT_MOST: Milliseconds = 8000.0;
const SLOW_START: Milliseconds = 4000.0; // from the end of an ejection to full share
const COLD_MARGIN: f64 = 0.8; // of a cold engine's budget
const COLD_CHANCE: f64 = 3.0; // deviations that it leaves for what many gateways send by chance
const NO_ROOM: f64 = 1e9; // under all that have some
pub(crate) const ABSURD: f64 = 20.0; // threads a core past which no report is believed
const SETTLE: Milliseconds = 1000.0; // time over which reports are smoothed
const USUAL: f64 = 0.1; // weight of one report in the fleet's mean load
const STALE: Milliseconds = 2000.0; // a report older than this gives way to the fleet's mean
const PROBE_EVERY: Milliseconds = 400.0; // an engine heard of within this is not probed
const PROBES_SAVED: f64 = 16.0; // each request taken pays for one probe, at most; so many may be saved up
const PROBE_COST: f64 = 0.01; // of a request's worth that may go into probes
const NEAR: f64 = 0.1; // so much more of the draw for an engine in our zone
const PROBE_WORK: f64 = 0.5; // share of the shortest probe that is work at the engine, not the way there
const PROBE_NOISE: f64 = 0.35; // of the shortest to its zone, within which a probe shows no delay
const FAINT: Milliseconds = 0.2; // work that a delay of this gateway's own making would pass for
const UNDELAYED: f64 = 0.5; // threads a core where a probe shows none: the middle of what that can be
const REPORT_LAG: Milliseconds = 200.0; // age of what a report tells when it comes
const MANY: usize = 64; // past so many, going through all of them each turn costs too much CPU ...
const TEND: Milliseconds = 20.0; // ... and what is out is looked at so often
const PLACE: Milliseconds = 4.0; // ... and what is held so often
const HEDGE_WITHIN: f64 = 0.7; // of the aim: a copy must be expected to end by then

impl Balancer {
    /// Whether routing leaves that engine out for now, for what it did: it was ejected, or has just said that it is full.
    pub fn avoids(&self, engine: &EngineId) -> bool {
        let Some(e) = self.engines.get(engine) else { return false };
        let ejected = e.ejected_until.is_some() && (e.connections_refused_at.is_some() || !self.shared());
        ejected || self.now - e.full_at < FULL_REST
    }
}

impl Engine {
    /// An engine that was only suspected of being cold is as warm as it shows: one that answers at its usual pace while
    /// so many threads run there has at least their share of its cores. Light loads show little, as a cold engine
    /// serves a few as fast as a warm one; and what a load shows holds for that load alone, not for a full one.
    fn show_warmth(
        &mut self,
        slow: f64,
        width: f64,
        now: Milliseconds,
        slow_start_from: f64,
        slow_start_duration: Milliseconds,
    ) {
        let Some(started) = self.started_at.filter(|_| self.start_suspected) else { return };
        let proven = ((self.own_threads + width) / self.cores.max(0.1)).min(1.0) / slow.max(1.0);
        let rises = (1.0 - slow_start_from).max(0.01) / slow_start_duration.max(1.0);
        if proven <= slow_start_from + rises * (now - started) {
            (self.warm_answers, self.shown_warmth) = (0, 1.0);
            return;
        }
        (self.warm_answers, self.shown_warmth) = (self.warm_answers + 1, self.shown_warmth.min(proven));
        if self.warm_answers >= PROOFS {
            self.started_at = Some(started.min(now - (self.shown_warmth - slow_start_from) / rises));
            (self.warm_answers, self.shown_warmth) = (0, 1.0);
        }
    }
}

/// Answers in a row that show how warm an engine is.
const PROOFS: u32 = 8;

/// The decisions of one gateway.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) now: Milliseconds,
    rng: fastrand::Rng,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    requests: BTreeMap<RequestId, Request>,
    keys: BTreeMap<OrderKey, OrderedKey>,
    pub(crate) classes: Vec<ClassState>,
    quotas: Vec<f64>,
    paused_for: Milliseconds,           // how long this gateway just stood still
    longest_recent_pause: Milliseconds, // longest stand-still of late
    health_check_credit: f64,
    retry_budget: RetryBudget,
    pub(crate) bound: usize,
    pub(crate) fleet: Fleet,
    aperture: Aperture,
    deferred_group: Option<bool>, // the group that waits: long or not
    next_step: Milliseconds,
    next_timer: Milliseconds,
    next_attempt_check: Milliseconds,
    next_placement: Milliseconds,
    subscribe_at: Milliseconds,
    waits: Vec<[u64; BlockReason::COUNT]>,
}

impl Balancer {
    /// A gateway that knows nothing but its settings.
    pub fn new(settings: Settings, now: Milliseconds) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.iter().map(|c| ClassState {
            bands: vec![LatencyStatistics::default(); LEVELS.len()],
            best_latency: c.latency_objective * PRIOR,
            grant_factor: GRANT,
            ..ClassState::default()
        });
        Ok(Self {
            classes: classes.collect(),
            waits: vec![[0; BlockReason::COUNT]; settings.classes.len()],
            quotas: vec![0.0; settings.tenants.len()],
            rng: fastrand::Rng::with_seed(settings.seed),
            aperture: Aperture::new(settings.gateway_index, settings.gateways, settings.seed),
            fleet: Fleet::new(1.0 / settings.gateways as f64),
            subscribe_at: if settings.subscribes_to_endpoints { now } else { f64::INFINITY },
            now,
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            paused_for: 0.0,
            longest_recent_pause: 0.0,
            health_check_credit: PROBES_SAVED * probe_part(&settings),
            retry_budget: RetryBudget::new(settings.retry_budget),
            settings,
            bound: START_LEVEL,
            deferred_group: None,
            next_step: now,
            next_timer: now,
            next_attempt_check: now,
            next_placement: now,
        })
    }

    /// Learns from the events, then decides once.
    pub fn turn(&mut self, now: Milliseconds, events: &[Event], actions: &mut Vec<Action>) {
        self.stood_still(now);
        for event in events {
            self.learn(event);
        }
        self.decide(actions);
    }

    /// Time in which this gateway did not run says nothing of engines: silence and patience do not count it,
    /// and what comes in on waking is no latency. Guards against stalls, paused machines and jumping clocks.
    fn stood_still(&mut self, now: Milliseconds) {
        let gap = now - self.now;
        self.now = now;
        self.paused_for = if gap > STOOD { gap } else { 0.0 };
        self.longest_recent_pause =
            self.paused_for.max(self.longest_recent_pause * (-gap.max(0.0) / STALL_FADES).exp());
        if self.paused_for > 0.0 {
            self.requests.values_mut().flat_map(|r| &mut r.attempts).for_each(|a| a.patience += gap);
        }
    }

    /// Requests and attempts that are still remembered.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Engines that are still remembered.
    pub fn known_engines(&self) -> usize {
        self.engines.len()
    }

    /// Requests by class that could not be sent in the turn that took them or their last end, and why.
    pub fn waits(&self) -> &[[u64; BlockReason::COUNT]] {
        &self.waits
    }

    /// The bound last chosen, in threads a core over all gateways.
    pub fn bound(&self) -> f64 {
        LEVELS[self.bound]
    }

    // ---- Learning ---------------------------------------------------------------------------------

    fn learn(&mut self, event: &Event) {
        match event {
            Event::Members { complete, members } => self.learn_members(*complete, members),
            // Resubscribe soon, but not all gateways at once, and well before the list counts as unasked.
            Event::ListFailed => {
                self.subscribe_at = self.now + (0.5 + self.rng.f64()) * self.settings.max_poll_interval / 8.0
            }
            Event::Request(asked) => self.learn_request(asked),
            Event::Outcome { id, attempt, engine, outcome, took, over, work, report } => {
                self.learn_report(engine, report, None);
                self.requests.get_mut(id).into_iter().for_each(|r| r.closed |= over);
                self.learn_outcome(*id, *attempt, *outcome, *took, *work);
            }
            Event::ProgressUpdate { id, attempt, update } => self.learn_note(*id, *attempt, *update),
            Event::HealthChecked { engine, ok, took, report } => {
                self.learn_report(engine, report, ok.then_some(*took));
                let heard = self.engines.get_mut(engine).filter(|_| *ok);
                heard.into_iter().for_each(|e| e.confirmed_at = Some(self.now));
            }
            Event::ClientDisconnected(id) => {
                self.requests.get_mut(id).into_iter().for_each(|r| r.closed = true);
                self.forget(*id);
            }
            Event::Restored(learned) => self.restore(learned),
            Event::ProcessCount(n) => self.aperture.share(*n, &mut self.engines, self.fleet.share),
            Event::Timer(_) | Event::Peer(_) | Event::Streaming { .. } => {}
        }
    }

    fn learn_members(&mut self, complete: bool, members: &[Member]) {
        let unnamed = self.engines.values_mut().filter(|_| complete);
        unnamed.for_each(|e| e.member.availability = Availability::Removed);
        for m in members {
            let kind = m.kind.and_then(|k| self.settings.kinds.get(k.0)).unwrap_or(&self.settings.kinds[0]);
            let fresh = || Engine::new(m.clone(), kind, self.now, self.rng.f64());
            let e = self.engines.entry(m.engine.clone()).or_insert_with(fresh);
            let started = m.started.filter(|t| t.is_finite()).map(|t| t.min(self.now));
            let told_before = e.started_at.is_some() && e.member.started == m.started;
            if let Some(at) = started.filter(|t| !told_before && e.started_at.is_none_or(|old| *t > old)) {
                e.restart(at);
            }
            e.member = m.clone();
            (e.cores, e.memory_mb) = (kind.cores, kind.memory_mb.max(1.0));
        }
        self.aperture.focus(&mut self.engines, self.fleet.share, true);
    }

    fn learn_request(&mut self, asked: &RequestDetails) {
        if asked.class.0 >= self.classes.len() || self.requests.contains_key(&asked.id) {
            return;
        }
        let c = &mut self.classes[asked.class.0];
        let work = asked.work.filter(|w| w.is_finite() && *w > 0.0);
        if let Some(w) = work {
            c.mean_work = if c.mean_work > 0.0 { c.mean_work + MEMORY * (w - c.mean_work) } else { w };
        }
        // A retry storm must not make its group look starved: repeats that say so do not count.
        c.arrivals += f64::from(!asked.is_retry);
        let size = work.map_or(1.0, |w| (w / c.mean_work).clamp(0.1, 10.0));
        let mut over_quota = false;
        if let Some(t) = asked.tenant.filter(|t| t.0 < self.quotas.len()) {
            over_quota = self.settings.tenants[t.0].quota_per_s > 0.0 && self.quotas[t.0] < 1.0;
            self.quotas[t.0] -= if over_quota { 0.0 } else { 1.0 };
        }
        if let Some(key) = asked.key.filter(|_| self.settings.classes[asked.class.0].ordered) {
            self.keys.entry(key).or_default().queue.push_back(asked.id);
        }
        self.retry_budget.receive(self.now - self.paused_for); // what came meanwhile is as old as that
        self.health_check_credit = (self.health_check_credit + probe_part(&self.settings))
            .min(PROBES_SAVED.max(self.health_check_credit));
        // What came while this gateway stood still is as old as its time left tells.
        let c = &mut self.classes[asked.class.0];
        let left = asked.deadline - self.now;
        let age = (c.usual_time_left - left).clamp(0.0, self.paused_for);
        c.usual_time_left =
            if self.paused_for > 0.0 { c.usual_time_left } else { left.max(FADE * c.usual_time_left) };
        let mut r = Request::new(asked.clone(), self.now, size, over_quota);
        r.received_at -= age;
        r.share_draw = self.rng.f64();
        self.requests.insert(asked.id, r);
    }

    /// What an engine says of its load, or shows by the time that a probe took.
    fn learn_report(&mut self, engine: &EngineId, report: &Option<LoadReport>, probe: Option<Milliseconds>) {
        let Some(e) = self.engines.get_mut(engine) else { return };
        let sane = |x: Option<f64>| x.filter(|v| v.is_finite() && *v >= 0.0);
        if let Some(report) = report {
            let high = |x: Option<f64>| sane(x).is_some_and(|v| v > BUSY);
            let waits = sane(report.queue).is_some_and(|q| q >= 1.0);
            e.busy = waits || high(report.util) || high(report.memory) || high(report.disks);
        }
        // One estimate with one meaning, threads a core of all gateways, from the best evidence: queries in
        // hand; else cores in use times how much longer than alone queries take, as cores idle while all wait
        // for disks; else how much longer a probe takes than the shortest to that zone.
        let f = &mut self.fleet;
        let own = e.mean_in_flight * f.threads_per_query / e.cores;
        let report = report.unwrap_or_default();
        let all = match (sane(report.inflight), sane(report.util).map(|u| u.min(1.0)), sane(probe)) {
            (Some(n), ..) => own + (n - e.mean_in_flight).max(0.0) * f.threads_per_query / e.cores,
            (_, Some(util), _) => {
                let slow = (f.slowdown.max(e.slowdown) / f.unloaded_slowdown).clamp(1.0, SLOW_MOST);
                util * slow + (1.0 - util) * (slow - CRAWL).max(0.0)
            }
            (.., Some(took)) if self.paused_for == 0.0 => {
                let floor = f.shortest_checks.entry(e.member.zone).or_insert(took);
                *floor = took.min(*floor);
                let (excess, noise) = (took - *floor * (1.0 + PROBE_NOISE), *floor * PROBE_NOISE);
                let unit = PROBE_WORK * f.shortest_checks.values().copied().fold(f64::INFINITY, f64::min);
                // Over a long way a short delay is lost in the noise: no more than the mean is known. Where a
                // probe's work is less than this gateway's scatter, none is believed that answers do not
                // feel.
                let felt = f.slowdown.max(e.slowdown).clamp(1.0, SLOW_MOST);
                let most = if unit < FAINT { CROWDED * felt } else { f64::INFINITY };
                match excess > 0.0 && unit > 0.0 {
                    true => (1.0 + excess / unit).min(most),
                    false if noise < unit => UNDELAYED,
                    false => own + f.usual_load,
                }
            }
            _ => return,
        };
        let load = (all - own).clamp(0.0, ABSURD);
        let weight = e.last_report_at.map_or(1.0, |t| ((self.now - t) / SETTLE).clamp(0.05, 1.0));
        e.other_threads += weight * (load * e.cores - e.other_threads);
        // Jammed engines are out of the fleet, else their load shuts out all that could still serve.
        let load = e.other_threads / e.cores;
        let jam = load > LEVELS[LEVELS.len() - 1];
        f.overloaded_share += USUAL * (f64::from(jam) - f.overloaded_share);
        f.usual_load += if jam { 0.0 } else { USUAL * (load - f.usual_load) };
        e.last_report_at = Some(self.now);
    }

    fn learn_outcome(
        &mut self,
        id: RequestId,
        no: u32,
        how: Outcome,
        took: Milliseconds,
        work: Option<Milliseconds>,
    ) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let class = r.details.class;
        let Some(a) = r.attempts.get_mut(no as usize).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.never_ran = permission::never_ran(how);
        let (level, sent, counted, unseen) = (a.load_level, a.sent_at, a.counted, a.never_ran);
        let engine = a.engine.clone();
        r.waiting_since = if r.in_flight() == 0 { now } else { r.waiting_since };
        let (size, data) = (r.relative_size, r.details.data);
        if let Some(key) = r.details.key.filter(|_| self.settings.classes[class.0].ordered) {
            if matches!(how, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                let k = self.keys.entry(key).or_default();
                k.paused_until = k.paused_until.max(now + self.settings.ordered_key_pause);
            }
        }
        let width = self.settings.classes[class.0].threads;
        let c = &mut self.classes[class.0];
        c.runtime += took.clamp(0.0, self.settings.classes[class.0].client_timeout);
        let best = c.best_latency * size;
        // What a usual query takes alone, by the work that answers tell.
        let told = work.filter(|w| how == Outcome::Ok && *w > 0.0).map(|w| w / width / size);
        c.unloaded_latency +=
            told.map_or(
                0.0,
                |t| if c.unloaded_latency > 0.0 { MEMORY * (t - c.unloaded_latency) } else { t },
            );
        let Some(e) = self.engines.get_mut(&engine) else { return self.forget(id) };
        e.own_threads = (e.own_threads - width).max(0.0);
        self.fleet.own_threads = (self.fleet.own_threads - width).max(0.0);
        e.in_flight = (e.in_flight - 1.0).max(0.0);
        if let Some(n) =
            data.and_then(|d| e.own_loads.get_mut(&d)).filter(|_| self.settings.classes[class.0].is_load)
        {
            *n -= 1;
            e.own_loads.retain(|_, n| *n > 0);
        }
        if !unseen && self.paused_for == 0.0 {
            let alone =
                work.map_or(best, |w| w / width).min(if how == Outcome::Ok { f64::INFINITY } else { took });
            e.thread_times.add(took * width, alone * width);
        }
        let failed = match how {
            Outcome::Ok => {
                (e.last_answer_at, e.confirmed_at) = (now, Some(now));
                if e.ejected_until.take().is_some() && sent > e.ejection_ended_at {
                    e.ejection_ended_at = now; // the trial went well: slow start from here
                }
                let slow = (took / work.map_or(best, |w| w / width).max(1.0)).clamp(0.1, SLOW_MOST);
                e.show_warmth(
                    slow,
                    width,
                    now,
                    self.settings.slow_start_from,
                    self.settings.slow_start_duration,
                );
                Some(false)
            }
            // One connection that breaks is one failure, however many attempts it carried.
            Outcome::Reset if e.reset_at == now => None,
            Outcome::Reset | Outcome::Error | Outcome::ConnectFailed => {
                e.reset_at = if how == Outcome::Reset { now } else { e.reset_at };
                e.connections_refused_at =
                    if how == Outcome::ConnectFailed { Some(now) } else { e.connections_refused_at };
                Some(true)
            }
            // Guards against a full engine answering at once and so looking free. Also catches session
            // limits below what the bound would send; harms little, as it lasts a moment.
            Outcome::Full => {
                (e.full_at, e.busy) = (now, true);
                e.other_threads = e.other_threads.max(LEVELS[LEVELS.len() - 1] * e.cores - e.own_threads);
                None
            }
            _ => None,
        };
        let (ejected, ill) = (e.ejected_until.is_some(), ill(e));
        if let Some(failed) = failed {
            e.error_rate += ERROR_WEIGHT * (f64::from(failed) - e.error_rate);
            // Guards against engines that fail fast and so look free, and against dead ones. Also
            // catches flapping processes; harms when errors are the requests' own fault.
            if failed && (ejected || e.error_rate > ERRORS || how == Outcome::ConnectFailed) {
                self.eject(&engine);
            }
        }
        // Time-outs count as latency of at least that long, except where the engine itself is ill.
        let sample =
            self.paused_for == 0.0 && (how == Outcome::Ok || how == Outcome::Timeout && !counted && !ill);
        if sample && took.is_finite() && took >= 0.0 {
            self.add_sample(class, level, took / size);
        }
        self.forget(id);
    }

    fn learn_note(&mut self, id: RequestId, no: u32, note: ProgressUpdate) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let c = &mut self.classes[r.details.class.0];
        let Some(a) = r.attempts.get_mut(no as usize).filter(|a| a.in_flight) else { return };
        if matches!(note, ProgressUpdate::Spill(missing) if missing > 0.0) {
            c.grant_factor = (c.grant_factor * 1.03).min(2.0 * GRANT);
        }
        // An engine that sends notes is not silent.
        let Some(e) = self.engines.get_mut(&a.engine) else { return };
        (e.last_answer_at, e.confirmed_at) = (now, Some(now));
        if note == ProgressUpdate::WaitsForLoad {
            e.locked_until.extend(r.details.data.map(|d| (d, now + c.best_latency * r.relative_size)));
        }
    }

    /// One latency, at the size of a usual query of its class, at that many threads a core.
    fn add_sample(&mut self, class: ClassId, level: f64, latency: Milliseconds) {
        self.classes[class.0].confirmed_at = Some(self.now);
        let stat = &mut self.classes[class.0].bands[band(level)];
        let cut = stat.mean + CLIP * stat.variance.sqrt().max(stat.mean * 0.5);
        let most = if stat.count >= ENOUGH { cut } else { self.settings.classes[class.0].client_timeout };
        stat.add(latency.min(most), MEMORY);
    }

    /// Mean and deviation of a class's latency at a level, from all bands, near ones most: an unseen leans
    /// on its neighbours. Between bands, engines are taken to slow down in proportion to threads.
    fn latency_at(&self, class: ClassId, level: f64) -> (Milliseconds, Milliseconds) {
        let c = &self.classes[class.0];
        let at = band(level);
        let prior = self.settings.classes[class.0].latency_objective * PRIOR * LEVELS[at].max(1.0);
        let (mut all, mut mean, mut var) = (PRIOR_WEIGHT, PRIOR_WEIGHT * prior, 0.0);
        for (i, b) in c.bands.iter().enumerate().filter(|(_, b)| b.count > 0.0) {
            let off = i.abs_diff(at) as f64;
            let weight = b.count / (1.0 + off * off);
            let by = LEVELS[at].max(1.0) / LEVELS[i].max(1.0);
            all += weight;
            mean += weight * b.mean * by;
            var += weight * b.variance * by * by;
        }
        (mean / all, (var / all).sqrt())
    }

    fn latency_objective(&self, class: ClassId, size: f64) -> Milliseconds {
        let c = &self.settings.classes[class.0];
        (c.latency_objective + c.latency_objective_stretch * self.classes[class.0].best_latency * size)
            .min(c.client_timeout)
    }

    /// How long a request takes alone: by the work that answers tell, else the best latency.
    fn alone(&self, r: &Request) -> Milliseconds {
        let c = &self.classes[r.details.class.0];
        r.relative_size * if c.unloaded_latency > 0.0 { c.unloaded_latency } else { c.best_latency }
    }

    fn late(&self, r: &Request) -> bool {
        self.now - r.received_at > self.latency_objective(r.details.class, r.relative_size)
    }

    fn step(&mut self) {
        let now = self.now;
        for c in &mut self.classes {
            c.arrivals *= RECENT;
            c.runtime *= RECENT;
            c.bands.iter_mut().for_each(|b| b.count *= FADE);
        }
        for (t, level) in self.quotas.iter_mut().enumerate() {
            let rate = self.settings.tenants[t].quota_per_s * self.fleet.share;
            *level = (*level + rate * STEP / 1000.0).min((rate * 2.0).max(2.0));
        }
        let [mut threads, mut count, mut others, mut cores, mut ages, mut live] = [0.0; 6];
        for e in self.engines.values().filter(|e| e.member.availability == Availability::Live) {
            threads += e.own_threads;
            count += e.in_flight;
            others += e.other_threads;
            cores += self.cores(e);
            ages += e.aperture_share * e.last_report_at.map_or(STALE, |t| (now - t).min(STALE));
            live += e.aperture_share;
        }
        for e in self.engines.values_mut() {
            if now >= e.next_draw_at {
                (e.budget_draw, e.next_draw_at) =
                    (self.rng.f64(), now + self.settings.overload_collapse_after * (0.5 + self.rng.f64()));
            }
            e.mean_in_flight += 0.3 * (e.in_flight - e.mean_in_flight);
            e.thread_times.decay((-STEP / SLOW_SPAN).exp());
            e.error_rate *= FADE;
            e.recent_sends.retain(|sent| sent.sent_at >= now - self.settings.overload_collapse_after);
            e.locked_until.retain(|_, t| now < *t);
            e.recent_work = e.recent_sends.iter().map(|sent| sent.work).sum();
            if e.last_report_at.is_none_or(|t| now - t > STALE) {
                e.other_threads = self.fleet.usual_load * e.cores;
                e.busy = false;
            }
        }
        // What sends nothing hears nothing, and must not stay shut out by what it last heard of the fleet.
        if threads == 0.0 && self.engines.values().all(|e| e.last_report_at.is_none_or(|t| now - t > STALE)) {
            let f = &mut self.fleet;
            (f.overloaded_share, f.usual_load) = (f.overloaded_share * FADE, f.usual_load * FADE);
        }
        (self.fleet.own_threads, self.fleet.cores) = (threads, cores.max(1.0));
        // Even parts of a thread a core till more was seen: hundreds that start at once all see little.
        let even = 1.0 / self.settings.gateways as f64;
        if self.fleet.mean_all_threads <= 0.0 {
            (self.fleet.mean_own_threads, self.fleet.mean_all_threads) = (even * cores, cores);
        }
        self.fleet.mean_own_threads += (1.0 - RECENT) * (threads - self.fleet.mean_own_threads);
        self.fleet.mean_all_threads += (1.0 - RECENT) * (threads + others - self.fleet.mean_all_threads);
        self.fleet.share = ((self.fleet.mean_own_threads + even) / (self.fleet.mean_all_threads + 1.0))
            .clamp(even / 4.0, 1.0);
        self.aperture.focus(&mut self.engines, self.fleet.share, false);
        self.fleet.report_age = ages / (live + 1.0);
        let of = self.classes.iter().zip(&self.settings.classes);
        let of = of.map(|(c, of)| ((c.arrivals + 0.1) * of.threads, c.best_latency));
        let (work, all) = of.fold((0.0, 0.0), |(work, all), (n, best)| (work + n * best, all + n));
        self.fleet.residence_time = work / all;
        self.fleet.threads_per_query +=
            0.02 * ((threads + 1.0) / (count + 1.0) - self.fleet.threads_per_query);
        self.take_slowness();
        // When all are slow the cause is shared: none is then slow against its fellows.
        let mut slows: Vec<f64> = self.engines.values().map(|e| e.slowdown).collect();
        slows.sort_by(f64::total_cmp);
        self.fleet.median_slowdown = slows.get(slows.len() / 2).copied().unwrap_or(1.0).max(1.0);
        for i in 0..self.classes.len() {
            let now_best = self.latency_at(ClassId(i), LEVELS[BEST_LEVEL]).0;
            let c = &mut self.classes[i];
            if c.bands.iter().any(|b| b.count >= 1.0) {
                // Falls fast and rises slowly, else a long jam is taken for the best there is.
                c.learned_steps += 1.0;
                let weight = if now_best < c.best_latency { BEST_FALLS } else { BEST_RISES };
                c.best_latency += weight.max(1.0 / c.learned_steps) * (now_best - c.best_latency);
            }
        }
        // What has gone and says nothing more has no more to teach.
        let still = now - self.settings.slow_start_duration - SLOW_START;
        let gone = |e: &Engine| e.member.availability == Availability::Removed && e.in_flight <= 0.0;
        self.engines.retain(|_, e| !gone(e) || e.last_answer_at.max(e.checked_at) > still);
        self.take_overdue();
        self.choose_bound();
        self.choose_groups();
    }

    /// How many times longer than alone queries take, by engine and in all: time out over work done, with
    /// what is out. Guards against engines that have collapsed: they answer nothing, and cores that idle
    /// while all wait for disks or memory report room. Finds slow ones too; cold ones take long anyway.
    fn take_slowness(&mut self) {
        let mut times: BTreeMap<&EngineId, ThreadTimes> = BTreeMap::new();
        for r in self.requests.values() {
            let (alone, width) = (self.alone(r), self.settings.classes[r.details.class.0].threads);
            for a in r.attempts.iter().filter(|a| a.in_flight) {
                let out = self.now - a.sent_at;
                times.entry(&a.engine).or_default().add(out * width, out.min(alone) * width);
            }
        }
        let (mut all, mut jammed) = (ThreadTimes::default(), 0.0);
        let warmths: Vec<f64> = self.engines.values().map(|e| self.warmth(e)).collect();
        for ((id, e), warmth) in self.engines.iter_mut().zip(warmths) {
            let mut time = e.thread_times;
            times.get(id).into_iter().for_each(|t| time.add(t.taken, t.alone));
            e.slowdown = time.slowdown(SLOW_PRIOR).clamp(0.1, SLOW_MOST);
            match ill(e) {
                true => jammed += time.alone,
                false => all.add(time.taken, time.alone / warmth),
            }
        }
        // Who sends little has seen little, and goes by what engines report.
        self.fleet.slowdown =
            (all.taken + SLOW_PRIOR * self.fleet.usual_load.min(1.0)) / (all.alone + SLOW_PRIOR);
        self.fleet.stuck_share = jammed / (jammed + all.alone + SLOW_PRIOR);
        // Spills and locks slow queries down without load. Where grants are heeded few spill: news decides.
        let f = &mut self.fleet;
        let told = !self.settings.grants || f.report_age < NEWS;
        if told && f.load() < LEVELS[BEST_LEVEL] || f.slowdown < f.unloaded_slowdown {
            f.unloaded_slowdown += UNLOADED * (f.slowdown.clamp(1.0, UNLOADED_MOST) - f.unloaded_slowdown);
        }
    }

    /// Attempts out past their patience count as latency already, but for those on an engine that is ill.
    fn take_overdue(&mut self) {
        let mut samples = Vec::new();
        for r in self.requests.values_mut() {
            for a in r
                .attempts
                .iter_mut()
                .filter(|a| a.in_flight && !a.counted && self.now - a.sent_at > a.patience)
            {
                a.counted = !self.engines.get(&a.engine).is_none_or(ill);
                samples.extend(
                    a.counted
                        .then(|| (r.details.class, a.load_level, (self.now - a.sent_at) / r.relative_size)),
                );
            }
        }
        samples.into_iter().for_each(|(class, level, latency)| self.add_sample(class, level, latency));
    }

    fn eject(&mut self, engine: &EngineId) {
        let free = |e: &&mut Engine| e.ejected_until.is_none_or(|until| until <= self.now);
        let Some(e) = self.engines.get_mut(engine).filter(free) else { return };
        if self.now - e.ejection_ended_at > 4.0 * EJECT_MOST && e.ejected_until.is_none() {
            e.ejections = 0;
        }
        let length = (EJECT * f64::from(1 << e.ejections.min(6))).min(EJECT_MOST);
        e.ejections += 1;
        e.ejected_until = Some(self.now + length * (0.8 + 0.4 * self.rng.f64()));
    }

    /// The design's bound: the candidate with the highest sum, over classes whose mean plus one deviation
    /// there is within the aim, of recent arrival share, times the candidate.
    fn choose_bound(&mut self) {
        // Latencies past the bands seen of late are guesses, and past its peak an engine collapses: no leap
        // into the unknown.
        let seen = |j: &usize| self.classes.iter().map(|c| c.bands[*j].count).sum::<f64>() >= SEEN;
        let last = (0..LEVELS.len()).rev().find(seen).map_or(0, |j| j + 1).max(START_LEVEL);
        let fits = |i: &usize, level: f64| {
            let (mean, deviation) = self.latency_at(ClassId(*i), level);
            mean + deviation <= self.latency_objective(ClassId(*i), 1.0)
        };
        let priority_weight = |i: usize| self.classes[i].arrivals * self.settings.classes[i].priority_weight;
        let mut top = (0.0, self.bound);
        for (j, level) in LEVELS.iter().enumerate().take(last + 1) {
            let sum: f64 = (0..self.classes.len()).filter(|i| fits(i, *level)).map(priority_weight).sum();
            if level * sum > top.0 {
                top = (level * sum, j);
            }
        }
        // Where no class fits anywhere the sums say nothing: engines have collapsed or all are slow, and
        // fewer threads let some end in time. Down a candidate a step, to one thread a core.
        let known = self.classes.iter().flat_map(|c| &c.bands).any(|b| b.count >= ENOUGH);
        let next = if top.0 > 0.0 { top.1 } else { LEAST_LEVEL.max(self.bound.saturating_sub(1)) };
        self.bound = if known { next } else { self.bound };
    }

    /// Two groups by runtime, split at the middle by ratio: mean minus one deviation lies below every class
    /// wherever short ones are many. The one whose ratio of runtime to arrivals is far over waits behind.
    fn choose_groups(&mut self) {
        let least = self.classes.iter().map(|c| c.best_latency).fold(f64::INFINITY, f64::min);
        let most = self.classes.iter().map(|c| c.best_latency).fold(0.0, f64::max);
        let split = (least * most).sqrt();
        let mut sums = [(0.0, 0.0); 2];
        for c in &mut self.classes {
            c.is_long = c.best_latency > split;
            sums[usize::from(c.is_long)].0 += c.runtime;
            sums[usize::from(c.is_long)].1 += c.arrivals;
        }
        let ratio = |g: usize| if sums[g].1 > 0.5 { sums[g].0 / sums[g].1 } else { 0.0 };
        let over = |g: usize| ratio(g) > RATIO * ratio(1 - g) && ratio(1 - g) > 0.0;
        self.deferred_group = if over(1) { Some(true) } else { over(0).then_some(false) };
    }

    // ---- What an engine can take ------------------------------------------------------------------

    /// Share of its capacity that an engine has now: cold starts, told or suspected.
    pub(crate) fn warmth(&self, e: &Engine) -> f64 {
        let lost = e.connections_refused_at.map_or(NEVER, |at| {
            if e.ejection_ended_at > at {
                e.ejection_ended_at
            } else {
                self.now
            }
        });
        let since = lost.max(e.started_at.unwrap_or(NEVER));
        let age = (self.now - since) / self.settings.slow_start_duration.max(1.0);
        self.settings.slow_start_from + (1.0 - self.settings.slow_start_from) * age.clamp(0.0, 1.0)
    }

    /// Cores that count: less while cold, slow, failing or just back from an ejection.
    fn cores(&self, e: &Engine) -> f64 {
        let back = ((self.now - e.ejection_ended_at) / SLOW_START).clamp(0.1, 1.0);
        e.cores * self.warmth(e) * back * (1.0 - e.error_rate).max(0.3)
            / (e.slowdown / self.fleet.median_slowdown).clamp(0.9, 10.0)
    }

    /// The bound binds only under pressure: own part of it on this engine, where one query always fits, and
    /// all gateways' threads as reported.
    fn room(&self, e: &Engine, r: &Request) -> Result<(), BlockReason> {
        let width = self.settings.classes[r.details.class.0].threads;
        let cores = self.cores(e);
        let all = LEVELS[self.bound] * cores;
        let crowded = (e.own_threads + e.other_threads) / cores.max(0.1) > CROWDED;
        let why = match (e.busy, crowded, e.slowdown > FAR_ABOVE_BEST) {
            (true, ..) => BlockReason::Busy,
            (_, true, _) => BlockReason::Crowded,
            (.., true) => BlockReason::Slow,
            _ => return Ok(()),
        };
        let fits = e.own_threads + width <= (all * self.fleet.share).max(width)
            && e.own_threads + e.other_threads + width * (r.relative_size.min(3.0) - 0.5) <= all.max(width);
        fits.then_some(()).ok_or(why)
    }

    /// Whether own part over the fleet has room, rounded by chance, up for who is ahead.
    fn fleet_room(&self, r: &Request) -> bool {
        let width = self.settings.classes[r.details.class.0].threads;
        let ahead = self.deferred_group == Some(!self.classes[r.details.class.0].is_long);
        let over = width * if ahead { 1.0 } else { r.share_draw };
        self.fleet.own_threads + width * r.relative_size.min(3.0) <= self.part() + over
    }

    /// What this gateway may run on all engines together: its share of the bound, far more while the fleet is
    /// under it and less while it is over. Guards against hundreds of gateways that all fill the engine whose
    /// old report shows room; also catches bursts and retries. Could refuse where a share has just risen.
    fn part(&self) -> f64 {
        let (f, bound) = (&self.fleet, LEVELS[self.bound]);
        let load = f.load().max(f.slowdown / f.unloaded_slowdown).max(LEVELS[0]);
        f.share
            * bound
            * f.cores
            * (1.0 - f.overloaded_share.max(f.stuck_share))
            * (bound / load).powi(PART_GAIN)
    }

    /// The one gate: whether the rules allow this send now.
    fn gate(&self, r: &Request, e: &Engine) -> bool {
        let c = &self.settings.classes[r.details.class.0];
        let m = &e.member;
        let earlier = r.may_have_run().map(|a| EarlierAttempt { sent_at: a.sent_at, placement: a.placement });
        let repeat =
            permission::may_repeat(c.idempotency, earlier, m.placement(), self.now + self.settings.tick);
        !r.closed
            && m.availability == Availability::Live
            && c.may_run_on(m)
            && repeat
            && (self.settings.may_hedge || r.in_flight() == 0)
            && r.attempts.len() < self.settings.max_attempts as usize
            && self.now + 2.0 * self.settings.tick < r.details.deadline
            && (r.attempts.is_empty() || self.retry_budget_left())
            && self.in_turn(r)
            && self.cold_budget(r, e)
    }

    fn retry_budget_left(&self) -> bool {
        self.retry_budget.allows(self.now, 2.0 * self.settings.tick)
    }

    fn in_turn(&self, r: &Request) -> bool {
        let Some(key) = r.details.key.and_then(|k| self.keys.get(&k)) else { return true };
        let ordered = self.settings.classes[r.details.class.0].ordered;
        let first = key.queue.front() == Some(&r.details.id);
        !ordered || first && (!r.attempts.is_empty() || self.now >= key.paused_until)
    }

    /// A cold engine's budget: what it may be sent in any span, in even parts, which add up to one budget
    /// whatever is reported or forgotten. Counts the usual work of classes, so few heavy queries use it up. A
    /// part less than a query is won by chance, drawn anew each span; the mean then lies deviations of such a
    /// draw lower. Guards against hundreds of gateways that each take themselves for the only one; should
    /// also hold when all hear of a start at once. Harms a gateway with most of the traffic.
    fn cold_budget(&self, r: &Request, e: &Engine) -> bool {
        let warmth = self.warmth(e);
        if warmth >= 1.0 {
            return true;
        }
        let all = COLD_MARGIN
            * self.settings.overload_collapse_multiple
            * warmth
            * e.cores
            * self.settings.overload_collapse_after;
        let work = self.work(r.details.class);
        let part = if all * e.slow_start_share >= work {
            all * e.slow_start_share
        } else {
            // The mean from which so many deviations lead up to the budget, in queries of this class.
            let (most, by) = (all / work, COLD_CHANCE * COLD_CHANCE);
            (most + by / 2.0 - COLD_CHANCE * (most + by / 4.0).sqrt()) * work * e.slow_start_share
        };
        e.recent_work + work * e.budget_draw <= part
    }

    /// Usual work of a class; its whole aim before anything was learned.
    fn work(&self, class: ClassId) -> f64 {
        let (c, of) = (&self.classes[class.0], &self.settings.classes[class.0]);
        of.threads * if c.learned_steps > 0.0 { c.best_latency } else { of.latency_objective }
    }

    /// More than half ejected means a shared cause: using them beats having none.
    fn shared(&self) -> bool {
        let live = self.engines.values().filter(|e| e.is_in_aperture());
        live.clone().filter(|e| e.ejected_until.is_some() && e.connections_refused_at.is_none()).count() * 2
            > live.count()
    }

    /// Routing: of the engines that the gate, health and the bound allow, the one with most free room.
    fn route(&self, r: &Request) -> Result<EngineId, BlockReason> {
        if !self.fleet_room(r) {
            return Err(BlockReason::FleetShare);
        }
        let shared = self.shared();
        let mut why = BlockReason::NoEngine;
        let mut top: Option<(f64, &EngineId)> = None;
        for (id, e) in &self.engines {
            let again = r.attempts.iter().any(|a| a.engine == *id && (a.in_flight || !a.never_ran));
            // After an ejection one short query goes as a trial.
            let trial = |t: Milliseconds| {
                self.now >= t && e.in_flight == 0.0 && !self.classes[r.details.class.0].is_long
            };
            let shut = e
                .ejected_until
                .is_some_and(|until| (!shared || e.connections_refused_at.is_some()) && !trial(until));
            let shut = shut || self.now - e.full_at < FULL_REST || again && self.engines.len() > 1;
            let may = match () {
                () if shut => Err(BlockReason::Unavailable),
                () if !self.gate(r, e) => {
                    Err(if self.cold_budget(r, e) { BlockReason::Rules } else { BlockReason::SlowStart })
                }
                () => self.room(e, r),
            };
            if let Err(not) = may {
                why = why.max(not);
                continue;
            }
            // Loads of one set stand still behind each other, and so does what waits for them: not there.
            let of = &self.settings.classes[r.details.class.0];
            let area = r.details.data.filter(|_| of.is_load || of.waits_for_loads);
            let held = area.is_some_and(|d| e.is_locked(d, self.now));
            let room = self.free_room(e) - LEVELS[LEVELS.len() - 1] * f64::from(held);
            let apart = area.map_or(1.0, |d| areas::preference(d, e.stable_hash, of.is_load));
            let near = 1.0 + NEAR * f64::from(e.member.zone == self.settings.zone);
            // Who is not met comes after all that are and have room.
            let (met, away) =
                if e.aperture_share > 0.0 { (e.aperture_share, 0.0) } else { (1.0, NO_ROOM / 2.0) };
            // The largest of ln(u)/w is each engine's by chance in proportion to w.
            let u =
                fastrand::Rng::with_seed(r.share_draw.to_bits() ^ e.jitter.to_bits().rotate_left(32)).f64();
            let score = match room > 0.0 {
                true => {
                    u.max(f64::MIN_POSITIVE).ln() / (room * self.cores(e).max(0.1) * near * met * apart)
                        - away
                }
                false => room - NO_ROOM,
            };
            if top.is_none_or(|(best, _)| score > best) {
                top = Some((score, id));
            }
        }
        top.map(|(_, id)| id.clone()).ok_or(why)
    }

    /// Until news of an engine is renewed its load drifts to the mean, and the fleet fills all engines up to
    /// one level: room is what is missing to it (load interpretation, Dahlin 1999). Guards against hundreds
    /// of gateways that all send to the one engine whose old report showed most room.
    fn free_room(&self, e: &Engine) -> f64 {
        let f = &self.fleet;
        let mean = f.load().max(LEVELS[0]);
        let turnover = |age: Milliseconds| (REPORT_LAG + age) / f.residence_time.max(1.0);
        let own = e.own_threads / self.cores(e).max(0.1);
        let others = e.other_threads / self.cores(e).max(0.1);
        let age = e.last_report_at.map_or(STALE, |t| (self.now - t).min(STALE));
        let load = own + f.usual_load + (others - f.usual_load) * (-turnover(age)).exp();
        (mean * (1.0 + (1.0 - f.share) * turnover(f.report_age))).min(LEVELS[self.bound]) - load
    }

    fn decide(&mut self, actions: &mut Vec<Action>) {
        if self.now >= self.next_step {
            self.next_step = self.now + STEP;
            self.step();
        }
        if self.now >= self.subscribe_at {
            self.subscribe_at = f64::INFINITY;
            actions.push(Action::Watch);
        }
        self.probe(actions);
        self.tend_running(actions);
        self.place_held(actions);
        self.retry_budget.forget(self.now, STEP);
        self.keys.retain(|_, k| !k.queue.is_empty() || k.paused_until > self.now);
        // An idle gateway's timer is slow: a request that comes with little time left needs one sooner.
        let after = if self.requests.is_empty() { STEP } else { (4.0 * self.settings.tick).clamp(1.0, 20.0) };
        if self.now >= self.next_timer || self.now + after < self.next_timer {
            self.next_timer = self.now + after - 0.5;
            actions.push(Action::Timer { after, token: 0 });
        }
    }

    /// Requests that wait: no attempt out and no answer yet. Favoured group first, then the other; within
    /// a group those that cost least by their estimates, then in turn.
    fn place_held(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_placement {
            return;
        }
        let held = self.requests.values().filter(|r| !r.closed && r.in_flight() == 0);
        let order = |r: &Request| {
            let behind = self.deferred_group == Some(self.classes[r.details.class.0].is_long);
            (r.over_quota || self.late(r), behind, (r.relative_size * 4.0).round() as u64)
        };
        let mut line: Vec<_> = held.map(|r| (order(r), r.received_at, r.details.id)).collect();
        self.next_placement = self.now + if line.len() > MANY { PLACE } else { 0.0 };
        line.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, _, id) in line {
            let Some(r) = self.requests.get(&id) else { continue };
            let why = match self.route(r) {
                Ok(engine) => {
                    self.send(id, &engine, actions);
                    continue;
                }
                Err(why) => why,
            };
            self.waits[r.details.class.0][why as usize] += u64::from(r.waiting_since == self.now);
            let expected = self.latency_at(r.details.class, LEVELS[self.bound]).0 * r.relative_size;
            let latency_objective = self.settings.classes[r.details.class.0].latency_objective;
            let cap = WAIT_LEAST.max(WAIT_SHARE * expected).max(WAIT_AIM * latency_objective);
            let hopeless = !r.attempts.is_empty() && !self.engines.values().any(|e| self.gate(r, e));
            // A stand-still may pass the deadline. The turn of a key is no queue: its wait begins there, and
            // what stands too far back to end in time is answered now.
            let turn = self.in_turn(r);
            let key = r.details.key.filter(|_| !turn).and_then(|k| self.keys.get(&k));
            let before = key.map_or(0, |k| k.queue.iter().take_while(|x| **x != id).count());
            let ends =
                self.now + 3.0 * self.settings.tick + self.longest_recent_pause + before as f64 * expected;
            if ends >= r.details.deadline || hopeless || turn && self.now - r.waiting_since >= cap {
                self.answer(id, expected, why, actions);
            } else if let Some(r) = self.requests.get_mut(&id).filter(|_| !turn) {
                r.waiting_since = self.now;
            }
        }
    }

    /// Attempts that are out: second copies, cancels, priorities, and the end of the client's patience.
    fn tend_running(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_attempt_check {
            return;
        }
        let ids: Vec<_> =
            self.requests.values().filter(|r| r.in_flight() > 0).map(|r| r.details.id).collect();
        self.next_attempt_check = self.now + if ids.len() > MANY { TEND } else { 0.0 };
        for id in ids {
            // The time-out at the deadline normally ends a request; this is for clocks that jump.
            let past = |r: &Request| self.now >= r.details.deadline + self.settings.answer_grace / 2.0;
            match self.requests.get(&id) {
                Some(r) if r.closed => self.stop_abandoned(id, actions),
                Some(r) if past(r) => self.answer(id, 0.0, BlockReason::Deadline, actions),
                Some(r) if self.in_vain(r) => self.answer(id, WAIT_LEAST, BlockReason::Late, actions),
                Some(r) => {
                    let priority = self.priority(r);
                    self.set_terms(id, r.memory_grant_mb, priority, actions);
                    self.second_try(id, actions);
                }
                None => {}
            }
        }
    }

    /// Late, and nothing is earned any more or its engine crawls. Guards against engines that are full of
    /// what nobody wants any more, and so never come to what is wanted.
    fn in_vain(&self, r: &Request) -> bool {
        let crawls =
            |a: &Attempt| a.in_flight && self.now - a.sent_at > CRAWL * self.alone(r).max(WAIT_LEAST);
        let nothing = self.settings.classes[r.details.class.0].late_weight_share <= 0.0;
        self.settings.may_cancel && self.late(r) && (nothing || r.attempts.iter().any(crawls))
    }

    /// What still runs for a request that is over serves nobody: the losing copy, or the work of a client
    /// that left and asked again. Guards against clients that leave early; harms nothing.
    fn stop_abandoned(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|_| self.settings.may_cancel) else { return };
        for (no, a) in r.attempts.iter_mut().enumerate().filter(|(_, a)| a.in_flight && !a.cancelled) {
            a.cancelled = true;
            actions.push(Action::Cancel { id, attempt: no as u32 });
        }
    }

    /// Short queries first; long ones lose rank as they age past what was expected, so that few runaways
    /// do not hold up the many; what is late already comes last.
    fn priority(&self, r: &Request) -> u8 {
        match (self.late(r), self.classes[r.details.class.0].is_long) {
            _ if !self.settings.priorities => 1,
            // All that reads its data set stands still there until it ends, and keeps its memory.
            _ if self.settings.classes[r.details.class.0].is_load => 3,
            (true, _) => 0,
            (_, long) => 3 - 2 * u8::from(long),
        }
    }

    /// A fresh try for what can still make the aim: a copy if it is overdue, in its place if it is stuck.
    fn second_try(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let Some((no, a)) = r.attempts.iter().enumerate().find(|(_, a)| a.in_flight) else { return };
        let class = r.details.class;
        let again =
            self.settings.classes[class.0].idempotency == Idempotency::Idempotent || self.settings.may_hedge;
        if r.in_flight() > 1
            || a.cancelled
            || !again
            || r.attempts.len() >= self.settings.max_attempts as usize
        {
            return;
        }
        let in_time = self.now - r.received_at + self.alone(r)
            < self.latency_objective(class, r.relative_size) * HEDGE_WITHIN;
        let ill = self.engines.get(&a.engine).is_none_or(ill);
        let overdue = self.now - a.sent_at > a.patience;
        let stuck =
            self.paused_for == 0.0 && self.now - a.sent_at > (STUCK * self.alone(r)).max(PATIENCE_LEAST);
        // Where all take long a move is more work for a full fleet, and moves add up to a storm.
        let stuck = stuck && self.fleet.slowdown < LEVELS[START_LEVEL];
        if !(in_time && self.retry_budget_left()) {
        } else if self.settings.may_hedge && (ill || overdue && !self.classes[class.0].is_long) {
            self.route(r).into_iter().for_each(|engine| self.send(id, &engine, actions));
        } else if self.settings.may_cancel && (ill && overdue || stuck) {
            actions.push(Action::Cancel { id, attempt: no as u32 });
            self.requests.entry(id).and_modify(|r| r.attempts[no].cancelled = true);
        }
    }

    fn set_terms(&mut self, id: RequestId, memory_mb: f64, priority: u8, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if priority != r.priority || memory_mb != r.memory_grant_mb {
            (r.priority, r.memory_grant_mb) = (priority, memory_mb);
            actions.push(Action::Terms { id, memory_mb, priority });
        }
    }

    /// The one place that sends.
    fn send(&mut self, id: RequestId, engine: &EngineId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(r), Some(e)) = (self.requests.get(&id), self.engines.get(engine)) else { return };
        if !self.gate(r, e) {
            return;
        }
        let class = r.details.class;
        let width = self.settings.classes[class.0].threads;
        let level = (e.own_threads + e.other_threads + width) / e.cores;
        let (mean, deviation) = self.latency_at(class, level);
        let patience = (mean + PATIENCE * deviation).max(PATIENCE_LEAST) * r.relative_size.max(0.5);
        let (first, timeout) = (r.attempts.is_empty(), r.details.deadline - now);
        let attempt = Attempt::new(engine.clone(), e.member.placement(), now, level, patience);
        let priority = self.priority(r);
        let most = self.settings.max_grant_share * e.memory_mb;
        let estimate = r.details.memory_mb.filter(|m| self.settings.grants && m.is_finite());
        let grant = estimate.map_or(0.0, |m| (m * self.classes[class.0].grant_factor).min(most));
        let (work, asked_data) = (self.work(class), r.details.data);
        self.set_terms(id, grant, priority, actions);
        self.requests.entry(id).and_modify(|r| r.attempts.push(attempt));
        // Back to the least, never under it: not every engine tells of spills.
        self.classes[class.0].grant_factor = (self.classes[class.0].grant_factor * 0.999).max(GRANT);

        if let Some(e) = self.engines.get_mut(engine) {
            e.own_threads += width;
            self.fleet.own_threads += width;
            e.in_flight += 1.0;
            e.recent_sends.push_back(SentWork { sent_at: now, work });
            e.recent_work += work;
            if let Some(d) = asked_data.filter(|_| self.settings.classes[class.0].is_load) {
                *e.own_loads.entry(d).or_default() += 1;
            }
        }
        if !first {
            self.retry_budget.retry(now);
        }
        actions.push(Action::Send { id, engine: engine.clone(), timeout });
    }

    /// The one place that gives final answers: a refusal where a retry is harmless, else a failure.
    fn answer(
        &mut self,
        id: RequestId,
        come_back: Milliseconds,
        why: BlockReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.closed) else { return };
        let may_have_run = r.may_have_run().next().is_some();
        let harmless =
            permission::may_reject(self.settings.classes[r.details.class.0].idempotency, may_have_run);
        r.closed = true;
        if harmless {
            let retry_after = come_back.max(WAIT_LEAST).min(self.settings.max_retry_after.max(0.0));
            actions.push(Action::Reject { id, retry_after, reason: why });
        } else {
            actions.push(Action::Fail { id });
        }
        self.forget(id);
    }

    /// Drops what nothing more can arrive for.
    fn forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.closed && r.in_flight() == 0) else { return };
        if let Some(key) = r.details.key.and_then(|k| self.keys.get_mut(&k)) {
            key.queue.retain(|x| *x != id);
        }
        self.requests.remove(&id);
    }

    /// Probes follow this gateway's own traffic, so that hundreds of idle ones cost the engines nothing.
    fn probe(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_check_health || self.health_check_credit < 1.0 {
            return;
        }
        let asked = |e: &Engine| e.checked_at.max(e.last_report_at.unwrap_or(NEVER));
        let quiet = |(_, e): &(_, &mut Engine)| e.is_in_aperture() && self.now - asked(e) > PROBE_EVERY;
        let mut line: Vec<_> = self.engines.iter_mut().filter(quiet).collect();
        line.sort_by(|(_, a), (_, b)| asked(a).total_cmp(&asked(b)).then(a.jitter.total_cmp(&b.jitter)));
        for (id, e) in line.into_iter().take(self.health_check_credit as usize) {
            e.checked_at = self.now;
            self.health_check_credit -= 1.0;
            actions.push(Action::CheckHealth { engine: id.clone() });
        }
    }
}

/// It fails, or what was sent there does not come back.
fn ill(e: &Engine) -> bool {
    e.ejected_until.is_some() || e.slowdown > LEVELS[LEVELS.len() - 1]
}

/// Probes that a request pays for.
fn probe_part(s: &Settings) -> f64 {
    (PROBE_COST / s.health_check_price.max(0.0)).min(1.0)
}

pub(crate) fn band(level: f64) -> usize {
    ((level / LEVELS[0]).round().clamp(1.0, LEVELS.len() as f64) as usize).saturating_sub(1)
}

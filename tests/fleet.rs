//! Two hundred gateway cores with one fleet of simulated engines, in virtual time and with a fixed seed. Sums over all gateways,
//! which no gateway can observe alone, keep the rules while engines drain, join in slow start or stop answering, and while
//! gateways are killed.

mod common;
mod simulated_engine;

use common::settings;
use simulated_engine::{ExecutionId, SimulatedEngine, Work, CORES, STEP};
use starlingplank::core::{
    Answer, AttemptEnd, AttemptId, ClientRequest, Core, Effect, Endpoint, Event, Send, Statement,
};
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

const SEED: u64 = 5;
const GATEWAYS: usize = 200;
/// Number of engines at the start. The first one drains; one more joins in slow start.
const ENGINES: usize = 24;
const DRAINING_ENGINE: usize = 0;
const SILENT_ENGINE: usize = 3;
const STARTING_ENGINE: usize = ENGINES;

const BEGIN: Milliseconds = 100_000.0;
const BUSY_UNTIL: Milliseconds = BEGIN + 3_000.0;
const DRAIN_AT: Milliseconds = BEGIN + 4_000.0;
const STARTED_AT: Milliseconds = BEGIN + 5_000.0;
const KILL_AT: Milliseconds = BEGIN + 8_000.0;
const SILENCE: Range<Milliseconds> = BEGIN + 10_000.0..BEGIN + 12_000.0;
const LAST_REQUEST_AT: Milliseconds = BEGIN + 14_000.0;
const END: Milliseconds = BEGIN + 35_000.0;

/// Maximum time until a change of the endpoint list reaches a gateway.
const MAX_NOTIFICATION_DELAY: Milliseconds = 1_500.0;
const DRAIN_GRACE: Milliseconds = 2_000.0;
/// The retry budget: a minimum number of retries and a ratio of the requests, within a window.
const MIN_RETRIES: f64 = 2.0;
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Milliseconds = 10_000.0;
/// The slow start: the share of the capacity that an engine has at first, the time until it has all, and the multiple of the
/// capacity above which work that is sent within a window makes the engine collapse.
const INITIAL_SLOW_START_SHARE: f64 = 0.3;
const SLOW_START_DURATION: Milliseconds = 15_000.0;
const COLLAPSE_MULTIPLE: f64 = 3.0;
const COLLAPSE_WINDOW: Milliseconds = 2_000.0;

/// A request that a running gateway received.
struct ReceivedRequest {
    work: f64,
    threads: f64,
    deadline: Milliseconds,
    in_flight: u32,
    answers: u32,
}

struct Gateway {
    core: Core,
    incarnation: u32,
    events: Vec<Event>,
    requests: BTreeMap<RequestId, ReceivedRequest>,
    /// Time at which the gateway receives each change of the list, and the number of changes received so far.
    notified_at: [Milliseconds; 2],
    notified: usize,
    received_at: Vec<Milliseconds>,
    retried_at: Vec<Milliseconds>,
}

impl Gateway {
    fn start(index: usize, seed: u64, now: Milliseconds, notified_at: [Milliseconds; 2]) -> Self {
        let settings = Settings {
            seed,
            gateways: GATEWAYS,
            gateway_index: Some(index as u64),
            retry_budget: Some(RetryBudgetSettings {
                min_retries: MIN_RETRIES,
                retry_ratio: RETRY_RATIO,
                window: RETRY_WINDOW,
            }),
            drain_grace: DRAIN_GRACE,
            may_cancel: true,
            may_check_health: true,
            ..settings()
        };
        let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
        let notified = notified_at.iter().filter(|at| **at <= now).count();
        Self {
            core: Core::new(settings, limits, now).expect("consistent settings"),
            incarnation: 0,
            events: vec![list_event(notified)],
            requests: BTreeMap::new(),
            notified_at,
            notified,
            received_at: Vec::new(),
            retried_at: Vec::new(),
        }
    }

    /// Adds the events of the list changes that are due.
    fn receive_lists(&mut self, now: Milliseconds) {
        while self.notified < self.notified_at.len() && now >= self.notified_at[self.notified] {
            self.notified += 1;
            self.events.push(list_event(self.notified));
        }
    }

    fn receive_request(&mut self, details: RequestDetails, request: ReceivedRequest, now: Milliseconds) {
        self.received_at.push(now);
        self.requests.insert(details.id, request);
        let statement = Rc::new(Statement::default());
        self.events.push(Event::RequestReceived(ClientRequest { details, statement }));
    }

    /// Handles the gateway's pending events and due timers, and returns the effects.
    fn handle_events(&mut self, now: Milliseconds) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.events.is_empty() && self.core.next_due().is_none_or(|at| at > now) {
            return effects;
        }
        for event in self.events.drain(..).chain([Event::TimersDue, Event::RunDecisionCycle]) {
            self.core.handle(now, event, &mut effects);
        }
        effects
    }

    fn attempt_ended(&mut self, attempt: AttemptId) {
        self.requests.entry(attempt.request).and_modify(|request| request.in_flight -= 1);
    }

    /// Checks that the gateway's retries stayed within the retry budget at all times.
    fn check_retry_budget(&self) {
        for (index, at) in self.retried_at.iter().enumerate() {
            let retries = self.retried_at[..=index].iter().filter(|time| **time > at - RETRY_WINDOW).count();
            let is_recent = |time: &&Milliseconds| **time > at - RETRY_WINDOW && *time <= at;
            let requests = self.received_at.iter().filter(is_recent).count();
            let budget = MIN_RETRIES + RETRY_RATIO * requests as f64;
            assert!(retries as f64 <= budget, "{retries} retries for {requests} received requests");
        }
    }
}

fn engine_id(number: usize) -> EngineId {
    EngineId(format!("s-{number:02}").into())
}

/// Returns the endpoint list after a number of changes: 0 for the list at the start, 1 once the first engine drains, 2 once the
/// new engine has also joined.
fn list_event(changes: usize) -> Event {
    let engine = |number: usize| {
        let drains = number == DRAINING_ENGINE && changes > 0;
        Endpoint {
            member: Member {
                engine: engine_id(number),
                zone: Some(ZoneId(number % 2)),
                machine_type: Some(MachineTypeId(0)),
                cell: 0,
                availability: if drains { Availability::Draining } else { Availability::Live },
                started: (number == STARTING_ENGINE).then_some(STARTED_AT),
            },
            address: "127.0.0.1:1".parse().expect("an address"),
        }
    };
    let engines = 0..ENGINES + usize::from(changes > 1);
    Event::EndpointList { version: 1 + changes as u64, endpoints: engines.map(engine).collect() }
}

/// Returns the share of its capacity that the engine in slow start has.
fn slow_start_share(now: Milliseconds) -> f64 {
    INITIAL_SLOW_START_SHARE + (1.0 - INITIAL_SLOW_START_SHARE) * (now - STARTED_AT) / SLOW_START_DURATION
}

/// Work that was sent to the engine in slow start.
#[derive(Clone, Copy)]
struct SentWork {
    at: Milliseconds,
    work: f64,
}

/// The gateways and the engines.
struct Fleet {
    rng: fastrand::Rng,
    gateways: Vec<Gateway>,
    engines: BTreeMap<EngineId, SimulatedEngine>,
    next_request: u64,
    sent_to_starting: Vec<SentWork>,
    /// Maximum number of threads per core during the busy period at the start.
    max_initial_threads_per_core: f64,
    sends: usize,
    served: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut rng = fastrand::Rng::with_seed(SEED);
        let mut notified_at = || {
            let drain = DRAIN_AT + MAX_NOTIFICATION_DELAY * rng.f64();
            [drain, STARTED_AT + MAX_NOTIFICATION_DELAY * rng.f64()]
        };
        let gateway = |index| Gateway::start(index, index as u64, BEGIN, notified_at());
        let gateways = (0..GATEWAYS).map(gateway).collect();
        let engine = |number| (engine_id(number), SimulatedEngine::default());
        Self {
            gateways,
            rng,
            engines: (0..=STARTING_ENGINE).map(engine).collect(),
            next_request: 1,
            sent_to_starting: Vec::new(),
            max_initial_threads_per_core: 0.0,
            sends: 0,
            served: 0,
        }
    }

    fn run(&mut self) {
        let mut now = BEGIN;
        while now < END {
            self.step(now);
            now += STEP;
        }
    }

    fn step(&mut self, now: Milliseconds) {
        if now == KILL_AT {
            self.kill_most_gateways(now);
        }
        self.advance_engines(now);
        if now < BUSY_UNTIL {
            self.measure_initial_threads();
        }
        for index in 0..GATEWAYS {
            self.gateways[index].receive_lists(now);
            self.generate_request(index, now);
            for effect in self.gateways[index].handle_events(now) {
                self.perform(index, effect, now);
            }
        }
    }

    /// Kills and restarts seven gateways of ten.
    fn kill_most_gateways(&mut self, now: Milliseconds) {
        for index in (0..GATEWAYS).filter(|index| index % 10 < 7) {
            let old = &self.gateways[index];
            let incarnation = old.incarnation + 1;
            let restarted = Gateway::start(index, 1_000 + index as u64, now, old.notified_at);
            self.gateways[index] = Gateway { incarnation, ..restarted };
            for engine in self.engines.values_mut() {
                engine.drop_executions_of(index);
            }
        }
    }

    fn advance_engines(&mut self, now: Milliseconds) {
        for (number, engine) in self.engines.values_mut().enumerate() {
            if number == SILENT_ENGINE && SILENCE.contains(&now) {
                continue;
            }
            let is_starting = number == STARTING_ENGINE;
            let share =
                if is_starting { slow_start_share(now).clamp(INITIAL_SLOW_START_SHARE, 1.0) } else { 1.0 };
            let util = Some((engine.utilization * 20.0).round() / 20.0);
            for finished in engine.advance(CORES * share) {
                let ExecutionId { gateway, incarnation, attempt } = finished.id;
                let gateway = &mut self.gateways[gateway];
                if gateway.incarnation == incarnation {
                    let report = Some(LoadReport { util, ..LoadReport::default() });
                    let end = AttemptEnd {
                        work: Some(finished.work),
                        report,
                        ..AttemptEnd::from_outcome(Outcome::Ok)
                    };
                    gateway.events.push(Event::AttemptEnded(attempt, end));
                    gateway.attempt_ended(attempt);
                }
            }
        }
    }

    fn measure_initial_threads(&mut self) {
        let threads: f64 = self.engines.values().map(SimulatedEngine::threads).sum();
        let threads_per_core = threads / (ENGINES as f64 * CORES);
        self.max_initial_threads_per_core = self.max_initial_threads_per_core.max(threads_per_core);
    }

    /// Generates a request at random. Each gateway receives three queries a second, one in ten of them long, which takes 0.6 of the
    /// fleet's capacity. During the busy period at the start, the load is 1.5 times the capacity.
    fn generate_request(&mut self, index: usize, now: Milliseconds) {
        let rate = if now < BUSY_UNTIL { 7.5 } else { 3.0 };
        if now >= LAST_REQUEST_AT || self.rng.f64() >= rate * STEP / 1_000.0 {
            return;
        }
        let is_long = self.rng.f64() < 0.1;
        let (work, threads, timeout) = if is_long { (1_200.0, 4.0, 12_000.0) } else { (80.0, 1.0, 2_000.0) };
        let work = work * (0.5 + self.rng.f64());
        let deadline = now + timeout;
        let details = RequestDetails {
            id: RequestId(self.next_request),
            class: ClassId(usize::from(is_long)),
            tenant: None,
            key: None,
            deadline,
            work: Some(work),
            memory_mb: None,
            data: None,
            is_retry: false,
        };
        self.next_request += 1;
        let request = ReceivedRequest { work, threads, deadline, in_flight: 0, answers: 0 };
        self.gateways[index].receive_request(details, request, now);
    }

    fn perform(&mut self, index: usize, effect: Effect, now: Milliseconds) {
        match effect {
            Effect::Send(send) => self.send(index, &send, now),
            Effect::AbortAttempt { attempt, engine, .. } => {
                let id = self.execution_id(index, attempt);
                if self.engines.get_mut(&engine).expect("listed").abort(id) {
                    self.gateways[index].attempt_ended(attempt);
                }
            }
            Effect::Answer(request, answer) => self.answer(index, request, &answer, now),
            Effect::CheckHealth { number, engine, .. } => self.check_health(index, number, &engine, now),
            _ => {}
        }
    }

    fn execution_id(&self, gateway: usize, attempt: AttemptId) -> ExecutionId {
        ExecutionId { gateway, incarnation: self.gateways[gateway].incarnation, attempt }
    }

    fn send(&mut self, index: usize, send: &Send, now: Milliseconds) {
        let id = self.execution_id(index, send.id);
        let gateway = &mut self.gateways[index];
        let grace_ends = gateway.notified_at[0] + DRAIN_GRACE;
        let is_past_grace = send.engine == engine_id(DRAINING_ENGINE) && now > grace_ends;
        assert!(!is_past_grace, "{now}: sent to a draining engine after the drain grace");
        let request = gateway.requests.get_mut(&send.id.request).expect("received");
        request.in_flight += 1;
        let state = (request.in_flight, request.answers);
        assert_eq!(state, (1, 0), "{now}: two attempts in flight, or an attempt after the answer");
        if send.id.number > 0 {
            gateway.retried_at.push(now);
        }
        if send.engine == engine_id(STARTING_ENGINE) {
            self.sent_to_starting.push(SentWork { at: now, work: request.work });
        }
        self.sends += 1;
        let work = Work { threads: request.threads, work: request.work };
        self.engines.get_mut(&send.engine).expect("listed").execute(id, work);
    }

    fn answer(&mut self, index: usize, request: RequestId, answer: &Answer, now: Milliseconds) {
        let request = self.gateways[index].requests.get_mut(&request).expect("received");
        request.answers += 1;
        assert!(now <= request.deadline + 20.0, "answered {} ms late", now - request.deadline);
        self.served += u64::from(matches!(answer, Answer::Served(_)));
    }

    fn check_health(&mut self, index: usize, number: u64, engine: &EngineId, now: Milliseconds) {
        if *engine == engine_id(SILENT_ENGINE) && SILENCE.contains(&now) {
            return;
        }
        let util = Some(self.engines[engine].utilization);
        let report = Some(LoadReport { util, ..LoadReport::default() });
        self.gateways[index].events.push(Event::HealthChecked { number, succeeded: true, report });
    }

    /// Checks that the work sent to the engine in slow start within any window stays below the limit at which it collapses.
    fn check_slow_start_budget(&self) {
        let work_within = |from: Milliseconds| -> f64 {
            let within = self
                .sent_to_starting
                .iter()
                .filter(|sent| sent.at >= from && sent.at < from + COLLAPSE_WINDOW);
            within.map(|sent| sent.work).sum()
        };
        for sent in &self.sent_to_starting {
            let share = slow_start_share(sent.at).min(1.0);
            let budget = COLLAPSE_MULTIPLE * share * CORES * COLLAPSE_WINDOW;
            let work = work_within(sent.at);
            assert!(
                work <= budget,
                "the engine in slow start received {work:.0} core ms, the limit is {budget:.0}"
            );
        }
    }
}

/// Guards against limits that hold for each gateway but are exceeded by the sum: overload while all gateways start, work for an
/// engine in slow start, sends to a draining engine, and retries.
#[test]
fn two_hundred_gateways_together_keep_drains_slow_start_and_retry_budgets() {
    let mut fleet = Fleet::new();
    fleet.run();
    let requests = fleet.gateways.iter().flat_map(|gateway| gateway.requests.values());
    let unanswered = requests.filter(|request| request.answers != 1).count();
    assert_eq!(unanswered, 0, "each request gets exactly one answer");
    for gateway in &fleet.gateways {
        gateway.check_retry_budget();
    }
    fleet.check_slow_start_budget();
    // If each gateway assumes at its start that it sends most of the traffic, there are 15 threads per core, and 1,104 requests
    // are served.
    let threads = fleet.max_initial_threads_per_core;
    assert!(threads < 5.0, "{threads:.2} threads per core while all gateways start");
    let (to_starting, sends, served) = (fleet.sent_to_starting.len(), fleet.sends, fleet.served);
    assert!(
        to_starting > 0 && sends > 4_000,
        "{to_starting} sends to the engine in slow start, {sends} in total"
    );
    assert!(served > 5_400, "{served} of {} requests were served", fleet.next_request);
}

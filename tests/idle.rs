//! The ordinary case of idle engines, in virtual time: no request is rejected, and none waits for a decision cycle.

mod common;

use common::settings;
use rstest::rstest;
use starlingplank::core::{
    Answer, AttemptEnd, AttemptId, ClientRequest, Core, Effect, Endpoint, Event, Statement,
};
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;
use std::rc::Rc;

/// A time of the simulation, in nanoseconds from its start.
type Nanoseconds = u64;

/// The reducer's time at the start, in milliseconds.
const START: Milliseconds = 1_000_000.0;
const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;
/// The requests of all clients together, besides the first of each.
const REQUESTS: u64 = 100_000 / 12;
const CLIENT_TIMEOUT: Milliseconds = 2_900.0;
/// The time that engines take to answer.
const ANSWER_TIME: Range<Nanoseconds> = 100_000..500_000;
/// The time that a step of the reducer takes.
const STEP_TIME: Nanoseconds = 20_000;
/// The time between an answer and the client's next request, and before the first ones.
const THINK_TIME: Nanoseconds = 20_000;
const FIRST_REQUEST_AFTER: Nanoseconds = 10_000;
/// An answer takes half a millisecond; a request that takes longer than this has waited.
const MAX_LATENCY: Nanoseconds = 30_000_000;

/// What happens next. Of events at the same time the one that was scheduled first comes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Request { client: usize },
    AttemptEnd { request: u64, attempt: u32 },
    HealthChecked(u64),
    TimersDue,
}

/// An event with its time and its number.
type Scheduled = Reverse<(Nanoseconds, u64, Next)>;

/// A request in flight.
struct OpenRequest {
    client: usize,
    began_at: Nanoseconds,
}

/// A reducer with its clients and engines.
struct Simulation {
    core: Core,
    now: Nanoseconds,
    queue: BinaryHeap<Scheduled>,
    last_number: u64,
    rng: fastrand::Rng,
    open: BTreeMap<u64, OpenRequest>,
    last_request: u64,
    /// Requests that clients have still to send.
    left: u64,
    served: u64,
    rejected: u64,
    max_latency: Nanoseconds,
    /// Whether engines report their load.
    reports: bool,
    /// When the next event for timers is due.
    timers_at: Nanoseconds,
}

impl Simulation {
    fn new(core: Core, seed: u64, reports: bool) -> Self {
        Self {
            core,
            now: 0,
            queue: BinaryHeap::new(),
            last_number: 0,
            rng: fastrand::Rng::with_seed(seed),
            open: BTreeMap::new(),
            last_request: 0,
            left: REQUESTS,
            served: 0,
            rejected: 0,
            max_latency: 0,
            reports,
            timers_at: 0,
        }
    }

    fn schedule(&mut self, after: Nanoseconds, next: Next) {
        self.last_number += 1;
        self.queue.push(Reverse((self.now + after, self.last_number, next)));
    }

    fn answer_time(&mut self) -> Nanoseconds {
        self.rng.u64(ANSWER_TIME)
    }

    /// The reducer's time.
    fn core_now(&self) -> Milliseconds {
        START + self.now as f64 / NANOSECONDS_PER_MILLISECOND
    }

    /// Passes an event to the reducer and performs its effects.
    fn step(&mut self, event: Event) {
        let now = self.core_now();
        let mut effects = Vec::new();
        for event in [event, Event::TimersDue, Event::RunDecisionCycle] {
            self.core.handle(now, event, &mut effects);
        }
        self.core.deduct_decision_time(STEP_TIME as f64 / NANOSECONDS_PER_MILLISECOND);
        for effect in effects {
            self.perform(effect);
        }
        self.schedule_timers();
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send(send) => {
                let AttemptId { request, number } = send.id;
                let after = self.answer_time();
                self.schedule(after, Next::AttemptEnd { request: request.0, attempt: number });
            }
            Effect::CheckHealth { number, .. } => {
                let after = self.answer_time();
                self.schedule(after, Next::HealthChecked(number));
            }
            Effect::Answer(request, answer) => self.answer(request, &answer),
            _ => {}
        }
    }

    fn answer(&mut self, request: RequestId, answer: &Answer) {
        let OpenRequest { client, began_at } = self.open.remove(&request.0).expect("open");
        self.max_latency = self.max_latency.max(self.now - began_at);
        match answer {
            Answer::Served(_) => self.served += 1,
            _ => self.rejected += 1,
        }
        if self.left > 0 {
            self.left -= 1;
            self.schedule(THINK_TIME, Next::Request { client });
        }
    }

    fn schedule_timers(&mut self) {
        let Some(due) = self.core.next_due() else { return };
        let due = ((due - START).max(0.0) * NANOSECONDS_PER_MILLISECOND) as Nanoseconds + 1;
        if due > self.now && (due < self.timers_at || self.timers_at <= self.now) {
            self.timers_at = due;
            self.schedule(due - self.now, Next::TimersDue);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, next))) = self.queue.pop() {
            self.now = at;
            match next {
                Next::Request { client } => self.request(client),
                Next::AttemptEnd { request, attempt } => self.end_attempt(request, attempt),
                Next::HealthChecked(number) => {
                    self.step(Event::HealthChecked { number, succeeded: true, report: None });
                }
                // The module's own timers go on forever after the last answer.
                Next::TimersDue if self.open.is_empty() && self.left == 0 => {}
                Next::TimersDue => self.step(Event::TimersDue),
            }
        }
    }

    fn request(&mut self, client: usize) {
        self.last_request += 1;
        let id = self.last_request;
        self.open.insert(id, OpenRequest { client, began_at: self.now });
        let details = RequestDetails {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            key: None,
            deadline: self.core_now() + CLIENT_TIMEOUT,
            work: None,
            memory_mb: None,
            data: None,
            is_retry: false,
        };
        let statement = Rc::new(Statement::default());
        self.step(Event::RequestReceived(ClientRequest { details, statement }));
    }

    fn end_attempt(&mut self, request: u64, attempt: u32) {
        let report = self.reports.then(|| {
            let util = Some(self.rng.f64() * 0.2);
            LoadReport { util, ..LoadReport::default() }
        });
        let id = AttemptId { request: RequestId(request), number: attempt };
        self.step(Event::AttemptEnded(id, AttemptEnd { report, ..AttemptEnd::from_outcome(Outcome::Ok) }));
    }
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        member: Member {
            engine: EngineId(format!("e-{number}").into()),
            zone: Some(ZoneId(0)),
            machine_type: Some(MachineTypeId(0)),
            cell: 0,
            availability: Availability::Live,
            started: None,
        },
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

#[rstest]
fn idle_engines_refuse_nobody_and_nobody_waits_for_a_turn(
    #[values(1, 4, 16)] clients: usize,
    #[values(2, 8)] engines: usize,
    #[values(true, false)] reports: bool,
) {
    let settings = Settings { gateways: 1, may_check_health: true, may_cancel: true, ..settings() };
    let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
    let core = Core::new(settings, limits, START).expect("consistent settings");
    let mut simulation = Simulation::new(core, clients as u64, reports);
    simulation.step(Event::EndpointList { version: 1, endpoints: (0..engines).map(endpoint).collect() });
    for client in 0..clients {
        simulation.schedule(FIRST_REQUEST_AFTER, Next::Request { client });
    }
    simulation.run();
    let expected = REQUESTS + clients as u64;
    let rejections = &simulation.core.counts()[0].rejections;
    assert_eq!((simulation.served, simulation.rejected), (expected, 0), "{rejections:?}");
    let waits = simulation.core.blocked_counts()[0];
    assert!(simulation.max_latency <= MAX_LATENCY, "{} ns, waits {waits:?}", simulation.max_latency);
}

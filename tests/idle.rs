//! Requests to idle engines, in virtual time: none is rejected, and none waits for a decision cycle.

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

/// A duration, or a time of the simulation counted from its start, in nanoseconds.
type Nanoseconds = u64;

/// The reducer's time at the start of the simulation.
const START: Milliseconds = 1_000_000.0;
const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;
/// Number of requests of all clients together, without the first request of each.
const REQUESTS: u64 = 100_000 / 12;
const CLIENT_TIMEOUT: Milliseconds = 2_900.0;
/// Range of the time that engines take to answer.
const ANSWER_TIME: Range<Nanoseconds> = 100_000..500_000;
/// Processing time of a step of the reducer.
const STEP_TIME: Nanoseconds = 20_000;
/// Time between an answer and the client's next request.
const THINK_TIME: Nanoseconds = 20_000;
/// Time before the first request of each client.
const FIRST_REQUEST_AFTER: Nanoseconds = 10_000;
/// Maximum latency of a request that did not wait for a decision cycle. Engines answer within half a millisecond.
const MAX_LATENCY: Nanoseconds = 30_000_000;

/// A scheduled event of the simulation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Request { client: usize },
    AttemptEnd { request: u64, attempt: u32 },
    HealthChecked(u64),
    TimersDue,
}

/// An event with its time and its number. Events at the same time are processed in the order of their numbers, in which they
/// were scheduled.
type Scheduled = Reverse<(Nanoseconds, u64, SimulationEvent)>;

/// A request in flight.
struct OpenRequest {
    client: usize,
    started_at: Nanoseconds,
}

/// A reducer with simulated clients and engines.
struct Simulation {
    core: Core,
    now: Nanoseconds,
    queue: BinaryHeap<Scheduled>,
    last_number: u64,
    rng: fastrand::Rng,
    open: BTreeMap<u64, OpenRequest>,
    last_request: u64,
    /// Number of requests that clients have not sent yet.
    unsent_requests: u64,
    served: u64,
    rejected: u64,
    max_latency: Nanoseconds,
    /// True if engines attach load reports to their answers.
    reports_load: bool,
    /// Time of the next scheduled [`SimulationEvent::TimersDue`].
    next_timers_at: Nanoseconds,
}

impl Simulation {
    fn new(core: Core, seed: u64, reports_load: bool) -> Self {
        Self {
            core,
            now: 0,
            queue: BinaryHeap::new(),
            last_number: 0,
            rng: fastrand::Rng::with_seed(seed),
            open: BTreeMap::new(),
            last_request: 0,
            unsent_requests: REQUESTS,
            served: 0,
            rejected: 0,
            max_latency: 0,
            reports_load,
            next_timers_at: 0,
        }
    }

    fn schedule(&mut self, after: Nanoseconds, event: SimulationEvent) {
        self.last_number += 1;
        self.queue.push(Reverse((self.now + after, self.last_number, event)));
    }

    fn draw_answer_time(&mut self) -> Nanoseconds {
        self.rng.u64(ANSWER_TIME)
    }

    /// Returns the current time on the reducer's clock.
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
                let after = self.draw_answer_time();
                self.schedule(after, SimulationEvent::AttemptEnd { request: request.0, attempt: number });
            }
            Effect::CheckHealth { number, .. } => {
                let after = self.draw_answer_time();
                self.schedule(after, SimulationEvent::HealthChecked(number));
            }
            Effect::Answer(request, answer) => self.answer(request, &answer),
            _ => {}
        }
    }

    fn answer(&mut self, request: RequestId, answer: &Answer) {
        let OpenRequest { client, started_at } = self.open.remove(&request.0).expect("the request is open");
        self.max_latency = self.max_latency.max(self.now - started_at);
        match answer {
            Answer::Served(_) => self.served += 1,
            _ => self.rejected += 1,
        }
        if self.unsent_requests > 0 {
            self.unsent_requests -= 1;
            self.schedule(THINK_TIME, SimulationEvent::Request { client });
        }
    }

    fn schedule_timers(&mut self) {
        let Some(due) = self.core.next_due() else { return };
        let due = ((due - START).max(0.0) * NANOSECONDS_PER_MILLISECOND) as Nanoseconds + 1;
        if due > self.now && (due < self.next_timers_at || self.next_timers_at <= self.now) {
            self.next_timers_at = due;
            self.schedule(due - self.now, SimulationEvent::TimersDue);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            match event {
                SimulationEvent::Request { client } => self.request(client),
                SimulationEvent::AttemptEnd { request, attempt } => self.end_attempt(request, attempt),
                SimulationEvent::HealthChecked(number) => {
                    self.step(Event::HealthChecked { number, succeeded: true, report: None });
                }
                // The decision module's periodic timers never end, so they are ignored after the last answer.
                SimulationEvent::TimersDue if self.open.is_empty() && self.unsent_requests == 0 => {}
                SimulationEvent::TimersDue => self.step(Event::TimersDue),
            }
        }
    }

    fn request(&mut self, client: usize) {
        self.last_request += 1;
        let id = self.last_request;
        self.open.insert(id, OpenRequest { client, started_at: self.now });
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
        let report = self.reports_load.then(|| {
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
fn requests_to_idle_engines_are_neither_rejected_nor_delayed_by_decision_cycles(
    #[values(1, 4, 16)] clients: usize,
    #[values(2, 8)] engines: usize,
    #[values(true, false)] reports_load: bool,
) {
    let settings = Settings { gateways: 1, may_check_health: true, may_cancel: true, ..settings() };
    let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
    let core = Core::new(settings, limits, START).expect("consistent settings");
    let mut simulation = Simulation::new(core, clients as u64, reports_load);
    simulation.step(Event::EndpointList { version: 1, endpoints: (0..engines).map(endpoint).collect() });
    for client in 0..clients {
        simulation.schedule(FIRST_REQUEST_AFTER, SimulationEvent::Request { client });
    }
    simulation.run();
    let expected = REQUESTS + clients as u64;
    let rejections = &simulation.core.counts()[0].rejections;
    assert_eq!((simulation.served, simulation.rejected), (expected, 0), "{rejections:?}");
    let waits = simulation.core.blocked_counts()[0];
    assert!(simulation.max_latency <= MAX_LATENCY, "{} ns, waits {waits:?}", simulation.max_latency);
}

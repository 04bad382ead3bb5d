//! The ordinary path when nothing is crowded, in virtual time: nobody is refused, and nobody waits for a turn.

mod common;

use common::settings;
use rstest::rstest;
use starlingplank::core::{
    Answer, AttemptEnd, AttemptId, ClientRequest, Core, Effect, Endpoint, Event, Statement,
};
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

/// What is to come: at that nanosecond, in that order.
type Due = std::cmp::Reverse<(u64, u64, Next)>;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Ask(usize),
    End(u64, u32),
    Probed(u64),
    Clock,
}

struct World {
    core: Core,
    now: u64,
    queue: BinaryHeap<Due>,
    order: u64,
    rng: fastrand::Rng,
    asked: u64,
    left: u64,
    refused: u64,
    served: u64,
    longest: u64,
    began: BTreeMap<u64, u64>,
    /// Whose request it is.
    whose: BTreeMap<u64, usize>,
    reports: bool,
    /// When the next look at the clock is due.
    clock: u64,
}

impl World {
    fn at(&mut self, after: u64, next: Next) {
        self.order += 1;
        self.queue.push(std::cmp::Reverse((self.now + after, self.order, next)));
    }

    fn answer_time(&mut self) -> u64 {
        self.rng.u64(100_000..500_000)
    }

    fn step(&mut self, event: Event) {
        let now = 1_000_000.0 + self.now as f64 / 1e6;
        let mut effects = Vec::new();
        for event in [event, Event::TimersDue, Event::RunDecisionCycle] {
            self.core.handle(now, event, &mut effects);
        }
        // A turn takes 20 us of the thread.
        self.core.deduct_decision_time(0.02);
        for effect in effects {
            match effect {
                Effect::Send(send) => {
                    let after = self.answer_time();
                    self.at(after, Next::End(send.id.request.0, send.id.number));
                }
                Effect::CheckHealth { number: tag, .. } => {
                    let after = self.answer_time();
                    self.at(after, Next::Probed(tag));
                }
                Effect::Answer(id, answer) => {
                    let took = self.now - self.began.remove(&id.0).expect("asked");
                    self.longest = self.longest.max(took);
                    match answer {
                        Answer::Served(_) => self.served += 1,
                        _ => self.refused += 1,
                    }
                    let client = self.whose.remove(&id.0).expect("asked");
                    if self.left > 0 {
                        self.left -= 1;
                        self.at(20_000, Next::Ask(client));
                    }
                }
                _ => {}
            }
        }
        if let Some(due) = self.core.next_due() {
            let due = ((due - 1_000_000.0).max(0.0) * 1e6) as u64 + 1;
            if due > self.now && (due < self.clock || self.clock <= self.now) {
                self.clock = due;
                self.at(due - self.now, Next::Clock);
            }
        }
    }

    fn run(&mut self) {
        while let Some(std::cmp::Reverse((at, _, next))) = self.queue.pop() {
            self.now = at;
            match next {
                Next::Ask(client) => {
                    self.asked += 1;
                    let id = self.asked;
                    self.began.insert(id, self.now);
                    self.whose.insert(id, client);
                    let now = 1_000_000.0 + self.now as f64 / 1e6;
                    let asked = RequestDetails {
                        id: RequestId(id),
                        class: ClassId(0),
                        tenant: None,
                        key: None,
                        deadline: now + 2_900.0,
                        work: None,
                        memory_mb: None,
                        data: None,
                        is_retry: false,
                    };
                    self.step(Event::RequestReceived(ClientRequest {
                        details: asked,
                        statement: Rc::new(Statement::default()),
                    }));
                }
                Next::End(id, attempt) => {
                    let report = self
                        .reports
                        .then(|| LoadReport { util: Some(self.rng.f64() * 0.2), ..LoadReport::default() });
                    self.step(Event::AttemptEnded(
                        AttemptId { request: RequestId(id), number: attempt },
                        AttemptEnd { report, ..AttemptEnd::plain(Outcome::Ok) },
                    ));
                }
                Next::Probed(tag) => self.step(Event::HealthChecked(tag, true, None)),
                // Once all is answered the module's own timers go on for ever.
                Next::Clock if self.began.is_empty() && self.left == 0 => {}
                Next::Clock => self.step(Event::TimersDue),
            }
        }
    }
}

#[rstest]
fn idle_engines_refuse_nobody_and_nobody_waits_for_a_turn(
    #[values(1, 4, 16)] clients: usize,
    #[values(2, 8)] engines: usize,
    #[values(true, false)] reports: bool,
) {
    let s = Settings { gateways: 1, may_check_health: true, may_cancel: true, ..settings() };
    let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
    let queries = 100_000 / 12;
    let mut world = World {
        core: Core::new(s, limits, 1_000_000.0).expect("sound"),
        now: 0,
        queue: BinaryHeap::new(),
        order: 0,
        rng: fastrand::Rng::with_seed(clients as u64),
        asked: 0,
        left: queries,
        refused: 0,
        served: 0,
        longest: 0,
        began: BTreeMap::new(),
        whose: BTreeMap::new(),
        reports,
        clock: 0,
    };
    let endpoint = |n: usize| Endpoint {
        member: Member {
            engine: EngineId(format!("e-{n}").into()),
            zone: Some(ZoneId(0)),
            kind: Some(KindId(0)),
            cell: 0,
            availability: Availability::Live,
            started: None,
        },
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    world.step(Event::EndpointList { version: 1, endpoints: (0..engines).map(endpoint).collect() });
    (0..clients).for_each(|c| world.at(10_000, Next::Ask(c)));
    world.run();
    let all = queries + clients as u64;
    assert_eq!((world.served, world.refused), (all, 0), "{:?}", world.core.counts()[0].rejections);
    // An answer takes half a millisecond at most; what is more was waited for here.
    let waited = world.core.waits()[0];
    assert!(world.longest <= 30_000_000, "{} ns, waits {waited:?}", world.longest);
}

//! Randomized run of one gateway with its clients and engines.

use crate::checker::{AttemptResult, Checker};
use crate::common::{engine, incoming, member};
use crate::settings::{draw_settings, RandomSettings};
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

/// Time between two decision cycles.
const STEP: Milliseconds = 5.0;
/// Number of decision cycles of a run. After the last request the run continues beyond the longest deadline, 5,050 ms later.
const CYCLES: u32 = 3_100;
/// First cycle in which no request arrives.
const LAST_REQUEST_CYCLE: u32 = 2_000;
/// Cycle in which the gateway is killed and restarts, in every third run.
const RESTART_CYCLE: u32 = 1_200;
const ENGINES: usize = 6;

/// Numbers of received requests and of sent attempts in a run.
pub(crate) struct RunTotals {
    pub received: usize,
    pub sent: usize,
}

/// State of a run.
pub(crate) struct RandomRun {
    rng: fastrand::Rng,
    settings: Settings,
    reports_load: bool,
    balancer: Balancer,
    checker: Checker,
    /// Share of successful attempts among those that end before their timeout.
    ok_share: f64,
    next_request: u64,
}

impl RandomRun {
    /// Performs the run of a seed. Panics if a rule is broken.
    pub(crate) fn run(seed: u64) -> RunTotals {
        let mut rng = fastrand::Rng::with_seed(seed);
        let RandomSettings { settings, reports_load } = draw_settings(&mut rng);
        let balancer = Balancer::new(settings.clone(), 0.0).expect("settings are valid");
        let checker = Checker::new(settings.clone());
        let ok_share = 0.7 + 0.3 * rng.f64();
        let mut random_run =
            Self { rng, settings, reports_load, balancer, checker, ok_share, next_request: 0 };
        for cycle in 0..CYCLES {
            random_run.run_cycle(cycle, cycle == RESTART_CYCLE && seed.is_multiple_of(3));
        }
        let sent = random_run.checker.requests.values().map(|request| request.attempts.len()).sum();
        assert_eq!(random_run.balancer.open_requests(), 0, "the balancer keeps state of finished requests");
        RunTotals { received: random_run.checker.requests.len(), sent }
    }

    fn run_cycle(&mut self, cycle: u32, restarts: bool) {
        let now = f64::from(cycle) * STEP;
        let mut events = Vec::new();
        if cycle == 0 {
            events.push(Event::EndpointListReceived {
                complete: true,
                members: (0..ENGINES).map(member).collect(),
            });
        }
        self.draw_list_events(now, &mut events);
        if restarts {
            events = vec![self.restart(now)];
        }
        while cycle < LAST_REQUEST_CYCLE && self.rng.u8(..10) == 0 {
            events.push(self.draw_request(now));
        }
        self.end_attempts_and_clients(now, &mut events);
        events.push(Event::Timer(0));
        let mut actions = Vec::new();
        self.balancer.run_cycle(now, &events, &mut actions);
        for action in &actions {
            self.checker.action(now, action);
        }
        self.checker.check_deadlines(now);
    }

    fn draw_list_events(&mut self, now: Milliseconds, events: &mut Vec<Event>) {
        if self.rng.u8(..60) == 0 {
            let update = self.draw_member_update(now);
            events.push(Event::EndpointListReceived { complete: false, members: vec![update] });
        }
        if self.rng.u8(..100) == 0 {
            events.push(Event::EndpointPollFailed);
            events.push(Event::Peer((0..self.rng.usize(..300)).map(|_| self.rng.u8(..)).collect()));
        }
    }

    fn draw_member_update(&mut self, now: Milliseconds) -> Member {
        let number = self.rng.usize(..ENGINES);
        let mut update = member(number);
        update.availability = [Availability::Live, Availability::Draining, Availability::Removed]
            [self.rng.usize(..5).saturating_sub(2)];
        if update.availability == Availability::Live {
            self.checker.drained_at.remove(&number);
            if self.rng.bool() {
                self.checker.engine_started(number, now);
            }
        } else {
            self.checker.drained_at.entry(number).or_insert(now);
        }
        // Later updates of an engine keep its start time.
        update.started = self.checker.started_at.get(&number).copied();
        update
    }

    /// Kills and restarts the gateway. Returns the event with its last endpoint list, which it restarts with.
    fn restart(&mut self, now: Milliseconds) -> Event {
        let settings = Settings { seed: self.rng.u64(..), ..self.settings.clone() };
        self.balancer = Balancer::new(settings, now).expect("settings are valid");
        self.checker.gateway_restarted(now);
        let checker = &self.checker;
        let last_known = |number| {
            let drains = checker.drained_at.contains_key(&number);
            let availability = if drains { Availability::Draining } else { Availability::Live };
            Member { availability, started: checker.started_at.get(&number).copied(), ..member(number) }
        };
        Event::EndpointListReceived { complete: true, members: (0..ENGINES).map(last_known).collect() }
    }

    fn draw_request(&mut self, now: Milliseconds) -> Event {
        let rng = &mut self.rng;
        let class = rng.usize(..2);
        let terms = &self.settings.classes[class];
        let deadline = now + 50.0 + rng.f64() * terms.client_timeout / 4.0;
        let mut details = incoming(self.next_request, class, deadline);
        details.key = (terms.ordered && rng.bool()).then(|| OrderKey(rng.u64(..3)));
        details.tenant = (!self.settings.tenants.is_empty()).then(|| TenantId(rng.usize(..2)));
        details.data = Some(DataSet(rng.u64(..4)));
        details.work = rng.bool().then(|| rng.f64() * 1_000.0);
        details.memory_mb = rng.bool().then(|| rng.f64() * 900.0);
        self.checker.request_received(details.clone(), now);
        self.next_request += 1;
        Event::Request(details)
    }

    /// Ends random attempts and all whose timeout has passed, and disconnects a few clients.
    fn end_attempts_and_clients(&mut self, now: Milliseconds, events: &mut Vec<Event>) {
        for (id, request) in &mut self.checker.requests {
            let id = RequestId(*id);
            for (number, attempt) in request.attempts.iter_mut().enumerate() {
                if attempt.result.is_some() {
                    continue;
                }
                let timed_out = now >= attempt.at + attempt.timeout;
                if !timed_out && self.rng.u8(..20) != 0 {
                    continue;
                }
                let outcome =
                    if timed_out { Outcome::Timeout } else { draw_outcome(&mut self.rng, self.ok_share) };
                attempt.result = Some(AttemptResult { at: now, outcome });
                if outcome == Outcome::Ok {
                    request.answered_at.get_or_insert(now);
                }
                events.push(Event::Outcome {
                    id,
                    attempt: number as u32,
                    engine: engine(attempt.engine),
                    outcome,
                    elapsed: now - attempt.at,
                    request_finished: request.answered_at.is_some(),
                    work: None,
                    report: draw_load_report(&mut self.rng, self.reports_load),
                });
            }
            if request.answered_at.is_none() && self.rng.u16(..4_000) == 0 {
                request.answered_at = Some(now);
                events.push(Event::ClientDisconnected(id));
            }
        }
    }
}

/// Draws the outcome of an attempt that ends before its timeout.
fn draw_outcome(rng: &mut fastrand::Rng, ok_share: f64) -> Outcome {
    if rng.f64() < ok_share {
        Outcome::Ok
    } else {
        [Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset][rng.usize(..4)]
    }
}

fn draw_load_report(rng: &mut fastrand::Rng, reports_load: bool) -> Option<LoadReport> {
    if !reports_load {
        return None;
    }
    let counts = rng.bool();
    let invalid = [f64::NAN, f64::INFINITY, -3.0, 1e300, 0.0];
    let mut value = || if rng.u8(..8) == 0 { invalid[rng.usize(..5)] } else { rng.f64() * 20.0 };
    let (inflight, util) = (Some(value()), Some(value() / 20.0));
    let inflight = inflight.filter(|_| counts);
    Some(LoadReport { inflight, util, queue: None, memory: Some(value() / 20.0), disks: None })
}

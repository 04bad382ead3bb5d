//! The decision cycle of a gateway. Its events and actions are in `interface.rs`; read those first.
//!
//! A cycle learns from all events, then decides once: [`Balancer::run_cycle`] calls `learn` for each event, and `decide`.
//! Each decision has a module of its own; this one holds the order in which they run.
//!
//! - Every attempt is sent by `dispatch`, which checks the rules first; every final answer is given by `admission`.
//! - The order of the steps, of random draws and of sums is part of the behaviour: a day replayed with the same seed
//!   and events yields the same actions.

pub use crate::balancer::Balancer;

use crate::aperture::Aperture;
use crate::balancer::CONTROL_PERIOD;
use crate::execution_terms::MIN_GRANT_FACTOR;
use crate::health_checks::initial_credit;
use crate::interface::{Action, BlockReason, Event};
use crate::latency_model::INITIAL_LATENCY_SHARE;
use crate::load_levels::{INITIAL_LIMIT, LEVELS};
use crate::outcomes::AttemptOutcome;
use crate::retry_budget::RetryBudget;
use crate::settings::{Class, Settings, SettingsError};
use crate::state::{ClassState, Fleet, LatencyStatistics};
use crate::types::Milliseconds;
use std::collections::BTreeMap;

/// The interval of timers while requests are open, in the shortest cycles: most cycles are run for other events.
const CYCLES_PER_TIMER: f64 = 4.0;
/// The longest interval of timers while requests are open.
const MAX_BUSY_TIMER: Milliseconds = 20.0;
/// Timers run this much ahead of the next one that is due, as they may come late by a part of a millisecond.
const TIMER_SLACK: Milliseconds = 0.5;

impl Balancer {
    /// A gateway that knows nothing but its settings.
    ///
    /// # Errors
    /// The settings are not usable, see [`Settings::check`].
    pub fn new(settings: Settings, now: Milliseconds) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            now,
            rng: fastrand::Rng::with_seed(settings.seed),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            ordered_keys: BTreeMap::new(),
            classes: settings.classes.iter().map(initial_class_state).collect(),
            quota_levels: vec![0.0; settings.tenants.len()],
            paused_for: 0.0,
            longest_recent_pause: 0.0,
            health_check_credit: initial_credit(&settings),
            retry_budget: RetryBudget::new(settings.retry_budget),
            limit_level: INITIAL_LIMIT,
            fleet: Fleet::new(1.0 / settings.gateways as f64),
            aperture: Aperture::new(settings.gateway_index, settings.gateways, settings.seed),
            deferred_group: None,
            next_control_step: now,
            next_timer: now,
            next_attempt_check: now,
            next_placement: now,
            subscribe_at: settings.subscribes_to_endpoints.then_some(now),
            waits: vec![[0; BlockReason::COUNT]; settings.classes.len()],
            settings,
        })
    }

    /// Runs a decision cycle: learns from the events, then decides once and appends what is to be done to `actions`.
    pub fn run_cycle(&mut self, now: Milliseconds, events: &[Event], actions: &mut Vec<Action>) {
        self.measure_pause(now);
        for event in events {
            self.learn(event);
        }
        self.decide(actions);
    }

    /// The number of requests that are still remembered.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of engines that are still remembered.
    pub fn known_engines(&self) -> usize {
        self.engines.len()
    }

    /// Requests that could not be sent in the cycle that received them or ended their last attempt, by class and reason.
    pub fn waits(&self) -> &[[u64; BlockReason::COUNT]] {
        &self.waits
    }

    fn learn(&mut self, event: &Event) {
        match event {
            Event::EndpointListReceived { complete, members } => self.learn_members(*complete, members),
            Event::EndpointPollFailed => self.resubscribe_soon(),
            Event::Request(details) => self.learn_request(details),
            Event::Outcome { id, attempt, engine, outcome, elapsed, request_finished, work, report } => {
                self.learn_report(engine, report.as_ref(), None);
                if let Some(request) = self.requests.get_mut(id) {
                    request.closed |= request_finished;
                }
                self.learn_outcome(AttemptOutcome {
                    id: *id,
                    attempt: *attempt,
                    outcome: *outcome,
                    elapsed: *elapsed,
                    work: *work,
                });
            }
            Event::ProgressUpdate { id, attempt, update } => self.learn_progress(*id, *attempt, *update),
            Event::HealthChecked { engine, ok, elapsed, report } => {
                self.learn_report(engine, report.as_ref(), ok.then_some(*elapsed));
                if let Some(engine) = self.engines.get_mut(engine).filter(|_| *ok) {
                    engine.confirmed_at = Some(self.now);
                }
            }
            Event::ClientDisconnected(id) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.closed = true;
                }
                self.forget_if_done(*id);
            }
            Event::StateRestored(learned) => self.restore(learned),
            Event::ProcessCount(count) => {
                self.aperture.set_process_count(*count, &mut self.engines, self.fleet.share);
            }
            Event::Timer(_) | Event::Peer(_) | Event::Streaming { .. } => {}
        }
    }

    fn decide(&mut self, actions: &mut Vec<Action>) {
        if self.now >= self.next_control_step {
            self.next_control_step = self.now + CONTROL_PERIOD;
            self.run_control_step();
        }
        self.subscribe_if_due(actions);
        self.check_health(actions);
        self.manage_running_attempts(actions);
        self.place_waiting_requests(actions);
        self.retry_budget.forget(self.now, CONTROL_PERIOD);
        self.forget_idle_keys();
        self.set_timer(actions);
    }

    /// Updates all averages, then the limit and the groups that follow from them.
    fn run_control_step(&mut self) {
        self.decay_class_statistics();
        self.refill_quotas();
        let load = self.sum_fleet_load();
        self.renew_engine_averages();
        self.decay_unreported_load(load.own_threads);
        self.update_fleet_share(&load);
        self.aperture.update(&mut self.engines, self.fleet.share, false);
        self.update_fleet_averages(&load);
        self.measure_slowdowns();
        self.learn_best_latencies();
        self.forget_removed_engines();
        self.count_overdue_attempts();
        self.choose_concurrency_limit();
        self.choose_deferred_group();
    }

    /// Advances the averages of each engine by a control step.
    fn renew_engine_averages(&mut self) {
        let now = self.now;
        for engine in self.engines.values_mut() {
            engine.renew_slow_start_budget(now, self.settings.overload_collapse_after, &mut self.rng);
            engine.decay_outlier_statistics();
            engine.expire_locks(now);
            engine.renew_load(now, self.fleet.usual_load);
        }
    }

    /// Starts a timer unless one runs that is due soon enough. An idle gateway's timers are slow: a request that
    /// comes with little time left needs one sooner.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let after = if self.requests.is_empty() {
            CONTROL_PERIOD
        } else {
            (CYCLES_PER_TIMER * self.settings.min_decision_interval).clamp(1.0, MAX_BUSY_TIMER)
        };
        if self.now >= self.next_timer || self.now + after < self.next_timer {
            self.next_timer = self.now + after - TIMER_SLACK;
            actions.push(Action::Timer { after, token: 0 });
        }
    }
}

fn initial_class_state(class: &Class) -> ClassState {
    ClassState {
        bands: vec![LatencyStatistics::default(); LEVELS.len()],
        best_latency: class.latency_objective * INITIAL_LATENCY_SHARE,
        grant_factor: MIN_GRANT_FACTOR,
        ..ClassState::default()
    }
}

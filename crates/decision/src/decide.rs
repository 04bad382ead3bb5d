//! The decision cycle of a gateway. `interface.rs` defines its events and actions.
//!
//! [`Balancer::run_cycle`] first processes all events with `learn`, then runs `decide` once. Each decision has a
//! module of its own; this module defines the order in which they run.
//!
//! - Every attempt is sent by `dispatch`, which checks the rules first; every final answer is given by `admission`.
//! - The order of the steps, of random draws and of sums is part of the behaviour: replaying the same events
//!   with the same seed yields the same actions.

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

/// Interval of timers while requests are open, as a multiple of the minimum decision interval: most cycles are
/// triggered by other events.
const CYCLES_PER_TIMER: f64 = 4.0;
/// Maximum interval of timers while requests are open.
const MAX_BUSY_TIMER: Milliseconds = 20.0;
/// Time by which the recorded due time of a timer precedes its actual one, because timers may fire late by a fraction
/// of a millisecond.
const TIMER_SLACK: Milliseconds = 0.5;

impl Balancer {
    /// Creates the decision state of a gateway that has learned nothing yet.
    ///
    /// # Errors
    /// Returns an error if the settings are not usable, see [`Settings::check`].
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
            blocked_counts: vec![[0; BlockReason::COUNT]; settings.classes.len()],
            settings,
        })
    }

    /// Runs a decision cycle: processes all events, then decides once and appends the resulting actions to `actions`.
    pub fn run_cycle(&mut self, now: Milliseconds, events: &[Event], actions: &mut Vec<Action>) {
        self.measure_pause(now);
        for event in events {
            self.learn(event);
        }
        self.decide(actions);
    }

    /// Returns the number of requests whose state is stored.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of engines whose state is stored.
    pub fn known_engines(&self) -> usize {
        self.engines.len()
    }

    /// Returns the number of requests that could not be sent in the cycle that received them or ended their last
    /// attempt, by class and reason.
    pub fn blocked_counts(&self) -> &[[u64; BlockReason::COUNT]] {
        &self.blocked_counts
    }

    fn learn(&mut self, event: &Event) {
        match event {
            Event::EndpointListReceived { complete, members } => self.learn_members(*complete, members),
            Event::EndpointPollFailed => self.schedule_resubscription(),
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
                if let Some(request) = self.requests.get_mut(id).filter(|request| !request.closed) {
                    request.closed = true;
                    self.retry_budget.remove_request(request.counted_at);
                }
                self.discard_if_done(*id);
            }
            Event::StateRestored(learned) => self.restore(learned),
            Event::ProcessCount(count) => {
                self.aperture.set_process_count(*count, &mut self.engines, self.fleet.share);
            }
            Event::Streaming { id } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.streaming = true;
                }
            }
            Event::Timer(_) | Event::Peer(_) => {}
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
        self.retry_budget.discard_before_window(self.now, CONTROL_PERIOD);
        self.discard_idle_keys();
        self.set_timer(actions);
    }

    /// Updates all averages, then the concurrency limit and the deferred group, which depend on them.
    fn run_control_step(&mut self) {
        self.decay_class_statistics();
        self.refill_quotas();
        let load = self.sum_fleet_load();
        self.update_engine_averages();
        self.decay_unreported_load(load.own_threads);
        self.update_fleet_share(&load);
        self.aperture.update(&mut self.engines, self.fleet.share, false);
        self.update_fleet_averages(&load);
        self.measure_slowdowns();
        self.learn_best_latencies();
        self.discard_removed_engines();
        self.sample_overdue_attempts();
        self.choose_concurrency_limit();
        self.choose_deferred_group();
    }

    /// Advances the averages of each engine by one control step.
    fn update_engine_averages(&mut self) {
        let now = self.now;
        for engine in self.engines.values_mut() {
            engine.update_slow_start_budget(now, self.settings.overload_collapse_after, &mut self.rng);
            engine.decay_outlier_statistics();
            engine.expire_locks(now);
            engine.update_load(now, self.fleet.mean_other_load);
        }
    }

    /// Starts a timer unless one that is due soon enough is already running. An idle gateway uses a long timer; a
    /// request that arrives with little time left needs a shorter one.
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

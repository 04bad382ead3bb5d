//! The reducer: `(state, event, now) -> effects`. It owns every request from its arrival to its one final answer, every
//! attempt, all timers and the shutdown. It opens no socket, reads no clock and knows no wire: fronts hand it requests,
//! engine wires hand it outcomes, and the runtime performs its effects.
//!
//! The parts, in the order in which data passes:
//!
//! - `types` and `messages`: what is exchanged with fronts, engine wires and the runtime;
//! - `membership`: the engines in use;
//! - `requests`: admission, rejection, the one final answer;
//! - `decisions`: decision cycles, and the actions that come out of them;
//! - `request_state`: a request and its attempts, as the parts share them;
//! - `attempts`, `records`, `health_checks`: what is sent to engines, and what they answer;
//! - `timers`: the timer queue;
//! - `shutdown`: the last answers, and the exit.

mod attempts;
mod decisions;
mod health_checks;
mod membership;
mod messages;
mod records;
mod request_state;
mod requests;
mod shutdown;
mod timers;
mod types;

use crate::decide::Balancer;
use crate::interface::{EngineId, Event as DecisionEvent, Milliseconds, RequestId, Settings, SettingsError};
use crate::limits::Limits;
use health_checks::HealthCheck;
use membership::PreviousAddress;
use request_state::Request;
use shutdown::Termination;
use starlingplank_admin::inherited_membership::{InheritedMembership, RemovedEndpoints};
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_decision::learned::LearnedState;
use starlingplank_decision::permission::counters::RuleCounters;
use starlingplank_decision::permission::list_lease::ListLease;
use starlingplank_decision::start_times::StartTimes;
use starlingplank_pacing::retry_after::RetryAfter;
use starlingplank_pacing::startup::InitialHealthChecks;
use starlingplank_persistence::deduplication_window::DeduplicationWindow;
use starlingplank_persistence::recovery::RestoredState;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use timers::Timer;

pub use membership::ServiceMembership;
pub use messages::{Effect, Event, Send};
pub use types::{
    Answer, AttemptEnd, AttemptId, ClientRequest, Counts, Endpoint, EngineError, FlowControl, ResultRows,
    Statement,
};

/// The state of one gateway.
pub struct Core {
    balancer: Balancer,
    settings: Settings,
    limits: Limits,
    /// The version of the membership.
    membership_version: Option<u64>,
    /// The membership as the name service last sent it.
    service_members: Vec<Endpoint>,
    /// When members started, by this gateway's clock.
    start_times: StartTimes,
    /// Engines that were members before and are not any more.
    removed_engines: RemovedEndpoints,
    /// When the name service last answered this process.
    service_confirmed_at: Option<Milliseconds>,
    /// Set while no membership is known: requests are rejected, each with another time to retry.
    membership_wait: Option<RetryAfter>,
    /// Until when the list of engines may be relied on. Shared with the permits of all attempts.
    list_lease: ListLease,
    /// The lease has expired: no engine gets new work.
    list_expired: bool,
    /// Whether a timer is set for the end of the lease.
    list_timer_set: bool,
    /// Drains and removals learned from previous addresses of the name service. They hold until the present address sends a
    /// list as new.
    previous_address: Option<PreviousAddress>,
    /// What an earlier process knew of the membership; it holds until the name service answers this one.
    inherited_membership: Option<InheritedMembership>,
    /// Engines that operators have excluded.
    operator_override: OperatorOverrides,
    /// The engines in use: the name service's list with the above applied.
    engines: BTreeMap<EngineId, Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    /// The deduplication window: sends by idempotency key.
    deduplication: DeduplicationWindow,
    /// Records of keyed sends that are being written, by number.
    pending_records: BTreeMap<u64, AttemptId>,
    /// What an earlier incarnation learned, until the membership has listed its engines.
    restored_state: Option<RestoredState>,
    /// Health checks without an answer, by number.
    health_checks: BTreeMap<u64, HealthCheck>,
    /// Spreads the initial health checks of a fleet that starts all at once.
    initial_health_checks: InitialHealthChecks<EngineId>,
    timers: BinaryHeap<Timer>,
    /// The last number given to a timer, a health check or a record.
    last_number: u64,
    /// Bytes of the statements of all requests.
    buffered_bytes: usize,
    /// Requests without a final answer.
    open_requests: usize,
    /// What the rules refused.
    rules: Rc<RuleCounters>,
    /// Counts by class.
    counts: Vec<Counts>,
    /// Events for the next decision cycle.
    pending_events: Vec<DecisionEvent>,
    /// When the next decision cycle is due if events are pending. Cycles are paced, as one costs much the same for one
    /// event as for many.
    next_decision_at: Milliseconds,
    /// Whether a timer is set for that.
    decision_timer_set: bool,
    /// Whether a request waits for the next decision cycle.
    decision_urgent: bool,
    /// Processing time for urgent cycles before the next one is due, in ms: it accrues with time, and cycles spend it.
    decision_credit: Milliseconds,
    credit_updated_at: Milliseconds,
    /// The shutdown, once it was requested.
    termination: Option<Termination>,
    /// When every open request is answered for the shutdown.
    answer_by: Milliseconds,
}

impl Core {
    /// A gateway without requests.
    ///
    /// # Errors
    /// The settings are inconsistent.
    pub fn new(settings: Settings, limits: Limits, now: Milliseconds) -> Result<Self, SettingsError> {
        Ok(Self {
            balancer: Balancer::new(settings.clone(), now)?,
            counts: vec![Counts::default(); settings.classes.len()],
            initial_health_checks: InitialHealthChecks::new(
                settings.gateways,
                settings.gateway_index,
                settings.seed,
                now,
            ),
            settings,
            limits,
            membership_version: None,
            service_members: Vec::new(),
            start_times: StartTimes::default(),
            rules: Rc::default(),
            removed_engines: RemovedEndpoints::default(),
            service_confirmed_at: None,
            membership_wait: None,
            list_lease: ListLease::default(),
            list_expired: false,
            list_timer_set: false,
            previous_address: None,
            inherited_membership: None,
            operator_override: OperatorOverrides::default(),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            deduplication: DeduplicationWindow::in_memory(),
            pending_records: BTreeMap::new(),
            restored_state: None,
            health_checks: BTreeMap::new(),
            timers: BinaryHeap::new(),
            last_number: 0,
            buffered_bytes: 0,
            open_requests: 0,
            pending_events: Vec::new(),
            next_decision_at: now,
            decision_timer_set: false,
            decision_urgent: false,
            decision_credit: 0.0,
            credit_updated_at: now,
            termination: None,
            answer_by: f64::INFINITY,
        })
    }

    /// Sets the deduplication window and what an earlier incarnation learned. To be called before the first event.
    pub fn resume(&mut self, deduplication: DeduplicationWindow, restored_state: Option<RestoredState>) {
        (self.deduplication, self.restored_state) = (deduplication, restored_state);
    }

    /// Counts refusals of the rules in these counters. To be called before the first event.
    pub fn count_refusals_in(&mut self, rules: Rc<RuleCounters>) {
        self.rules = rules;
    }

    /// What the decision module has learned so far.
    pub fn learned(&self, now: Milliseconds) -> LearnedState {
        LearnedState { recorded_at: now, ..self.balancer.learned() }
    }

    /// Sets what an earlier incarnation learned, unless that is set already.
    pub fn set_restored_state(&mut self, restored_state: RestoredState) {
        self.restored_state.get_or_insert(restored_state);
    }

    /// Attempts and outcomes by class, in the order of the settings.
    pub fn counts(&self) -> &[Counts] {
        &self.counts
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Milliseconds, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::EndpointList { version, endpoints } => {
                self.update_membership(now, version, endpoints, effects);
            }
            Event::PreviousAddressSuperseded => self.supersede_previous_address(now),
            Event::EndpointListLease(until) => self.renew_list_lease(now, until, effects),
            Event::OperatorOverrides(overrides) => self.override_membership(now, overrides, effects),
            Event::InheritedMembership(inherited) => self.inherit_membership(now, inherited, effects),
            Event::ProcessCount(count) => self.pending_events.push(DecisionEvent::ProcessCount(count as u32)),
            Event::RequestReceived(request) => self.receive(now, request, effects),
            Event::ClientDisconnected(id) => self.client_disconnected(now, id, effects),
            Event::ResponseStarted(id, rows) => self.start_streaming(now, id, rows, effects),
            Event::ResponseChunk(id, chunk) => self.forward_chunk(id, chunk, effects),
            Event::AttemptEnded(id, end) => self.end_attempt(now, id, end, effects),
            Event::ProgressUpdate(id, update) => self.progress_update(id, update),
            Event::RecordsDurable(numbers) => self.records_durable(now, numbers, effects),
            Event::RecordsFailed(numbers) => self.records_failed(now, numbers, effects),
            Event::LogRewritten(keys) => self.log_rewritten(now, &keys, effects),
            Event::MaintenanceTick => self.maintain_log(now, effects),
            Event::PeerKeys(keys) => self.add_peer_keys(now, keys),
            Event::HealthChecked { number, succeeded: ok, report } => {
                self.end_health_check(now, number, ok, report);
            }
            Event::TimersDue => self.fire_due_timers(now, effects),
            Event::RunDecisionCycle => self.decision_cycle(now, effects),
            Event::Terminate { requested_at } => self.terminate(now, requested_at),
            Event::SuccessorListens => self.extend_shutdown(),
        }
        self.exit_when_done(now, effects);
    }
}

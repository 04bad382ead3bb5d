//! The reducer: `(state, event, now) -> effects`. The reducer owns every request from its arrival to its single final
//! answer, every attempt, all timers and the shutdown. It opens no socket, reads no clock and knows no wire protocol: front
//! ends pass requests to it, engine connections pass outcomes to it, and the runtime performs its effects.
//!
//! The modules, in the order in which data flows through them:
//!
//! - `types` and `messages`: the types exchanged with front ends, engine connections and the runtime;
//! - `membership`: the engines in use;
//! - `requests`: admission, rejection, the final answer;
//! - `decisions`: decision cycles, and the actions that they produce;
//! - `request_state`: the state of a request and its attempts, shared by the other modules;
//! - `attempts`, `records`, `health_checks`: messages to engines and their responses;
//! - `timers`: the timer queue;
//! - `shutdown`: the final answers to open requests, and the exit.

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
use crate::used_memory::UsedMemory;
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
use starlingplank_persistence::sent_requests::SentRequests;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use timers::Timer;

pub use membership::ServiceMembership;
pub use messages::{Effect, Event, Send};
pub use types::{
    params_memory, Answer, AttemptEnd, AttemptId, ClientReading, ClientRequest, CountedMemory, Counts,
    Endpoint, EngineError, FlowControl, ResultRows, Statement, PARAM_OVERHEAD,
};

/// The reducer and the complete state of one gateway process.
pub struct Core {
    balancer: Balancer,
    settings: Settings,
    limits: Limits,
    /// The version of the list in `service_members`.
    membership_version: Option<u64>,
    /// The members in the last list that the name service sent.
    service_members: Vec<Endpoint>,
    /// The times at which members started, on this gateway's clock.
    start_times: StartTimes,
    /// Engines that were members and have since been removed from the list.
    removed_engines: RemovedEndpoints,
    /// The time at which the name service last responded to this process.
    service_confirmed_at: Option<Milliseconds>,
    /// Set while no membership is known: requests are rejected, each with a different retry-after time.
    membership_wait: Option<RetryAfter>,
    /// The lease during which the list of engines is considered reliable. Shared with the send permits of all attempts.
    list_lease: ListLease,
    /// Whether the lease has expired: no engine is sent new work.
    list_expired: bool,
    /// Whether a timer is set for the expiry of `list_lease`.
    list_timer_set: bool,
    /// Drains and removals learned from previous addresses of the name service. They apply until the current address sends
    /// a list with at least the same version.
    previous_address: Option<PreviousAddress>,
    /// The membership known to an earlier process. It applies until the name service responds to this process.
    inherited_membership: Option<InheritedMembership>,
    /// Engines that operators have excluded.
    operator_override: OperatorOverrides,
    /// The engines in use: the name service's list, with the operator override, the inherited membership and the drains and
    /// removals of previous addresses applied.
    engines: BTreeMap<EngineId, Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    /// The deduplication window: recent sends by idempotency key.
    deduplication: DeduplicationWindow,
    /// Requests that must not run twice and may have run.
    sent_requests: SentRequests,
    /// Attempts that wait for the record of a keyed send to become durable, by the record's number.
    pending_records: BTreeMap<u64, AttemptId>,
    /// State learned by an earlier incarnation, held until the membership lists the engines that it is about.
    restored_state: Option<RestoredState>,
    /// Health checks in flight, by number.
    health_checks: BTreeMap<u64, HealthCheck>,
    /// Spreads the initial health checks over time when a whole fleet starts at once.
    initial_health_checks: InitialHealthChecks<EngineId>,
    timers: BinaryHeap<Timer>,
    /// The last sequence number assigned to a timer, a health check or a record.
    last_number: u64,
    /// Memory that the statements of all requests take.
    statement_memory: UsedMemory,
    /// Number of requests without a final answer.
    open_requests: usize,
    /// Counts of the sends refused, by rule.
    rules: Rc<RuleCounters>,
    /// Counts by class, in the order of the settings.
    counts: Vec<Counts>,
    /// Events for the next decision cycle.
    pending_events: Vec<DecisionEvent>,
    /// The time at which the next decision cycle is due if events are pending. Cycles are paced, as a cycle costs about the
    /// same for one event as for many.
    next_decision_at: Milliseconds,
    /// Whether a timer is set for `next_decision_at`.
    decision_timer_set: bool,
    /// Whether a request waits for the next decision cycle.
    decision_urgent: bool,
    /// Processing time in ms that urgent cycles may use before the next regular one is due. It accrues over time, and each
    /// cycle is charged against it.
    decision_credit: Milliseconds,
    credit_updated_at: Milliseconds,
    /// The shutdown, once it has been requested.
    termination: Option<Termination>,
    /// The time at which every request that is still open is answered because of the shutdown.
    answer_by: Milliseconds,
}

impl Core {
    /// Returns the memory that the statements of all requests take.
    pub fn statement_memory(&self) -> &UsedMemory {
        &self.statement_memory
    }

    /// Creates a gateway without requests or members.
    ///
    /// # Errors
    /// Fails if the settings are inconsistent.
    pub fn new(settings: Settings, limits: Limits, now: Milliseconds) -> Result<Self, SettingsError> {
        let max_sent_requests = limits.memory.sent_requests;
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
            sent_requests: SentRequests::new(max_sent_requests),
            pending_records: BTreeMap::new(),
            restored_state: None,
            health_checks: BTreeMap::new(),
            timers: BinaryHeap::new(),
            last_number: 0,
            statement_memory: UsedMemory::default(),
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

    /// Sets the deduplication window and the state learned by an earlier incarnation. Must be called before the first event.
    pub fn resume(&mut self, deduplication: DeduplicationWindow, restored_state: Option<RestoredState>) {
        (self.deduplication, self.restored_state) = (deduplication, restored_state);
    }

    /// Sets the counters in which sends refused by a rule are counted. Must be called before the first event.
    pub fn set_rule_counters(&mut self, rules: Rc<RuleCounters>) {
        self.rules = rules;
    }

    /// Returns the state that the decision module has learned so far.
    pub fn learned(&self, now: Milliseconds) -> LearnedState {
        LearnedState { recorded_at: now, ..self.balancer.learned() }
    }

    /// Sets the state learned by an earlier incarnation, unless it is already set.
    pub fn set_restored_state(&mut self, restored_state: RestoredState) {
        self.restored_state.get_or_insert(restored_state);
    }

    /// Returns the counts of requests, outcomes and rejections by class, in the order of the settings.
    pub fn counts(&self) -> &[Counts] {
        &self.counts
    }

    /// Handles one event and appends the resulting effects.
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
            Event::PeerRequests(requests) => self.add_peer_requests(&requests),
            Event::HealthChecked { number, succeeded: ok, report } => {
                self.end_health_check(now, number, ok, report);
            }
            Event::TimersDue => self.fire_due_timers(now, effects),
            Event::RunDecisionCycle => self.decision_cycle(now, effects),
            Event::Terminate { requested_at } => self.terminate(now, requested_at),
            Event::SuccessorListening => self.extend_shutdown(),
        }
        self.exit_when_done(now, effects);
    }
}

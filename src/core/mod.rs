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
//! - `attempts`, `records`, `probes`: what is sent to engines, and what they answer;
//! - `timers`: the timer queue;
//! - `shutdown`: the last answers, and the exit.

mod attempts;
mod decisions;
mod membership;
mod messages;
mod probes;
mod records;
mod requests;
mod shutdown;
mod timers;
mod types;

use crate::decide::Balancer;
use crate::interface::{EngineId, Event as DecisionEvent, Milliseconds, RequestId, Settings, SettingsError};
use crate::limits::Limits;
use membership::FormerAddress;
use probes::Probe;
use requests::Request;
use starlingplank_admin::inherited_membership::{InheritedMembership, RemovedEndpoints};
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_decision::learned::Learned;
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
    serial: Option<u64>,
    /// The membership as the name service last sent it.
    service_members: Vec<Endpoint>,
    /// When members started, by this gateway's clock.
    start_times: StartTimes,
    /// Engines that were members before and are not any more.
    removed_engines: RemovedEndpoints,
    /// When the name service last answered this process.
    service_heard_at: Option<Milliseconds>,
    /// Set while no membership is known: requests are rejected, each with another time to retry.
    membership_wait: Option<RetryAfter>,
    /// Until when the list of engines may be relied on.
    list_lease: ListLease,
    /// It may not be relied on now: no engine gets new work.
    list_expired: bool,
    /// Whether a timer is set for the end of the lease.
    list_timer_set: bool,
    /// What former addresses of the name service have said, since the service moved; it holds until the present address
    /// has said as much.
    former_address: Option<FormerAddress>,
    /// What an earlier process heard of the name service; it holds until the service answers this one.
    inherited_membership: Option<InheritedMembership>,
    /// Engines that operators have excluded.
    operator_override: OperatorOverrides,
    /// The three merged: the engines in use.
    engines: BTreeMap<EngineId, Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    /// The deduplication window: sends by idempotency key.
    deduplication: DeduplicationWindow,
    /// Records of keyed sends that are being written, by number.
    pending_records: BTreeMap<u64, AttemptId>,
    /// What an earlier incarnation learned, until the membership has named its engines.
    restored_state: Option<RestoredState>,
    /// Probes without an answer, by number.
    probes: BTreeMap<u64, Probe>,
    /// Spreads the first probes of a fleet that starts all at once.
    initial_health_checks: InitialHealthChecks<EngineId>,
    timers: BinaryHeap<Timer>,
    /// The last number given to a timer, a probe or a record.
    last_number: u64,
    /// Bytes of the statements of all requests.
    held_bytes: usize,
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
    /// When the shutdown was requested.
    terminating_since: Option<Milliseconds>,
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
            serial: None,
            service_members: Vec::new(),
            start_times: StartTimes::default(),
            rules: Rc::default(),
            removed_engines: RemovedEndpoints::default(),
            service_heard_at: None,
            membership_wait: None,
            list_lease: ListLease::default(),
            list_expired: false,
            list_timer_set: false,
            former_address: None,
            inherited_membership: None,
            operator_override: OperatorOverrides::default(),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            deduplication: DeduplicationWindow::off(),
            pending_records: BTreeMap::new(),
            restored_state: None,
            probes: BTreeMap::new(),
            timers: BinaryHeap::new(),
            last_number: 0,
            held_bytes: 0,
            open_requests: 0,
            pending_events: Vec::new(),
            next_decision_at: now,
            decision_timer_set: false,
            decision_urgent: false,
            decision_credit: 0.0,
            credit_updated_at: now,
            terminating_since: None,
            answer_by: f64::INFINITY,
        })
    }

    /// Sets the deduplication window and what an earlier incarnation learned. To be called before the first event.
    pub fn resume(&mut self, deduplication: DeduplicationWindow, restored_state: Option<RestoredState>) {
        (self.deduplication, self.restored_state) = (deduplication, restored_state);
    }

    /// Has what the rules refuse counted there. To be called before the first event.
    pub fn count_refusals_in(&mut self, rules: Rc<RuleCounters>) {
        self.rules = rules;
    }

    /// What the decision module has learned so far.
    pub fn learned(&self, now: Milliseconds) -> Learned {
        Learned { at: now, ..self.balancer.learned() }
    }

    /// Sets what an earlier incarnation learned, unless that is set already.
    pub fn remember(&mut self, restored_state: RestoredState) {
        self.restored_state.get_or_insert(restored_state);
    }

    /// Attempts and outcomes by class, in the order of the settings.
    pub fn counts(&self) -> &[Counts] {
        &self.counts
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Milliseconds, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::EndpointList(serial, list) => self.update_membership(now, serial, list, effects),
            Event::PreviousAddressSuperseded => self.supersede_former_address(now),
            Event::EndpointListLease(until) => self.renew_list_lease(now, until, effects),
            Event::OperatorOverrides(hand) => self.override_membership(now, hand, effects),
            Event::InheritedMembership(heard) => self.inherit_membership(now, heard, effects),
            Event::ProcessCount(n) => self.pending_events.push(DecisionEvent::ProcessCount(n as u32)),
            Event::RequestReceived(request) => self.receive(now, request, effects),
            Event::ClientDisconnected(id) => self.client_disconnected(now, id, effects),
            Event::ResponseStarted(id, rows) => self.start_streaming(now, id, rows, effects),
            Event::ResponseChunk(id, part) => self.forward_part(id, part, effects),
            Event::AttemptEnded(id, end) => self.end_attempt(now, id, end, effects),
            Event::ProgressUpdate(id, note) => self.progress_update(id, note),
            Event::RecordsDurable(numbers) => self.records_durable(now, numbers, effects),
            Event::RecordsFailed(numbers) => self.records_failed(now, numbers, effects),
            Event::LogRewritten(keys) => self.log_begun(now, &keys, effects),
            Event::MaintenanceTick => self.maintain_log(now, effects),
            Event::PeerKeys(keys) => self.hear_keys(now, keys),
            Event::HealthChecked(tag, ok, report) => self.probed(now, tag, ok, report),
            Event::TimersDue => self.fire_due_timers(now, effects),
            Event::RunDecisionCycle => self.decision_cycle(now, effects),
            Event::Terminate => self.terminate(now),
            Event::SuccessorListens => self.hand_over(),
        }
        self.exit_when_done(now, effects);
    }
}

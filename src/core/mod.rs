//! The reducer: `(state, event, now) -> effects`. It owns every request from its arrival to its one final
//! answer, every attempt, all timers, the drain and the end. It opens no socket and reads no clock, and knows
//! no wire: fronts hand it requests, engine wires hand it outcomes, and the runtime performs its effects.

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

use crate::decide::Gateway;
use crate::interface::{EngineId, Event as DecisionEvent, Ms, RequestId, Settings, SettingsError};
use crate::limits::Limits;
use probes::Probe;
use requests::Request;
use starlingplank_decision::learned::Learned;
use starlingplank_knowledge::gate::Gate;
use starlingplank_knowledge::recall::Recall;
use starlingplank_operation::hand::Hand;
use starlingplank_operation::heard::{Gone, Heard};
use starlingplank_pacing::come_back::ComeBack;
use starlingplank_pacing::start::FirstProbes;
use std::collections::{BTreeMap, BinaryHeap};
use timers::Timer;

pub use messages::{Effect, Event, Send};
pub use types::{Answer, Ask, AttemptId, Counts, End, EngineError, Flow, Listed, Rows, Statement};

/// The state of one gateway.
pub struct Core {
    module: Gateway,
    settings: Settings,
    limits: Limits,
    serial: Option<u64>,
    /// The list as it was last told.
    service_members: Vec<Listed>,
    /// Engines that were in it, and have gone.
    removed_engines: Gone,
    /// When the list service was last heard in this life.
    service_heard_at: Option<Ms>,
    /// No list is known yet: what comes is turned away.
    membership_wait: Option<ComeBack>,
    /// What an earlier process heard of it, until then.
    inherited_membership: Option<Heard>,
    /// Engines that staff have taken out.
    operator_override: Hand,
    /// The two together: the one list that all goes by.
    engines: BTreeMap<EngineId, Listed>,
    requests: BTreeMap<RequestId, Request>,
    /// Sends by idempotency key.
    gate: Gate,
    /// Records that are being written.
    pending_records: BTreeMap<u64, AttemptId>,
    /// What an earlier life knew, until the list has named its engines.
    recall: Option<Recall>,
    probes: BTreeMap<u64, Probe>,
    /// Those of a start of all leave in turn.
    first_probes: FirstProbes<EngineId>,
    timers: BinaryHeap<Timer>,
    last_number: u64,
    held_bytes: usize,
    open_requests: usize,
    counts: Vec<Counts>,
    pending_events: Vec<DecisionEvent>,
    /// The module decides no later once something is pending: a turn costs much the same for one event as for many.
    next_decision_at: Ms,
    /// A timer for that is set.
    decision_timer_set: bool,
    /// Somebody waits for what the next turn decides.
    decision_urgent: bool,
    /// Time for turns before the next is due, in ms: earned as time passes, spent as turns take it.
    decision_credit: Ms,
    credit_updated_at: Ms,
    terminating_since: Option<Ms>,
    /// Whatever is open then is answered.
    answer_by: Ms,
}

impl Core {
    /// A gateway that has taken nothing yet.
    ///
    /// # Errors
    /// The settings contradict themselves.
    pub fn new(settings: Settings, limits: Limits, now: Ms) -> Result<Self, SettingsError> {
        Ok(Self {
            module: Gateway::new(settings.clone(), now)?,
            counts: vec![Counts::default(); settings.classes.len()],
            first_probes: FirstProbes::new(settings.gateways, settings.rank, settings.seed, now),
            settings,
            limits,
            serial: None,
            service_members: Vec::new(),
            removed_engines: Gone::default(),
            service_heard_at: None,
            membership_wait: None,
            inherited_membership: None,
            operator_override: Hand::default(),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            gate: Gate::off(),
            pending_records: BTreeMap::new(),
            recall: None,
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

    /// Keeps keys by that gate, and gives the module back what an earlier life knew. Before the first event.
    pub fn resume(&mut self, gate: Gate, recall: Option<Recall>) {
        (self.gate, self.recall) = (gate, recall);
    }

    /// What was learned so far.
    pub fn learned(&self, now: Ms) -> Learned {
        Learned { at: now, ..self.module.learned() }
    }

    /// Gives the module back what an earlier life knew, unless it has been given some.
    pub fn remember(&mut self, recall: Recall) {
        self.recall.get_or_insert(recall);
    }

    /// Attempts and outcomes by class, in the order of the settings.
    pub fn counts(&self) -> &[Counts] {
        &self.counts
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Ms, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::List(serial, list) => self.update_membership(now, serial, list, effects),
            Event::Hand(hand) => self.override_membership(now, hand, effects),
            Event::Earlier(heard) => self.inherit_membership(now, heard, effects),
            Event::Processes(n) => self.pending_events.push(DecisionEvent::Processes(n as u32)),
            Event::Taken(ask) => self.receive(now, ask, effects),
            Event::Left(id) => self.client_disconnected(now, id, effects),
            Event::Begun(id, rows) => self.start_streaming(now, id, rows, effects),
            Event::More(id, part) => self.forward_part(id, part, effects),
            Event::Ended(id, end) => self.end_attempt(now, id, end, effects),
            Event::Noted(id, note) => self.progress_update(id, note),
            Event::Recorded(numbers) => self.records_durable(now, numbers, effects),
            Event::RecordsFailed(numbers) => self.records_failed(now, numbers, effects),
            Event::LogBegun(keys) => self.log_begun(now, &keys, effects),
            Event::Tend => self.maintain_log(now, effects),
            Event::Heard(keys) => self.hear_keys(now, keys),
            Event::Probed(tag, ok, report) => self.probed(now, tag, ok, report),
            Event::Clock => self.fire_due_timers(now, effects),
            Event::Turn => self.decision_cycle(now, effects),
            Event::Terminate => self.terminate(now),
            Event::HandOver => self.hand_over(),
        }
        self.exit_when_done(now, effects);
    }
}

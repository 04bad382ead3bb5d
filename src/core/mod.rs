//! The reducer: `(state, event, now) -> effects`. It owns every request from its arrival to its one final
//! answer, every attempt, all timers, the drain and the end. It opens no socket and reads no clock, and knows
//! no wire: fronts hand it requests, engine wires hand it outcomes, and the runtime performs its effects.

use crate::decide::Gateway;
use crate::interface::*;
use crate::limits::Limits;
use starlingplank_decision::learned::Learned;
use starlingplank_knowledge::gate::{self, Admission, Gate, Key, Leave, Rewrite, Sends, Sent};
use starlingplank_knowledge::recall::{Named, Recall};
use starlingplank_operation::hand::Hand;
use starlingplank_operation::heard::{Gone, Heard};
use starlingplank_pacing::come_back::ComeBack;
use starlingplank_pacing::start::FirstProbes;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// An engine as the list names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// What the module is told.
    pub member: Member,
    /// Where it listens. The id, never this, says which engine it is: addresses are used again.
    pub address: SocketAddr,
}

/// What waits for the reader of an answer that is passed on in parts. A front implements it; an engine wire asks
/// it for room before it reads on, so that a slow reader slows its own engine and memory stays bounded.
pub trait Flow: Debug {
    /// Waits until no more than so many bytes wait for the reader, or the reader has gone.
    fn room(&self, bytes: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// What a request carries to its engine; no decision looks at it.
#[derive(Debug, Default)]
pub struct Statement {
    /// The client's name for the request.
    pub name: String,
    /// The class's name.
    pub class: String,
    /// The statement, as it came.
    pub text: Vec<u8>,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// Data that follows the statement.
    pub data: Vec<u8>,
    /// Further parameters and credentials to pass on, where the engines' interface has them.
    pub params: Vec<(String, String)>,
    /// Where the answer can be passed on in parts, what waits for its reader; else it is passed on whole.
    pub flow: Option<Rc<dyn Flow>>,
}

impl Statement {
    fn bytes(&self) -> usize {
        self.text.len() + self.data.len()
    }
}

/// A result: its bytes in the parts in which they came, and what describes them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rows {
    /// Text of rows, in order.
    pub parts: Vec<Vec<u8>>,
    /// Headers of the engine's answer that the client should see.
    pub headers: Vec<(String, String)>,
}

/// A request as a front took it.
#[derive(Debug)]
pub struct Ask {
    /// The module's view of it.
    pub asked: Incoming,
    /// What is sent.
    pub statement: Rc<Statement>,
}

/// What an engine said about a failure, for fronts whose clients expect it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineError {
    /// Status code.
    pub status: u16,
    /// The engine's own code.
    pub code: u32,
    /// Its text.
    pub text: Vec<u8>,
}

/// The one final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// All rows.
    Served(Rows),
    /// The rest of what was begun came whole.
    Finished,
    /// What was begun can not be finished.
    Cut,
    /// Turned away; trying again is harmless, best after so many milliseconds.
    Refused(Ms),
    /// Failed, with the engine's words if there are any.
    Failed(Option<EngineError>),
    /// Failed because its time ran out.
    Expired,
}

/// How an attempt ended, as an engine wire saw it.
#[derive(Debug)]
pub struct End {
    /// Its outcome.
    pub outcome: Outcome,
    /// Its work, where told.
    pub work: Option<Ms>,
    /// The engine's load, where told.
    pub report: Option<Report>,
    /// The result of one that was served whole.
    pub rows: Rows,
    /// What the engine said of a failure.
    pub error: Option<EngineError>,
}

impl End {
    /// An end with nothing but its outcome.
    pub fn plain(outcome: Outcome) -> Self {
        Self { outcome, work: None, report: None, rows: Rows::default(), error: None }
    }
}

/// One attempt.
pub type AttemptId = (RequestId, u32);

/// What happens to a gateway.
#[derive(Debug)]
pub enum Event {
    /// The name service's whole list, with its number.
    List(u64, Vec<Listed>),
    /// A request was taken.
    Taken(Ask),
    /// Its client left or withdrew it.
    Left(RequestId),
    /// The first part of an answer that is passed on as it comes.
    Begun(AttemptId, Rows),
    /// A further part.
    More(AttemptId, Vec<u8>),
    /// An attempt ended.
    Ended(AttemptId, End),
    /// An engine told how far an attempt is, or what it waits for.
    Noted(AttemptId, Note),
    /// A probe was answered.
    Probed(u64, bool, Option<Report>),
    /// Whatever is due by now is due.
    Clock,
    /// All that has come in was handed over: decide.
    Turn,
    /// The end was asked for.
    Terminate,
    /// Records of keyed sends are durable.
    Recorded(Vec<u64>),
    /// They may not be, and the log takes no more.
    RecordsFailed(Vec<u64>),
    /// The log was begun anew, with those keys.
    LogBegun(Vec<(Key, Sends)>),
    /// Time to look after the log of keys; once a second.
    Tend,
    /// Another process takes over, and there is more time to answer what is open.
    HandOver,
    /// Which engines are out by hand.
    Hand(Hand),
    /// What an earlier process of this gateway heard of the list service.
    Earlier(Heard),
    /// Another process of this gateway sent those keys.
    Heard(Vec<(Key, Sends)>),
    /// So many processes of this gateway run now.
    Processes(usize),
}

/// What an attempt carries.
#[derive(Debug, Clone)]
pub struct Send {
    /// Which.
    pub id: AttemptId,
    /// The engine.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request's class.
    pub class: ClassId,
    /// What is sent.
    pub statement: Rc<Statement>,
    /// How long its answer is waited for.
    pub budget: Ms,
    /// It leaves within this time or not at all: engines forget the keys that they saw.
    pub leave_within: Option<Ms>,
    /// Memory granted; 0: the engine's choice.
    pub memory_mb: f64,
    /// 0 to 3.
    pub priority: u8,
}

/// What the runtime is asked to do.
#[derive(Debug)]
pub enum Effect {
    /// Send an attempt.
    Send(Send),
    /// Give an attempt up: nothing it brings is wanted. What for: its time is over, or nobody wants it any more.
    GiveUp(AttemptId, EngineId, Outcome),
    /// Change the priority of an attempt that is out.
    Hurry(AttemptId, EngineId, u8),
    /// Probe an engine under this number.
    Probe(u64, EngineId, SocketAddr),
    /// Send nothing that still waits to an engine that drains or is gone.
    Shut(EngineId),
    /// Pass on the first part of an answer.
    Begin(RequestId, Rows),
    /// Pass on a further part.
    Part(RequestId, Vec<u8>),
    /// Give the final answer.
    Answer(RequestId, Answer),
    /// Say, to who looks closely, what kept a request from being sent, and for how long.
    Refused(RequestId, ClassId, &'static str, Ms),
    /// Write a record of a keyed send, and tell of it under its number.
    Record(u64, Key, Sent),
    /// Write that the log is whole: the time, and until when nothing keyed may leave.
    Mark(Ms, Ms),
    /// Begin the log anew.
    Rewrite(Rewrite),
    /// All is answered: leave.
    Exit,
}

/// What an engine of the list is to the gateway.
fn merged(listed: &Listed, hand: &Hand, earlier: Option<&Heard>, now: Ms) -> Listed {
    let mut listed = listed.clone();
    let m = &mut listed.member;
    let id = m.engine.clone();
    m.started = hand.started(&id.0, m.started);
    let kept_out = hand.is_out(&id.0) || earlier.is_some_and(|e| e.keeps_out(&id.0, now));
    if kept_out && m.availability == Availability::Live {
        m.availability = Availability::Draining;
    }
    listed
}

struct Attempt {
    engine: EngineId,
    sent: Ms,
    out: bool,
    /// It leaves once this record of it is durable, and is answered by then.
    record: Option<(u64, Sent, Ms)>,
}

struct Request {
    statement: Rc<Statement>,
    class: ClassId,
    taken: Ms,
    key: Option<(Key, Ms)>,
    deadline: Ms,
    /// A keyed statement may not leave later than this: an engine that saw its key before forgets it then.
    send_by: Ms,
    attempts: Vec<Attempt>,
    begun: bool,
    over: bool,
    terms: (f64, u8),
    error: Option<EngineError>,
}

#[derive(Debug, Clone, PartialEq)]
enum Due {
    Module(u64),
    Attempt(AttemptId),
    Deadline(RequestId),
    Probe(u64),
    Gone(EngineId),
    Leave,
    Turn,
    AnswerAll,
    Record(u64),
    Earlier,
    FirstProbes,
}

/// Timers order by time alone, earliest first.
struct Timer(Ms, u64, Due);

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Timer {}
impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// Attempts and outcomes of one class so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Ends of attempts, in the order of [`Outcome`].
    pub outcomes: [u64; 8],
    /// Requests left by their clients.
    pub left: u64,
    /// Of the refused, what kept them from being sent.
    pub refusals: BTreeMap<&'static str, u64>,
}

/// The state of one gateway.
pub struct Core {
    module: Gateway,
    settings: Settings,
    limits: Limits,
    serial: Option<u64>,
    /// The list as it was last told.
    told: Vec<Listed>,
    /// Engines that were in it, and have gone.
    gone: Gone,
    /// When the list service was last heard in this life.
    service: Option<Ms>,
    /// No list is known yet: what comes is turned away.
    unlisted: Option<ComeBack>,
    /// What an earlier process heard of it, until then.
    earlier: Option<Heard>,
    /// Engines that staff have taken out.
    hand: Hand,
    /// The two together: the one list that all goes by.
    engines: BTreeMap<EngineId, Listed>,
    requests: BTreeMap<RequestId, Request>,
    /// Sends by idempotency key.
    gate: Gate,
    /// Records that are being written.
    records: BTreeMap<u64, AttemptId>,
    /// What an earlier life knew, until the list has named its engines.
    recall: Option<Recall>,
    probes: BTreeMap<u64, (EngineId, Ms)>,
    /// Those of a start of all leave in turn.
    first_probes: FirstProbes<EngineId>,
    timers: BinaryHeap<Timer>,
    numbers: u64,
    held: usize,
    open: usize,
    counts: Vec<Counts>,
    pending: Vec<crate::interface::Event>,
    /// The module decides no later once something is pending: a turn costs much the same for one event as for many.
    next_turn: Ms,
    /// A timer for that is set.
    turn_set: bool,
    /// Somebody waits for what the next turn decides.
    urgent: bool,
    /// Time for turns before the next is due, in ms: earned as time passes, spent as turns take it.
    credit: Ms,
    earned: Ms,
    terminating: Option<Ms>,
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
            told: Vec::new(),
            gone: Gone::default(),
            service: None,
            unlisted: None,
            earlier: None,
            hand: Hand::default(),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            gate: Gate::off(),
            records: BTreeMap::new(),
            recall: None,
            probes: BTreeMap::new(),
            timers: BinaryHeap::new(),
            numbers: 0,
            held: 0,
            open: 0,
            pending: Vec::new(),
            next_turn: now,
            turn_set: false,
            urgent: false,
            credit: 0.0,
            earned: now,
            terminating: None,
            answer_by: f64::INFINITY,
        })
    }

    /// Keeps keys by that gate, and gives the module back what an earlier life knew. Before the first event.
    pub fn resume(&mut self, gate: Gate, recall: Option<Recall>) {
        (self.gate, self.recall) = (gate, recall);
    }

    /// The log of keys of a process that has ended is this one's from now on.
    pub fn take_log(&mut self, required: bool, trusted: Option<(Vec<(Key, Sends)>, Ms)>, now: Ms) {
        self.gate.take_log(required, trusted, now);
    }

    /// What was learned so far.
    pub fn learned(&self, now: Ms) -> Learned {
        Learned { at: now, ..self.module.learned() }
    }

    /// Where the engines of the list are, by their ids.
    pub fn addresses(&self) -> BTreeMap<String, String> {
        self.engines.iter().map(|(id, l)| (id.0.to_string(), l.address.to_string())).collect()
    }

    /// Gives the module back what an earlier life knew, unless it has been given some.
    pub fn remember(&mut self, recall: Recall) {
        self.recall.get_or_insert(recall);
    }

    /// Engines in the list, and how many of them get nothing new: drained, out by hand, or avoided by choice.
    pub fn engines(&self) -> (usize, usize) {
        let live = |l: &&Listed| l.member.availability == Availability::Live;
        let used = self.engines.values().filter(live).filter(|l| !self.module.avoids(&l.member.engine));
        (self.engines.len(), self.engines.len() - used.count())
    }

    /// There is a list service, and what this starts with names no engine: nothing can be served before it is heard.
    pub fn await_list(&mut self, now: Ms) {
        if self.told.is_empty() && self.service.is_none() {
            self.unlisted = Some(ComeBack::new(self.settings.seed, now));
        }
    }

    /// Whether nothing can be served as no list is known yet.
    pub fn awaits_list(&self) -> bool {
        self.unlisted.is_some()
    }

    /// Whether the list names that engine.
    pub fn lists(&self, id: &str) -> bool {
        self.told.iter().any(|l| &*l.member.engine.0 == id)
    }

    /// The number of the list that holds.
    pub fn serial(&self) -> Option<u64> {
        self.serial
    }

    /// The list as the service last told it, what has gone from it, and when it last spoke; none before it did.
    pub fn service_list(&self) -> Option<(Ms, &[Listed], &Gone)> {
        self.service.map(|at| (at, &*self.told, &self.gone))
    }

    /// What a successor is told of the list service: this process's own last word of it, or an earlier one's.
    pub fn heard(&self) -> Option<Heard> {
        let drains = |l: &&Listed| l.member.availability != Availability::Live;
        let drained = self.told.iter().filter(drains).map(|l| l.member.engine.0.to_string());
        let out = || drained.chain(self.gone.ids().map(str::to_owned));
        self.service.map(|at| Heard::new(at, out())).or_else(|| self.earlier.clone())
    }

    /// Requests that are open.
    pub fn open(&self) -> usize {
        self.open
    }

    /// How keys are kept.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Attempts and outcomes by class, in the order of the settings.
    pub fn counts(&self) -> &[Counts] {
        &self.counts
    }

    /// Whether the end was asked for.
    pub fn terminating(&self) -> bool {
        self.terminating.is_some()
    }

    /// When [`Event::Clock`] is due next.
    pub fn next_due(&self) -> Option<Ms> {
        self.timers.peek().map(|t| t.0)
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Ms, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::List(serial, list) => self.list(now, serial, list, effects),
            Event::Taken(ask) => self.take(now, ask, effects),
            Event::Left(id) => self.leave(now, id, effects),
            Event::Begun(id, rows) => self.begin(now, id, rows, effects),
            Event::More(id, part) => {
                if self.attempt(id).is_some_and(|a| a.out) {
                    effects.push(Effect::Part(id.0, part));
                }
            }
            Event::Ended(id, end) => self.end(now, id, end, effects),
            Event::Noted(id, note) => self.note(id, note),
            Event::Probed(tag, ok, report) => self.probed(now, tag, ok, report),
            Event::Clock => self.clock(now, effects),
            Event::Turn => self.turn(now, effects),
            Event::Recorded(numbers) => {
                numbers.into_iter().for_each(|n| self.recorded(now, n, true, effects))
            }
            Event::RecordsFailed(numbers) => {
                self.gate.failed();
                numbers.into_iter().for_each(|n| self.recorded(now, n, false, effects));
            }
            Event::LogBegun(keys) => {
                if self.gate.rewritten(&keys) {
                    self.mark(now, effects);
                }
            }
            Event::Tend => self.tend(now, effects),
            Event::HandOver => {
                if let Some(told) = self.terminating {
                    self.answer_by = told + self.limits.leave_answer;
                    self.timer(self.answer_by, Due::AnswerAll);
                }
            }
            Event::Hand(hand) => {
                self.hand = hand;
                self.merge(now, effects);
            }
            Event::Earlier(heard) if self.service.is_none() => {
                self.timer(heard.until(), Due::Earlier);
                self.earlier = Some(heard);
                self.merge(now, effects);
            }
            Event::Earlier(_) => {}
            Event::Heard(keys) => keys.into_iter().for_each(|(key, sends)| self.gate.hear(key, sends, now)),
            Event::Processes(n) => self.pending.push(crate::interface::Event::Processes(n as u32)),
            Event::Terminate => {
                if self.terminating.is_none() {
                    self.terminating = Some(now);
                    self.timer(now + self.limits.term_window, Due::Leave);
                    self.answer_by = now + self.limits.term_answer;
                    self.timer(self.answer_by, Due::AnswerAll);
                }
            }
        }
        self.exit_when_done(now, effects);
    }

    fn timer(&mut self, at: Ms, due: Due) {
        self.numbers += 1;
        self.timers.push(Timer(at, self.numbers, due));
    }

    fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.requests.get(&id.0).and_then(|r| r.attempts.get(id.1 as usize))
    }

    /// Lists come whole and numbered; one older than what is known came late and says nothing new.
    fn list(&mut self, now: Ms, serial: u64, list: Vec<Listed>, effects: &mut Vec<Effect>) {
        if let Some(known) = self.serial {
            if serial < known {
                return;
            }
            self.service = Some(now);
            // What an earlier process heard binds no longer: the service's own word does.
            if self.earlier.take().is_none() && self.unlisted.is_none() && serial == known {
                return;
            }
        }
        self.serial = Some(serial);
        let ids = list.iter().map(|l| &*l.member.engine.0).collect();
        self.gone.follow(self.told.iter().map(|l| &*l.member.engine.0), &ids);
        self.told = list;
        self.unlisted = None;
        self.merge(now, effects);
    }

    /// The list, the hand and what an earlier process heard make one list: an engine that is out by hand, or was drained
    /// or gone there, is one that drains, so what guards drains guards all three; one that was called back has just
    /// started.
    fn merge(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        self.hand.forget(now, self.settings.warm_within);
        let list: Vec<Listed> =
            self.told.iter().map(|l| merged(l, &self.hand, self.earlier.as_ref(), now)).collect();
        let mut before = std::mem::take(&mut self.engines);
        for listed in &list {
            before.remove(&listed.member.engine);
            if listed.member.availability != Availability::Live {
                effects.push(Effect::Shut(listed.member.engine.clone()));
            }
            self.engines.insert(listed.member.engine.clone(), listed.clone());
        }
        for (engine, _) in before {
            effects.push(Effect::Shut(engine.clone()));
            self.timer(now + self.limits.gone_grace, Due::Gone(engine));
        }
        let named = |l: &Listed| Named {
            id: l.member.engine.0.to_string(),
            address: l.address.to_string(),
            started: l.member.started,
        };
        let back =
            self.recall.as_mut().and_then(|r| r.list(&list.iter().map(named).collect::<Vec<_>>(), now));
        let members = list.into_iter().map(|l| l.member).collect();
        self.pending.push(crate::interface::Event::Members { whole: true, members });
        self.pending.extend(back.map(|b| crate::interface::Event::Recalled(Box::new(b))));
        self.recall.take_if(|r| r.over(now));
    }

    fn take(&mut self, now: Ms, ask: Ask, effects: &mut Vec<Effect>) {
        let (id, class, deadline) = (ask.asked.id, ask.asked.class, ask.asked.deadline);
        self.counts[class.0].taken += 1;
        // Guards the memory: past these limits a request is turned away before the module hears of it.
        if self.open >= self.limits.max_open || self.held + ask.statement.bytes() > self.limits.held_bytes {
            return self.turn_away(id, class, self.settings.max_retry_after, "limits", effects);
        }
        // Waiting for the list in a queue would end as the herd that it lets in: clients wait, each for another time.
        if let Some(line) = &mut self.unlisted {
            let wait = line.wait(now, self.settings.max_retry_after);
            return self.turn_away(id, class, wait, "no list", effects);
        }
        // Nothing new is begun once whatever is open was answered.
        if now >= self.answer_by {
            return self.turn_away(id, class, self.settings.max_retry_after, "ending", effects);
        }
        // A repeat that came while the engines remember its key must not leave after it: it would run twice.
        let key =
            ask.statement.key.as_ref().zip(self.window(class)).map(|(k, window)| (gate::key(k), window));
        let admitted = key.map(|(k, window)| self.gate.admit(&k, window, now, self.limits.answer_margin));
        let send_by = match admitted {
            None => f64::INFINITY,
            Some(Admission::Until(by)) => by,
            Some(Admission::Later(wait)) => {
                return self.turn_away(id, class, wait.min(self.settings.max_retry_after), "keys", effects);
            }
        };
        self.open += 1;
        self.held += ask.statement.bytes();
        let request = Request {
            statement: ask.statement,
            class,
            taken: now,
            key,
            deadline,
            send_by,
            attempts: Vec::new(),
            begun: false,
            over: false,
            terms: (0.0, 1),
            error: None,
        };
        self.requests.insert(id, request);
        self.timer(deadline - self.limits.answer_margin / 2.0, Due::Deadline(id));
        // The module plans by the time that there is: attempts end before the deadline, so that the answer can
        // leave. With the client's own deadline it sent again in the time between, which went against its ration.
        let deadline = deadline - self.limits.answer_margin;
        self.urgent = true;
        self.pending.push(crate::interface::Event::Request(Incoming { deadline, ..ask.asked }));
    }

    /// Refuses what was not taken.
    fn turn_away(
        &mut self,
        id: RequestId,
        class: ClassId,
        wait: Ms,
        why: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        *self.counts[class.0].refusals.entry(why).or_default() += 1;
        effects.push(Effect::Refused(id, class, why, 0.0));
        effects.push(Effect::Answer(id, Answer::Refused(wait)));
    }

    /// Refuses what was taken.
    fn refuse(&mut self, now: Ms, id: RequestId, wait: Ms, why: &'static str, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.over) else { return };
        let (class, waited, begun) = (r.class, now - r.taken, r.begun);
        self.stop(now, id, Outcome::Cancelled, effects);
        if !begun && self.requests.get(&id).is_some_and(|r| !r.over) {
            *self.counts[class.0].refusals.entry(why).or_default() += 1;
            effects.push(Effect::Refused(id, class, why, waited));
        }
        self.answer(id, Answer::Refused(wait), effects);
    }

    fn window(&self, class: ClassId) -> Option<Ms> {
        match self.settings.classes[class.0].repeat {
            Repeat::Keyed { window, .. } => Some(window),
            _ => None,
        }
    }

    /// Its attempts end here and now: one that still waits to be sent must not leave after its client has.
    fn leave(&mut self, now: Ms, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return };
        r.over = true;
        self.open -= 1;
        self.counts[r.class.0].left += 1;
        self.pending.push(crate::interface::Event::Gone(id));
        self.stop(now, id, Outcome::Cancelled, effects);
        self.forget(id);
    }

    /// Drops a request once it is answered and nothing is out for it.
    fn forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.over && r.attempts.iter().all(|a| !a.out)) else {
            return;
        };
        self.held -= r.statement.bytes();
        self.requests.remove(&id);
    }

    /// The one place from which final answers go.
    fn answer(&mut self, id: RequestId, answer: Answer, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return };
        r.over = true;
        self.open -= 1;
        let answer = if r.begun && !matches!(answer, Answer::Finished) { Answer::Cut } else { answer };
        effects.push(Effect::Answer(id, answer));
        self.forget(id);
    }

    fn begin(&mut self, now: Ms, id: AttemptId, rows: Rows, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id.0).filter(|r| !r.over && !r.begun) else { return };
        if !r.attempts.get(id.1 as usize).is_some_and(|a| a.out) || now >= r.deadline {
            return;
        }
        r.begun = true;
        self.pending.push(crate::interface::Event::Streaming { id: id.0 });
        effects.push(Effect::Begin(id.0, rows));
    }

    /// An attempt ended. A late word on one that was given up finds it not out, and changes nothing.
    fn end(&mut self, now: Ms, id: AttemptId, end: End, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id.0) else { return };
        let Some(a) = r.attempts.get_mut(id.1 as usize).filter(|a| a.out) else { return };
        a.out = false;
        let (engine, took) = (a.engine.clone(), now - a.sent);
        self.counts[r.class.0].outcomes[end.outcome as usize] += 1;
        let begun = r.begun;
        if end.outcome == Outcome::Ok {
            let whole = match end.error {
                _ if begun => Answer::Finished,
                // The engine did its part: the statement itself is at fault.
                Some(error) => Answer::Failed(Some(error)),
                None => Answer::Served(end.rows),
            };
            self.answer(id.0, whole, effects);
        } else if begun {
            self.answer(id.0, Answer::Cut, effects);
        } else {
            r.error = end.error;
        }
        let over = self.requests.get(&id.0).is_none_or(|r| r.over);
        self.urgent |= !over;
        self.pending.push(crate::interface::Event::Outcome {
            id: id.0,
            attempt: id.1,
            engine,
            outcome: end.outcome,
            took,
            over,
            work: end.work,
            report: end.report,
        });
        self.forget(id.0);
    }

    /// A progress update says nothing of an attempt that has ended or of a result that is being passed on.
    fn note(&mut self, id: AttemptId, note: Note) {
        let running = self.requests.get(&id.0).is_some_and(|r| !r.over && !r.begun);
        if running && self.attempt(id).is_some_and(|a| a.out) {
            self.pending.push(crate::interface::Event::Note { id: id.0, attempt: id.1, note });
        }
    }

    /// Ends an attempt from this side.
    fn give_up(&mut self, now: Ms, id: AttemptId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(engine) = self.attempt(id).filter(|a| a.out).map(|a| a.engine.clone()) else { return };
        effects.push(Effect::GiveUp(id, engine, outcome));
        self.end(now, id, End::plain(outcome), effects);
    }

    fn probe(&mut self, now: Ms, engine: EngineId, effects: &mut Vec<Effect>) {
        let listed = self.engines.get(&engine).filter(|l| l.member.availability == Availability::Live);
        let Some(address) = listed.map(|l| l.address) else { return };
        self.numbers += 1;
        let tag = self.numbers;
        self.probes.insert(tag, (engine.clone(), now));
        self.timer(now + self.limits.probe, Due::Probe(tag));
        effects.push(Effect::Probe(tag, engine, address));
    }

    fn probed(&mut self, now: Ms, tag: u64, ok: bool, report: Option<Report>) {
        if let Some((engine, sent)) = self.probes.remove(&tag) {
            self.pending.push(crate::interface::Event::Probed { engine, ok, took: now - sent, report });
        }
    }

    fn clock(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        while self.timers.peek().is_some_and(|t| t.0 <= now) {
            let Some(Timer(_, _, due)) = self.timers.pop() else { return };
            match due {
                Due::Module(token) => self.pending.push(crate::interface::Event::Timer(token)),
                // A stream that has begun has no deadline any more.
                Due::Attempt(id) if self.requests.get(&id.0).is_some_and(|r| !r.begun) => {
                    self.give_up(now, id, Outcome::Timeout, effects);
                }
                // The module answers in time by itself. This makes sure of it, whatever it does.
                Due::Deadline(id) => {
                    if self.requests.get(&id).is_some_and(|r| !r.over && !r.begun) {
                        self.stop(now, id, Outcome::Timeout, effects);
                        self.answer(id, Answer::Expired, effects);
                        self.pending.push(crate::interface::Event::Gone(id));
                    }
                }
                Due::Probe(tag) => self.probed(now, tag, false, None),
                // What ran on an engine that has left the list has ended with it, or never will.
                Due::Gone(engine) if !self.engines.contains_key(&engine) => {
                    for id in self.out_on(&engine) {
                        self.give_up(now, id, Outcome::Reset, effects);
                    }
                }
                Due::AnswerAll if now >= self.answer_by => self.answer_all(now, effects),
                // The disk hangs: what waits for it ends, and the log is not relied on until it is begun anew.
                Due::Record(number) if self.records.contains_key(&number) => {
                    self.gate.failed();
                    self.recorded(now, number, false, effects);
                }
                Due::Earlier if self.earlier.take_if(|e| now >= e.until()).is_some() => {
                    self.merge(now, effects)
                }
                Due::FirstProbes => {
                    for engine in self.first_probes.due(now) {
                        self.probe(now, engine, effects);
                    }
                }
                Due::Turn => self.turn_set = false,
                Due::Attempt(_)
                | Due::Gone(_)
                | Due::Leave
                | Due::Record(_)
                | Due::AnswerAll
                | Due::Earlier => {}
            }
        }
    }

    fn out_on(&self, engine: &EngineId) -> Vec<AttemptId> {
        let all = self
            .requests
            .iter()
            .flat_map(|(id, r)| r.attempts.iter().zip(0..).map(move |(a, n)| (*id, n, a)));
        all.filter(|(_, _, a)| a.out && a.engine == *engine).map(|(id, n, _)| (id, n)).collect()
    }

    fn stop(&mut self, now: Ms, id: RequestId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let attempts = self.requests.get(&id).map_or(0, |r| r.attempts.len() as u32);
        (0..attempts).for_each(|n| self.give_up(now, (id, n), outcome, effects));
    }

    /// The program must end soon: what is still open is answered while that can be done.
    fn answer_all(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| !r.over).map(|(id, _)| *id).collect();
        for id in open {
            let Some(r) = self.requests.get(&id) else { continue };
            let harmless = match self.settings.classes[r.class.0].repeat {
                Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. } => true,
                _ => r.attempts.is_empty(),
            };
            if harmless {
                self.refuse(now, id, self.settings.max_retry_after, "ending", effects);
            } else {
                self.stop(now, id, Outcome::Cancelled, effects);
                self.answer(id, Answer::Failed(None), effects);
            }
            self.pending.push(crate::interface::Event::Gone(id));
        }
    }

    fn exit_when_done(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        let window = |from: Ms| now >= from + self.limits.term_window;
        if self.open == 0 && self.terminating.is_some_and(window) {
            effects.push(Effect::Exit);
        }
    }

    /// Lets the module decide, and again while its own actions give it news. At once where somebody waits for it and
    /// turns have taken little time of late; else once in a while, with all that has come in.
    fn turn(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        if self.pending.is_empty() {
            return;
        }
        self.credit += (now - self.earned).max(0.0) * self.limits.turn_share;
        (self.credit, self.earned) = (self.credit.min(self.limits.turn_credit), now);
        if now < self.next_turn && !(self.urgent && self.credit > 0.0) {
            if !std::mem::replace(&mut self.turn_set, true) {
                self.timer(self.next_turn, Due::Turn);
            }
            return;
        }
        self.next_turn = now + self.limits.turn_gap;
        self.urgent = false;
        let mut actions = Vec::new();
        for _ in 0..=self.settings.send_cap {
            if self.pending.is_empty() {
                return;
            }
            let events = std::mem::take(&mut self.pending);
            self.module.turn(now, &events, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, effects);
            }
        }
    }

    /// So much time was spent on turns.
    pub fn spent(&mut self, time: Ms) {
        self.credit -= time;
    }

    /// Requests by class that could not be sent at once, and why.
    pub fn waits(&self) -> &[[u64; Why::COUNT]] {
        self.module.waits()
    }

    fn act(&mut self, now: Ms, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send { id, engine, timeout } => self.send(now, id, engine, timeout, effects),
            Action::Refuse { id, retry_after, why } => self.refuse(now, id, retry_after, why.name(), effects),
            Action::Fail { id } => {
                let error = self.requests.get_mut(&id).and_then(|r| r.error.take());
                self.stop(now, id, Outcome::Cancelled, effects);
                self.answer(id, Answer::Failed(error), effects);
            }
            Action::Cancel { id, attempt } => self.give_up(now, (id, attempt), Outcome::Cancelled, effects),
            Action::Terms { id, memory_mb, priority } => {
                let Some(r) = self.requests.get_mut(&id) else { return };
                let changed = r.terms.1 != priority;
                r.terms = (memory_mb, priority);
                for (a, n) in r.attempts.iter().zip(0..).filter(|(a, _)| a.out && changed) {
                    effects.push(Effect::Hurry((id, n), a.engine.clone(), priority));
                }
            }
            Action::Timer { after, token } => self.timer(now + after, Due::Module(token)),
            // The list is polled all the time; there is nothing to subscribe to.
            Action::Watch => {}
            Action::Probe { engine } => match self.first_probes.ask(engine, now) {
                Some(engine) => self.probe(now, engine, effects),
                None => self.timer(self.first_probes.until, Due::FirstProbes),
            },
        }
    }

    fn send(&mut self, now: Ms, id: RequestId, engine: EngineId, timeout: Ms, effects: &mut Vec<Effect>) {
        let listed = self.engines.get(&engine).filter(|l| l.member.availability == Availability::Live);
        let address = listed.map(|l| l.address);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let number = r.attempts.len() as u32;
        let lone = r.attempts.iter().all(|a| !a.out) || self.settings.may_copy;
        r.attempts.push(Attempt { engine: engine.clone(), sent: now, out: true, record: None });
        let ends = r.deadline - self.limits.answer_margin;
        let ends = if timeout > 0.0 { ends.min(now + timeout) } else { ends };
        let may = address.is_some() && lone && !r.over && now < r.send_by && now < ends;
        let leave = match r.key.filter(|_| may) {
            Some((key, window)) => self.gate.leave(&key, window, now),
            None if may => Leave::Now,
            None => Leave::No,
        };
        match leave {
            Leave::No => self.end(now, (id, number), End::plain(Outcome::Moot), effects),
            Leave::Now => self.go(now, (id, number), ends, effects),
            Leave::AfterRecord(sent) => {
                let Some((key, _)) = r.key else { return };
                self.numbers += 1;
                let record = self.numbers;
                if let Some(a) = r.attempts.last_mut() {
                    a.record = Some((record, sent, ends));
                }
                self.records.insert(record, (id, number));
                self.timer(now + self.limits.record, Due::Record(record));
                effects.push(Effect::Record(record, key, sent));
            }
        }
    }

    /// An attempt leaves, if its engine still takes work.
    fn go(&mut self, now: Ms, id: AttemptId, ends: Ms, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get(&id.0) else { return };
        let Some(engine) = r.attempts.get(id.1 as usize).map(|a| a.engine.clone()) else { return };
        let listed = self.engines.get(&engine).filter(|l| l.member.availability == Availability::Live);
        let Some(address) = listed.map(|l| l.address).filter(|_| now < ends) else {
            return self.end(now, id, End::plain(Outcome::Moot), effects);
        };
        let (memory_mb, priority) = r.terms;
        effects.push(Effect::Send(Send {
            id,
            engine,
            address,
            class: r.class,
            statement: r.statement.clone(),
            budget: ends - now,
            leave_within: Some(r.send_by - now).filter(|t| t.is_finite()),
            memory_mb,
            priority,
        }));
        self.timer(ends, Due::Attempt(id));
    }

    /// A record is durable, or never will be. Late words on one whose attempt was given up change nothing.
    fn recorded(&mut self, now: Ms, number: u64, durable: bool, effects: &mut Vec<Effect>) {
        let Some(id) = self.records.remove(&number) else { return };
        let Some(r) = self.requests.get_mut(&id.0) else { return };
        let (Some((key, _)), over, by) = (r.key, r.over, r.send_by) else { return };
        let Some(a) = r.attempts.get_mut(id.1 as usize) else { return };
        let Some((_, sent, ends)) = a.record.take() else { return };
        let in_time = durable && self.gate.recorded(&key, sent, now);
        if !a.out {
            return;
        }
        if in_time && !over && now < by {
            self.go(now, id, ends, effects);
        } else {
            self.end(now, id, End::plain(Outcome::Moot), effects);
        }
    }

    /// Looks after the log: a mark, or a new file where the old one failed or has grown long.
    fn tend(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        match self.gate.rewrite(now) {
            Some(rewrite) => effects.push(Effect::Rewrite(rewrite)),
            None => self.mark(now, effects),
        }
    }

    fn mark(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        effects.extend(self.gate.mark(now).map(|(at, shut_until)| Effect::Mark(at, shut_until)));
    }
}

//! What comes into the reducer and what goes out of it.

use super::types::{Answer, Ask, AttemptId, End, Listed, Rows, Statement};
use crate::interface::{ClassId, EngineId, Ms, Note, Outcome, Report, RequestId};
use starlingplank_knowledge::gate::{Key, Rewrite, Sends, Sent};
use starlingplank_operation::hand::Hand;
use starlingplank_operation::heard::Heard;
use std::net::SocketAddr;
use std::rc::Rc;

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

//! What clients, engines, the list service and the processes' parent saw in a play. The oracle reads nothing else.
//! All times are seconds since the play began, by one monotonic clock.

use std::collections::BTreeMap;

/// What a second execution of a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Class {
    /// No harm.
    Safe,
    /// Engines drop repeats of its key within the window.
    Keyed,
    /// Harm.
    Unsafe,
}

impl Class {
    /// The class's name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "lookup",
            Self::Keyed => "load",
            Self::Unsafe => "order",
        }
    }
}

/// How a gateway answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub enum Answer {
    /// With all rows.
    Served,
    /// With a refusal: a retry is harmless.
    Refused,
    /// With a failure.
    Failed,
}

/// How a client's wait for an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub enum RequestEnd {
    /// By an answer, at that time.
    Answered(f64, Answer),
    /// The client cancelled it or closed its connection, at that time.
    Gone(f64),
    /// The gateway closed or reset the connection, at that time.
    ConnectionLost(f64),
    /// Nothing came until that time.
    Nothing(f64),
}

/// One request of a client.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RequestRecord {
    /// The gateway, and which of its processes took the connection, counted from 0.
    pub gateway: usize,
    /// See `gateway`.
    pub incarnation: u32,
    /// Its class.
    pub class: Class,
    /// When its last byte was written.
    pub sent: f64,
    /// How long its client waits.
    pub limit: f64,
    /// How the wait ended.
    pub end: RequestEnd,
    /// Answers under its number after the first.
    pub further_answers: u32,
    /// It was not the first on its connection.
    pub on_used_connection: bool,
}

/// How an attempt ended, as its engine saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub enum AttemptEnd {
    /// Served.
    Served,
    /// Turned away unseen.
    NeverRan,
    /// It failed while it ran.
    Crashed,
    /// The gateway gave it up.
    GivenUp,
    /// Its connection ended.
    ConnectionClosed,
}

/// One attempt at an engine.
#[derive(Debug, Clone, serde::Serialize)]
pub struct AttemptRecord {
    /// The engine, by its number over all starts.
    pub engine: usize,
    /// When it had arrived whole.
    pub arrived: f64,
    /// The time that the gateway said it would wait, in seconds.
    pub budget: f64,
    /// When and how it ended; none: it is out at the end of the play.
    pub end: Option<(f64, AttemptEnd)>,
}

impl AttemptRecord {
    /// Whether it may have run, or may run still.
    pub fn may_have_run(&self) -> bool {
        self.end.is_none_or(|(_, end)| end != AttemptEnd::NeverRan)
    }
}

/// What happened to a process.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It listens.
    Listening,
    /// It was stopped.
    Stopped,
    /// It goes on.
    Continued,
    /// It was told to end.
    Terminated,
    /// It was killed by the play, as a process that dies.
    Killed,
    /// It was killed because its time after SIGTERM was over.
    Overdue,
    /// It ended with that code; none: by a signal.
    Exited(Option<i32>),
}

/// The life of one process.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ProcessRecord {
    /// What happened, in order.
    pub events: Vec<(f64, ProcessEvent)>,
    /// Lines of log that it wrote.
    pub log_lines: usize,
    /// Violations that it counted itself, as it told at its end.
    pub violations: Option<u64>,
}

impl ProcessRecord {
    /// When that first happened.
    pub fn first(&self, wanted: ProcessEvent) -> Option<f64> {
        self.events.iter().find(|(_, event)| *event == wanted).map(|(at, _)| *at)
    }

    /// For how long it was stopped between two times.
    pub fn stopped_within(&self, from: f64, to: f64) -> f64 {
        let mut total = 0.0;
        let mut since = None;
        for (at, event) in &self.events {
            match event {
                ProcessEvent::Stopped => since = Some(*at),
                ProcessEvent::Continued => {
                    let begun: Option<f64> = since.take();
                    total += begun.map_or(0.0, |begun| (at.min(to) - begun.max(from)).max(0.0));
                }
                _ => {}
            }
        }
        total + since.map_or(0.0, |begun| (to - begun.max(from)).max(0.0))
    }
}

/// An engine, from its start to its end.
#[derive(Debug, Clone, serde::Serialize)]
pub struct EngineRecord {
    /// When it was first listed; none: it was there from the start, and is warm.
    pub cold_since: Option<f64>,
    /// When it began to drain, and the version of the list that tells so.
    pub drained: Option<(f64, u32)>,
}

/// What a name service told a gateway, or a good answer would have told it.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct Announcement {
    /// The gateway.
    pub gateway: usize,
    /// When the answer was sent, or would have been.
    pub at: f64,
    /// The version of the list.
    pub version: u32,
    /// It was sent whole, and holds that version.
    pub is_good: bool,
}

/// A span in which a name service answered no question.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct Silence {
    /// Of that gateway; none: of all.
    pub gateway: Option<usize>,
    /// It began.
    pub from: f64,
    /// It ended.
    pub to: f64,
}

/// Everything that was seen.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Ledger {
    /// Requests by transaction id.
    pub requests: BTreeMap<String, RequestRecord>,
    /// Attempts by transaction id, in the order of their arrival.
    pub attempts: BTreeMap<String, Vec<AttemptRecord>>,
    /// Processes of each gateway, in the order of their starts.
    pub processes: Vec<Vec<ProcessRecord>>,
    /// Engines by number.
    pub engines: Vec<EngineRecord>,
    /// What the name services told.
    pub announcements: Vec<Announcement>,
    /// Spans in which the name services did not answer.
    pub silences: Vec<Silence>,
    /// SIGHUPs that moved the name service of a gateway, and when the last of each series came.
    pub moves: Vec<(usize, f64)>,
    /// Spans in which clients that say nothing filled a gateway's descriptors.
    pub crowds: Vec<(usize, f64, f64)>,
    /// Requests of the last check by gateway: how many were served of how many.
    pub recovered: Vec<(usize, usize)>,
    /// When the last trouble ended.
    pub last_trouble: f64,
}

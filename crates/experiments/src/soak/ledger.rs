//! The ledger: the records that clients, engines, the name service and the parent of the gateway processes make in a run. The oracle
//! reads nothing else. All times are seconds since the start of the run, by one monotonic clock.

use std::collections::BTreeMap;

/// Class of a request, by the effect of a second execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Class {
    /// A second execution has no effect.
    Idempotent,
    /// The request has an idempotency key. Engines discard repeats of the key within the deduplication window.
    Keyed,
    /// A second execution changes data again, so that the request must not be repeated.
    NotIdempotent,
}

impl Class {
    /// Returns the name of the class in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "lookup",
            Self::Keyed => "load",
            Self::NotIdempotent => "order",
        }
    }
}

/// Kind of a gateway's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub enum Answer {
    /// The answer contains all rows.
    Served,
    /// The gateway rejected the request without an execution: the client may retry it.
    Rejected,
    /// The request failed, and may have been executed.
    Failed,
}

/// Time of an event as the test process observed it. On a busy machine that process may get no processor time for a while, so that the
/// event happened at some time between an earlier reading of the clock and the observation.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Observation {
    /// Earlier reading of the clock at which the event had not yet happened.
    pub earliest: f64,
    /// Time at which the event was observed.
    pub latest: f64,
}

impl Observation {
    /// Returns an observation without uncertainty: the event happened at the time `at`.
    pub fn exact(at: f64) -> Self {
        Self { earliest: at, latest: at }
    }
}

/// End of a client's wait for an answer, with its time.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub enum RequestEnd {
    /// The client received an answer.
    Answered(f64, Answer),
    /// The client cancelled the request or disconnected.
    Abandoned(f64),
    /// The gateway closed or reset the connection.
    ConnectionLost(f64),
    /// No answer had arrived when the client stopped waiting, some seconds after its timeout.
    NoAnswer(f64),
    /// The client could not write the request completely, and disconnected.
    WriteFailed(f64),
}

/// Record of one request of a client.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RequestRecord {
    /// Number of the gateway to which the client sent the request.
    pub gateway: usize,
    /// Index of the gateway's process that accepted the connection, counted from 0 in the order of starts: the last one that was started
    /// before the client connected. In a hot restart the previous process may have accepted it.
    pub incarnation: u32,
    /// Class of the request.
    pub class: Class,
    /// Time at which the client had written the last byte of the request.
    pub sent: f64,
    /// Timeout of the client, in seconds from `sent`.
    pub timeout: f64,
    /// End of the client's wait for an answer.
    pub end: RequestEnd,
    /// Earliest time at which the client's wait may have ended.
    pub ended_after: f64,
    /// Number of answers that followed the first.
    pub further_answers: u32,
    /// Whether an earlier request was sent on the same connection.
    pub on_used_connection: bool,
}

/// Outcome of an attempt, as its engine recorded it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub enum AttemptOutcome {
    /// The engine served the attempt.
    Served,
    /// The engine rejected the attempt before execution.
    NotExecuted,
    /// The gateway cancelled the attempt.
    Cancelled,
    /// The connection between gateway and engine ended.
    ConnectionClosed,
}

/// End of an attempt at its engine.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct AttemptEnd {
    /// Time at which the attempt ended.
    pub at: Observation,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Record of one attempt at an engine.
#[derive(Debug, Clone, serde::Serialize)]
pub struct AttemptRecord {
    /// Number of the engine. A restarted engine gets a new number.
    pub engine: usize,
    /// Time at which the engine had received the complete attempt.
    pub arrived: Observation,
    /// Time to the deadline, in seconds, as the gateway stated it to the engine.
    pub budget: f64,
    /// End of the attempt; `None` if it was still in flight at the end of the run.
    pub end: Option<AttemptEnd>,
}

impl AttemptRecord {
    /// Returns whether the engine may have executed the attempt, or may still be executing it.
    pub fn may_have_run(&self) -> bool {
        self.end.is_none_or(|end| end.outcome != AttemptOutcome::NotExecuted)
    }
}

/// Event of a gateway process.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub enum ProcessEvent {
    /// The run started the process.
    Started,
    /// The process logged that it accepts client connections.
    Listening,
    /// The run paused the process with SIGSTOP.
    Paused,
    /// The run resumed the process with SIGCONT.
    Resumed,
    /// The run sent SIGTERM.
    Terminated,
    /// The run sent SIGKILL as an injected fault.
    Killed,
    /// The run sent SIGKILL because the process had not exited within the grace period after SIGTERM (3.7 s, 4.7 s in a hot restart).
    Overdue,
    /// The process exited with this code; `None` if a signal ended it.
    Exited(Option<i32>),
}

/// Record of one gateway process.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ProcessRecord {
    /// Events with their times, in chronological order.
    pub events: Vec<(f64, ProcessEvent)>,
    /// Number of lines that the process logged.
    pub log_lines: usize,
    /// Number of rule violations that the process counted itself and logged when it exited; `None` if it logged none.
    pub violations: Option<u64>,
}

impl ProcessRecord {
    /// Returns the time of the first event of this kind.
    pub fn first(&self, wanted: ProcessEvent) -> Option<f64> {
        self.events.iter().find(|(_, event)| *event == wanted).map(|(at, _)| *at)
    }

    /// Returns the time at which the process exited and its exit code; the code is `None` if a signal ended the process.
    pub fn exit(&self) -> Option<(f64, Option<i32>)> {
        self.events.iter().find_map(|(at, event)| match event {
            ProcessEvent::Exited(code) => Some((*at, *code)),
            _ => None,
        })
    }

    /// Returns whether the process had been started by the time `at` and had not exited.
    pub fn is_running(&self, at: f64) -> bool {
        self.first(ProcessEvent::Started).is_some_and(|started| started <= at)
            && self.exit().is_none_or(|(ended, _)| ended > at)
    }

    /// Returns the time at which the process was resumed from the pause that it was in at the time `at`; `None` if it was not paused then.
    pub fn resumed_after(&self, at: f64) -> Option<f64> {
        let is_of_pause = |event: ProcessEvent| matches!(event, ProcessEvent::Paused | ProcessEvent::Resumed);
        let mut pauses = self.events.iter().filter(|(_, event)| is_of_pause(*event));
        let (before, after): (Vec<_>, Vec<_>) = pauses.by_ref().partition(|(time, _)| *time <= at);
        let is_paused = before.last().is_some_and(|(_, event)| *event == ProcessEvent::Paused);
        after.first().filter(|_| is_paused).map(|(resumed, _)| *resumed)
    }

    /// Returns whether the process was paused when the run killed it at the end of the grace period after SIGTERM.
    pub fn is_paused_when_overdue(&self) -> bool {
        let before = self.events.iter().take_while(|(_, event)| *event != ProcessEvent::Overdue);
        let pauses =
            before.filter(|(_, event)| matches!(event, ProcessEvent::Paused | ProcessEvent::Resumed));
        self.first(ProcessEvent::Overdue).is_some()
            && pauses.last().is_some_and(|(_, event)| *event == ProcessEvent::Paused)
    }

    /// Returns the time in seconds for which the process was paused between SIGTERM and the SIGKILL at the end of the grace period; 0 if
    /// the run did not send that SIGKILL.
    pub fn paused_in_shutdown(&self) -> f64 {
        let shutdown = self.first(ProcessEvent::Terminated).zip(self.first(ProcessEvent::Overdue));
        shutdown.map_or(0.0, |(terminated, killed)| self.paused_within(terminated, killed))
    }

    /// Returns the time in seconds for which the process was paused between `from` and `to`.
    pub fn paused_within(&self, from: f64, to: f64) -> f64 {
        let mut total = 0.0;
        let mut paused_at = None;
        for (at, event) in &self.events {
            match event {
                ProcessEvent::Paused => paused_at = Some(*at),
                ProcessEvent::Resumed => {
                    let begun: Option<f64> = paused_at.take();
                    total += begun.map_or(0.0, |begun| (at.min(to) - begun.max(from)).max(0.0));
                }
                _ => {}
            }
        }
        total + paused_at.map_or(0.0, |begun| (to - begun.max(from)).max(0.0))
    }
}

/// Change of the endpoint list that marks an engine as draining.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Drain {
    /// Time of the change.
    pub at: f64,
    /// First version of the endpoint list that contains the change.
    pub version: u32,
}

/// Record of an engine, from its start to its end.
#[derive(Debug, Clone, serde::Serialize)]
pub struct EngineRecord {
    /// Time at which the engine started cold; `None` for engines that run from the beginning and are warm.
    pub cold_since: Option<f64>,
    /// Drain of the engine, if it was drained.
    pub drain: Option<Drain>,
}

/// Endpoint list that the name service sent to a gateway, or would have sent in place of a lost or invalid response.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct Announcement {
    /// Number of the gateway.
    pub gateway: usize,
    /// Time at which the response was sent, or would have been sent.
    pub at: f64,
    /// Version of the list.
    pub version: u32,
    /// Whether the response was valid and contained this version.
    pub is_valid: bool,
}

/// Span in which the name service responded to no poll.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct Silence {
    /// Number of the gateway whose polls got no response; `None` for all gateways.
    pub gateway: Option<usize>,
    /// Beginning of the span.
    pub from: f64,
    /// End of the span.
    pub to: f64,
}

/// Series of SIGHUPs with which a gateway's configuration changed to another address of the name service.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct Relocation {
    /// Number of the gateway.
    pub gateway: usize,
    /// Time at which the last SIGHUP was sent.
    pub at: f64,
}

/// Span in which idle connections exhausted a gateway's file descriptors.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct ConnectionFlood {
    /// Number of the gateway.
    pub gateway: usize,
    /// Beginning of the span.
    pub from: f64,
    /// End of the span.
    pub to: f64,
}

/// Requests sent to a gateway after the last fault, to check that it has recovered.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct RecoveryCheck {
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests that were sent.
    pub sent: usize,
}

/// All records of a run.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Ledger {
    /// Requests, by transaction id.
    pub requests: BTreeMap<String, RequestRecord>,
    /// Attempts, by transaction id, in the order of their arrival at engines.
    pub attempts: BTreeMap<String, Vec<AttemptRecord>>,
    /// Processes, by gateway number, in the order of their starts.
    pub processes: Vec<Vec<ProcessRecord>>,
    /// Engines, by number.
    pub engines: Vec<EngineRecord>,
    /// Endpoint lists that the name service sent, or would have sent with a valid response.
    pub announcements: Vec<Announcement>,
    /// Spans in which the name service did not respond.
    pub silences: Vec<Silence>,
    /// Relocations of a gateway's name service.
    pub relocations: Vec<Relocation>,
    /// Floods of idle connections.
    pub connection_floods: Vec<ConnectionFlood>,
    /// Recovery check of each gateway after the last fault.
    pub recovery_checks: Vec<RecoveryCheck>,
    /// Time at which the last fault ended.
    pub last_fault_ended: f64,
}

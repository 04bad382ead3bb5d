//! Decisions of the processes of one gateway that replace each other in a hot restart, based on the state of the other
//! processes in their shared folder. Rules: a successor listens only once it can serve as well as its predecessor; a process
//! stops listening only once a later one listens; while several processes run, each uses its share of the gateway's limits.

use std::time::Duration;

/// Maximum time for which a successor waits for the endpoint list before it listens without the list.
pub const LIST_WAIT: Duration = Duration::from_millis(1_000);

/// Stage in the lifecycle of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The process has started and does not listen yet.
    Starting,
    /// The process listens.
    Listening,
    /// The process has stopped listening and finishes its open requests and connections.
    Draining,
}

impl Stage {
    /// Returns the text of the stage in the process's file. All texts have the same length, so that each overwrites another one
    /// completely.
    pub fn file_text(self) -> &'static str {
        match self {
            Stage::Starting => "starting \n",
            Stage::Listening => "listening\n",
            Stage::Draining => "leaving  \n",
        }
    }

    /// Parses the text of a process's file. Any other text means that the process has not written the file yet, so it is starting.
    pub fn read(text: &str) -> Self {
        match text.trim_end() {
            "listening" => Stage::Listening,
            "leaving" => Stage::Draining,
            _ => Stage::Starting,
        }
    }
}

/// Another running process of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProcess {
    /// Number of the process; the later of two processes has the higher number.
    pub incarnation: u64,
    /// Stage of the process.
    pub stage: Stage,
}

/// State of a starting process that determines whether it can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readiness {
    /// Whether the name service has sent the endpoint list.
    pub list_received: bool,
    /// Whether any engine is known, from the endpoint list or another source.
    pub knows_engines: bool,
    /// Time since the start of the process.
    pub waited: Duration,
}

/// Returns whether a process may listen. A process without a predecessor may listen at once, as no other process serves. A
/// successor may listen once it has received the endpoint list, or once it has waited for [`LIST_WAIT`] and knows an engine
/// from another source: a successor that knows no engine would reject requests that its predecessor can serve.
pub fn may_listen(own: u64, others: &[PeerProcess], readiness: Readiness) -> bool {
    let has_predecessor =
        others.iter().any(|other| other.incarnation < own && other.stage != Stage::Draining);
    let may_go_without_list = readiness.knows_engines && readiness.waited >= LIST_WAIT;
    !has_predecessor || readiness.list_received || may_go_without_list
}

/// Returns whether a later process listens, so that a process that is shutting down may stop listening.
pub fn successor_listens(own: u64, others: &[PeerProcess]) -> bool {
    others.iter().any(|other| other.incarnation > own && other.stage == Stage::Listening)
}

/// Returns whether a process that is shutting down should wait for a successor that has started and does not listen yet. The
/// wait is limited to `max_wait`, as the remaining time is needed to finish open requests and close connections.
pub fn awaits_successor(own: u64, others: &[PeerProcess], waited: Duration, max_wait: Duration) -> bool {
    let successor_starts =
        others.iter().any(|other| other.incarnation > own && other.stage == Stage::Starting);
    successor_starts && !successor_listens(own, others) && waited < max_wait
}

/// Returns the number of processes that share the gateway's limits.
pub fn process_count(others: &[PeerProcess]) -> usize {
    1 + others.len()
}

#[cfg(test)]
mod tests;

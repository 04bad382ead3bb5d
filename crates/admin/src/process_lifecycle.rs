//! The processes of one gateway, which replace each other. What a process sees of the others in their folder goes in; what
//! it may do comes out. Rules: a successor listens only once it could serve as well as its predecessor; a process stops
//! listening only once a later one listens; while several run, each uses its share of what one may use.

use std::time::Duration;

/// Longest time that a successor waits for the endpoint list before it listens without it.
pub const LIST_WAIT: Duration = Duration::from_millis(1_000);

/// How far another process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It has started and does not listen yet.
    Starting,
    /// It listens.
    Listening,
    /// It has stopped listening and finishes what is open.
    Draining,
}

impl Stage {
    /// The stage as it stands in the process's file. All have the same length, so that one overwrites another completely.
    pub fn file_text(self) -> &'static str {
        match self {
            Stage::Starting => "starting \n",
            Stage::Listening => "listening\n",
            Stage::Draining => "leaving  \n",
        }
    }

    /// Reads the file's text. A process whose text cannot be read has not got as far as writing it.
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
    /// Its number: the later of two processes has the higher one.
    pub incarnation: u64,
    /// How far it is.
    pub stage: Stage,
}

/// What a starting process has to serve with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readiness {
    /// Whether the list service has sent the endpoint list.
    pub list_received: bool,
    /// Whether some engine is known, from the list or without it.
    pub knows_engines: bool,
    /// Time since the start.
    pub waited: Duration,
}

/// Whether a process may listen. One without a predecessor may at once, as nobody else serves. A successor may once it has
/// received the endpoint list, or has waited for it long enough and knows some engine without it; one that knows none
/// would reject what its predecessor serves.
pub fn may_listen(own: u64, others: &[PeerProcess], readiness: Readiness) -> bool {
    let has_predecessor =
        others.iter().any(|other| other.incarnation < own && other.stage != Stage::Draining);
    let may_go_without_list = readiness.knows_engines && readiness.waited >= LIST_WAIT;
    !has_predecessor || readiness.list_received || may_go_without_list
}

/// Whether a later process listens, so that a process that was told to end may stop listening.
pub fn successor_listens(own: u64, others: &[PeerProcess]) -> bool {
    others.iter().any(|other| other.incarnation > own && other.stage == Stage::Listening)
}

/// Whether a process that was told to end should wait for a successor that has started and does not listen yet. It waits no
/// longer than `max_wait`: after that the time is needed to close what is open.
pub fn awaits_successor(own: u64, others: &[PeerProcess], waited: Duration, max_wait: Duration) -> bool {
    let successor_starts =
        others.iter().any(|other| other.incarnation > own && other.stage == Stage::Starting);
    successor_starts && !successor_listens(own, others) && waited < max_wait
}

/// The number of processes that share what one gateway may use.
pub fn process_count(others: &[PeerProcess]) -> usize {
    1 + others.len()
}

#[cfg(test)]
mod tests;

//! The processes of one gateway, one after the other. In comes what a process sees of the others in their folder; out
//! comes what it may do. Rules: a successor listens only once it could serve as well as its predecessor; a process
//! stops listening only once a later one listens; while two run, each takes its part of what one may use.

use std::time::Duration;

/// How another process stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It has started and does not listen yet.
    Starting,
    /// It listens.
    Listening,
    /// It was told to end.
    Leaving,
}

impl Stage {
    /// As it stands in its file: all words have one length, so that one is written over another at once.
    pub fn word(self) -> &'static str {
        match self {
            Stage::Starting => "starting \n",
            Stage::Listening => "listening\n",
            Stage::Leaving => "leaving  \n",
        }
    }

    /// Reads the file; what cannot be read is one that has not come far enough to write it.
    pub fn read(text: &str) -> Self {
        match text.trim_end() {
            "listening" => Stage::Listening,
            "leaving" => Stage::Leaving,
            _ => Stage::Starting,
        }
    }
}

/// Another process that lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProcess {
    /// Its number: the later one of two has the higher.
    pub life: u64,
    /// How it stands.
    pub stage: Stage,
}

/// Longest that a successor waits for the list before it listens without it.
pub const LIST_WAIT: Duration = Duration::from_millis(1_000);

/// Whether a process may listen: one that is alone at once, as nobody else serves; a successor once it has heard the
/// list, or has waited for it long enough and knows some engine without it. One that knows none would turn away what its
/// predecessor serves.
pub fn may_listen(own: u64, others: &[PeerProcess], heard_list: bool, knows: bool, waited: Duration) -> bool {
    let before = others.iter().any(|o| o.life < own && o.stage != Stage::Leaving);
    !before || heard_list || knows && waited >= LIST_WAIT
}

/// Whether a process that was told to end stops listening.
pub fn hands_over(own: u64, others: &[PeerProcess]) -> bool {
    others.iter().any(|o| o.life > own && o.stage == Stage::Listening)
}

/// Whether one that was told to end should wait for a successor that has started and does not listen yet. Not past `most`:
/// from then on there is time to close what is open, and no more.
pub fn awaited(own: u64, others: &[PeerProcess], waited: Duration, most: Duration) -> bool {
    let starts = others.iter().any(|o| o.life > own && o.stage == Stage::Starting);
    starts && !hands_over(own, others) && waited < most
}

/// By how many what one gateway may use is divided.
pub fn processes(others: &[PeerProcess]) -> usize {
    1 + others.len()
}

#[cfg(test)]
mod tests;

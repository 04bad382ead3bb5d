//! Start times of engines, converted to this gateway's own clock.
//!
//! The endpoint list states a start by the wall clock of another machine, which may have been stepped. Input: the
//! stated starts, and the times at which lists were received. Output: a start that is never in the future, and never
//! earlier than the last list that did not state it. An engine that joins is therefore in slow start for a span of
//! real time, regardless of changes of wall clocks.

use crate::types::{EngineId, Milliseconds};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of starts that are recorded; above it, those of engines that have left the list are discarded.
const MAX_RECORDED_STARTS: usize = 10_000;

/// Start of an engine as the list states it, and as converted to this gateway's clock.
#[derive(Debug, Clone, Copy)]
struct Start {
    stated: Milliseconds,
    local: Milliseconds,
}

/// Start times of the engines in the endpoint list.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<EngineId, Start>,
    /// Time at which the list was last received.
    confirmed_at: Option<Milliseconds>,
}

impl StartTimes {
    /// Records that the list was received again, unchanged, at `now`.
    pub fn confirm_list(&mut self, now: Milliseconds) {
        self.confirmed_at = Some(now);
    }

    /// Processes a complete list: each engine with the start that the list states; `None`: the engine started long
    /// ago.
    pub fn record_list(&mut self, list: &[(EngineId, Option<Milliseconds>)], now: Milliseconds) {
        for (engine, stated) in list {
            self.learn(engine, *stated, now);
        }
        self.discard_removed_starts(list);
        self.confirm_list(now);
    }

    /// Returns the time by this gateway's clock at which an engine of the last list started; `None`: long ago.
    pub fn local_start(&self, engine: &EngineId, stated: Option<Milliseconds>) -> Option<Milliseconds> {
        stated.and_then(|stated| self.known(engine, stated)).map(|start| start.local)
    }

    fn learn(&mut self, engine: &EngineId, stated: Option<Milliseconds>, now: Milliseconds) {
        let Some(stated) = stated.filter(|at| at.is_finite()) else { return };
        if self.known(engine, stated).is_none() {
            let local = self.convert(stated, now);
            self.starts.insert(engine.clone(), Start { stated, local });
        }
    }

    fn known(&self, engine: &EngineId, stated: Milliseconds) -> Option<&Start> {
        self.starts.get(engine).filter(|start| start.stated == stated)
    }

    /// Converts a start that this list is the first to state. Before the first list, only the stated wall clock time
    /// gives its age.
    fn convert(&self, stated: Milliseconds, now: Milliseconds) -> Milliseconds {
        stated.max(self.confirmed_at.unwrap_or(f64::NEG_INFINITY)).min(now)
    }

    fn discard_removed_starts(&mut self, list: &[(EngineId, Option<Milliseconds>)]) {
        if self.starts.len() > MAX_RECORDED_STARTS {
            let members: BTreeSet<&EngineId> = list.iter().map(|(engine, _)| engine).collect();
            self.starts.retain(|engine, _| members.contains(engine));
        }
    }
}

#[cfg(test)]
mod tests;

//! When engines started, by this gateway's own clock.
//!
//! The endpoint list states a start by the wall clock of another machine, which may have been stepped. In: the stated
//! starts, and the times at which lists were received. Out: a start that is never in the future, and never earlier than
//! the last list that did not state it. An engine that joins is therefore in slow start for a span of real time,
//! whatever wall clocks show.

use crate::types::{EngineId, Milliseconds};
use std::collections::{BTreeMap, BTreeSet};

/// The most starts that are remembered; past it, those of engines that left the list are forgotten.
const MAX_REMEMBERED: usize = 10_000;

/// A start as the list states it, and as it counts here.
#[derive(Debug, Clone, Copy)]
struct Start {
    stated: Milliseconds,
    local: Milliseconds,
}

/// The starts of the engines in the endpoint list.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<EngineId, Start>,
    /// When the list was last received.
    confirmed_at: Option<Milliseconds>,
}

impl StartTimes {
    /// The list was received again, unchanged, at that time.
    pub fn confirm(&mut self, now: Milliseconds) {
        self.confirmed_at = Some(now);
    }

    /// A complete list was received: each engine with the start that the list states; `None`: long ago.
    pub fn receive(&mut self, list: &[(EngineId, Option<Milliseconds>)], now: Milliseconds) {
        for (engine, stated) in list {
            self.learn(engine, *stated, now);
        }
        self.forget_past_bound(list);
        self.confirm(now);
    }

    /// When an engine of the last list started, by this gateway's clock; `None`: long ago.
    pub fn local(&self, engine: &EngineId, stated: Option<Milliseconds>) -> Option<Milliseconds> {
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

    /// A start that this list is the first to state. Before the first list only the wall clock tells its age.
    fn convert(&self, stated: Milliseconds, now: Milliseconds) -> Milliseconds {
        stated.max(self.confirmed_at.unwrap_or(f64::NEG_INFINITY)).min(now)
    }

    fn forget_past_bound(&mut self, list: &[(EngineId, Option<Milliseconds>)]) {
        if self.starts.len() > MAX_REMEMBERED {
            let members: BTreeSet<&EngineId> = list.iter().map(|(engine, _)| engine).collect();
            self.starts.retain(|engine, _| members.contains(engine));
        }
    }
}

#[cfg(test)]
mod tests;

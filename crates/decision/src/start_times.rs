//! When engines started, by this gateway's own clock.
//!
//! The list tells a start by the wall clock of another machine, which may have been stepped. In come the lists' words and the
//! times at which they were received; out comes a start that is never in the future, and never earlier than the last list
//! that did not tell of it. Rule: **an engine that joins is in slow start for a span of real time, whatever wall clocks say**.

use crate::interface::{EngineId, Milliseconds};
use std::collections::{BTreeMap, BTreeSet};

/// Starts that are remembered at most; those of engines that left the list are forgotten first.
const REMEMBERED: usize = 10_000;

/// A start as the list told it, and as it counts here.
#[derive(Debug, Clone, Copy)]
struct Start {
    told: Milliseconds,
    local: Milliseconds,
}

/// The starts of the engines that lists have told of.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<EngineId, Start>,
    /// When the list was last received.
    confirmed_at: Option<Milliseconds>,
}

impl StartTimes {
    /// The list was received again at that time, and has not changed.
    pub fn confirm(&mut self, now: Milliseconds) {
        self.confirmed_at = Some(now);
    }

    /// A whole list was received: each engine with the start that it tells, none for one long ago.
    pub fn receive(&mut self, list: &[(EngineId, Option<Milliseconds>)], now: Milliseconds) {
        for (engine, told) in list {
            self.learn(engine, *told, now);
        }
        self.forget_past_bound(list);
        self.confirm(now);
    }

    /// When an engine of the last list started, as it counts here; none: long ago.
    pub fn local(&self, engine: &EngineId, told: Option<Milliseconds>) -> Option<Milliseconds> {
        told.and_then(|told| self.known(engine, told)).map(|start| start.local)
    }

    fn learn(&mut self, engine: &EngineId, told: Option<Milliseconds>, now: Milliseconds) {
        let Some(told) = told.filter(|at| at.is_finite()) else { return };
        if self.known(engine, told).is_none() {
            let local = self.convert(told, now);
            self.starts.insert(engine.clone(), Start { told, local });
        }
    }

    fn known(&self, engine: &EngineId, told: Milliseconds) -> Option<&Start> {
        self.starts.get(engine).filter(|start| start.told == told)
    }

    /// A start that this list tells for the first time. Before the first list only the wall clock tells its age.
    fn convert(&self, told: Milliseconds, now: Milliseconds) -> Milliseconds {
        told.max(self.confirmed_at.unwrap_or(f64::NEG_INFINITY)).min(now)
    }

    fn forget_past_bound(&mut self, list: &[(EngineId, Option<Milliseconds>)]) {
        if self.starts.len() > REMEMBERED {
            let listed: BTreeSet<&EngineId> = list.iter().map(|(engine, _)| engine).collect();
            self.starts.retain(|engine, _| listed.contains(engine));
        }
    }
}

#[cfg(test)]
mod tests;

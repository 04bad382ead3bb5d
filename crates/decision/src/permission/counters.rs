//! Counters of refused sends, and of the violations among them.

use super::send::SendRefusal;
use std::cell::Cell;
use std::collections::BTreeMap;

/// Number of refused sends since the start of the process, by reason.
#[derive(Debug, Default)]
pub struct RuleCounters {
    refused: [Cell<u64>; SendRefusal::ALL.len()],
}

impl RuleCounters {
    /// Counts an attempt that was not sent because of `refusal`.
    pub fn count(&self, refusal: SendRefusal) {
        let cell = &self.refused[refusal as usize];
        cell.set(cell.get() + 1);
    }

    /// Returns the number of attempts that were not sent because of `refusal`.
    pub fn refused(&self, refusal: SendRefusal) -> u64 {
        self.refused[refusal as usize].get()
    }

    /// Returns the number of violations, see [`SendRefusal::is_violation`]. Each was detected before anything was
    /// sent.
    pub fn violations(&self) -> u64 {
        let violations = SendRefusal::ALL.iter().filter(|refusal| refusal.is_violation());
        violations.map(|refusal| self.refused(*refusal)).sum()
    }

    /// Returns the counters that are not zero, by the name of the reason.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let all = SendRefusal::ALL.iter().map(|refusal| (refusal.name(), self.refused(*refusal)));
        all.filter(|(_, count)| *count > 0).collect()
    }
}

//! Counts of what the rules refused, and of violations that they caught.

use super::send::SendRefusal;
use std::cell::Cell;
use std::collections::BTreeMap;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct RuleCounters {
    refused: [Cell<u64>; SendRefusal::ALL.len()],
}

impl RuleCounters {
    /// An attempt was not sent.
    pub fn count(&self, refusal: SendRefusal) {
        let cell = &self.refused[refusal as usize];
        cell.set(cell.get() + 1);
    }

    /// How often attempts were not sent for that reason.
    pub fn refused(&self, refusal: SendRefusal) -> u64 {
        self.refused[refusal as usize].get()
    }

    /// Violations that were caught before anything was sent.
    pub fn violations(&self) -> u64 {
        let violations = SendRefusal::ALL.iter().filter(|refusal| refusal.is_violation());
        violations.map(|refusal| self.refused(*refusal)).sum()
    }

    /// The counts that are not zero, by name.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let all = SendRefusal::ALL.iter().map(|refusal| (refusal.name(), self.refused(*refusal)));
        all.filter(|(_, count)| *count > 0).collect()
    }
}

//! Log lines about what others do wrong: however often they do it, the lines stay few.

use crate::limits::Limits;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

thread_local! {
    /// By what is said: when it was last said, and how often it has been left unsaid since.
    static SAID: RefCell<BTreeMap<&'static str, (Instant, u64)>> = const { RefCell::new(BTreeMap::new()) };
}

/// Says something once in a while; between two such lines it is counted alone.
pub fn seldom(limits: &Limits, what: &'static str) {
    SAID.with_borrow_mut(|said| match said.get_mut(what) {
        Some((at, more)) if at.elapsed() < limits.log_gap => *more += 1,
        before => {
            match before.map_or(0, |(_, more)| *more) {
                0 => eprintln!("{what}"),
                more => eprintln!("{what} (and {more} times more since this was last said)"),
            }
            said.insert(what, (Instant::now(), 0));
        }
    });
}

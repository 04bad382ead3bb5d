//! Until when the list of engines may be relied on. Whoever sends new work looks at it at that moment.

use crate::interface::Milliseconds;
use std::cell::Cell;
use std::rc::Rc;

/// The time until which the list may be relied on, shared by the reducer and the writers. A gateway whose list needs no
/// confirmation has one without end.
#[derive(Debug, Clone)]
pub struct ListLease(Rc<Cell<Milliseconds>>);

impl Default for ListLease {
    fn default() -> Self {
        Self(Rc::new(Cell::new(f64::INFINITY)))
    }
}

impl ListLease {
    /// The list may be relied on until then.
    pub fn set(&self, until: Milliseconds) {
        self.0.set(until);
    }

    /// Its end.
    pub fn until(&self) -> Milliseconds {
        self.0.get()
    }

    /// Whether the list may be relied on.
    pub fn holds(&self, now: Milliseconds) -> bool {
        now < self.0.get()
    }
}

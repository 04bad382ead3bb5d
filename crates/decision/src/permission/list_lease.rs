//! The lease of the endpoint list: new work may be sent only while the list was confirmed recently enough. The lease
//! is checked before each send.

use crate::interface::Milliseconds;
use std::cell::Cell;
use std::rc::Rc;

/// Time at which the lease ends, shared by the reducer, which sets it, and the writers. A gateway whose list needs no
/// confirmation has a lease that never ends.
#[derive(Debug, Clone)]
pub struct ListLease(Rc<Cell<Milliseconds>>);

impl Default for ListLease {
    fn default() -> Self {
        Self(Rc::new(Cell::new(f64::INFINITY)))
    }
}

impl ListLease {
    /// Sets the time at which the lease ends.
    pub fn set(&self, until: Milliseconds) {
        self.0.set(until);
    }

    /// Returns the time at which the lease ends.
    pub fn until(&self) -> Milliseconds {
        self.0.get()
    }

    /// Returns whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Milliseconds) -> bool {
        now < self.0.get()
    }
}

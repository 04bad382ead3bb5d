//! The lease of the endpoint list: until when the list counts as recent enough to send new work by it. It is checked at
//! each send.

use crate::interface::Milliseconds;
use std::cell::Cell;
use std::rc::Rc;

/// The end of the lease, shared by the reducer, which sets it, and the writers. A gateway whose list needs no confirmation
/// has a lease without end.
#[derive(Debug, Clone)]
pub struct ListLease(Rc<Cell<Milliseconds>>);

impl Default for ListLease {
    fn default() -> Self {
        Self(Rc::new(Cell::new(f64::INFINITY)))
    }
}

impl ListLease {
    /// Sets the end of the lease.
    pub fn set(&self, until: Milliseconds) {
        self.0.set(until);
    }

    /// The end of the lease.
    pub fn until(&self) -> Milliseconds {
        self.0.get()
    }

    /// Whether the lease holds at that time.
    pub fn is_valid(&self, now: Milliseconds) -> bool {
        now < self.0.get()
    }
}

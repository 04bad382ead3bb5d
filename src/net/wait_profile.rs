//! What the tasks of client connections wait for: how many wait now, and the longest wait.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Resource for which a client's connection waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Memory for a message.
    Memory,
    /// A turn in the event loop.
    Turn,
    /// A connection slot.
    Slot,
}

impl Resource {
    /// All resources, in the order of their discriminants.
    pub const ALL: [Self; 3] = [Self::Memory, Self::Turn, Self::Slot];

    /// Returns the name of the resource in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Turn => "turn",
            Self::Slot => "slot",
        }
    }
}

/// Waits for each resource since the start of the process.
#[derive(Debug, Default)]
pub struct WaitProfile {
    waiting: [Cell<u64>; Resource::ALL.len()],
    longest: [Cell<Duration>; Resource::ALL.len()],
}

impl WaitProfile {
    /// Begins a wait, which ends when the returned value is dropped.
    pub fn begin(self: &Rc<Self>, resource: Resource) -> Wait {
        let waiting = &self.waiting[resource as usize];
        waiting.set(waiting.get() + 1);
        Wait { profile: self.clone(), resource, began_at: Instant::now() }
    }

    /// Returns the numbers of connections that wait now, by the names of the resources.
    pub fn waiting(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Resource::ALL.iter().map(|resource| (resource.name(), self.waiting[*resource as usize].get()))
    }

    /// Returns the longest waits that have ended, in microseconds, by the names of the resources.
    pub fn longest(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let microseconds = |resource: Resource| self.longest[resource as usize].get().as_micros() as u64;
        Resource::ALL.iter().map(move |resource| (resource.name(), microseconds(*resource)))
    }
}

/// A wait for a resource. It ends on drop.
#[derive(Debug)]
pub struct Wait {
    profile: Rc<WaitProfile>,
    resource: Resource,
    began_at: Instant,
}

impl Drop for Wait {
    fn drop(&mut self) {
        let waiting = &self.profile.waiting[self.resource as usize];
        waiting.set(waiting.get() - 1);
        let longest = &self.profile.longest[self.resource as usize];
        longest.set(longest.get().max(self.began_at.elapsed()));
    }
}

#[cfg(test)]
mod tests;

//! Test doubles for the peers of the gateway: engines with a capacity model, a name service, clients, a relay that injects
//! network faults, and a disk that injects faults.
//!
//! Scripts and seeds control the doubles, which inject faults and record what they receive. The doubles bind only to loopback
//! addresses and are never linked into the gateway. Each module documents what its double does not model.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod capacity_model;
pub mod client;
pub mod closed_loop;
pub mod disk;
pub mod engine;
pub mod name_service;
pub mod relay;
pub mod resp;
pub mod thrift;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: a test whose thread panicked while holding the lock has already failed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Test doubles of what the gateway talks to: engines with a capacity model, a name service, clients, a relay that injects
//! network faults, a disk that fails.
//!
//! Scripts and seeds are the input; faults and records of what was received are the output. The doubles bind to loopback
//! alone and are never linked into the gateway. Each module documents what its double does not model.
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

/// Locks a mutex, also after a thread that held it has panicked: the test that panicked has failed already.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! What the decision module remembers, as plain records: engines, requests, classes and the fleet as a whole.
//! No decision is taken here, and no constant here tunes one.

mod class;
mod engine;
mod fleet;
mod request;

pub(crate) use class::{ClassState, LatencyStatistics, RuntimeGroup};
pub(crate) use engine::{Engine, SentWork, ThreadTimes, MIN_CORES, NEVER};
pub(crate) use fleet::Fleet;
pub(crate) use request::{Attempt, EndedAttempt, OrderedKey, Request};

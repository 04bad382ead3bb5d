//! State of the decision module as plain records: engines, requests, classes and the fleet as a whole. These modules
//! take no decisions and contain no tuning constants.

mod class;
mod engine;
mod fleet;
mod request;

pub(crate) use class::{ClassState, LatencyStatistics, RuntimeGroup};
pub(crate) use engine::{Engine, RecentSend, ThreadTimes, DISTANT_PAST, MIN_CORES};
pub(crate) use fleet::Fleet;
pub(crate) use request::{Attempt, EndedAttempt, OrderedKey, Request};

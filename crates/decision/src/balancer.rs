//! State of a [`Balancer`]. Each decision has a module of its own that reads and changes this state; `decide.rs`
//! defines the order in which they run.

use crate::aperture::Aperture;
use crate::interface::BlockReason;
use crate::retry_budget::RetryBudget;
use crate::settings::{Class, Settings};
use crate::state::{ClassState, Engine, Fleet, OrderedKey, Request, RuntimeGroup};
use crate::types::{EngineId, Milliseconds, OrderKey, RequestId};
use std::collections::BTreeMap;

/// Period of the control step, which updates averages and chooses the concurrency limit: short compared with the
/// seconds over which load changes, and long enough to process all engines and requests.
pub(crate) const CONTROL_PERIOD: Milliseconds = 100.0;

/// Decision state of one gateway: receives events and returns actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Time of the current cycle.
    pub(crate) now: Milliseconds,
    pub(crate) rng: fastrand::Rng,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) ordered_keys: BTreeMap<OrderKey, OrderedKey>,
    /// Learned state of each class, in the order of the settings.
    pub(crate) classes: Vec<ClassState>,
    /// Number of requests that each tenant may still send within its quota, in the order of the settings.
    pub(crate) quota_levels: Vec<f64>,
    /// Time for which this process did not run before the current cycle; 0 if it ran normally.
    pub(crate) paused_for: Milliseconds,
    /// Longest recent pause of this process; decays over time.
    pub(crate) longest_recent_pause: Milliseconds,
    /// Number of health checks that may be sent; each request received adds to it.
    pub(crate) health_check_credit: f64,
    pub(crate) retry_budget: RetryBudget,
    /// Concurrency limit, as an index into [`LEVELS`](crate::load_levels::LEVELS).
    pub(crate) limit_level: usize,
    pub(crate) fleet: Fleet,
    pub(crate) aperture: Aperture,
    /// Group of classes that is deferred behind the other; `None`: neither is.
    pub(crate) deferred_group: Option<RuntimeGroup>,
    pub(crate) next_control_step: Milliseconds,
    pub(crate) next_timer: Milliseconds,
    /// Time at which attempts in flight are checked again.
    pub(crate) next_attempt_check: Milliseconds,
    /// Time at which waiting requests are checked again.
    pub(crate) next_placement: Milliseconds,
    /// Time at which to subscribe to the endpoint list; `None`: no subscription is due.
    pub(crate) subscribe_at: Option<Milliseconds>,
    /// Number of requests that could not be sent at once, by class and reason.
    pub(crate) blocked_counts: Vec<[u64; BlockReason::COUNT]>,
}

impl Balancer {
    /// Returns the settings of the class of a request.
    pub(crate) fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[request.details.class.0]
    }

    /// Returns the learned state of the class of a request.
    pub(crate) fn class_state_of(&self, request: &Request) -> &ClassState {
        &self.classes[request.details.class.0]
    }
}

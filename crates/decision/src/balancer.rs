//! The state of a [`Balancer`]. Every decision has a module of its own that reads and changes it; `decide.rs` holds
//! the order in which they run.

use crate::aperture::Aperture;
use crate::interface::BlockReason;
use crate::retry_budget::RetryBudget;
use crate::settings::{Class, Settings};
use crate::state::{ClassState, Engine, Fleet, OrderedKey, Request, RuntimeGroup};
use crate::types::{EngineId, Milliseconds, OrderKey, RequestId};
use std::collections::BTreeMap;

/// The period of the control step, in which averages are updated and the concurrency limit is chosen: short against
/// the seconds over which load changes, long enough to go through all engines and requests.
pub(crate) const CONTROL_PERIOD: Milliseconds = 100.0;

/// The decisions of one gateway: events in, actions out.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// The time of the current cycle.
    pub(crate) now: Milliseconds,
    pub(crate) rng: fastrand::Rng,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) ordered_keys: BTreeMap<OrderKey, OrderedKey>,
    /// What was learned of each class, in the order of the settings.
    pub(crate) classes: Vec<ClassState>,
    /// Requests that each tenant may still send within its quota, in the order of the settings.
    pub(crate) quota_levels: Vec<f64>,
    /// How long this process did not run before the current cycle; 0: it ran.
    pub(crate) paused_for: Milliseconds,
    /// The longest pause of late; decays.
    pub(crate) longest_recent_pause: Milliseconds,
    /// Health checks that may be sent, saved up from requests received.
    pub(crate) health_check_credit: f64,
    pub(crate) retry_budget: RetryBudget,
    /// The concurrency limit, as an index into [`LEVELS`](crate::load_levels::LEVELS).
    pub(crate) limit_level: usize,
    pub(crate) fleet: Fleet,
    pub(crate) aperture: Aperture,
    /// The group of classes that waits behind the other, if one does.
    pub(crate) deferred_group: Option<RuntimeGroup>,
    pub(crate) next_control_step: Milliseconds,
    pub(crate) next_timer: Milliseconds,
    /// When attempts in flight are looked at again.
    pub(crate) next_attempt_check: Milliseconds,
    /// When waiting requests are looked at again.
    pub(crate) next_placement: Milliseconds,
    /// When to subscribe to the endpoint list; `None`: not needed.
    pub(crate) subscribe_at: Option<Milliseconds>,
    /// Requests that could not be sent at once, by class and reason.
    pub(crate) waits: Vec<[u64; BlockReason::COUNT]>,
}

impl Balancer {
    /// The settings of the class of a request.
    pub(crate) fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[request.details.class.0]
    }

    /// What was learned of the class of a request.
    pub(crate) fn class_state_of(&self, request: &Request) -> &ClassState {
        &self.classes[request.details.class.0]
    }
}

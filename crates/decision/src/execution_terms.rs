//! Execution terms: the priority and the memory grant with which an engine executes a request.

use crate::balancer::Balancer;
use crate::interface::Action;
use crate::state::{ClassState, Engine, Request, RuntimeGroup};
use crate::types::{ClassId, RequestId};

/// Minimum memory grant, as a multiple of the estimate: too little memory costs far more work than too much.
pub(crate) const MIN_GRANT_FACTOR: f64 = 1.6;
/// Maximum memory grant, as a multiple of the estimate.
pub(crate) const MAX_GRANT_FACTOR: f64 = 2.0 * MIN_GRANT_FACTOR;
/// Factor by which the grants of a class rise with each query that spills.
const GRANT_RISE: f64 = 1.03;
/// Factor by which the grants of a class fall with each attempt, down to the minimum. The minimum is needed because
/// not every engine reports spills.
const GRANT_FALL: f64 = 0.999;

/// Priority where engines do not honour priorities.
const DEFAULT_PRIORITY: u8 = 1;
/// Priority of requests that are late already.
const LATE_PRIORITY: u8 = 0;
/// Priority of classes with long runtimes.
const LONG_PRIORITY: u8 = 1;
/// Priority of classes with short runtimes, and of loads.
const TOP_PRIORITY: u8 = 3;

impl Balancer {
    /// Returns the priority of a request: high for short queries and lowest for late ones, so that a few runaway
    /// queries do not delay many others.
    pub(crate) fn priority(&self, request: &Request) -> u8 {
        if !self.settings.supports_priorities {
            return DEFAULT_PRIORITY;
        }
        // All queries that read the data set of a load wait on the engine until the load ends, and hold their memory
        // meanwhile.
        if self.class_of(request).is_load {
            return TOP_PRIORITY;
        }
        if self.is_late(request) {
            return LATE_PRIORITY;
        }
        match self.class_state_of(request).group {
            RuntimeGroup::Short => TOP_PRIORITY,
            RuntimeGroup::Long => LONG_PRIORITY,
        }
    }

    /// Returns the memory to grant a request on an engine, in MB; 0: the engine chooses.
    pub(crate) fn memory_grant_mb(&self, request: &Request, engine: &Engine) -> f64 {
        let estimate = request.details.memory_mb;
        let Some(estimate) =
            estimate.filter(|memory| self.settings.supports_memory_grants && memory.is_finite())
        else {
            return 0.0;
        };
        let max_grant = self.settings.max_grant_share * engine.memory_mb;
        (estimate * self.class_state_of(request).grant_factor).min(max_grant)
    }

    /// Sets memory grant and priority of a request, and emits an action if they changed.
    pub(crate) fn set_terms(
        &mut self,
        id: RequestId,
        memory_grant_mb: f64,
        priority: u8,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if priority == request.priority && memory_grant_mb == request.memory_grant_mb {
            return;
        }
        request.priority = priority;
        request.memory_grant_mb = memory_grant_mb;
        actions.push(Action::SetTerms { id, memory_mb: memory_grant_mb, priority });
    }

    /// Lowers the grants of a class with each attempt that is sent.
    pub(crate) fn lower_grant_factor(&mut self, class: ClassId) {
        let state = &mut self.classes[class.0];
        state.grant_factor = (state.grant_factor * GRANT_FALL).max(MIN_GRANT_FACTOR);
    }
}

impl ClassState {
    /// Raises the grants of the class after a query that spilled.
    pub(crate) fn raise_grant_factor(&mut self) {
        self.grant_factor = (self.grant_factor * GRANT_RISE).min(MAX_GRANT_FACTOR);
    }
}

//! Configuration of a gateway: request classes, machine types, tenants and the rules of the deployment.

use crate::types::{MachineTypeId, Member, Milliseconds, Placement, ZoneId};
use thiserror::Error;

/// The engines that recognise a repeated idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

impl Scope {
    /// Returns whether an engine at `second` recognises an idempotency key that was sent to an engine at `first`.
    pub fn covers(self, first: Placement, second: Placement) -> bool {
        match self {
            Scope::All => true,
            Scope::Zone => first.zone == second.zone,
            Scope::Cell => first.cell == second.cell,
        }
    }
}

/// Effect of a second execution of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// A second execution is harmless.
    Idempotent,
    /// Requests carry an idempotency key by which engines discard repetitions.
    Keyed {
        /// Engines that discard repetitions.
        scope: Scope,
        /// Time after the first send during which engines discard repetitions.
        window: Milliseconds,
    },
    /// The request must not run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Returns whether a client may retry a request that may have run, regardless of the engine that receives the
    /// retry.
    pub fn allows_retry_anywhere(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. })
    }
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Fixed part of the latency objective: an answer within the objective earns the full priority weight.
    pub latency_objective: Milliseconds,
    /// Variable part of the latency objective, as a multiple of the actual work divided by the number of threads.
    pub latency_objective_stretch: f64,
    /// Time that clients wait for an answer, over all attempts.
    pub client_timeout: Milliseconds,
    /// Value of an answer within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that a late answer earns.
    pub late_weight_share: f64,
    /// Effect of a second execution of a request of this class.
    pub idempotency: Idempotency,
    /// Requests of this class that have the same key run one after another.
    pub ordered: bool,
    /// Machine types that may run the class; `None`: all.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// Zones whose engines may run the class; `None`: all.
    pub zones: Option<Vec<ZoneId>>,
    /// Number of threads that one query runs on.
    pub threads: f64,
    /// A query of this class loads its data set and locks it on its engine while it runs.
    pub is_load: bool,
    /// A query of this class waits while a load locks its data set.
    pub waits_for_loads: bool,
}

impl Class {
    /// Returns whether the placement rules of the class allow that engine.
    pub fn may_run_on(&self, engine: &Member) -> bool {
        let machine_type_allowed = self.machine_types.as_ref().is_none_or(|machine_types| {
            engine.machine_type.is_some_and(|machine_type| machine_types.contains(&machine_type))
        });
        let zone_allowed =
            self.zones.as_ref().is_none_or(|zones| engine.zone.is_some_and(|zone| zones.contains(&zone)));
        machine_type_allowed && zone_allowed
    }
}

/// A type of machine that engines run on.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Name of the machine type.
    pub name: String,
    /// Number of cores.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Quota of the tenant over all gateways, in requests per second; 0: unlimited.
    pub quota_per_s: f64,
}

/// Limit on retries, that is on attempts after the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Number of retries allowed per window regardless of traffic.
    pub min_retries: f64,
    /// Number of additional retries allowed per request received.
    pub retry_ratio: f64,
    /// Length of the window over which requests and retries are counted.
    pub window: Milliseconds,
}

/// Configuration of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Seed of this gateway's random numbers.
    pub seed: u64,
    /// Number of gateways that share the engines.
    pub gateways: usize,
    /// Index of this gateway among them, from 0; `None`: not configured.
    pub gateway_index: Option<u64>,
    /// Zone of this gateway, if it is one of `zones`.
    pub zone: Option<ZoneId>,
    /// Request classes; [`ClassId`](crate::types::ClassId) is an index into them.
    pub classes: Vec<Class>,
    /// Machine types; [`MachineTypeId`] is an index into them.
    pub machine_types: Vec<MachineType>,
    /// Zone names; [`ZoneId`] is an index into them.
    pub zones: Vec<String>,
    /// Tenants; [`TenantId`](crate::types::TenantId) is an index into them. May be empty.
    pub tenants: Vec<Tenant>,
    /// The gateway must subscribe to the endpoint list.
    pub subscribes_to_endpoints: bool,
    /// Running attempts may be cancelled.
    pub may_cancel: bool,
    /// Requests may be hedged, with two attempts in flight at once.
    pub may_hedge: bool,
    /// The gateway may check the health of engines.
    pub may_check_health: bool,
    /// Cost of a health check, as a share of a request's priority weight.
    pub health_check_cost: f64,
    /// Maximum Retry-After that clients honour.
    pub max_retry_after: Milliseconds,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Time after the client's deadline within which a final answer still counts.
    pub answer_grace: Milliseconds,
    /// Maximum interval between polls of the endpoint list without a subscription.
    pub max_poll_interval: Milliseconds,
    /// Time after the announcement of a drain during which work may still be sent to the engine.
    pub drain_grace: Milliseconds,
    /// Share of its full capacity that an engine starts with, in (0, 1].
    pub slow_start_initial_share: f64,
    /// Time from its start until an engine reaches its full capacity.
    pub slow_start_duration: Milliseconds,
    /// Multiple of its capacity at which an engine in slow start collapses, if the load is sustained for
    /// `overload_collapse_after`.
    pub overload_collapse_multiple: f64,
    /// Time for which an overload must be sustained until an engine in slow start collapses.
    pub overload_collapse_after: Milliseconds,
    /// Limit on retries; `None`: retries are not limited.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Time for which an ordered key is paused after an attempt that may still be running.
    pub ordered_key_pause: Milliseconds,
    /// Engines honour memory grants.
    pub supports_memory_grants: bool,
    /// Maximum share of an engine's memory that may be granted to one query.
    pub max_grant_share: f64,
    /// Engines honour priorities from 0 to 3.
    pub supports_priorities: bool,
    /// Minimum interval between decision cycles.
    pub min_decision_interval: Milliseconds,
}

impl Settings {
    /// Checks that the settings are complete and consistent.
    ///
    /// # Errors
    /// Returns the first setting that is missing, out of range or inconsistent with another.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |name, reason| Err(SettingsError::Bad { name, reason });
        if self.gateways == 0 {
            return bad("balancers", "at least one gateway is needed");
        }
        if self.classes.is_empty() {
            return bad("classes", "at least one class is needed");
        }
        if !self.classes.iter().all(objective_precedes_timeout) {
            return bad("classes.on_time", "must be greater than 0 and not greater than give_up");
        }
        if self.classes.iter().any(|class| !is_positive(class.threads)) {
            return bad("specifics.width_by_class", "must be greater than 0");
        }
        if self.machine_types.is_empty()
            || self.machine_types.iter().any(|machine_type| !is_positive(machine_type.cores))
        {
            return bad("specifics.cpu_of_kind", "every machine type needs a positive number of cores");
        }
        if !(is_positive(self.slow_start_initial_share) && self.slow_start_initial_share <= 1.0) {
            return bad("rules.cold_from", "must be greater than 0 and not greater than 1");
        }
        let durations_and_factors = [
            ("rules.drain_grace", self.drain_grace),
            ("rules.warm_within", self.slow_start_duration),
            ("rules.fall_multiple", self.overload_collapse_multiple),
            ("rules.tip_after", self.overload_collapse_after),
            ("rules.order_pause", self.ordered_key_pause),
            ("rules.extra_free", self.retry_budget.map_or(0.0, |budget| budget.min_retries)),
            ("rules.extra_per_request", self.retry_budget.map_or(0.0, |budget| budget.retry_ratio)),
            ("rules.ratio_span", self.retry_budget.map_or(0.0, |budget| budget.window)),
        ];
        if let Some((name, _)) =
            durations_and_factors.iter().find(|(_, value)| *value < 0.0 || !value.is_finite())
        {
            return bad(name, "must be finite and not below 0");
        }
        if self.max_attempts == 0 {
            return bad("limits.send_cap", "must allow one attempt");
        }
        Ok(())
    }
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

/// Returns whether both times are positive, and the latency objective is not greater than the client's timeout.
fn objective_precedes_timeout(class: &Class) -> bool {
    is_positive(class.latency_objective)
        && is_positive(class.client_timeout)
        && class.latency_objective <= class.client_timeout
}

/// Error in the settings because of which the gateway cannot start.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A setting is missing, out of range or inconsistent with another.
    #[error("setting {name}: {reason}")]
    Bad {
        /// Key of the setting.
        name: &'static str,
        /// Violated requirement.
        reason: &'static str,
    },
}

//! What a gateway is configured with: request classes, machine types, tenants and the rules of the deployment.

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
    /// Whether an engine at `second` recognises a key that was sent to an engine at `first`.
    pub fn covers(self, first: Placement, second: Placement) -> bool {
        match self {
            Scope::All => true,
            Scope::Zone => first.zone == second.zone,
            Scope::Cell => first.cell == second.cell,
        }
    }
}

/// What a second execution of a request would do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// A second execution is harmless.
    Idempotent,
    /// Requests carry an idempotency key by which engines drop repeats.
    Keyed {
        /// The engines that drop repeats.
        scope: Scope,
        /// How long after the first send they do so.
        window: Milliseconds,
    },
    /// The request must not run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a client may retry a request that may have run, whichever engine receives the retry.
    pub fn allows_retry_anywhere(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. })
    }
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The label.
    pub name: String,
    /// The fixed part of the latency objective: an answer within it earns the full priority weight.
    pub latency_objective: Milliseconds,
    /// The variable part of the objective, as a multiple of the true work over the threads.
    pub latency_objective_stretch: f64,
    /// How long clients wait, over all their attempts.
    pub client_timeout: Milliseconds,
    /// What an answer within the objective earns.
    pub priority_weight: f64,
    /// The share of the priority weight that a late answer earns.
    pub late_weight_share: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
    /// Requests with the same key run one after another.
    pub ordered: bool,
    /// The machine types that may run it; `None`: all.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The zones that may run it; `None`: all.
    pub zones: Option<Vec<ZoneId>>,
    /// The threads that one query runs on.
    pub threads: f64,
    /// A query of this class loads its data set and locks it on its engine while it runs.
    pub is_load: bool,
    /// A query of this class waits while a load locks its data set.
    pub waits_for_loads: bool,
}

impl Class {
    /// Whether the placement rules of the class allow that engine.
    pub fn may_run_on(&self, engine: &Member) -> bool {
        let among_kinds = self
            .machine_types
            .as_ref()
            .is_none_or(|kinds| engine.machine_type.is_some_and(|kind| kinds.contains(&kind)));
        let among_zones =
            self.zones.as_ref().is_none_or(|zones| engine.zone.is_some_and(|zone| zones.contains(&zone)));
        among_kinds && among_zones
    }
}

/// A machine type.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// The label.
    pub name: String,
    /// Number of cores.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The label.
    pub name: String,
    /// Requests a second, over all gateways, that lie within its quota; 0: unlimited.
    pub quota_per_s: f64,
}

/// The limit on retries: attempts beyond the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed whatever the traffic.
    pub min_retries: f64,
    /// Retries allowed for each request received.
    pub retry_ratio: f64,
    /// Length of the window over which both are counted.
    pub window: Milliseconds,
}

/// The configuration of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Seed of this gateway's random numbers.
    pub seed: u64,
    /// Number of gateways that share the engines.
    pub gateways: usize,
    /// The index of this gateway among them, from 0; `None`: not configured.
    pub gateway_index: Option<u64>,
    /// The zone of this gateway.
    pub zone: Option<ZoneId>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Machine types.
    pub machine_types: Vec<MachineType>,
    /// Zone names.
    pub zones: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The endpoint list must be subscribed to.
    pub subscribes_to_endpoints: bool,
    /// A running attempt may be cancelled.
    pub may_cancel: bool,
    /// Requests may be hedged: two attempts in flight at once.
    pub may_hedge: bool,
    /// The gateway may check the health of engines.
    pub may_check_health: bool,
    /// What a health check costs, as a share of a request's priority weight.
    pub health_check_cost: f64,
    /// The longest Retry-After that clients heed.
    pub max_retry_after: Milliseconds,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// How long after the client's deadline a final answer still counts.
    pub answer_grace: Milliseconds,
    /// Without a subscription the endpoint list must be polled at least this often.
    pub max_poll_interval: Milliseconds,
    /// How long after the notice of a drain work may still be sent.
    pub drain_grace: Milliseconds,
    /// The share of its capacity that an engine starts with, in (0, 1].
    pub slow_start_initial_share: f64,
    /// How long after its start an engine reaches its full capacity.
    pub slow_start_duration: Milliseconds,
    /// An engine in slow start collapses under this multiple of its capacity ...
    pub overload_collapse_multiple: f64,
    /// ... sustained for this long.
    pub overload_collapse_after: Milliseconds,
    /// The limit on retries, if any.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Pause of an ordered key after an attempt that may still be running.
    pub ordered_key_pause: Milliseconds,
    /// Engines heed memory grants.
    pub supports_memory_grants: bool,
    /// The largest share of an engine's memory that one query may be granted.
    pub max_grant_share: f64,
    /// Engines heed priorities, 0 to 3.
    pub supports_priorities: bool,
    /// The shortest time between decision cycles.
    pub min_decision_interval: Milliseconds,
}

impl Settings {
    /// Checks that a gateway can work with these settings.
    ///
    /// # Errors
    /// Names the first setting that is missing, out of range or in contradiction to another.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |name, why| Err(SettingsError::Bad { name, why });
        if self.gateways == 0 {
            return bad("balancers", "at least one gateway is needed");
        }
        if self.classes.is_empty() {
            return bad("classes", "at least one class is needed");
        }
        if !self.classes.iter().all(objective_precedes_timeout) {
            return bad("classes.on_time", "must lie above 0 and not past give_up");
        }
        if self.classes.iter().any(|class| !is_positive(class.threads)) {
            return bad("specifics.width_by_class", "must lie above 0");
        }
        if self.machine_types.is_empty() || self.machine_types.iter().any(|kind| !is_positive(kind.cores)) {
            return bad("specifics.cpu_of_kind", "every kind needs cores");
        }
        if !(is_positive(self.slow_start_initial_share) && self.slow_start_initial_share <= 1.0) {
            return bad("rules.cold_from", "must lie above 0 and not past 1");
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

/// Whether both times are positive, and the objective lies not past the client's timeout.
fn objective_precedes_timeout(class: &Class) -> bool {
    is_positive(class.latency_objective)
        && is_positive(class.client_timeout)
        && class.latency_objective <= class.client_timeout
}

/// Why a gateway cannot start with its settings.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A setting is missing, out of range or in contradiction to another.
    #[error("setting {name}: {why}")]
    Bad {
        /// The key of the setting.
        name: &'static str,
        /// What is wrong with it.
        why: &'static str,
    },
}

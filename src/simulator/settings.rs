//! Reads the settings of a gateway from the fields of a message or of a configuration.

use super::fields::{Fields, LineError};
use crate::interface::{
    Class, Idempotency, MachineType, MachineTypeId, Milliseconds, RetryBudgetSettings, Scope, Settings,
    Tenant, ZoneId,
};

/// Reads the settings of a gateway.
///
/// # Errors
/// Returns the first field that is missing or invalid.
pub fn settings(fields: &Fields) -> Result<Settings, LineError> {
    let zones: Vec<String> = fields.list("zones").iter().map(|&zone| zone.to_owned()).collect();
    let cores = fields.numbers("specifics.cpu_of_kind")?;
    let memory_mb = fields.numbers("specifics.memory_by_kind_mb")?;
    let class_lists = ClassLists::read(fields)?;
    let machine_types = machine_types(fields, &cores, &memory_mb);
    let classes = classes(fields, &class_lists, &machine_types, &zones)?;
    let tenants = tenants(fields)?;
    let retry_budget = retry_budget(fields)?;
    check_reporting(fields)?;
    let sends_retry_after = fields.flag("limits.retry_after")?;
    Ok(Settings {
        seed: fields.get("entropy")?,
        gateways: fields.get_opt("balancers")?.unwrap_or(0),
        gateway_index: fields.get_opt("rank")?,
        zone: fields.opt("locality").and_then(|zone| zone_of(&zones, zone)),
        classes,
        machine_types,
        zones,
        tenants,
        subscribes_to_endpoints: subscribes_to_endpoints(fields)?,
        may_cancel: fields.flag("limits.cancelling")?,
        may_hedge: fields.flag("limits.may_duplicate")?,
        may_check_health: fields.flag("limits.probes")?,
        health_check_cost: fields.number_or("charges.probe", 0.0)?,
        max_retry_after: max_retry_after(fields, sends_retry_after)?,
        max_attempts: fields.get_opt("limits.send_cap")?.unwrap_or(1),
        answer_grace: fields.number_or("rules.answer_slack", 0.0)?,
        max_poll_interval: fields.number_or("rules.ask_within", 0.0)?,
        drain_grace: fields.number_or("rules.drain_grace", 0.0)?,
        slow_start_initial_share: fields.number_or("rules.cold_from", 1.0)?,
        slow_start_duration: fields.number_or("rules.warm_within", 0.0)?,
        overload_collapse_multiple: fields.number_or("rules.fall_multiple", 1.0)?,
        overload_collapse_after: fields.number_or("rules.tip_after", 0.0)?,
        retry_budget,
        ordered_key_pause: fields.number_or("rules.order_pause", 0.0)?,
        supports_memory_grants: fields.flag("specifics.grants_count")?,
        max_grant_share: fields.number_or("specifics.most_grant", 1.0)?,
        supports_priorities: fields.flag("specifics.takes_priority")?,
        min_decision_interval: fields.number_or("tick", 1.0)?,
    })
}

/// Returns the zone with this name, or `None` if the settings do not contain it.
pub fn zone_of(zones: &[String], name: &str) -> Option<ZoneId> {
    zones.iter().position(|zone| zone == name).map(ZoneId)
}

fn machine_types(fields: &Fields, cores: &[f64], memory_mb: &[f64]) -> Vec<MachineType> {
    let item = |list: &[f64], index: usize| list.get(index).copied().unwrap_or(0.0);
    let names = fields.list("skus").into_iter().enumerate();
    names
        .map(|(index, name)| MachineType {
            name: name.to_owned(),
            cores: item(cores, index),
            memory_mb: item(memory_mb, index),
        })
        .collect()
}

/// Lists with one entry for each class, in the order of the classes.
struct ClassLists {
    threads: Vec<f64>,
    is_load: Vec<bool>,
    waits_for_loads: Vec<bool>,
}

impl ClassLists {
    fn read(fields: &Fields) -> Result<Self, LineError> {
        Ok(Self {
            threads: fields.numbers("specifics.width_by_class")?,
            is_load: fields.flags("specifics.is_load")?,
            waits_for_loads: fields.flags("specifics.class_waits")?,
        })
    }
}

fn classes(
    fields: &Fields,
    lists: &ClassLists,
    machine_types: &[MachineType],
    zones: &[String],
) -> Result<Vec<Class>, LineError> {
    let count: usize = fields.get_opt("classes.count")?.unwrap_or(0);
    (0..count).map(|index| class(fields, index, lists, machine_types, zones)).collect()
}

fn class(
    fields: &Fields,
    index: usize,
    lists: &ClassLists,
    machine_types: &[MachineType],
    zones: &[String],
) -> Result<Class, LineError> {
    let path = |name: &str| format!("classes.{index}.{name}");
    let scope = deduplication_scope(fields, &path("dedup_scope"))?;
    let machine_type_of =
        |name: &&str| machine_types.iter().position(|known| known.name == *name).map(MachineTypeId);
    let allowed = |name: &str| fields.opt(&path(name)).map(|_| fields.list(&path(name)));
    Ok(Class {
        name: fields.text(&path("name"))?.to_owned(),
        latency_objective: fields.number_or(&path("on_time"), 0.0)?,
        latency_objective_stretch: fields.number_or(&path("aim_stretch"), 0.0)?,
        client_timeout: fields.number_or(&path("give_up"), 0.0)?,
        priority_weight: fields.number_or(&path("worth"), 1.0)?,
        late_weight_share: fields.number_or(&path("late_worth"), 0.0)?,
        idempotency: match fields.text(&path("idempotency"))? {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Keyed { scope, window: fields.number_or(&path("window"), 0.0)? },
            "at_most_once" => Idempotency::NotIdempotent,
            _ => return Err(fields.invalid(&path("idempotency"), "is not an idempotency")),
        },
        ordered: fields.flag(&path("serial_by_key"))?,
        machine_types: allowed("allowed_on").map(|names| names.iter().filter_map(machine_type_of).collect()),
        zones: allowed("allowed_in")
            .map(|names| names.iter().filter_map(|name| zone_of(zones, name)).collect()),
        threads: lists.threads.get(index).copied().unwrap_or(1.0),
        is_load: lists.is_load.get(index) == Some(&true),
        waits_for_loads: lists.waits_for_loads.get(index) == Some(&true),
    })
}

fn deduplication_scope(fields: &Fields, path: &str) -> Result<Scope, LineError> {
    match fields.opt(path) {
        None | Some("all") => Ok(Scope::All),
        Some("zone") => Ok(Scope::Zone),
        Some("cell") => Ok(Scope::Cell),
        Some(_) => Err(fields.invalid(path, "is not a deduplication scope")),
    }
}

fn tenants(fields: &Fields) -> Result<Vec<Tenant>, LineError> {
    let count = fields.get_opt::<usize>("tenants.count")?.unwrap_or(0);
    let tenant = |index| {
        Ok(Tenant {
            name: fields.text(&format!("tenants.{index}.name"))?.to_owned(),
            quota_per_s: fields.number_or(&format!("tenants.{index}.quota_per_s"), 0.0)?,
        })
    };
    (0..count).map(tenant).collect()
}

/// Reads the retry budget. Returns `None` unless its time window and at least one of its amounts are set.
fn retry_budget(fields: &Fields) -> Result<Option<RetryBudgetSettings>, LineError> {
    if fields.opt("rules.ratio_span").is_none() {
        return Ok(None);
    }
    let budget = RetryBudgetSettings {
        min_retries: fields.number_or("rules.extra_free", 0.0)?,
        retry_ratio: fields.number_or("rules.extra_per_request", 0.0)?,
        window: fields.number("rules.ratio_span")?,
    };
    let has_amount =
        ["rules.extra_free", "rules.extra_per_request"].iter().any(|field| fields.opt(field).is_some());
    Ok(Some(budget).filter(|_| has_amount))
}

fn subscribes_to_endpoints(fields: &Fields) -> Result<bool, LineError> {
    match fields.opt("discovery") {
        None | Some("push") => Ok(false),
        Some("ask") => Ok(true),
        Some(_) => Err(fields.invalid("discovery", "is neither push nor ask")),
    }
}

/// Returns the maximum retry-after, or 0 if the gateway sends none.
fn max_retry_after(fields: &Fields, sends_retry_after: bool) -> Result<Milliseconds, LineError> {
    if !sends_retry_after {
        return Ok(0.0);
    }
    fields.number_or("limits.max_retry_after", 0.0)
}

/// Checks that the setting for the way in which load reports reach the gateway is valid. No decision depends on the setting: a
/// report is used in whichever message it arrives.
fn check_reporting(fields: &Fields) -> Result<(), LineError> {
    match fields.opt("reporting.how") {
        None | Some("answers" | "probe" | "none") => Ok(()),
        Some(_) => Err(fields.invalid("reporting.how", "is not a way of reporting")),
    }
}

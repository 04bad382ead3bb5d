//! Checks settings for contradictions between values that are valid each by itself. A gateway with contradictory settings exits at
//! its start with an error that names the key.

use crate::simulator::{Fields, LineError};

/// Lists with one entry for each machine type, in the order of `skus`.
const LISTS_BY_MACHINE_TYPE: [&str; 2] = ["specifics.cpu_of_kind", "specifics.memory_by_kind_mb"];

/// Lists with one entry for each class, in the order of `classes`.
const LISTS_BY_CLASS: [&str; 3] = ["specifics.width_by_class", "specifics.is_load", "specifics.class_waits"];

/// Keys of times, costs and counts, which must not be negative.
const NON_NEGATIVE_KEYS: [&str; 14] = [
    "tick",
    "charges.probe",
    "limits.max_retry_after",
    "limits.connect_timeout",
    "limits.idle_close",
    "limits.streams_per_conn",
    "limits.max_open",
    "rules.answer_slack",
    "rules.ask_within",
    "rules.extra_free",
    "rules.extra_per_request",
    "machine.cores",
    "machine.memory_mb",
    "machine.sockets",
];

/// Checks the settings for contradictions.
///
/// # Errors
/// Returns the first key whose value contradicts another setting or is out of range.
pub fn check(fields: &Fields) -> Result<(), LineError> {
    let classes = fields.number_or("classes.count", 0.0)? as usize;
    check_lists(fields, classes)?;
    check_names(fields, classes)?;
    check_numbers(fields)?;
    check_retry_budget(fields)?;
    for index in 0..classes {
        check_class(fields, &|key| format!("classes.{index}.{key}"))?;
    }
    Ok(())
}

/// Checks that each list that is present has one entry for each machine type, or for each class.
fn check_lists(fields: &Fields, classes: usize) -> Result<(), LineError> {
    let machine_types = fields.list("skus").len();
    let has_wrong_length = |key: &&&str, length: usize| ![0, length].contains(&fields.list(key).len());
    if let Some(key) = LISTS_BY_MACHINE_TYPE.iter().find(|key| has_wrong_length(key, machine_types)) {
        return Err(fields.invalid(key, "must have one entry for each entry of skus"));
    }
    if let Some(key) = LISTS_BY_CLASS.iter().find(|key| has_wrong_length(key, classes)) {
        return Err(fields.invalid(key, "must have one entry for each class"));
    }
    Ok(())
}

/// Checks that names of zones, machine types, classes and tenants are unique, and that this gateway's zone is one of the zones.
fn check_names(fields: &Fields, classes: usize) -> Result<(), LineError> {
    for key in ["zones", "skus"] {
        check_distinct(fields, &fields.list(key), key)?;
    }
    let tenants = fields.number_or("tenants.count", 0.0)? as usize;
    for (sort, count) in [("classes", classes), ("tenants", tenants)] {
        let names: Vec<&str> =
            (0..count).filter_map(|index| fields.opt(&format!("{sort}.{index}.name"))).collect();
        if let Some(index) = (0..names.len()).find(|index| names[..*index].contains(&names[*index])) {
            return Err(
                fields.invalid(&format!("{sort}.{index}.name"), "is already the name of another entry")
            );
        }
    }
    let zones = fields.list("zones");
    match fields.opt("locality").filter(|zone| !zone.is_empty() && !zones.is_empty()) {
        Some(zone) if !zones.contains(&zone) => Err(fields.invalid("locality", "is not in zones")),
        _ => Ok(()),
    }
}

fn check_distinct(fields: &Fields, list: &[&str], key: &str) -> Result<(), LineError> {
    match (0..list.len()).any(|index| list[..index].contains(&list[index])) {
        true => Err(fields.invalid(key, "contains a name twice")),
        false => Ok(()),
    }
}

fn check_numbers(fields: &Fields) -> Result<(), LineError> {
    for key in NON_NEGATIVE_KEYS {
        if fields.number_or(key, 0.0)? < 0.0 {
            return Err(fields.invalid(key, "must not be negative"));
        }
    }
    for key in ["machine.memory_mb", "machine.sockets"] {
        if fields.number_or(key, 1.0)? <= 0.0 {
            return Err(fields.invalid(key, "must be greater than 0"));
        }
    }
    let has_grants = matches!(fields.opt("specifics.grants_count"), Some("1" | "true"));
    let max_grant_share = fields.number_or("specifics.most_grant", 1.0)?;
    if !(0.0..=1.0).contains(&max_grant_share) || has_grants && max_grant_share == 0.0 {
        return Err(fields.invalid("specifics.most_grant", "must be greater than 0 and at most 1"));
    }
    Ok(())
}

/// Checks that a retry budget has a time window (`rules.ratio_span`) over which retries are counted.
fn check_retry_budget(fields: &Fields) -> Result<(), LineError> {
    let allowed =
        ["rules.extra_free", "rules.extra_per_request"].into_iter().find(|key| fields.opt(key).is_some());
    match (allowed, fields.opt("rules.ratio_span")) {
        (Some(key), None) => Err(fields.invalid(key, "requires rules.ratio_span")),
        (Some(_), Some(_)) if fields.number_or("rules.ratio_span", 0.0)? <= 0.0 => {
            Err(fields.invalid("rules.ratio_span", "must be greater than 0"))
        }
        _ => Ok(()),
    }
}

fn check_class(fields: &Fields, key: &dyn Fn(&str) -> String) -> Result<(), LineError> {
    for (allowed, all) in [("allowed_on", "skus"), ("allowed_in", "zones")] {
        let (allowed, known) = (key(allowed), fields.list(all));
        let list = fields.list(&allowed);
        if fields.opt(&allowed).is_some() && list.is_empty() {
            return Err(fields.invalid(&allowed, "is empty: no engine could run the class"));
        }
        if list.iter().any(|name| !known.contains(name)) {
            return Err(fields.invalid(&allowed, "contains a name that the settings do not define"));
        }
    }
    let is_keyed = fields.opt(&key("idempotency")) == Some("deduplicated");
    if is_keyed && fields.number_or(&key("window"), 0.0)? <= 0.0 {
        return Err(fields.invalid(&key("window"), "must be greater than 0 if idempotency is deduplicated"));
    }
    if fields.number_or(&key("worth"), 1.0)? < 0.0 {
        return Err(fields.invalid(&key("worth"), "must not be negative"));
    }
    if !(0.0..=1.0).contains(&fields.number_or(&key("late_worth"), 0.0)?) {
        return Err(fields.invalid(&key("late_worth"), "must be between 0 and 1"));
    }
    Ok(())
}

//! Settings that contradict each other. Each value is valid by itself; here the values are compared, so that a gateway with
//! contradictory settings ends at its start with an error that names the key.

use crate::simulator::{Fields, LineError};

/// Lists with an entry for each kind of machine, in the order of `skus`.
const LISTS_BY_KIND: [&str; 2] = ["specifics.cpu_of_kind", "specifics.memory_by_kind_mb"];

/// Lists with an entry for each class, in the order of the classes.
const LISTS_BY_CLASS: [&str; 3] = ["specifics.width_by_class", "specifics.is_load", "specifics.class_waits"];

/// Times, prices and counts, which must not be negative.
const NOT_NEGATIVE: [&str; 14] = [
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

/// Checks settings against each other.
///
/// # Errors
/// The first key that contradicts another, or itself.
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

/// A list that is present has an entry for each kind, or for each class.
fn check_lists(fields: &Fields, classes: usize) -> Result<(), LineError> {
    let kinds = fields.list("skus").len();
    let other_length = |key: &&&str, length: usize| ![0, length].contains(&fields.list(key).len());
    if let Some(key) = LISTS_BY_KIND.iter().find(|key| other_length(key, kinds)) {
        return Err(fields.invalid(key, "must have an entry for each kind of skus"));
    }
    if let Some(key) = LISTS_BY_CLASS.iter().find(|key| other_length(key, classes)) {
        return Err(fields.invalid(key, "must have an entry for each class"));
    }
    Ok(())
}

/// Names of a sort differ, and this gateway's zone is one of the zones.
fn check_names(fields: &Fields, classes: usize) -> Result<(), LineError> {
    for key in ["zones", "skus"] {
        check_distinct(fields, &fields.list(key), key)?;
    }
    let tenants = fields.number_or("tenants.count", 0.0)? as usize;
    for (sort, count) in [("classes", classes), ("tenants", tenants)] {
        let named: Vec<&str> =
            (0..count).filter_map(|index| fields.opt(&format!("{sort}.{index}.name"))).collect();
        if let Some(index) = (0..named.len()).find(|index| named[..*index].contains(&named[*index])) {
            return Err(fields.invalid(&format!("{sort}.{index}.name"), "is the name of another one"));
        }
    }
    let zones = fields.list("zones");
    match fields.opt("locality").filter(|zone| !zone.is_empty() && !zones.is_empty()) {
        Some(zone) if !zones.contains(&zone) => Err(fields.invalid("locality", "is none of zones")),
        _ => Ok(()),
    }
}

fn check_distinct(fields: &Fields, list: &[&str], key: &str) -> Result<(), LineError> {
    match (0..list.len()).any(|index| list[..index].contains(&list[index])) {
        true => Err(fields.invalid(key, "names one twice")),
        false => Ok(()),
    }
}

fn check_numbers(fields: &Fields) -> Result<(), LineError> {
    for key in NOT_NEGATIVE {
        if fields.number_or(key, 0.0)? < 0.0 {
            return Err(fields.invalid(key, "must not be below 0"));
        }
    }
    for key in ["machine.memory_mb", "machine.sockets"] {
        if fields.number_or(key, 1.0)? <= 0.0 {
            return Err(fields.invalid(key, "must lie above 0"));
        }
    }
    let has_grants = matches!(fields.opt("specifics.grants_count"), Some("1" | "true"));
    let max_grant_share = fields.number_or("specifics.most_grant", 1.0)?;
    if !(0.0..=1.0).contains(&max_grant_share) || has_grants && max_grant_share == 0.0 {
        return Err(fields.invalid("specifics.most_grant", "must lie above 0 and not past 1"));
    }
    Ok(())
}

/// A retry budget is counted over a span of time.
fn check_retry_budget(fields: &Fields) -> Result<(), LineError> {
    let allowed =
        ["rules.extra_free", "rules.extra_per_request"].into_iter().find(|key| fields.opt(key).is_some());
    match (allowed, fields.opt("rules.ratio_span")) {
        (Some(key), None) => Err(fields.invalid(key, "needs rules.ratio_span beside it")),
        (Some(_), Some(_)) if fields.number_or("rules.ratio_span", 0.0)? <= 0.0 => {
            Err(fields.invalid("rules.ratio_span", "must lie above 0"))
        }
        _ => Ok(()),
    }
}

fn check_class(fields: &Fields, key: &dyn Fn(&str) -> String) -> Result<(), LineError> {
    for (allowed, all) in [("allowed_on", "skus"), ("allowed_in", "zones")] {
        let (allowed, known) = (key(allowed), fields.list(all));
        let list = fields.list(&allowed);
        if fields.opt(&allowed).is_some() && list.is_empty() {
            return Err(fields.invalid(&allowed, "names nothing: the class could run nowhere"));
        }
        if list.iter().any(|name| !known.contains(name)) {
            return Err(fields.invalid(&allowed, "names what the settings do not"));
        }
    }
    let keyed = fields.opt(&key("idempotency")) == Some("deduplicated");
    if keyed && fields.number_or(&key("window"), 0.0)? <= 0.0 {
        return Err(fields.invalid(&key("window"), "must lie above 0 where repeats are deduplicated"));
    }
    if fields.number_or(&key("worth"), 1.0)? < 0.0 {
        return Err(fields.invalid(&key("worth"), "must not be below 0"));
    }
    if !(0.0..=1.0).contains(&fields.number_or(&key("late_worth"), 0.0)?) {
        return Err(fields.invalid(&key("late_worth"), "must lie between 0 and 1"));
    }
    Ok(())
}

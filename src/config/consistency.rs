//! Settings that contradict each other. Each value is read by itself elsewhere; here they are held against one another, so
//! that a gateway that could not do what it is told says so at its start, with the key, and serves nothing by half.

use crate::simulator::{Fields, LineError};

/// Lists that say something of each kind of machine, in the order of `skus`.
const BY_KIND: [&str; 2] = ["specifics.cpu_of_kind", "specifics.memory_by_kind_mb"];

/// Lists that say something of each class, in the order of the classes.
const BY_CLASS: [&str; 3] = ["specifics.width_by_class", "specifics.is_load", "specifics.class_waits"];

/// Figures that are times, prices or counts: none is below 0.
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
/// Names the first key that contradicts another, or itself.
pub fn check(f: &Fields) -> Result<(), LineError> {
    let classes = f.number_or("classes.count", 0.0)? as usize;
    lists(f, classes)?;
    names(f, classes)?;
    figures(f)?;
    retry_budget(f)?;
    for i in 0..classes {
        class(f, &|key| format!("classes.{i}.{key}"))?;
    }
    Ok(())
}

/// A list that is there has an entry for each kind, or for each class.
fn lists(f: &Fields, classes: usize) -> Result<(), LineError> {
    let kinds = f.list("skus").len();
    let other_length = |key: &&&str, length: usize| ![0, length].contains(&f.list(key).len());
    if let Some(key) = BY_KIND.iter().find(|key| other_length(key, kinds)) {
        return Err(f.bad(key, "must have an entry for each kind of skus"));
    }
    if let Some(key) = BY_CLASS.iter().find(|key| other_length(key, classes)) {
        return Err(f.bad(key, "must have an entry for each class"));
    }
    Ok(())
}

/// No two of a sort have one name, and this gateway's zone is one of the zones.
fn names(f: &Fields, classes: usize) -> Result<(), LineError> {
    for key in ["zones", "skus"] {
        distinct(f, &f.list(key), key)?;
    }
    let tenants = f.number_or("tenants.count", 0.0)? as usize;
    for (sort, count) in [("classes", classes), ("tenants", tenants)] {
        let named: Vec<&str> = (0..count).filter_map(|i| f.opt(&format!("{sort}.{i}.name"))).collect();
        if let Some(i) = (0..named.len()).find(|i| named[..*i].contains(&named[*i])) {
            return Err(f.bad(&format!("{sort}.{i}.name"), "is the name of another one"));
        }
    }
    let zones = f.list("zones");
    match f.opt("locality").filter(|zone| !zone.is_empty() && !zones.is_empty()) {
        Some(zone) if !zones.contains(&zone) => Err(f.bad("locality", "is none of zones")),
        _ => Ok(()),
    }
}

fn distinct(f: &Fields, list: &[&str], key: &str) -> Result<(), LineError> {
    match (0..list.len()).any(|i| list[..i].contains(&list[i])) {
        true => Err(f.bad(key, "names one twice")),
        false => Ok(()),
    }
}

fn figures(f: &Fields) -> Result<(), LineError> {
    for key in NOT_NEGATIVE {
        if f.number_or(key, 0.0)? < 0.0 {
            return Err(f.bad(key, "must not be below 0"));
        }
    }
    for key in ["machine.memory_mb", "machine.sockets"] {
        if f.number_or(key, 1.0)? <= 0.0 {
            return Err(f.bad(key, "must lie above 0"));
        }
    }
    let heeded = matches!(f.opt("specifics.grants_count"), Some("1" | "true"));
    let max_grant_share = f.number_or("specifics.most_grant", 1.0)?;
    if !(0.0..=1.0).contains(&max_grant_share) || heeded && max_grant_share == 0.0 {
        return Err(f.bad("specifics.most_grant", "must lie above 0 and not past 1"));
    }
    Ok(())
}

/// What a retry budget allows is counted over a span of time.
fn retry_budget(f: &Fields) -> Result<(), LineError> {
    let allowed = ["rules.extra_free", "rules.extra_per_request"].into_iter().find(|k| f.opt(k).is_some());
    match (allowed, f.opt("rules.ratio_span")) {
        (Some(key), None) => Err(f.bad(key, "needs rules.ratio_span beside it")),
        (Some(_), Some(_)) if f.number_or("rules.ratio_span", 0.0)? <= 0.0 => {
            Err(f.bad("rules.ratio_span", "must lie above 0"))
        }
        _ => Ok(()),
    }
}

fn class(f: &Fields, key: &dyn Fn(&str) -> String) -> Result<(), LineError> {
    for (allowed, all) in [("allowed_on", "skus"), ("allowed_in", "zones")] {
        let (allowed, known) = (key(allowed), f.list(all));
        let list = f.list(&allowed);
        if f.opt(&allowed).is_some() && list.is_empty() {
            return Err(f.bad(&allowed, "names nothing: the class could run nowhere"));
        }
        if list.iter().any(|name| !known.contains(name)) {
            return Err(f.bad(&allowed, "names what the settings do not"));
        }
    }
    let keyed = f.opt(&key("idempotency")) == Some("deduplicated");
    if keyed && f.number_or(&key("window"), 0.0)? <= 0.0 {
        return Err(f.bad(&key("window"), "must lie above 0 where repeats are deduplicated"));
    }
    if f.number_or(&key("worth"), 1.0)? < 0.0 {
        return Err(f.bad(&key("worth"), "must not be below 0"));
    }
    if !(0.0..=1.0).contains(&f.number_or(&key("late_worth"), 0.0)?) {
        return Err(f.bad(&key("late_worth"), "must lie between 0 and 1"));
    }
    Ok(())
}

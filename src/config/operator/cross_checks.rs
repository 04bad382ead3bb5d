//! Checks that concern several keys or blocks of the operator's file.

use super::block::{CheckedBlock, LocatedValue};
use super::checker::Checker;
use super::problem::Fault;
use std::collections::BTreeSet;

/// Checks the keys and blocks of the file against each other.
pub(super) fn check(checker: &mut Checker<'_>, file: &CheckedBlock) {
    check_snapshot_interval(checker, file);
    if checker.extends_platform() {
        return;
    }
    let (kinds, classes) = (file.labels_of("kind"), file.labels_of("class"));
    for (name, labels) in [("class", &classes), ("kind", &kinds)] {
        if labels.is_empty() {
            checker.report(file.line, name.into(), Fault::BlockMissing(name));
        }
    }
    check_references(checker, file, &kinds, &classes);
    check_last_rules(checker, file);
    for class in file.blocks_named("class") {
        check_class(checker, class);
    }
    check_retry_budget(checker, file);
}

fn check_snapshot_interval(checker: &mut Checker<'_>, file: &CheckedBlock) {
    for knowledge in file.blocks_named("knowledge") {
        let (interval, keep_for) = (knowledge.number("every"), knowledge.number("keep_for"));
        if interval.zip(keep_for).is_some_and(|(interval, keep_for)| interval > keep_for) {
            checker.report(knowledge.keys["every"].line, "knowledge.every".into(), Fault::LongerThanKeepFor);
        }
    }
}

/// Checks that all zones, machine types and classes that keys refer to are defined.
fn check_references(
    checker: &mut Checker<'_>,
    file: &CheckedBlock,
    kinds: &BTreeSet<String>,
    classes: &BTreeSet<String>,
) {
    let zones: BTreeSet<String> = file.list("zones").iter().cloned().collect();
    check_names(checker, file.keys.get("zone"), &zones, "zone", "zone".into());
    for engine in file.blocks_named("engine") {
        let key = |name: &str| format!("engine {:?}.{name}", engine.label);
        check_names(checker, engine.keys.get("zone"), &zones, "zone", key("zone"));
        check_names(checker, engine.keys.get("kind"), kinds, "kind", key("kind"));
    }
    for class in file.blocks_named("class") {
        let key = |name: &str| format!("class {:?}.{name}", class.label);
        check_names(checker, class.keys.get("zones"), &zones, "zone", key("zones"));
        check_names(checker, class.keys.get("kinds"), kinds, "kind", key("kinds"));
    }
    for rule in file.blocks_named("clickhouse").flat_map(|clickhouse| clickhouse.blocks_named("rule")) {
        check_names(checker, rule.keys.get("class"), classes, "class", "clickhouse.rule.class".into());
    }
}

/// Checks that the names in a value are defined. `category` is what they should be names of, for the error message.
fn check_names(
    checker: &mut Checker<'_>,
    located: Option<&LocatedValue>,
    defined: &BTreeSet<String>,
    category: &'static str,
    key: String,
) {
    let Some(LocatedValue { value, line }) = located else { return };
    let names = if value.list.is_empty() { std::slice::from_ref(&value.text) } else { &value.list };
    for name in names.iter().filter(|name| !defined.contains(*name)) {
        checker.report(*line, key.clone(), Fault::NotDefined { name: name.clone(), category });
    }
}

/// Checks that the last `rule` of each `clickhouse` block matches all statements.
fn check_last_rules(checker: &mut Checker<'_>, file: &CheckedBlock) {
    for clickhouse in file.blocks_named("clickhouse") {
        let last = clickhouse.blocks_named("rule").last();
        let matches_all =
            last.is_some_and(|rule| rule.list("verbs").is_empty() && rule.list("users").is_empty());
        if !matches_all {
            let line = last.map_or(clickhouse.line, |rule| rule.line);
            checker.report(line, "clickhouse.rule".into(), Fault::NoRuleForAll);
        }
    }
}

/// Checks the latency objective of a class and its keys for idempotency.
fn check_class(checker: &mut Checker<'_>, class: &CheckedBlock) {
    let key = |name: &str| format!("class {:?}.{name}", class.label);
    let (objective, timeout) = (class.number("aim"), class.number("give_up"));
    if objective.zip(timeout).is_some_and(|(objective, timeout)| objective > timeout) {
        checker.report(class.keys["aim"].line, key("aim"), Fault::PastTimeout);
    }
    let is_keyed = class.text("repeat") == Some("keyed");
    if is_keyed && !class.keys.contains_key("window") {
        checker.report(class.line, key("window"), Fault::WindowMissing);
    }
    for name in ["window", "scope"] {
        if let Some(located) = class.keys.get(name).filter(|_| !is_keyed) {
            checker.report(located.line, key(name), Fault::OnlyWhereKeyed);
        }
    }
}

/// Checks that a retry budget has a time window (`ratio_span`) over which retries are counted.
fn check_retry_budget(checker: &mut Checker<'_>, file: &CheckedBlock) {
    for rules in file.blocks_named("rules").filter(|rules| !rules.keys.contains_key("ratio_span")) {
        let budget_keys = ["extra_free", "extra_per_request"];
        if let Some(name) = budget_keys.into_iter().find(|name| rules.keys.contains_key(name)) {
            checker.report(rules.keys[name].line, format!("rules.{name}"), Fault::SpanMissing);
        }
    }
}

//! Converts a checked file to settings by their paths, the form that the operator's file shares with the platform's configuration.

use super::block::CheckedBlock;
use crate::config::raw::{RawConfig, RawEngine};
use crate::config::schema::TOP_KEYS;
use std::collections::BTreeMap;

/// Values of settings by their paths.
type ValuesByPath = BTreeMap<String, String>;

/// Blocks that are converted to lists instead of settings with paths of their own.
const LIST_BLOCKS: [&str; 2] = ["engine", "kind"];
/// Values of `repeat` and the values of the setting `idempotency` that they stand for.
const IDEMPOTENCIES: [(&str, &str); 3] =
    [("safe", "idempotent"), ("keyed", "deduplicated"), ("unsafe", "at_most_once")];

/// Returns the settings and the endpoint list of a file without faults.
pub(super) fn to_raw(file: &CheckedBlock) -> RawConfig {
    let mut values = ValuesByPath::new();
    for key in TOP_KEYS {
        if let Some(text) = file.text(key.name) {
            values.insert(key.setting.to_owned(), text.to_owned());
        }
    }
    flatten("", file, &mut values);
    add_lists(file, &mut values);
    translate(&mut values);
    let engines: Vec<_> = file.blocks_named("engine").map(raw_engine).collect();
    // A file with engines holds version 1 of the endpoint list. A file without engines holds no version, which is 0.
    RawConfig { values, endpoints_version: u64::from(!engines.is_empty()), engines }
}

/// Adds the settings of all blocks under their paths. Repeatable blocks are numbered from 0, and the number of blocks becomes the
/// setting `count`.
fn flatten(path: &str, parent: &CheckedBlock, values: &mut ValuesByPath) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (schema, block) in parent.blocks.iter().filter(|(schema, _)| !LIST_BLOCKS.contains(&schema.name)) {
        let mut prefix =
            if path.is_empty() { schema.setting.to_owned() } else { format!("{path}.{}", schema.setting) };
        if schema.repeatable {
            let count = counts.entry(schema.setting).or_default();
            *count += 1;
            values.insert(format!("{prefix}.count"), count.to_string());
            prefix = format!("{prefix}.{}", *count - 1);
        }
        if let Some(setting) = schema.label {
            values.insert(format!("{prefix}.{setting}"), block.label.clone());
        }
        for key in schema.keys {
            if let Some(text) = block.text(key.name) {
                values.insert(format!("{prefix}.{}", key.setting), text.to_owned());
            }
        }
        flatten(&prefix, block, values);
    }
}

/// Adds the settings that are lists with one entry for each machine type or class.
fn add_lists(file: &CheckedBlock, values: &mut ValuesByPath) {
    let list = |block: &'static str, key: &str, default: &str| {
        let texts = file.blocks_named(block).map(|block| block.text(key).unwrap_or(default));
        texts.collect::<Vec<_>>().join(",")
    };
    if file.blocks_named("kind").next().is_some() {
        let names: Vec<_> = file.blocks_named("kind").map(|kind| kind.label.as_str()).collect();
        values.insert("skus".into(), names.join(","));
        values.insert("specifics.cpu_of_kind".into(), list("kind", "cores", "0"));
        values.insert("specifics.memory_by_kind_mb".into(), list("kind", "memory", "0"));
    }
    if file.blocks_named("class").next().is_some() {
        values.insert("specifics.width_by_class".into(), list("class", "threads", "1"));
        values.insert("specifics.is_load".into(), list("class", "load", "false"));
        values.insert("specifics.class_waits".into(), list("class", "waits_for_loads", "false"));
    }
}

/// Converts the settings whose form in the operator's file differs from that in the platform's configuration.
fn translate(values: &mut ValuesByPath) {
    for (_, value) in values.iter_mut().filter(|(path, _)| path.ends_with(".idempotency")) {
        if let Some((_, setting)) = IDEMPOTENCIES.iter().find(|(repeat, _)| repeat == value) {
            *value = (*setting).to_owned();
        }
    }
    if let Some(reports) = values.remove("specifics.how") {
        values.insert("reporting.how".into(), reports);
    }
    // The operator's file sets the maximum retry-after alone. The platform's configuration also has a flag that enables it.
    if values.contains_key("limits.max_retry_after") {
        values.insert("limits.retry_after".into(), "true".into());
    }
}

fn raw_engine(engine: &CheckedBlock) -> RawEngine {
    let text = |key: &str| engine.text(key).unwrap_or_default().to_owned();
    RawEngine {
        id: engine.label.clone(),
        address: text("address"),
        zone: text("zone"),
        machine_type: text("kind"),
        cell: engine.number("cell").unwrap_or(0.0) as u64,
        state: engine.text("state").unwrap_or("ready").to_owned(),
        started: 0.0,
    }
}

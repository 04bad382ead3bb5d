//! Turns a checked file into settings by their paths, the form that it shares with the platform's configuration.

use super::block::CheckedBlock;
use crate::config::raw::{RawConfig, RawEngine};
use crate::config::schema::TOP_KEYS;
use std::collections::BTreeMap;

type Pairs = BTreeMap<String, String>;

/// Blocks that become lists of their own, and no settings under paths.
const LIST_BLOCKS: [&str; 2] = ["engine", "kind"];
/// Values of `repeat` and the settings that they become.
const IDEMPOTENCIES: [(&str, &str); 3] =
    [("safe", "idempotent"), ("keyed", "deduplicated"), ("unsafe", "at_most_once")];

/// The settings and the endpoint list of a file without faults.
pub(super) fn to_raw(file: &CheckedBlock) -> RawConfig {
    let mut pairs = Pairs::new();
    for key in TOP_KEYS {
        if let Some(text) = file.text(key.name) {
            pairs.insert(key.setting.to_owned(), text.to_owned());
        }
    }
    flatten("", file, &mut pairs);
    add_lists(file, &mut pairs);
    translate(&mut pairs);
    let engines: Vec<_> = file.blocks_named("engine").map(raw_engine).collect();
    // A file that names no engine has seen no version of the endpoint list.
    RawConfig { pairs, serial: u64::from(!engines.is_empty()), engines }
}

/// Adds the settings of all blocks under their paths; repeatable blocks are counted and numbered.
fn flatten(path: &str, parent: &CheckedBlock, pairs: &mut Pairs) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (schema, block) in parent.blocks.iter().filter(|(schema, _)| !LIST_BLOCKS.contains(&schema.name)) {
        let mut prefix =
            if path.is_empty() { schema.setting.to_owned() } else { format!("{path}.{}", schema.setting) };
        if schema.repeatable {
            let count = counts.entry(schema.setting).or_default();
            *count += 1;
            pairs.insert(format!("{prefix}.count"), count.to_string());
            prefix = format!("{prefix}.{}", *count - 1);
        }
        if let Some(setting) = schema.label {
            pairs.insert(format!("{prefix}.{setting}"), block.label.clone());
        }
        for key in schema.keys {
            if let Some(text) = block.text(key.name) {
                pairs.insert(format!("{prefix}.{}", key.setting), text.to_owned());
            }
        }
        flatten(&prefix, block, pairs);
    }
}

/// Adds the settings that are lists with an entry for each kind or class.
fn add_lists(file: &CheckedBlock, pairs: &mut Pairs) {
    let list = |block: &'static str, key: &str, default: &str| {
        let texts = file.blocks_named(block).map(|block| block.text(key).unwrap_or(default));
        texts.collect::<Vec<_>>().join(",")
    };
    if file.blocks_named("kind").next().is_some() {
        let names: Vec<_> = file.blocks_named("kind").map(|kind| kind.label.as_str()).collect();
        pairs.insert("skus".into(), names.join(","));
        pairs.insert("specifics.cpu_of_kind".into(), list("kind", "cores", "0"));
        pairs.insert("specifics.memory_by_kind_mb".into(), list("kind", "memory", "0"));
    }
    if file.blocks_named("class").next().is_some() {
        pairs.insert("specifics.width_by_class".into(), list("class", "threads", "1"));
        pairs.insert("specifics.is_load".into(), list("class", "load", "false"));
        pairs.insert("specifics.class_waits".into(), list("class", "waits_for_loads", "false"));
    }
}

/// Translates the settings that the operator's file expresses in another way than the platform's configuration.
fn translate(pairs: &mut Pairs) {
    for (_, value) in pairs.iter_mut().filter(|(path, _)| path.ends_with(".idempotency")) {
        if let Some((_, setting)) = IDEMPOTENCIES.iter().find(|(own, _)| own == value) {
            *value = (*setting).to_owned();
        }
    }
    if let Some(reports) = pairs.remove("specifics.how") {
        pairs.insert("reporting.how".into(), reports);
    }
    // A retry-after is one figure here; in the platform's configuration it is a flag and a figure.
    if pairs.contains_key("limits.max_retry_after") {
        pairs.insert("limits.retry_after".into(), "true".into());
    }
}

fn raw_engine(engine: &CheckedBlock) -> RawEngine {
    let text = |key: &str| engine.text(key).unwrap_or_default().to_owned();
    RawEngine {
        id: engine.label.clone(),
        address: text("address"),
        zone: text("zone"),
        kind: text("kind"),
        cell: engine.number("cell").unwrap_or(0.0) as u64,
        phase: engine.text("state").unwrap_or("ready").to_owned(),
        started: 0.0,
    }
}

//! A block of an operator's file whose keys were checked.

use super::value::SettingValue;
use crate::config::schema::Block;
use std::collections::{BTreeMap, BTreeSet};

/// A valid value, and where it is.
#[derive(Debug, Clone)]
pub(super) struct LocatedValue {
    /// The value.
    pub(super) value: SettingValue,
    /// Its line, from 1.
    pub(super) line: usize,
}

/// A block, or the whole file: its valid keys and its blocks.
#[derive(Debug, Default)]
pub(super) struct CheckedBlock {
    /// Its line, from 1.
    pub(super) line: usize,
    /// Its label; empty if it has none.
    pub(super) label: String,
    /// Its keys with valid values, by their names in the file.
    pub(super) keys: BTreeMap<&'static str, LocatedValue>,
    /// The blocks in it, in their order.
    pub(super) blocks: Vec<(&'static Block, CheckedBlock)>,
}

impl CheckedBlock {
    /// The blocks of that name in it.
    pub(super) fn blocks_named(&self, name: &'static str) -> impl Iterator<Item = &CheckedBlock> {
        self.blocks.iter().filter(move |(schema, _)| schema.name == name).map(|(_, block)| block)
    }

    /// The labels of the blocks of that name in it.
    pub(super) fn labels_of(&self, name: &'static str) -> BTreeSet<String> {
        self.blocks_named(name).map(|block| block.label.clone()).collect()
    }

    /// The text of a key, if it has the key.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(|located| located.value.text.as_str())
    }

    /// The items of a key that is a list; empty if it does not have the key.
    pub(super) fn list(&self, key: &str) -> &[String] {
        self.keys.get(key).map_or(&[], |located| &located.value.list)
    }

    /// The number of a key, if it has the key.
    pub(super) fn number(&self, key: &str) -> Option<f64> {
        self.text(key).and_then(|text| text.parse().ok())
    }
}

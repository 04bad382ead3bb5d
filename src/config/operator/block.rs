//! Blocks of the operator's file after the check of their keys.

use super::value::SettingValue;
use crate::config::schema::Block;
use std::collections::{BTreeMap, BTreeSet};

/// A valid value with its line in the file.
#[derive(Debug, Clone)]
pub(super) struct LocatedValue {
    /// Value in the form of a setting.
    pub(super) value: SettingValue,
    /// Line of the key in the file, from 1.
    pub(super) line: usize,
}

/// Valid keys and blocks of a block, or of the whole file.
#[derive(Debug, Default)]
pub(super) struct CheckedBlock {
    /// Line at which the block begins, from 1.
    pub(super) line: usize,
    /// Label of the block, or an empty string.
    pub(super) label: String,
    /// Keys with valid values, by their names in the file.
    pub(super) keys: BTreeMap<&'static str, LocatedValue>,
    /// Nested blocks with their schemas, in the order of the file.
    pub(super) blocks: Vec<(&'static Block, CheckedBlock)>,
}

impl CheckedBlock {
    /// Returns the nested blocks with this name.
    pub(super) fn blocks_named(&self, name: &'static str) -> impl Iterator<Item = &CheckedBlock> {
        self.blocks.iter().filter(move |(schema, _)| schema.name == name).map(|(_, block)| block)
    }

    /// Returns the labels of the nested blocks with this name.
    pub(super) fn labels_of(&self, name: &'static str) -> BTreeSet<String> {
        self.blocks_named(name).map(|block| block.label.clone()).collect()
    }

    /// Returns the value of a key as text. Returns `None` if the block does not contain the key.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(|located| located.value.text.as_str())
    }

    /// Returns the items of a key whose value is a list. The slice is empty if the block does not contain the key.
    pub(super) fn list(&self, key: &str) -> &[String] {
        self.keys.get(key).map_or(&[], |located| &located.value.list)
    }

    /// Returns the value of a key as a number. Returns `None` if the block does not contain the key.
    pub(super) fn number(&self, key: &str) -> Option<f64> {
        self.text(key).and_then(|text| text.parse().ok())
    }
}

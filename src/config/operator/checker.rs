//! Checks each key and each block of the operator's file against the schema.

use super::block::{CheckedBlock, LocatedValue};
use super::problem::{Fault, Problem};
use super::value::{convert, is_word};
use crate::config::schema::{Block, Key, BLOCKS, TOP_KEYS, TOP_KEYS_ALLOWED_WITH_PLATFORM};
use hcl_edit::structure::{Attribute, Body, Structure};
use hcl_edit::Span;

/// Maximum edit distance at which a known name is suggested for an unknown one.
const MAX_SIMILAR_DISTANCE: usize = 2;

/// Position of a body in the file, and the keys and blocks that the schema allows in it.
struct Scope<'a> {
    /// Path of the enclosing blocks, or an empty string for the whole file.
    path: &'a str,
    keys: &'static [Key],
    blocks: &'static [Block],
    /// Line at which the block begins.
    line: usize,
}

impl Scope<'_> {
    fn is_top(&self) -> bool {
        self.path.is_empty()
    }

    /// Returns the path of a key or block with this name in this body.
    fn path_of(&self, name: &str) -> String {
        if self.is_top() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Returns the most similar known name, if it is similar enough to be suggested.
    fn similar(&self, name: &str) -> Option<&'static str> {
        let known = self.keys.iter().map(|key| key.name).chain(self.blocks.iter().map(|block| block.name));
        let distance = |other: &&'static str| strsim::damerau_levenshtein(name, other);
        known.min_by_key(distance).filter(|other| distance(other) <= MAX_SIMILAR_DISTANCE)
    }
}

/// Checks a file and collects its faults.
pub(super) struct Checker<'a> {
    file: &'a str,
    /// Byte offsets at which the lines of the text begin.
    line_starts: Vec<usize>,
    /// Whether the file adds to the platform's configuration.
    extends_platform: bool,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for the file with this name and text.
    pub(super) fn new(file: &'a str, text: &str, extends_platform: bool) -> Self {
        let line_ends = text.match_indices('\n').map(|(index, _)| index);
        let line_starts = std::iter::once(0).chain(line_ends.map(|index| index + 1)).collect();
        Self { file, line_starts, extends_platform, problems: Vec::new() }
    }

    /// Returns whether the file adds to the platform's configuration.
    pub(super) fn extends_platform(&self) -> bool {
        self.extends_platform
    }

    /// Records a fault.
    pub(super) fn report(&mut self, line: usize, key: String, fault: impl Into<Fault>) {
        self.problems.push(Problem { file: self.file.to_owned(), line, key, fault: fault.into() });
    }

    /// Returns all faults in the order of their lines.
    pub(super) fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|problem| problem.line);
        self.problems
    }

    fn line_of(&self, item: &impl Span) -> usize {
        item.span().map_or(1, |span| self.line_starts.partition_point(|start| *start <= span.start))
    }

    /// Checks the whole file. Returns the keys and blocks that are valid.
    pub(super) fn check_file(&mut self, body: &Body) -> CheckedBlock {
        self.check_body(body, &Scope { path: "", keys: TOP_KEYS, blocks: BLOCKS, line: 1 })
    }

    fn check_body(&mut self, body: &Body, scope: &Scope<'_>) -> CheckedBlock {
        let mut found = CheckedBlock { line: scope.line, ..CheckedBlock::default() };
        for structure in body {
            match structure {
                Structure::Attribute(attribute) => self.check_attribute(attribute, scope, &mut found),
                Structure::Block(block) => self.check_block(block, scope, &mut found),
            }
        }
        self.check_required(body, scope);
        found
    }

    fn check_attribute(&mut self, attribute: &Attribute, scope: &Scope<'_>, found: &mut CheckedBlock) {
        let (name, line) = (attribute.key.as_str(), self.line_of(&attribute.key));
        let path = scope.path_of(name);
        let Some(key) = scope.keys.iter().find(|key| key.name == name) else {
            let fault = match scope.blocks.iter().any(|block| block.name == name) {
                true => Fault::IsBlock(name.to_owned()),
                false => Fault::Unknown { similar: scope.similar(name) },
            };
            return self.report(line, path, fault);
        };
        if scope.is_top() && self.extends_platform && !TOP_KEYS_ALLOWED_WITH_PLATFORM.contains(&name) {
            return self.report(line, path, Fault::GivenByPlatform);
        }
        match convert(&attribute.value, key.form) {
            Ok(value) => {
                found.keys.insert(key.name, LocatedValue { value, line });
            }
            Err(invalid) => self.report(line, path, invalid),
        }
    }

    fn check_block(
        &mut self,
        block: &hcl_edit::structure::Block,
        scope: &Scope<'_>,
        found: &mut CheckedBlock,
    ) {
        let (name, line) = (block.ident.as_str(), self.line_of(&block.ident));
        let Some(schema) = scope.blocks.iter().find(|known| known.name == name) else {
            let fault = match scope.keys.iter().any(|key| key.name == name) {
                true => Fault::IsKey(name.to_owned()),
                false => Fault::Unknown { similar: scope.similar(name) },
            };
            return self.report(line, scope.path_of(name), fault);
        };
        let labels: Vec<&str> = block.labels.iter().map(hcl_edit::structure::BlockLabel::as_str).collect();
        let path = match labels.first() {
            Some(label) => format!("{} {label:?}", scope.path_of(name)),
            None => scope.path_of(name),
        };
        if self.extends_platform && !schema.allowed_with_platform {
            return self.report(line, path, Fault::GivenByPlatform);
        }
        if let Some(fault) = label_fault(schema, &labels) {
            self.report(line, path.clone(), fault);
        }
        let label = labels.first().copied().unwrap_or_default().to_owned();
        let is_repetition =
            |other: &&CheckedBlock| !schema.repeatable || schema.label.is_some() && other.label == label;
        if let Some(first) = found.blocks_named(schema.name).find(is_repetition) {
            return self.report(line, path, Fault::Repeated(first.line));
        }
        let inner = Scope { path: &path, keys: schema.keys, blocks: schema.blocks, line };
        let mut inner = self.check_body(&block.body, &inner);
        inner.label = label;
        found.blocks.push((schema, inner));
    }

    /// Reports the required keys that are missing. A file that adds to the platform's configuration needs no key at its top level.
    fn check_required(&mut self, body: &Body, scope: &Scope<'_>) {
        if scope.is_top() && self.extends_platform {
            return;
        }
        for key in scope.keys.iter().filter(|key| key.required && !body.has_attribute(key.name)) {
            self.report(scope.line, scope.path_of(key.name), Fault::Missing);
        }
    }
}

fn label_fault(schema: &Block, labels: &[&str]) -> Option<Fault> {
    match (schema.label, labels) {
        (Some(_), [label]) if is_word(label) => None,
        (Some(_), [_]) => Some(Fault::InvalidLabel),
        (Some(_), _) => Some(Fault::LabelMissing(schema.name.to_owned())),
        (None, []) => None,
        (None, _) => Some(Fault::UnexpectedLabel),
    }
}

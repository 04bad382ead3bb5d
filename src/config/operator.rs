//! The operator's file: HCL, checked against the [`schema`](super::schema) and turned into the same pairs as the
//! platform's JSON. All that is wrong with it is told at once, each fault with its line and key.

use super::schema::{Block, Form, Key, BLOCKS, TOP, TOP_BESIDE};
use super::{Raw, RawEngine};
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Body, Structure};
use hcl_edit::Span;
use starlingplank_pacing::poll_schedule;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One fault of an operator's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The key or block, with the blocks around it; empty where the text itself is no HCL.
    pub key: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.what)
    }
}

/// A value that passed, and where it stands.
#[derive(Debug, Clone)]
struct Value {
    text: String,
    list: Vec<String>,
    line: usize,
}

/// A block that passed.
#[derive(Debug, Default)]
struct Found {
    line: usize,
    label: String,
    keys: BTreeMap<&'static str, Value>,
    blocks: Vec<(&'static Block, Found)>,
}

impl Found {
    fn of(&self, name: &'static str) -> impl Iterator<Item = &Found> {
        self.blocks.iter().filter(move |(b, _)| b.name == name).map(|(_, f)| f)
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.keys.get(name).and_then(|v| v.text.parse().ok())
    }
}

struct Checker<'a> {
    file: &'a str,
    starts: Vec<usize>,
    problems: Vec<Problem>,
}

/// Reads an operator's file: a whole configuration, or one that stands beside the platform's.
///
/// # Errors
/// All that is wrong with it.
pub fn read(file: &str, text: &str, beside: bool) -> Result<Raw, Vec<Problem>> {
    let body = match hcl_edit::parser::parse_body(text) {
        Ok(body) => body,
        Err(e) => {
            let (line, what) = (e.location().line(), format!("is not HCL: {}", e.message()));
            return Err(vec![Problem { file: file.into(), line, key: String::new(), what }]);
        }
    };
    let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
    let mut checker = Checker { file, starts, problems: Vec::new() };
    let found = checker.body(&body, "", TOP, BLOCKS, 1, beside);
    checker.whole(&found, beside);
    if checker.problems.is_empty() {
        let mut raw = raw(&found);
        // The platform's rules fix the pace at which its list is asked; elsewhere a service may be spared.
        if !beside {
            let slowest = || poll_schedule::DEFAULT_MAX_INTERVAL.to_string();
            raw.pairs.entry("pacing.list_slowest".into()).or_insert_with(slowest);
        }
        Ok(raw)
    } else {
        checker.problems.sort_by_key(|p| p.line);
        Err(checker.problems)
    }
}

impl Checker<'_> {
    fn line(&self, of: &impl Span) -> usize {
        of.span().map_or(1, |span| self.starts.partition_point(|start| *start <= span.start))
    }

    fn bad(&mut self, line: usize, key: String, what: impl Into<String>) {
        self.problems.push(Problem { file: self.file.to_owned(), line, key, what: what.into() });
    }

    fn body(
        &mut self,
        body: &Body,
        path: &str,
        keys: &'static [Key],
        blocks: &'static [Block],
        line: usize,
        beside: bool,
    ) -> Found {
        let mut found = Found { line, ..Found::default() };
        let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        let top = path.is_empty();
        for structure in body {
            match structure {
                Structure::Attribute(attribute) => {
                    let (name, line) = (attribute.key.as_str(), self.line(&attribute.key));
                    let Some(key) = keys.iter().find(|k| k.name == name) else {
                        let what = match blocks.iter().find(|b| b.name == name) {
                            Some(_) => format!("is a block: write {name} {{ ... }}"),
                            None => format!("is not known here{}", near(name, keys, blocks)),
                        };
                        self.bad(line, under(name), what);
                        continue;
                    };
                    if top && beside && !TOP_BESIDE.contains(&name) {
                        self.bad(line, under(name), "is the platform's to give; leave it out here");
                        continue;
                    }
                    if let Some(value) = self.value(attribute, key, &under(name), line) {
                        found.keys.insert(key.name, value);
                    }
                }
                Structure::Block(block) => {
                    let (name, line) = (block.ident.as_str(), self.line(&block.ident));
                    let Some(spec) = blocks.iter().find(|b| b.name == name) else {
                        let what = match keys.iter().find(|k| k.name == name) {
                            Some(_) => format!("is a key: write {name} = ..."),
                            None => format!("is not known here{}", near(name, keys, blocks)),
                        };
                        self.bad(line, under(name), what);
                        continue;
                    };
                    let labels: Vec<_> = block.labels.iter().map(|l| l.as_str()).collect();
                    let path = match labels.first() {
                        Some(label) => format!("{} {label:?}", under(name)),
                        None => under(name),
                    };
                    if beside && !spec.beside {
                        self.bad(line, path, "is the platform's to give; leave it out here");
                        continue;
                    }
                    match (spec.label, labels.as_slice()) {
                        (Some(_), [label]) if word(label) => {}
                        (Some(_), [_]) => {
                            self.bad(line, path.clone(), "has a label with a space or comma in it")
                        }
                        (Some(_), _) => {
                            self.bad(line, path.clone(), format!("needs one label: {name} \"...\" {{"))
                        }
                        (None, []) => {}
                        (None, _) => self.bad(line, path.clone(), "has no label"),
                    }
                    let label = labels.first().copied().unwrap_or_default().to_owned();
                    let before =
                        found.of(spec.name).find(|f| !spec.many || spec.label.is_some() && f.label == label);
                    if let Some(before) = before {
                        let what = format!("stands already in line {}", before.line);
                        self.bad(line, path.clone(), what);
                        continue;
                    }
                    let mut inner = self.body(&block.body, &path, spec.keys, spec.blocks, line, beside);
                    inner.label = label;
                    found.blocks.push((spec, inner));
                }
            }
        }
        for key in keys.iter().filter(|k| k.needed && !(top && beside)) {
            let said = body.has_attribute(key.name);
            if !said {
                self.bad(line, under(key.name), "is missing");
            }
        }
        found
    }

    fn value(&mut self, attribute: &Attribute, key: &Key, path: &str, line: usize) -> Option<Value> {
        match convert(&attribute.value, key.form) {
            Ok((text, list)) => Some(Value { text, list, line }),
            Err(what) => {
                self.bad(line, path.to_owned(), what);
                None
            }
        }
    }

    /// What only the whole file shows.
    fn whole(&mut self, found: &Found, beside: bool) {
        for log in found.of("knowledge") {
            let (every, keep) = (log.number("every"), log.number("keep_for"));
            if let (Some(every), Some(keep)) = (every, keep) {
                if every > keep {
                    let line = log.keys["every"].line;
                    self.bad(
                        line,
                        "knowledge.every".into(),
                        "is longer than keep_for: nothing would be kept",
                    );
                }
            }
        }
        if beside {
            return;
        }
        let names = |block: &'static str| found.of(block).map(|f| f.label.clone()).collect::<BTreeSet<_>>();
        let zones: BTreeSet<String> =
            found.keys.get("zones").map(|z| z.list.iter().cloned().collect()).unwrap_or_default();
        let (kinds, classes) = (names("kind"), names("class"));
        for (name, set) in [("class", &classes), ("kind", &kinds)] {
            if set.is_empty() {
                self.bad(found.line, name.into(), format!("is missing: at least one {name} \"...\" block"));
            }
        }
        let mut known = |value: Option<&Value>, set: &BTreeSet<String>, key: String, what: &str| {
            let Some(value) = value else { return };
            let all = if value.list.is_empty() { std::slice::from_ref(&value.text) } else { &value.list };
            for name in all.iter().filter(|n| !set.contains(*n)) {
                self.bad(value.line, key.clone(), format!("{name:?} is no {what} of this file"));
            }
        };
        known(found.keys.get("zone"), &zones, "zone".into(), "zone");
        for e in found.of("engine") {
            known(e.keys.get("zone"), &zones, format!("engine {:?}.zone", e.label), "zone");
            known(e.keys.get("kind"), &kinds, format!("engine {:?}.kind", e.label), "kind");
        }
        for c in found.of("class") {
            known(c.keys.get("zones"), &zones, format!("class {:?}.zones", c.label), "zone");
            known(c.keys.get("kinds"), &kinds, format!("class {:?}.kinds", c.label), "kind");
        }
        for rule in found.of("clickhouse").flat_map(|c| c.of("rule")) {
            known(rule.keys.get("class"), &classes, "clickhouse.rule.class".into(), "class");
        }
        for c in found.of("clickhouse") {
            let last = c.of("rule").last();
            if last.is_none_or(|r| !empty(r, "verbs") || !empty(r, "users")) {
                let line = last.map_or(c.line, |r| r.line);
                let what =
                    "must end with a rule that holds for all statements: one with neither verbs nor users";
                self.bad(line, "clickhouse.rule".into(), what);
            }
        }
        for c in found.of("class") {
            let key = |name: &str| format!("class {:?}.{name}", c.label);
            if let (Some(aim), Some(give_up)) = (c.number("aim"), c.number("give_up")) {
                if aim > give_up {
                    self.bad(c.keys["aim"].line, key("aim"), "lies past give_up");
                }
            }
            let keyed = c.keys.get("repeat").is_some_and(|r| r.text == "keyed");
            if keyed && !c.keys.contains_key("window") {
                let what = "is missing: how long engines drop a repeat of a key";
                self.bad(c.line, key("window"), what);
            }
            for name in ["window", "scope"].into_iter().filter(|n| !keyed && c.keys.contains_key(n)) {
                self.bad(c.keys[name].line, key(name), "is of use with repeat = \"keyed\" alone");
            }
        }
        for r in found.of("rules") {
            let extras = ["extra_free", "extra_per_request"].into_iter().find(|n| r.keys.contains_key(n));
            if let (Some(name), false) = (extras, r.keys.contains_key("ratio_span")) {
                self.bad(r.keys[name].line, format!("rules.{name}"), "needs ratio_span beside it");
            }
        }
    }
}

fn empty(found: &Found, key: &str) -> bool {
    found.keys.get(key).is_none_or(|v| v.list.is_empty())
}

fn word(text: &str) -> bool {
    !text.is_empty() && !text.chars().any(|c| c.is_whitespace() || c.is_control() || c == ',')
}

/// A known name that differs by little, as a hint.
fn near(name: &str, keys: &[Key], blocks: &[Block]) -> String {
    let all = keys.iter().map(|k| k.name).chain(blocks.iter().map(|b| b.name));
    let off = |other: &str| strsim::damerau_levenshtein(name, other);
    let closest = all.min_by_key(|other| off(other)).filter(|other| off(other) <= 2);
    closest.map(|n| format!("; {n} is")).unwrap_or_default()
}

fn convert(value: &Expression, form: Form) -> Result<(String, Vec<String>), String> {
    let plain = |text: String| Ok((text, Vec::new()));
    let text = value.as_str();
    let number = value.as_number().and_then(|n| n.as_f64()).filter(|n| n.is_finite());
    match form {
        Form::Word => match text {
            Some(t) if word(t) => plain(t.to_owned()),
            _ => Err("must be text without space or comma".into()),
        },
        Form::Text => match text {
            Some(t) if !t.is_empty() && !t.contains('\0') => plain(t.to_owned()),
            _ => Err("must be text".into()),
        },
        Form::OneOf(words) => match text.and_then(|t| words.iter().find(|w| **w == t)) {
            Some(w) => plain((*w).to_owned()),
            None => Err(format!("must be one of {}", words.join(", "))),
        },
        Form::Flag => match value.as_bool() {
            Some(flag) => plain(flag.to_string()),
            None => Err("must be true or false".into()),
        },
        Form::Count(least, most) => match number {
            Some(n) if n.fract() == 0.0 && n >= least as f64 && n <= most as f64 => plain(format!("{n:.0}")),
            _ => Err(format!("must be a whole number from {least} to {most}")),
        },
        Form::Number(least, most) => match number {
            Some(n) if n >= least && n <= most => plain(n.to_string()),
            _ => Err(format!("must be a number from {least} to {most}")),
        },
        Form::Duration(least, most) => {
            const UNITS: [(&str, f64); 4] =
                [("ms", 1.0), ("s", 1_000.0), ("m", 60_000.0), ("h", 3_600_000.0)];
            measured(text, &UNITS, least, most).map(|n| (n.to_string(), Vec::new())).ok_or_else(|| {
                format!("must be text of a number and ms, s, m or h, from {} to {}", ms(least), ms(most))
            })
        }
        Form::Size(least, most) => {
            const UNITS: [(&str, f64); 3] = [("KiB", 1.0 / 1024.0), ("MiB", 1.0), ("GiB", 1024.0)];
            measured(text, &UNITS, least, most).map(|n| (n.to_string(), Vec::new())).ok_or_else(|| {
                format!("must be text of a number and KiB, MiB or GiB, from {least} to {most} MiB")
            })
        }
        Form::Address => match text.map(str::parse::<std::net::SocketAddr>) {
            Some(Ok(at)) => plain(at.to_string()),
            _ => Err("must be an IP address with a port".into()),
        },
        Form::Words => {
            let all: Option<Vec<_>> = value.as_array().and_then(|list| {
                list.iter().map(|v| v.as_str().filter(|t| word(t)).map(str::to_owned)).collect()
            });
            match all {
                Some(list) => Ok((list.join(","), list)),
                None => Err("must be a list of texts without space or comma".into()),
            }
        }
        Form::Hex => match text {
            Some(t) if u64::from_str_radix(t, 16).is_ok() => plain(t.to_owned()),
            _ => Err("must be text of up to 16 hex digits".into()),
        },
    }
}

fn measured(text: Option<&str>, units: &[(&str, f64)], least: f64, most: f64) -> Option<f64> {
    let text = text?.trim();
    let split = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(split);
    let by = units.iter().find(|(name, _)| *name == unit)?.1;
    let value = number.trim().parse::<f64>().ok()? * by;
    (value.is_finite() && value >= least && value <= most).then_some(value)
}

fn ms(x: f64) -> String {
    if x >= 3_600_000.0 {
        format!("{}h", x / 3_600_000.0)
    } else if x >= 1_000.0 {
        format!("{}s", x / 1_000.0)
    } else {
        format!("{x}ms")
    }
}

/// The pairs that the one reader reads.
fn raw(found: &Found) -> Raw {
    let mut raw = Raw::default();
    let top: BTreeMap<_, _> = TOP.iter().map(|k| (k.name, k)).collect();
    for (name, value) in &found.keys {
        raw.pairs.insert(top[name].to.to_owned(), value.text.clone());
    }
    flatten("", found, &mut raw.pairs);
    let list = |block: &'static str, key: &str, default: &str| {
        let text = |f: &Found| f.keys.get(key).map_or(default.to_owned(), |v| v.text.clone());
        found.of(block).map(text).collect::<Vec<_>>().join(",")
    };
    let kinds: Vec<_> = found.of("kind").map(|f| f.label.clone()).collect();
    if !kinds.is_empty() {
        raw.pairs.insert("skus".into(), kinds.join(","));
        raw.pairs.insert("specifics.cpu_of_kind".into(), list("kind", "cores", "0"));
        raw.pairs.insert("specifics.memory_by_kind_mb".into(), list("kind", "memory", "0"));
    }
    if found.of("class").next().is_some() {
        raw.pairs.insert("specifics.width_by_class".into(), list("class", "threads", "1"));
        raw.pairs.insert("specifics.is_load".into(), list("class", "load", "false"));
        raw.pairs.insert("specifics.class_waits".into(), list("class", "waits_for_loads", "false"));
    }
    for (key, value) in raw.pairs.iter_mut().filter(|(k, _)| k.ends_with(".idempotency")) {
        let _ = key;
        let wire = [("safe", "idempotent"), ("keyed", "deduplicated"), ("unsafe", "at_most_once")];
        if let Some((_, wire)) = wire.iter().find(|(ours, _)| ours == value) {
            *value = (*wire).to_owned();
        }
    }
    if let Some(how) = raw.pairs.remove("specifics.how") {
        raw.pairs.insert("reporting.how".into(), how);
    }
    // Being told when to come back is a figure here; on the wire it is a flag and a figure.
    if raw.pairs.contains_key("limits.max_retry_after") {
        raw.pairs.insert("limits.retry_after".into(), "true".into());
    }
    for e in found.of("engine") {
        let text = |key: &str| e.keys.get(key).map(|v| v.text.clone()).unwrap_or_default();
        raw.engines.push(RawEngine {
            id: e.label.clone(),
            address: text("address"),
            zone: text("zone"),
            kind: text("kind"),
            cell: e.number("cell").unwrap_or(0.0) as u64,
            phase: e.keys.get("state").map_or("ready".into(), |v| v.text.clone()),
            started: 0.0,
        });
    }
    // A file that names no engine knows of no event.
    raw.serial = u64::from(!raw.engines.is_empty());
    raw
}

fn flatten(path: &str, found: &Found, pairs: &mut BTreeMap<String, String>) {
    let mut numbers: BTreeMap<&str, usize> = BTreeMap::new();
    for (block, inner) in found.blocks.iter().filter(|(b, _)| b.name != "engine" && b.name != "kind") {
        let under = if path.is_empty() { block.to.to_owned() } else { format!("{path}.{}", block.to) };
        let under = if block.many {
            let n = numbers.entry(block.to).or_default();
            *n += 1;
            pairs.insert(format!("{under}.count"), n.to_string());
            format!("{under}.{}", *n - 1)
        } else {
            under
        };
        if let Some(to) = block.label {
            pairs.insert(format!("{under}.{to}"), inner.label.clone());
        }
        for (name, value) in &inner.keys {
            let to = block.keys.iter().find(|k| k.name == *name).map_or(*name, |k| k.to);
            pairs.insert(format!("{under}.{to}"), value.text.clone());
        }
        flatten(&under, inner, pairs);
    }
}

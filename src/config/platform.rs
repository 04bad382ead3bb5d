//! Reads the platform's configuration (JSON) into settings by their paths.

use super::raw::{RawConfig, RawEngine};
use super::ConfigError;
use miniserde::json::{self, Number, Value};
use std::collections::BTreeMap;

/// Objects outside `settings` whose contents become settings: the key of the object, and the prefix of the settings' paths.
const SETTING_OBJECTS: [(&str, &str); 3] =
    [("limits", "machine"), ("clickhouse", "clickhouse"), ("engines", "engines")];
/// Keys of strings that become settings with the prefix `gateway`.
const GATEWAY_KEYS: [&str; 5] = ["name", "listen", "names", "seed", "operator"];

/// Reads the text of the platform's configuration.
///
/// # Errors
/// Fails if the text is not JSON, `settings` is missing, or `known` is invalid.
pub(super) fn read(text: &str) -> Result<RawConfig, ConfigError> {
    let Ok(Value::Object(root)) = json::from_str::<Value>(text) else { return Err(ConfigError::Json) };
    let mut values = BTreeMap::new();
    match root.get("settings") {
        Some(settings @ Value::Object(_)) => flatten("", settings, &mut values),
        _ => return Err(ConfigError::Key("settings", "must be an object")),
    }
    for (key, prefix) in SETTING_OBJECTS {
        if let Some(value) = root.get(key) {
            flatten(prefix, value, &mut values);
        }
    }
    for key in GATEWAY_KEYS {
        if let Some(text) = text_of(&root, key) {
            values.insert(format!("gateway.{key}"), text.to_owned());
        }
    }
    let (endpoints_version, engines) = match root.get("known") {
        None => (0, Vec::new()),
        Some(known) => read_endpoint_list(known)?,
    };
    Ok(RawConfig { values, endpoints_version, engines })
}

fn text_of<'a>(object: &'a json::Object, key: &str) -> Option<&'a str> {
    match object.get(key) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    }
}

fn number_of(object: &json::Object, key: &str) -> Option<f64> {
    match object.get(key) {
        Some(Value::Number(Number::U64(number))) => Some(*number as f64),
        Some(Value::Number(Number::I64(number))) => Some(*number as f64),
        Some(Value::Number(Number::F64(number))) => Some(*number),
        _ => None,
    }
}

/// Returns the text of a scalar value in the form that the simulator uses. Returns `None` for lists and objects.
fn scalar_text(value: &Value) -> Option<String> {
    Some(match value {
        Value::Null => String::new(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::String(text) => text.replace([' ', ','], "_"),
        Value::Array(_) | Value::Object(_) => return None,
    })
}

/// Adds the settings in a JSON value. Path components are joined by dots, and scalars of a list by commas. The objects of a list are
/// numbered from 0, and the number of objects becomes the setting `count`.
fn flatten(path: &str, value: &Value, values: &mut BTreeMap<String, String>) {
    let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                flatten(&child(name), value, values);
            }
        }
        Value::Array(list) => {
            if let Some(texts) = list.iter().map(scalar_text).collect::<Option<Vec<_>>>() {
                values.insert(path.to_owned(), texts.join(","));
            } else {
                values.insert(child("count"), list.len().to_string());
                for (index, value) in list.iter().enumerate() {
                    flatten(&child(&index.to_string()), value, values);
                }
            }
        }
        // A key whose value is null is treated as missing.
        Value::Null => {}
        scalar => {
            if let Some(text) = scalar_text(scalar) {
                values.insert(path.to_owned(), text);
            }
        }
    }
}

/// Returns the version of the endpoint list and the list itself, which results from the events of the name service up to the start.
fn read_endpoint_list(known: &Value) -> Result<(u64, Vec<RawEngine>), ConfigError> {
    let invalid = || ConfigError::Key("known", "must hold a cursor and events with their members");
    let Value::Object(known) = known else { return Err(invalid()) };
    let version = number_of(known, "cursor").unwrap_or(0.0) as u64;
    let mut list: BTreeMap<String, RawEngine> = BTreeMap::new();
    let Some(Value::Array(events)) = known.get("cmds") else { return Err(invalid()) };
    for event in events {
        let Value::Object(event) = event else { return Err(invalid()) };
        let Some(Value::Object(nodes)) = event.get("nodes") else { continue };
        if matches!(nodes.get("complete"), Some(Value::Bool(true))) {
            list.clear();
        }
        let Some(Value::Array(members)) = nodes.get("members") else { return Err(invalid()) };
        for member in members {
            let Value::Object(member) = member else { return Err(invalid()) };
            let engine = read_member(member).ok_or_else(invalid)?;
            list.insert(engine.id.clone(), engine);
        }
    }
    list.retain(|_, engine| engine.state != "gone");
    Ok((version, list.into_values().collect()))
}

fn read_member(member: &json::Object) -> Option<RawEngine> {
    let text = |key| text_of(member, key).unwrap_or_default().to_owned();
    Some(RawEngine {
        id: text_of(member, "id")?.to_owned(),
        address: text_of(member, "host_port")?.to_owned(),
        zone: text("locality"),
        machine_type: text("flavor"),
        cell: number_of(member, "cell").unwrap_or(0.0) as u64,
        state: text_of(member, "phase")?.to_owned(),
        started: number_of(member, "up_since_ms").unwrap_or(0.0),
    })
}

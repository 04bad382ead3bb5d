//! The commands `knowledge show` and `knowledge verify`, which print the contents of a folder and check its files. Both
//! take no lock and write nothing, so they can run while a gateway uses the folder. The names in the output are part of
//! the commands' interface.

use crate::boot_time::BootTime;
use crate::cached_endpoints::{self, CacheError, CachedEndpoints};
use crate::file_fault::FileFault;
use crate::folder::Files;
use crate::idempotency_log;
use crate::recovery::{self, retained_weight, EndpointIdentity, RecoverySettings, Uncertainty};
use crate::snapshot_records::{Snapshot, StoredBand, StoredClass, StoredEngine};
use crate::snapshot_store;
use serde_json::{json, Value};
use starlingplank_decision::interface::Milliseconds;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// Maximum size of a snapshot file that is read, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;
/// Exit code of `verify` if all files are intact.
const EXIT_INTACT: u8 = 0;
/// Exit code of `verify` if at least one file is not intact.
const EXIT_FAULTS: u8 = 1;
/// Exit code of `verify` if the folder contains no stored state.
const EXIT_EMPTY: u8 = 2;

/// Result of [`verify`].
#[derive(Debug, Default)]
pub struct VerificationResult {
    /// One fault for each file that is not intact.
    pub faults: Vec<FileFault>,
    /// Whether the folder contains a snapshot, an idempotency log or a cached endpoint list.
    pub found_any: bool,
    /// Number of bytes of an incomplete write at the end of the log. They are not a fault, as the requests of that write were
    /// not sent.
    pub torn_bytes: usize,
}

impl VerificationResult {
    /// Returns the exit code of `verify`: 0 if all files are intact, 1 if any is not, 2 if the folder contains no stored state.
    pub fn code(&self) -> u8 {
        match (self.found_any, self.faults.is_empty()) {
            (false, _) => EXIT_EMPTY,
            (true, true) => EXIT_INTACT,
            (true, false) => EXIT_FAULTS,
        }
    }
}

/// Checks all stored files of a folder. A folder that does not exist is treated as empty.
///
/// # Errors
/// Returns an error if the folder cannot be read.
pub fn verify(folder: &Path) -> io::Result<VerificationResult> {
    let disk = match std::fs::metadata(folder) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(VerificationResult::default()),
        found => found.map(|_| Files::new(folder))?,
    };
    let loaded = snapshot_store::load(&disk, MAX_SNAPSHOT_BYTES)?;
    let log = idempotency_log::last(&disk)?;
    let found_snapshot_or_log = loaded.snapshot.is_some() || !loaded.faults.is_empty() || log.is_some();
    let torn_bytes = log.map_or(0, |(_, contents)| contents.torn_bytes);
    let mut faults = loaded.faults;
    faults.extend(idempotency_log::fault(&disk)?);
    let list = cached_endpoints::load(&disk);
    let found_any = found_snapshot_or_log || !matches!(list, Ok(None));
    if let Err(error) = list {
        faults.push(cached_list_fault(&error));
    }
    Ok(VerificationResult { faults, found_any, torn_bytes })
}

fn cached_list_fault(error: &CacheError) -> FileFault {
    let is_newer_version = matches!(error, CacheError::Frame(frame) if frame.is_newer_version());
    FileFault { is_newer_version, ..FileFault::unreadable(cached_endpoints::FILE.into(), error) }
}

/// Returns all values of the latest snapshot with their age and the weight that they would retain if they were restored
/// now, or `None` if there is no valid snapshot.
///
/// # Errors
/// Returns an error if the folder cannot be read.
pub fn show(folder: &Path, now: Milliseconds, settings: &RecoverySettings) -> io::Result<Option<Value>> {
    let disk = Files::new(folder);
    let loaded = snapshot_store::load(&disk, MAX_SNAPSHOT_BYTES)?;
    let log = idempotency_log::last(&disk)?;
    let Some((generation, snapshot)) = loaded.snapshot else { return Ok(None) };
    let boot = BootTime::read();
    let (key_count, mark_age) = match &log {
        Some((_, contents)) => {
            let mark = contents.mark.filter(|mark| Some(mark.boot_id) == boot.boot_id);
            (contents.sends.len(), mark.map(|mark| boot.now - mark.at))
        }
        None => (0, None),
    };
    let accepted = recovery::age(&snapshot, now, settings);
    let list = cached_endpoints::load(&disk).ok().flatten();
    Ok(Some(json!({
        "generation": generation,
        "gateway": snapshot.gateway,
        "taken_ms": snapshot.taken_at,
        "age_ms": now - snapshot.taken_at,
        "counts": accepted.is_ok(),
        "why_not": accepted.err().map(|reason| reason.to_string()),
        "bound_threads_per_core": snapshot.concurrency_limit,
        "fleet": show_fleet(&snapshot, now),
        "classes": snapshot.classes.iter().map(|class| show_class(class, &snapshot, now)).collect::<Vec<_>>(),
        "engines": snapshot.engines.iter().map(|engine| show_engine(engine, &snapshot, now, settings)).collect::<Vec<_>>(),
        "list": list.map(|list| show_list(&list, now)),
        "keys": {
            "held": key_count,
            "mark_age_ms": mark_age,
            "sent_beside": idempotency_log::unrecorded_sends_possible(&disk)?,
        },
    })))
}

fn show_list(list: &CachedEndpoints, now: Milliseconds) -> Value {
    json!({
        "age_ms": now - list.confirmed_at,
        "engines": list.endpoints.len(),
        "live": list.endpoints.iter().filter(|endpoint| endpoint.live).count(),
    })
}

fn show_fleet(snapshot: &Snapshot, now: Milliseconds) -> Value {
    let fleet = &snapshot.fleet;
    json!({
        "worth": retained_weight(now - snapshot.taken_at, recovery::TRAFFIC_HALF_LIFE),
        "own_threads": fleet.own_threads,
        "all_threads": fleet.all_threads,
        "threads_per_query": fleet.threads_per_query,
        "others_threads_per_core": fleet.other_load,
        "jammed_share": fleet.overloaded_share,
        "slowness": fleet.median_slowdown,
        "speed": fleet.speed,
        "shortest_probe_ms": fleet.shortest_health_checks.iter().cloned().collect::<BTreeMap<_, _>>(),
    })
}

fn show_class(class: &StoredClass, snapshot: &Snapshot, now: Milliseconds) -> Value {
    let age = now - class.confirmed_at.unwrap_or(snapshot.taken_at);
    json!({
        "name": class.name,
        "age_ms": age,
        "worth": retained_weight(age, recovery::LATENCY_HALF_LIFE),
        "threads": class.threads,
        "best_ms": class.best_latency,
        "alone_ms": class.unloaded_latency,
        "arrivals": class.arrivals,
        "time_left_ms": class.time_left,
        "mean_estimate": class.mean_work_estimate,
        "grant": class.grant_factor,
        "bands": class.bands.iter().map(show_band).collect::<Vec<_>>(),
    })
}

fn show_band(band: &StoredBand) -> Value {
    json!({
        "threads_per_core": band.level,
        "outcomes": band.samples,
        "mean_ms": band.mean,
        "deviation_ms": band.variance.max(0.0).sqrt(),
    })
}

fn show_engine(
    engine: &StoredEngine,
    snapshot: &Snapshot,
    now: Milliseconds,
    settings: &RecoverySettings,
) -> Value {
    let identity = EndpointIdentity {
        id: engine.id.clone(),
        address: engine.address.clone(),
        started: engine.started_at,
    };
    let uncertainty = recovery::uncertainty(Some(engine), &identity, now, settings);
    let restored = recovery::engine(Some(engine), &identity, snapshot.taken_at, now, settings);
    let age = engine.confirmed_at.map(|at| now - at);
    json!({
        "id": engine.id,
        "address": engine.address,
        "age_ms": age,
        "worth": age.map_or(0.0, |age| retained_weight(age, recovery::HEALTH_HALF_LIFE)),
        "slowness": engine.slowdown,
        "slowness_now": restored.slowdown,
        "errors": engine.error_rate,
        "errors_now": restored.error_rate,
        "others_threads": engine.other_threads,
        "others_threads_now": restored.other_threads,
        "ejected_for_ms": engine.ejected_until.map(|until| until - now),
        "ejections": engine.ejections,
        "started_ms": engine.started_at,
        "cold": engine.in_slow_start,
        "perhaps_cold_now": uncertainty != Uncertainty::None,
        "why": show_uncertainty(uncertainty),
    })
}

fn show_uncertainty(uncertainty: Uncertainty) -> &'static str {
    match uncertainty {
        Uncertainty::None => "heard of lately",
        Uncertainty::NotSeenRecently => "not heard of for longer than a restart takes",
        Uncertainty::Restarted => "started anew",
        Uncertainty::UnknownId => "unknown",
        Uncertainty::WasInSlowStart => "cold when last seen",
    }
}

/// Formats the output of [`show`] as text: one line per value, nested names joined by dots, numbers with up to three
/// decimal places.
pub fn text(shown: &Value) -> String {
    let mut out = String::new();
    write_lines(&mut out, "", shown);
    out
}

fn write_lines(out: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                let nested_path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                write_lines(out, &nested_path, inner);
            }
        }
        // An array element is labelled with its name or id if it has one, otherwise with its index.
        Value::Array(list) => {
            for (index, inner) in list.iter().enumerate() {
                let name = inner.get("name").or_else(|| inner.get("id")).and_then(Value::as_str);
                let name = name.map_or_else(|| index.to_string(), str::to_owned);
                write_lines(out, &format!("{path}[{name}]"), inner);
            }
        }
        Value::Number(number) => {
            let number = number.as_f64().unwrap_or(f64::NAN);
            let _ = writeln!(out, "{path} = {}", (number * 1000.0).round() / 1000.0);
        }
        Value::Null => {
            let _ = writeln!(out, "{path} = -");
        }
        other => {
            let _ = writeln!(out, "{path} = {}", other.to_string().trim_matches('"'));
        }
    }
}

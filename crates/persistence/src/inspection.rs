//! `knowledge show` and `knowledge verify`: what a folder holds, and whether it is whole. They take no lock and change
//! nothing, so they may be run beside a gateway.

use crate::boot_time::BootTime;
use crate::cached_endpoints::{self, ListError};
use crate::idempotency_log;
use crate::recovery::{self, worth, EndpointIdentity, Rules, Uncertainty};
use crate::snapshot_records::Snapshot;
use crate::snapshot_store::{self, Fault};
use serde_json::{json, Value};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_storage::folder::Files;
use starlingplank_storage::framed::FrameError;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// Bytes of a snapshot that are read at most.
const MOST: usize = 1 << 30;

/// What `verify` found.
#[derive(Debug, Default)]
pub struct Verdict {
    /// All that is wrong.
    pub faults: Vec<Fault>,
    /// Whether there is any snapshot or log.
    pub anything: bool,
    /// Bytes at the end of the log that were never synced: no fault, the sends they tell of never left.
    pub torn: usize,
}

impl Verdict {
    /// 0: the last snapshot and the log are whole; 1: something is not; 2: there is nothing.
    pub fn code(&self) -> u8 {
        match (self.anything, self.faults.is_empty()) {
            (false, _) => 2,
            (true, true) => 0,
            (true, false) => 1,
        }
    }
}

/// Checks a folder.
///
/// # Errors
/// It cannot be read.
pub fn verify(folder: &Path) -> io::Result<Verdict> {
    let disk = match std::fs::metadata(folder) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Verdict::default()),
        found => found.map(|_| Files::new(folder))?,
    };
    let loaded = snapshot_store::load(&disk, MOST)?;
    let log = idempotency_log::last(&disk)?;
    let anything = loaded.snapshot.is_some() || !loaded.faults.is_empty() || log.is_some();
    let torn = log.map_or(0, |(_, read)| read.torn);
    let mut faults = loaded.faults;
    faults.extend(idempotency_log::faults(&disk)?);
    let list = cached_endpoints::load(&disk);
    let anything = anything || !matches!(list, Ok(None));
    if let Err(e) = list {
        let newer = matches!(e, ListError::Frame(FrameError::NewerVersion { .. }));
        faults.push(Fault { file: cached_endpoints::FILE.into(), offset: None, why: e.to_string(), newer });
    }
    Ok(Verdict { faults, anything, torn })
}

/// Every figure of the last snapshot, with its age and what it would be worth now.
///
/// # Errors
/// The folder cannot be read.
pub fn show(folder: &Path, now: Milliseconds, rules: &Rules) -> io::Result<Option<Value>> {
    let disk = Files::new(folder);
    let loaded = snapshot_store::load(&disk, MOST)?;
    let log = idempotency_log::last(&disk)?;
    let Some((generation, snapshot)) = loaded.snapshot else { return Ok(None) };
    let boot = BootTime::read();
    let (keys, marked) = match &log {
        Some((_, read)) => {
            let mark = read.mark.filter(|m| Some(m.boot) == boot.boot_id);
            (read.sends.len(), mark.map(|m| boot.now - m.at))
        }
        None => (0, None),
    };
    let counts = recovery::age(&snapshot, now, rules);
    let kept = cached_endpoints::load(&disk).ok().flatten();
    Ok(Some(json!({
        "generation": generation,
        "gateway": snapshot.gateway,
        "taken_ms": snapshot.taken,
        "age_ms": now - snapshot.taken,
        "counts": counts.is_ok(),
        "why_not": counts.err().map(|e| e.to_string()),
        "bound_threads_per_core": snapshot.bound,
        "fleet": fleet(&snapshot, now),
        "classes": snapshot.classes.iter().map(|c| class(c, &snapshot, now)).collect::<Vec<_>>(),
        "engines": snapshot.engines.iter().map(|e| engine(e, &snapshot, now, rules)).collect::<Vec<_>>(),
        "list": kept.map(|l| json!({
            "age_ms": now - l.heard,
            "engines": l.engines.len(),
            "live": l.engines.iter().filter(|e| e.live).count(),
        })),
        "keys": {
            "held": keys,
            "mark_age_ms": marked,
            "sent_beside": idempotency_log::sent_beside(&disk)?,
        },
    })))
}

fn fleet(s: &Snapshot, now: Milliseconds) -> Value {
    let f = &s.fleet;
    json!({
        "worth": worth(now - s.taken, recovery::TRAFFIC_HALF),
        "own_threads": f.own_seen,
        "all_threads": f.all_seen,
        "threads_per_query": f.width,
        "others_threads_per_core": f.usual_load,
        "jammed_share": f.jammed,
        "slowness": f.usual_slow,
        "speed": f.speed,
        "shortest_probe_ms": f.floors.iter().cloned().collect::<std::collections::BTreeMap<_, _>>(),
    })
}

fn class(c: &crate::snapshot_records::Class, s: &Snapshot, now: Milliseconds) -> Value {
    let age = now - c.confirmed.unwrap_or(s.taken);
    let band = |(level, n, mean, var): &(f64, f64, f64, f64)| json!({ "threads_per_core": level, "outcomes": n, "mean_ms": mean, "deviation_ms": var.max(0.0).sqrt() });
    json!({
        "name": c.name,
        "age_ms": age,
        "worth": worth(age, recovery::LATENCY_HALF),
        "threads": c.threads,
        "best_ms": c.best,
        "alone_ms": c.usual,
        "arrivals": c.arrivals,
        "time_left_ms": c.time_left,
        "mean_estimate": c.size,
        "grant": c.grant,
        "bands": c.bands.iter().map(band).collect::<Vec<_>>(),
    })
}

fn engine(e: &crate::snapshot_records::Engine, s: &Snapshot, now: Milliseconds, rules: &Rules) -> Value {
    let named = EndpointIdentity { id: e.id.clone(), address: e.address.clone(), started: e.started };
    let doubt = recovery::doubt(Some(e), &named, now, rules);
    let back = recovery::engine(Some(e), &named, s.taken, now, rules);
    let age = e.confirmed.map(|at| now - at);
    json!({
        "id": e.id,
        "address": e.address,
        "age_ms": age,
        "worth": age.map_or(0.0, |age| worth(age, recovery::HEALTH_HALF)),
        "slowness": e.slow,
        "slowness_now": back.slow,
        "errors": e.errors,
        "errors_now": back.errors,
        "others_threads": e.others,
        "others_threads_now": back.others,
        "ejected_for_ms": e.ejected.map(|until| until - now),
        "ejections": e.ejections,
        "started_ms": e.started,
        "cold": e.cold,
        "perhaps_cold_now": doubt != Uncertainty::None,
        "why": match doubt {
            Uncertainty::None => "heard of lately",
            Uncertainty::Unheard => "not heard of for longer than a restart takes",
            Uncertainty::StartedAnew => "started anew",
            Uncertainty::Unknown => "unknown",
            Uncertainty::WasCold => "cold when last seen",
        },
    })
}

/// The same as lines for people: nested names joined by dots, figures with up to three places.
pub fn text(shown: &Value) -> String {
    let mut out = String::new();
    lines(&mut out, "", shown);
    out
}

fn lines(out: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(map) => {
            // Members of lists go by their names.
            for (name, inner) in map {
                let under = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                lines(out, &under, inner);
            }
        }
        Value::Array(list) => {
            for (i, inner) in list.iter().enumerate() {
                let name = inner.get("name").or_else(|| inner.get("id")).and_then(Value::as_str);
                let name = name.map_or_else(|| i.to_string(), str::to_owned);
                lines(out, &format!("{path}[{name}]"), inner);
            }
        }
        Value::Number(n) => {
            let n = n.as_f64().unwrap_or(f64::NAN);
            let _ = writeln!(out, "{path} = {}", (n * 1000.0).round() / 1000.0);
        }
        Value::Null => {
            let _ = writeln!(out, "{path} = -");
        }
        other => {
            let _ = writeln!(out, "{path} = {}", other.to_string().trim_matches('"'));
        }
    }
}

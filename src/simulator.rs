//! Lines of the simulator's wire, read and written. No decision is taken here.

use crate::interface::*;
use base64::Engine as _;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Why a line cannot be taken.
#[derive(Debug, Error, PartialEq)]
pub enum LineError {
    /// A message that the wire does not know.
    #[error("unknown message {0:?}")]
    Unknown(String),
    /// A field that is needed is not there.
    #[error("{message}: field {field} is missing")]
    Missing {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field that cannot be read.
    #[error("{message}: field {field}={value:?} {why}")]
    Unreadable {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// What it held.
        value: String,
        /// What is wrong with it.
        why: &'static str,
    },
    /// A part without `=`.
    #[error("{message}: part {part:?} is not name=value")]
    NotAPair {
        /// The message.
        message: String,
        /// The part.
        part: String,
    },
}

/// The number of a gateway on the wire, as text.
pub type Front = Arc<str>;

/// One line of input.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// A batch begins.
    Turn {
        /// The clock.
        wall: Milliseconds,
        /// The batch's number.
        turn: u64,
    },
    /// A batch ends.
    YourTurn,
    /// A numbered list follows, of so many entries.
    Page {
        /// Its number.
        bank: u8,
        /// Its length.
        entries: usize,
    },
    /// An entry of the list.
    Entry(Entry),
    /// An instance starts.
    Provision(Front, Box<Settings>),
    /// An instance was killed.
    PowerOff(Front),
    /// The list of engines for an instance.
    Registry(Front, Registry),
    /// Any other event of an instance, its names still to be resolved.
    Event(Front, Fields),
}

/// What a `REGISTRY` line says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registry {
    /// The list numbered so; whole or changes.
    List {
        /// Its number.
        bank: u8,
        /// Whether it is the whole list.
        whole: bool,
    },
    /// A call failed.
    Failed,
}

/// An entry with names as written.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    engine: EngineId,
    locality: String,
    shape: String,
    block: u64,
    availability: Availability,
    came_up: Option<Milliseconds>,
}

/// A message and its fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Fields {
    message: String,
    pairs: BTreeMap<String, String>,
}

impl Fields {
    /// Pairs read from elsewhere than a line: a configuration.
    pub fn new(message: &str, pairs: BTreeMap<String, String>) -> Self {
        Self { message: message.to_owned(), pairs }
    }

    fn parse(line: &str) -> Result<Self, LineError> {
        let mut parts = line.split('\t');
        let message = parts.next().unwrap_or_default().to_owned();
        let mut pairs = BTreeMap::new();
        for part in parts {
            let (name, value) = part
                .split_once('=')
                .ok_or_else(|| LineError::NotAPair { message: message.clone(), part: part.to_owned() })?;
            pairs.insert(name.to_owned(), value.to_owned());
        }
        Ok(Self { message, pairs })
    }

    /// A field whose value cannot be used.
    pub fn bad(&self, field: &str, why: &'static str) -> LineError {
        LineError::Unreadable {
            message: self.message.clone(),
            field: field.to_owned(),
            value: self.pairs.get(field).cloned().unwrap_or_default(),
            why,
        }
    }

    /// A field that must be there.
    ///
    /// # Errors
    /// The field is missing.
    pub fn text(&self, field: &str) -> Result<&str, LineError> {
        self.opt(field)
            .ok_or_else(|| LineError::Missing { message: self.message.clone(), field: field.to_owned() })
    }

    /// A field that may be there.
    pub fn opt(&self, field: &str) -> Option<&str> {
        self.pairs.get(field).map(String::as_str)
    }

    fn get<T: FromStr>(&self, field: &str) -> Result<T, LineError> {
        self.text(field)?.parse().map_err(|_| self.bad(field, "is not a number of that form"))
    }

    fn maybe<T: FromStr>(&self, field: &str) -> Result<Option<T>, LineError> {
        self.opt(field).map(|_| self.get(field)).transpose()
    }

    fn number(&self, field: &str) -> Result<f64, LineError> {
        let value: f64 = self.get(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.bad(field, "is not finite"))
        }
    }

    /// A finite number, or the default where there is none.
    ///
    /// # Errors
    /// The field is no such number.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, LineError> {
        match self.opt(field) {
            Some(_) => self.number(field),
            None => Ok(default),
        }
    }

    fn flag(&self, field: &str) -> Result<bool, LineError> {
        self.opt(field).map_or(Some(false), flag).ok_or_else(|| self.bad(field, "is neither 0 nor 1"))
    }

    fn flags(&self, field: &str) -> Result<Vec<bool>, LineError> {
        let all: Option<Vec<bool>> = self.list(field).into_iter().map(flag).collect();
        all.ok_or_else(|| self.bad(field, "holds what is neither 0 nor 1"))
    }

    fn front(&self) -> Result<Front, LineError> {
        self.text("front_id").map(Arc::from)
    }

    fn engine(&self) -> Result<EngineId, LineError> {
        self.text("engine").map(|e| EngineId(Arc::from(e)))
    }

    /// The parts of a list joined by commas.
    pub fn list(&self, field: &str) -> Vec<&str> {
        self.opt(field).map(|v| v.split(',').filter(|s| !s.is_empty()).collect()).unwrap_or_default()
    }

    fn report(&self) -> Result<Option<LoadReport>, LineError> {
        let Some(text) = self.opt("health_info").filter(|t| !t.is_empty()) else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for pair in text.split(',') {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| self.bad("health_info", "is not name:value pairs"))?;
            let value: f64 =
                value.parse().map_err(|_| self.bad("health_info", "holds a value that is not a number"))?;
            match name {
                "concurrent" => report.inflight = Some(value),
                "depth" => report.queue = Some(value),
                "load_share" => report.util = Some(value),
                "x0" => report.memory = Some(value),
                "x1" => report.disks = Some(value),
                _ => {}
            }
        }
        Ok(Some(report))
    }
}

/// A flag as either side writes it.
fn flag(text: &str) -> Option<bool> {
    match text {
        "0" | "false" => Some(false),
        "1" | "true" => Some(true),
        _ => None,
    }
}

/// Reads one line.
pub fn parse(line: &str) -> Result<Line, LineError> {
    let f = Fields::parse(line)?;
    Ok(match f.message.as_str() {
        "TURN" => Line::Turn { wall: f.number("wall")?, turn: f.get("turn")? },
        "YOUR_TURN" => Line::YourTurn,
        "PAGE" => {
            let bank = f.get("bank")?;
            if bank > 15 {
                return Err(f.bad("bank", "is past 15"));
            }
            Line::Page { bank, entries: f.get("members_list")? }
        }
        "ENTRY" => Line::Entry(Entry {
            engine: f.engine()?,
            locality: f.opt("locality").unwrap_or_default().to_owned(),
            shape: f.opt("shape").unwrap_or_default().to_owned(),
            block: f.maybe("block")?.unwrap_or(0),
            availability: match f.text("availability")? {
                "live" => Availability::Live,
                "quiescing" => Availability::Draining,
                "dead" => Availability::Removed,
                _ => return Err(f.bad("availability", "is no availability")),
            },
            came_up: Some(f.number_or("came_up", 0.0)?).filter(|t| *t > 0.0),
        }),
        "PROVISION" => Line::Provision(f.front()?, Box::new(settings(&f)?)),
        "POWER_OFF" => Line::PowerOff(f.front()?),
        "REGISTRY" => {
            let news = match f.text("kind")? {
                "failed" => Registry::Failed,
                kind @ ("delta" | "full" | "cached") => {
                    Registry::List { bank: f.get("bank")?, whole: kind != "delta" }
                }
                _ => return Err(f.bad("kind", "is no kind of list")),
            };
            Line::Registry(f.front()?, news)
        }
        "INCOMING" | "TICK_DUE" | "PEER" | "SETTLED" | "HEARTBEAT" | "LAPSED" | "HEADERS"
        | "HEALTH_RESULT" => Line::Event(f.front()?, f),
        other => return Err(LineError::Unknown(other.to_owned())),
    })
}

/// An entry in the terms of one instance's settings.
pub fn member(entry: &Entry, settings: &Settings) -> Member {
    Member {
        engine: entry.engine.clone(),
        zone: zone_of(&settings.zones, &entry.locality),
        kind: settings.kinds.iter().position(|k| k.name == entry.shape).map(KindId),
        cell: entry.block,
        availability: entry.availability,
        started: entry.came_up,
    }
}

/// The zone named so, if the settings know it.
pub fn zone_of(zones: &[String], name: &str) -> Option<ZoneId> {
    zones.iter().position(|z| z == name).map(ZoneId)
}

fn outcome(f: &Fields) -> Result<Outcome, LineError> {
    Ok(match f.text("disposition")? {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotExecuted,
        _ => return Err(f.bad("disposition", "is no completion code")),
    })
}

/// An event line in the terms of one instance's settings.
pub fn event(f: &Fields, settings: &Settings) -> Result<Event, LineError> {
    let id = || f.get("ticket").map(RequestId);
    Ok(match f.message.as_str() {
        "INCOMING" => {
            let class = f.text("class")?;
            let class = settings.classes.iter().position(|c| c.name == class);
            let tenant = match f.opt("owner") {
                None | Some("" | "0") => None,
                Some(name) => settings.tenants.iter().position(|t| t.name == name),
            };
            Event::Request(RequestDetails {
                id: id()?,
                class: ClassId(class.ok_or_else(|| f.bad("class", "is not in the settings"))?),
                tenant: tenant.map(TenantId),
                key: f.maybe("table")?.map(OrderKey),
                deadline: f.number("client_deadline")?,
                work: Some(f.number_or("expected", 0.0)?).filter(|w| *w > 0.0),
                memory_mb: Some(f.number_or("footprint_mb", 0.0)?).filter(|m| *m > 0.0),
                data: f.maybe("source_set")?.map(DataSet),
                is_retry: f.flag("again_by_client")?,
            })
        }
        "TICK_DUE" => Event::Timer(f.get("cookie")?),
        "PEER" => {
            let text = f.text("blob")?;
            let bytes = if text == "-" {
                Vec::new()
            } else {
                base64::engine::general_purpose::STANDARD
                    .decode(text)
                    .map_err(|_| f.bad("blob", "is not base64"))?
            };
            Event::Peer(bytes)
        }
        "SETTLED" => Event::Outcome {
            id: id()?,
            attempt: f.get("send_no")?,
            engine: f.engine()?,
            outcome: outcome(f)?,
            took: f.number("duration")?,
            over: f.flag("ended")?,
            work: f.maybe::<u64>("stats")?.filter(|s| *s > 0).map(|s| (s / 4096) as f64),
            report: f.report()?,
        },
        "HEARTBEAT" => {
            let amount = f.number_or("amount", 0.0)?;
            Event::ProgressUpdate {
                id: id()?,
                attempt: f.get("send_no")?,
                update: match f.get::<u64>("topic")? {
                    1 => ProgressUpdate::Progress(amount),
                    2 => ProgressUpdate::Spill(amount),
                    3 if amount == 2.0 => ProgressUpdate::WaitsForLoad,
                    3 => ProgressUpdate::WaitsForMemory,
                    _ => return Err(f.bad("topic", "is not 1, 2 or 3")),
                },
            }
        }
        "LAPSED" => Event::ClientDisconnected(id()?),
        "HEADERS" => Event::Streaming { id: id()? },
        "HEALTH_RESULT" => Event::HealthChecked {
            engine: f.engine()?,
            ok: outcome(f)? == Outcome::Ok,
            took: f.number_or("duration", 0.0)?,
            report: f.report()?,
        },
        other => return Err(LineError::Unknown(other.to_owned())),
    })
}

/// The settings that pairs hold.
///
/// # Errors
/// Names the first one that cannot be read.
pub fn settings(f: &Fields) -> Result<Settings, LineError> {
    let zones: Vec<String> = f.list("zones").iter().map(|z| (*z).to_owned()).collect();
    let names = f.list("skus");
    let numbers = |field: &str| -> Result<Vec<f64>, LineError> {
        f.list(field)
            .iter()
            .map(|v| v.parse().map_err(|_| f.bad(field, "is not a list of numbers")))
            .collect()
    };
    let cores = numbers("specifics.cpu_of_kind")?;
    let memory = numbers("specifics.memory_by_kind_mb")?;
    let threads = numbers("specifics.width_by_class")?;
    let loads = f.flags("specifics.is_load")?;
    let waits = f.flags("specifics.class_waits")?;
    let at = |list: &[f64], i: usize| list.get(i).copied().unwrap_or(0.0);
    let kinds: Vec<Kind> = names
        .iter()
        .enumerate()
        .map(|(i, name)| Kind { name: (*name).to_owned(), cores: at(&cores, i), memory_mb: at(&memory, i) })
        .collect();
    let count: usize = f.maybe("classes.count")?.unwrap_or(0);
    let mut classes = Vec::new();
    for i in 0..count {
        let p = |name: &str| format!("classes.{i}.{name}");
        let scope = match f.opt(&p("dedup_scope")) {
            None | Some("all") => Scope::All,
            Some("zone") => Scope::Zone,
            Some("cell") => Scope::Cell,
            Some(_) => return Err(f.bad(&p("dedup_scope"), "is no scope")),
        };
        let allowed = |name: &str| f.opt(&p(name)).map(|_| f.list(&p(name)).to_vec());
        classes.push(Class {
            name: f.text(&p("name"))?.to_owned(),
            latency_objective: f.number_or(&p("on_time"), 0.0)?,
            latency_objective_stretch: f.number_or(&p("aim_stretch"), 0.0)?,
            client_timeout: f.number_or(&p("give_up"), 0.0)?,
            priority_weight: f.number_or(&p("worth"), 1.0)?,
            late_weight_share: f.number_or(&p("late_worth"), 0.0)?,
            idempotency: match f.text(&p("idempotency"))? {
                "idempotent" => Idempotency::Idempotent,
                "deduplicated" => Idempotency::Keyed { scope, window: f.number_or(&p("window"), 0.0)? },
                "at_most_once" => Idempotency::NotIdempotent,
                _ => return Err(f.bad(&p("idempotency"), "is no idempotency")),
            },
            ordered: f.flag(&p("serial_by_key"))?,
            kinds: allowed("allowed_on").map(|list| {
                let index = |n: &&str| kinds.iter().position(|k| k.name == *n).map(KindId);
                list.iter().filter_map(index).collect()
            }),
            zones: allowed("allowed_in").map(|list| list.iter().filter_map(|n| zone_of(&zones, n)).collect()),
            threads: threads.get(i).copied().unwrap_or(1.0),
            is_load: loads.get(i) == Some(&true),
            waits_for_loads: waits.get(i) == Some(&true),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..f.maybe::<usize>("tenants.count")?.unwrap_or(0) {
        tenants.push(Tenant {
            name: f.text(&format!("tenants.{i}.name"))?.to_owned(),
            quota_per_s: f.number_or(&format!("tenants.{i}.quota_per_s"), 0.0)?,
        });
    }
    let retry_budget = match f.opt("rules.ratio_span") {
        None => None,
        Some(_) => Some(RetryBudgetSettings {
            free: f.number_or("rules.extra_free", 0.0)?,
            per_request: f.number_or("rules.extra_per_request", 0.0)?,
            span: f.number("rules.ratio_span")?,
        })
        .filter(|_| f.opt("rules.extra_free").is_some() || f.opt("rules.extra_per_request").is_some()),
    };
    let advice = f.flag("limits.retry_after")?;
    Ok(Settings {
        seed: f.get("entropy")?,
        gateways: f.maybe("balancers")?.unwrap_or(0),
        gateway_index: f.maybe("rank")?,
        zone: f.opt("locality").and_then(|z| zone_of(&zones, z)),
        classes,
        kinds,
        zones,
        tenants,
        subscribes_to_endpoints: match f.opt("discovery") {
            None | Some("push") => false,
            Some("ask") => true,
            Some(_) => return Err(f.bad("discovery", "is neither push nor ask")),
        },
        may_cancel: f.flag("limits.cancelling")?,
        may_hedge: f.flag("limits.may_duplicate")?,
        may_check_health: f.flag("limits.probes")?,
        health_check_price: f.number_or("charges.probe", 0.0)?,
        max_retry_after: if advice { f.number_or("limits.max_retry_after", 0.0)? } else { 0.0 },
        max_attempts: f.maybe("limits.send_cap")?.unwrap_or(1),
        reporting: match f.opt("reporting.how") {
            Some("answers") => Reporting::Answers,
            Some("probe") => Reporting::Probes,
            None | Some("none") => Reporting::Never,
            Some(_) => return Err(f.bad("reporting.how", "is no way of reporting")),
        },
        answer_grace: f.number_or("rules.answer_slack", 0.0)?,
        max_poll_interval: f.number_or("rules.ask_within", 0.0)?,
        drain_grace: f.number_or("rules.drain_grace", 0.0)?,
        slow_start_from: f.number_or("rules.cold_from", 1.0)?,
        slow_start_duration: f.number_or("rules.warm_within", 0.0)?,
        overload_collapse_multiple: f.number_or("rules.fall_multiple", 1.0)?,
        overload_collapse_after: f.number_or("rules.tip_after", 0.0)?,
        retry_budget,
        ordered_key_pause: f.number_or("rules.order_pause", 0.0)?,
        grants: f.flag("specifics.grants_count")?,
        max_grant_share: f.number_or("specifics.most_grant", 1.0)?,
        priorities: f.flag("specifics.takes_priority")?,
        tick: f.number_or("tick", 1.0)?,
    })
}

/// Writes one action of an instance as a line, with its end of line.
pub fn write(out: &mut String, front: &str, action: &Action) {
    let done = match action {
        Action::Send { id, engine, timeout } => writeln!(
            out,
            "ASSIGN\tfront_id={front}\tticket={}\ttry_for={timeout:.3}\tengine={}",
            id.0, engine.0
        ),
        Action::Reject { id, retry_after, .. } => {
            writeln!(out, "OVERLOAD_REPLY\tfront_id={front}\tticket={}\tretry_in={retry_after:.3}", id.0)
        }
        Action::Fail { id } => writeln!(out, "ABORT\tfront_id={front}\tticket={}", id.0),
        Action::Cancel { id, attempt } => {
            writeln!(out, "RETRACT\tfront_id={front}\tticket={}\tsend_no={attempt}", id.0)
        }
        Action::Terms { id, memory_mb, priority } => writeln!(
            out,
            "RESOURCES\tfront_id={front}\tticket={}\tgrant_mb={memory_mb:.1}\tpriority={priority}",
            id.0
        ),
        Action::Timer { after, token } => {
            writeln!(out, "TIMER\tfront_id={front}\tdelay={after:.3}\tcookie={token}")
        }
        Action::Watch => writeln!(out, "SUBSCRIBE\tfront_id={front}\ton=1"),
        Action::CheckHealth { engine } => {
            writeln!(out, "INSPECT\tfront_id={front}\tengine={}", engine.0)
        }
    };
    debug_assert!(done.is_ok(), "writing to a string cannot fail");
}

/// Writes that an instance's decision code failed.
pub fn write_bail_out(out: &mut String, front: &str, text: &str) {
    let text = text.replace(['\t', '\n', '\r'], " ");
    out.push_str(&format!("BAIL_OUT\tfront_id={front}\tmsg={text}\n"));
}

/// Writes the end of a reply.
pub fn write_yield(out: &mut String, turn: u64) {
    out.push_str(&format!("YIELD\tturn={turn}\n"));
}

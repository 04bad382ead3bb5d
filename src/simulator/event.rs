//! Converts event lines to events of the decision module of a gateway.

use super::fields::{Fields, LineError};
use crate::interface::{
    ClassId, DataSet, Event, OrderKey, Outcome, ProgressUpdate, RequestDetails, RequestId, Settings, TenantId,
};
use base64::Engine as _;

/// Number of the simulator's work units in a millisecond.
const WORK_UNITS_PER_MILLISECOND: u64 = 4096;
/// Text of a `blob` field without bytes.
const EMPTY_BLOB: &str = "-";
/// Value of `amount` in a heartbeat on topic 3 for a query that waits for other load. Any other value means that it waits for memory.
const WAITS_FOR_LOAD: f64 = 2.0;

/// Converts an event line to an event, and resolves the names in it to entries of the gateway's settings.
///
/// # Errors
/// Fails if the message is not an event, or a field is missing or invalid.
pub fn event(fields: &Fields, settings: &Settings) -> Result<Event, LineError> {
    Ok(match fields.message() {
        "INCOMING" => Event::Request(request(fields, settings)?),
        "TICK_DUE" => Event::Timer(fields.get("cookie")?),
        "PEER" => Event::Peer(blob(fields)?),
        "SETTLED" => Event::Outcome {
            id: request_id(fields)?,
            attempt: fields.get("send_no")?,
            engine: fields.engine()?,
            outcome: outcome(fields)?,
            elapsed: fields.number("duration")?,
            request_finished: fields.flag("ended")?,
            work: fields
                .get_opt::<u64>("stats")?
                .filter(|units| *units > 0)
                .map(|units| (units / WORK_UNITS_PER_MILLISECOND) as f64),
            report: fields.load_report()?,
        },
        "HEARTBEAT" => {
            let amount = fields.number_or("amount", 0.0)?;
            Event::ProgressUpdate {
                id: request_id(fields)?,
                attempt: fields.get("send_no")?,
                update: progress_update(fields, amount)?,
            }
        }
        "LAPSED" => Event::ClientDisconnected(request_id(fields)?),
        "HEADERS" => Event::Streaming { id: request_id(fields)? },
        "HEALTH_RESULT" => Event::HealthChecked {
            engine: fields.engine()?,
            ok: outcome(fields)? == Outcome::Ok,
            elapsed: fields.number_or("duration", 0.0)?,
            report: fields.load_report()?,
        },
        other => return Err(LineError::Unknown(other.to_owned())),
    })
}

fn request_id(fields: &Fields) -> Result<RequestId, LineError> {
    fields.get("ticket").map(RequestId)
}

fn request(fields: &Fields, settings: &Settings) -> Result<RequestDetails, LineError> {
    let class_name = fields.text("class")?;
    let class = settings.classes.iter().position(|class| class.name == class_name);
    let tenant = match fields.opt("owner") {
        None | Some("" | "0") => None,
        Some(name) => settings.tenants.iter().position(|tenant| tenant.name == name),
    };
    Ok(RequestDetails {
        id: request_id(fields)?,
        class: ClassId(class.ok_or_else(|| fields.invalid("class", "is not in the settings"))?),
        tenant: tenant.map(TenantId),
        key: fields.get_opt("table")?.map(OrderKey),
        deadline: fields.number("client_deadline")?,
        work: Some(fields.number_or("expected", 0.0)?).filter(|work| *work > 0.0),
        memory_mb: Some(fields.number_or("footprint_mb", 0.0)?).filter(|memory| *memory > 0.0),
        data: fields.get_opt("source_set")?.map(DataSet),
        is_retry: fields.flag("again_by_client")?,
    })
}

fn blob(fields: &Fields) -> Result<Vec<u8>, LineError> {
    let text = fields.text("blob")?;
    if text == EMPTY_BLOB {
        return Ok(Vec::new());
    }
    let decoded = base64::engine::general_purpose::STANDARD.decode(text);
    decoded.map_err(|_| fields.invalid("blob", "is not base64"))
}

fn outcome(fields: &Fields) -> Result<Outcome, LineError> {
    Ok(match fields.text("disposition")? {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotExecuted,
        _ => return Err(fields.invalid("disposition", "is not a completion code")),
    })
}

fn progress_update(fields: &Fields, amount: f64) -> Result<ProgressUpdate, LineError> {
    match fields.get::<u64>("topic")? {
        1 => Ok(ProgressUpdate::Progress(amount)),
        2 => Ok(ProgressUpdate::Spill(amount)),
        3 if amount == WAITS_FOR_LOAD => Ok(ProgressUpdate::WaitsForLoad),
        3 => Ok(ProgressUpdate::WaitsForMemory),
        _ => Err(fields.invalid("topic", "is not 1, 2 or 3")),
    }
}

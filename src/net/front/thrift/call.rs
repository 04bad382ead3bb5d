//! The fields of a call: what they must hold for the call to become a request.

use crate::core::Statement;
use crate::interface::{ClassId, Idempotency, TenantId};
use crate::net::front::{ClientConnection, FrontendState, ReceivedRequest};
use std::collections::BTreeMap;
use thiserror::Error;

/// No time, work or memory is more: weeks in milliseconds, petabytes in megabytes.
const MAX_NUMBER: f64 = 1e10;
/// The one value of `second` that marks a client's retry.
const RETRY_MARK: &str = "1";
/// Longest name or key, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// A client may wait for so many times as long as its class times out.
const MAX_LIMIT_IN_TIMEOUTS: f64 = 10.0;

/// The fields of a call by name.
pub(super) type Fields<'a> = BTreeMap<&'a str, &'a str>;

/// Why a call cannot become a request. The texts are sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum InvalidCall {
    /// A number cannot be read or is out of range: the request would not do what was meant.
    #[error("a figure cannot be used")]
    Number,
    /// The class is missing.
    #[error("verb is missing")]
    ClassMissing,
    /// The settings do not name the class.
    #[error("verb is no class")]
    UnknownClass,
    /// The name of the request is missing.
    #[error("txn is missing")]
    NameMissing,
    /// The name or the idempotency key is missing, too long, or not alphanumeric.
    #[error("txn or unique is missing or cannot be used")]
    NameOrKey,
    /// The time that the client waits is missing.
    #[error("limit is missing")]
    LimitMissing,
    /// The client waits for longer than any request of its class may take.
    #[error("limit is longer than any request of its class may take")]
    LimitTooLong,
}

/// The class that a call names, if the settings have it.
pub(super) fn class_of(fields: &Fields<'_>, frontend: &FrontendState) -> Option<ClassId> {
    let verb = fields.get("verb")?;
    frontend.settings.classes.iter().position(|class| class.name == *verb).map(ClassId)
}

/// The value of a field that is a number; none where the field is missing.
fn number(fields: &Fields<'_>, name: &str) -> Result<Option<f64>, InvalidCall> {
    match fields.get(name).map(|value| value.parse::<f64>()) {
        None => Ok(None),
        Some(Ok(value)) if (0.0..=MAX_NUMBER).contains(&value) => Ok(Some(value)),
        Some(_) => Err(InvalidCall::Number),
    }
}

/// Whether a text can stand in a field of an engine's command without ending that field.
fn is_plain(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

/// Reads the request of a call that is received now.
pub(super) fn read_request(
    fields: &Fields<'_>,
    body: &[u8],
    connection: &ClientConnection,
    frontend: &FrontendState,
) -> Result<ReceivedRequest, InvalidCall> {
    let arrived = frontend.arrival_time(connection);
    let verb = *fields.get("verb").ok_or(InvalidCall::ClassMissing)?;
    let class_id = class_of(fields, frontend).ok_or(InvalidCall::UnknownClass)?;
    let class = &frontend.settings.classes[class_id.0];
    let name = *fields.get("txn").ok_or(InvalidCall::NameMissing)?;
    let is_keyed = matches!(class.idempotency, Idempotency::Keyed { .. });
    let key = fields.get("unique").copied().filter(|_| is_keyed);
    if !is_plain(name) || is_keyed && !key.is_some_and(is_plain) {
        return Err(InvalidCall::NameOrKey);
    }
    let limit = number(fields, "limit")?.ok_or(InvalidCall::LimitMissing)?;
    if limit > MAX_LIMIT_IN_TIMEOUTS * class.client_timeout {
        return Err(InvalidCall::LimitTooLong);
    }
    Ok(ReceivedRequest {
        class: class_id,
        tenant: tenant_of(fields, frontend),
        arrived,
        limit,
        work: number(fields, "cpu")?,
        memory_mb: number(fields, "mem")?,
        // Any other value is ignored: the mark is a hint, and the request is valid without it.
        is_retry: fields.get("second").is_some_and(|mark| *mark == RETRY_MARK),
        statement: Statement {
            name: name.to_owned(),
            class: verb.to_owned(),
            text: body.to_vec(),
            key: key.map(str::to_owned),
            ..Statement::default()
        },
    })
}

/// The tenant that a call names. One that the settings do not name has no quota that it could be held to.
fn tenant_of(fields: &Fields<'_>, frontend: &FrontendState) -> Option<TenantId> {
    let team = fields.get("team")?;
    frontend.settings.tenants.iter().position(|tenant| tenant.name == *team).map(TenantId)
}

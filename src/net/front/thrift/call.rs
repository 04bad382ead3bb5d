//! Validation of the fields of a call, and their conversion to a request.

use crate::core::Statement;
use crate::interface::{ClassId, Idempotency, TenantId};
use crate::net::front::{ClientConnection, FrontendState, ReceivedRequest};
use starlingplank_persistence::sent_requests;
use std::collections::BTreeMap;
use thiserror::Error;

/// Largest valid time, work (ms) or memory (MB): about 16 weeks, or 10 PB.
const MAX_NUMBER: f64 = 1e10;
/// Value of the field `second` that marks a client's retry.
const RETRY_MARK: &str = "1";
/// Maximum length of a request name or an idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum time for which a client may wait, as a multiple of the client timeout of the class.
const MAX_WAIT_IN_CLIENT_TIMEOUTS: f64 = 10.0;

/// Fields of a call, by name.
pub(super) type Fields<'a> = BTreeMap<&'a str, &'a str>;

/// Reason for which a call is rejected as invalid. The texts are sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum InvalidCall {
    /// A number cannot be parsed or is out of range. The call is rejected, as it would not be executed as the client
    /// intended.
    #[error("a figure cannot be used")]
    Number,
    /// The field `verb`, which names the class, is missing.
    #[error("verb is missing")]
    ClassMissing,
    /// The class is not in the settings.
    #[error("verb is no class")]
    UnknownClass,
    /// The field `txn`, which names the request, is missing.
    #[error("txn is missing")]
    NameMissing,
    /// The name or the idempotency key is missing, empty, too long, or not alphanumeric.
    #[error("txn or unique is missing or cannot be used")]
    NameOrKey,
    /// The field `limit`, the time for which the client waits, is missing.
    #[error("limit is missing")]
    LimitMissing,
    /// The client's limit is longer than any request of its class may take.
    #[error("limit is longer than any request of its class may take")]
    LimitTooLong,
}

/// Returns the class that a call names, if it is in the settings.
pub(super) fn class_of(fields: &Fields<'_>, frontend: &FrontendState) -> Option<ClassId> {
    let verb = fields.get("verb")?;
    frontend.settings.classes.iter().position(|class| class.name == *verb).map(ClassId)
}

/// Parses a field as a number; `None` if the field is missing.
fn number(fields: &Fields<'_>, name: &str) -> Result<Option<f64>, InvalidCall> {
    match fields.get(name).map(|value| value.parse::<f64>()) {
        None => Ok(None),
        Some(Ok(value)) if (0.0..=MAX_NUMBER).contains(&value) => Ok(Some(value)),
        Some(_) => Err(InvalidCall::Number),
    }
}

/// Returns whether a text can be used as a name or key in an engine's command, in which punctuation separates the fields.
fn is_valid_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

/// Validates the fields of a call that was just received, and builds its request.
pub(super) fn read_request(
    fields: &Fields<'_>,
    body: &[u8],
    connection: &ClientConnection,
    frontend: &FrontendState,
) -> Result<ReceivedRequest, InvalidCall> {
    let arrived_at = frontend.arrival_time(connection);
    let verb = *fields.get("verb").ok_or(InvalidCall::ClassMissing)?;
    let class_id = class_of(fields, frontend).ok_or(InvalidCall::UnknownClass)?;
    let class = &frontend.settings.classes[class_id.0];
    let name = *fields.get("txn").ok_or(InvalidCall::NameMissing)?;
    let is_keyed = matches!(class.idempotency, Idempotency::Keyed { .. });
    let key = fields.get("unique").copied().filter(|_| is_keyed);
    if !is_valid_name(name) || is_keyed && !key.is_some_and(is_valid_name) {
        return Err(InvalidCall::NameOrKey);
    }
    let max_wait = number(fields, "limit")?.ok_or(InvalidCall::LimitMissing)?;
    if max_wait > MAX_WAIT_IN_CLIENT_TIMEOUTS * class.client_timeout {
        return Err(InvalidCall::LimitTooLong);
    }
    Ok(ReceivedRequest {
        name: name.to_owned(),
        class: class_id,
        tenant: tenant_of(fields, frontend),
        arrived_at,
        max_wait,
        work: number(fields, "cpu")?,
        memory_mb: number(fields, "mem")?,
        // Any other value is ignored: the mark is a hint, and the request is valid without it.
        is_retry: fields.get("second").is_some_and(|mark| *mark == RETRY_MARK),
        statement: Statement {
            name: name.to_owned(),
            class: verb.to_owned(),
            text: body.to_vec(),
            key: key.map(str::to_owned),
            identity: (class.idempotency == Idempotency::NotIdempotent)
                .then(|| sent_requests::identity(&[name.as_bytes()])),
            reading: Some(connection.progress.clone()),
            ..Statement::default()
        },
    })
}

/// Returns the tenant that a call names. A tenant that is not in the settings has no quota, and is ignored.
fn tenant_of(fields: &Fields<'_>, frontend: &FrontendState) -> Option<TenantId> {
    let team = fields.get("team")?;
    frontend.settings.tenants.iter().position(|tenant| tenant.name == *team).map(TenantId)
}

//! Writes lines of the simulator's wire.

use crate::interface::Action;
use std::fmt::Write as _;

/// Appends an action of a gateway to `out` as one line.
pub fn write_action(out: &mut String, gateway: &str, action: &Action) {
    let written = match action {
        Action::Send { id, engine, timeout } => writeln!(
            out,
            "ASSIGN\tfront_id={gateway}\tticket={}\ttry_for={timeout:.3}\tengine={}",
            id.0, engine.0
        ),
        Action::Reject { id, retry_after, .. } => {
            writeln!(out, "OVERLOAD_REPLY\tfront_id={gateway}\tticket={}\tretry_in={retry_after:.3}", id.0)
        }
        Action::Fail { id } => writeln!(out, "ABORT\tfront_id={gateway}\tticket={}", id.0),
        Action::Cancel { id, attempt } => {
            writeln!(out, "RETRACT\tfront_id={gateway}\tticket={}\tsend_no={attempt}", id.0)
        }
        Action::SetTerms { id, memory_mb, priority } => writeln!(
            out,
            "RESOURCES\tfront_id={gateway}\tticket={}\tgrant_mb={memory_mb:.1}\tpriority={priority}",
            id.0
        ),
        Action::Timer { after, token } => {
            writeln!(out, "TIMER\tfront_id={gateway}\tdelay={after:.3}\tcookie={token}")
        }
        Action::SubscribeToEndpoints => writeln!(out, "SUBSCRIBE\tfront_id={gateway}\ton=1"),
        Action::CheckHealth { engine } => {
            writeln!(out, "INSPECT\tfront_id={gateway}\tengine={}", engine.0)
        }
    };
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}

/// Appends a `BAIL_OUT` line, which reports that the decision module of a gateway failed.
pub fn write_bail_out(out: &mut String, gateway: &str, reason: &str) {
    let reason = reason.replace(['\t', '\n', '\r'], " ");
    out.push_str(&format!("BAIL_OUT\tfront_id={gateway}\tmsg={reason}\n"));
}

/// Appends the `YIELD` line that ends the reply to a turn.
pub fn write_yield(out: &mut String, turn: u64) {
    out.push_str(&format!("YIELD\tturn={turn}\n"));
}

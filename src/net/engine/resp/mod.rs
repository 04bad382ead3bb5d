//! The wire of the platform's engines: RESP arrays of bulk strings.
//!
//! `reply` reads what an engine sends in place, `progress` the progress updates in it; `command` writes what it is sent.

mod command;
mod progress;
mod reply;

pub use command::{attempt_command, command};
pub use progress::InvalidProgressUpdate;
pub use reply::{parse_load_report, read, Read, Reply};

//! Protocol of the platform's engines: RESP arrays of bulk strings.
//!
//! `reply` parses replies in place, `progress` parses the progress updates in replies, and `command` encodes commands.

mod command;
mod progress;
mod reply;

pub use command::{attempt_command, command};
pub use progress::InvalidProgressUpdate;
pub use reply::{parse_load_report, read, Read, Reply};

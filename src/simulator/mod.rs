//! The simulator's wire: lines of a message name and `name=value` fields, separated by tabs. No decision is taken here.
//!
//! [`parse`] reads a line; [`event`] and [`member`] turn what it names into the terms of one gateway's settings, which
//! [`settings`] reads. [`write_action`] and its companions write replies. [`Fields`] is also how configuration files are
//! read.

mod encode;
mod event;
mod fields;
mod line;
mod settings;

pub use encode::{write_action, write_bail_out, write_yield};
pub use event::event;
pub use fields::{Fields, LineError};
pub use line::{member, parse, Entry, GatewayId, Line, Registry};
pub use settings::{settings, zone_of};

//! Encoding and decoding of the simulator's wire format. Each line consists of a message name and `name=value` fields, separated by
//! tabs. This module takes no decisions.
//!
//! [`parse`] parses a line, and [`settings`] reads the settings of a gateway. [`event`] and [`member`] resolve the names in a line to
//! entries of these settings. [`write_action`], [`write_bail_out`] and [`write_yield`] write replies. The settings of configuration
//! files are read through [`Fields`] as well.

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

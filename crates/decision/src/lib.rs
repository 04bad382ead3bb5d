//! The decision module. What happened goes in as [`Event`](interface::Event)s, what is to be done comes out as
//! [`Action`](interface::Action)s: which engine takes a request, whether it is tried again, what is refused.
//!
//! It does no I/O, reads no clock and knows no wire; time is handed in with each turn. The rules that every
//! send keeps are in one gate, every final answer leaves through one function (see [`decide`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod aperture;
mod areas;
mod checkpoint;
pub mod decide;
pub mod interface;
pub mod learned;
pub mod permission;
pub mod retry_budget;
pub mod settings;
pub mod start_times;
mod state;
pub mod types;

//! The lab: beds of many processes of the real program between stand-ins, plays by script and seed, checkers over what
//! was seen, and experiments. In come a seed, a scenario and a program; out come figures, charts, and rules that were
//! broken. It is needed by nothing but its own tests.
#![forbid(unsafe_code)]

pub mod bed;
mod cold;
pub mod experiments;
pub mod fleet;
pub mod ledger;
pub mod report;
pub mod scenario;
pub mod soak;
mod turns;

//! Experiments with the real program between test doubles, many processes at once, and checks of what the doubles received.
//!
//! The input: a seed, a scenario and a program. The output: figures, charts, and violations of the rules. Only the tests of this
//! package use it.
#![forbid(unsafe_code)]

pub mod experiments;
pub mod fleet;
pub mod harness;
pub mod ledger;
pub mod report;
pub mod scenario;
pub mod soak;

//! Experiments that run many processes of the real gateway program between test doubles, and check what the doubles received.
//!
//! The input is a seed, a scenario and the path of a program. The output is metrics, charts, and violations of the rules. Only the
//! program `starlingplank-experiments` and the tests of this package use this library.
#![forbid(unsafe_code)]

pub mod experiments;
pub mod fleet;
pub mod harness;
pub mod ledger;
pub mod report;
pub mod scenario;
pub mod soak;

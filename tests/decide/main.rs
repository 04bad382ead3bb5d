//! Unit tests of the decision module, one file for each decision and each protection against faults.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod concurrency_limit;
mod data_set_areas;
mod endpoints;
mod engine_selection;
mod execution_terms;
mod harness;
mod health_checks;
mod load_reports;
mod outlier_ejection;
mod process_pauses;
mod queueing;
mod retries_and_hedging;
mod settings;
mod slow_start;

//! The decision module. Events go in ([`Event`](interface::Event)), actions come out ([`Action`](interface::Action)):
//! which engine a request is sent to, whether it is retried, hedged or rejected, which engine is ejected.
//!
//! The module does no I/O, reads no clock and knows no wire format; time is passed in with each cycle. [`decide`] holds
//! the decision cycle and the order of its steps. Below it stands one module for each decision:
//!
//! | question | module |
//! | --- | --- |
//! | which engine is chosen | `engine_selection`, with `data_set_areas` and `aperture` |
//! | may an attempt be sent | `dispatch`, with [`permission`] and [`retry_budget`] |
//! | how long may a request wait, and in which order | `queueing`, `tenant_quotas` |
//! | when is a request rejected | `admission` |
//! | how much load may an engine have | `concurrency_limit`, by the `latency_model` |
//! | when is an engine ejected | `outlier_ejection` |
//! | how fast is a new engine warmed up | `slow_start` |
//! | when is a request retried or hedged | `retries_and_hedging`, `running_attempts` |
//! | when is an engine's health checked | `health_checks` |
//! | how loaded is an engine, and the fleet | `load_reports`, `fleet_load` |
//! | which priority and memory does a request get | `execution_terms` |
//!
//! What happens is learned in `arrivals`, `outcomes`, `endpoints` and `process_pauses`; `checkpoint` hands out and
//! restores what was learned ([`learned`]). `balancer` and `state` hold the state, [`settings`] and [`types`] lie below
//! all else.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod admission;
mod aperture;
mod arrivals;
mod balancer;
mod checkpoint;
mod concurrency_limit;
mod data_set_areas;
pub mod decide;
mod dispatch;
mod endpoints;
mod engine_selection;
mod execution_terms;
mod fleet_load;
mod health_checks;
pub mod interface;
mod latency_model;
pub mod learned;
mod load_levels;
mod load_reports;
mod outcomes;
mod outlier_ejection;
pub mod permission;
mod process_pauses;
mod queueing;
mod retries_and_hedging;
pub mod retry_budget;
mod running_attempts;
pub mod settings;
mod slow_start;
pub mod start_times;
mod state;
mod tenant_quotas;
pub mod types;

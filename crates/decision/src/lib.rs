//! The decision module of the gateway. It receives events ([`Event`](interface::Event)) and returns actions
//! ([`Action`](interface::Action)): which engine a request is sent to, whether it is retried, hedged or rejected, and
//! which engine is ejected.
//!
//! The module does no I/O, reads no clock and knows no wire format; each cycle receives the current time as an
//! argument. [`decide`] contains the decision cycle and the order of its steps. Each decision has a module of its
//! own:
//!
//! | question | module |
//! | --- | --- |
//! | which engine is chosen | `engine_selection`, with `data_set_areas` and `aperture` |
//! | may an attempt be sent | `dispatch`, with [`permission`] and [`retry_budget`] |
//! | how long may a request wait, and in which order | `queueing`, `tenant_quotas` |
//! | when is a request rejected | `admission` |
//! | how much load may an engine have | `concurrency_limit`, using the `latency_model` |
//! | when is an engine ejected | `outlier_ejection` |
//! | how much work may a newly started engine receive | `slow_start` |
//! | when is a request retried or hedged | `retries_and_hedging`, `running_attempts` |
//! | when is an engine's health checked | `health_checks` |
//! | how loaded are an engine and the fleet | `load_reports`, `fleet_load` |
//! | which priority and memory grant does a request receive | `execution_terms` |
//!
//! `arrivals`, `outcomes`, `endpoints` and `process_pauses` process events; `checkpoint` exports and restores learned
//! state ([`learned`]). `balancer` and `state` define the state, and [`settings`] and [`types`] the types that all
//! other modules use.
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

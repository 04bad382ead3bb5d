//! Service discovery: polls the name service for the endpoint list, and passes the list to the reducer.
//!
//! The crate `starlingplank_service_discovery` decides when to poll and classifies responses. In this module, [`message`]
//! encodes and parses the messages, [`sockets`] owns the descriptors, and [`poller`] runs the polling loop.

pub mod message;
pub mod poller;
pub mod sockets;

use crate::core::Endpoint;
use crate::interface::{Milliseconds, Settings};
use crate::limits::Limits;
use message::KnownAddresses;
pub use poller::Poller;
use starlingplank_pacing::poll_schedule::PollConfig;
use starlingplank_service_discovery::discovery::{Discovery, DiscoveryConfig};
use std::net::SocketAddr;

/// The configured address of the name service.
#[derive(Debug, Clone, Copy)]
pub struct NameServiceAddress {
    /// The address; `None` without a name service.
    pub address: Option<SocketAddr>,
    /// Earliest time at which the configuration may have changed: SIGHUP may have arrived during a pause of the process.
    pub changed_at: Milliseconds,
}

/// Returns the initial state of service discovery for a process that starts with version `known_version` of the list. Without
/// an `address` there is no name service.
pub fn initialize(
    settings: &Settings,
    limits: &Limits,
    known_version: u64,
    address: Option<SocketAddr>,
    now: Milliseconds,
) -> Discovery {
    let schedule = PollConfig {
        gateways: settings.gateways,
        gateway_index: settings.gateway_index,
        max_interval: limits.slowest_poll_interval,
    };
    let config = DiscoveryConfig {
        schedule,
        seed: settings.seed,
        known_version,
        drain_grace: settings.drain_grace,
        max_flows: limits.max_discovery_flows,
        address,
    };
    Discovery::new(&config, now)
}

/// Returns the addresses of the engines in a list, by engine id.
pub fn addresses_of(endpoints: &[Endpoint]) -> KnownAddresses {
    let addresses = endpoints.iter().map(|endpoint| (endpoint.member.engine.0.to_string(), endpoint.address));
    addresses.collect()
}

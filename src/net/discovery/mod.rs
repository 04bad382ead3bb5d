//! Service discovery: polls the name service for the list of engines, and passes it to the reducer.
//!
//! When to poll and how a response counts is decided in `starlingplank_service_discovery`. Here, [`message`] has the format of
//! the messages, [`sockets`] owns the descriptors, and [`poller`] is the loop.

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

/// The address of the name service in the configuration.
#[derive(Debug, Clone, Copy)]
pub struct NameServiceAddress {
    /// None where there is no name service.
    pub address: Option<SocketAddr>,
    /// When the process was told of it, at the earliest: SIGHUP may have arrived in a pause of the process.
    pub changed_at: Milliseconds,
}

/// The state of service discovery at the start of a process that knows that version of the list. Without an address there is
/// no name service.
pub fn begin(
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

/// The addresses of the engines of a list.
pub fn addresses_of(endpoints: &[Endpoint]) -> KnownAddresses {
    let addresses = endpoints.iter().map(|endpoint| (endpoint.member.engine.0.to_string(), endpoint.address));
    addresses.collect()
}

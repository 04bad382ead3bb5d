//! The cached endpoint list: conversion from and to the reducer's endpoints, and its loading at the start.

use crate::config::{to_member, PersistenceSettings};
use crate::core::Endpoint;
use crate::interface::{Availability, Milliseconds, Settings};
use starlingplank_persistence::cached_endpoints::{self, CachedEndpoint, CachedEndpoints};
use starlingplank_persistence::disk::Disk;
use starlingplank_persistence::writers::EndpointCacheHealth;
use tracing::{info, warn};

/// Returns the endpoints of a cached list. An endpoint whose address cannot be parsed is omitted.
pub fn endpoints_from_cache(cached: &CachedEndpoints, settings: &Settings) -> Vec<Endpoint> {
    let endpoint = |cached: &CachedEndpoint| {
        let availability = if cached.live { Availability::Live } else { Availability::Draining };
        let CachedEndpoint { id, zone, machine_type, .. } = cached;
        let member = to_member(settings, id, zone, machine_type, cached.cell, availability, cached.started);
        Some(Endpoint { member, address: cached.address.parse().ok()? })
    };
    cached.endpoints.iter().filter_map(endpoint).collect()
}

/// Converts an endpoint to the form in which it is cached.
pub(super) fn cached_endpoint(endpoint: &Endpoint, settings: &Settings) -> CachedEndpoint {
    let member = &endpoint.member;
    let zone = member.zone.and_then(|zone| settings.zones.get(zone.0));
    let machine_type = member.machine_type.and_then(|kind| settings.machine_types.get(kind.0));
    CachedEndpoint {
        id: member.engine.0.to_string(),
        address: endpoint.address.to_string(),
        zone: zone.cloned().unwrap_or_default(),
        machine_type: machine_type.map(|machine_type| machine_type.name.clone()).unwrap_or_default(),
        cell: member.cell,
        live: member.availability == Availability::Live,
        started: member.started.unwrap_or(0.0),
    }
}

/// Loads the list that the previous process cached, as far as it is still valid now. An invalid file is logged and ignored.
pub(super) fn load(
    disk: &dyn Disk,
    settings: &PersistenceSettings,
    now: Milliseconds,
) -> Option<CachedEndpoints> {
    match cached_endpoints::load(disk) {
        Ok(cached) => cached?.as_of(now, settings.min_restart_time, settings.max_snapshot_age),
        Err(reason) => {
            let (folder, file) = (settings.folder.display(), cached_endpoints::FILE);
            warn!(%folder, file, %reason, "stored file is invalid and is ignored");
            None
        }
    }
}

/// Logs that writing the list has begun to fail or succeeds again.
pub(super) fn log_health(health: EndpointCacheHealth) {
    match health {
        EndpointCacheHealth::Failing(reason) => warn!(reason, "endpoint list cannot be cached"),
        EndpointCacheHealth::Recovered => info!("endpoint list is cached again"),
    }
}

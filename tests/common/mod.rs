//! Settings and events for tests of the decision library.
#![allow(dead_code)]

use starlingplank::interface::*;

pub(crate) fn class(
    name: &str,
    latency_objective: Milliseconds,
    client_timeout: Milliseconds,
    threads: f64,
) -> Class {
    Class {
        name: name.into(),
        latency_objective,
        latency_objective_stretch: 2.0,
        client_timeout,
        priority_weight: 1.0,
        late_weight_share: 0.1,
        idempotency: Idempotency::Idempotent,
        ordered: false,
        machine_types: None,
        zones: None,
        threads,
        is_load: false,
        waits_for_loads: false,
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        seed: 11,
        gateways: 2,
        gateway_index: None,
        zone: Some(ZoneId(0)),
        classes: vec![class("short", 500.0, 3_000.0, 1.0), class("long", 3_000.0, 20_000.0, 4.0)],
        machine_types: vec![
            MachineType { name: "k0".into(), cores: 8.0, memory_mb: 16_384.0 },
            MachineType { name: "k1".into(), cores: 4.0, memory_mb: 8_192.0 },
        ],
        zones: vec!["z0".into(), "z1".into()],
        tenants: vec![],
        subscribes_to_endpoints: false,
        may_cancel: false,
        may_hedge: false,
        may_check_health: false,
        health_check_cost: 0.0,
        max_retry_after: 1_000.0,
        max_attempts: 3,
        answer_grace: 20.0,
        max_poll_interval: 10_000.0,
        drain_grace: 1_000.0,
        slow_start_initial_share: 0.3,
        slow_start_duration: 15_000.0,
        overload_collapse_multiple: 3.0,
        overload_collapse_after: 2_000.0,
        retry_budget: None,
        ordered_key_pause: 500.0,
        supports_memory_grants: false,
        max_grant_share: 1.0,
        supports_priorities: false,
        min_decision_interval: 5.0,
    }
}

pub(crate) fn engine(n: usize) -> EngineId {
    EngineId(format!("10.0.0.{n}:5000").into())
}

pub(crate) fn member(n: usize) -> Member {
    Member {
        engine: engine(n),
        zone: Some(ZoneId(n % 2)),
        machine_type: Some(MachineTypeId(n / 2 % 2)),
        cell: (n / 2) as u64,
        availability: Availability::Live,
        started: None,
    }
}

pub(crate) fn fleet(n: usize) -> Event {
    Event::EndpointListReceived { complete: true, members: (0..n).map(member).collect() }
}

pub(crate) fn incoming(id: u64, class: usize, deadline: Milliseconds) -> RequestDetails {
    RequestDetails {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        key: None,
        deadline,
        work: None,
        memory_mb: None,
        data: None,
        is_retry: false,
    }
}

pub(crate) fn outcome(
    id: u64,
    attempt: u32,
    engine: &EngineId,
    outcome: Outcome,
    elapsed: Milliseconds,
) -> Event {
    Event::Outcome {
        id: RequestId(id),
        attempt,
        engine: engine.clone(),
        outcome,
        elapsed,
        request_finished: outcome == Outcome::Ok,
        work: None,
        report: None,
    }
}

pub(crate) fn sends(actions: &[Action]) -> Vec<(u64, EngineId)> {
    let send = |a: &Action| match a {
        Action::Send { id, engine, .. } => Some((id.0, engine.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

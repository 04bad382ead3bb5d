//! Setup of a run: starts the engines and the name service, and creates the gateways without starting their processes.

use super::gateway::{Gateway, Listening};
use super::plan::{engine_up_at, EngineCounts};
use super::run::{EngineStart, FleetOptions, FleetRun};
use crate::harness::clients::ConnectionPool;
use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::workload::{mean_work, CLASSES};
use crate::harness::Failure;
use crate::scenario::Scenario;
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::engine::{Engine, ListenerMode};
use starlingplank_test_doubles::name_service::{EndpointEntry, ListVersion, NameService, ServiceScript};
use starlingplank_test_doubles::relay::Relay;
use std::cell::RefCell;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// Version of the endpoint list at the start of the run.
const FIRST_VERSION: u32 = 2;
/// Number of gateways for each engine, and minimum number of engines, if a scenario does not set the number of engines.
const GATEWAYS_PER_ENGINE: usize = 12;
const MIN_ENGINES: usize = 2;
/// Number of polls that a gateway sends in a second at the steady interval. The capacity of the name service is set as a share of the
/// polls of all gateways.
const POLLS_PER_SECOND: f64 = 5.0;
/// Capacity of a name service that answers all polls, in polls per second.
const UNLIMITED_CAPACITY: f64 = 1e6;

/// Returns the current time in milliseconds since the Unix epoch.
pub(super) fn unix_milliseconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1000.0)
}

/// Returns the settings of the name service double for a scenario.
pub(super) fn service_script(scenario: &Scenario, gateways: usize) -> ServiceScript {
    let service = &scenario.name_service;
    let capacity = if service.capacity > 0.0 {
        service.capacity * POLLS_PER_SECOND * gateways as f64
    } else {
        UNLIMITED_CAPACITY
    };
    ServiceScript {
        up_from: service.up_from,
        silent_from: service.silent_from,
        silent_to: service.silent_to,
        capacity,
        max_queueing: service.max_queueing,
        collapses: service.collapses,
        stale_until: service.stale_until,
    }
}

/// Sets up a run. The clock of the run starts when this returns.
pub(super) async fn set_up<'a>(
    options: &'a FleetOptions<'a>,
    scenario: &'a Scenario,
    listening: UnboundedSender<Listening>,
) -> Result<FleetRun<'a>, Failure> {
    let engines = start_engines(options, scenario)?;
    let engine_paths = start_engine_paths(&engines.all, scenario).await?;
    let addresses = engine_addresses(&engines.all, &engine_paths);
    let endpoint_list = endpoint_entries(&addresses, scenario);
    set_engine_states(&engines.all, scenario);
    let first = ListVersion { served_from: 0.0, serial: FIRST_VERSION, engines: endpoint_list.clone() };
    let name_service = NameService::start(service_script(scenario, options.gateways), vec![first])?;
    let mut file = operator_file(&engines, options.seed, None);
    for (engine, address) in engines.all.iter().zip(&addresses) {
        file = file.replace(&format!("\"{}\"", engine.address), &format!("\"{address}\""));
    }
    let gateways = set_up_gateways(options, scenario, &file, name_service.address).await?;
    let engine_starts = vec![EngineStart { version: FIRST_VERSION, at: 0.0 }; engines.all.len()];
    let started_at = Instant::now();
    Ok(FleetRun {
        options,
        scenario,
        name_service_clock_at_start: name_service.started_at.elapsed().as_secs_f64(),
        engine_clock_at_start: engines.fleet.now(),
        engines,
        engine_paths,
        endpoint_list,
        name_service,
        gateways: Rc::new(RefCell::new(gateways)),
        listening,
        started_at,
        version: FIRST_VERSION,
        drain_version: None,
        engine_starts,
        max_start_delay: 0.0,
    })
}

fn start_engines(options: &FleetOptions<'_>, scenario: &Scenario) -> Result<Engines, Failure> {
    let count = match scenario.engines.count {
        0 => (options.gateways / GATEWAYS_PER_ENGINE).max(MIN_ENGINES),
        count => count,
    };
    let spec = EngineSpec {
        cores: scenario.engines.cores,
        independent_gateway_allowance_work: mean_work(&CLASSES),
        ..EngineSpec::default()
    };
    Engines::start(vec![spec; count], options.seed)
}

/// Starts a relay to each engine, if the scenario has faults on these paths.
async fn start_engine_paths(engines: &[Engine], scenario: &Scenario) -> Result<Vec<Relay>, Failure> {
    let mut paths = Vec::new();
    if scenario.faults.values().any(|fault| fault.kind.affects_engine_paths()) {
        for engine in engines {
            paths.push(Relay::tcp(engine.address).await?);
        }
    }
    Ok(paths)
}

/// Returns the addresses at which gateways connect to the engines: those of the relays, if there are any.
fn engine_addresses(engines: &[Engine], paths: &[Relay]) -> Vec<SocketAddr> {
    if paths.is_empty() {
        return engines.iter().map(|engine| engine.address).collect();
    }
    paths.iter().map(|path| path.address).collect()
}

fn endpoint_entries(addresses: &[SocketAddr], scenario: &Scenario) -> Vec<EndpointEntry> {
    let cold = EngineCounts::new(addresses.len(), scenario).cold;
    let entries = addresses.iter().enumerate().map(|(number, address)| EndpointEntry {
        id: format!("s-{number}"),
        address: *address,
        is_draining: false,
        started: if number < cold { unix_milliseconds().floor() } else { 0.0 },
    });
    entries.collect()
}

fn set_engine_states(engines: &[Engine], scenario: &Scenario) {
    let counts = EngineCounts::new(engines.len(), scenario);
    for (number, engine) in engines.iter().enumerate() {
        if number < counts.cold {
            engine.restart();
        }
        if engine_up_at(number, scenario) > 0.0 || number < counts.refusing {
            engine.set_listener_mode(ListenerMode::Refusing);
        } else if number < counts.faulty {
            engine.set_listener_mode(ListenerMode::Unresponsive);
        }
    }
}

async fn set_up_gateways(
    options: &FleetOptions<'_>,
    scenario: &Scenario,
    common_file: &str,
    name_service: SocketAddr,
) -> Result<Vec<Gateway>, Failure> {
    let configured_size = ((options.gateways as f64 * scenario.configured_size).round() as usize).max(1);
    let mut gateways = Vec::new();
    for number in 0..options.gateways {
        let path = Relay::udp(name_service, options.seed ^ (number as u64) << 20).await?;
        let text = gateway_file(common_file, scenario, number, configured_size, path.address);
        let file = options.folder.join(format!("gateway-{number}.hcl"));
        std::fs::write(&file, text)?;
        gateways.push(Gateway::new(file, path, ConnectionPool::new(options.seed ^ number as u64)));
    }
    Ok(gateways)
}

/// Returns the operator's file of one gateway, derived from the file that all gateways have in common.
fn gateway_file(
    common_file: &str,
    scenario: &Scenario,
    number: usize,
    configured_size: usize,
    name_service: SocketAddr,
) -> String {
    let mut gateway_lines = format!("names = \"{name_service}\"\ngateways = {configured_size}\n");
    if scenario.has_indices && number < configured_size {
        let _ = writeln!(gateway_lines, "rank = {number}");
    }
    let mut file = common_file.replacen("gateways = 1\n", &gateway_lines, 1);
    file = file.replacen("seed = \"", &format!("seed = \"{number:x}"), 1);
    if !scenario.knows_engines {
        let (from, to) = (file.find("engine \"").unwrap_or(0), file.find("class \"").unwrap_or(0));
        file.replace_range(from..to, "");
    }
    file
}

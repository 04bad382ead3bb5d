//! A fleet of engine doubles, run on a dedicated thread.

use super::Failure;
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::engine::{Engine, EngineProtocol, Fleet};
use std::sync::mpsc::{channel, Sender};

/// Time within which engines discard requests that repeat an idempotency key, in milliseconds.
const DEDUPLICATION_WINDOW: f64 = 12_000.0;

/// Engines of one fleet. They run until the process of the experiment ends.
pub struct Engines {
    /// Clock and records that the engines share.
    pub fleet: Fleet,
    /// Engines in the order of their specifications.
    pub all: Vec<Engine>,
}

impl Engines {
    /// Starts engines that accept the platform's commands, over the RESP wire protocol.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(specs: Vec<EngineSpec>, seed: u64) -> Result<Self, Failure> {
        Self::start_with_protocol(EngineProtocol::Resp, specs, seed)
    }

    /// Starts engines that speak the given wire protocol.
    ///
    /// # Errors
    /// No port is available.
    pub fn start_with_protocol(
        protocol: EngineProtocol,
        specs: Vec<EngineSpec>,
        seed: u64,
    ) -> Result<Self, Failure> {
        let fleet = Fleet::new(DEDUPLICATION_WINDOW);
        let (started, start_results) = channel();
        let shared = fleet.clone();
        std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            let run = run_engines(protocol, specs, shared, seed, started);
            tokio::task::LocalSet::new().block_on(&runtime, run);
        });
        Ok(Self { fleet, all: start_results.recv()?? })
    }
}

async fn run_engines(
    protocol: EngineProtocol,
    specs: Vec<EngineSpec>,
    fleet: Fleet,
    seed: u64,
    started: Sender<std::io::Result<Vec<Engine>>>,
) {
    let mut engines = Vec::new();
    for (number, spec) in specs.into_iter().enumerate() {
        match Engine::start(protocol, spec, fleet.clone(), seed ^ number as u64).await {
            Ok(engine) => engines.push(engine),
            Err(error) => return drop(started.send(Err(error))),
        }
    }
    let _ = started.send(Ok(engines));
    std::future::pending::<()>().await;
}

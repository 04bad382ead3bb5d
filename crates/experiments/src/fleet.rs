//! Runs of many gateways: processes of the real program between test doubles on loopback, with faults scheduled by a scenario. The
//! result is computed from what the test doubles and the clients recorded, never from what gateways log.

mod clients;
mod evaluation;
mod gateway;
mod plan;
mod run;
mod setup;
mod steps;

use crate::harness::Failure;
use crate::scenario::Scenario;
use clients::AttemptRecord;
use gateway::Listening;
use run::Gateways;
pub use run::{FleetOptions, FleetResult, TimeSeries};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::{sleep_until, timeout};

/// Maximum time after a run for which in-flight requests of clients may wait for their answers.
const DRAIN_TIME: Duration = Duration::from_secs(25);

/// Directs the clients of each gateway to the address of its process once it listens, unless the gateway has been restarted since.
async fn open_connections(gateways: Gateways, mut listening: UnboundedReceiver<Listening>) {
    while let Some(Listening { gateway, incarnation, address }) = listening.recv().await {
        gateways.borrow()[gateway].connect_clients(incarnation, address);
    }
}

/// Runs a scenario with the real program.
///
/// # Errors
/// A process cannot be started or signalled, a port is not available, or a file cannot be written.
pub async fn run_scenario(options: &FleetOptions<'_>, scenario: &Scenario) -> Result<FleetResult, Failure> {
    let (listening, events) = unbounded_channel();
    let mut run = setup::set_up(options, scenario, listening).await?;
    let connections = tokio::task::spawn_local(open_connections(run.gateways.clone(), events));
    let records: Rc<RefCell<Vec<AttemptRecord>>> = Rc::default();
    let mut clients = clients::start(&run, &records);
    for planned in plan::plan(options.gateways, run.engines.all.len(), scenario) {
        sleep_until(run.instant(planned.at)).await;
        run.perform(&planned)?;
    }
    sleep_until(run.instant(scenario.seconds)).await;
    let queries = run.name_service.queries();
    let _ = timeout(DRAIN_TIME, async { while clients.join_next().await.is_some() {} }).await;
    connections.abort();
    let records = records.borrow();
    Ok(evaluation::evaluate(&run, queries, &records))
}

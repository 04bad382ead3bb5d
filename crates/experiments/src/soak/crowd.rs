//! Run-long flood: idle connections that exhaust the file descriptors of a gateway for the whole run.

use super::context::RunContext;
use super::ledger::ConnectionFlood;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Number of idle connections to each gateway: more than a process accepts.
const CONNECTIONS: usize = 170;
/// Interval at which connections that the gateway closed are opened again.
const REFILL_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps a gateway's file descriptors exhausted until the run is over, and records the flood.
pub(super) async fn hold_run_long_flood(context: Rc<RunContext>, gateway: usize) {
    let from = context.now();
    let mut connections = Vec::new();
    while !context.is_over.get() {
        connections.retain(is_open);
        for _ in connections.len()..CONNECTIONS {
            connections.extend(TcpStream::connect(context.addresses[gateway]).await.ok());
        }
        sleep(REFILL_INTERVAL).await;
    }
    drop(connections);
    let flood = ConnectionFlood { gateway, from, to: context.now() };
    context.ledger.borrow_mut().connection_floods.push(flood);
}

fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.try_read(&mut byte).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

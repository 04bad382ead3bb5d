//! One gateway of a fleet: its file, its process, its path to the name service and its clients' connections.

use crate::harness::clients::ConnectionPool;
use crate::harness::gateway::{listening_address, serve_command};
use crate::harness::Failure;
use rustix::process::{kill_process, Pid, Signal};
use starlingplank_test_doubles::relay::Relay;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Child;
use tokio::sync::mpsc::UnboundedSender;

/// The stack of the thread that reads a process's log.
const READER_STACK_BYTES: usize = 256 << 10;

/// A process listens.
pub(super) struct Listening {
    /// The number of its gateway.
    pub(super) gateway: usize,
    /// The number of the process among those of its gateway.
    pub(super) incarnation: u32,
    pub(super) address: SocketAddr,
}

/// A span of time, in seconds of the run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span {
    pub(super) from: f64,
    pub(super) to: f64,
}

/// A gateway. Its process is killed when it is dropped.
pub(super) struct Gateway {
    operator_file: PathBuf,
    /// The path to the name service.
    pub(super) path: Relay,
    child: Option<Child>,
    pub(super) pool: ConnectionPool,
    incarnation: u32,
    /// The number of flows to the name service that its earlier processes had.
    earlier_flows: usize,
    /// When it was killed or paused: its clients may lose their open requests.
    pub(super) disruptions: Vec<Span>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end_process();
    }
}

impl Gateway {
    pub(super) fn new(operator_file: PathBuf, path: Relay, pool: ConnectionPool) -> Self {
        let (child, disruptions) = (None, Vec::new());
        Self { operator_file, path, child, pool, incarnation: 0, earlier_flows: 0, disruptions }
    }

    /// Starts a process, which reports where it listens.
    pub(super) fn start(
        &mut self,
        number: usize,
        program: &Path,
        listening: &UnboundedSender<Listening>,
    ) -> Result<(), Failure> {
        let mut child = serve_command(program, &self.operator_file)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        self.incarnation += 1;
        self.earlier_flows = self.path.relay_addresses().len();
        let (incarnation, listening) = (self.incarnation, listening.clone());
        let log = child.stdout.take().ok_or("it has no output")?;
        self.child = Some(child);
        // The whole log is read as it is written, so that the process never waits for a reader.
        let read_log = move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                if let Some(address) = listening_address(&line) {
                    let _ = listening.send(Listening { gateway: number, incarnation, address });
                }
            }
        };
        std::thread::Builder::new().stack_size(READER_STACK_BYTES).spawn(read_log)?;
        Ok(())
    }

    /// Opens the clients' connections, if that process is the present one.
    pub(super) fn listens(&self, incarnation: u32, address: SocketAddr) {
        if self.incarnation == incarnation {
            self.pool.open(address);
        }
    }

    pub(super) fn signal(&self, signal: Signal) -> Result<(), Failure> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = Pid::from_raw(child.id() as i32).ok_or("it has no number")?;
        Ok(kill_process(id, signal)?)
    }

    pub(super) fn kill(&mut self) {
        self.pool.close();
        self.end_process();
    }

    fn end_process(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The addresses from which the name service was polled.
    pub(super) fn flow_addresses(&self) -> Vec<SocketAddr> {
        self.path.relay_addresses()
    }

    /// The same, for the present process.
    pub(super) fn present_flow_addresses(&self) -> Vec<SocketAddr> {
        self.flow_addresses().split_off(self.earlier_flows)
    }

    /// Whether a request of a client between these times may have been lost by a disruption.
    pub(super) fn is_disrupted(&self, sent: f64, ended: f64) -> bool {
        self.disruptions.iter().any(|disruption| sent < disruption.to && ended > disruption.from)
    }
}

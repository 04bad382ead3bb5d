//! One gateway of a fleet: its operator's file, its process, its path to the name service and the connections of its clients.

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

/// Stack size of the thread that reads the log of a process. A run has one thread for each gateway, so stacks are small.
const READER_STACK_BYTES: usize = 256 << 10;

/// Notification that a process of a gateway listens.
pub(super) struct Listening {
    /// Index of the gateway.
    pub(super) gateway: usize,
    /// Number of the process among those of its gateway, from 1.
    pub(super) incarnation: u32,
    pub(super) address: SocketAddr,
}

/// A span of time, in seconds since the start of the run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span {
    pub(super) from: f64,
    pub(super) to: f64,
}

/// A gateway and its current process, which is killed when the gateway is dropped.
pub(super) struct Gateway {
    operator_file: PathBuf,
    /// Relay between the gateway and the name service.
    pub(super) path: Relay,
    child: Option<Child>,
    pub(super) pool: ConnectionPool,
    incarnation: u32,
    /// Number of flows (source addresses) on which earlier processes of the gateway polled the name service.
    earlier_flows: usize,
    /// Spans during and after kills and pauses, in which clients of the gateway may lose their in-flight requests.
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

    /// Starts a process. Each address on which it listens is sent to `listening`.
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
        let log = child.stdout.take().ok_or("the standard output of the gateway is not captured")?;
        self.child = Some(child);
        // The whole log is read as it is written, so that the process never blocks on a full pipe.
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

    /// Directs the clients to the address of a process, if it is the current process of the gateway.
    pub(super) fn connect_clients(&self, incarnation: u32, address: SocketAddr) {
        if self.incarnation == incarnation {
            self.pool.open(address);
        }
    }

    pub(super) fn signal(&self, signal: Signal) -> Result<(), Failure> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = Pid::from_raw(child.id() as i32).ok_or("the gateway has no valid process id")?;
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

    /// Returns the addresses from which all processes of the gateway polled the name service.
    pub(super) fn flow_addresses(&self) -> Vec<SocketAddr> {
        self.path.relay_addresses()
    }

    /// Returns the addresses from which the current process polled the name service.
    pub(super) fn current_flow_addresses(&self) -> Vec<SocketAddr> {
        self.flow_addresses().split_off(self.earlier_flows)
    }

    /// Returns whether a disruption overlaps the time of a client's request, which may have been lost by it.
    pub(super) fn is_disrupted(&self, sent: f64, ended: f64) -> bool {
        self.disruptions.iter().any(|disruption| sent < disruption.to && ended > disruption.from)
    }
}

//! A relay on loopback that injects network faults. The path between two parties can be cut in one or both directions, delayed,
//! made lossy, and reset. TCP connections over a cut path stay open without transferring data, as after the failure of a
//! machine; datagrams are lost.

use crate::lock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Maximum number of clients whose datagrams one relay forwards. Datagrams of further clients are dropped.
const MAX_UDP_CLIENTS: usize = 4_096;
/// Maximum number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of deliveries that are recorded.
const MAX_DELIVERIES: usize = 1_000_000;

/// The faults of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PathFault {
    /// Whether the direction to the server is cut.
    pub cut_to_server: bool,
    /// Whether the direction to the client is cut.
    pub cut_to_client: bool,
    /// Share of datagrams that are lost in each direction.
    pub loss: f64,
    /// Delay of all data in each direction.
    pub delay: Duration,
    /// Number of resets so far. A change of this number resets all open connections.
    pub resets: u32,
}

impl PathFault {
    /// Cuts or restores both directions.
    pub fn set_cut(&mut self, is_cut: bool) {
        (self.cut_to_server, self.cut_to_client) = (is_cut, is_cut);
    }
}

/// The record of a datagram that was forwarded to its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// Address of the relay from which datagrams of this client are forwarded to the server.
    pub relay_address: SocketAddr,
    /// First two bytes of the datagram, which are the id of a DNS message.
    pub id: u16,
    /// Time at which the datagram was forwarded.
    pub at: Instant,
}

/// A running relay. Clones refer to the same relay.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<PathFault>>,
    relay_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    deliveries: Arc<Mutex<Vec<Delivery>>>,
    lost: Arc<AtomicU64>,
}

impl Relay {
    fn new(address: SocketAddr) -> Self {
        let fault = Arc::new(watch::Sender::new(PathFault::default()));
        let (relay_addresses, deliveries, lost) = (Arc::default(), Arc::default(), Arc::default());
        Self { address, fault, relay_addresses, deliveries, lost }
    }

    /// Starts a relay that forwards datagrams to a server. Its tasks run on the current local set.
    ///
    /// # Errors
    /// No port could be bound.
    pub async fn udp(server: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let relay = Self::new(socket.local_addr()?);
        let path = UdpPath { relay: relay.clone(), fault: relay.fault.subscribe(), client_socket: socket };
        tokio::task::spawn_local(path.forward_to_server(server, seed));
        Ok(relay)
    }

    /// Starts a relay that forwards TCP connections to a server. Its tasks run on the current local set.
    ///
    /// # Errors
    /// No port could be bound.
    pub async fn tcp(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Self::new(listener.local_addr()?);
        let fault = relay.fault.subscribe();
        tokio::task::spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::task::spawn_local(forward_connection(client, server, fault.clone()));
            }
        });
        Ok(relay)
    }

    /// Changes the faults of the path.
    pub fn update_faults(&self, change: impl FnOnce(&mut PathFault)) {
        self.fault.send_modify(change);
    }

    /// Returns the addresses of the relay from which datagrams are forwarded to the server, one per client, in the order of the
    /// clients' first datagrams.
    pub fn relay_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.relay_addresses).clone()
    }

    /// Returns the datagrams that were forwarded to clients.
    pub fn deliveries(&self) -> Vec<Delivery> {
        lock(&self.deliveries).clone()
    }

    /// Returns the number of datagrams that were lost in both directions.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::SeqCst)
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.update_faults(|fault| fault.resets += 1);
    }
}

/// The path of datagrams between the clients and the server.
#[derive(Clone)]
struct UdpPath {
    relay: Relay,
    fault: watch::Receiver<PathFault>,
    /// Socket that receives datagrams from clients and sends datagrams to them.
    client_socket: Arc<UdpSocket>,
}

impl UdpPath {
    async fn forward_to_server(self, server: SocketAddr, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut bytes = vec![0; CHUNK_BYTES];
        loop {
            let Ok((length, client)) = self.client_socket.recv_from(&mut bytes).await else { continue };
            let socket = match clients.get(&client) {
                Some(socket) => socket.clone(),
                None if clients.len() >= MAX_UDP_CLIENTS => continue,
                None => {
                    let Ok(socket) = connect_udp(server).await else { continue };
                    lock(&self.relay.relay_addresses).extend(socket.local_addr());
                    let socket = Arc::new(socket);
                    clients.insert(client, socket.clone());
                    let path = self.clone();
                    tokio::task::spawn_local(path.forward_to_client(socket.clone(), client, rng.random()));
                    socket
                }
            };
            let fault = *self.fault.borrow();
            if self.is_lost(fault.cut_to_server, fault.loss, &mut rng) {
                continue;
            }
            let message = bytes[..length].to_vec();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(fault.delay).await;
                let _ = socket.send(&message).await;
            });
        }
    }

    async fn forward_to_client(self, socket: Arc<UdpSocket>, client: SocketAddr, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut bytes = vec![0; CHUNK_BYTES];
        loop {
            // An error means that the server was unreachable. A later datagram may reach it.
            let Ok(length) = socket.recv(&mut bytes).await else { continue };
            let fault = *self.fault.borrow();
            if self.is_lost(fault.cut_to_client, fault.loss, &mut rng) {
                continue;
            }
            let (path, message) = (self.clone(), bytes[..length].to_vec());
            let relay_address = socket.local_addr();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(fault.delay).await;
                let is_sent = path.client_socket.send_to(&message, client).await.is_ok();
                if let (true, Ok(relay_address)) = (is_sent, relay_address) {
                    path.record_delivery(relay_address, &message);
                }
            });
        }
    }

    /// Draws whether a datagram is lost, and counts it if it is.
    fn is_lost(&self, is_cut: bool, loss: f64, rng: &mut Pcg64Mcg) -> bool {
        let is_lost = is_cut || rng.random_bool(loss.clamp(0.0, 1.0));
        if is_lost {
            self.relay.lost.fetch_add(1, Ordering::SeqCst);
        }
        is_lost
    }

    fn record_delivery(&self, relay_address: SocketAddr, message: &[u8]) {
        let [high, low, ..] = message else { return };
        let mut deliveries = lock(&self.relay.deliveries);
        if deliveries.len() < MAX_DELIVERIES {
            let id = u16::from_be_bytes([*high, *low]);
            deliveries.push(Delivery { relay_address, id, at: Instant::now() });
        }
    }
}

async fn connect_udp(server: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    socket.connect(server).await?;
    Ok(socket)
}

async fn forward_connection(
    mut client: TcpStream,
    server: SocketAddr,
    mut fault: watch::Receiver<PathFault>,
) {
    let Ok(mut server) = TcpStream::connect(server).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let resets = fault.borrow().resets;
    let is_reset = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let to_server =
            forward_stream(client_reader, server_writer, fault.clone(), |fault| fault.cut_to_server);
        let to_client =
            forward_stream(server_reader, client_writer, fault.clone(), |fault| fault.cut_to_client);
        tokio::select! {
            _ = async { tokio::join!(to_server, to_client) } => false,
            _ = fault.wait_for(|fault| fault.resets != resets) => true,
        }
    };
    if is_reset {
        // With zero linger, closing the sockets sends a reset to both ends rather than an end of stream.
        let _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

async fn forward_stream(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<PathFault>,
    is_cut: fn(&PathFault) -> bool,
) {
    let mut bytes = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut bytes).await.unwrap_or(0);
        // Data in transit when the path is cut, and the end of the stream, wait until the path is restored.
        if fault.wait_for(|fault| !is_cut(fault)).await.is_err() {
            return;
        }
        let delay = fault.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 || to.write_all(&bytes[..length]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}

#[cfg(test)]
mod tests;

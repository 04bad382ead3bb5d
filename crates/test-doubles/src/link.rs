//! The way between two parties, on loopback: a relay that can be cut, cut one way, slowed, made lossy, and reset. TCP
//! that is cut stays open and silent, as when a machine vanishes; datagrams are lost.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Askers whose datagrams one link relays at most; those beyond are not heard.
const ASKERS: usize = 4_096;
/// Bytes moved at a time.
const CHUNK: usize = 16 << 10;

/// What is wrong with the way.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fault {
    /// Nothing gets to the far side.
    pub out: bool,
    /// Nothing comes back from it.
    pub back: bool,
    /// Share of datagrams that are lost, each way.
    pub loss: f64,
    /// Everything takes so much longer, each way.
    pub delay: Duration,
    /// Connections of an earlier count are reset.
    pub resets: u32,
}

/// A running link.
#[derive(Debug, Clone)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
    ports: Arc<Mutex<Vec<SocketAddr>>>,
    delivered: Arc<Mutex<Vec<Delivered>>>,
    lost: Arc<AtomicU64>,
}

/// A datagram that came back whole: to which port's asker, its first two bytes, and when.
pub type Delivered = (SocketAddr, u16, Instant);

/// Entries of that ledger at most.
const LEDGER: usize = 1_000_000;

fn locked<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    fn at(address: SocketAddr) -> (Self, watch::Receiver<Fault>) {
        let (fault, seen) = watch::channel(Fault::default());
        let (ports, delivered, lost) = (Arc::default(), Arc::default(), Arc::default());
        (Self { address, fault: Arc::new(fault), ports, delivered, lost }, seen)
    }

    /// Relays datagrams to that address. It runs on the current local set.
    ///
    /// # Errors
    /// There is no port.
    pub async fn udp(to: SocketAddr, seed: u64) -> io::Result<Self> {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let (link, seen) = Self::at(front.local_addr()?);
        tokio::task::spawn_local(datagrams(front, to, seen, link.clone(), seed));
        Ok(link)
    }

    /// Relays connections to that address. It runs on the current local set.
    ///
    /// # Errors
    /// There is no port.
    pub async fn tcp(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (link, seen) = Self::at(listener.local_addr()?);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::task::spawn_local(connection(near, to, seen.clone()));
            }
        });
        Ok(link)
    }

    /// Changes what is wrong.
    pub fn set(&self, change: impl FnOnce(&mut Fault)) {
        self.fault.send_modify(change);
    }

    /// From where the far side is asked, a port for each asker, in the order in which they first asked.
    pub fn ports(&self) -> Vec<SocketAddr> {
        locked(&self.ports).clone()
    }

    /// All datagrams that came back to their askers.
    pub fn delivered(&self) -> Vec<Delivered> {
        locked(&self.delivered).clone()
    }

    /// Datagrams that were lost on it, both ways.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::SeqCst)
    }

    /// Resets all connections that are open now.
    pub fn reset(&self) {
        self.set(|f| f.resets += 1);
    }
}

async fn datagrams(
    front: Arc<UdpSocket>,
    to: SocketAddr,
    fault: watch::Receiver<Fault>,
    link: Link,
    seed: u64,
) {
    use rand::{Rng, SeedableRng};
    let mut dice = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut askers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut bytes = vec![0; CHUNK];
    loop {
        let Ok((len, from)) = front.recv_from(&mut bytes).await else { continue };
        if !askers.contains_key(&from) {
            if askers.len() >= ASKERS {
                continue;
            }
            let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { continue };
            if socket.connect(to).await.is_err() {
                continue;
            }
            locked(&link.ports).extend(socket.local_addr());
            let socket = Arc::new(socket);
            askers.insert(from, socket.clone());
            tokio::task::spawn_local(answers(
                socket,
                front.clone(),
                from,
                fault.clone(),
                link.clone(),
                dice.random(),
            ));
        }
        let now = *fault.borrow();
        if now.out || dice.random_bool(now.loss.clamp(0.0, 1.0)) {
            link.lost.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        let (socket, message) = (askers[&from].clone(), bytes[..len].to_vec());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(now.delay).await;
            let _ = socket.send(&message).await;
        });
    }
}

async fn answers(
    socket: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    to: SocketAddr,
    fault: watch::Receiver<Fault>,
    link: Link,
    seed: u64,
) {
    use rand::{Rng, SeedableRng};
    let mut dice = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut bytes = vec![0; CHUNK];
    loop {
        // The far side may be away: the next question finds out.
        let Ok(len) = socket.recv(&mut bytes).await else { continue };
        let now = *fault.borrow();
        if now.back || dice.random_bool(now.loss.clamp(0.0, 1.0)) {
            link.lost.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        let (front, delivered, message) = (front.clone(), link.delivered.clone(), bytes[..len].to_vec());
        let port = socket.local_addr();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(now.delay).await;
            let sent = front.send_to(&message, to).await.is_ok();
            if let (true, Ok(port), [a, b, ..]) = (sent, port, &message[..]) {
                let mut ledger = locked(&delivered);
                if ledger.len() < LEDGER {
                    ledger.push((port, u16::from_be_bytes([*a, *b]), Instant::now()));
                }
            }
        });
    }
}

async fn connection(mut near: TcpStream, to: SocketAddr, mut fault: watch::Receiver<Fault>) {
    let Ok(mut far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let resets = fault.borrow().resets;
    let reset = {
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        let out = relay(near_in, far_out, fault.clone(), |f| f.out);
        let back = relay(far_in, near_out, fault.clone(), |f| f.back);
        tokio::select! {
            _ = async { tokio::join!(out, back) } => false,
            _ = fault.wait_for(|f| f.resets != resets) => true,
        }
    };
    if reset {
        // Both ends see a reset, and not the end of the stream.
        let _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}

async fn relay(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<Fault>,
    cut: fn(&Fault) -> bool,
) {
    let mut bytes = vec![0; CHUNK];
    loop {
        let len = from.read(&mut bytes).await.unwrap_or(0);
        // What is on its way as the way is cut stays where it is; so does the news of an end.
        if fault.wait_for(|f| !cut(f)).await.is_err() {
            return;
        }
        let delay = fault.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if len == 0 || to.write_all(&bytes[..len]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}

#[cfg(test)]
mod tests;

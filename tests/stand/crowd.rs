//! A crowd of clients that do not complete their messages, driven by one thread.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks at all clients.
const STEP: Duration = Duration::from_millis(5);
/// Size of the receive buffer of a client that does not read, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Maximum number of bytes that one client writes in a step.
const MAX_WRITE: usize = 128 << 10;

/// How the clients of a crowd send their message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Sending {
    /// They send this share of the message at once, and then nothing.
    StopAt(f64),
    /// They send pieces of this many bytes, with this time between two of them.
    Drip(usize, Duration),
    /// They send all of the message, and read nothing.
    NeverRead,
    /// They stop anywhere in the message, and close the connection up to this time later.
    StopAnywhereAndClose(Duration),
}

/// A crowd of clients. A client whose connection ends connects again. The crowd leaves when it is dropped.
pub(crate) struct Crowd {
    stop: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Crowd {
    /// Connects this number of clients, which send the beginning of `message`.
    pub(crate) fn start(address: SocketAddr, message: Vec<u8>, sending: Sending, clients: usize) -> Self {
        let message: Arc<[u8]> = message.into();
        Self::start_each(address, |_| message.clone(), sending, clients)
    }

    /// Connects this number of clients, each of which sends its own message.
    pub(crate) fn start_each(
        address: SocketAddr,
        message: impl Fn(usize) -> Arc<[u8]>,
        sending: Sending,
        clients: usize,
    ) -> Self {
        let messages: Vec<_> = (0..clients).map(message).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let connected = Arc::new(AtomicUsize::new(0));
        let (stopped, count) = (stop.clone(), connected.clone());
        let thread = thread::spawn(move || {
            let mut clients: Vec<_> = (0..clients).map(|_| None).collect::<Vec<Option<Client>>>();
            while !stopped.load(Ordering::SeqCst) {
                for (number, slot) in clients.iter_mut().enumerate() {
                    let message = &messages[number];
                    let client =
                        slot.get_or_insert_with(|| Client::connect(address, sending, message.len(), number));
                    if client.step(message, sending).is_none() {
                        *slot = None;
                    }
                }
                count.store(clients.iter().flatten().count(), Ordering::SeqCst);
                thread::sleep(STEP);
            }
        });
        Self { stop, connected, thread: Some(thread) }
    }

    /// Returns the number of clients that are connected now.
    pub(crate) fn connected(&self) -> usize {
        self.connected.load(Ordering::SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

/// One client of a crowd.
struct Client {
    stream: TcpStream,
    sent: usize,
    stop_at: usize,
    /// Time before which nothing further is sent.
    next_at: Instant,
    close_at: Option<Instant>,
}

impl Client {
    fn connect(address: SocketAddr, sending: Sending, length: usize, number: usize) -> Self {
        let stream = TcpStream::connect(address).expect("connected");
        if sending == Sending::NeverRead {
            let set = rustix::net::sockopt::set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES);
            set.expect("a socket option");
        }
        stream.set_nonblocking(true).expect("set");
        let now = Instant::now();
        // Spreads the clients without a source of random numbers.
        let port = stream.local_addr().map_or(0, |address| usize::from(address.port()));
        let spread = (number.wrapping_mul(7_919) + port.wrapping_mul(104_729)) % 1_000;
        let (stop_at, close_at) = match sending {
            Sending::StopAt(share) => ((length as f64 * share) as usize, None),
            Sending::Drip(..) => (length - 1, None),
            Sending::NeverRead => (length, None),
            Sending::StopAnywhereAndClose(within) => {
                (length * spread / 1_000, Some(now + within.mul_f64(spread as f64 / 1_000.0)))
            }
        };
        Self { stream, sent: 0, stop_at, next_at: now, close_at }
    }

    /// Sends what is due. Returns `None` once the connection has ended.
    fn step(&mut self, message: &[u8], sending: Sending) -> Option<()> {
        let now = Instant::now();
        if self.close_at.is_some_and(|at| at <= now) {
            return None;
        }
        let piece = match sending {
            Sending::Drip(bytes, _) => bytes,
            Sending::StopAt(_) | Sending::StopAnywhereAndClose(_) | Sending::NeverRead => MAX_WRITE,
        };
        let until = self.stop_at.min(self.sent + piece);
        if now >= self.next_at && self.sent < until {
            match self.stream.write(&message[self.sent..until]) {
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
            if let Sending::Drip(_, interval) = sending {
                self.next_at = now + interval;
            }
        }
        if sending == Sending::NeverRead {
            return Some(());
        }
        match self.stream.read(&mut [0; 4096]) {
            Ok(0) => None,
            Ok(_) => Some(()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Some(()),
            Err(_) => None,
        }
    }
}

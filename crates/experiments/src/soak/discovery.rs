//! Simulated name service with two addresses for each gateway, and faults for each gateway. It records in the ledger which lists it sent
//! to each gateway, or would have sent in place of an invalid or lost response.

use super::context::RunContext;
use super::ledger::Announcement;
use rand::Rng;
use starlingplank_test_doubles::name_service::{encode_answer, EndpointEntry};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Maximum size of a poll, in bytes.
const MAX_POLL_BYTES: usize = 512;
/// Size of the header of a message, in bytes.
const HEADER_BYTES: usize = 12;
/// Index of the header byte that contains the response code.
const RESPONSE_CODE_BYTE: usize = 3;
/// Response code "server failure".
const SERVER_FAILURE: u8 = 2;

/// Kind of corruption of an invalid response.
#[derive(Debug, Clone, Copy)]
enum Corruption {
    Lost,
    Truncated,
    OtherId,
    Failure,
    OutdatedList,
}

impl Corruption {
    const ALL: [Self; 5] = [Self::Lost, Self::Truncated, Self::OtherId, Self::Failure, Self::OutdatedList];
}

/// State of the name service for one gateway.
#[derive(Debug)]
pub(super) struct GatewayView {
    /// Both addresses of the name service for this gateway.
    pub(super) addresses: [SocketAddr; 2],
    /// Index of the address that the gateway's configuration contains.
    pub(super) configured_index: Cell<usize>,
    /// Whether the other address responds as well.
    pub(super) both_respond: Cell<bool>,
    /// Time in seconds since the start of the run before which the name service does not respond to the gateway.
    pub(super) silent_until: Cell<f64>,
    /// Delay of a response, in seconds.
    pub(super) latency: Cell<f64>,
    /// Share of responses that are invalid.
    pub(super) invalid_share: Cell<f64>,
    /// UDP ports from which the gateway has polled.
    used_ports: RefCell<BTreeSet<u16>>,
    /// UDP ports whose polls no longer get a response.
    blocked_ports: RefCell<BTreeSet<u16>>,
}

impl GatewayView {
    fn new(addresses: [SocketAddr; 2]) -> Self {
        Self {
            addresses,
            configured_index: Cell::new(0),
            both_respond: Cell::new(false),
            silent_until: Cell::new(0.0),
            latency: Cell::new(0.0),
            invalid_share: Cell::new(0.0),
            used_ports: RefCell::default(),
            blocked_ports: RefCell::default(),
        }
    }

    /// Stops responding to all UDP ports from which the gateway has polled so far.
    pub(super) fn block_used_ports(&self) {
        self.blocked_ports.borrow_mut().extend(self.used_ports.borrow().iter());
    }

    fn is_blocked(&self, port: u16) -> bool {
        self.blocked_ports.borrow().contains(&port)
    }
}

/// Version of the endpoint list, with its engines.
struct ListVersion {
    version: u32,
    engines: Vec<EndpointEntry>,
}

/// Poll that a gateway sent.
struct Poll {
    gateway: usize,
    socket: Rc<UdpSocket>,
    from: SocketAddr,
    bytes: Vec<u8>,
}

/// Simulated name service, whose addresses all serve the same endpoint list.
pub(super) struct Discovery {
    /// Engines in the present endpoint list.
    pub(super) engines: RefCell<Vec<EndpointEntry>>,
    /// Version of the present endpoint list.
    pub(super) version: Cell<u32>,
    /// Previous version of the endpoint list, which outdated responses contain.
    previous: RefCell<Option<ListVersion>>,
    /// Time since which no address has responded to any gateway; `None` if they respond.
    pub(super) silent_since: Cell<Option<f64>>,
    /// State for each gateway, by gateway number.
    pub(super) views: Vec<GatewayView>,
    context: Rc<RunContext>,
}

impl Discovery {
    /// Starts a name service with two addresses for each of `gateways` gateways.
    ///
    /// # Errors
    /// Fails if no port is available.
    pub(super) async fn start(context: Rc<RunContext>, gateways: usize) -> std::io::Result<Rc<Self>> {
        let (mut views, mut sockets) = (Vec::new(), Vec::new());
        for _ in 0..gateways {
            let pair = [UdpSocket::bind("127.0.0.1:0").await?, UdpSocket::bind("127.0.0.1:0").await?];
            views.push(GatewayView::new([pair[0].local_addr()?, pair[1].local_addr()?]));
            sockets.push(pair);
        }
        let discovery = Rc::new(Self {
            engines: RefCell::default(),
            version: Cell::new(1),
            previous: RefCell::default(),
            silent_since: Cell::new(None),
            views,
            context,
        });
        for (gateway, pair) in sockets.into_iter().enumerate() {
            for (index, socket) in pair.into_iter().enumerate() {
                tokio::task::spawn_local(discovery.clone().serve(gateway, index, Rc::new(socket)));
            }
        }
        Ok(discovery)
    }

    async fn serve(self: Rc<Self>, gateway: usize, index: usize, socket: Rc<UdpSocket>) {
        let mut buffer = [0; MAX_POLL_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            self.views[gateway].used_ports.borrow_mut().insert(from.port());
            if length < HEADER_BYTES || !self.responds(gateway, index) {
                continue;
            }
            let is_valid = self.draw_is_valid(gateway, from.port());
            let poll = Poll { gateway, socket: socket.clone(), from, bytes: buffer[..length].to_vec() };
            tokio::task::spawn_local(self.clone().respond(poll, is_valid));
        }
    }

    fn responds(&self, gateway: usize, index: usize) -> bool {
        let view = &self.views[gateway];
        let is_in_use = view.configured_index.get() == index || view.both_respond.get();
        let is_silent = self.silent_since.get().is_some() || self.context.now() < view.silent_until.get();
        is_in_use && !is_silent
    }

    fn draw_is_valid(&self, gateway: usize, port: u16) -> bool {
        let view = &self.views[gateway];
        !view.is_blocked(port)
            && self.context.draw(|rng| rng.random_range(0.0..1.0)) >= view.invalid_share.get()
    }

    /// Responds to a poll after the present latency, with the endpoint list that is current after this delay.
    async fn respond(self: Rc<Self>, poll: Poll, is_valid: bool) {
        let latency = self.views[poll.gateway].latency.get();
        if latency > 0.0 {
            sleep(Duration::from_secs_f64(latency)).await;
        }
        let valid = encode_answer(&poll.bytes, self.version.get(), &self.engines.borrow());
        let message = if is_valid { Some(valid) } else { self.corrupt(&poll, valid) };
        self.context.ledger.borrow_mut().announcements.push(Announcement {
            gateway: poll.gateway,
            at: self.context.now(),
            version: self.version.get(),
            is_valid,
        });
        if let Some(message) = message {
            let _ = poll.socket.send_to(&message, poll.from).await;
        }
    }

    /// Returns the message that is sent in place of a valid response, or `None` if the response is lost.
    fn corrupt(&self, poll: &Poll, mut response: Vec<u8>) -> Option<Vec<u8>> {
        if self.views[poll.gateway].is_blocked(poll.from.port()) {
            return None;
        }
        let kinds = Corruption::ALL;
        match kinds[self.context.draw(|rng| rng.random_range(0..kinds.len()))] {
            Corruption::Lost => None,
            Corruption::Truncated => {
                response.truncate(response.len() / 2);
                Some(response)
            }
            Corruption::OtherId => {
                response[1] = response[1].wrapping_add(1);
                Some(response)
            }
            Corruption::Failure => {
                response[RESPONSE_CODE_BYTE] |= SERVER_FAILURE;
                Some(response)
            }
            Corruption::OutdatedList => {
                let previous = self.previous.borrow();
                previous.as_ref().map(|list| encode_answer(&poll.bytes, list.version, &list.engines))
            }
        }
    }

    /// Changes the endpoint list. Returns its new version.
    pub(super) fn change_list(&self, change: impl FnOnce(&mut Vec<EndpointEntry>)) -> u32 {
        let (version, engines) = (self.version.get(), self.engines.borrow().clone());
        *self.previous.borrow_mut() = Some(ListVersion { version, engines });
        change(&mut self.engines.borrow_mut());
        self.version.set(version + 1);
        self.version.get()
    }
}

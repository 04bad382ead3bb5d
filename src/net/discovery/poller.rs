//! The loop that polls the name service.
//!
//! No datagram that was received is dropped: a change of the service's address, a signal or a timer is handled between
//! datagrams, never while one is passed on.

use super::message::{self, KnownAddresses, ListResponse, MessageError};
use super::sockets::{Datagram, Sockets};
use super::{addresses_of, NameServiceAddress};
use crate::core::Event;
use crate::interface::{Milliseconds, Settings};
use crate::net::clock::Clock;
use crate::net::log;
use starlingplank_service_discovery::discovery::{ClassifiedResponse, Discovery, Response};
use starlingplank_service_discovery::poll::Poll;
use starlingplank_service_discovery::responses::ResponseKind;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// The wait after a socket failed, or where none is available.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// The number of datagrams that are received before a poll that is due is sent.
const MAX_DATAGRAMS_BEFORE_POLL: usize = 64;

/// The loop of service discovery. It owns the sockets and the buffer.
pub struct Poller {
    /// The state of service discovery; the runtime logs its counts.
    pub discovery: Rc<RefCell<Discovery>>,
    /// The clock of the gateway.
    pub clock: Clock,
    /// The settings.
    pub settings: Rc<Settings>,
    /// The queue of the reducer.
    pub events: Sender<Event>,
    /// The sockets.
    pub sockets: Sockets,
    /// The addresses of the engines in the newest list.
    pub addresses: KnownAddresses,
    /// The end of the lease on the list as the reducer knows it.
    pub reported_lease_end: Milliseconds,
    /// The bytes of the last datagram.
    pub buffer: Vec<u8>,
}

impl Poller {
    /// Polls the service at its present address until the reducer's queue is closed.
    pub async fn run(mut self, mut address: watch::Receiver<NameServiceAddress>) {
        while self.step(&mut address).await.is_ok() {}
    }

    /// Handles one datagram, one poll or one change of the address.
    async fn step(
        &mut self,
        address: &mut watch::Receiver<NameServiceAddress>,
    ) -> Result<(), SendError<Event>> {
        let due = self.discovery.borrow().next_poll_at();
        tokio::select! {
            received = self.sockets.receive(&mut self.buffer) => match received {
                Ok(datagram) => self.handle(datagram).await,
                Err(error) => {
                    tracing::debug!(%error, "a socket of service discovery failed");
                    self.discovery.borrow_mut().fail_flow(error.flow);
                    sleep(RETRY_DELAY).await;
                    Ok(())
                }
            },
            changed = address.changed() => {
                if changed.is_err() {
                    return std::future::pending().await;
                }
                let NameServiceAddress { address, changed_at } = *address.borrow_and_update();
                self.discovery.borrow_mut().relocate_since(address, changed_at, self.clock.now());
                self.report().await
            }
            () = sleep_until_due(due.map(|due| self.clock.instant(due).into())) => self.poll().await,
        }
    }

    /// Sends the poll that is due. Datagrams that have already arrived are handled first: after a pause of the process these
    /// are the responses to earlier polls.
    async fn poll(&mut self) -> Result<(), SendError<Event>> {
        for _ in 0..MAX_DATAGRAMS_BEFORE_POLL {
            let Some(datagram) = self.sockets.try_receive(&mut self.buffer) else { break };
            self.handle(datagram).await?;
        }
        let Some(poll) = self.start_poll().await else {
            log::warn_rate_limited("no socket is available to poll the name service");
            sleep(RETRY_DELAY).await;
            return Ok(());
        };
        tracing::trace!(number = poll.number, id = poll.id, flow = poll.flow.0, to = %poll.to, "poll of the name service");
        let query = message::encode_query(poll.id);
        if let Err(error) = self.sockets.send(poll.flow, &query, poll.to).await {
            tracing::debug!(%error, "a poll of the name service was not sent");
            self.discovery.borrow_mut().fail_flow(poll.flow);
        }
        self.report().await
    }

    /// The poll that is sent now, from a new flow where one is needed and a socket is available.
    async fn start_poll(&mut self) -> Option<Poll> {
        // Where no socket is available now, the current flow stays in use.
        let _ = self.sockets.prepare_spare().await;
        let now = self.clock.now();
        let mut discovery = self.discovery.borrow_mut();
        if discovery.needs_new_flow(now) && self.sockets.has_spare() {
            self.sockets.open(discovery.open_flow(now));
        }
        self.sockets.close(&discovery.close_flows(now));
        discovery.start_poll(now)
    }

    /// Handles a datagram.
    async fn handle(&mut self, datagram: Datagram) -> Result<(), SendError<Event>> {
        let parsed = message::parse(&self.buffer[..datagram.len], &self.settings, &self.addresses);
        let response = match &parsed {
            Ok(list) => Response::List { id: list.id, version: list.version },
            Err(MessageError::Truncated) => Response::Truncated,
            Err(MessageError::Malformed) => Response::Malformed,
        };
        let now = self.clock.now();
        let verdict = self.discovery.borrow_mut().receive(response, datagram.from, datagram.flow, now);
        log_response(response, verdict);
        if let Some(list) = parsed.ok().filter(|_| is_passed_on(verdict.kind)) {
            self.pass_on(list, verdict).await?;
        }
        self.report().await
    }

    /// Passes a list to the reducer.
    async fn pass_on(
        &mut self,
        list: ListResponse,
        verdict: ClassifiedResponse,
    ) -> Result<(), SendError<Event>> {
        let ListResponse { version, endpoints, .. } = list;
        if verdict.kind == ResponseKind::Update {
            self.addresses = addresses_of(&endpoints);
        }
        if verdict.supersedes {
            self.events.send(Event::PreviousAddressSuperseded).await?;
        }
        self.events.send(Event::EndpointList { version, endpoints }).await
    }

    /// Reports a change of the lease on the list to the reducer, and logs a change of the list's freshness.
    async fn report(&mut self) -> Result<(), SendError<Event>> {
        let lease_end = self.discovery.borrow().lease_end();
        if std::mem::replace(&mut self.reported_lease_end, lease_end) != lease_end {
            self.events.send(Event::EndpointListLease(lease_end)).await?;
        }
        let now = self.clock.now();
        let mut discovery = self.discovery.borrow_mut();
        if let Some(freshness) = discovery.freshness_change(now) {
            let age_s = discovery.age(now) / 1000.0;
            let counts = discovery.counts();
            tracing::info!(%freshness, age_s, %counts, "freshness of the endpoint list");
        }
        Ok(())
    }
}

/// Whether the reducer receives lists of that kind. It ignores older ones by itself.
fn is_passed_on(kind: ResponseKind) -> bool {
    kind.confirms() || kind == ResponseKind::Older
}

fn log_response(response: Response, verdict: ClassifiedResponse) {
    match response {
        Response::Truncated => {
            log::warn_rate_limited("a response of the name service is truncated; the list in use stays");
        }
        Response::Malformed => {
            log::warn_rate_limited("a response of the name service is malformed; the list in use stays");
        }
        Response::List { .. } => {}
    }
    tracing::debug!(
        ?response,
        kind = verdict.kind.name(),
        supersedes = verdict.supersedes,
        round_trip_ms = verdict.round_trip,
        "response of the name service"
    );
}

/// Waits until the next poll is due; without one, forever.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}

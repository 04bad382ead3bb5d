//! The loop that polls the name service.
//!
//! No received datagram is lost: a change of the service's address or a due timer is handled between datagrams, and never
//! cancels the handling of one.

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

/// Delay after a socket has failed or no socket is available.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of pending datagrams that are handled before a due poll is sent.
const MAX_DATAGRAMS_BEFORE_POLL: usize = 64;

/// Polls the name service. Owns the sockets and the receive buffer.
pub struct Poller {
    /// State of service discovery, shared with the runtime, which logs its counts.
    pub discovery: Rc<RefCell<Discovery>>,
    /// Clock of the gateway.
    pub clock: Clock,
    /// Settings with the names of zones and machine types.
    pub settings: Rc<Settings>,
    /// Queue of events for the reducer.
    pub events: Sender<Event>,
    /// Sockets of the open flows.
    pub sockets: Sockets,
    /// Addresses of the engines in the latest list.
    pub addresses: KnownAddresses,
    /// End of the lease on the list that was last reported to the reducer.
    pub reported_lease_end: Milliseconds,
    /// Buffer that holds the last received datagram.
    pub buffer: Vec<u8>,
}

impl Poller {
    /// Polls the name service at its current address until the reducer's queue is closed.
    pub async fn run(mut self, mut address: watch::Receiver<NameServiceAddress>) {
        while self.step(&mut address).await.is_ok() {}
    }

    /// Handles one received datagram, one due poll or one change of the service's address.
    async fn step(
        &mut self,
        address: &mut watch::Receiver<NameServiceAddress>,
    ) -> Result<(), SendError<Event>> {
        let due = self.discovery.borrow().next_poll_at();
        tokio::select! {
            received = self.sockets.receive(&mut self.buffer) => match received {
                Ok(datagram) => self.handle(datagram).await,
                Err(error) => {
                    tracing::debug!(%error, "a socket of service discovery failed: the next poll uses a new flow");
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

    /// Sends the poll that is due. Datagrams that have already arrived are handled first, as they may be responses to earlier
    /// polls that arrived during a pause of the process.
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
            tracing::debug!(%error, "a poll of the name service was not sent: the next one uses a new flow");
            self.discovery.borrow_mut().fail_flow(poll.flow);
        }
        self.report().await
    }

    /// Starts a poll, from a new flow if one is needed and a socket is available. `None` without a name service or an open flow.
    async fn start_poll(&mut self) -> Option<Poll> {
        // If no socket is available, the current flow stays in use.
        let _ = self.sockets.prepare_spare().await;
        let now = self.clock.now();
        let mut discovery = self.discovery.borrow_mut();
        if discovery.needs_new_flow(now) && self.sockets.has_spare() {
            self.sockets.open(discovery.open_flow(now));
        }
        self.sockets.close(&discovery.close_flows(now));
        discovery.start_poll(now)
    }

    /// Classifies a received datagram, and passes its list to the reducer if the reducer needs it.
    async fn handle(&mut self, datagram: Datagram) -> Result<(), SendError<Event>> {
        let parsed = message::parse(&self.buffer[..datagram.len], &self.settings, &self.addresses);
        let response = match &parsed {
            Ok(list) => Response::List { id: list.id, version: list.version },
            Err(MessageError::Truncated) => Response::Truncated,
            Err(MessageError::Malformed) => Response::Malformed,
        };
        let now = self.clock.now();
        let classified = self.discovery.borrow_mut().receive(response, datagram.from, datagram.flow, now);
        log_response(response, classified);
        if let Some(list) = parsed.ok().filter(|_| is_passed_on(classified.kind)) {
            self.pass_on(list, classified).await?;
        }
        self.report().await
    }

    /// Passes a list to the reducer, after a notification if it supersedes the list of the service's previous address.
    async fn pass_on(
        &mut self,
        list: ListResponse,
        classified: ClassifiedResponse,
    ) -> Result<(), SendError<Event>> {
        let ListResponse { version, endpoints, .. } = list;
        if classified.kind == ResponseKind::Update {
            self.addresses = addresses_of(&endpoints);
        }
        if classified.supersedes {
            self.events.send(Event::PreviousAddressSuperseded).await?;
        }
        self.events.send(Event::EndpointList { version, endpoints }).await
    }

    /// Reports a changed end of the lease on the list to the reducer, and logs a change of the list's freshness.
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

/// Returns whether lists of that kind are passed to the reducer, which itself ignores lists older than the one in use.
fn is_passed_on(kind: ResponseKind) -> bool {
    kind.confirms() || kind == ResponseKind::Older
}

fn log_response(response: Response, classified: ClassifiedResponse) {
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
        kind = classified.kind.name(),
        supersedes = classified.supersedes,
        round_trip_ms = classified.round_trip,
        "response of the name service"
    );
}

/// Waits until the next poll is due; never returns if none is due.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}

//! Service discovery: the loop that asks for the list of engines and passes it on. What is asked when, and what an answer is
//! worth, is decided in `starlingplank_service_discovery`; [`message`] has the bytes and [`sockets`] the descriptors.
//!
//! Nothing that the loop has read is dropped: a change of the service's address, a signal or a timer is looked at between
//! datagrams, never in the middle of handing one on.

pub mod message;
pub mod sockets;

use crate::core::{Endpoint, Event};
use crate::interface::{Milliseconds, Settings};
use crate::limits::Limits;
use crate::net::clock::Clock;
use crate::net::log;
use message::KnownAddresses;
use sockets::{Datagram, Sockets};
use starlingplank_pacing::poll_schedule::Rules;
use starlingplank_service_discovery::answers::AnswerKind;
use starlingplank_service_discovery::discovery::{Discovery, Received, Start, Verdict};
use starlingplank_service_discovery::questions::Question;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// The wait after a socket failed, or where none can be had.
const AFTER_FAILURE: Duration = Duration::from_millis(5);
/// Datagrams that are read at most before a question that is due leaves.
const MOST_BEFORE_QUESTION: usize = 64;

/// What a gateway begins with.
pub fn begin(
    settings: &Settings,
    limits: &Limits,
    known: u64,
    at: Option<SocketAddr>,
    now: Milliseconds,
) -> Discovery {
    let pace = Rules {
        gateways: settings.gateways,
        gateway_index: settings.gateway_index,
        slowest: limits.slowest_poll_interval,
    };
    let start = Start {
        pace,
        seed: settings.seed,
        known,
        drain_grace: settings.drain_grace,
        most_flows: limits.max_discovery_flows,
        address: at,
    };
    Discovery::new(&start, now)
}

/// The loop of service discovery.
pub struct Poller {
    /// What is known; the runtime reports from it.
    pub discovery: Rc<RefCell<Discovery>>,
    /// The clock of the gateway.
    pub clock: Clock,
    /// The settings.
    pub settings: Rc<Settings>,
    /// The queue of the reducer.
    pub events: Sender<Event>,
    /// The sockets.
    pub sockets: Sockets,
    /// The engines' addresses by the newest list.
    pub addresses: KnownAddresses,
    /// Until when the list may be relied on, as the reducer was last told.
    pub told_until: Milliseconds,
    /// Bytes of the last datagram.
    pub buffer: Vec<u8>,
}

impl Poller {
    /// Asks the service at its present address, at a pace that the whole fleet can keep, until nobody wants the answers any
    /// more.
    pub async fn run(mut self, mut address: watch::Receiver<Option<SocketAddr>>) {
        while self.step(&mut address).await.is_ok() {}
    }

    /// One datagram, one question or one change of the address.
    async fn step(
        &mut self,
        address: &mut watch::Receiver<Option<SocketAddr>>,
    ) -> Result<(), SendError<Event>> {
        let due = self.discovery.borrow().due();
        tokio::select! {
            received = self.sockets.receive(&mut self.buffer) => match received {
                Ok(datagram) => self.handle(datagram).await,
                Err((flow, e)) => {
                    tracing::debug!("a socket to the name service failed: {e}");
                    self.discovery.borrow_mut().fail_flow(flow);
                    sleep(AFTER_FAILURE).await;
                    Ok(())
                }
            },
            changed = address.changed() => {
                if changed.is_err() {
                    return std::future::pending().await;
                }
                let present = *address.borrow_and_update();
                self.discovery.borrow_mut().relocate(present, self.clock.now());
                self.report().await
            }
            () = sleep_until_due(due.map(|due| self.clock.instant(due).into())) => self.ask().await,
        }
    }

    /// Asks the question that is due. What has arrived before it is read first: after the process stood still, that is
    /// the answers to earlier ones.
    async fn ask(&mut self) -> Result<(), SendError<Event>> {
        for _ in 0..MOST_BEFORE_QUESTION {
            let Some(datagram) = self.sockets.try_receive(&mut self.buffer) else { break };
            self.handle(datagram).await?;
        }
        let question = self.next_question().await;
        let Some(question) = question else {
            log::seldom("no socket can be had to ask for the list of engines");
            sleep(AFTER_FAILURE).await;
            return Ok(());
        };
        tracing::trace!("list asked for, {question:?}");
        let message = message::question(question.id);
        if let Err(e) = self.sockets.send(question.flow, &message, question.to).await {
            tracing::debug!("a question to the name service was not sent: {e}");
            self.discovery.borrow_mut().fail_flow(question.flow);
        }
        self.report().await
    }

    /// The question that leaves now, from a fresh flow where one is wanted and can be had.
    async fn next_question(&mut self) -> Option<Question> {
        // One socket is always ready; where it cannot be had now, the flow in use serves on.
        let _ = self.sockets.prepare().await;
        let now = self.clock.now();
        let mut discovery = self.discovery.borrow_mut();
        if discovery.wants_fresh_flow(now) && self.sockets.is_prepared() {
            self.sockets.open(discovery.open_flow(now));
        }
        self.sockets.close(&discovery.close_flows(now));
        discovery.ask(now)
    }

    /// Handles a datagram.
    async fn handle(&mut self, datagram: Datagram) -> Result<(), SendError<Event>> {
        let bytes = &self.buffer[..datagram.len];
        let answer = message::read(bytes, &self.settings, &self.addresses);
        let received = match &answer {
            Some(answer) => Received::List { id: answer.id, version: answer.serial },
            None if message::is_truncated(bytes) => Received::Truncated,
            None => Received::Unreadable,
        };
        let now = self.clock.now();
        let verdict = self.discovery.borrow_mut().receive(received, datagram.from, datagram.flow, now);
        log_answer(received, verdict);
        if let Some(answer) = answer.filter(|_| is_handed_on(verdict.kind)) {
            if verdict.kind == AnswerKind::News {
                self.addresses = addresses_of(&answer.list);
            }
            if verdict.supersedes {
                self.events.send(Event::PreviousAddressSuperseded).await?;
            }
            self.events.send(Event::EndpointList { version: answer.serial, endpoints: answer.list }).await?;
        }
        self.report().await
    }

    /// Tells until when the list may be relied on, and logs a change of its freshness.
    async fn report(&mut self) -> Result<(), SendError<Event>> {
        let until = self.discovery.borrow().reliable_until();
        if std::mem::replace(&mut self.told_until, until) != until {
            self.events.send(Event::EndpointListLease(until)).await?;
        }
        let now = self.clock.now();
        let mut discovery = self.discovery.borrow_mut();
        if let Some(freshness) = discovery.freshness_change(now) {
            let age = discovery.age(now) / 1000.0;
            let counts = discovery.counts();
            tracing::info!("the list of engines is {freshness}, known as of {age:.2} s ago; {counts}");
        }
        Ok(())
    }
}

/// The addresses of the engines of a list.
pub fn addresses_of(list: &[Endpoint]) -> KnownAddresses {
    list.iter().map(|listed| (listed.member.engine.0.to_string(), listed.address)).collect()
}

/// Whether the reducer sees an answer of that kind. An older list is none to the reducer either, which counts it.
fn is_handed_on(kind: AnswerKind) -> bool {
    kind.confirms() || kind == AnswerKind::Older
}

fn log_answer(received: Received, verdict: Verdict) {
    match received {
        Received::Truncated => {
            log::seldom("an answer of the name service says that it is cut short; the list in use stays")
        }
        Received::Unreadable => {
            log::seldom("an answer of the name service cannot be read; the list in use stays");
        }
        Received::List { .. } => {}
    }
    tracing::debug!(
        "answer of the name service: {received:?}, {:?} after {:.1?} ms",
        verdict.kind,
        verdict.took
    );
}

/// Waits until the next question is due; without one, for ever.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}

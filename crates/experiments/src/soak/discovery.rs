//! The name service of a play: two addresses for each gateway, with troubles for each gateway by itself. What it told each
//! gateway, and what a good answer would have told, is written into the ledger.

use super::ledger::Announcement;
use super::Stage;
use rand::Rng;
use starlingplank_test_doubles::name_service::{encode_answer, ListedEngine};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Bytes of the head of a question.
const QUESTION_HEAD: usize = 12;
/// The byte of a message's head with the response code, and "server failure".
const CODE_BYTE: usize = 3;
const SERVER_FAILURE: u8 = 2;

/// What happens to an answer that is not good.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Lost,
    CutShort,
    OtherId,
    Failure,
    OlderList,
}

impl Fate {
    const ALL: [Self; 5] = [Self::Lost, Self::CutShort, Self::OtherId, Self::Failure, Self::OlderList];
}

/// What one gateway meets.
#[derive(Debug)]
pub struct View {
    /// Its two addresses of the service.
    pub addresses: [SocketAddr; 2],
    /// Which of them its configuration names.
    pub present: Cell<usize>,
    /// The other one answers as well.
    pub both_answer: Cell<bool>,
    /// Its questions are not answered until then.
    pub silent_until: Cell<f64>,
    /// Seconds that an answer takes.
    pub latency: Cell<f64>,
    /// The share of answers that are not good.
    pub loss: Cell<f64>,
    /// Ports that it has asked from.
    seen: RefCell<BTreeSet<u16>>,
    /// Ports whose questions are not answered any more.
    dead: RefCell<BTreeSet<u16>>,
}

impl View {
    /// All flows that have been used are dead from now on.
    pub fn kill_flows(&self) {
        self.dead.borrow_mut().extend(self.seen.borrow().iter());
    }
}

/// A list of engines with its version.
type Version = (u32, Vec<ListedEngine>);

/// The list of engines, told by all services with the same words.
pub struct Discovery {
    /// The list.
    pub entries: RefCell<Vec<ListedEngine>>,
    /// Its version.
    pub version: Cell<u32>,
    /// The list before.
    former: RefCell<Option<Version>>,
    /// Since when no service answers.
    pub silent_since: Cell<Option<f64>>,
    /// By gateway.
    pub views: Vec<View>,
    stage: Rc<Stage>,
}

impl Discovery {
    /// Starts the services of that many gateways.
    ///
    /// # Errors
    /// There is no port.
    pub async fn start(stage: Rc<Stage>, gateways: usize) -> std::io::Result<Rc<Self>> {
        let (mut views, mut sockets) = (Vec::new(), Vec::new());
        for _ in 0..gateways {
            let pair = [UdpSocket::bind("127.0.0.1:0").await?, UdpSocket::bind("127.0.0.1:0").await?];
            views.push(View {
                addresses: [pair[0].local_addr()?, pair[1].local_addr()?],
                present: Cell::new(0),
                both_answer: Cell::new(false),
                silent_until: Cell::new(0.0),
                latency: Cell::new(0.0),
                loss: Cell::new(0.0),
                seen: RefCell::default(),
                dead: RefCell::default(),
            });
            sockets.push(pair);
        }
        let discovery = Rc::new(Self {
            entries: RefCell::default(),
            version: Cell::new(1),
            former: RefCell::default(),
            silent_since: Cell::new(None),
            views,
            stage,
        });
        for (gateway, pair) in sockets.into_iter().enumerate() {
            for (place, socket) in pair.into_iter().enumerate() {
                tokio::task::spawn_local(discovery.clone().serve(gateway, place, Rc::new(socket)));
            }
        }
        Ok(discovery)
    }

    async fn serve(self: Rc<Self>, gateway: usize, place: usize, socket: Rc<UdpSocket>) {
        let mut question = [0; 512];
        loop {
            let Ok((len, from)) = socket.recv_from(&mut question).await else { continue };
            let view = &self.views[gateway];
            view.seen.borrow_mut().insert(from.port());
            let answers = view.present.get() == place || view.both_answer.get();
            let silent = self.silent_since.get().is_some() || self.stage.now() < view.silent_until.get();
            // Less than a head is no question.
            if len < QUESTION_HEAD || !answers || silent {
                continue;
            }
            let is_good = !view.dead.borrow().contains(&from.port())
                && self.stage.draw(|rng| rng.random_range(0.0..1.0)) >= view.loss.get();
            let reply = self.clone().reply(gateway, socket.clone(), question[..len].to_vec(), from, is_good);
            tokio::task::spawn_local(reply);
        }
    }

    /// Answers a question after the present latency with the list as it is then.
    async fn reply(
        self: Rc<Self>,
        gateway: usize,
        socket: Rc<UdpSocket>,
        question: Vec<u8>,
        from: SocketAddr,
        is_good: bool,
    ) {
        let latency = self.views[gateway].latency.get();
        if latency > 0.0 {
            sleep(Duration::from_secs_f64(latency)).await;
        }
        let said = encode_answer(&question, self.version.get(), &self.entries.borrow());
        let message = if is_good { Some(said) } else { self.spoil(&question, said, from.port(), gateway) };
        let announcement =
            Announcement { gateway, at: self.stage.now(), version: self.version.get(), is_good };
        self.stage.ledger.borrow_mut().announcements.push(announcement);
        if let Some(message) = message {
            let _ = socket.send_to(&message, from).await;
        }
    }

    /// What arrives in place of a good answer, if anything does.
    fn spoil(&self, question: &[u8], mut said: Vec<u8>, port: u16, gateway: usize) -> Option<Vec<u8>> {
        if self.views[gateway].dead.borrow().contains(&port) {
            return None;
        }
        match Fate::ALL[self.stage.draw(|rng| rng.random_range(0..Fate::ALL.len()))] {
            Fate::Lost => None,
            Fate::CutShort => {
                said.truncate(said.len() / 2);
                Some(said)
            }
            Fate::OtherId => {
                said[1] = said[1].wrapping_add(1);
                Some(said)
            }
            Fate::Failure => {
                said[CODE_BYTE] |= SERVER_FAILURE;
                Some(said)
            }
            Fate::OlderList => {
                let former = self.former.borrow();
                former.as_ref().map(|(version, entries)| encode_answer(question, *version, entries))
            }
        }
    }

    /// Tells another list from now on. Its version.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedEngine>)) -> u32 {
        *self.former.borrow_mut() = Some((self.version.get(), self.entries.borrow().clone()));
        change(&mut self.entries.borrow_mut());
        self.version.set(self.version.get() + 1);
        self.version.get()
    }
}

//! The name service: SRV records over UDP, asked for again and again.

use crate::config::describe;
use crate::core::{Event, Listed};
use crate::interface::{Availability, Settings};
use crate::limits::Limits;
use crate::net::conn::Retry;
use crate::net::log;
use starlingplank_membership::age::ListAge;
use starlingplank_membership::answers::{AnswerCounts, AnswerKind};
use starlingplank_pacing::list::{self, ListPace, Rules};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use winnow::binary::{be_u16, be_u32, length_take, u8};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::token::take;

/// What is asked for.
pub const SERVICE: &str = "_work._tcp.fleet.local";
const A: u16 = 1;
const SOA: u16 = 6;
const TXT: u16 = 16;
const SRV: u16 = 33;
const IN: u16 = 1;
/// Labels of one name at most, pointers counted: loops end.
const LABELS: usize = 128;

type Res<T> = Result<T, EmptyError>;

/// A question with that id.
pub fn question(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    for word in [id, 0, 1, 0, 0, 0] {
        out.extend(word.to_be_bytes());
    }
    for label in SERVICE.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
    out.extend(SRV.to_be_bytes());
    out.extend(IN.to_be_bytes());
    out
}

/// Reads a name, following pointers into the whole message.
fn name<'a>(whole: &'a [u8], i: &mut &'a [u8]) -> Res<String> {
    let mut out = String::new();
    let mut far: Option<&'a [u8]> = None;
    for _ in 0..LABELS {
        let rest = far.as_mut().unwrap_or(i);
        let len = u8.parse_next(rest)?;
        match len {
            0 => return Ok(out),
            1..=63 => {
                let label = take(len).verify_map(|b| std::str::from_utf8(b).ok()).parse_next(rest)?;
                if !out.is_empty() {
                    out.push('.');
                }
                out.push_str(label);
            }
            192.. => {
                let low = u8.parse_next(rest)?;
                let at = usize::from(len & 63) << 8 | usize::from(low);
                far = Some(whole.get(at..).ok_or(EmptyError)?);
            }
            _ => return Err(EmptyError),
        }
    }
    Err(EmptyError)
}

#[derive(Default)]
struct Records<'a> {
    serial: Option<u64>,
    targets: Vec<(u16, u16, String)>,
    addresses: BTreeMap<String, Ipv4Addr>,
    texts: BTreeMap<String, Vec<&'a str>>,
}

fn record<'a>(whole: &'a [u8], i: &mut &'a [u8], records: &mut Records<'a>) -> Res<()> {
    let owner = name(whole, i)?;
    let (kind, class, _ttl) = (be_u16, be_u16, be_u32).parse_next(i)?;
    let mut data: &[u8] = length_take(be_u16).parse_next(i)?;
    let d = &mut data;
    match (class, kind) {
        (IN, SRV) if owner.eq_ignore_ascii_case(SERVICE) => {
            let (priority, _weight, port) = (be_u16, be_u16, be_u16).parse_next(d)?;
            records.targets.push((priority, port, name(whole, d)?));
        }
        (IN, A) => {
            let address = be_u32.parse_next(d)?;
            records.addresses.insert(owner, Ipv4Addr::from(address));
        }
        (IN, TXT) => {
            let texts = records.texts.entry(owner).or_default();
            while !d.is_empty() {
                let text: &[u8] = length_take(u8).parse_next(d)?;
                texts.extend(std::str::from_utf8(text).ok());
            }
        }
        (IN, SOA) => {
            name(whole, d)?;
            name(whole, d)?;
            records.serial = Some(be_u32.parse_next(d)?.into());
        }
        _ => {}
    }
    Ok(())
}

/// An answer: the id of its question, the number of the last event, and the whole list.
#[derive(Debug, PartialEq)]
pub struct Answered {
    /// Of the question.
    pub id: u16,
    /// Of the last event.
    pub serial: u64,
    /// The engines.
    pub list: Vec<Listed>,
}

fn message<'a>(whole: &'a [u8]) -> Res<(u16, Records<'a>)> {
    let mut i = whole;
    let (id, flags, asked, answers, authorities, more) =
        (be_u16, be_u16, be_u16, be_u16, be_u16, be_u16).parse_next(&mut i)?;
    // A response, whole, to a plain question, without error.
    if flags & 0xfa0f != 0x8000 {
        return Err(EmptyError);
    }
    for _ in 0..asked {
        name(whole, &mut i)?;
        (be_u16, be_u16).parse_next(&mut i)?;
    }
    let mut records = Records::default();
    let all = usize::from(answers) + usize::from(authorities) + usize::from(more);
    (0..all).try_for_each(|_| record(whole, &mut i, &mut records))?;
    Ok((id, records))
}

/// Whether an answer says of itself that it does not hold all (the truncation flag of RFC 1035).
fn is_cut_short(bytes: &[u8]) -> bool {
    const TRUNCATED: u8 = 0x02;
    bytes.get(2).is_some_and(|flags| flags & TRUNCATED != 0)
}

/// Reads an answer. None: it is damaged, cut short or an error, and the list held stays.
pub fn read(bytes: &[u8], settings: &Settings) -> Option<Answered> {
    let (id, records) = message(bytes).ok()?;
    let mut list = Vec::new();
    for (priority, port, target) in &records.targets {
        let mut labels = target.split('.');
        let (engine, zone) = (labels.next()?, labels.next().unwrap_or_default());
        // An engine whose address is missing makes the list unfit to be taken for the whole.
        let address = SocketAddr::new(IpAddr::V4(*records.addresses.get(target)?), *port);
        let texts = records.texts.get(target).map(Vec::as_slice).unwrap_or_default();
        let text = |key: &str| texts.iter().find_map(|t| t.split_once('=').filter(|(k, _)| *k == key));
        let number = |key: &str| text(key).and_then(|(_, v)| v.parse::<f64>().ok()).unwrap_or(0.0);
        let state = if *priority == 0 { Availability::Live } else { Availability::Draining };
        let kind = text("kind").map_or("", |(_, v)| v);
        let member = describe(settings, engine, zone, kind, number("cell") as u64, state, number("started"));
        list.push(Listed { member, address });
    }
    Some(Answered { id, serial: records.serial?, list })
}

/// What is told of the questions and answers of a process: counts since its start, and how old its list is.
#[derive(Debug)]
pub struct DiscoveryReport {
    begun: Instant,
    counts: AnswerCounts,
    age: ListAge,
}

impl DiscoveryReport {
    /// Of a process that begins now.
    pub fn new() -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            begun: Instant::now(),
            counts: AnswerCounts::default(),
            age: ListAge::new(0.0),
        }))
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// Logs a change of the list's freshness.
    fn report_change(&mut self) {
        let now = self.now();
        if let Some(freshness) = self.age.change(now) {
            let age = self.age.age(now) / 1000.0;
            tracing::info!("the list of engines is {freshness}, known as of {age:.2} s ago; {}", self.counts);
        }
    }

    fn asked(&mut self) -> f64 {
        self.report_change();
        self.counts.count_question();
        self.now()
    }

    fn answered(&mut self, kind: AnswerKind, asked_at: Option<f64>) {
        self.counts.count(kind);
        if let Some(at) = asked_at.filter(|_| matches!(kind, AnswerKind::News | AnswerKind::Confirmation)) {
            self.age.confirm(at);
        }
        let late = asked_at.map(|at| self.now() - at);
        tracing::debug!("answer of the name service: {kind:?}, after {late:.1?} ms");
        self.report_change();
    }

    fn relocated(&mut self) {
        let now = self.now();
        self.age.relocate(now);
        self.report_change();
    }

    /// Logs the counts and the age of the list.
    pub fn log(&self) {
        let age = self.age.age(self.now()) / 1000.0;
        tracing::info!("name service: {}; the list is known as of {age:.2} s ago", self.counts);
    }
}

/// Asks at a pace that the whole fleet can keep, with a fresh id each time; an answer is taken if it answers one of the last questions
/// and comes from the address asked. While nothing comes, the list held stays. A new address is asked at once:
/// its socket is a new one, so that nothing the old address still says is heard. `known` is the number of the list at the
/// start.
pub async fn poll(
    mut at: watch::Receiver<Option<SocketAddr>>,
    known: u64,
    settings: &Settings,
    limits: &Limits,
    events: &Sender<Event>,
    report: &RefCell<DiscoveryReport>,
) {
    loop {
        let address = *at.borrow_and_update();
        tokio::select! {
            () = ask(address, known, settings, limits, events, report) => return,
            changed = at.changed() => if changed.is_err() { return },
        }
        report.borrow_mut().relocated();
    }
}

/// A socket of its own, connected, so that the system takes datagrams from that address alone.
async fn open_socket(to: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0)).await?;
    socket.connect(to).await?;
    Ok(socket)
}

/// Sends a question. One that fails is lost as one that the network drops; a call that was interrupted is made again.
async fn ask_once(socket: &UdpSocket, question: &[u8]) {
    while socket.send(question).await.is_err_and(|e| Retry::after(&e) == Some(Retry::AtOnce)) {}
}

/// A datagram from either.
async fn receive(socket: &UdpSocket, former: Option<&UdpSocket>, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        tokio::select! {
            ready = socket.readable() => ready?,
            _ = async { former?.readable().await.ok() }, if former.is_some() => {}
        }
        for socket in std::iter::once(socket).chain(former) {
            match socket.try_recv(buffer) {
                Err(e) if Retry::after(&e).is_some() => {}
                got => return got,
            }
        }
    }
}

/// Asks one address until nobody wants the answers any more.
async fn ask(
    at: Option<SocketAddr>,
    known: u64,
    settings: &Settings,
    limits: &Limits,
    events: &Sender<Event>,
    report: &RefCell<DiscoveryReport>,
) {
    let Some(at) = at else { return std::future::pending().await };
    let mut open: VecDeque<(u16, f64)> = VecDeque::new();
    let mut buffer = vec![0; limits.names_bytes];
    let mut socket = loop {
        match open_socket(at).await {
            Ok(socket) => break socket,
            Err(_) => tokio::time::sleep(limits.names_poll).await,
        }
    };
    // The one before it is listened to as well: an answer may be on its way.
    let mut former: Option<UdpSocket> = None;
    let mut unanswered = 0;
    // Hundreds of gateways ask one service: the pace is one that their sum can keep.
    let begun = Instant::now();
    let now = || begun.elapsed().as_secs_f64() * 1000.0;
    let rules = Rules { gateways: settings.gateways, rank: settings.rank, slowest: limits.names_slowest };
    let mut pace = ListPace::new(rules, settings.seed, 0.0);
    // Older than the list at the start is older than what is known. Where the pace is the rules', lists that come late are
    // usual, and a gateway that has just started must not fall silent over the first of them.
    let spares = limits.names_slowest > list::STEADY;
    let (mut newest, mut heard) = (if spares { known } else { 0 }, false);
    loop {
        let due = begun + Duration::from_secs_f64(pace.due() / 1000.0);
        tokio::select! {
            () = sleep_until(due) => {
                let id = fastrand::u16(..);
                open.push_back((id, report.borrow_mut().asked()));
                if open.len() > limits.names_open {
                    open.pop_front();
                }
                pace.asked(now());
                if unanswered >= limits.names_quiet {
                    // The service may be well, and this flow to it lost for good.
                    if let Ok(fresh) = open_socket(at).await {
                        tracing::info!("the list is asked for from a new socket, after {unanswered} questions without an answer");
                        former = Some(std::mem::replace(&mut socket, fresh));
                        unanswered = 0;
                    }
                }
                unanswered += 1;
                // A lost question is followed by the next one.
                tracing::trace!("list asked for");
                ask_once(&socket, &question(id)).await;
            }
            got = receive(&socket, former.as_ref(), &mut buffer) => {
                // A refused datagram shows up here; the next question tries again.
                let Ok(len) = got else { continue };
                let Some(answered) = read(&buffer[..len], settings) else {
                    let kind = match is_cut_short(&buffer[..len]) {
                        true => AnswerKind::Truncated,
                        false => AnswerKind::Unreadable,
                    };
                    report.borrow_mut().answered(kind, None);
                    log::seldom(match kind == AnswerKind::Truncated {
                        true => "an answer of the name service says that it is cut short; the list in use stays",
                        false => "an answer of the name service cannot be read; the list in use stays",
                    });
                    continue;
                };
                let asked = open.iter().position(|(id, _)| *id == answered.id);
                let Some((_, asked_at)) = asked.and_then(|at| open.remove(at)) else {
                    report.borrow_mut().answered(AnswerKind::UnknownQuestion, None);
                    continue;
                };
                let kind = AnswerKind::of_version(answered.serial, newest);
                report.borrow_mut().answered(kind, Some(asked_at));
                unanswered = 0;
                if answered.serial >= newest {
                    pace.answered(now());
                    // What a start knows is older than the service's word as a rule: the first is no change.
                    if heard && answered.serial > newest {
                        pace.changed(now());
                    }
                    (newest, heard) = (answered.serial, true);
                }
                if events.send(Event::List(answered.serial, answered.list)).await.is_err()
                {
                    return;
                }
            }
        }
    }
}

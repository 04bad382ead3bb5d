//! The platform's protocol: framed Thrift, strict binary. Heads are read in place, answers are gathered.

use crate::core::{Answer, ResultRows, Statement};
use crate::interface::{ClassId, Idempotency, RequestId, TenantId};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{close_orderly, CloseMode, ReadBuffer};
use crate::net::front::{count_of_answer, ClientConnection, FrontendState, ReceivedRequest, ResponseWriter};
use crate::net::log;
use starlingplank_admin::metrics::Count;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::net::TcpStream;
use winnow::binary::{be_i16, be_i32, be_u32, u8};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::token::take;

const VERSION: u32 = 0x8001_0000;
const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;
/// Deepest nesting of fields that are skipped.
const DEPTH: usize = 16;
const UNKNOWN_METHOD: i32 = 1;
const PROTOCOL_ERROR: i32 = 7;
/// No time, work or memory is more: weeks in milliseconds, petabytes in megabytes.
const MOST: f64 = 1e10;
/// The one value of `second` that marks a client's retry.
const MARKED: &str = "1";

/// A message, its parts still in the buffer.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// `call`: the fields and the statement.
    Call {
        /// Its number.
        seq: i32,
        /// Its fields.
        fields: BTreeMap<&'a str, &'a str>,
        /// The statement.
        body: &'a [u8],
    },
    /// `cancel` of the request with that number.
    Cancel(i32),
    /// `health`.
    Health(i32),
    /// A method that is not served, or arguments that can't be read.
    Unknown(i32, &'a [u8]),
}

type Res<T> = Result<T, EmptyError>;

/// Length of the first frame, its own four bytes included, once these are there.
pub fn frame_len(bytes: &[u8]) -> Option<usize> {
    let mut rest = bytes;
    let len: Res<u32> = be_u32.parse_next(&mut rest);
    len.ok().map(|n| n as usize + 4)
}

fn binary<'a>(i: &mut &'a [u8]) -> Res<&'a [u8]> {
    let len = be_i32.verify(|n: &i32| *n >= 0).parse_next(i)?;
    take(len as usize).parse_next(i)
}

fn text<'a>(i: &mut &'a [u8]) -> Res<&'a str> {
    binary.verify_map(|b| std::str::from_utf8(b).ok()).parse_next(i)
}

fn text_map<'a>(i: &mut &'a [u8]) -> Res<BTreeMap<&'a str, &'a str>> {
    let (key, value, len) = (u8, u8, be_i32).parse_next(i)?;
    let mut map = BTreeMap::new();
    if len == 0 {
        return Ok(map);
    }
    if len < 0 || key != STRING || value != STRING {
        return Err(EmptyError);
    }
    for _ in 0..len {
        let (name, value) = (text, text).parse_next(i)?;
        map.insert(name, value);
    }
    Ok(map)
}

/// Passes over a value of a field that this program does not know.
fn skip(i: &mut &[u8], kind: u8, depth: usize) -> Res<()> {
    if depth == 0 {
        return Err(EmptyError);
    }
    match kind {
        BOOL | 3 => take(1usize).void().parse_next(i),
        6 => take(2usize).void().parse_next(i),
        I32 => take(4usize).void().parse_next(i),
        4 | 10 => take(8usize).void().parse_next(i),
        STRING => binary.void().parse_next(i),
        STRUCT => loop {
            match u8.parse_next(i)? {
                0 => return Ok(()),
                kind => {
                    be_i16.void().parse_next(i)?;
                    skip(i, kind, depth - 1)?;
                }
            }
        },
        MAP => {
            let (key, value, len) = (u8, u8, be_i32).parse_next(i)?;
            for _ in 0..len {
                skip(i, key, depth - 1)?;
                skip(i, value, depth - 1)?;
            }
            Ok(())
        }
        14 | 15 => {
            let (kind, len) = (u8, be_i32).parse_next(i)?;
            (0..len).try_for_each(|_| skip(i, kind, depth - 1))
        }
        _ => Err(EmptyError),
    }
}

fn arguments<'a>(name: &[u8], seq: i32, i: &mut &'a [u8]) -> Res<Message<'a>> {
    let mut fields = BTreeMap::new();
    let mut body: &[u8] = &[];
    let mut target = None;
    loop {
        let kind = u8.parse_next(i)?;
        if kind == 0 {
            break;
        }
        let id = be_i16.parse_next(i)?;
        match (name, id, kind) {
            (b"call", 1, MAP) => fields = text_map.parse_next(i)?,
            (b"call", 2, STRING) => body = binary.parse_next(i)?,
            (b"cancel", 1, I32) => target = Some(be_i32.parse_next(i)?),
            _ => skip(i, kind, DEPTH)?,
        }
    }
    match name {
        b"call" => Ok(Message::Call { seq, fields, body }),
        b"cancel" => target.map(Message::Cancel).ok_or(EmptyError),
        _ => Ok(Message::Health(seq)),
    }
}

/// Reads the message in a frame, its length already taken off. None: it is no such message at all.
pub fn message(frame: &[u8]) -> Option<Message<'_>> {
    let mut i = frame;
    let head: Res<_> = (be_u32, binary, be_i32).parse_next(&mut i);
    let (version, name, seq) = head.ok()?;
    let kind = (version & 0xff) as u8;
    if version & 0xffff_0000 != VERSION || !matches!(kind, CALL | ONEWAY) {
        return None;
    }
    match name {
        b"call" | b"cancel" | b"health" => Some(match arguments(name, seq, &mut i) {
            Ok(message) => message,
            Err(EmptyError) if name == b"cancel" => return None,
            Err(EmptyError) => Message::Unknown(seq, name),
        }),
        _ => Some(Message::Unknown(seq, name)),
    }
}

fn head(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend((VERSION | u32::from(kind)).to_be_bytes());
    put(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out
}

fn put(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn field(out: &mut Vec<u8>, kind: u8, id: i16) {
    out.push(kind);
    out.extend(id.to_be_bytes());
}

fn put_map(out: &mut Vec<u8>, pairs: &[(&str, &str)]) {
    out.extend([STRING, STRING]);
    out.extend((pairs.len() as u32).to_be_bytes());
    for (name, value) in pairs {
        put(out, name.as_bytes());
        put(out, value.as_bytes());
    }
}

/// Fills in the frame's length.
fn frame(parts: Vec<Vec<u8>>) -> Frame {
    let mut parts = parts;
    let len: usize = parts.iter().map(Vec::len).sum::<usize>() - 4;
    parts[0][..4].copy_from_slice(&(len as u32).to_be_bytes());
    Frame::from_parts(parts)
}

/// An `Answer`: the result's parts go out as they came.
pub fn answer(method: &str, seq: i32, rows: ResultRows, good: bool) -> Frame {
    let mut out = head(REPLY, method, seq);
    field(&mut out, STRUCT, 0);
    field(&mut out, STRING, 1);
    out.extend((rows.parts.iter().map(Vec::len).sum::<usize>() as u32).to_be_bytes());
    let mut tail = Vec::new();
    field(&mut tail, MAP, 2);
    put_map(&mut tail, &[]);
    field(&mut tail, BOOL, 3);
    tail.extend([u8::from(good), 0, 0]);
    frame(std::iter::once(out).chain(rows.parts).chain([tail]).collect())
}

/// `Overloaded` (1) or `Internal` (2) with its fields.
fn thrown(seq: i32, which: i16, pairs: &[(&str, &str)]) -> Frame {
    let mut out = head(REPLY, "call", seq);
    field(&mut out, STRUCT, which);
    field(&mut out, MAP, 1);
    put_map(&mut out, pairs);
    out.extend([0, 0]);
    frame(vec![out])
}

/// Refused; back after so many milliseconds.
pub fn overloaded(seq: i32, later: f64) -> Frame {
    thrown(seq, 1, &[("later", &format!("{:.0}", later.max(0.0)))])
}

/// Failed.
pub fn internal(seq: i32, why: &str) -> Frame {
    thrown(seq, 2, &[("why", why)])
}

/// A method that is not served, or arguments that can't be read.
pub fn unknown(seq: i32, name: &[u8]) -> Frame {
    let name = String::from_utf8_lossy(name);
    let known = matches!(&*name, "call" | "health");
    let mut out = head(EXCEPTION, &name, seq);
    field(&mut out, STRING, 1);
    put(&mut out, if known { b"arguments that can't be read" } else { b"unknown method" });
    field(&mut out, I32, 2);
    out.extend((if known { PROTOCOL_ERROR } else { UNKNOWN_METHOD }).to_be_bytes());
    out.push(0);
    frame(vec![out])
}

struct Session {
    connection: Rc<ClientConnection>,
    limits: Rc<Limits>,
    open: RefCell<HashMap<i32, RequestId>>,
    /// Number of the last call, or of a question for health in its turn; 0: none yet.
    last: Cell<i32>,
}

struct Caller {
    session: Rc<Session>,
    seq: i32,
    class: ClassId,
}

impl ResponseWriter for Caller {
    // Answers of this protocol are whole: no statement of this front says that it takes parts.
    fn start(&self, _: ResultRows) {}
    fn send_chunk(&self, _: Vec<u8>) {}

    fn finish(self: Box<Self>, answer: Answer) {
        if self.session.open.borrow_mut().remove(&self.seq).is_some() {
            self.session.connection.request_closed();
        }
        let count = count_of_answer(&answer);
        let frame = match answer {
            Answer::Served(rows) => self::answer("call", self.seq, rows, true),
            Answer::Rejected(later) => overloaded(self.seq, later),
            Answer::Failed(_) | Answer::Cut | Answer::Finished => internal(self.seq, "failed"),
            Answer::Expired => internal(self.seq, "out of time"),
        };
        self.session.connection.send(frame.counted((self.class.0, count)), &self.session.limits);
    }
}

/// Serves one client until its connection ends; then nobody waits for what is open on it.
pub async fn serve(stream: TcpStream, connection: Rc<ClientConnection>, frontend: Rc<FrontendState>) {
    let limits = frontend.limits.clone();
    let session = Rc::new(Session {
        connection: connection.clone(),
        limits: limits.clone(),
        open: RefCell::default(),
        last: Cell::new(0),
    });
    let _ = stream.set_nodelay(true);
    let gone = tokio::select! {
        written = connection.write_queue.write_all(&stream, &limits) => written.is_err(),
        () = read(&stream, &session, &frontend) => connection.is_disconnected(),
    };
    let open: Vec<_> = session.open.borrow_mut().drain().collect();
    for (_, id) in open {
        frontend.withdraw(id).await;
    }
    match gone {
        true => connection.write_queue.close(CloseMode::Immediately),
        false => close_orderly(stream, &connection.write_queue, &limits).await,
    }
}

async fn read(stream: &TcpStream, session: &Rc<Session>, frontend: &Rc<FrontendState>) {
    let limits = &session.limits;
    let mut read_buffer = ReadBuffer::new(frontend.shared.clone());
    loop {
        while let Some(len) = frame_len(read_buffer.unread()) {
            if len > limits.max_message_bytes {
                return log::seldom("a client's frame is too long; the connection was closed");
            }
            let Some(frame) = read_buffer.unread().get(4..len) else { break };
            let Some(message) = message(frame) else {
                return log::seldom("a client's message cannot be read; the connection was closed");
            };
            if !take_message(message, session, frontend).await {
                return log::seldom(
                    "a client used a number out of turn, or a name twice; the connection was closed",
                );
            }
            read_buffer.consume(len);
        }
        if !session.connection.read(&mut read_buffer, stream, limits).await {
            return;
        }
    }
}

/// False: the client breaks the protocol, and nothing that is open on its connection can be told apart.
async fn take_message(message: Message<'_>, session: &Rc<Session>, frontend: &Rc<FrontendState>) -> bool {
    let say = |frame| session.connection.send(frame, &session.limits);
    match message {
        Message::Health(seq) => {
            let last = &session.last;
            last.set(if last.get().checked_add(1) == Some(seq) { seq } else { last.get() });
            let good = !frontend.reports_unhealthy() && !frontend.awaits_endpoint_list.get();
            say(answer("health", seq, ResultRows::default(), good));
        }
        Message::Unknown(seq, name) => say(unknown(seq, name)),
        Message::Cancel(seq) => {
            let id = session.open.borrow().get(&seq).copied();
            if let Some(id) = id {
                // It stays open until the reducer is told: the connection may end while this waits.
                frontend.withdraw(id).await;
                if session.open.borrow_mut().remove(&seq).is_some() {
                    session.connection.request_closed();
                }
            }
        }
        Message::Call { seq, fields, body } => {
            // Numbers start at 1 and count up on each connection. Who begins elsewhere is no client in order: what it
            // asks is nobody's request, earns no further attempts, and must not spend those of others.
            if seq <= session.last.get() || session.last.get() == 0 && seq != 1 {
                return false;
            }
            session.last.set(seq);
            if session.open.borrow().len() >= session.limits.max_open_per_connection {
                let frame = overloaded(seq, frontend.settings.max_retry_after);
                say(counted(frame, class_of(&fields, frontend), Count::Deferred));
                return true;
            }
            let named = fields.get("txn").and_then(|txn| frontend.open_request_named(txn));
            if named.is_some_and(|id| session.open.borrow().values().any(|open| *open == id)) {
                return false;
            }
            match asked(&fields, body, session, frontend) {
                Ok(asked) if named.is_some() => {
                    let frame = internal(seq, "txn is that of another open request");
                    say(counted(frame, Some(asked.class), Count::Errored));
                }
                Ok(asked) => {
                    let id = frontend.allocate_request_id();
                    session.open.borrow_mut().insert(seq, id);
                    session.connection.request_opened();
                    let class = asked.class;
                    frontend
                        .submit(id, Box::new(Caller { session: session.clone(), seq, class }), asked)
                        .await;
                }
                Err(why) => say(counted(internal(seq, why), class_of(&fields, frontend), Count::Errored)),
            }
        }
    }
    true
}

/// A refusal or a failure that this front words itself, counted where its class can be told.
fn counted(frame: Frame, class: Option<ClassId>, count: Count) -> Frame {
    match class {
        Some(class) => frame.counted((class.0, count)),
        None => frame,
    }
}

fn class_of(fields: &BTreeMap<&str, &str>, frontend: &FrontendState) -> Option<ClassId> {
    let verb = fields.get("verb")?;
    frontend.settings.classes.iter().position(|c| c.name == *verb).map(ClassId)
}

fn asked(
    fields: &BTreeMap<&str, &str>,
    body: &[u8],
    session: &Session,
    frontend: &FrontendState,
) -> Result<ReceivedRequest, &'static str> {
    let arrived = frontend.arrival_time(&session.connection);
    // A figure that is none, or past all sense, makes the request unfit: what it would do is not what was asked.
    let number = |name: &str| match fields.get(name).map(|v| v.parse::<f64>()) {
        None => Ok(None),
        Some(Ok(v)) if (0.0..=MOST).contains(&v) => Ok(Some(v)),
        Some(_) => Err("a figure cannot be used"),
    };
    let verb = *fields.get("verb").ok_or("verb is missing")?;
    let class = class_of(fields, frontend).ok_or("verb is no class")?.0;
    let txn = *fields.get("txn").ok_or("txn is missing")?;
    // What goes on into an engine's field must not end that field.
    let plain =
        |text: &str| (1..=256).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphanumeric());
    let keyed = matches!(frontend.settings.classes[class].idempotency, Idempotency::Keyed { .. });
    let key = fields.get("unique").copied().filter(|_| keyed);
    if !plain(txn) || keyed && !key.is_some_and(plain) {
        return Err("txn or unique is missing or cannot be used");
    }
    let client_timeout = frontend.settings.classes[class].client_timeout;
    let limit = number("limit")?.ok_or("limit is missing")?;
    if limit > 10.0 * client_timeout {
        return Err("limit is longer than any request of its class may take");
    }
    // One that the settings do not name has no share that it could be held to.
    let team = fields.get("team");
    let tenant = team.and_then(|t| frontend.settings.tenants.iter().position(|tenant| tenant.name == *t));
    Ok(ReceivedRequest {
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        arrived,
        limit,
        work: number("cpu")?,
        memory_mb: number("mem")?,
        // Any other value marks nothing: a mark is a hint, and the request is as good without it.
        is_retry: fields.get("second").is_some_and(|mark| *mark == MARKED),
        statement: Statement {
            name: txn.to_owned(),
            class: verb.to_owned(),
            text: body.to_vec(),
            key: key.map(str::to_owned),
            ..Statement::default()
        },
    })
}

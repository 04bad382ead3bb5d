//! Engines that speak the ClickHouse HTTP interface: one attempt at a time on a connection, which is used again.
//! An attempt given up ends its connection, as that is how such an engine hears of it.

use crate::core::{AttemptEnd, AttemptId, EngineError, Event, FlowControl, ResultRows, Send};
use crate::interface::{EngineId, Milliseconds, Outcome};
use crate::limits::Limits;
use crate::net::connection::frame::{Frame, Segment};
use crate::net::connection::{CloseMode, ReadBuffer, SharedState, WriteQueue};
use crate::net::engine::connect::{connect, ConnectError};
use crate::net::engine::Engines;
use crate::net::http::{self, Length, Read};
use crate::net::log;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The engine turned the query away before it ran.
const TOO_MANY_SIMULTANEOUS_QUERIES: u32 = 202;

/// The shortest time that is told, in seconds.
const LEAST_EXECUTION_TIME: f64 = 0.001;
/// By how much the time that is told may be rounded up to a whole second.
const ROUNDED_UP_AT_MOST: f64 = 0.05;

#[derive(Clone)]
enum Job {
    Attempt(AttemptId, Option<Rc<dyn FlowControl>>),
    Probe(u64),
}

struct Conn {
    address: SocketAddr,
    out: WriteQueue,
    job: RefCell<Option<Job>>,
    wake: Notify,
    dead: Cell<bool>,
    retired: Cell<bool>,
    used: Cell<Instant>,
}

impl Conn {
    fn free(&self) -> bool {
        self.job.borrow().is_none() && !self.dead.get() && !self.retired.get() && !self.out.is_closing()
    }

    fn holds(&self, id: AttemptId) -> bool {
        matches!(&*self.job.borrow(), Some(Job::Attempt(held, _)) if *held == id)
    }
}

/// All connections to engines of this kind.
pub struct HttpEngines {
    pools: BTreeMap<EngineId, Vec<Rc<Conn>>>,
    limits: Rc<Limits>,
    shared: Rc<SharedState>,
    events: Sender<Event>,
}

impl HttpEngines {
    /// No connection yet.
    pub fn new(limits: Rc<Limits>, shared: Rc<SharedState>, events: Sender<Event>) -> Self {
        Self { pools: BTreeMap::new(), limits, shared, events }
    }

    fn start(&mut self, engine: &EngineId, address: SocketAddr, job: Job, frame: Frame) -> bool {
        let pool = self.pools.entry(engine.clone()).or_default();
        pool.iter().filter(|c| c.address != address).for_each(|c| c.retired.set(true));
        let free = pool.iter().filter(|c| c.free()).max_by_key(|c| c.used.get()).cloned();
        let open = |p: &Vec<Rc<Conn>>| p.iter().filter(|c| !c.dead.get()).count();
        if free.is_none()
            && self.pools.values().map(open).sum::<usize>()
                >= self.shared.process_share(self.limits.max_engine_connections)
        {
            return false;
        }
        let conn = free.unwrap_or_else(|| {
            let conn = Rc::new(Conn {
                address,
                out: WriteQueue::new(self.shared.clone()),
                job: RefCell::default(),
                wake: Notify::new(),
                dead: Cell::new(false),
                retired: Cell::new(false),
                used: Cell::new(Instant::now()),
            });
            self.pools.entry(engine.clone()).or_default().push(conn.clone());
            tokio::task::spawn_local(run(conn.clone(), self.limits.clone(), self.events.clone()));
            conn
        });
        *conn.job.borrow_mut() = Some(job);
        conn.used.set(Instant::now());
        conn.out.push(frame, &self.limits);
        conn.wake.notify_one();
        true
    }

    fn holder(&self, id: AttemptId) -> Option<&Rc<Conn>> {
        self.pools.values().flatten().find(|c| c.holds(id))
    }
}

impl Engines for HttpEngines {
    fn send(&mut self, send: Send, events: &mut Vec<Event>) {
        let job = Job::Attempt(send.id, send.statement.flow.clone());
        let (id, engine, address) = (send.id, send.engine.clone(), send.address);
        if !self.start(&engine, address, job, Frame::for_attempt(send, encode_request)) {
            log::seldom_error("no connection is left for an attempt on an engine", &engine.0);
            events.push(Event::AttemptEnded(id, AttemptEnd::plain(Outcome::NotExecuted)));
        }
    }

    fn abort_attempt(&mut self, id: AttemptId, _: bool) {
        let Some(conn) = self.holder(id) else { return };
        *conn.job.borrow_mut() = None;
        if !conn.out.withdraw(id) {
            conn.out.close(CloseMode::Immediately);
        }
    }

    // The interface has no way to change what already runs.
    fn hurry(&mut self, _: AttemptId, _: u8) {}

    fn probe(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>) {
        let frame = Frame::plain(format!("GET /ping HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes());
        if !self.start(engine, address, Job::Probe(tag), frame) {
            events.push(Event::HealthChecked(tag, false, None));
        }
    }

    fn shut(&mut self, engine: &EngineId, events: &mut Vec<Event>) {
        for conn in self.pools.get(engine).into_iter().flatten() {
            conn.retired.set(true);
            for id in conn.out.unsent_attempts() {
                if conn.out.withdraw(id) {
                    *conn.job.borrow_mut() = None;
                    events.push(Event::AttemptEnded(id, AttemptEnd::plain(Outcome::NotExecuted)));
                }
            }
        }
    }

    fn maintain(&mut self, _: &mut Vec<Event>) {
        // A probe that nobody answers would keep its connection for ever.
        let probes = |c: &Conn| matches!(&*c.job.borrow(), Some(Job::Probe(_)));
        for conn in self.pools.values().flatten().filter(|c| probes(c)) {
            if conn.used.get().elapsed() >= self.limits.health_check_connection_timeout {
                conn.out.close(CloseMode::Immediately);
            }
        }
        for pool in self.pools.values_mut() {
            for conn in pool.iter().filter(|c| !c.dead.get() && c.job.borrow().is_none()) {
                if conn.retired.get() || conn.used.get().elapsed() >= self.limits.engine_idle_timeout {
                    conn.retired.set(true);
                    conn.out.close(CloseMode::AfterWrite);
                }
            }
            pool.retain(|c| !c.dead.get());
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }
}

/// The request of an attempt: terms and key as the interface's own settings, credentials as headers.
fn encode_request(send: &Send) -> Vec<Segment> {
    let s = &send.statement;
    // A second attempt must not meet the name of the first where that may run still.
    let name = if send.id.1 == 0 { s.name.clone() } else { format!("{}-{}", s.name, send.id.1) };
    let mut target = format!("/?query_id={}", http::encode(&name));
    let _ = write!(target, "&max_execution_time={}", execution_time(send.budget));
    // 0 is no priority at all, 1 the highest.
    let _ = write!(target, "&priority={}", 4 - send.priority.min(3));
    target += "&cancel_http_readonly_queries_on_client_close=1";
    if send.memory_mb >= 1.0 {
        // Past the grant a query spills to disk.
        let bytes = send.memory_mb.round() as u64 * 1024 * 1024;
        let _ = write!(target, "&max_bytes_before_external_group_by={bytes}");
        let _ = write!(target, "&max_bytes_before_external_sort={bytes}");
    }
    if let Some(key) = &s.key {
        let _ = write!(target, "&insert_deduplication_token={}", http::encode(key));
    }
    let mut headers = String::new();
    for (name, value) in &s.params {
        let header = match name.as_str() {
            "user" => Some("X-ClickHouse-User"),
            "password" => Some("X-ClickHouse-Key"),
            "database" => Some("X-ClickHouse-Database"),
            "Authorization" => Some("Authorization"),
            _ => None,
        };
        // A line end in a value would be a header of the client's making.
        match header.filter(|_| !value.contains(char::is_control)) {
            Some(header) => {
                let _ = write!(headers, "{header}: {value}\r\n");
            }
            None => {
                let _ = write!(target, "&{}={}", http::encode(name), http::encode(value));
            }
        }
    }
    let body = if s.data.is_empty() {
        Segment::StatementText(s.clone())
    } else {
        let _ = write!(target, "&query={}", http::encode(&String::from_utf8_lossy(&s.text)));
        Segment::StatementData(s.clone())
    };
    let length = if s.data.is_empty() { s.text.len() } else { s.data.len() };
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {}\r\n{headers}Content-Length: {length}\r\n\r\n",
        send.address
    );
    vec![Segment::Owned(head.into_bytes()), body]
}

/// The time that is left, in seconds: whole ones where the next is close, else with milliseconds, as more than what the
/// client has left may not be told. 0 would stand for no limit.
fn execution_time(budget: Milliseconds) -> String {
    let seconds = (budget / 1000.0).max(LEAST_EXECUTION_TIME);
    if seconds.ceil() - seconds <= ROUNDED_UP_AT_MOST {
        return format!("{:.0}", seconds.ceil());
    }
    format!("{seconds:.3}")
}

async fn run(conn: Rc<Conn>, limits: Rc<Limits>, events: Sender<Event>) {
    let stream = tokio::select! {
        stream = connect(conn.address, &limits) => stream,
        () = conn.out.closed_immediately() => Err(ConnectError::GivenUp),
    };
    if let Ok(stream) = &stream {
        let _ = stream.set_nodelay(true);
        tokio::select! {
            ended = conn.out.write_all(stream, &limits) => drop(ended),
            _ = read(&conn, stream, &limits, &events) => {}
            () = drop_overdue(&conn, &events) => {}
        }
    }
    conn.dead.set(true);
    let unsent = conn.out.unsent_attempts();
    conn.out.close(CloseMode::Immediately);
    let job = conn.job.borrow_mut().take();
    let event = match job {
        None => return,
        Some(Job::Probe(tag)) => Event::HealthChecked(tag, false, None),
        Some(Job::Attempt(id, _)) => {
            let outcome = match &stream {
                Err(e) => e.outcome(),
                Ok(_) if unsent.contains(&id) => Outcome::NotExecuted,
                Ok(_) => Outcome::Reset,
            };
            Event::AttemptEnded(id, AttemptEnd::plain(outcome))
        }
    };
    let _ = events.send(event).await;
}

/// Tells of attempts that could not leave in time.
async fn drop_overdue(conn: &Conn, events: &Sender<Event>) {
    loop {
        let id = conn.out.next_expired_attempt().await;
        if conn.holds(id) {
            let _ = events.send(Event::AttemptEnded(id, AttemptEnd::plain(Outcome::NotExecuted))).await;
            *conn.job.borrow_mut() = None;
        }
    }
}

/// Reads answers until the connection is of no more use. None ends it.
async fn read(conn: &Conn, stream: &TcpStream, limits: &Limits, events: &Sender<Event>) -> Option<()> {
    let mut read_buffer = ReadBuffer::new(conn.out.shared());
    loop {
        while conn.job.borrow().is_none() {
            tokio::select! {
                () = conn.wake.notified() => {}
                // The engine closed an idle connection, or says what nobody asked.
                _ = read_buffer.fill(stream, limits) => return None,
            }
        }
        let keep = answer(conn, &mut read_buffer, stream, limits, events).await?;
        conn.used.set(Instant::now());
        if !keep {
            return None;
        }
    }
}

async fn fill(read_buffer: &mut ReadBuffer, stream: &TcpStream, limits: &Limits) -> Option<()> {
    read_buffer.fill(stream, limits).await.ok().filter(|more| *more).map(|_| ())
}

/// Reads one answer and tells what became of the attempt. The job is looked up anew each time: an attempt may
/// be given up at any point.
async fn answer(
    conn: &Conn,
    read_buffer: &mut ReadBuffer,
    stream: &TcpStream,
    limits: &Limits,
    events: &Sender<Event>,
) -> Option<bool> {
    let (status, headers, length, keep) = loop {
        match http::read_head(read_buffer.unread()) {
            Read::Done(head, used) => {
                let status = http::status(&head)?;
                let own = |n: &str| n.len() > 13 && n[..13].eq_ignore_ascii_case("x-clickhouse-");
                let kept =
                    head.headers.iter().filter(|(n, _)| own(n) || n.eq_ignore_ascii_case("content-type"));
                let headers: Vec<_> = kept.map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
                let all = (status, headers, head.body(Length::Stream)?, head.keeps(head.first));
                read_buffer.consume(used);
                if status != 100 {
                    break all;
                }
            }
            Read::Bad => return None,
            Read::More if read_buffer.unread().len() > limits.max_head_bytes => return None,
            Read::More => fill(read_buffer, stream, limits).await?,
        }
    };
    let mut rows = ResultRows { parts: Vec::new(), headers };
    let (mut bytes, mut begun, mut left) = (0, false, length);
    loop {
        let part = match left {
            Length::Bytes(0) => break,
            Length::Bytes(n) => {
                let part = read_buffer.unread()[..read_buffer.unread().len().min(n)].to_vec();
                read_buffer.consume(part.len());
                left = Length::Bytes(n - part.len());
                part
            }
            Length::Stream => {
                let part = read_buffer.unread().to_vec();
                read_buffer.consume(part.len());
                part
            }
            Length::Chunked => match http::read_chunk(read_buffer.unread(), 4 * limits.max_message_bytes) {
                Read::Done([], used) => {
                    read_buffer.consume(used);
                    break;
                }
                Read::Done(chunk, used) => {
                    let part = chunk.to_vec();
                    read_buffer.consume(used);
                    part
                }
                Read::Bad => return None,
                Read::More => Vec::new(),
            },
        };
        if part.is_empty() {
            match fill(read_buffer, stream, limits).await {
                Some(()) => continue,
                // Without a length, the end of the stream is the end of the body, whole or not.
                None if left == Length::Stream && status != 200 => break,
                None => return None,
            }
        }
        bytes += part.len();
        let job = conn.job.borrow().clone()?;
        if let (Job::Attempt(_, Some(flow)), true) = (&job, begun) {
            // The engine is read no faster than the client reads.
            flow.room(limits.max_result_bytes).await;
        }
        let place = events.reserve().await.ok()?;
        let job = conn.job.borrow().clone()?;
        match job {
            Job::Attempt(id, Some(_)) if begun => {
                place.send(Event::ResponseChunk(id, part));
            }
            Job::Attempt(id, flow) => {
                rows.parts.push(part);
                if status == 200 && bytes > limits.max_result_bytes && flow.is_some() {
                    begun = true;
                    place.send(Event::ResponseStarted(id, std::mem::take(&mut rows)));
                } else if bytes > limits.max_message_bytes {
                    log::seldom("a result that is too large cannot be passed on whole");
                    conn.job.borrow_mut().take();
                    place.send(Event::AttemptEnded(id, AttemptEnd::plain(Outcome::Error)));
                    return None;
                }
            }
            Job::Probe(_) => {}
        }
    }
    // The place of its event is there before the job is over: this future may be dropped while it waits.
    let place = events.reserve().await.ok()?;
    let job = conn.job.borrow_mut().take()?;
    place.send(match job {
        Job::Probe(tag) => Event::HealthChecked(tag, status == 200, None),
        Job::Attempt(id, _) => Event::AttemptEnded(id, end(status, rows)),
    });
    Some(keep)
}

fn end(status: u16, rows: ResultRows) -> AttemptEnd {
    let code = rows.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("x-clickhouse-exception-code"));
    let code = code.and_then(|(_, v)| v.parse().ok());
    if status == 200 && code.is_none() {
        return AttemptEnd { rows, ..AttemptEnd::plain(Outcome::Ok) };
    }
    let outcome = match (status, code) {
        (_, Some(TOO_MANY_SIMULTANEOUS_QUERIES)) => Outcome::Full,
        // The statement's own fault: the engine did its part, and another would say the same.
        (400..=404 | 413 | 422, _) => Outcome::Ok,
        _ => Outcome::Error,
    };
    let error = EngineError { status, code: code.unwrap_or(0), text: rows.parts.concat() };
    AttemptEnd { error: Some(error), ..AttemptEnd::plain(outcome) }
}

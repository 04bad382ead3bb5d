//! A client of the platform's protocol: framed Thrift, many requests on one connection, answers in any order.

use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot;

/// Bytes of one answer at most.
const MOST: usize = 1 << 20;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// Its rows came.
    Served,
    /// Turned away, best to come back after so many milliseconds.
    Refused(f64),
    /// Failed.
    Failed,
    /// The connection ended first.
    Lost,
}

/// Who waits, until the connection ends.
type Waiting = std::rc::Rc<std::cell::RefCell<Option<HashMap<i32, oneshot::Sender<Answer>>>>>;

/// One connection.
pub struct Client {
    out: UnboundedSender<Vec<u8>>,
    waiting: Waiting,
    next: i32,
}

fn text(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

/// A `call` in the strict binary protocol, framed.
pub fn call(seq: i32, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, 1];
    text(&mut out, b"call");
    out.extend(seq.to_be_bytes());
    out.extend([13, 0, 1, 11, 11]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        text(&mut out, name.as_bytes());
        text(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    text(&mut out, body.as_bytes());
    out.push(0);
    [&(out.len() as u32).to_be_bytes()[..], &out].concat()
}

/// Number and end of an answer.
pub fn read(frame: &[u8]) -> Option<(i32, Answer)> {
    let name = u32::from_be_bytes(frame.get(4..8)?.try_into().ok()?) as usize;
    let rest = frame.get(8 + name..)?;
    let seq = i32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let answer = match (frame[3], rest.get(6)?) {
        (2, 0) => Answer::Served,
        (2, 1) => {
            let words = String::from_utf8_lossy(rest);
            let later = words.split_once("later").map_or("", |(_, l)| l);
            let digits = later.trim_start_matches(|c: char| !c.is_ascii_digit());
            let end = digits.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(digits.len());
            Answer::Refused(digits[..end].parse().unwrap_or(0.0))
        }
        _ => Answer::Failed,
    };
    Some((seq, answer))
}

impl Client {
    /// Connects. It runs on the current local set.
    ///
    /// # Errors
    /// Nobody listens.
    pub async fn connect(at: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let (out, mut asked) = unbounded_channel::<Vec<u8>>();
        let waiting = Waiting::new(Some(HashMap::new()).into());
        tokio::task::spawn_local(async move {
            while let Some(bytes) = asked.recv().await {
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        tokio::task::spawn_local(answers(reader, waiting.clone()));
        Ok(Self { out, waiting, next: 0 })
    }

    /// Requests without an answer.
    pub fn open(&self) -> usize {
        self.waiting.borrow().as_ref().map_or(0, HashMap::len)
    }

    /// Whether the other side has ended the connection.
    pub fn ended(&self) -> bool {
        self.waiting.borrow().is_none()
    }

    /// Asks; the answer comes through the receiver.
    pub fn ask(&mut self, fields: &[(&str, &str)], body: &str) -> oneshot::Receiver<Answer> {
        self.next += 1;
        let (tell, told) = oneshot::channel();
        // Where the connection has ended, nobody tells: that is the answer.
        if let Some(waiting) = self.waiting.borrow_mut().as_mut() {
            waiting.insert(self.next, tell);
            let _ = self.out.send(call(self.next, fields, body));
        }
        told
    }
}

async fn answers(mut reader: OwnedReadHalf, waiting: Waiting) {
    loop {
        let mut len = [0; 4];
        if reader.read_exact(&mut len).await.is_err() {
            break;
        }
        let len = u32::from_be_bytes(len) as usize;
        let mut frame = vec![0; len.min(MOST)];
        if len > MOST || reader.read_exact(&mut frame).await.is_err() {
            break;
        }
        let Some((seq, answer)) = read(&frame) else { break };
        let tell = waiting.borrow_mut().as_mut().and_then(|w| w.remove(&seq));
        if let Some(tell) = tell {
            let _ = tell.send(answer);
        }
    }
    for (_, tell) in waiting.borrow_mut().take().into_iter().flatten() {
        let _ = tell.send(Answer::Lost);
    }
}

/// What a [`Caller`] speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speaks {
    /// The platform's protocol, to a gateway.
    Thrift,
    /// The platform's commands, to an engine.
    Resp,
    /// The ClickHouse HTTP interface, to either.
    Http,
}

/// A client in a closed loop: one connection, one query after the other.
pub struct Caller {
    stream: TcpStream,
    speaks: Speaks,
    seq: i32,
    bytes: Vec<u8>,
}

impl Caller {
    /// Connects.
    ///
    /// # Errors
    /// Nobody listens.
    pub async fn connect(at: SocketAddr, speaks: Speaks) -> std::io::Result<Self> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, speaks, seq: 0, bytes: Vec::new() })
    }

    /// Asks under that name and waits for the answer.
    ///
    /// # Errors
    /// The connection ends.
    pub async fn query(&mut self, name: &str, work: f64) -> std::io::Result<Answer> {
        self.seq += 1;
        let body = format!("select 1 /* work={work} usual={work} threads=1 */");
        let asked = match self.speaks {
            Speaks::Thrift => call(self.seq, &[("verb", "lookup"), ("txn", name), ("limit", "6000")], &body),
            Speaks::Resp => {
                let parts = ["want", name, "queue=lookup,budget=6000", &body];
                let bulk = |p: &&str| format!("${}\r\n{p}\r\n", p.len());
                format!("*4\r\n{}", parts.iter().map(bulk).collect::<String>()).into_bytes()
            }
            Speaks::Http => format!(
                "POST /?query_id={name} HTTP/1.1\r\nHost: l\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes(),
        };
        self.stream.write_all(&asked).await?;
        loop {
            if let Some((answer, used)) = self.answered() {
                self.bytes.drain(..used);
                return Ok(answer);
            }
            if self.stream.read_buf(&mut self.bytes).await? == 0 || self.bytes.len() > MOST {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// A whole answer, if one is there.
    fn answered(&self) -> Option<(Answer, usize)> {
        match self.speaks {
            Speaks::Thrift => {
                let len = u32::from_be_bytes(self.bytes.get(..4)?.try_into().ok()?) as usize;
                let frame = self.bytes.get(4..4 + len)?;
                Some((read(frame).map_or(Answer::Failed, |(_, answer)| answer), 4 + len))
            }
            Speaks::Resp => {
                // Answers of the stand-in are four parts, the second the word.
                let text = std::str::from_utf8(&self.bytes).ok()?;
                let mut at = text.find("\r\n")? + 2;
                let mut word = "";
                for n in 0..4 {
                    let rest = text.get(at..)?;
                    let end = rest.find("\r\n")?;
                    let len: usize = rest.get(1..end)?.parse().ok()?;
                    let part = rest.get(end + 2..end + 2 + len)?;
                    word = if n == 1 { part } else { word };
                    at += end + 4 + len;
                }
                (self.bytes.len() >= at)
                    .then_some((if word == "served" { Answer::Served } else { Answer::Failed }, at))
            }
            Speaks::Http => {
                let head = self.bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
                let text = std::str::from_utf8(&self.bytes[..head]).ok()?;
                let length = text.lines().find_map(|l| {
                    let (name, value) = l.split_once(':')?;
                    name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
                });
                let end = head + 4 + length?;
                let answer = match text.split(' ').nth(1) {
                    Some("200") => Answer::Served,
                    Some("503") => Answer::Refused(0.0),
                    _ => Answer::Failed,
                };
                (self.bytes.len() >= end).then_some((answer, end))
            }
        }
    }
}

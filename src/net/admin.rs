//! The second address: where staff call. One call on each connection, answered beside the queue that requests wait in.

use crate::limits::Limits;
use crate::net::connection::{ReadBuffer, SharedState, SocketRetry};
use crate::net::http::{self, Length, Read};
use crate::net::log;
use crate::net::transient_errors::Backoff;
use starlingplank_admin::calls::{self, Call, Reply};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// A call, and where its answer goes.
pub type Asked = (Call, oneshot::Sender<Reply>);

/// Takes calls, and tells how many callers there are. Callers are few at a time: where there are more, the one that has been unfinished longest gives way,
/// so that callers who say nothing keep out nobody.
pub async fn listen(
    listener: TcpListener,
    limits: Rc<Limits>,
    shared: Rc<SharedState>,
    calls: mpsc::Sender<Asked>,
    served: Rc<Cell<usize>>,
) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    let mut backoff = Backoff::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => {
                backoff.reset();
                stream
            }
            // Out of descriptors: who holds one longest gives it up.
            Err(e) => {
                log::seldom_error("an operator's connection cannot be accepted", &e);
                let wait = backoff.wait_to_accept(&e);
                if !wait.is_zero() {
                    callers.pop_front().into_iter().for_each(|c| c.abort());
                }
                tokio::time::sleep(wait).await;
                continue;
            }
        };
        callers.retain(|c| !c.is_finished());
        while callers.len() >= limits.max_admin_connections {
            let Some(caller) = callers.pop_front() else { break };
            caller.abort();
            // Its descriptor is free before the next one is taken.
            let _ = caller.await;
        }
        let (limits, shared, calls) = (limits.clone(), shared.clone(), calls.clone());
        let one = One::of(&served);
        callers.push_back(tokio::task::spawn_local(async move {
            serve(stream, limits, shared, calls).await;
            drop(one);
        }));
    }
}

/// One caller more, until it is dropped.
struct One(Rc<Cell<usize>>);

impl One {
    fn of(all: &Rc<Cell<usize>>) -> Self {
        all.set(all.get() + 1);
        Self(all.clone())
    }
}

impl Drop for One {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve(
    mut stream: TcpStream,
    limits: Rc<Limits>,
    shared: Rc<SharedState>,
    calls: mpsc::Sender<Asked>,
) {
    let mut read_buffer = ReadBuffer::new(shared);
    let until = Instant::now() + limits.admin_call_timeout;
    let read = match timeout_at(until, read(&stream, &mut read_buffer, &limits)).await {
        Ok(None) => return,
        Ok(Some(read)) => read,
        Err(_) => Err(Reply::line(408, "the call did not come whole in time")),
    };
    let whole = read.is_ok();
    let reply = match read {
        Err(reply) => reply,
        Ok(call) => {
            let (to, answer) = oneshot::channel();
            let asked = calls.send((call, to)).await.is_ok();
            match (asked, answer.await) {
                (true, Ok(reply)) => reply,
                _ => Reply::line(503, "this process is ending"),
            }
        }
    };
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain; charset=UTF-8\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        reply.status,
        reply.reason(),
        reply.text.len()
    );
    let said = write_whole(&mut stream, &[head.as_bytes(), reply.text.as_bytes()].concat()).await;
    if said.is_err() || stream.shutdown().await.is_err() || whole {
        return;
    }
    // What still comes of a call that was turned away is read and dropped: closed with bytes unread, the connection
    // would be reset, and the answer perhaps never read.
    let rest = async {
        read_buffer.consume(read_buffer.unread().len());
        while matches!(read_buffer.fill(&stream, &limits).await, Ok(true)) {
            read_buffer.consume(read_buffer.unread().len());
        }
    };
    let _ = timeout(limits.admin_discard_timeout, rest).await;
}

/// Writes all bytes; a call that was interrupted is made again.
async fn write_whole(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if SocketRetry::after(&e).is_some() => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads one call. None: the caller has gone.
async fn read(
    stream: &TcpStream,
    read_buffer: &mut ReadBuffer,
    limits: &Limits,
) -> Option<Result<Call, Reply>> {
    let bad = |status, text: &str| Some(Err(Reply::line(status, text)));
    loop {
        match http::read_head(read_buffer.unread()) {
            Read::Done(head, used) => {
                if !matches!(head.third, "HTTP/1.1" | "HTTP/1.0") {
                    return bad(400, "the version must be HTTP/1.1");
                }
                let (path, _) = http::target(head.second);
                let length = match head.body(Length::Bytes(0)) {
                    Some(Length::Bytes(length)) => length,
                    Some(_) => return bad(411, "the body must have a Content-Length; chunks are not taken"),
                    None => return bad(400, "the length of the body is not clear"),
                };
                // A wrong path or method is told at once, whatever body follows.
                let call = |body: &[u8]| calls::read(head.first, &path, body);
                if length > calls::BODY {
                    let wrong = call(b"-").err();
                    return Some(Err(
                        wrong.unwrap_or_else(|| Reply::line(413, "the body is longer than any id"))
                    ));
                }
                if let Some(body) = read_buffer.unread().get(used..used + length) {
                    return Some(call(body));
                }
            }
            Read::Bad => return bad(400, "the call cannot be read as HTTP/1.1"),
            Read::More if read_buffer.unread().len() > limits.max_head_bytes => {
                return bad(431, "the head of the call is too long");
            }
            Read::More => {}
        }
        if !matches!(read_buffer.fill(stream, limits).await, Ok(true)) {
            return None;
        }
    }
}

//! A client of the platform's protocol that multiplexes requests on one connection and accepts answers in any order.

use crate::thrift::{encode_call, parse_reply, Answer};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot;

/// Maximum number of bytes of one answer.
pub(crate) const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Requests that await an answer, by sequence number; `None` once the connection has ended.
type Pending = Rc<RefCell<Option<HashMap<i32, oneshot::Sender<Answer>>>>>;

/// A client with one connection, which is closed when the client is dropped.
pub struct Client {
    messages: UnboundedSender<Vec<u8>>,
    pending: Pending,
    last_sequence: i32,
}

impl Client {
    /// Connects to a gateway. The tasks of the client run on the current local set.
    ///
    /// # Errors
    /// The connection could not be opened.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let (messages, mut queue) = unbounded_channel::<Vec<u8>>();
        let pending = Pending::new(Some(HashMap::new()).into());
        tokio::task::spawn_local(async move {
            while let Some(bytes) = queue.recv().await {
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        tokio::task::spawn_local(receive_answers(reader, pending.clone()));
        Ok(Self { messages, pending, last_sequence: 0 })
    }

    /// Returns the number of requests that await an answer.
    pub fn pending_count(&self) -> usize {
        self.pending.borrow().as_ref().map_or(0, HashMap::len)
    }

    /// Returns whether the connection has ended.
    pub fn has_ended(&self) -> bool {
        self.pending.borrow().is_none()
    }

    /// Sends a request. The receiver receives its answer, or is closed if the connection had ended before the request.
    pub fn send(&mut self, fields: &[(&str, &str)], statement: &str) -> oneshot::Receiver<Answer> {
        self.last_sequence += 1;
        let (sender, receiver) = oneshot::channel();
        if let Some(pending) = self.pending.borrow_mut().as_mut() {
            pending.insert(self.last_sequence, sender);
            let _ = self.messages.send(encode_call(self.last_sequence, fields, statement));
        }
        receiver
    }
}

/// Receives answers until the connection ends, and then reports all pending requests as lost.
async fn receive_answers(mut reader: OwnedReadHalf, pending: Pending) {
    while let Some(frame) = receive_frame(&mut reader).await {
        let Some(reply) = parse_reply(&frame) else { break };
        let sender = pending.borrow_mut().as_mut().and_then(|pending| pending.remove(&reply.sequence));
        if let Some(sender) = sender {
            let _ = sender.send(reply.answer);
        }
    }
    for (_, sender) in pending.borrow_mut().take().into_iter().flatten() {
        let _ = sender.send(Answer::Lost);
    }
}

/// Receives the next frame. Returns `None` if the connection has ended or the frame is too long.
async fn receive_frame(reader: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_ANSWER_BYTES {
        return None;
    }
    let mut frame = vec![0; length];
    reader.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

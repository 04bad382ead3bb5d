//! A client of the platform's protocol: many requests on one connection, with answers in any order.

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

/// The bytes of one answer.
pub(crate) const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The requests without an answer, by sequence number; none once the connection has ended.
type Pending = Rc<RefCell<Option<HashMap<i32, oneshot::Sender<Answer>>>>>;

/// One connection. It is closed when the client is dropped.
pub struct Client {
    messages: UnboundedSender<Vec<u8>>,
    pending: Pending,
    last_sequence: i32,
}

impl Client {
    /// Connects. It runs on the current local set.
    ///
    /// # Errors
    /// The connection was refused.
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

    /// The number of requests without an answer.
    pub fn open(&self) -> usize {
        self.pending.borrow().as_ref().map_or(0, HashMap::len)
    }

    /// Whether the other side has ended the connection.
    pub fn ended(&self) -> bool {
        self.pending.borrow().is_none()
    }

    /// Sends a request. The receiver gets its answer, and is closed if the connection has ended before.
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

/// Receives answers until the connection ends, and then answers all that is pending.
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

/// The next frame; none at the end of the connection, or if the frame is too long.
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

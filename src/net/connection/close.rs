//! Orderly close of a connection: flush, half-close, read and discard within limits, close.

use crate::limits::Limits;
use crate::net::connection::fair_share::WorkShare;
use crate::net::connection::socket_retry::SocketRetry;
use crate::net::connection::write_queue::{CloseMode, WriteQueue};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Closes a connection: writes the queued frames, shuts down the sending half, then reads and discards incoming bytes until
/// the peer closes as well. Closing a socket with unread bytes would reset the connection, and the peer could lose the
/// last frames. The time (`linger`) and the number of discarded bytes are limited; a peer that exceeds them is disconnected.
pub async fn close_orderly(
    mut stream: TcpStream,
    write_queue: &WriteQueue,
    share: &Rc<WorkShare>,
    linger: Duration,
    limits: &Limits,
) {
    write_queue.close(CloseMode::AfterWrite);
    let close = async {
        if write_queue.close_mode() != Some(CloseMode::Immediately) {
            write_queue.write_all(&stream, limits).await?;
        }
        stream.shutdown().await?;
        discard_incoming(&stream, write_queue, share, limits).await
    };
    let _: Result<io::Result<()>, _> = timeout(linger, close).await;
}

/// Reads and discards until the peer closes, or has sent more than `max_message_bytes`.
async fn discard_incoming(
    stream: &TcpStream,
    write_queue: &WriteQueue,
    share: &Rc<WorkShare>,
    limits: &Limits,
) -> io::Result<()> {
    let shared = write_queue.shared();
    let mut remaining = limits.max_message_bytes;
    loop {
        stream.readable().await?;
        share.turn().await;
        match shared.discard_buffer.try_discard(stream, limits.read_chunk_bytes) {
            Ok(0) => return Ok(()),
            Ok(count) if count > remaining => return Ok(()),
            Ok(count) => remaining -= count,
            Err(error) if SocketRetry::after(&error).is_some() => {}
            Err(error) => return Err(error),
        }
    }
}

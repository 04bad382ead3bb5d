//! The orderly close of a connection: flush, half-close, read and discard within a bound, close.

use crate::limits::Limits;
use crate::net::connection::socket_retry::Retry;
use crate::net::connection::write_queue::{Close, WriteQueue};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The one way in which this side ends a connection. What waits is written, the peer is told that nothing more comes, and
/// what it still says is read and dropped until it closes as well: closed over bytes that nobody has read, the connection
/// would be reset, and what was written might never be read. A peer that goes on for too long, or says too much, is cut off.
pub async fn finish(mut stream: TcpStream, out: &WriteQueue, limits: &Limits) {
    let within = match out.close_requested() {
        // Another client waits for the room.
        Some(Close::Now) => limits.min_idle_before_eviction,
        _ => limits.close_linger,
    };
    out.close(Close::AfterWrite);
    let end = async {
        if out.close_requested() != Some(Close::Now) {
            out.write_all(&stream, limits).await?;
        }
        stream.shutdown().await?;
        let (mut rest, mut left) = (vec![0; limits.read_chunk_bytes], limits.max_message_bytes);
        loop {
            stream.readable().await?;
            match stream.try_read(&mut rest) {
                Ok(0) => return Ok(()),
                Ok(n) if n > left => return Ok(()),
                Ok(n) => left -= n,
                Err(e) if Retry::after(&e).is_some() => {}
                Err(e) => return Err(e),
            }
        }
    };
    let _: Result<io::Result<()>, _> = timeout(within, end).await;
}

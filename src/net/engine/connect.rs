//! Opening of connections to engines. A local shortage of descriptors, ports or memory leads to retries until the connect
//! timeout, and is not counted as a failure of the engine.

use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::transient_errors::{self, Backoff};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

/// Reason for which no connection was established. No bytes were sent in any of these cases.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The engine or the network refused the connection.
    #[error("{0}")]
    Refused(io::Error),
    /// The connection was not established within the connect timeout.
    #[error("not established within the connect timeout")]
    TimedOut,
    /// The gateway aborted the connection before it was established.
    #[error("aborted by the gateway before it was established")]
    Aborted,
    /// Descriptors, ports, memory or a route were not available on this machine until the connect timeout.
    #[error("local resources not available: {0}")]
    Local(io::Error),
}

impl ConnectError {
    /// Returns the outcome of an attempt that was queued for the connection.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Refused(_) | Self::TimedOut | Self::Aborted => Outcome::ConnectFailed,
            Self::Local(_) => Outcome::NotExecuted,
        }
    }
}

/// Opens a connection within the connect timeout.
///
/// # Errors
/// The connection failed, or was not established within the connect timeout.
pub(super) async fn connect(address: SocketAddr, limits: &Limits) -> Result<TcpStream, ConnectError> {
    let deadline = Instant::now() + limits.connect_timeout;
    let mut backoff = Backoff::default();
    loop {
        match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if !transient_errors::is_local_and_transient(&error) => {
                return Err(ConnectError::Refused(error))
            }
            Ok(Err(error)) => {
                let wait = backoff.wait();
                if Instant::now() + wait >= deadline {
                    return Err(ConnectError::Local(error));
                }
                sleep(wait).await;
            }
            Err(_) => return Err(ConnectError::TimedOut),
        }
    }
}

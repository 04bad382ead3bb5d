//! Opens connections to engines. A local lack of descriptors, ports or memory is waited out, and is no fault of the engine.

use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::transient_errors::{self, Backoff};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

/// Why there is no connection. Nothing was sent in either case.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The connection failed at the engine or on the way there.
    #[error("{0}")]
    Refused(io::Error),
    /// It was not established in time.
    #[error("not established in time")]
    TimedOut,
    /// It was closed by this side before it was established.
    #[error("closed before it was established")]
    Aborted,
    /// This process or its system lacked descriptors, ports, memory or a route.
    #[error("local resources lack: {0}")]
    Local(io::Error),
}

impl ConnectError {
    /// The end of an attempt that waited for the connection.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Refused(_) | Self::TimedOut | Self::Aborted => Outcome::ConnectFailed,
            Self::Local(_) => Outcome::NotExecuted,
        }
    }
}

/// Opens a connection within the timeout of the settings.
///
/// # Errors
/// The connection failed, or was not established in time.
pub(super) async fn connect(address: SocketAddr, limits: &Limits) -> Result<TcpStream, ConnectError> {
    let deadline = Instant::now() + limits.connect_timeout;
    let mut backoff = Backoff::default();
    loop {
        match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if !transient_errors::is_local(&error) => {
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

//! Opens connections to engines. What lacks here for a moment is waited for, and is not held against the engine.

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
pub enum ConnectError {
    /// The engine refused it.
    #[error("{0}")]
    Refused(io::Error),
    /// It was not up in time.
    #[error("not up in time")]
    TooLate,
    /// It was given up before it was up.
    #[error("given up")]
    GivenUp,
    /// This process or its system lacked descriptors, ports, memory or a route.
    #[error("nothing left here to make it with: {0}")]
    Local(io::Error),
}

impl ConnectError {
    /// The end of an attempt that waited for the connection.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Refused(_) | Self::TooLate | Self::GivenUp => Outcome::ConnectFailed,
            Self::Local(_) => Outcome::NotExecuted,
        }
    }
}

/// Opens a connection within the time that the settings give.
///
/// # Errors
/// There is none by then.
pub async fn connect(address: SocketAddr, limits: &Limits) -> Result<TcpStream, ConnectError> {
    let until = Instant::now() + limits.connect_timeout;
    let mut backoff = Backoff::default();
    loop {
        match timeout_at(until, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(e)) if !transient_errors::is_local(&e) => return Err(ConnectError::Refused(e)),
            Ok(Err(e)) => {
                let wait = backoff.wait();
                if Instant::now() + wait >= until {
                    return Err(ConnectError::Local(e));
                }
                sleep(wait).await;
            }
            Err(_) => return Err(ConnectError::TooLate),
        }
    }
}

//! SIGTERM and SIGHUP. A handler sets a flag and then wakes the loop, which checks the flags: a wake-up that is lost delays a
//! signal until the loop's next cycle, and no signal is lost.

use crate::net::connection::SocketRetry;
use crate::net::transient_errors;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io;
use std::os::unix::net::UnixStream as StdStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;

/// How long a lack of descriptors is waited out at the start.
const REGISTER_RETRY: Duration = Duration::from_secs(1);
/// Input-ups that are read at once.
const MAX_WAKE_UPS: usize = 64;

/// A signal that the program handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Reload,
}

/// The signals that the program handles.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wake_ups: UnixStream,
}

impl Signals {
    /// Registers the handlers.
    ///
    /// # Errors
    /// The system rejects a handler, or descriptors lack for longer.
    pub async fn register() -> io::Result<Self> {
        let (wake_ups, handler) = transient_errors::retry(REGISTER_RETRY, StdStream::pair).await?;
        wake_ups.set_nonblocking(true)?;
        handler.set_nonblocking(true)?;
        let signals = Self {
            terminate: Arc::default(),
            reload: Arc::default(),
            wake_ups: UnixStream::from_std(wake_ups)?,
        };
        // The flags are set first: handlers of one signal run in the order in which they are registered.
        flag::register(SIGTERM, signals.terminate.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        pipe::register(SIGTERM, handler.try_clone()?)?;
        pipe::register(SIGHUP, handler)?;
        Ok(signals)
    }

    /// Waits for a signal. Several of one kind that arrive close together count as one.
    pub async fn next(&self) -> Received {
        loop {
            if self.terminate.swap(false, Ordering::SeqCst) {
                return Received::Terminate;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Received::Reload;
            }
            self.wait_for_wake_up().await;
        }
    }

    async fn wait_for_wake_up(&self) {
        if self.wake_ups.readable().await.is_err() {
            // The flags are still checked in each cycle of the loop.
            std::future::pending::<()>().await;
        }
        let mut bytes = [0; MAX_WAKE_UPS];
        while self
            .wake_ups
            .try_read(&mut bytes)
            .is_err_and(|error| SocketRetry::after(&error) == Some(SocketRetry::Immediately))
        {}
    }
}

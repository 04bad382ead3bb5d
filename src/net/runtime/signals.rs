//! SIGTERM and SIGHUP. A handler sets a flag and then wakes the event loop, which checks the flags. A lost wake-up delays the
//! handling of a signal until the loop's next cycle, but no signal is lost.

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

/// Time for which the start retries creating the wake-up sockets while no descriptors are available.
const REGISTER_RETRY: Duration = Duration::from_secs(1);
/// Maximum number of wake-ups that are read by one call.
const MAX_WAKE_UPS: usize = 64;

/// A signal that was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceivedSignal {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Reload,
}

/// The flags and the wake-up socket that the signal handlers set and write.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wake_ups: UnixStream,
}

impl Signals {
    /// Registers the signal handlers.
    ///
    /// # Errors
    /// The system rejects a handler, or no descriptors become available within 1 s.
    pub async fn register() -> io::Result<Self> {
        let (wake_ups, handler) = transient_errors::retry(REGISTER_RETRY, StdStream::pair).await?;
        wake_ups.set_nonblocking(true)?;
        handler.set_nonblocking(true)?;
        let signals = Self {
            terminate: Arc::default(),
            reload: Arc::default(),
            wake_ups: UnixStream::from_std(wake_ups)?,
        };
        // The handlers of one signal run in the order of their registration: the flag is set before the wake-up is written.
        flag::register(SIGTERM, signals.terminate.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        pipe::register(SIGTERM, handler.try_clone()?)?;
        pipe::register(SIGHUP, handler)?;
        Ok(signals)
    }

    /// Waits for a signal. Several signals of one kind that arrive before the first is handled count as one.
    pub async fn next(&self) -> ReceivedSignal {
        loop {
            if self.terminate.swap(false, Ordering::SeqCst) {
                return ReceivedSignal::Terminate;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return ReceivedSignal::Reload;
            }
            self.wait_for_wake_up().await;
        }
    }

    async fn wait_for_wake_up(&self) {
        if self.wake_ups.readable().await.is_err() {
            // Without the socket, the flags are still checked in each cycle of the event loop.
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

//! SIGTERM and SIGHUP. Each is marked first and then wakes the loop, which looks at the marks: a wake-up that is lost delays a
//! signal to the loop's next turn, and none is forgotten.

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

/// A moment without descriptors is waited out for so long at the start.
const REGISTER_WITHIN: Duration = Duration::from_secs(1);
/// Wake-ups that are taken in one read.
const WAKE_UPS: usize = 64;

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
    /// The system does not take a handler, or has no descriptors left for a while.
    pub async fn register() -> io::Result<Self> {
        let (wake_ups, handler) = transient_errors::retry(REGISTER_WITHIN, StdStream::pair).await?;
        wake_ups.set_nonblocking(true)?;
        handler.set_nonblocking(true)?;
        let signals = Self {
            terminate: Arc::default(),
            reload: Arc::default(),
            wake_ups: UnixStream::from_std(wake_ups)?,
        };
        // The marks come first: handlers of one signal run in the order in which they are registered.
        flag::register(SIGTERM, signals.terminate.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        pipe::register(SIGTERM, handler.try_clone()?)?;
        pipe::register(SIGHUP, handler)?;
        Ok(signals)
    }

    /// Waits for a signal. Several of one kind that come close together count as one.
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
            // The marks are still looked at with each turn of the loop.
            std::future::pending::<()>().await;
        }
        let mut bytes = [0; WAKE_UPS];
        while self
            .wake_ups
            .try_read(&mut bytes)
            .is_err_and(|e| SocketRetry::after(&e) == Some(SocketRetry::Immediately))
        {}
    }
}

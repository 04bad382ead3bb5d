//! Transient failures of system calls: their classification, and the delays before retries.

use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Delay after the first failure for lack of descriptors or memory.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Maximum delay, up to which the delay doubles with each failure. It is short because clients wait meanwhile, some of them for
/// only tens of milliseconds.
const MAX_WAIT: Duration = Duration::from_millis(8);

/// Number of consecutive failures of `accept` after which the next call is delayed.
const MAX_IMMEDIATE_RETRIES: u32 = 8;

/// Returns whether a failure is local and transient: the process or the system temporarily has no descriptors, memory, ports or
/// route, or the call was interrupted. The peer does not cause such a failure.
pub fn is_local_and_transient(error: &io::Error) -> bool {
    use rustix::io::Errno;
    const LOCAL: [Errno; 8] = [
        Errno::INTR,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::AGAIN,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
    ];
    Errno::from_io_error(error).is_some_and(|errno| LOCAL.contains(&errno))
}

/// Returns whether a disk temporarily accepts no writes, or the failure [`is_local_and_transient`].
pub fn is_local_or_of_disk(error: &io::Error) -> bool {
    use rustix::io::Errno;
    const OF_DISK: [Errno; 3] = [Errno::NOSPC, Errno::DQUOT, Errno::IO];
    is_local_and_transient(error) || Errno::from_io_error(error).is_some_and(|errno| OF_DISK.contains(&errno))
}

/// Returns whether a failed `accept` concerns only one connection, which is lost: the next `accept` can follow immediately.
fn affects_one_connection(error: &io::Error) -> bool {
    use rustix::io::Errno;
    // Linux reports pending network errors of a new connection as errors of `accept`.
    const OF_ONE_CONNECTION: [Errno; 10] = [
        Errno::INTR,
        Errno::CONNABORTED,
        Errno::PROTO,
        Errno::NETDOWN,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
    ];
    Errno::from_io_error(error).is_some_and(|errno| OF_ONE_CONNECTION.contains(&errno))
}

/// Retries a call for up to `within` while its failure [`is_local_and_transient`].
///
/// # Errors
/// The call fails for another reason, or still fails after that time.
pub async fn retry<T>(within: Duration, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_while(is_local_and_transient, within, call).await
}

/// Retries a call for up to `within` while `is_transient` holds for its failure.
///
/// # Errors
/// The call fails for another reason, or still fails after that time.
pub async fn retry_while<T>(
    is_transient: impl Fn(&io::Error) -> bool,
    within: Duration,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + within;
    let mut backoff = Backoff::default();
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => sleep(backoff.wait()).await,
            result => return result,
        }
    }
}

/// Retries of `accept`: several at once, then with a backoff, as long as calls fail. A failure for a moment then delays the connections that
/// wait by microseconds, and exhausted resources do not keep the process busy.
#[derive(Debug, Default)]
pub struct AcceptRetry {
    /// Number of failures since the last success or delay.
    failures: u32,
    backoff: Backoff,
}

impl AcceptRetry {
    /// Records that a call succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.backoff.reset();
    }

    /// Returns the delay before the retry after a failed call; `None` to retry at once.
    pub fn delay_after(&mut self, error: &io::Error) -> Option<Duration> {
        self.failures += 1;
        if affects_one_connection(error) || self.failures <= MAX_IMMEDIATE_RETRIES {
            return None;
        }
        self.failures = 0;
        Some(self.backoff.wait())
    }
}

/// Exponential backoff between consecutive failures of a call.
#[derive(Debug, Default)]
pub struct Backoff {
    last: Option<Duration>,
}

impl Backoff {
    /// Records that a call succeeded: the next delay is the shortest again.
    pub fn reset(&mut self) {
        self.last = None;
    }

    /// Returns the delay before the retry after a transient failure, and doubles the next one.
    pub fn wait(&mut self) -> Duration {
        let wait = self.last.map_or(MIN_WAIT, |last| (last * 2).min(MAX_WAIT));
        self.last = Some(wait);
        wait
    }

    /// Returns the delay after a failed `accept`; zero if only one connection was lost.
    pub fn wait_to_accept(&mut self, error: &io::Error) -> Duration {
        if affects_one_connection(error) {
            return Duration::ZERO;
        }
        self.wait()
    }
}

#[cfg(test)]
mod tests;

//! Transient failures of system calls: which they are, and how soon the call is retried.

use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The wait after the first failure while descriptors or memory lack ...
const MIN_WAIT: Duration = Duration::from_millis(1);
/// ... which doubles up to this: clients wait meanwhile, some of them for tens of milliseconds only.
const MAX_WAIT: Duration = Duration::from_millis(8);

/// Whether this process or its system lacks something for the moment: descriptors, memory, ports or a route. The peer has no
/// part in such a failure.
pub fn is_local(error: &io::Error) -> bool {
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

/// Whether a disk takes no writes for the moment, or the failure [`is_local`].
pub fn is_of_disk(error: &io::Error) -> bool {
    use rustix::io::Errno;
    const OF_DISK: [Errno; 3] = [Errno::NOSPC, Errno::DQUOT, Errno::IO];
    is_local(error) || Errno::from_io_error(error).is_some_and(|errno| OF_DISK.contains(&errno))
}

/// Whether a failed `accept` concerns one connection alone, which is lost: the next one may be accepted at once.
fn is_of_one_connection(error: &io::Error) -> bool {
    use rustix::io::Errno;
    // Linux reports errors of the connection as errors of `accept`.
    const OF_ONE: [Errno; 10] = [
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
    Errno::from_io_error(error).is_some_and(|errno| OF_ONE.contains(&errno))
}

/// Retries a call while its failure is local, for so long at most.
///
/// # Errors
/// The call fails for another reason, or still fails at the end of that time.
pub async fn retry<T>(within: Duration, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_while(is_local, within, call).await
}

/// Retries a call while its failure is transient, for so long at most.
///
/// # Errors
/// The call fails for another reason, or still fails at the end of that time.
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

/// The waits between calls that fail one after the other: an exponential backoff.
#[derive(Debug, Default)]
pub struct Backoff {
    last: Option<Duration>,
}

impl Backoff {
    /// Records that a call succeeded.
    pub fn reset(&mut self) {
        self.last = None;
    }

    /// How long to wait after a transient failure.
    pub fn wait(&mut self) -> Duration {
        let wait = self.last.map_or(MIN_WAIT, |last| (last * 2).min(MAX_WAIT));
        self.last = Some(wait);
        wait
    }

    /// How long to wait after a failed `accept`: not at all where only one connection was lost.
    pub fn wait_to_accept(&mut self, error: &io::Error) -> Duration {
        if is_of_one_connection(error) {
            return Duration::ZERO;
        }
        self.wait()
    }
}

#[cfg(test)]
mod tests;

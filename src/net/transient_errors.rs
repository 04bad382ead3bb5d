//! Failures of system calls that pass by themselves: which they are, and how soon the call is made again.

use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The wait after the first failure for want of descriptors or memory ...
const FIRST_WAIT: Duration = Duration::from_millis(1);
/// ... which doubles up to this while it lasts: clients wait meanwhile, some of them for tens of milliseconds only.
const LONGEST_WAIT: Duration = Duration::from_millis(8);

/// Whether a process or the system is out of something for the moment: descriptors, memory, ports, a route. Nothing that the
/// other side did.
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

/// Whether a disk takes no writes for the moment, or what [`is_local`] tells.
pub fn is_of_disk(error: &io::Error) -> bool {
    use rustix::io::Errno;
    const OF_DISK: [Errno; 3] = [Errno::NOSPC, Errno::DQUOT, Errno::IO];
    is_local(error) || Errno::from_io_error(error).is_some_and(|errno| OF_DISK.contains(&errno))
}

/// Whether a failed `accept` says something of one connection alone, which is gone: the next one may be accepted at once.
fn is_of_one_connection(error: &io::Error) -> bool {
    use rustix::io::Errno;
    // Linux passes errors of the connection on as errors of `accept`.
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

/// Makes a call again while it fails for want of something here, for so long at most.
///
/// # Errors
/// It fails for another reason, or still fails at the end of that time.
pub async fn retry<T>(within: Duration, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_while(is_local, within, call).await
}

/// Makes a call again while its failure is of that kind, for so long at most.
///
/// # Errors
/// It fails for another reason, or still fails at the end of that time.
pub async fn retry_while<T>(
    passes: impl Fn(&io::Error) -> bool,
    within: Duration,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let until = Instant::now() + within;
    let mut backoff = Backoff::default();
    loop {
        match call() {
            Err(e) if passes(&e) && Instant::now() < until => sleep(backoff.wait()).await,
            result => return result,
        }
    }
}

/// The waits between calls that fail one after the other.
#[derive(Debug, Default)]
pub struct Backoff {
    last: Option<Duration>,
}

impl Backoff {
    /// A call went well.
    pub fn reset(&mut self) {
        self.last = None;
    }

    /// How long to wait after a failure for want of something.
    pub fn wait(&mut self) -> Duration {
        let wait = self.last.map_or(FIRST_WAIT, |last| (last * 2).min(LONGEST_WAIT));
        self.last = Some(wait);
        wait
    }

    /// How long to wait after a failed `accept`: not at all where only one connection is gone.
    pub fn wait_to_accept(&mut self, error: &io::Error) -> Duration {
        if is_of_one_connection(error) {
            return Duration::ZERO;
        }
        self.wait()
    }
}

#[cfg(test)]
mod tests;

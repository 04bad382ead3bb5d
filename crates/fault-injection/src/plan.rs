//! The fault plan: which system calls fail, with which probability, and when. It is read once from the environment.

use std::ffi::CString;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Name of the environment variable that holds the plan: `name=value` pairs, separated by commas.
pub(crate) const VARIABLE: &str = "STARLINGPLANK_FAULTS";

/// The faults to inject. Fields of type `f64` are probabilities per call, from 0 to 1.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Probability that a read or write on a socket fails with `EINTR`.
    pub interrupt: f64,
    /// Probability that a read or write on a stream socket transfers a single byte.
    pub short: f64,
    /// Probability that `accept` fails with a transient error.
    pub accept: f64,
    /// Probability that `socket` for IPv4 fails with a transient error.
    pub socket: f64,
    /// Number of calls of `socket` for an IPv4 stream that fail, counted from the start of the process.
    pub socket_first: u64,
    /// Probability that `connect` fails with a transient error, or `sendto` with a destination does.
    pub connect: f64,
    /// Probability that a write to a regular file fails with `ENOSPC` or `EIO`, or a sync fails with `EIO`.
    pub disk: f64,
    /// Probability that a write to a regular file writes only half of its bytes. The next write to that file then fails with
    /// `ENOSPC`.
    pub torn: f64,
    /// Probability that a write to standard output or standard error fails with `ENOSPC`.
    pub log: f64,
    /// Offset that is added to the wall clock, in milliseconds.
    pub wall_step_ms: i64,
    /// Start of the interval in which faults occur, in milliseconds since the first intercepted call.
    pub from_ms: u64,
    /// End of the interval in which faults occur, in milliseconds since the first intercepted call; 0 for no end.
    pub until_ms: u64,
    /// Path of the switch file. If set, faults occur only while this file exists.
    pub switch: Option<CString>,
}

/// The 64-bit golden ratio. Multiplying by it spreads the bits of small seeds over the whole state.
const SEED_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

static PLAN: OnceLock<Plan> = OnceLock::new();
static STARTED_MS: AtomicU64 = AtomicU64::new(0);
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// Returns the plan of this process.
pub(crate) fn plan() -> &'static Plan {
    PLAN.get_or_init(|| {
        STARTED_MS.store(monotonic_ms(), Ordering::Relaxed);
        parse(&std::env::var(VARIABLE).unwrap_or_default())
    })
}

fn parse(text: &str) -> Plan {
    let mut plan = Plan::default();
    let mut seed = 1u64;
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let number = value.parse::<f64>().unwrap_or(0.0);
        match name {
            "seed" => seed = number as u64,
            "interrupt" => plan.interrupt = number,
            "short" => plan.short = number,
            "accept" => plan.accept = number,
            "socket" => plan.socket = number,
            "socket_first" => plan.socket_first = number as u64,
            "connect" => plan.connect = number,
            "disk" => plan.disk = number,
            "torn" => plan.torn = number,
            "log" => plan.log = number,
            "wall_step_ms" => plan.wall_step_ms = number as i64,
            "from_ms" => plan.from_ms = number as u64,
            "until_ms" => plan.until_ms = number as u64,
            "switch" => plan.switch = CString::new(value).ok(),
            _ => {}
        }
    }
    // A xorshift generator with the state 0 returns only zeros.
    RANDOM.store(seed.wrapping_mul(SEED_FACTOR) | 1, Ordering::Relaxed);
    plan
}

impl Plan {
    /// Returns whether faults occur now: within the configured interval, and while the switch file exists.
    pub(crate) fn is_active(&self) -> bool {
        let elapsed_ms = monotonic_ms().saturating_sub(STARTED_MS.load(Ordering::Relaxed));
        let is_within_interval =
            elapsed_ms >= self.from_ms && (self.until_ms == 0 || elapsed_ms < self.until_ms);
        is_within_interval && self.switch.as_ref().is_none_or(exists)
    }

    /// Draws whether a fault with the given probability occurs in this call.
    pub(crate) fn draws_fault(&self, probability: f64) -> bool {
        probability > 0.0 && self.is_active() && random_share() < probability
    }
}

/// Reports to the test that a fault has occurred, by creating the file `SWITCH.FAULT` beside the switch file.
pub(crate) fn report(fault: &str) {
    let Some(switch) = &plan().switch else { return };
    let Ok(path) = CString::new([switch.as_bytes(), b".", fault.as_bytes()].concat()) else { return };
    // SAFETY: `path` is NUL-terminated and outlives the call; the descriptor is owned here and closed once.
    unsafe {
        let fd = libc::open(path.as_ptr(), libc::O_CREAT | libc::O_WRONLY | libc::O_CLOEXEC, 0o600);
        if fd >= 0 {
            libc::close(fd);
        }
    }
}

/// Draws one of the given error numbers.
pub(crate) fn draw_error(errors: &[i32]) -> i32 {
    errors[(next_random() % errors.len() as u64) as usize]
}

/// Sets `errno` of the calling thread and returns -1, the result of a failed call.
pub(crate) fn fail(error: i32) -> isize {
    // SAFETY: the location belongs to the calling thread and is valid for the lifetime of that thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn exists(path: &CString) -> bool {
    // SAFETY: `path` is NUL-terminated and outlives the call.
    unsafe { libc::access(path.as_ptr(), libc::F_OK) == 0 }
}

fn monotonic_ms() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `now` is valid for the call to write to.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// Advances the xorshift generator. All threads share its state, so the sequence of draws depends on the seed alone.
fn next_random() -> u64 {
    let before = RANDOM.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| Some(xorshift(state)));
    xorshift(before.unwrap_or(1))
}

fn xorshift(mut state: u64) -> u64 {
    state ^= state << 13;
    state ^= state >> 7;
    state ^ (state << 17)
}

/// Draws a number that is uniformly distributed in [0, 1).
fn random_share() -> f64 {
    (next_random() >> 11) as f64 / (1u64 << 53) as f64
}

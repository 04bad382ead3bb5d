//! The plan: which calls fail, how often, and when. It is read once from the environment.

use std::ffi::CString;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The environment variable that holds the plan: `name=value` pairs, separated by commas.
pub(crate) const VARIABLE: &str = "STARLINGPLANK_FAULTS";

/// Probabilities for each call, 0 to 1, and the time in which faults occur.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Reads and writes on sockets return `EINTR`.
    pub interrupt: f64,
    /// Reads and writes on sockets transfer one byte.
    pub short: f64,
    /// `accept` fails with a transient error.
    pub accept: f64,
    /// `socket` fails with a transient error.
    pub socket: f64,
    /// The number of first calls of `socket` for a stream that fail.
    pub socket_first: u64,
    /// `connect` fails with a transient error.
    pub connect: f64,
    /// Writes and syncs of regular files fail with `ENOSPC` or `EIO`.
    pub disk: f64,
    /// Writes of regular files write half of their bytes, and the next write to the same file fails with `ENOSPC`.
    pub torn: f64,
    /// Writes to standard output and standard error fail with `ENOSPC`.
    pub log: f64,
    /// By how much the wall clock is stepped, in milliseconds.
    pub wall_step_ms: i64,
    /// Faults occur from this time on, in milliseconds since the first call ...
    pub from_ms: u64,
    /// ... until this one; 0 for no end.
    pub until_ms: u64,
    /// Faults occur only while this file exists.
    pub switch: Option<CString>,
}

/// The 64-bit golden ratio, which spreads the bits of small seeds.
const SEED_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

static PLAN: OnceLock<Plan> = OnceLock::new();
static STARTED_MS: AtomicU64 = AtomicU64::new(0);
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// The plan of this process.
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
    // The generator needs a state other than 0.
    RANDOM.store(seed.wrapping_mul(SEED_FACTOR) | 1, Ordering::Relaxed);
    plan
}

impl Plan {
    /// Whether faults occur now.
    pub(crate) fn is_active(&self) -> bool {
        let age = monotonic_ms().saturating_sub(STARTED_MS.load(Ordering::Relaxed));
        let is_in_time = age >= self.from_ms && (self.until_ms == 0 || age < self.until_ms);
        is_in_time && self.switch.as_ref().is_none_or(exists)
    }

    /// Draws whether a fault of this probability occurs now.
    pub(crate) fn draws_fault(&self, probability: f64) -> bool {
        probability > 0.0 && self.is_active() && random_share() < probability
    }
}

/// Reports to the test that a fault has occurred: by a file beside the switch, with the fault's name.
pub(crate) fn report(fault: &str) {
    let Some(switch) = &plan().switch else { return };
    let Ok(path) = CString::new([switch.as_bytes(), b".", fault.as_bytes()].concat()) else { return };
    // SAFETY: the path ends with a zero byte and outlives the call; the descriptor is closed at once.
    unsafe {
        let fd = libc::open(path.as_ptr(), libc::O_CREAT | libc::O_WRONLY | libc::O_CLOEXEC, 0o600);
        if fd >= 0 {
            libc::close(fd);
        }
    }
}

/// Draws one of these error numbers.
pub(crate) fn draw_error(errors: &[i32]) -> i32 {
    errors[(next_random() % errors.len() as u64) as usize]
}

/// Sets the error number of the calling thread, and returns what a failed call returns.
pub(crate) fn fail(error: i32) -> isize {
    // SAFETY: the location is the calling thread's own, and valid while the thread lives.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn exists(path: &CString) -> bool {
    // SAFETY: the path is a string that ends with a zero byte and outlives the call.
    unsafe { libc::access(path.as_ptr(), libc::F_OK) == 0 }
}

fn monotonic_ms() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the structure is valid for the call to write to.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// A xorshift generator, whose draws follow from the seed whichever thread draws.
fn next_random() -> u64 {
    let before = RANDOM.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| Some(xorshift(state)));
    xorshift(before.unwrap_or(1))
}

fn xorshift(mut state: u64) -> u64 {
    state ^= state << 13;
    state ^= state >> 7;
    state ^ (state << 17)
}

/// A number from 0 to 1.
fn random_share() -> f64 {
    (next_random() >> 11) as f64 / (1u64 << 53) as f64
}

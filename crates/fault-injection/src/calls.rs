//! The functions that replace those of the C library.
//!
//! # Safety
//! Each function has the signature of the C library's function and passes its arguments on unchanged or with a smaller length.

#![allow(clippy::missing_safety_doc)]

use crate::original;
use crate::plan::{draw_error, fail, plan, report};
use libc::{c_int, c_void, iovec, off64_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicI32, AtomicU64, Ordering};

/// Errors to draw from for each call. Linux documents all of them for that call.
const ACCEPT_ERRORS: [c_int; 4] = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
const SOCKET_ERRORS: [c_int; 3] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS];
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR];
const SENDTO_ERRORS: [c_int; 3] = [libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ENOBUFS];
const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];
const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;
/// The bits of the `type` argument of `socket` that hold the type; the others are flags.
const SOCKET_TYPE_MASK: c_int = 0xf;
/// The value of [`TORN_FILE`] if no torn write is pending.
const NO_FILE: c_int = -1;

/// Descriptor of the file whose last write was torn and whose next write fails.
static TORN_FILE: AtomicI32 = AtomicI32::new(NO_FILE);

fn file_kind(fd: c_int) -> u32 {
    // SAFETY: all zeros is a valid value of `stat`, and the call writes only to it.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        match libc::fstat(fd, &mut status) {
            0 => status.st_mode & libc::S_IFMT,
            _ => 0,
        }
    }
}

fn is_socket(fd: c_int) -> bool {
    file_kind(fd) == libc::S_IFSOCK
}

fn is_regular(fd: c_int) -> bool {
    file_kind(fd) == libc::S_IFREG
}

fn is_log(fd: c_int) -> bool {
    fd == libc::STDOUT_FILENO || fd == libc::STDERR_FILENO
}

/// Returns whether a descriptor is a stream socket. Datagrams are never shortened, because a datagram is sent or received whole.
fn is_stream(fd: c_int) -> bool {
    let mut kind: c_int = 0;
    let mut len = size_of::<c_int>() as socklen_t;
    let to = (&raw mut kind).cast();
    // SAFETY: `to` and `len` are valid for the call to write to, and `len` is the size of `kind`.
    unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, to, &mut len) == 0 && kind == libc::SOCK_STREAM
    }
}

/// Returns the number of bytes to request of a transfer on a socket: all, or one for a short transfer. Returns `None` if the
/// call is to fail as interrupted.
fn transfer_length(fd: c_int, len: usize) -> Option<usize> {
    if plan().draws_fault(plan().interrupt) {
        return None;
    }
    let is_short = len > 1 && plan().draws_fault(plan().short) && is_stream(fd);
    Some(if is_short { 1 } else { len })
}

/// Returns the error with which a write to a regular file or to the log is to fail, if any.
fn write_error(fd: c_int) -> Option<c_int> {
    if is_log(fd) {
        let is_full = plan().draws_fault(plan().log);
        if is_full {
            report("log");
        }
        return is_full.then_some(libc::ENOSPC);
    }
    if TORN_FILE.compare_exchange(fd, NO_FILE, Ordering::Relaxed, Ordering::Relaxed).is_ok() {
        return Some(libc::ENOSPC);
    }
    let fails = plan().disk > 0.0 && is_regular(fd) && plan().draws_fault(plan().disk);
    if fails {
        report("disk");
    }
    fails.then(|| draw_error(&DISK_ERRORS))
}

/// Returns the number of bytes to write: half of them if the write is torn.
fn write_length(fd: c_int, len: usize) -> usize {
    if len < 2 || plan().torn == 0.0 || !is_regular(fd) || !plan().draws_fault(plan().torn) {
        return len;
    }
    TORN_FILE.store(fd, Ordering::Relaxed);
    report("torn");
    len / 2
}

#[no_mangle]
pub(crate) unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, len: usize, flags: c_int) -> ssize_t {
    match transfer_length(fd, len) {
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
        Some(len) => unsafe { original::recv(fd, buffer, len, flags) },
        None => fail(libc::EINTR),
    }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, len: usize, flags: c_int) -> ssize_t {
    match transfer_length(fd, len) {
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
        Some(len) => unsafe { original::send(fd, buffer, len, flags) },
        None => fail(libc::EINTR),
    }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn recvfrom(
    fd: c_int,
    buffer: *mut c_void,
    len: usize,
    flags: c_int,
    from: *mut sockaddr,
    from_len: *mut socklen_t,
) -> ssize_t {
    match transfer_length(fd, len) {
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
        Some(len) => unsafe { original::recvfrom(fd, buffer, len, flags, from, from_len) },
        None => fail(libc::EINTR),
    }
}

/// Also fails with the probability of `connect` if a destination is given, as both calls fail where there is no route.
#[no_mangle]
pub(crate) unsafe extern "C" fn sendto(
    fd: c_int,
    buffer: *const c_void,
    len: usize,
    flags: c_int,
    to: *const sockaddr,
    to_len: socklen_t,
) -> ssize_t {
    if !to.is_null() && plan().draws_fault(plan().connect) {
        return fail(draw_error(&SENDTO_ERRORS));
    }
    match transfer_length(fd, len) {
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
        Some(len) => unsafe { original::sendto(fd, buffer, len, flags, to, to_len) },
        None => fail(libc::EINTR),
    }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, len: usize) -> ssize_t {
    if plan().interrupt + plan().short == 0.0 || !is_socket(fd) {
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
        return unsafe { original::read(fd, buffer, len) };
    }
    match transfer_length(fd, len) {
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
        Some(len) => unsafe { original::read(fd, buffer, len) },
        None => fail(libc::EINTR),
    }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, len: usize) -> ssize_t {
    if let Some(error) = write_error(fd) {
        return fail(error);
    }
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
    unsafe { original::write(fd, buffer, write_length(fd, len)) }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn pwrite64(
    fd: c_int,
    buffer: *const c_void,
    len: usize,
    at: off64_t,
) -> ssize_t {
    if let Some(error) = write_error(fd) {
        return fail(error);
    }
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
    unsafe { original::pwrite64(fd, buffer, len, at) }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if let Some(error) = write_error(fd) {
        return fail(error);
    }
    if plan().interrupt + plan().short == 0.0 || !is_socket(fd) {
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on unchanged.
        return unsafe { original::writev(fd, parts, count) };
    }
    // SAFETY: by the contract of the call, `parts` points to `count` elements.
    let buffers = unsafe { std::slice::from_raw_parts(parts, count.max(0) as usize) };
    let first = buffers.iter().find(|part| part.iov_len > 0);
    match (transfer_length(fd, 2), first) {
        (None, _) => fail(libc::EINTR),
        // SAFETY: by the contract of the call, the buffer of the part holds `iov_len` bytes, of which there is at least one.
        (Some(1), Some(part)) => unsafe { original::write(fd, part.iov_base, 1) },
        // SAFETY: the caller upholds the contract of the call; the arguments are passed on unchanged.
        _ => unsafe { original::writev(fd, parts, count) },
    }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    len: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if plan().draws_fault(plan().accept) {
        report("accept");
        return fail(draw_error(&ACCEPT_ERRORS)) as c_int;
    }
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
    unsafe { original::accept4(fd, from, len, flags) }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    static STREAMS: AtomicU64 = AtomicU64::new(0);
    let is_stream = domain == libc::AF_INET && kind & SOCKET_TYPE_MASK == libc::SOCK_STREAM;
    if is_stream && STREAMS.fetch_add(1, Ordering::Relaxed) < plan().socket_first {
        return fail(libc::ENFILE) as c_int;
    }
    if domain == libc::AF_INET && plan().draws_fault(plan().socket) {
        return fail(draw_error(&SOCKET_ERRORS)) as c_int;
    }
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on unchanged.
    unsafe { original::socket(domain, kind, protocol) }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, len: socklen_t) -> c_int {
    if plan().draws_fault(plan().connect) {
        return fail(draw_error(&CONNECT_ERRORS)) as c_int;
    }
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on, with the same or a smaller length.
    unsafe { original::connect(fd, to, len) }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if plan().draws_fault(plan().disk) {
        return fail(libc::EIO) as c_int;
    }
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on unchanged.
    unsafe { original::fsync(fd) }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if plan().draws_fault(plan().disk) {
        return fail(libc::EIO) as c_int;
    }
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on unchanged.
    unsafe { original::fdatasync(fd) }
}

#[no_mangle]
pub(crate) unsafe extern "C" fn clock_gettime(clock: c_int, now: *mut timespec) -> c_int {
    // SAFETY: the caller upholds the contract of the call; the arguments are passed on unchanged.
    let result = unsafe { original::clock_gettime(clock, now) };
    // Only the wall clock is stepped. The plan itself measures time by the monotonic clock.
    if result != 0 || clock != libc::CLOCK_REALTIME || plan().wall_step_ms == 0 || !plan().is_active() {
        return result;
    }
    // SAFETY: the call succeeded, so `now` is valid and initialized.
    let now = unsafe { &mut *now };
    let nanoseconds =
        now.tv_sec * NANOSECONDS_PER_SECOND + now.tv_nsec + plan().wall_step_ms * NANOSECONDS_PER_MILLISECOND;
    now.tv_sec = nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
    now.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
    result
}

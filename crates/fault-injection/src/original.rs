//! Calls to the C library's implementations of the functions that this library replaces.

/// Declares a function that calls the next definition of the symbol of the same name, which is the C library's.
macro_rules! original {
    ($name:ident ( $($argument:ident : $type:ty),* ) -> $result:ty) => {
        pub(crate) unsafe fn $name($($argument: $type),*) -> $result {
            use std::sync::atomic::{AtomicPtr, Ordering};
            static NEXT: AtomicPtr<libc::c_void> = AtomicPtr::new(std::ptr::null_mut());
            let mut next = NEXT.load(Ordering::Relaxed);
            if next.is_null() {
                let symbol = concat!(stringify!($name), "\0");
                // SAFETY: `symbol` is a NUL-terminated string.
                next = unsafe { libc::dlsym(libc::RTLD_NEXT, symbol.as_ptr().cast()) };
                if next.is_null() {
                    std::process::abort();
                }
                NEXT.store(next, Ordering::Relaxed);
            }
            // SAFETY: the C library defines this symbol with this signature.
            let next: unsafe extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(next) };
            // SAFETY: the caller upholds the contract of the function, and the arguments are passed on unchanged.
            unsafe { next($($argument),*) }
        }
    };
}

use libc::{c_int, c_void, iovec, off64_t, sockaddr, socklen_t, ssize_t, timespec};

original!(read(fd: c_int, buffer: *mut c_void, len: usize) -> ssize_t);
original!(write(fd: c_int, buffer: *const c_void, len: usize) -> ssize_t);
original!(writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t);
original!(pwrite64(fd: c_int, buffer: *const c_void, len: usize, at: off64_t) -> ssize_t);
original!(recv(fd: c_int, buffer: *mut c_void, len: usize, flags: c_int) -> ssize_t);
original!(send(fd: c_int, buffer: *const c_void, len: usize, flags: c_int) -> ssize_t);
original!(recvfrom(
    fd: c_int,
    buffer: *mut c_void,
    len: usize,
    flags: c_int,
    from: *mut sockaddr,
    from_len: *mut socklen_t
) -> ssize_t);
original!(sendto(
    fd: c_int,
    buffer: *const c_void,
    len: usize,
    flags: c_int,
    to: *const sockaddr,
    to_len: socklen_t
) -> ssize_t);
original!(accept4(fd: c_int, from: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int);
original!(socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);
original!(connect(fd: c_int, to: *const sockaddr, len: socklen_t) -> c_int);
original!(fsync(fd: c_int) -> c_int);
original!(fdatasync(fd: c_int) -> c_int);
original!(clock_gettime(clock: c_int, now: *mut timespec) -> c_int);

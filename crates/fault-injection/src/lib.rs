//! Faults of system calls for processes under test, loaded with `LD_PRELOAD`. Nothing links this library.
//!
//! The input is the environment variable `plan::VARIABLE`; the output are system calls that fail, transfer less than asked for,
//! or return a stepped wall clock, by chance from a seed. The invariant: **each fault is one that Linux documents for that
//! call**, and the calls that fail have no effect. Where the plan names a switch, faults occur only while that file exists, so
//! that a test begins and ends them by an event and not by time.

mod calls;
mod original;
mod plan;

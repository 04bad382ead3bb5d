//! System-call faults for processes under test, loaded with `LD_PRELOAD`. Nothing links this library.
//!
//! In comes the environment variable [`plan::VARIABLE`]; out come system calls that fail, are cut short, or tell a stepped wall
//! clock, by chance from a seed. Rule: **each fault is one that Linux documents for that call**, and the calls that fail had no
//! effect. Where the plan names a switch, faults happen only while that file exists, so that a test begins and ends them by
//! an event and not by time.

mod calls;
mod original;
mod plan;

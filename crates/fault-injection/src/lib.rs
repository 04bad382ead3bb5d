//! A library that injects system call faults into a process under test. It is loaded with `LD_PRELOAD` and never linked.
//!
//! The environment variable `plan::VARIABLE` configures which system calls fail, transfer fewer bytes than requested, or return
//! a stepped wall clock. Faults are drawn at random from a seed. Invariant: **every injected fault is one that Linux documents
//! for that call**, and a call that fails has no effect. If the plan names a switch file, faults occur only while that file
//! exists, so that a test starts and stops them explicitly and doesn't depend on timing.

mod calls;
mod original;
mod plan;

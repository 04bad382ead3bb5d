//! What staff say to a gateway, and what they see of it.
//!
//! In come their calls ([`calls`]), engines named by hand ([`hand`]), lists that an earlier process heard ([`heard`]), counts of what happened ([`figures`]), and what a
//! process sees of the others of its gateway ([`lives`]); out come answers, the engines that get nothing, and who of
//! two processes takes new connections. The rules that are kept: **an engine that is out by hand is out until it is
//! called back**, whatever lists, reloads and restarts come between; and **a process stops listening only once another
//! listens**. No I/O and no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod figures;
pub mod hand;
pub mod heard;
pub mod lives;

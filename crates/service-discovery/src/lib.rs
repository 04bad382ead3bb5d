//! What a gateway knows of the list of engines, which it polls from a name service.
//!
//! The input: polls that are sent, responses that are received, and changes of the service's address. The output: when and
//! from which flow the next poll is sent, how each response counts, how old the list is, and until when it may be relied on.
//! The invariant: **a response is taken for as long as it may come**, whatever happens to the service's address or to other
//! flows meanwhile.
//!
//! The parts: a [`poll`] is one of the [`outstanding_polls`] and is sent from one of the [`flows`]; [`responses`] are
//! classified by kind and [`versions`], and confirm the list as of an [`age`]; [`discovery`] connects the parts. There is no
//! I/O and no clock: each time is passed in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod age;
pub mod discovery;
pub mod flows;
pub mod outstanding_polls;
pub mod poll;
pub mod responses;
pub mod versions;

pub use starlingplank_pacing::Milliseconds;

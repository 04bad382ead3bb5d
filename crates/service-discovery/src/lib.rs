//! Service discovery: the state of the list of engines that a gateway polls from a name service.
//!
//! The input: polls that are sent, responses that are received, and changes of the service's address. The output: the time and
//! the flow of the next poll, the classification of each response, the age of the list, and the end of the lease on it.
//! The invariant: **a response is accepted until its poll expires**, regardless of changes of the service's address or of
//! failures of other flows meanwhile.
//!
//! The modules: a [`poll`] is one of the [`outstanding_polls`] and is sent from one of the [`flows`]; [`responses`] are
//! classified by kind and by [`versions`], and determine the [`age`] of the list; [`discovery`] connects the other modules.
//! The crate performs no I/O and reads no clock: callers pass in the current time.
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

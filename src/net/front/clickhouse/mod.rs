//! The ClickHouse HTTP interface: the same requests, deadlines and answers as the platform's protocol, in the terms of
//! that interface.
//!
//! [`serve`] owns a connection and handles one request after the other. `request` reads a request, `query` submits it and
//! `response` writes its answer.

mod query;
mod request;
mod response;
mod session;

pub use session::serve;

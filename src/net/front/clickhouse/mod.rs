//! The ClickHouse HTTP interface for clients, with the same requests, deadlines and answers as the platform's protocol.
//!
//! [`serve`] owns a connection and handles its requests one after another. `request` reads a request, `query` submits it
//! and `response` writes the answer.

mod query;
mod request;
mod response;
mod session;

pub use session::serve;

//! The platform's protocol: framed Thrift in the strict binary encoding.
//!
//! [`serve`] owns a connection: it reads frames, has `decode` read the messages in place, and handles them. `call` checks
//! the fields of a call; `encode` writes answers, whose results are passed on as they arrived.

mod call;
mod decode;
mod encode;
mod protocol;
mod session;

pub use decode::{frame_len, message, Message};
pub use session::serve;

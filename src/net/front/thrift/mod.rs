//! The platform's client protocol: framed Thrift in the strict binary encoding.
//!
//! [`serve`] owns a connection: it reads frames and handles the messages that `decode` parses in place. `call` validates
//! the fields of a call; `encode` writes answers and leaves the bytes of results unchanged.

mod call;
mod decode;
mod encode;
mod protocol;
mod session;

pub use decode::{frame_len, message, Message};
pub use session::serve;

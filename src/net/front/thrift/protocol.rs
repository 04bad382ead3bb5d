//! Constants of the Thrift binary protocol.

/// Version of the strict encoding, in the upper half of the first word of a message.
pub(super) const VERSION: u32 = 0x8001_0000;
/// Mask of the version bits in the first word of a message.
pub(super) const VERSION_MASK: u32 = 0xffff_0000;

/// Message type: a call that expects an answer.
pub(super) const CALL: u8 = 1;
/// Message type: the answer to a call.
pub(super) const REPLY: u8 = 2;
/// Message type: a call failed before its method ran.
pub(super) const EXCEPTION: u8 = 3;
/// Message type: a call without an answer.
pub(super) const ONEWAY: u8 = 4;

/// Field type that marks the end of a struct.
pub(super) const STOP: u8 = 0;
/// Field type: a Boolean.
pub(super) const BOOL: u8 = 2;
/// Field type: a byte.
pub(super) const BYTE: u8 = 3;
/// Field type: a double.
pub(super) const DOUBLE: u8 = 4;
/// Field type: an integer of 16 bits.
pub(super) const I16: u8 = 6;
/// Field type: an integer of 32 bits.
pub(super) const I32: u8 = 8;
/// Field type: an integer of 64 bits.
pub(super) const I64: u8 = 10;
/// Field type: text or bytes.
pub(super) const STRING: u8 = 11;
/// Field type: a struct.
pub(super) const STRUCT: u8 = 12;
/// Field type: a map.
pub(super) const MAP: u8 = 13;
/// Field type: a set.
pub(super) const SET: u8 = 14;
/// Field type: a list.
pub(super) const LIST: u8 = 15;

/// Exception code: the method is not supported.
pub(super) const UNKNOWN_METHOD: i32 = 1;
/// Exception code: the arguments cannot be decoded.
pub(super) const PROTOCOL_ERROR: i32 = 7;

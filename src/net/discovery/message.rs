//! Messages of service discovery: DNS over UDP (RFC 1035), a query for SRV records and the endpoint list in its response.

use crate::config::to_member;
use crate::core::Endpoint;
use crate::interface::{Availability, Settings};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use winnow::binary::{be_u16, be_u32, length_take, u8};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::token::take;

/// DNS name that is queried for SRV records.
pub const SERVICE: &str = "_work._tcp.fleet.local";
/// Record types and class of RFC 1035, and the type SRV of RFC 2782.
const TYPE_A: u16 = 1;
const TYPE_SOA: u16 = 6;
const TYPE_TXT: u16 = 16;
const TYPE_SRV: u16 = 33;
const CLASS_IN: u16 = 1;
/// Mask of the flags that are checked in a response: response, opcode, truncation and response code.
const CHECKED_FLAGS: u16 = 0xfa0f;
/// Value of the checked flags in a complete response to a standard query without an error.
const COMPLETE_RESPONSE: u16 = 0x8000;
/// Truncation flag in the third byte of a message.
const TRUNCATED_FLAG: u8 = 0x02;
/// Smallest value of a length byte that begins a two-byte compression pointer.
const MIN_POINTER_BYTE: u8 = 192;
/// Mask of the bits in the first byte of a compression pointer that belong to the offset.
const POINTER_OFFSET_BITS: u8 = 63;
/// Maximum number of labels and compression pointers in one name. It ends the parsing of a loop of pointers.
const MAX_LABELS: usize = 128;

type ParseResult<T> = Result<T, EmptyError>;

/// Reason why a message contains no endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The truncation flag of the message is set.
    #[error("the message is truncated by the sender")]
    Truncated,
    /// The message is damaged, incomplete, not a response, or reports an error.
    #[error("the message is malformed, or reports an error")]
    Malformed,
}

/// Addresses of the engines in the endpoint list in use, by engine id.
pub type KnownAddresses = BTreeMap<String, SocketAddr>;

/// A response that contains an endpoint list.
#[derive(Debug, PartialEq)]
pub struct ListResponse {
    /// The message id, which is that of the query.
    pub id: u16,
    /// The version of the list, from the SOA serial: the number of the last event that changed it.
    pub version: u64,
    /// All engines of the list.
    pub endpoints: Vec<Endpoint>,
}

/// Encodes a query for the SRV records of [`SERVICE`] with the message id `id`.
pub fn encode_query(id: u16) -> Vec<u8> {
    let mut message = Vec::new();
    for word in [id, 0, 1, 0, 0, 0] {
        message.extend(word.to_be_bytes());
    }
    for label in SERVICE.split('.') {
        message.push(label.len() as u8);
        message.extend(label.as_bytes());
    }
    message.push(0);
    message.extend(TYPE_SRV.to_be_bytes());
    message.extend(CLASS_IN.to_be_bytes());
    message
}

/// Parses a response. An engine without an A record keeps its address from `known`. An engine whose address is not known
/// either is omitted, as nothing can be sent to it.
///
/// # Errors
/// The message contains no endpoint list: the list in use stays.
pub fn parse(
    bytes: &[u8],
    settings: &Settings,
    known: &KnownAddresses,
) -> Result<ListResponse, MessageError> {
    parse_list(bytes, settings, known).ok_or_else(|| match is_truncated(bytes) {
        true => MessageError::Truncated,
        false => MessageError::Malformed,
    })
}

fn is_truncated(bytes: &[u8]) -> bool {
    bytes.get(2).is_some_and(|flags| flags & TRUNCATED_FLAG != 0)
}

fn parse_list(bytes: &[u8], settings: &Settings, known: &KnownAddresses) -> Option<ListResponse> {
    let (id, records) = parse_message(bytes).ok()?;
    let version = records.serial?;
    let services = records.services.iter();
    let endpoints = services.filter_map(|service| records.endpoint(service, settings, known)).collect();
    Some(ListResponse { id, version, endpoints })
}

/// An SRV record: one engine of the list.
struct Service {
    /// Zero if the engine accepts new work; any other value if the engine is draining.
    priority: u16,
    port: u16,
    target: String,
}

/// The records of a response that describe the list.
#[derive(Default)]
struct Records<'a> {
    serial: Option<u64>,
    services: Vec<Service>,
    /// IPv4 addresses by host name in lower case, as names are compared without regard to case (RFC 4343).
    addresses: BTreeMap<String, Ipv4Addr>,
    texts: BTreeMap<String, Vec<&'a str>>,
}

impl Records<'_> {
    /// Returns the endpoint that an SRV record describes; `None` if its address is not known.
    fn endpoint(&self, service: &Service, settings: &Settings, known: &KnownAddresses) -> Option<Endpoint> {
        let Service { priority, port, target } = service;
        let mut labels = target.split('.');
        let (engine, zone) = (labels.next().unwrap_or_default(), labels.next().unwrap_or_default());
        let owner = target.to_ascii_lowercase();
        let address_of_owner = self.addresses.get(&owner).map(|ip| SocketAddr::new(IpAddr::V4(*ip), *port));
        let address = address_of_owner.or_else(|| known.get(engine).copied())?;
        let kind = self.text(&owner, "kind").unwrap_or("");
        let cell = self.number(&owner, "cell") as u64;
        let started = self.number(&owner, "started");
        let availability = if *priority == 0 { Availability::Live } else { Availability::Draining };
        let member = to_member(settings, engine, zone, kind, cell, availability, started);
        Some(Endpoint { member, address })
    }

    /// Returns the value of the first TXT attribute `key=value` of a host name.
    fn text(&self, owner: &str, key: &str) -> Option<&str> {
        let mut attributes = self.texts.get(owner)?.iter().filter_map(|text| text.split_once('='));
        attributes.find(|(name, _)| *name == key).map(|(_, value)| value)
    }

    /// Returns a numeric TXT attribute, or 0 if the attribute is missing or not a number.
    fn number(&self, owner: &str, key: &str) -> f64 {
        self.text(owner, key).and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }
}

fn parse_message(message: &[u8]) -> ParseResult<(u16, Records<'_>)> {
    let mut input = message;
    let (id, flags) = (be_u16, be_u16).parse_next(&mut input)?;
    let (queries, answers, authorities, additional) =
        (be_u16, be_u16, be_u16, be_u16).parse_next(&mut input)?;
    if flags & CHECKED_FLAGS != COMPLETE_RESPONSE {
        return Err(EmptyError);
    }
    for _ in 0..queries {
        parse_name(message, &mut input)?;
        (be_u16, be_u16).parse_next(&mut input)?;
    }
    let mut records = Records::default();
    let count = usize::from(answers) + usize::from(authorities) + usize::from(additional);
    for _ in 0..count {
        parse_record(message, &mut input, &mut records)?;
    }
    Ok((id, records))
}

fn parse_record<'a>(message: &'a [u8], input: &mut &'a [u8], records: &mut Records<'a>) -> ParseResult<()> {
    let owner = parse_name(message, input)?;
    let (kind, class, _time_to_live) = (be_u16, be_u16, be_u32).parse_next(input)?;
    let mut data: &[u8] = length_take(be_u16).parse_next(input)?;
    if class != CLASS_IN {
        return Ok(());
    }
    match kind {
        TYPE_SRV if owner.eq_ignore_ascii_case(SERVICE) => {
            let (priority, _weight, port) = (be_u16, be_u16, be_u16).parse_next(&mut data)?;
            let target = parse_name(message, &mut data)?;
            records.services.push(Service { priority, port, target });
        }
        TYPE_A => {
            let address = be_u32.parse_next(&mut data)?;
            records.addresses.insert(owner.to_ascii_lowercase(), Ipv4Addr::from(address));
        }
        TYPE_TXT => {
            let texts = records.texts.entry(owner.to_ascii_lowercase()).or_default();
            while !data.is_empty() {
                let text: &[u8] = length_take(u8).parse_next(&mut data)?;
                texts.extend(std::str::from_utf8(text).ok());
            }
        }
        TYPE_SOA => {
            let _primary_server = parse_name(message, &mut data)?;
            let _mailbox = parse_name(message, &mut data)?;
            records.serial = Some(be_u32.parse_next(&mut data)?.into());
        }
        _ => {}
    }
    Ok(())
}

/// Parses a domain name, following compression pointers into the message.
fn parse_name<'a>(message: &'a [u8], input: &mut &'a [u8]) -> ParseResult<String> {
    let mut name = String::new();
    // The rest of the message from the target of the last pointer. `input` advances only up to the end of the first pointer.
    let mut target: Option<&'a [u8]> = None;
    for _ in 0..MAX_LABELS {
        let rest = target.as_mut().unwrap_or(input);
        let length = u8.parse_next(rest)?;
        match length {
            0 => return Ok(name),
            1..=63 => {
                let label =
                    take(length).verify_map(|bytes| std::str::from_utf8(bytes).ok()).parse_next(rest)?;
                if !name.is_empty() {
                    name.push('.');
                }
                name.push_str(label);
            }
            MIN_POINTER_BYTE.. => {
                let low = u8.parse_next(rest)?;
                let offset = usize::from(length & POINTER_OFFSET_BITS) << 8 | usize::from(low);
                target = Some(message.get(offset..).ok_or(EmptyError)?);
            }
            _ => return Err(EmptyError),
        }
    }
    Err(EmptyError)
}

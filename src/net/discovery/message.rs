//! The messages of service discovery: DNS over UDP (RFC 1035), a question for SRV records and the list in its answer.

use crate::config::describe;
use crate::core::Endpoint;
use crate::interface::{Availability, Settings};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use winnow::binary::{be_u16, be_u32, length_take, u8};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::token::take;

/// What is asked for.
pub const SERVICE: &str = "_work._tcp.fleet.local";
const A: u16 = 1;
const SOA: u16 = 6;
const TXT: u16 = 16;
const SRV: u16 = 33;
const IN: u16 = 1;
/// Labels of one name at most, pointers counted: loops end.
const LABELS: usize = 128;

type Res<T> = Result<T, EmptyError>;

/// A question with that id.
pub fn question(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    for word in [id, 0, 1, 0, 0, 0] {
        out.extend(word.to_be_bytes());
    }
    for label in SERVICE.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
    out.extend(SRV.to_be_bytes());
    out.extend(IN.to_be_bytes());
    out
}

/// Reads a name, following pointers into the whole message.
fn name<'a>(whole: &'a [u8], i: &mut &'a [u8]) -> Res<String> {
    let mut out = String::new();
    let mut far: Option<&'a [u8]> = None;
    for _ in 0..LABELS {
        let rest = far.as_mut().unwrap_or(i);
        let len = u8.parse_next(rest)?;
        match len {
            0 => return Ok(out),
            1..=63 => {
                let label = take(len).verify_map(|b| std::str::from_utf8(b).ok()).parse_next(rest)?;
                if !out.is_empty() {
                    out.push('.');
                }
                out.push_str(label);
            }
            192.. => {
                let low = u8.parse_next(rest)?;
                let at = usize::from(len & 63) << 8 | usize::from(low);
                far = Some(whole.get(at..).ok_or(EmptyError)?);
            }
            _ => return Err(EmptyError),
        }
    }
    Err(EmptyError)
}

#[derive(Default)]
struct Records<'a> {
    serial: Option<u64>,
    targets: Vec<(u16, u16, String)>,
    /// By names in lower case, as names are the same whatever their case (RFC 4343).
    addresses: BTreeMap<String, Ipv4Addr>,
    texts: BTreeMap<String, Vec<&'a str>>,
}

fn record<'a>(whole: &'a [u8], i: &mut &'a [u8], records: &mut Records<'a>) -> Res<()> {
    let owner = name(whole, i)?;
    let (kind, class, _ttl) = (be_u16, be_u16, be_u32).parse_next(i)?;
    let mut data: &[u8] = length_take(be_u16).parse_next(i)?;
    let d = &mut data;
    match (class, kind) {
        (IN, SRV) if owner.eq_ignore_ascii_case(SERVICE) => {
            let (priority, _weight, port) = (be_u16, be_u16, be_u16).parse_next(d)?;
            records.targets.push((priority, port, name(whole, d)?));
        }
        (IN, A) => {
            let address = be_u32.parse_next(d)?;
            records.addresses.insert(owner.to_ascii_lowercase(), Ipv4Addr::from(address));
        }
        (IN, TXT) => {
            let texts = records.texts.entry(owner.to_ascii_lowercase()).or_default();
            while !d.is_empty() {
                let text: &[u8] = length_take(u8).parse_next(d)?;
                texts.extend(std::str::from_utf8(text).ok());
            }
        }
        (IN, SOA) => {
            name(whole, d)?;
            name(whole, d)?;
            records.serial = Some(be_u32.parse_next(d)?.into());
        }
        _ => {}
    }
    Ok(())
}

/// The addresses of the engines in the list that is in use, by id.
pub type KnownAddresses = BTreeMap<String, SocketAddr>;

/// An answer: the id of its question, the number of the last event, and the whole list.
#[derive(Debug, PartialEq)]
pub struct Answered {
    /// Of the question.
    pub id: u16,
    /// Of the last event.
    pub serial: u64,
    /// The engines.
    pub list: Vec<Endpoint>,
}

fn message<'a>(whole: &'a [u8]) -> Res<(u16, Records<'a>)> {
    let mut i = whole;
    let (id, flags, asked, answers, authorities, more) =
        (be_u16, be_u16, be_u16, be_u16, be_u16, be_u16).parse_next(&mut i)?;
    // A response, whole, to a plain question, without error.
    if flags & 0xfa0f != 0x8000 {
        return Err(EmptyError);
    }
    for _ in 0..asked {
        name(whole, &mut i)?;
        (be_u16, be_u16).parse_next(&mut i)?;
    }
    let mut records = Records::default();
    let all = usize::from(answers) + usize::from(authorities) + usize::from(more);
    (0..all).try_for_each(|_| record(whole, &mut i, &mut records))?;
    Ok((id, records))
}

/// Whether an answer says of itself that it does not hold all (the truncation flag of RFC 1035).
pub fn is_truncated(bytes: &[u8]) -> bool {
    const TRUNCATED: u8 = 0x02;
    bytes.get(2).is_some_and(|flags| flags & TRUNCATED != 0)
}

/// Reads an answer. None: it is damaged, cut short or an error, and the list held stays.
///
/// An engine whose address is missing keeps the one that is known of it. Where none is known it is left out: nothing can be sent
/// to it, and what the list tells of the others counts.
pub fn read(bytes: &[u8], settings: &Settings, known: &KnownAddresses) -> Option<Answered> {
    let (id, records) = message(bytes).ok()?;
    let mut list = Vec::new();
    for (priority, port, target) in &records.targets {
        let mut labels = target.split('.');
        let (engine, zone) = (labels.next()?, labels.next().unwrap_or_default());
        let name = target.to_ascii_lowercase();
        let told = records.addresses.get(&name).map(|ip| SocketAddr::new(IpAddr::V4(*ip), *port));
        let Some(address) = told.or_else(|| known.get(engine).copied()) else { continue };
        let texts = records.texts.get(&name).map(Vec::as_slice).unwrap_or_default();
        let text = |key: &str| texts.iter().find_map(|t| t.split_once('=').filter(|(k, _)| *k == key));
        let number = |key: &str| text(key).and_then(|(_, v)| v.parse::<f64>().ok()).unwrap_or(0.0);
        let state = if *priority == 0 { Availability::Live } else { Availability::Draining };
        let kind = text("kind").map_or("", |(_, v)| v);
        let member = describe(settings, engine, zone, kind, number("cell") as u64, state, number("started"));
        list.push(Endpoint { member, address });
    }
    Some(Answered { id, serial: records.serial?, list })
}

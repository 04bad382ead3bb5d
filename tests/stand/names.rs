//! Encodes answers of the name service, and runs a name service that serves a list set by the test.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// Encodes the answer of the name service to a query: an endpoint list with a serial number, in which no engine is draining.
pub(crate) fn names_answer(query: &[u8], serial: u32, engines: &[(&str, SocketAddr)]) -> Vec<u8> {
    let all: Vec<_> = engines.iter().map(|(id, at)| (*id, *at, false)).collect();
    names_answer_with_draining(query, serial, &all)
}

/// Encodes the answer to a query as [`names_answer`] does, with a flag per engine for whether it is draining.
pub(crate) fn names_answer_with_draining(
    query: &[u8],
    serial: u32,
    engines: &[(&str, SocketAddr, bool)],
) -> Vec<u8> {
    let all: Vec<_> = engines.iter().map(|(id, at, is_draining)| (*id, *at, *is_draining, 0)).collect();
    names_answer_with_starts(query, serial, &all)
}

/// Encodes the answer to a query as [`names_answer_with_draining`] does, with the start time of each engine in Unix milliseconds, or 0 if it
/// started long ago.
pub(crate) fn names_answer_with_starts(
    query: &[u8],
    serial: u32,
    engines: &[(&str, SocketAddr, bool, u64)],
) -> Vec<u8> {
    let record = |message: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]| {
        message.extend(owner);
        message.extend([0, kind, 0, 1, 0, 0, 0, 0]);
        message.extend((data.len() as u16).to_be_bytes());
        message.extend(data);
    };
    let count = engines.len() as u16;
    let started = engines.iter().filter(|(.., started)| *started > 0).count() as u16;
    let counts = [1, count, 1, count + started].map(u16::to_be_bytes).concat();
    let mut message = [&query[..2], &[0x84, 0], &counts, &query[12..]].concat();
    let target = |id: &str| [&[id.len() as u8], id.as_bytes(), b"\x01a\x05hosts\0"].concat();
    for (id, at, is_draining, _) in engines {
        let data = [&[0, u8::from(*is_draining), 0, 40][..], &at.port().to_be_bytes(), &target(id)].concat();
        record(&mut message, &[0xc0, 12], 33, &data);
    }
    record(&mut message, &[0], 6, &[&[0, 0][..], &serial.to_be_bytes(), &[0; 16]].concat());
    for (id, at, _, started) in engines {
        let SocketAddr::V4(at) = at else { panic!("IPv4") };
        record(&mut message, &target(id), 1, &at.ip().octets());
        if *started > 0 {
            let text = format!("started={started}");
            record(&mut message, &target(id), 16, &[&[text.len() as u8], text.as_bytes()].concat());
        }
    }
    message
}

/// The list that a name service serves: serial number and engines. With `None` it doesn't answer.
pub(crate) type ServedList = Arc<Mutex<Option<(u32, Vec<(&'static str, SocketAddr, bool)>)>>>;

/// Starts a name service that answers with the list in the returned [`ServedList`], and doesn't answer until it is set.
pub(crate) fn list_service() -> (SocketAddr, ServedList) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (at, answer) = (socket.local_addr().expect("bound"), ServedList::default());
    let current = answer.clone();
    thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((len, from)) = socket.recv_from(&mut bytes) {
            if let Some((serial, list)) = &*current.lock().expect("list") {
                let _ = socket.send_to(&names_answer_with_draining(&bytes[..len], *serial, list), from);
            }
        }
    });
    (at, answer)
}

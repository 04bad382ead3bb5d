//! Answers of a name service, and one that answers what the test sets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// A name service's answer to a question: a list of these engines, with that number.
pub(crate) fn names_answer(question: &[u8], serial: u32, engines: &[(&str, SocketAddr)]) -> Vec<u8> {
    let all: Vec<_> = engines.iter().map(|(id, at)| (*id, *at, false)).collect();
    names_answer_of(question, serial, &all)
}

/// The same, of engines that drain or don't.
pub(crate) fn names_answer_of(question: &[u8], serial: u32, engines: &[(&str, SocketAddr, bool)]) -> Vec<u8> {
    let all: Vec<_> = engines.iter().map(|(id, at, drains)| (*id, *at, *drains, 0)).collect();
    names_answer_with_starts(question, serial, &all)
}

/// The same, with the Unix milliseconds of late starts; 0 for a start long ago.
pub(crate) fn names_answer_with_starts(
    question: &[u8],
    serial: u32,
    engines: &[(&str, SocketAddr, bool, u64)],
) -> Vec<u8> {
    let record = |out: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]| {
        out.extend(owner);
        out.extend([0, kind, 0, 1, 0, 0, 0, 0]);
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
    };
    let count = engines.len() as u16;
    let started = engines.iter().filter(|(.., started)| *started > 0).count() as u16;
    let counts = [1, count, 1, count + started].map(u16::to_be_bytes).concat();
    let mut out = [&question[..2], &[0x84, 0], &counts, &question[12..]].concat();
    let target = |id: &str| [&[id.len() as u8], id.as_bytes(), b"\x01a\x05hosts\0"].concat();
    for (id, at, drains, _) in engines {
        let data = [&[0, u8::from(*drains), 0, 40][..], &at.port().to_be_bytes(), &target(id)].concat();
        record(&mut out, &[0xc0, 12], 33, &data);
    }
    record(&mut out, &[0], 6, &[&[0, 0][..], &serial.to_be_bytes(), &[0; 16]].concat());
    for (id, at, _, started) in engines {
        let SocketAddr::V4(at) = at else { panic!("IPv4") };
        record(&mut out, &target(id), 1, &at.ip().octets());
        if *started > 0 {
            let text = format!("started={started}");
            record(&mut out, &target(id), 16, &[&[text.len() as u8], text.as_bytes()].concat());
        }
    }
    out
}

/// The answer of a list service: version and engines; none where it is silent.
pub(crate) type ListAnswer = Arc<Mutex<Option<(u32, Vec<(&'static str, SocketAddr, bool)>)>>>;

pub(crate) fn list_service() -> (SocketAddr, ListAnswer) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (at, answer) = (socket.local_addr().expect("bound"), ListAnswer::default());
    let current = answer.clone();
    thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((len, from)) = socket.recv_from(&mut bytes) {
            if let Some((serial, list)) = &*current.lock().expect("list") {
                let _ = socket.send_to(&names_answer_of(&bytes[..len], *serial, list), from);
            }
        }
    });
    (at, answer)
}

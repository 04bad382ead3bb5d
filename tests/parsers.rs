//! Case tables for the parsers: complete input, input that needs more bytes, and invalid input.

use rstest::rstest;
use starlingplank::interface::Settings;
use starlingplank::net::discovery::message::{self, KnownAddresses, MessageError};
use starlingplank::net::engine::resp::{self, Read};
use starlingplank::net::front::thrift::{self, Message};
use starlingplank::net::http;
use starlingplank::simulator::{self, Line};

#[rstest]
#[case("*4\r\n$1\r\nq\r\n$6\r\nserved\r\n$7\r\npages=2\r\n$4\r\na\r\nb\r\nrest", "q served 2 4 rest")]
#[case("*2\r\n$2\r\np1\r\n$5\r\ngreen\r\n", "p1 green - 0 ")]
#[case("*4\r\n$1\r\nq\r\n$6\r\nser", "more")]
#[case("", "more")]
#[case("*1\r\n$1\r\nq\r\n", "bad")]
#[case("*4\r\n$99999\r\n", "bad")]
#[case("+OK\r\n", "bad")]
#[case("*4\r\n$-1\r\n", "bad")]
fn engine_replies_are_parsed(#[case] bytes: &str, #[case] expected: &str) {
    let parsed = match resp::read(bytes.as_bytes(), 1000) {
        Read::Reply(reply, used) => {
            let kind = String::from_utf8_lossy(reply.kind);
            let pages = reply.field("pages").unwrap_or("-");
            format!("{} {kind} {pages} {} {}", reply.id, reply.body.len(), &bytes[used..])
        }
        Read::Incomplete => "more".into(),
        Read::Invalid => "bad".into(),
    };
    assert_eq!(parsed, expected);
}

#[test]
fn load_report_fields_are_parsed_under_either_name() {
    for text in ["inflight:7;util:0.5;new:1", "concurrent:7;load_share:0.5"] {
        let report = resp::parse_load_report(text);
        assert_eq!((report.inflight, report.util), (Some(7.0), Some(0.5)));
    }
}

const CALL: &[u8] = b"\x80\x01\x00\x01\x00\x00\x00\x04call\x00\x00\x00\x07\
    \x0d\x00\x01\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x01a\x00\x00\x00\x01b\x08\x00\x09\x00\x00\x00\x01\x0b\x00\x02\x00\x00\x00\x02hi\x00";

#[test]
fn call_with_unknown_fields_is_parsed_and_its_truncations_are_rejected() {
    let Some(Message::Call { seqid: 7, fields, body: b"hi" }) = thrift::message(CALL) else {
        panic!("not parsed")
    };
    assert_eq!(fields.get("a"), Some(&"b"));
    for cut in 0..CALL.len() {
        assert!(!matches!(thrift::message(&CALL[..cut]), Some(Message::Call { .. })), "cut at {cut}");
    }
}

#[rstest]
#[case("GET /?a=%41+b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n", "GET Some(Bytes(3))")]
#[case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "POST Some(Chunked)")]
#[case("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", "POST None")]
#[case("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n", "POST None")]
#[case("POST / HTTP/1.1\r\nHost", "more")]
#[case("POST / HTTP/1.1\r\nno header\r\n\r\n", "bad")]
fn http_heads_are_parsed(#[case] text: &str, #[case] expected: &str) {
    let parsed = match http::read_head(text.as_bytes()) {
        http::Read::Complete(h, _) => format!("{} {:?}", h.method_or_version, h.body(http::Length::Bytes(0))),
        http::Read::Incomplete => "more".into(),
        http::Read::Invalid => "bad".into(),
    };
    assert_eq!(parsed, expected);
    assert_eq!(http::decode("%41+b%"), "A b%");
}

fn settings() -> Settings {
    let text = "PROVISION\tfront_id=f\tentropy=1\tskus=std\tzones=east,west";
    let Ok(Line::Provision(_, settings)) = simulator::parse(text) else { panic!("not parsed") };
    *settings
}

/// Returns a response that lists one engine. Its record owners are compressed names: pointers to the question or to the SRV target.
fn response_packet() -> Vec<u8> {
    let mut packet = vec![0, 9, 0x84, 0, 0, 1, 0, 1, 0, 1, 0, 2];
    packet.extend(b"\x05_work\x04_tcp\x05fleet\x05local\x00\x00\x21\x00\x01");
    packet.extend(b"\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x00\x00\x17\x00\x01\x00\x28\x23\x82\x04s-ab\x04west\x05hosts\x00");
    let target = (packet.len() - 17) as u8;
    packet.extend(b"\xc0\x0c\x00\x06\x00\x01\x00\x00\x00\x00\x00\x16\x00\x00\x00\x00\x00\x2a");
    packet.extend([0; 16]);
    packet.extend([0xc0, target]);
    packet.extend(b"\x00\x01\x00\x01\x00\x00\x00\x00\x00\x04\x7f\x00\x00\x05");
    packet.extend([0xc0, target]);
    packet.extend(b"\x00\x10\x00\x01\x00\x00\x00\x00\x00\x10\x08kind=std\x06cell=2");
    packet
}

#[test]
fn endpoint_list_is_parsed_and_its_truncations_are_malformed() {
    let packet = response_packet();
    let response = message::parse(&packet, &settings(), &KnownAddresses::new()).expect("parsed");
    assert_eq!((response.id, response.version), (9, 42));
    let engine = &response.endpoints[0];
    assert_eq!((&*engine.member.engine.0, engine.member.cell), ("s-ab", 2));
    assert_eq!(engine.address.to_string(), "127.0.0.5:9090");
    assert_eq!(engine.member.zone, Some(starlingplank::interface::ZoneId(1)));
    assert!(
        engine.member.availability != starlingplank::interface::Availability::Live,
        "priority 1 means draining"
    );
    for cut in 0..packet.len() {
        let parsed = message::parse(&packet[..cut], &settings(), &KnownAddresses::new());
        assert_eq!(parsed, Err(MessageError::Malformed), "cut at {cut}");
    }
    // Names are compared without regard to case (RFC 4343).
    let mut uppercase = packet.clone();
    let zone = uppercase.windows(4).position(|bytes| bytes == b"west").expect("the zone is in the target");
    let address_owner = uppercase.len() - 26 - 16 - 2;
    assert_eq!(uppercase[address_owner], 0xc0, "the owner of the address is a pointer");
    uppercase.splice(address_owner..address_owner + 2, *b"\x04S-AB\x04WEST\x05HOSTS\x00");
    assert!(zone < address_owner);
    assert_eq!(
        message::parse(&uppercase, &settings(), &KnownAddresses::new()).expect("parsed").endpoints[0].address,
        engine.address
    );
    // A name that points at itself is malformed.
    let mut self_referencing = packet.clone();
    self_referencing[12..14].copy_from_slice(&[0xc0, 0x0c]);
    let parsed = message::parse(&self_referencing, &settings(), &KnownAddresses::new());
    assert_eq!(parsed, Err(MessageError::Malformed));
}

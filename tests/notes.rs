//! Progress updates of engines: they report the state of an in-flight attempt and are never its answer.

mod stand;

use rstest::rstest;
use stand::*;
use starlingplank::interface::ProgressUpdate;
use starlingplank::net::engine::resp::{self, InvalidProgressUpdate, Read};
use std::io::Write;
use std::sync::{Arc, Mutex};

const ID: &str = "00000000000000a1";
const LOOKUP: [(&str, &str); 3] = [("verb", "lookup"), ("txn", ID), ("limit", "60000")];

fn update(id: &str, fields: &str) -> String {
    reply(&[id, "update", fields, ""])
}

#[rstest]
#[case::progress("detail=p,v=0.25", Ok(Some(ProgressUpdate::Progress(0.25))))]
#[case::spill("detail=s,v=120", Ok(Some(ProgressUpdate::Spill(120.0))))]
#[case::waits_for_memory("detail=w,v=1", Ok(Some(ProgressUpdate::WaitsForMemory)))]
#[case::waits_for_load("v=2,detail=w", Ok(Some(ProgressUpdate::WaitsForLoad)))]
#[case::no_fields("-", Ok(None))]
#[case::empty_values("detail=,v=", Ok(None))]
#[case::other_fields_only("use=util:0.5", Ok(None))]
#[case::missing_value("detail=p", Err(InvalidProgressUpdate))]
#[case::missing_kind("v=0.5", Err(InvalidProgressUpdate))]
#[case::not_a_number("detail=p,v=half", Err(InvalidProgressUpdate))]
#[case::not_finite("detail=s,v=inf", Err(InvalidProgressUpdate))]
#[case::progress_above_one("detail=p,v=1.5", Err(InvalidProgressUpdate))]
#[case::negative_spill("detail=s,v=-1", Err(InvalidProgressUpdate))]
#[case::spill_out_of_range("detail=s,v=1e300", Err(InvalidProgressUpdate))]
#[case::unknown_wait("detail=w,v=3", Err(InvalidProgressUpdate))]
#[case::unknown_kind("detail=z,v=1", Err(InvalidProgressUpdate))]
fn progress_updates_are_parsed(
    #[case] fields: &str,
    #[case] expected: Result<Option<ProgressUpdate>, InvalidProgressUpdate>,
) {
    let bytes = update(ID, fields);
    let Read::Reply(read, _) = resp::read(bytes.as_bytes(), 1000) else { panic!("no complete reply") };
    assert_eq!(read.progress_update(), expected);
}

/// Guards against an update being taken for an invalid answer, which closes its connection and ends all requests on it.
#[rstest]
#[case::progress("detail=p,v=0.5")]
#[case::waits_for_load("detail=w,v=2")]
#[case::no_fields("-")]
#[case::missing_value("detail=p")]
#[case::not_a_number("detail=p,v=much")]
fn updates_before_an_answer_affect_neither_their_request_nor_later_ones(#[case] fields: &'static str) {
    let (address, log) = resp_engine(move |parts| {
        Some(match parts[0].as_str() {
            // Two updates, one update for an unknown request, then the answer.
            "want" => {
                update(&parts[1], fields).repeat(2)
                    + &update("00000000000000ff", fields)
                    + &reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"])
            }
            "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
            _ => String::new(),
        })
    });
    let gateway = Gateway::start(&config(&[address], "resp", 60_000));
    let mut client = gateway.thrift_client();
    for seq in 1..=3 {
        let id = format!("00000000000000b{seq}");
        let fields = [("verb", "lookup"), ("txn", &*id), ("limit", "60000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        assert_eq!(answer(&mut client), (seq, "served", "a\tb\tc\n".into()));
    }
    let log = log.lock().expect("log");
    assert_eq!(log.iter().filter(|parts| parts[0] == "want").count(), 3, "{log:?}");
    assert!(!log.iter().any(|parts| parts[0] == "closed"), "{log:?}");
}

/// Updates that arrive between or after the pages of a result do not change the result.
#[test]
fn updates_between_and_after_pages_are_ignored() {
    let (address, log) = resp_engine(|parts| {
        Some(match parts[0].as_str() {
            "want" => {
                reply(&[&parts[1], "served", "pages=2,cost=5,need=8", "1\t\t\n"])
                    + &update(&parts[1], "detail=p,v=0.9")
            }
            "turn" => {
                update(&parts[1], "detail=w,v=2")
                    + &reply(&[&parts[1], "rows", "page=1", "2\t\t\n"])
                    + &update(&parts[1], "detail=p,v=1")
            }
            _ => String::new(),
        })
    });
    let gateway = Gateway::start(&config(&[address], "resp", 60_000));
    let mut client = gateway.thrift_client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    assert_eq!(answer(&mut client), (1, "served", "1\t\t\n2\t\t\n".into()));
    let fields = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "60000")];
    client.write_all(&call(2, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    assert!(!log.lock().expect("log").iter().any(|parts| parts[0] == "closed"));
}

/// An update that arrives after its query was cancelled is not taken for an answer.
#[test]
fn update_for_a_cancelled_query_is_ignored() {
    let first_id: Arc<Mutex<Option<String>>> = Arc::default();
    let (address, log) = resp_engine(move |parts| {
        let mut first_id = first_id.lock().expect("first");
        Some(match parts[0].as_str() {
            "want" if first_id.is_none() => {
                *first_id = Some(parts[1].clone());
                String::new()
            }
            "never_mind" => update(&parts[1], "detail=p,v=0.5"),
            "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
            _ => String::new(),
        })
    });
    let gateway = Gateway::start(&config(&[address], "resp", 60_000));
    let mut client = gateway.thrift_client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    client.write_all(&cancel(1)).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
    let fields = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "60000")];
    client.write_all(&call(2, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client), (2, "served", "a\tb\tc\n".into()));
    assert!(!log.lock().expect("log").iter().any(|parts| parts[0] == "closed"));
}

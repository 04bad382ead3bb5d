//! Progress updates of engines: the state of an attempt in flight, never an answer to it.

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
#[case::memory("detail=w,v=1", Ok(Some(ProgressUpdate::WaitsForMemory)))]
#[case::load("v=2,detail=w", Ok(Some(ProgressUpdate::WaitsForLoad)))]
#[case::absent("-", Ok(None))]
#[case::empty("detail=,v=", Ok(None))]
#[case::others_alone("use=util:0.5", Ok(None))]
#[case::cut("detail=p", Err(InvalidProgressUpdate))]
#[case::no_kind("v=0.5", Err(InvalidProgressUpdate))]
#[case::not_a_number("detail=p,v=half", Err(InvalidProgressUpdate))]
#[case::not_finite("detail=s,v=inf", Err(InvalidProgressUpdate))]
#[case::past_all("detail=p,v=1.5", Err(InvalidProgressUpdate))]
#[case::below_nothing("detail=s,v=-1", Err(InvalidProgressUpdate))]
#[case::absurd("detail=s,v=1e300", Err(InvalidProgressUpdate))]
#[case::unknown_wait("detail=w,v=3", Err(InvalidProgressUpdate))]
#[case::unknown_kind("detail=z,v=1", Err(InvalidProgressUpdate))]
fn progress_updates_are_read(
    #[case] fields: &str,
    #[case] expected: Result<Option<ProgressUpdate>, InvalidProgressUpdate>,
) {
    let bytes = update(ID, fields);
    let Read::Reply(read, _) = resp::read(bytes.as_bytes(), 1000) else { panic!("an answer") };
    assert_eq!(read.progress_update(), expected);
}

/// An update was once taken for an invalid answer: its connection was closed with all requests on it.
#[rstest]
#[case::progress("detail=p,v=0.5")]
#[case::waits("detail=w,v=2")]
#[case::none("-")]
#[case::cut("detail=p")]
#[case::unusable("detail=p,v=much")]
fn updates_before_an_answer_leave_its_request_and_their_neighbours_alone(#[case] fields: &'static str) {
    let (at, log) = resp_engine(move |parts| {
        Some(match parts[0].as_str() {
            // Twice, then one for an unknown request, then the answer.
            "want" => {
                update(&parts[1], fields).repeat(2)
                    + &update("00000000000000ff", fields)
                    + &reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"])
            }
            "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
            _ => String::new(),
        })
    });
    let gateway = Gateway::start(&config(&[at], "resp", 60_000));
    let mut client = gateway.client();
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

/// Updates on a query whose result has begun change nothing in its pages.
#[test]
fn updates_between_and_after_pages_change_nothing() {
    let (at, log) = resp_engine(|parts| {
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
    let gateway = Gateway::start(&config(&[at], "resp", 60_000));
    let mut client = gateway.client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    assert_eq!(answer(&mut client), (1, "served", "1\t\t\n2\t\t\n".into()));
    let fields = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "60000")];
    client.write_all(&call(2, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    assert!(!log.lock().expect("log").iter().any(|parts| parts[0] == "closed"));
}

/// An update for a cancelled query is no second answer.
#[test]
fn update_for_a_query_that_was_given_up_changes_nothing() {
    let first: Arc<Mutex<Option<String>>> = Arc::default();
    let (at, log) = resp_engine(move |parts| {
        let mut first = first.lock().expect("first");
        Some(match parts[0].as_str() {
            "want" if first.is_none() => {
                *first = Some(parts[1].clone());
                String::new()
            }
            "never_mind" => update(&parts[1], "detail=p,v=0.5"),
            "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
            _ => String::new(),
        })
    });
    let gateway = Gateway::start(&config(&[at], "resp", 60_000));
    let mut client = gateway.client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    client.write_all(&cancel(1)).expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
    let fields = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "60000")];
    client.write_all(&call(2, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client), (2, "served", "a\tb\tc\n".into()));
    assert!(!log.lock().expect("log").iter().any(|parts| parts[0] == "closed"));
}

//! A client's mark of its own retry: the platform's calls carry it in `second`, and the decision module gets it. It changes
//! what the module learns of traffic, never whether or how a request is accepted.

mod common;
mod stand;

use common::{class, settings};
use rstest::rstest;
use stand::call;
use starlingplank::core::Event;
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::net::front::rules::ClassRules;
use starlingplank::net::front::{clickhouse, thrift, FrontendState};
use starlingplank::simulator::{self, Fields, Line};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;

/// One class of each effect.
fn effects() -> Settings {
    let with = |name: &str, idempotency| Class { idempotency, ..class(name, 500.0, 3_000.0, 1.0) };
    let keyed = Idempotency::Keyed { scope: Scope::All, window: 5_000.0 };
    let classes = vec![
        with("read", Idempotency::Idempotent),
        with("merge", keyed),
        with("append", Idempotency::NotIdempotent),
    ];
    Settings { classes, ..settings() }
}

/// What the reducer receives for one request that is written to a front.
fn received(bytes: &[u8], over_thrift: bool) -> RequestDetails {
    let settings = effects();
    let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
    let pairs = [("clickhouse.rules.count", "1"), ("clickhouse.rules.0.class", "read")];
    let pairs = pairs.map(|(k, v)| (k.to_owned(), v.to_owned()));
    let rules =
        ClassRules::read(&Fields::new("settings", pairs.into()), &settings).expect("one rule for all");
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    rt.block_on(tokio::task::LocalSet::new().run_until(async {
        let (sender, mut events) = tokio::sync::mpsc::channel(8);
        let frontend = FrontendState::new(Rc::new(settings), Rc::new(limits), sender);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("bound");
        let mut client = tokio::net::TcpStream::connect(at).await.expect("up");
        let (stream, _) = listener.accept().await.expect("one");
        let connection = frontend.accept_connection().await.expect("room");
        if over_thrift {
            tokio::task::spawn_local(thrift::serve(stream, connection, frontend.clone()));
        } else {
            tokio::task::spawn_local(clickhouse::serve(stream, connection, frontend.clone(), Rc::new(rules)));
        }
        client.write_all(bytes).await.expect("sent");
        let Some(Event::RequestReceived(request)) = events.recv().await else { panic!("a request") };
        request.details
    }))
}

#[rstest]
#[case::marked(Some("1"), true)]
#[case::first_try(None, false)]
#[case::said_to_be_none(Some("0"), false)]
#[case::empty(Some(""), false)]
#[case::another_number(Some("2"), false)]
#[case::padded(Some("01"), false)]
#[case::spaced(Some("1 "), false)]
#[case::word(Some("true"), false)]
fn mark_of_a_retry_is_handed_on_for_every_class_and_what_is_no_mark_costs_nothing(
    #[case] second: Option<&str>,
    #[case] repeat: bool,
    #[values("read", "merge", "append")] class: &str,
) {
    let mut fields = vec![("verb", class), ("txn", "00000000000000a1"), ("limit", "1000"), ("unique", "k1")];
    fields.extend(second.map(|mark| ("second", mark)));
    let request = received(&call(1, &fields, "select 1"), true);
    assert_eq!(request.is_retry, repeat);
}

/// ClickHouse's interface has no such mark: a parameter or header of that name is the client's own.
#[rstest]
#[case::plain("/", "")]
#[case::parameter("/?second=1", "")]
#[case::header("/", "second: 1\r\n")]
fn request_over_the_clickhouse_interface_is_never_marked(#[case] target: &str, #[case] header: &str) {
    let bytes = format!("POST {target} HTTP/1.1\r\n{header}Content-Length: 8\r\n\r\nselect 1");
    assert!(!received(bytes.as_bytes(), false).is_retry);
}

/// The simulator has a flag for it.
#[rstest]
#[case::marked("\tagain_by_client=1", true)]
#[case::first_try("\tagain_by_client=0", false)]
#[case::unmarked("", false)]
fn mark_on_the_simulator_s_wire_is_the_same(#[case] field: &str, #[case] repeat: bool) {
    let line = format!("INCOMING\tfront_id=f\tticket=1\tclass=append\tclient_deadline=9{field}");
    let Ok(Line::Event(_, fields)) = simulator::parse(&line) else { panic!("not read") };
    let Ok(starlingplank::interface::Event::Request(request)) = simulator::event(&fields, &effects()) else {
        panic!("no request")
    };
    assert_eq!(request.is_retry, repeat);
}

//! The mark that a client sets on a retried request: calls of the platform's protocol carry it in the field `second`, and the
//! frontend passes it to the decision module. The mark only affects the module's traffic statistics, and never whether or how
//! a request is accepted.

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

/// Returns settings with one class for each kind of idempotency.
fn settings_with_all_idempotencies() -> Settings {
    let with = |name: &str, idempotency| Class { idempotency, ..class(name, 500.0, 3_000.0, 1.0) };
    let keyed = Idempotency::Keyed { scope: Scope::All, window: 5_000.0 };
    let classes = vec![
        with("read", Idempotency::Idempotent),
        with("merge", keyed),
        with("append", Idempotency::NotIdempotent),
    ];
    Settings { classes, ..settings() }
}

/// Writes one request to a frontend. Returns the request details that the reducer receives.
fn received_request(bytes: &[u8], over_thrift: bool) -> RequestDetails {
    let settings = settings_with_all_idempotencies();
    let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
    let pairs = [("clickhouse.rules.count", "1"), ("clickhouse.rules.0.class", "read")];
    let pairs = pairs.map(|(k, v)| (k.to_owned(), v.to_owned()));
    let rules = ClassRules::read(&Fields::new("settings", pairs.into()), &settings)
        .expect("one rule for all requests");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(async {
        let (sender, mut events) = tokio::sync::mpsc::channel(8);
        let frontend = FrontendState::new(Rc::new(settings), Rc::new(limits), sender);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut client = tokio::net::TcpStream::connect(address).await.expect("connected");
        let (stream, peer) = listener.accept().await.expect("a connection");
        let share = frontend.shared.scheduler.new_connection(peer);
        let connection = frontend.accept_connection(peer, share.clone()).await.expect("room");
        if over_thrift {
            tokio::task::spawn_local(share.run(thrift::serve(stream, connection, frontend.clone())));
        } else {
            tokio::task::spawn_local(share.run(clickhouse::serve(
                stream,
                connection,
                frontend.clone(),
                Rc::new(rules),
            )));
        }
        client.write_all(bytes).await.expect("sent");
        let Some(Event::RequestReceived(request)) = events.recv().await else { panic!("a request") };
        request.details
    }))
}

#[rstest]
#[case::marked(Some("1"), true)]
#[case::unmarked(None, false)]
#[case::zero(Some("0"), false)]
#[case::empty(Some(""), false)]
#[case::another_number(Some("2"), false)]
#[case::padded(Some("01"), false)]
#[case::spaced(Some("1 "), false)]
#[case::word(Some("true"), false)]
fn retry_mark_is_passed_on_for_every_class_and_an_invalid_mark_is_ignored(
    #[case] second: Option<&str>,
    #[case] is_retry: bool,
    #[values("read", "merge", "append")] class: &str,
) {
    let mut fields = vec![("verb", class), ("txn", "00000000000000a1"), ("limit", "1000"), ("unique", "k1")];
    fields.extend(second.map(|mark| ("second", mark)));
    let request = received_request(&call(1, &fields, "select 1"), true);
    assert_eq!(request.is_retry, is_retry);
}

/// The ClickHouse interface has no retry mark. A query parameter or header that happens to be called `second` must not be
/// taken for one.
#[rstest]
#[case::plain("/", "")]
#[case::parameter("/?second=1", "")]
#[case::header("/", "second: 1\r\n")]
fn request_over_the_clickhouse_interface_is_never_marked_as_retry(
    #[case] target: &str,
    #[case] header: &str,
) {
    let bytes = format!("POST {target} HTTP/1.1\r\n{header}Content-Length: 8\r\n\r\nselect 1");
    assert!(!received_request(bytes.as_bytes(), false).is_retry);
}

/// The simulator's protocol carries the mark in the flag `again_by_client`.
#[rstest]
#[case::marked("\tagain_by_client=1", true)]
#[case::zero("\tagain_by_client=0", false)]
#[case::unmarked("", false)]
fn retry_mark_of_the_simulator_protocol_is_passed_on(#[case] field: &str, #[case] is_retry: bool) {
    let line = format!("INCOMING\tfront_id=f\tticket=1\tclass=append\tclient_deadline=9{field}");
    let Ok(Line::Event(_, fields)) = simulator::parse(&line) else { panic!("the line was not parsed") };
    let Ok(starlingplank::interface::Event::Request(request)) =
        simulator::event(&fields, &settings_with_all_idempotencies())
    else {
        panic!("the line is not a request")
    };
    assert_eq!(request.is_retry, is_retry);
}

//! The program honours the settings of every deployment; settings that contradict themselves are rejected at the start.

mod stand;

use rstest::rstest;
use stand::*;
use starlingplank::config::Config;
use starlingplank::core::{Event, Send, Statement};
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::net::connection::SharedState;
use starlingplank::net::engine::{pool::RespEngines, Engines};
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;
use std::io::Write;
use std::process::Command;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ID: &str = "00000000000000a1";

/// Two classes, two kinds and two zones, with all keys that may contradict each other.
const SETTINGS: &str = r#"{"listen":"127.0.0.1:0","seed":"7","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
 "settings":{"balancers":2,"rank":1,"zones":["east","west"],"locality":"west","skus":["std","big"],"tick":1.0,
  "classes":[
   {"name":"lookup","on_time":500,"give_up":5000,"idempotency":"idempotent","worth":1,"late_worth":0.1,
    "allowed_on":null,"allowed_in":["east"]},
   {"name":"load","on_time":900,"give_up":5000,"idempotency":"deduplicated","dedup_scope":"all","window":12000}],
  "tenants":[{"name":"docks","quota_per_s":5},{"name":"yards","quota_per_s":5}],
  "specifics":{"cpu_of_kind":[8,4],"memory_by_kind_mb":[8192,4096],"width_by_class":[1,2],"is_load":[false,true],
   "class_waits":[true,false],"grants_count":true,"takes_priority":true,"most_grant":0.4},
  "charges":{"probe":0.01},
  "limits":{"send_cap":3,"retry_after":true,"max_retry_after":1000,"connect_timeout":250},
  "rules":{"answer_slack":20,"drain_grace":2000,"extra_free":2,"extra_per_request":0.2,"ratio_span":10000}}}"#;

#[test]
fn settings_without_contradiction_are_taken() {
    let settings = Config::read(SETTINGS).expect("it can be used").settings;
    assert_eq!(settings.zone, Some(ZoneId(1)));
    // A key whose value is null is absent: the class may run on every kind.
    let (lookup, load) = (&settings.classes[0], &settings.classes[1]);
    assert_eq!((lookup.machine_types.clone(), lookup.zones.clone()), (None, Some(vec![ZoneId(0)])));
    assert!(load.is_load && lookup.waits_for_loads);
}

#[rstest]
#[case::cores_of_one_kind("[8,4]", "[8]", "specifics.cpu_of_kind")]
#[case::memory_of_one_kind("[8192,4096]", "[8192]", "specifics.memory_by_kind_mb")]
#[case::threads_of_three_classes("[1,2]", "[1,2,3]", "specifics.width_by_class")]
#[case::loads_of_one_class("[false,true]", "[true]", "specifics.is_load")]
#[case::load_that_is_no_flag("[false,true]", "[false,\"yes\"]", "specifics.is_load")]
#[case::waits_of_one_class("[true,false]", "[true]", "specifics.class_waits")]
#[case::zone_twice(r#"["east","west"]"#, r#"["east","west","east"]"#, "zones")]
#[case::kind_twice(r#"["std","big"]"#, r#"["std","std"]"#, "skus")]
#[case::class_twice(r#""name":"load""#, r#""name":"lookup""#, "classes.1.name")]
#[case::tenant_twice(r#""name":"yards""#, r#""name":"docks""#, "tenants.1.name")]
#[case::unknown_zone(r#""locality":"west""#, r#""locality":"north""#, "locality")]
#[case::class_in_an_unknown_zone(
    r#""allowed_in":["east"]"#,
    r#""allowed_in":["north"]"#,
    "classes.0.allowed_in"
)]
#[case::class_in_no_zone(r#""allowed_in":["east"]"#, r#""allowed_in":[]"#, "classes.0.allowed_in")]
#[case::class_on_an_unknown_kind(r#""allowed_on":null"#, r#""allowed_on":["tiny"]"#, "classes.0.allowed_on")]
#[case::key_without_window(r#","window":12000"#, "", "classes.1.window")]
#[case::key_of_no_time(r#""window":12000"#, r#""window":0"#, "classes.1.window")]
#[case::worth_below_nothing(r#""worth":1"#, r#""worth":-1"#, "classes.0.worth")]
#[case::late_worth_past_all(r#""late_worth":0.1"#, r#""late_worth":1.5"#, "classes.0.late_worth")]
#[case::aim_past_the_deadline(r#""on_time":900"#, r#""on_time":6000"#, "classes.on_time")]
#[case::retries_of_no_span(r#","ratio_span":10000"#, "", "rules.extra_free")]
#[case::retries_of_an_empty_span(r#""ratio_span":10000"#, r#""ratio_span":0"#, "rules.ratio_span")]
#[case::retries_below_none(r#""extra_free":2"#, r#""extra_free":-2"#, "rules.extra_free")]
#[case::grant_of_nothing(r#""most_grant":0.4"#, r#""most_grant":0"#, "specifics.most_grant")]
#[case::grant_past_all(r#""most_grant":0.4"#, r#""most_grant":1.4"#, "specifics.most_grant")]
#[case::advice_below_nothing(
    r#""max_retry_after":1000"#,
    r#""max_retry_after":-1"#,
    "limits.max_retry_after"
)]
#[case::connected_before_begun(
    r#""connect_timeout":250"#,
    r#""connect_timeout":-250"#,
    "limits.connect_timeout"
)]
#[case::no_attempt(r#""send_cap":3"#, r#""send_cap":0"#, "limits.send_cap")]
#[case::probe_that_earns(r#""probe":0.01"#, r#""probe":-0.01"#, "charges.probe")]
#[case::no_memory(r#""memory_mb":192"#, r#""memory_mb":0"#, "machine.memory_mb")]
#[case::no_descriptors(r#""sockets":256"#, r#""sockets":0"#, "machine.sockets")]
fn settings_that_contradict_themselves_are_refused_with_their_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] key: &str,
) {
    let error = Config::read(&changed(SETTINGS, from, to)).expect_err("it cannot be used").to_string();
    assert!(error.contains(key), "{error}");
}

/// Returns what the program prints on standard error about an invalid file.
fn stderr_of(kind: &str, flag: &str, text: &str) -> String {
    let mut file = tempfile::Builder::new().suffix(kind).tempfile().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    let run = Command::new(env!("CARGO_BIN_EXE_starlingplank"))
        .args(["check-config", flag])
        .arg(file.path())
        .env_remove("PROXY_CONFIG")
        .env_remove("STARLINGPLANK_OPERATOR")
        .output()
        .expect("it runs");
    let stderr = String::from_utf8_lossy(&run.stderr).into_owned();
    assert_eq!(run.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains(&file.path().display().to_string()), "{stderr}");
    stderr
}

/// The message names the file and the key, of the platform's configuration and of an operator's.
#[test]
fn program_does_not_start_by_settings_that_contradict_themselves() {
    let platform = changed(SETTINGS, r#","window":12000"#, "");
    let stderr = stderr_of(".json", "--config", &platform);
    assert!(stderr.contains("classes.1.window") && !stderr.contains("panic"), "{stderr}");
    let example = include_str!("../deploy/clickhouse.hcl");
    let twice = r#"["room-a", "room-b", "room-a"]"#;
    let stderr = stderr_of(".hcl", "--operator", &changed(example, r#"["room-a", "room-b"]"#, twice));
    assert!(stderr.contains("zones") && stderr.contains("twice") && !stderr.contains("panic"), "{stderr}");
}

/// Connections have the limits of the deployment's settings.
#[rstest]
#[case::one(r#"{"streams_per_conn":32,"connect_timeout":250,"idle_close":15000,"max_open":20000}"#, (32, 250, 12_000, 20_000))]
#[case::other(r#"{"streams_per_conn":8,"connect_timeout":180,"idle_close":5000,"max_open":500}"#, (8, 180, 4_000, 500))]
fn limits_of_connections_are_the_settings(#[case] limits: &str, #[case] expected: (usize, u64, u64, usize)) {
    let own = r#"{"send_cap":3,"retry_after":true,"max_retry_after":1000,"connect_timeout":250}"#;
    let limits = Config::read(&changed(SETTINGS, own, limits)).expect("it can be used").limits;
    let ms = |duration: Duration| duration.as_millis() as u64;
    assert_eq!(
        (
            limits.max_attempts_per_connection,
            ms(limits.connect_timeout),
            ms(limits.engine_idle_timeout),
            limits.max_open_requests
        ),
        expected
    );
}

/// Attempts that one connection may carry at once, as the stand-in counts them.
#[test]
fn connection_to_an_engine_carries_no_more_attempts_than_the_settings_allow() {
    let open: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let released = Arc::new(AtomicBool::new(false));
    let (counts, ends_connections) = (open.clone(), released.clone());
    let (at, log) = resp_engine_that(move |parts, stream| {
        let from = stream.peer_addr().expect("connected").port();
        match parts[0].as_str() {
            // No request is answered, so all stay in flight.
            "want" => *counts.lock().expect("counts").entry(from).or_default() += 1,
            _ if ends_connections.load(Ordering::SeqCst) => return false,
            _ => {}
        }
        true
    });
    let text = changed(
        &config(&[at], "resp", 60_000),
        r#""connect_timeout":250"#,
        r#""connect_timeout":250,"streams_per_conn":2"#,
    );
    let text = changed(&text, r#""on_time":500"#, r#""on_time":60000"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    for seq in 1..=6 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "60000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
    }
    until(&log, |log| log.iter().filter(|parts| parts[0] == "want").count() == 6);
    released.store(true, Ordering::SeqCst);
    let open = open.lock().expect("counts");
    assert!(open.values().all(|n| *n <= 2), "{open:?}");
}

/// Where the engine alone grants memory, the gateway requests none, whatever the estimate.
#[rstest]
#[case::heeded(true, Some("mem=154"))]
#[case::engine_s_alone(false, None)]
fn memory_is_granted_only_where_grants_are_heeded(#[case] heeded: bool, #[case] granted: Option<&str>) {
    let (at, log) = resp_engine(served);
    let text = config(&[at], "resp", 60_000);
    let text = changed(&text, r#""grants_count":true"#, &format!(r#""grants_count":{heeded}"#));
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let fields = [("verb", "lookup"), ("txn", ID), ("limit", "60000"), ("cpu", "820.0"), ("mem", "96")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    let log = log.lock().expect("log");
    let want = log.iter().find(|parts| parts[0] == "want").expect("sent");
    assert_eq!(want[2].split(',').find(|field| field.starts_with("mem=")), granted, "{want:?}");
}

fn served(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

/// Without a retry budget the cap on attempts alone binds; with one, whichever is less.
#[rstest]
#[case::five_without_budget(5, false, 5)]
#[case::two_without_budget(2, false, 2)]
#[case::five_within_a_budget_of_two(5, true, 3)]
fn attempts_end_at_the_cap_or_the_budget(
    #[case] cap: u32,
    #[case] budget: bool,
    #[case] attempts: usize,
    #[values("lookup", "load")] class: &str,
) {
    let (at, log) = resp_engine(|parts| match parts[0].as_str() {
        "want" => Some(reply(&[&parts[1], "nobody", "-", ""])),
        _ => served(parts),
    });
    let text = at_most_once(&config(&[at], "resp", 60_000));
    let text = match budget {
        true => changed(&text, r#""send_cap":3"#, &format!(r#""send_cap":{cap}"#)),
        false => without_retry_budget(&text, cap),
    };
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let fields = [("verb", class), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "overloaded", "nothing ran");
    assert_eq!(log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count(), attempts);
}

/// Load reports arrive with health checks alone on one deployment, with answers as well on another; each field that is
/// present is read, and an absent one stays absent.
#[rstest]
#[case::queue_and_util("queue:3;util:0.61", LoadReport { queue: Some(3.0), util: Some(0.61), ..LoadReport::default() })]
#[case::inflight("inflight:7", LoadReport { inflight: Some(7.0), ..LoadReport::default() })]
#[case::memory_and_disks("x0:0.4;x1:0.9", LoadReport { memory: Some(0.4), disks: Some(0.9), ..LoadReport::default() })]
#[case::unknown("latency_ms:5;util:0.5", LoadReport { util: Some(0.5), ..LoadReport::default() })]
fn load_reports_are_read_from_probes_and_from_answers(
    #[case] text: &'static str,
    #[case] expected: LoadReport,
) {
    let (at, _) = resp_engine(move |parts| {
        let with = |fields: &str| format!("{fields}use={text}");
        Some(match parts[0].as_str() {
            "want" => reply(&[&parts[1], "served", &with("pages=1,cost=5,need=8,"), "a\tb\tc\n"]),
            "busy" => reply(&[&parts[1], "green", &with(""), ""]),
            _ => String::new(),
        })
    });
    let limits = Rc::new(Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(async {
        let (sender, mut events) = tokio::sync::mpsc::channel(8);
        let mut engines = RespEngines::new(limits, SharedState::new(1), sender);
        let (engine, mut at_once) = (EngineId("s-0".into()), Vec::new());
        engines.check_health(1, &engine, at, &mut at_once);
        let Some(Event::HealthChecked { number: 1, succeeded: true, report: Some(probed) }) =
            events.recv().await
        else {
            panic!("a report")
        };
        let statement = Statement { name: ID.into(), class: "lookup".into(), ..Statement::default() };
        let send = Send {
            id: starlingplank::core::AttemptId { request: RequestId(1), number: 0 },
            engine,
            address: at,
            class: ClassId(0),
            statement: Rc::new(statement),
            time_left: 60_000.0,
            transmit_within: None,
            memory_mb: 0.0,
            priority: 1,
            is_retry: false,
            permit: Default::default(),
            at: 0.0,
        };
        engines.send(send, &mut at_once);
        let Some(Event::AttemptEnded(_, end)) = events.recv().await else { panic!("an end") };
        assert_eq!((probed, end.report, end.work), (expected, Some(expected), Some(5.0)));
        assert!(at_once.is_empty());
    }));
}

/// Clients receive Retry-After only where the deployment gives it.
#[rstest]
#[case::given(true, Some("Retry-After: 1"))]
#[case::not_given(false, None)]
fn refusal_over_http_advises_only_where_advice_is_given(#[case] given: bool, #[case] advice: Option<&str>) {
    let (_listener, at) = refusing();
    let text =
        changed(&config(&[at], "resp", 5_000), r#""retry_after":true"#, &format!(r#""retry_after":{given}"#));
    let gateway = Gateway::start(&text);
    let mut client = gateway.web();
    let (head, _) = ask(&mut client, "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    assert!(head.starts_with("HTTP/1.1 503"), "{head}");
    assert_eq!(head.lines().find(|line| line.starts_with("Retry-After")), advice);
}

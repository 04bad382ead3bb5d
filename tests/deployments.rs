//! The program applies the settings of each deployment, and rejects contradictory settings at the start.

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

/// Two classes, two machine types and two zones, with every key that may contradict another.
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
fn consistent_settings_are_accepted() {
    let settings = Config::read(SETTINGS).expect("it can be used").settings;
    assert_eq!(settings.zone, Some(ZoneId(1)));
    // A key whose value is null counts as absent: the class may run on every machine type.
    let (lookup, load) = (&settings.classes[0], &settings.classes[1]);
    assert_eq!((lookup.machine_types.clone(), lookup.zones.clone()), (None, Some(vec![ZoneId(0)])));
    assert!(load.is_load && lookup.waits_for_loads);
}

#[rstest]
#[case::cores_for_one_machine_type("[8,4]", "[8]", "specifics.cpu_of_kind")]
#[case::memory_for_one_machine_type("[8192,4096]", "[8192]", "specifics.memory_by_kind_mb")]
#[case::threads_for_three_classes("[1,2]", "[1,2,3]", "specifics.width_by_class")]
#[case::load_flag_for_one_class("[false,true]", "[true]", "specifics.is_load")]
#[case::load_flag_not_boolean("[false,true]", "[false,\"yes\"]", "specifics.is_load")]
#[case::waits_flag_for_one_class("[true,false]", "[true]", "specifics.class_waits")]
#[case::duplicate_zone(r#"["east","west"]"#, r#"["east","west","east"]"#, "zones")]
#[case::duplicate_machine_type(r#"["std","big"]"#, r#"["std","std"]"#, "skus")]
#[case::duplicate_class(r#""name":"load""#, r#""name":"lookup""#, "classes.1.name")]
#[case::duplicate_tenant(r#""name":"yards""#, r#""name":"docks""#, "tenants.1.name")]
#[case::unknown_zone(r#""locality":"west""#, r#""locality":"north""#, "locality")]
#[case::class_in_an_unknown_zone(
    r#""allowed_in":["east"]"#,
    r#""allowed_in":["north"]"#,
    "classes.0.allowed_in"
)]
#[case::class_in_no_zone(r#""allowed_in":["east"]"#, r#""allowed_in":[]"#, "classes.0.allowed_in")]
#[case::class_on_an_unknown_machine_type(
    r#""allowed_on":null"#,
    r#""allowed_on":["tiny"]"#,
    "classes.0.allowed_on"
)]
#[case::deduplication_without_window(r#","window":12000"#, "", "classes.1.window")]
#[case::deduplication_window_of_zero(r#""window":12000"#, r#""window":0"#, "classes.1.window")]
#[case::negative_worth(r#""worth":1"#, r#""worth":-1"#, "classes.0.worth")]
#[case::late_worth_above_one(r#""late_worth":0.1"#, r#""late_worth":1.5"#, "classes.0.late_worth")]
#[case::target_latency_above_the_deadline(r#""on_time":900"#, r#""on_time":6000"#, "classes.on_time")]
#[case::retry_budget_without_window(r#","ratio_span":10000"#, "", "rules.extra_free")]
#[case::retry_budget_window_of_zero(r#""ratio_span":10000"#, r#""ratio_span":0"#, "rules.ratio_span")]
#[case::negative_retries(r#""extra_free":2"#, r#""extra_free":-2"#, "rules.extra_free")]
#[case::memory_grant_of_zero(r#""most_grant":0.4"#, r#""most_grant":0"#, "specifics.most_grant")]
#[case::memory_grant_above_one(r#""most_grant":0.4"#, r#""most_grant":1.4"#, "specifics.most_grant")]
#[case::negative_retry_after(
    r#""max_retry_after":1000"#,
    r#""max_retry_after":-1"#,
    "limits.max_retry_after"
)]
#[case::negative_connect_timeout(
    r#""connect_timeout":250"#,
    r#""connect_timeout":-250"#,
    "limits.connect_timeout"
)]
#[case::zero_attempts(r#""send_cap":3"#, r#""send_cap":0"#, "limits.send_cap")]
#[case::negative_health_check_cost(r#""probe":0.01"#, r#""probe":-0.01"#, "charges.probe")]
#[case::zero_memory(r#""memory_mb":192"#, r#""memory_mb":0"#, "machine.memory_mb")]
#[case::zero_descriptors(r#""sockets":256"#, r#""sockets":0"#, "machine.sockets")]
fn contradictory_settings_are_rejected_with_their_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] key: &str,
) {
    let error =
        Config::read(&with_replacement(SETTINGS, from, to)).expect_err("it cannot be used").to_string();
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

/// The error message names the file and the key, for the platform's configuration and for an operator's file.
#[test]
fn program_does_not_start_with_contradictory_settings() {
    let platform = with_replacement(SETTINGS, r#","window":12000"#, "");
    let stderr = stderr_of(".json", "--config", &platform);
    assert!(stderr.contains("classes.1.window") && !stderr.contains("panic"), "{stderr}");
    let example = include_str!("../deploy/clickhouse.hcl");
    let duplicate_zone = r#"["room-a", "room-b", "room-a"]"#;
    let stderr = stderr_of(
        ".hcl",
        "--operator",
        &with_replacement(example, r#"["room-a", "room-b"]"#, duplicate_zone),
    );
    assert!(stderr.contains("zones") && stderr.contains("twice") && !stderr.contains("panic"), "{stderr}");
}

/// The limits of connections are read from the deployment's settings.
#[rstest]
#[case::large_limits(r#"{"streams_per_conn":32,"connect_timeout":250,"idle_close":15000,"max_open":20000}"#, (32, 250, 12_000, 20_000))]
#[case::small_limits(r#"{"streams_per_conn":8,"connect_timeout":180,"idle_close":5000,"max_open":500}"#, (8, 180, 4_000, 500))]
fn limits_of_connections_are_read_from_the_settings(
    #[case] limits: &str,
    #[case] expected: (usize, u64, u64, usize),
) {
    let own = r#"{"send_cap":3,"retry_after":true,"max_retry_after":1000,"connect_timeout":250}"#;
    let limits = Config::read(&with_replacement(SETTINGS, own, limits)).expect("it can be used").limits;
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

/// Guards against more concurrent attempts on one engine connection than `streams_per_conn`. The test engine counts them.
#[test]
fn engine_connection_carries_no_more_attempts_than_the_settings_allow() {
    let open: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let released = Arc::new(AtomicBool::new(false));
    let (counts, ends_connections) = (open.clone(), released.clone());
    let (at, log) = resp_engine_with_handler(move |parts, stream| {
        let from = stream.peer_addr().expect("connected").port();
        match parts[0].as_str() {
            // The engine answers no request, so all attempts stay in flight.
            "want" => *counts.lock().expect("counts").entry(from).or_default() += 1,
            _ if ends_connections.load(Ordering::SeqCst) => return false,
            _ => {}
        }
        true
    });
    let text = with_replacement(
        &config(&[at], "resp", 60_000),
        r#""connect_timeout":250"#,
        r#""connect_timeout":250,"streams_per_conn":2"#,
    );
    let text = with_replacement(&text, r#""on_time":500"#, r#""on_time":60000"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    for seq in 1..=6 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "60000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
    }
    wait_for_log(&log, |log| log.iter().filter(|parts| parts[0] == "want").count() == 6);
    released.store(true, Ordering::SeqCst);
    let open = open.lock().expect("counts");
    assert!(open.values().all(|n| *n <= 2), "{open:?}");
}

/// The gateway requests no memory grant where the engine grants memory itself, whatever the estimate of the request is.
#[rstest]
#[case::grants_applied(true, Some("mem=154"))]
#[case::grants_ignored(false, None)]
fn memory_grant_is_sent_only_where_engines_apply_grants(
    #[case] engines_apply_grants: bool,
    #[case] granted: Option<&str>,
) {
    let (at, log) = resp_engine(served);
    let text = config(&[at], "resp", 60_000);
    let text = with_replacement(
        &text,
        r#""grants_count":true"#,
        &format!(r#""grants_count":{engines_apply_grants}"#),
    );
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
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

/// Without a retry budget only the maximum number of attempts applies; with one, the smaller of both limits.
#[rstest]
#[case::max_five_without_budget(5, false, 5)]
#[case::max_two_without_budget(2, false, 2)]
#[case::max_five_with_a_budget_of_two_retries(5, true, 3)]
fn attempts_are_limited_by_their_maximum_and_the_retry_budget(
    #[case] max_attempts: u32,
    #[case] has_budget: bool,
    #[case] attempts: usize,
    #[values("lookup", "load")] class: &str,
) {
    let (at, log) = resp_engine(|parts| match parts[0].as_str() {
        "want" => Some(reply(&[&parts[1], "nobody", "-", ""])),
        _ => served(parts),
    });
    let text = with_non_idempotent_loads(&config(&[at], "resp", 60_000));
    let text = match has_budget {
        true => with_replacement(&text, r#""send_cap":3"#, &format!(r#""send_cap":{max_attempts}"#)),
        false => without_retry_budget(&text, max_attempts),
    };
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    let fields = [("verb", class), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "overloaded", "no attempt was executed");
    assert_eq!(log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count(), attempts);
}

/// Load reports arrive only with health checks in one deployment, and also with answers in another. Each field that is present is
/// read, and an absent field stays absent.
#[rstest]
#[case::queue_and_util("queue:3;util:0.61", LoadReport { queue: Some(3.0), util: Some(0.61), ..LoadReport::default() })]
#[case::inflight("inflight:7", LoadReport { inflight: Some(7.0), ..LoadReport::default() })]
#[case::memory_and_disks("x0:0.4;x1:0.9", LoadReport { memory: Some(0.4), disks: Some(0.9), ..LoadReport::default() })]
#[case::unknown_field("latency_ms:5;util:0.5", LoadReport { util: Some(0.5), ..LoadReport::default() })]
fn load_reports_are_read_from_health_checks_and_from_answers(
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
        let Some(Event::HealthChecked { number: 1, succeeded: true, report: Some(checked) }) =
            events.recv().await
        else {
            panic!("a successful health check")
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
        let Some(Event::AttemptEnded(_, end)) = events.recv().await else { panic!("the end of the attempt") };
        assert_eq!((checked, end.report, end.work), (expected, Some(expected), Some(5.0)));
        assert!(at_once.is_empty());
    }));
}

/// Clients receive a Retry-After header only where the deployment's settings enable it.
#[rstest]
#[case::enabled(true, Some("Retry-After: 1"))]
#[case::disabled(false, None)]
fn http_rejection_has_retry_after_only_where_it_is_enabled(
    #[case] enabled: bool,
    #[case] header: Option<&str>,
) {
    let (_listener, at) = refused_address();
    let text = with_replacement(
        &config(&[at], "resp", 5_000),
        r#""retry_after":true"#,
        &format!(r#""retry_after":{enabled}"#),
    );
    let gateway = Gateway::start(&text);
    let mut client = gateway.http_client();
    let (head, _) = http_request(&mut client, "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    assert!(head.starts_with("HTTP/1.1 503"), "{head}");
    assert_eq!(head.lines().find(|line| line.starts_with("Retry-After")), header);
}

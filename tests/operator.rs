//! The operator's file: a valid file is read into settings, and every error is reported with file, line and key.

use rstest::rstest;
use starlingplank::config::{Config, ConfigError, EngineProtocol};
use starlingplank::interface::{Idempotency, Scope};
use std::process::Command;

const EXAMPLE: &str = include_str!("../deploy/clickhouse.hcl");

/// Returns the errors of an operator's file that is rejected.
fn operator_errors(text: &str, platform: Option<&str>) -> Vec<String> {
    match Config::load(platform, Some(("o.hcl", text))) {
        Err(ConfigError::Operator(all)) => all.iter().map(ToString::to_string).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn example_file_is_read_into_settings() {
    let config = Config::load(None, Some(("o.hcl", EXAMPLE))).expect("it can be used");
    let settings = &config.settings;
    assert_eq!(
        (config.name.as_str(), settings.seed, settings.gateways),
        ("gateway-1", 0x5f2c_9a1e_77d0_4b36, 1)
    );
    assert_eq!((config.engine_protocol, config.endpoints.len()), (EngineProtocol::ClickHouse, 2));
    assert_eq!(settings.machine_types[0].memory_mb, 24_576.0);
    assert_eq!(settings.classes[2].idempotency, Idempotency::Keyed { scope: Scope::All, window: 12_000.0 });
    assert!(
        settings.classes[2].is_load && settings.classes[0].waits_for_loads && !settings.classes[1].is_load
    );
    assert_eq!(
        (settings.classes[1].threads, settings.max_retry_after, settings.max_attempts),
        (3.0, 1_000.0, 3)
    );
    assert_eq!(
        settings.retry_budget.map(|budget| (budget.min_retries, budget.retry_ratio, budget.window)),
        Some((2.0, 0.2, 10_000.0))
    );
    assert!(config.clickhouse.is_some() && config.persistence.is_none());
}

#[rstest]
#[case("gateways      = 1", "gateways = 0", "o.hcl:11: gateways: must be a whole number from 1 to 1000000")]
#[case(
    "tick          = \"5ms\"",
    "tick = 5",
    "o.hcl:12: tick: must be text of a number and ms, s, m or h, from 0.1ms to 1s"
)]
#[case("\"6s\"", "\"6 sec\"", "class \"lookup\".give_up: must be text of a number and ms")]
#[case("\"192MiB\"", "\"192MB\"", "machine.memory: must be text of a number and KiB, MiB or GiB")]
#[case(
    "send_cap        = 3",
    "send_capp = 3",
    "limits.send_capp: is not a key or block here; did you mean send_cap?"
)]
#[case("cancel          = true", "cancel = \"yes\"", "limits.cancel: must be true or false")]
#[case(
    "repeat      = \"keyed\"",
    "repeat = \"once\"",
    "class \"load\".repeat: must be one of safe, keyed, unsafe"
)]
#[case("window      = \"12s\"", "", "class \"load\".window: is missing")]
#[case(
    "class = \"load\"",
    "class = \"loads\"",
    "clickhouse.rule.class: \"loads\" is not a class defined in this file"
)]
#[case(
    "kind    = \"std-12\"\n}\n\nengine",
    "kind    = \"std\"\n}\n\nengine",
    "engine \"ch-1\".kind: \"std\" is not a kind defined in this file"
)]
#[case("engine \"ch-2\"", "engine \"ch-1\"", "engine \"ch-1\": is already defined in line")]
#[case("ratio_span        = \"10s\"", "", "rules.extra_free: requires ratio_span")]
#[case("aim             = \"1200ms\"", "aim = \"7s\"", "class \"lookup\".aim: is longer than give_up")]
#[case(
    "listen        = \"127.0.0.1:9090\"",
    "listen = \"localhost\"",
    "o.hcl:7: listen: must be an IP address with a port"
)]
#[case("zones         = [", "zones         = [[", "is not HCL")]
#[case("machine {", "machine = {", "machine: is a block: write machine { ... }")]
#[case(
    "  rule {\n    class = \"lookup\"\n  }\n",
    "",
    "clickhouse.rule: must end with a rule that matches all statements"
)]
fn error_names_its_line_and_key(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = EXAMPLE.replacen(from, to, 1);
    assert_ne!(text, EXAMPLE, "{from} is in the example");
    let all = operator_errors(&text, None);
    assert!(all.iter().any(|p| p.contains(expected) && p.starts_with("o.hcl:")), "{all:#?}");
}

#[test]
fn all_errors_are_reported_together_in_line_order() {
    let text =
        EXAMPLE.replace("gateways      = 1", "gateways = -1").replace("worth       = 5", "worth = \"5\"");
    let all = operator_errors(&text.replace("most_grant = 0.4", "most_grant = 40"), None);
    assert_eq!(all.len(), 3, "{all:#?}");
    let line = |p: &String| p.split(':').nth(1).and_then(|l| l.parse::<u32>().ok()).expect("a line");
    assert!(all.windows(2).all(|w| line(&w[0]) < line(&w[1])), "{all:#?}");
}

const PLATFORM: &str = r#"{"listen":"127.0.0.1:0","settings":{"balancers":1,"skus":["s"],
  "classes":[{"name":"a","on_time":5,"give_up":50,"idempotency":"idempotent"}],
  "specifics":{"cpu_of_kind":[8],"memory_by_kind_mb":[8192],"width_by_class":[1]}}}"#;

#[test]
fn operator_file_beside_the_platform_s_configuration_sets_only_its_own_keys() {
    let text = "knowledge {\n  folder = \"/tmp/k\"\n  every = \"2s\"\n}\nlog {\n  form = \"json\"\n}\n";
    let config = Config::load(Some(PLATFORM), Some(("o.hcl", text))).expect("it can be used");
    let knowledge = config.persistence.expect("set up");
    assert_eq!(
        (knowledge.snapshot_interval, knowledge.logs_keys, knowledge.required),
        (2_000.0, true, false)
    );
    assert!(config.log.json);
    let example = include_str!("../deploy/knowledge.hcl");
    assert!(Config::load(Some(PLATFORM), Some(("o.hcl", example)))
        .expect("it can be used")
        .persistence
        .is_some());
    let all = operator_errors("gateways = 3\nrules {\n  drain_grace = \"9s\"\n}\n", Some(PLATFORM));
    assert_eq!(all.len(), 2, "{all:#?}");
    assert!(
        all.iter().all(|p| p.ends_with("belongs in the platform's configuration; remove it here")),
        "{all:#?}"
    );
}

/// On the platform the rules fix the poll interval. Elsewhere the interval grows to reduce the load on an overloaded name service.
#[test]
fn slowest_poll_interval_is_the_steady_one_on_the_platform_and_longer_elsewhere() {
    let slowest = |platform, text: &str| {
        Config::load(platform, Some(("o.hcl", text))).expect("it can be used").limits.slowest_poll_interval
    };
    let set = "pacing {\n  list_slowest = \"3s\"\n}\n";
    assert_eq!(Config::read(PLATFORM).expect("it can be used").limits.slowest_poll_interval, 200.0);
    assert_eq!((slowest(Some(PLATFORM), ""), slowest(Some(PLATFORM), set)), (200.0, 3_000.0));
    assert_eq!((slowest(None, EXAMPLE), slowest(None, &format!("{EXAMPLE}{set}"))), (1_250.0, 3_000.0));
    let all = operator_errors("pacing {\n  list_slowest = \"100ms\"\n}\n", Some(PLATFORM));
    assert!(all.len() == 1 && all[0].contains("pacing.list_slowest"), "{all:#?}");
}

#[test]
fn check_config_exits_with_1_and_prints_a_line_for_each_error() {
    let file = std::env::temp_dir().join(format!("starlingplank-operator-{}.hcl", std::process::id()));
    std::fs::write(
        &file,
        EXAMPLE.replace("cancel          = true", "cancel = 1").replace("zone          =", "zoen ="),
    )
    .expect("a file");
    let run = Command::new(env!("CARGO_BIN_EXE_starlingplank"))
        .args(["check-config", "--operator"])
        .arg(&file)
        .env_remove("PROXY_CONFIG")
        .output()
        .expect("it runs");
    let _ = std::fs::remove_file(&file);
    let stderr = String::from_utf8_lossy(&run.stderr);
    assert_eq!(run.status.code(), Some(1));
    assert!(
        stderr.contains("limits.cancel")
            && stderr.contains("zoen: is not a key or block here; did you mean zone?"),
        "{stderr}"
    );
    assert_eq!(stderr.lines().count(), 2, "{stderr}");
}

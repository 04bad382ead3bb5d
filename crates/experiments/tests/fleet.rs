//! Runs several gateway processes with faults between them and the name service, the engines and the clients, and checks the rules in
//! what the test doubles and the clients recorded. Each run has a fixed duration, and its result depends on counts only.

use rstest::rstest;
use starlingplank_experiments::fleet::{run_scenario, FleetOptions, FleetResult};
use starlingplank_experiments::scenario;
use std::path::PathBuf;

/// Returns the path of the gateway program that was built in the same target folder as these tests.
fn program() -> PathBuf {
    let test_program = std::env::current_exe().expect("the path of the test program");
    let folder = test_program.ancestors().nth(2).expect("the target folder");
    let program = folder.join("starlingplank");
    assert!(program.is_file(), "{}: build the whole workspace first", program.display());
    program
}

fn run_scenario_text(gateways: usize, seed: u64, text: &str) -> FleetResult {
    let scenario = scenario::read("test", text).expect("a scenario");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let program = program();
    let options = FleetOptions { program: &program, folder: folder.path(), seed, gateways };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new()
        .block_on(&runtime, run_scenario(&options, &scenario))
        .expect("the scenario runs")
}

fn metric(result: &FleetResult, group: &str, name: &str) -> f64 {
    result.json[group][name].as_f64().unwrap_or_else(|| panic!("{name} is not a number: {}", result.json))
}

/// In each scenario the rules hold, all gateways hold the endpoint list at the end, and clients are served.
#[rstest]
#[case::answers_of_the_name_service_are_cut_while_an_engine_drains(
    8,
    r#"
about   = "half of the gateways receive no answers from the name service for 3 s"
seconds = 8
clients { load = 0.3 }
fault "cut" {
  what = "cut_back"
  share = 0.5
  from = 1
  to = 4
}
fault "drain" {
  what = "drain"
  share = 0
  from = 2
}
"#
)]
#[case::half_of_the_gateways_are_paused_and_resumed(
    8,
    r#"
about   = "half of the gateways are paused for 2 s, and an engine drains in that time"
seconds = 8
clients { load = 0.3 }
fault "stop" {
  what = "stop"
  share = 0.5
  from = 1.5
  to = 3.5
}
fault "drain" {
  what = "drain"
  share = 0
  from = 2
}
"#
)]
#[case::half_of_the_gateways_are_killed_twice_during_their_start(
    8,
    r#"
about   = "gateways are killed twice, and the name service has a third of the capacity"
seconds = 9
list { capacity = 0.34 }
clients { load = 0.3 }
fault "kill" {
  what = "kill"
  share = 0.5
  from = 0.05
  to = 0.4
}
"#
)]
#[case::a_third_of_the_engines_refuse_and_a_sixth_do_not_respond(
    6,
    r#"
about   = "engines refuse connections, or accept them and do not respond"
seconds = 8
engines {
  count = 6
  refuse = 0.34
  mute = 0.17
  ill_until = 3
}
clients { load = 0.3 }
"#
)]
#[case::no_engines_are_configured_and_the_name_service_starts_late(
    6,
    r#"
about   = "no engines in the operator's files, and the name service starts after 2 s"
seconds = 8
known = false
list { up_from = 2 }
clients { load = 0.3 }
"#
)]
#[case::name_service_and_engines_resume_after_an_outage(
    6,
    r#"
about   = "name service silent and engines stopped for 3 s, engines restarted cold"
seconds = 12
list {
  silent_from = 2
  silent_to = 5
}
engines {
  away_from = 2
  away_to = 5
}
clients { load = 0.3 }
"#
)]
#[case::paths_to_the_name_service_lose_datagrams(
    6,
    r#"
about   = "a fifth of the datagrams is lost in each direction"
seconds = 9
clients { load = 0.3 }
fault "lose" {
  what = "lose"
  share = 1
  from = 0
  to = 100
  by = 0.2
}
fault "drain" {
  what = "drain"
  share = 0
  from = 2
}
"#
)]
#[case::paths_to_half_of_the_engines_are_cut_and_restored(
    6,
    r#"
about   = "connections stay open and deliver no data for 2 s"
seconds = 9
engines { count = 4 }
clients { load = 0.3 }
fault "room" {
  what = "engine_cut"
  share = 0.5
  from = 2
  to = 4
}
"#
)]
#[case::connections_to_all_engines_are_reset_simultaneously(
    6,
    r#"
about   = "all connections are reset under load"
seconds = 8
engines { count = 4 }
clients { load = 0.3 }
fault "reset" {
  what = "engine_reset"
  share = 1
  from = 3
}
"#
)]
fn rules_hold_under_faults_of_gateways_paths_and_engines(#[case] gateways: usize, #[case] text: &str) {
    let result = run_scenario_text(gateways, 7, text);
    assert!(result.violations.is_empty(), "{:?}\n{}", result.violations, result.json);
    assert!(result.json["list"]["held_by_all_s"].is_number(), "{}", result.json);
    assert!(metric(&result, "clients", "served") > 20.0, "{}", result.json);
}

/// Gateways reduce their poll rate when the name service has a fifth of the capacity that the steady rate takes, and all still receive
/// the endpoint list. At the steady rate 12 gateways would send 480 polls in 8 s.
#[test]
fn polls_are_reduced_for_a_name_service_with_a_fifth_of_the_capacity() {
    let text = "about = \"a fifth\"\nseconds = 8\nlist { capacity = 0.2 }\n";
    let result = run_scenario_text(12, 3, text);
    assert!(result.json["list"]["held_by_all_s"].is_number(), "{}", result.json);
    let polls = metric(&result, "list", "questions");
    assert!(polls > 60.0 && polls < 300.0, "{}", result.json);
}

/// Gateways that know no engine reject requests at once with a retry-after time, and serve requests after they receive the endpoint list.
#[test]
fn gateways_without_engines_reject_requests_until_they_receive_the_endpoint_list() {
    let text = "about = \"late\"\nseconds = 8\nknown = false\nlist { up_from = 3 }\nclients { load = 0.3 }\n";
    let result = run_scenario_text(5, 5, text);
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    assert!(metric(&result, "clients", "refused") > 10.0 && metric(&result, "clients", "served") > 10.0);
    let served_cores =
        result.series.iter().find(|series| series.name.starts_with("cores")).expect("a series");
    let before: f64 = served_cores.points.iter().filter(|(at, _)| *at < 2.9).map(|(_, n)| n).sum();
    assert_eq!(before, 0.0, "no request can be served before the endpoint list is received");
}

//! Several processes of the real program with faults between them and what they need: the rules are checked in what the
//! stand-ins and the clients saw. Each play has a bound in time, and its verdict hangs on counts alone.

use rstest::rstest;
use starlingplank_experiments::fleet::{run_scenario, FleetOptions, FleetResult};
use starlingplank_experiments::scenario;
use std::path::PathBuf;

/// The program that was built beside these tests.
fn program() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let folder = own.ancestors().nth(2).expect("the folder of builds");
    let program = folder.join("starlingplank");
    assert!(program.is_file(), "{}: build the whole workspace first", program.display());
    program
}

fn played(gateways: usize, seed: u64, text: &str) -> FleetResult {
    let scenario = scenario::read("test", text).expect("a scenario");
    let folder = tempfile::tempdir().expect("a folder");
    let program = program();
    let options = FleetOptions { program: &program, folder: folder.path(), seed, gateways };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, run_scenario(&options, &scenario)).expect("it is played")
}

fn number(played: &FleetResult, group: &str, name: &str) -> f64 {
    played.json[group][name].as_f64().unwrap_or_else(|| panic!("{name}: {}", played.json))
}

/// In each the rules hold, all hold the list at the end, and clients are served.
#[rstest]
#[case::ways_from_the_list_are_cut_while_an_engine_drains(
    8,
    r#"
about   = "half of the gateways hear nothing for 3 s"
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
#[case::half_are_stopped_and_go_on(
    8,
    r#"
about   = "half of the gateways stand still for 2 s, an engine drains meanwhile"
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
#[case::half_are_killed_in_their_start_twice(
    8,
    r#"
about   = "killed twice before a list with a third of the capacity"
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
#[case::a_third_of_the_engines_refuse_and_a_sixth_are_mute(
    6,
    r#"
about   = "engines that refuse connections, or take them and say nothing"
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
#[case::nothing_is_known_and_the_list_is_late(
    6,
    r#"
about   = "no engine in any file, the list up after 2 s"
seconds = 8
known = false
list { up_from = 2 }
clients { load = 0.3 }
"#
)]
#[case::all_come_back_after_an_outage_of_list_and_engines(
    6,
    r#"
about   = "list silent and engines gone for 3 s, engines back cold"
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
#[case::lossy_and_slow_ways_to_the_list(
    6,
    r#"
about   = "a fifth of the datagrams is lost each way"
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
#[case::ways_to_half_of_the_engines_are_cut_and_mend(
    6,
    r#"
about   = "connections stay open and silent for 2 s"
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
#[case::connections_to_all_engines_are_reset_at_once(
    6,
    r#"
about   = "all connections reset, under load"
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
fn rules_hold_over_the_fleet_whatever_breaks(#[case] gateways: usize, #[case] text: &str) {
    let played = played(gateways, 7, text);
    assert!(played.violations.is_empty(), "{:?}\n{}", played.violations, played.json);
    assert!(played.json["list"]["held_by_all_s"].is_number(), "{}", played.json);
    assert!(number(&played, "clients", "served") > 20.0, "{}", played.json);
}

/// A list service with a fifth of what the steady pace takes is asked for far less, and all hold the list: at the steady
/// pace 12 gateways ask 480 questions in 8 s.
#[test]
fn list_with_a_fifth_of_the_capacity_is_spared_by_all() {
    let text = "about = \"a fifth\"\nseconds = 8\nlist { capacity = 0.2 }\n";
    let played = played(12, 3, text);
    assert!(played.json["list"]["held_by_all_s"].is_number(), "{}", played.json);
    let asked = number(&played, "list", "questions");
    assert!(asked > 60.0 && asked < 300.0, "{}", played.json);
}

/// Who knows no engine turns clients away at once and tells each another time.
#[test]
fn gateways_that_know_nothing_refuse_at_once_and_serve_once_they_hear() {
    let text = "about = \"late\"\nseconds = 8\nknown = false\nlist { up_from = 3 }\nclients { load = 0.3 }\n";
    let played = played(5, 5, text);
    assert!(played.violations.is_empty(), "{:?}", played.violations);
    assert!(number(&played, "clients", "refused") > 10.0 && number(&played, "clients", "served") > 10.0);
    let early = played.series.iter().find(|series| series.name.starts_with("cores")).expect("a series");
    let before: f64 = early.points.iter().filter(|(at, _)| *at < 2.9).map(|(_, n)| n).sum();
    assert_eq!(before, 0.0, "nothing can be served before the list is heard");
}

//! The simulator's line protocol: parsing of settings and events, writing of actions, rejection of malformed input.

use starlingplank::interface::*;
use starlingplank::simulator::{self, Line};
use std::io::Write;
use std::process::{Command, Output, Stdio};

const PROVISION: &str = "PROVISION\tfront_id=front_3\tentropy=513\tbalancers=3\tclasses.count=1\t\
classes.0.aim_stretch=2.0\tclasses.0.dedup_scope=all\tclasses.0.give_up=7500.0\t\
classes.0.idempotency=idempotent\tclasses.0.late_worth=0.1\tclasses.0.name=lookup\t\
classes.0.on_time=1500.0\tclasses.0.worth=1.0\tdiscovery=push\tlimits.send_cap=6\tlimits.may_duplicate=true\tlimits.probes=true\t\
locality=west\treporting.how=answers\trules.cold_from=0.33\tskus=a,b\tspecifics.cpu_of_kind=8,4\t\
specifics.width_by_class=1\ttick=5.0\tzones=east,west\tsome.later.key=7";

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_starlingplank-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The adapter may exit before it has read all of a malformed input, so the write may fail.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn setup_lines(gateway: &str) -> String {
    format!(
        "{}\nPAGE\tbank=0\tmembers_list=1\n\
         ENTRY\tengine=10.1.1.1:5\tlocality=west\tshape=a\tblock=2\tavailability=live\tshare=1\n\
         REGISTRY\tfront_id={gateway}\tstamp=1\tkind=cached\tbank=0\n",
        PROVISION.replace("front_3", gateway)
    )
}

#[test]
fn settings_are_parsed() {
    let Ok(Line::Provision(gateway, settings)) = simulator::parse(PROVISION) else { panic!("not parsed") };
    assert_eq!(&*gateway, "front_3");
    assert_eq!((settings.gateways, settings.seed, settings.zone), (3, 513, Some(ZoneId(1))));
    assert_eq!(settings.machine_types[1].cores, 4.0);
    assert_eq!(settings.classes[0].idempotency, Idempotency::Idempotent);
    assert_eq!(settings.retry_budget, None);
    assert!(settings.may_check_health && !settings.may_cancel);
}

#[test]
fn unknown_reporting_mode_is_an_error_that_names_its_key() {
    let invalid = PROVISION.replace("reporting.how=answers", "reporting.how=rumour");
    let error = simulator::parse(&invalid).expect_err("not parsed").to_string();
    assert!(error.contains("reporting.how"), "{error}");
}

#[test]
fn outcome_with_work_and_load_report_is_parsed() {
    let Ok(Line::Provision(_, settings)) = simulator::parse(PROVISION) else { panic!("not parsed") };
    let text = "SETTLED\tfront_id=front_3\tticket=9\tdisposition=ok\tduration=18.5\tended=1\tengine=e:1\t\
                stats=69728\tsend_no=0\thealth_info=load_share:0.62,concurrent:7,new:3,x0:nan";
    let Ok(Line::Event(_, fields)) = simulator::parse(text) else { panic!("not parsed") };
    let Ok(Event::Outcome { work, report, request_finished, .. }) = simulator::event(&fields, &settings)
    else {
        panic!("no outcome")
    };
    assert_eq!(work, Some(17.0));
    assert!(request_finished);
    let report = report.expect("a report");
    assert_eq!((report.inflight, report.util), (Some(7.0), Some(0.62)));
}

#[test]
fn errors_of_malformed_lines_name_the_field() {
    for (line, expected) in [
        ("HELLO\ta=1", "HELLO"),
        ("TURN\twall=1", "turn"),
        ("TURN\twall=x\tturn=1", "wall"),
        ("TURN\twall=inf\tturn=1", "wall"),
        ("TURN\twall", "wall"),
        ("PAGE\tbank=16\tmembers_list=0", "bank"),
        ("ENTRY\tengine=e:1\tavailability=asleep", "availability"),
        ("REGISTRY\tfront_id=f\tkind=new", "kind"),
        ("PROVISION\tfront_id=f\tentropy=-1", "entropy"),
    ] {
        let error = simulator::parse(line).expect_err(line).to_string();
        assert!(error.contains(expected), "{line}: {error}");
    }
}

#[test]
fn adapter_answers_a_transcript() {
    let input = format!(
        "TURN\twall=5\tturn=1\nYOUR_TURN\n\nTURN\twall=10\tturn=2\n{}\
         INCOMING\tfront_id=front_3\tticket=77\tclass=lookup\tclient_deadline=7000\nYOUR_TURN\n\
         TURN\twall=15\tturn=3\nHEALTH_RESULT\tfront_id=front_3\tduration=1\tengine=10.1.1.1:5\t\
         disposition=ok\thealth_info=concurrent:0\nYOUR_TURN\n",
        setup_lines("front_3")
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "YIELD\tturn=1");
    assert_eq!(lines[1], "INSPECT\tfront_id=front_3\tengine=10.1.1.1:5");
    let sent = "ASSIGN\tfront_id=front_3\tticket=77\ttry_for=6990.000\tengine=10.1.1.1:5";
    assert!(lines.contains(&sent), "{lines:?}");
    assert_eq!(*lines.last().expect("lines"), "YIELD\tturn=3");
}

#[test]
fn malformed_input_ends_the_adapter_without_a_partial_reply() {
    for (input, expected) in [
        ("TURN\twall=1\tturn=1\nTURN\twall=2\tturn=2\n".to_owned(), "never closed"),
        ("TURN\twall=1\tturn=1\n".to_owned(), "end of input"),
        ("YOUR_TURN\n".to_owned(), "outside"),
        ("TURN\twall=1\tturn=1\nTICK_DUE\tfront_id=f\tcookie=1\n".to_owned(), "f"),
        (
            format!("TURN\twall=1\tturn=1\n{PROVISION}\nREGISTRY\tfront_id=front_3\tkind=full\tbank=3\n"),
            "bank=3",
        ),
        (
            format!(
                "TURN\twall=1\tturn=1\n{}INCOMING\tfront_id=front_3\tticket=1\tclass=odd\t",
                setup_lines("front_3")
            ) + "client_deadline=9\n",
            "class",
        ),
    ] {
        let output = run_adapter(&input);
        assert!(!output.status.success(), "{input}");
        assert!(output.stdout.is_empty(), "{input}");
        assert!(String::from_utf8_lossy(&output.stderr).contains(expected), "{input}");
    }
}

#[test]
fn invalid_settings_are_answered_with_bail_out() {
    let invalid = PROVISION.replace("balancers=3", "balancers=0");
    let output = run_adapter(&format!("TURN\twall=1\tturn=1\n{invalid}\nYOUR_TURN\n"));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.starts_with("BAIL_OUT\tfront_id=front_3\tmsg=setting balancers"), "{text}");
}

#[test]
fn restart_within_one_batch_discards_all_requests() {
    let input = format!(
        "TURN\twall=10\tturn=1\n{0}INCOMING\tfront_id=front_3\tticket=1\tclass=lookup\tclient_deadline=7000\n\
         POWER_OFF\tfront_id=front_3\n{0}LAPSED\tfront_id=front_3\tticket=1\nYOUR_TURN\n",
        setup_lines("front_3")
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    assert!(!String::from_utf8_lossy(&output.stdout).contains("ticket=1"));
}

#[test]
fn interleaved_gateways_act_as_each_does_alone() {
    let run_gateways = |gateways: &[&str]| {
        let mut text = String::from("TURN\twall=10\tturn=1\n");
        gateways.iter().for_each(|gateway| text += &setup_lines(gateway));
        text += "YOUR_TURN\n";
        for turn in 2..120 {
            text += &format!("TURN\twall={}\tturn={turn}\n", turn * 10);
            for gateway in gateways {
                text += &format!(
                    "INCOMING\tfront_id={gateway}\tticket={turn}\tclass=lookup\tclient_deadline={}\n",
                    turn * 10 + 900
                );
            }
            text += "YOUR_TURN\n";
        }
        String::from_utf8(run_adapter(&text).stdout).expect("text")
    };
    let both = run_gateways(&["front_1", "front_2"]);
    for gateway in ["front_1", "front_2"] {
        let lines_of = |text: &str| -> Vec<String> {
            text.lines().filter(|line| line.contains(gateway)).map(str::to_owned).collect()
        };
        let alone = lines_of(&run_gateways(&[gateway]));
        assert!(alone.len() > 60);
        assert_eq!(lines_of(&both), alone);
    }
}

#[test]
fn every_action_is_written_in_the_line_format() {
    let (id, engine) = (RequestId(9), EngineId("e:1".into()));
    for (action, line) in [
        (
            Action::Send { id, engine: engine.clone(), timeout: 80.0 },
            "ASSIGN\tfront_id=f\tticket=9\ttry_for=80.000\tengine=e:1\n",
        ),
        (
            Action::Reject { id, retry_after: 250.0, reason: BlockReason::FleetShare },
            "OVERLOAD_REPLY\tfront_id=f\tticket=9\tretry_in=250.000\n",
        ),
        (Action::Fail { id }, "ABORT\tfront_id=f\tticket=9\n"),
        (Action::Cancel { id, attempt: 2 }, "RETRACT\tfront_id=f\tticket=9\tsend_no=2\n"),
        (
            Action::SetTerms { id, memory_mb: 640.0, priority: 2 },
            "RESOURCES\tfront_id=f\tticket=9\tgrant_mb=640.0\tpriority=2\n",
        ),
        (Action::Timer { after: 500.0, token: 77 }, "TIMER\tfront_id=f\tdelay=500.000\tcookie=77\n"),
        (Action::SubscribeToEndpoints, "SUBSCRIBE\tfront_id=f\ton=1\n"),
        (Action::CheckHealth { engine }, "INSPECT\tfront_id=f\tengine=e:1\n"),
    ] {
        let mut written = String::new();
        simulator::write_action(&mut written, "f", &action);
        assert_eq!(written, line);
    }
}

/// Progress updates report the resource that an attempt waits for, and health checks report their duration.
#[test]
fn wait_reasons_and_health_check_durations_are_parsed() {
    let Ok(Line::Provision(_, settings)) = simulator::parse(PROVISION) else { panic!("not parsed") };
    let event = |text: &str| match simulator::parse(text) {
        Ok(Line::Event(_, fields)) => simulator::event(&fields, &settings).expect("an event"),
        other => panic!("{other:?}"),
    };
    let update = |amount: &str| {
        let line = "HEARTBEAT\tfront_id=front_3\tticket=9\tsend_no=0\tengine=e:1\ttopic=3\tamount=";
        event(&format!("{line}{amount}"))
    };
    assert!(matches!(update("1"), Event::ProgressUpdate { update: ProgressUpdate::WaitsForMemory, .. }));
    assert!(matches!(update("2"), Event::ProgressUpdate { update: ProgressUpdate::WaitsForLoad, .. }));
    let health_checked = event("HEALTH_RESULT\tfront_id=front_3\tduration=1.4\tengine=e:1\tdisposition=ok");
    assert!(
        matches!(health_checked, Event::HealthChecked { ok: true, elapsed, report: None, .. } if elapsed == 1.4)
    );
}

//! The wire: what is read, what is written, what is refused.

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

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_starlingplank-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The adapter may leave before it has read all of a malformed input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn opening(front: &str) -> String {
    format!(
        "{}\nPAGE\tbank=0\tmembers_list=1\n\
         ENTRY\tengine=10.1.1.1:5\tlocality=west\tshape=a\tblock=2\tavailability=live\tshare=1\n\
         REGISTRY\tfront_id={front}\tstamp=1\tkind=cached\tbank=0\n",
        PROVISION.replace("front_3", front)
    )
}

#[test]
fn settings_are_read() {
    let Ok(Line::Provision(front, s)) = simulator::parse(PROVISION) else { panic!("not read") };
    assert_eq!(&*front, "front_3");
    assert_eq!((s.gateways, s.seed, s.zone), (3, 513, Some(ZoneId(1))));
    assert_eq!(s.machine_types[1].cores, 4.0);
    assert_eq!(s.classes[0].idempotency, Idempotency::Idempotent);
    assert_eq!(s.retry_budget, None);
    assert!(s.may_check_health && !s.may_cancel);
}

#[test]
fn way_of_reporting_that_is_unknown_is_an_error_that_names_its_key() {
    let bad = PROVISION.replace("reporting.how=answers", "reporting.how=rumour");
    let error = simulator::parse(&bad).expect_err("not read").to_string();
    assert!(error.contains("reporting.how"), "{error}");
}

#[test]
fn outcome_with_cost_and_report() {
    let Ok(Line::Provision(_, s)) = simulator::parse(PROVISION) else { panic!("not read") };
    let text = "SETTLED\tfront_id=front_3\tticket=9\tdisposition=ok\tduration=18.5\tended=1\tengine=e:1\t\
                stats=69728\tsend_no=0\thealth_info=load_share:0.62,concurrent:7,new:3,x0:nan";
    let Ok(Line::Event(_, fields)) = simulator::parse(text) else { panic!("not read") };
    let Ok(Event::Outcome { work, report, request_finished, .. }) = simulator::event(&fields, &s) else {
        panic!("no outcome")
    };
    assert_eq!(work, Some(17.0));
    assert!(request_finished);
    let report = report.expect("a report");
    assert_eq!((report.inflight, report.util), (Some(7.0), Some(0.62)));
}

#[test]
fn malformed_lines_name_the_field() {
    for (line, names) in [
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
        assert!(error.contains(names), "{line}: {error}");
    }
}

#[test]
fn a_transcript_through_the_adapter() {
    let input = format!(
        "TURN\twall=5\tturn=1\nYOUR_TURN\n\nTURN\twall=10\tturn=2\n{}\
         INCOMING\tfront_id=front_3\tticket=77\tclass=lookup\tclient_deadline=7000\nYOUR_TURN\n\
         TURN\twall=15\tturn=3\nHEALTH_RESULT\tfront_id=front_3\tduration=1\tengine=10.1.1.1:5\t\
         disposition=ok\thealth_info=concurrent:0\nYOUR_TURN\n",
        opening("front_3")
    );
    let out = adapter(&input);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "YIELD\tturn=1");
    assert_eq!(lines[1], "INSPECT\tfront_id=front_3\tengine=10.1.1.1:5");
    let sent = "ASSIGN\tfront_id=front_3\tticket=77\ttry_for=6990.000\tengine=10.1.1.1:5";
    assert!(lines.contains(&sent), "{lines:?}");
    assert_eq!(*lines.last().expect("lines"), "YIELD\tturn=3");
}

#[test]
fn broken_input_ends_the_adapter_without_half_a_reply() {
    for (input, names) in [
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
                opening("front_3")
            ) + "client_deadline=9\n",
            "class",
        ),
    ] {
        let out = adapter(&input);
        assert!(!out.status.success(), "{input}");
        assert!(out.stdout.is_empty(), "{input}");
        assert!(String::from_utf8_lossy(&out.stderr).contains(names), "{input}");
    }
}

#[test]
fn settings_that_cannot_work_bail_out() {
    let bad = PROVISION.replace("balancers=3", "balancers=0");
    let out = adapter(&format!("TURN\twall=1\tturn=1\n{bad}\nYOUR_TURN\n"));
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("text");
    assert!(text.starts_with("BAIL_OUT\tfront_id=front_3\tmsg=setting balancers"), "{text}");
}

#[test]
fn a_restart_in_one_batch_forgets_everything() {
    let input = format!(
        "TURN\twall=10\tturn=1\n{0}INCOMING\tfront_id=front_3\tticket=1\tclass=lookup\tclient_deadline=7000\n\
         POWER_OFF\tfront_id=front_3\n{0}LAPSED\tfront_id=front_3\tticket=1\nYOUR_TURN\n",
        opening("front_3")
    );
    let out = adapter(&input);
    assert!(out.status.success());
    assert!(!String::from_utf8_lossy(&out.stdout).contains("ticket=1"));
}

#[test]
fn interleaved_instances_act_as_each_alone() {
    let day = |fronts: &[&str]| {
        let mut text = String::from("TURN\twall=10\tturn=1\n");
        fronts.iter().for_each(|f| text += &opening(f));
        text += "YOUR_TURN\n";
        for turn in 2..120 {
            text += &format!("TURN\twall={}\tturn={turn}\n", turn * 10);
            for f in fronts {
                text += &format!(
                    "INCOMING\tfront_id={f}\tticket={turn}\tclass=lookup\tclient_deadline={}\n",
                    turn * 10 + 900
                );
            }
            text += "YOUR_TURN\n";
        }
        String::from_utf8(adapter(&text).stdout).expect("text")
    };
    let both = day(&["front_1", "front_2"]);
    for f in ["front_1", "front_2"] {
        let own = |text: &str| -> Vec<String> {
            text.lines().filter(|l| l.contains(f)).map(str::to_owned).collect()
        };
        let alone = own(&day(&[f]));
        assert!(alone.len() > 60);
        assert_eq!(own(&both), alone);
    }
}

#[test]
fn every_action_is_written_as_the_wire_wants_it() {
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
        let mut out = String::new();
        simulator::write_action(&mut out, "f", &action);
        assert_eq!(out, line);
    }
}

/// Notes tell what an attempt waits for, and probes how long they took.
#[test]
fn waits_and_probe_times_are_read() {
    let Ok(Line::Provision(_, s)) = simulator::parse(PROVISION) else { panic!("not read") };
    let event = |text: &str| match simulator::parse(text) {
        Ok(Line::Event(_, fields)) => simulator::event(&fields, &s).expect("an event"),
        other => panic!("{other:?}"),
    };
    let note = |amount: &str| {
        let line = "HEARTBEAT\tfront_id=front_3\tticket=9\tsend_no=0\tengine=e:1\ttopic=3\tamount=";
        event(&format!("{line}{amount}"))
    };
    assert!(matches!(note("1"), Event::ProgressUpdate { update: ProgressUpdate::WaitsForMemory, .. }));
    assert!(matches!(note("2"), Event::ProgressUpdate { update: ProgressUpdate::WaitsForLoad, .. }));
    let probed = event("HEALTH_RESULT\tfront_id=front_3\tduration=1.4\tengine=e:1\tdisposition=ok");
    assert!(matches!(probed, Event::HealthChecked { ok: true, elapsed, report: None, .. } if elapsed == 1.4));
}

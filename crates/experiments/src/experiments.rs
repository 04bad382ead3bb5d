//! The experiments.

use crate::bed::{
    arrivals, config, folder, knowledge, open, play, send, shut, ClassOf, Done, Door, Engines, Failure,
    Gateway, Lab, CLASSES,
};
use crate::report::Figures;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use starlingplank_persistence::folder::Files;
use starlingplank_persistence::recovery::{self, EndpointIdentity, RestoredState};
use starlingplank_persistence::snapshot_records::{Class, Engine as Known, Snapshot};
use starlingplank_persistence::{snapshot, snapshot_store};
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::closed_loop::{ClientProtocol, ClosedLoopClient};
use starlingplank_test_doubles::engine::EngineProtocol;
use starlingplank_test_doubles::thrift::Answer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

type Ran<'a> = Pin<Box<dyn Future<Output = Result<Figures, Failure>> + 'a>>;
/// An experiment: its name, what it shows, and how it runs.
pub type Experiment = (&'static str, &'static str, for<'a> fn(&'a Lab) -> Ran<'a>);

/// All of them.
pub const ALL: [Experiment; 8] = [
    ("soak", "many gateways under overlapping troubles from a seed, and the rules that broke", |lab| {
        Box::pin(crate::soak::experiment(lab))
    }),
    ("turns", "time of one decision and one step at 8 to 1,000 engines, against 8", |lab| {
        Box::pin(async { crate::turns::run(lab.seed) })
    }),
    ("idle", "closed loops on idle engines: refusals and what the gateway adds to the time", |lab| {
        Box::pin(idle(lab))
    }),
    (
        "restart",
        "the program killed at random moments under load: torn files, loads run twice, lost answers",
        |lab| Box::pin(restart(lab)),
    ),
    (
        "cold-return",
        "a room back cold that the knowledge calls warm: what it is sent against its budget",
        |lab| Box::pin(cold_return(lab)),
    ),
    ("warm-start", "share of requests in their aim after a start, with knowledge and without", |lab| {
        Box::pin(warm_start(lab))
    }),
    (
        "cold-start",
        "many gateways that start together: what their list service is asked, and when all hold the list",
        |lab| Box::pin(crate::cold::run(lab)),
    ),
    ("cost", "what snapshots and the log of keys cost, on against off", |lab| Box::pin(cost(lab))),
];

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

// ---- restart ------------------------------------------------------------------------------------

/// A job with its further tries: a load whose try was lost, refused or failed goes again under its key, at the
/// latest 11.9 s after the first.
async fn tries(door: Rc<RefCell<Door>>, job: crate::bed::Job, due: Instant, seed: u64) -> Vec<Done> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let last = due + secs(11.9);
    let mut all = vec![send(&door, job.clone(), due).await];
    // An unanswered load may have run; so may one whose connection broke.
    while job.key.is_some() && all.len() < 6 {
        let wait = match all.last().and_then(|d| d.answer) {
            Some(Answer::Served) => break,
            Some(Answer::Refused(later)) => later / 1000.0 + 0.05,
            _ => rng.random_range(0.1..6.0),
        };
        // Some come at the last moment of the window.
        let at = if rng.random_bool(0.25) { last } else { Instant::now() + secs(wait) };
        if at > last {
            break;
        }
        sleep_until(at).await;
        all.push(send(&door, job.clone(), at).await);
    }
    all
}

async fn restart(lab: &Lab) -> Result<Figures, Failure> {
    let (kept, off) = tokio::join!(restarts(lab, "restart", true), restarts(lab, "restart-off", false));
    let (mut json, off) = (kept?, off?);
    json["baseline_without_log"] = json!({
        "kills": off["kills"],
        "loads_run": off["loads_run"],
        "loads_run_twice": off["loads_run_twice"],
    });
    Ok(Figures { json, chart: None })
}

async fn restarts(lab: &Lab, name: &str, keys: bool) -> Result<serde_json::Value, Failure> {
    let engines = Engines::start(vec![EngineSpec::default(); 4], lab.seed)?;
    let kept = folder(lab, name);
    let text =
        config(&engines, lab.seed, Some(&knowledge(&kept, &format!("  every = \"200ms\"\n  keys = {keys}"))));
    let mut rng = Pcg64Mcg::seed_from_u64(lab.seed);
    let door = Door::new(lab.seed);
    let begun = Instant::now();
    let stop = Rc::new(Cell::new(false));
    let kills: Rc<RefCell<Vec<Instant>>> = Rc::default();

    // More loads than usual: they are what this is about.
    let mut jobs = arrivals(lab.seed, 44.0, lab.kills as f64 * 4_000.0 + 60_000.0, 3);
    for (n, job) in jobs.iter_mut().enumerate().filter(|(n, _)| n % 4 == 0) {
        job.class = 2;
        job.key = Some(format!("{:032x}", (u128::from(lab.seed) << 64) + n as u128));
        job.work = job.work.min(1_500.0);
    }
    let playing = {
        let (door, stop, seed) = (door.clone(), stop.clone(), lab.seed);
        tokio::task::spawn_local(async move {
            let mut tasks = tokio::task::JoinSet::new();
            for (n, job) in jobs.into_iter().enumerate() {
                let due = begun + secs(job.at / 1000.0);
                sleep_until(due).await;
                if stop.get() {
                    break;
                }
                tasks.spawn_local(tries(door.clone(), job, due, seed ^ n as u64));
            }
            tasks.join_all().await
        })
    };

    let (mut whole, mut empty, mut torn, mut keyless) = (0, 0, 0, 0);
    for life in 0..=lab.kills {
        // What is there before the start, read without the program.
        let before = snapshot_store::load(&Files::new(&kept), 1 << 24).ok().and_then(|l| l.snapshot);
        let mut gateway = Gateway::start(lab, name, &text).await?;
        open(&door, gateway.address);
        match (gateway.said("is whole:"), &before) {
            // Whole: it names the generation that is whole on disk, and that one knows the engines and no others.
            (true, Some((generation, found))) => {
                let named = gateway.said(&format!("knowledge of generation {generation} is whole"));
                let known = found.engines.len() == 4 && found.engines.iter().all(|e| e.id.starts_with("s-"));
                if named && known {
                    whole += 1;
                } else {
                    torn += 1;
                }
            }
            (true, None) => torn += 1,
            (false, None) => empty += 1,
            // There was something whole, and it was not taken.
            (false, Some(_)) => torn += 1,
        }
        keyless += u32::from(gateway.said("keyed requests are refused"));
        if life == lab.kills {
            stop.set(true);
            // Its open requests end, then it does.
            sleep(secs(21.0)).await;
            gateway.end().await?;
        } else {
            // The first lives are long enough for the first wait of keyed requests to pass.
            sleep(secs(if life == 0 { 14.0 } else { rng.random_range(0.05..3.0) })).await;
            kills.borrow_mut().push(Instant::now());
            gateway.kill();
            shut(&door);
            sleep(secs(rng.random_range(0.0..0.8))).await;
        }
    }
    let all: Vec<Vec<Done>> = playing.await?;
    let kills = kills.borrow();
    let killed = |d: &Done| kills.iter().any(|k| *k >= d.sent && *k <= d.ended + secs(0.1));
    let tries: Vec<&Done> = all.iter().flatten().collect();
    let taken = |d: &&&Done| d.ended - d.sent > Duration::ZERO;
    let lost = tries.iter().filter(|d| match d.answer {
        None => true,
        // No door was open, or the program was killed with it.
        Some(Answer::Lost) => !killed(d) && d.ended - d.sent > secs(0.001),
        _ => false,
    });
    let lost = lost.count();
    let runs = engines.fleet.executions();
    let twice = runs.values().filter(|r| r.len() > 1).count();
    let repeated = all.iter().filter(|t| t.len() > 1).count();
    let count = |what: fn(&Answer) -> bool| {
        tries.iter().filter(taken).filter(|d| d.answer.as_ref().is_some_and(what)).count()
    };
    Ok(json!({
            "kills": kills.len(),
            "starts_whole": whole,
            "starts_empty": empty,
            "starts_torn": torn,
            "starts_without_trusted_log": keyless,
            "loads_run": runs.len(),
            "loads_run_twice": twice,
            "loads_repeated_by_clients": repeated,
            "attempts": engines.fleet.attempts(),
            "attempts_overlapping": engines.fleet.overlaps(),
            "requests": tries.len(),
            "served": count(|a| *a == Answer::Served),
            "refused": count(|a| matches!(a, Answer::Refused(_))),
            "failed": count(|a| *a == Answer::Failed),
            "lost_by_kills": count(|a| *a == Answer::Lost),
            "lost_answers_beyond_kill": lost,
            "seconds": begun.elapsed().as_secs_f64(),
    }))
}

// ---- cold-return --------------------------------------------------------------------------------

struct Returned {
    /// The most that a cold engine was sent over its budget, in its first second and in its first two.
    first: f64,
    second: f64,
    fallen: usize,
    /// When the first of them fell, in ms from their return.
    fell_at: Option<f64>,
    in_aim: f64,
}

/// One life to learn, then the first half of the engines and the program are lost, and come back together.
async fn come_back(lab: &Lab, name: &str, kept: Option<&str>) -> Result<Returned, Failure> {
    let silent = EngineSpec { reports_load: false, ..EngineSpec::default() };
    let engines = Engines::start(vec![silent; 4], lab.seed)?;
    let kept = kept.map(|more| knowledge(&folder(lab, name), more));
    // These engines tell nothing of their load: what is not known about them shows only once they are slow.
    let text = config(&engines, lab.seed, kept.as_deref());
    let text = text
        .replace("probes = true", "probes = false")
        .replace("reports = \"answers\"", "reports = \"none\"");
    let door = Door::new(lab.seed);
    let mut gateway = Gateway::start(lab, name, &text).await?;
    open(&door, gateway.address);
    play(&door, arrivals(lab.seed, 18.0, 16_000.0, 2), Instant::now()).await;
    sleep(secs(0.5)).await;
    gateway.kill();
    shut(&door);
    engines.all[..2].iter().for_each(|e| e.stop());
    sleep(secs(11.0)).await;
    engines.all[..2].iter().for_each(|e| e.restart());
    let returned = engines.fleet.now();
    let gateway = Gateway::start(lab, name, &text).await?;
    open(&door, gateway.address);
    // All that was kept waiting comes at once, then the usual traffic.
    let mut jobs = arrivals(lab.seed + 1, 30.0, 14_000.0, 2);
    jobs.iter_mut().filter(|j| j.at < 4_000.0).for_each(|j| j.at *= 0.1);
    jobs.iter_mut().filter(|j| j.at >= 4_000.0).for_each(|j| j.at -= 3_600.0);
    let done = play(&door, jobs, Instant::now()).await;
    let ratio = |span: f64| {
        let of = |e: &starlingplank_test_doubles::engine::Engine| {
            e.with_model(|model| model.work_received(returned, span) / model.budget(returned, span))
        };
        engines.all[..2].iter().map(of).fold(0.0, f64::max)
    };
    let falls: Vec<f64> = engines
        .all
        .iter()
        .filter_map(|e| e.with_model(|model| model.collapsed_at))
        .map(|at| at - returned)
        .collect();
    let fallen = falls.len();
    let in_aim = done.iter().filter(|d| d.in_aim()).count() as f64 / done.len().max(1) as f64;
    drop(gateway);
    Ok(Returned {
        first: ratio(1_000.0),
        second: ratio(2_000.0),
        fallen,
        fell_at: falls.into_iter().reduce(f64::min),
        in_aim,
    })
}

async fn cold_return(lab: &Lab) -> Result<Figures, Failure> {
    let (aged, believed, none) = tokio::join!(
        come_back(lab, "aged", Some("")),
        come_back(lab, "believed", Some("  restart_within = \"1h\"")),
        come_back(lab, "none", None),
    );
    let (aged, believed, none) = (aged?, believed?, none?);
    let show = |r: &Returned| {
        json!({
            "ratio_first_second": r.first,
            "ratio_first_two_seconds": r.second,
            "fallen": r.fallen,
            "fell_at_ms": r.fell_at,
            "share_in_aim": r.in_aim,
        })
    };
    Ok(Figures {
        json: json!({
            "worst_cold_ratio": aged.first.max(aged.second),
            "fallen": aged.fallen,
            "aged": show(&aged),
            "baseline_believed": show(&believed),
            "baseline_without_knowledge": show(&none),
        }),
        chart: None,
    })
}

// ---- warm-start ---------------------------------------------------------------------------------

async fn started(lab: &Lab, name: &str, keep: bool) -> Result<Vec<Done>, Failure> {
    let usual = EngineSpec::default();
    let specs = vec![
        EngineSpec { slowdown: 6.0, ..usual.clone() },
        usual.clone(),
        usual.clone(),
        EngineSpec { error_share: 0.35, ..usual.clone() },
        EngineSpec { background_threads: 60.0, ..usual.clone() },
        usual,
    ];
    let engines = Engines::start(specs, lab.seed)?;
    let kept = keep.then(|| knowledge(&folder(lab, name), "  every = \"500ms\""));
    let text = config(&engines, lab.seed, kept.as_deref());
    let door = Door::new(lab.seed);
    let mut gateway = Gateway::start(lab, name, &text).await?;
    open(&door, gateway.address);
    let first = play(&door, arrivals(lab.seed, 38.0, 20_000.0, 2), Instant::now()).await;
    drop(first);
    gateway.kill();
    shut(&door);
    sleep(secs(0.3)).await;
    let gateway = Gateway::start(lab, name, &text).await?;
    open(&door, gateway.address);
    let done = play(&door, arrivals(lab.seed + 1, 38.0, 60_000.0, 2), Instant::now()).await;
    drop(gateway);
    Ok(done)
}

async fn warm_start(lab: &Lab) -> Result<Figures, Failure> {
    let (with, without) = tokio::join!(started(lab, "with", true), started(lab, "without", false));
    let (with, without) = (with?, without?);
    let share = |done: &[Done], from: f64, until: f64| {
        let within: Vec<_> = done.iter().filter(|d| d.job.at >= from && d.job.at < until).collect();
        within.iter().filter(|d| d.in_aim()).count() as f64 / within.len().max(1) as f64
    };
    let by_class = |done: &[Done], until: f64| {
        let of = |(n, c): (usize, &ClassOf)| {
            let own: Vec<_> = done.iter().filter(|d| d.job.class == n).cloned().collect();
            (c.0.to_owned(), share(&own, 0.0, until))
        };
        CLASSES[..2].iter().enumerate().map(of).collect::<BTreeMap<_, _>>()
    };
    let show = |done: &[Done]| {
        json!({
            "in_aim_5s": share(done, 0.0, 5_000.0),
            "in_aim_60s": share(done, 0.0, 60_000.0),
            "in_aim_5s_by_class": by_class(done, 5_000.0),
            "refused": done.iter().filter(|d| matches!(d.answer, Some(Answer::Refused(_)))).count(),
            "failed": done.iter().filter(|d| d.answer == Some(Answer::Failed)).count(),
            "requests": done.len(),
        })
    };
    let line = |done: &[Done]| {
        (0..30)
            .map(|s| (f64::from(s) * 2.0, share(done, f64::from(s) * 2_000.0, f64::from(s + 1) * 2_000.0)))
            .collect()
    };
    Ok(Figures {
        json: json!({ "with_knowledge": show(&with), "baseline_without": show(&without) }),
        chart: Some((
            "Share of requests in their aim after a start".into(),
            "seconds since the start".into(),
            "share in aim".into(),
            vec![("with knowledge".into(), line(&with)), ("without".into(), line(&without))],
        )),
    })
}

// ---- cost ---------------------------------------------------------------------------------------

struct Cost {
    latencies: hdrhistogram::Histogram<u64>,
    longest: f64,
    latest: f64,
    snapshot_bytes: f64,
    key_bytes: f64,
    served: usize,
    requests: usize,
}

const COST_SECONDS: f64 = 60.0;

async fn costs(lab: &Lab, name: &str, keep: bool) -> Result<Cost, Failure> {
    let engines = Engines::start(vec![EngineSpec::default(); 60], lab.seed)?;
    let kept = keep.then(|| knowledge(&folder(lab, name), "  every = \"1s\""));
    let text = config(&engines, lab.seed, kept.as_deref());
    let door = Door::new(lab.seed);
    let mut gateway = Gateway::start(lab, name, &text).await?;
    open(&door, gateway.address);
    // The first wait of keyed requests passes before anything is measured.
    sleep(secs(13.0)).await;
    let mean: f64 = CLASSES.iter().map(|c| c.1 * c.2).sum::<f64>() / 1000.0;
    let jobs = arrivals(lab.seed, 200.0 * mean, COST_SECONDS * 1000.0, 3);
    let done = play(&door, jobs, Instant::now()).await;
    gateway.end().await?;
    let mut latencies = hdrhistogram::Histogram::new_with_bounds(1, 120_000_000, 3)?;
    for d in done.iter().filter(|d| d.answer == Some(Answer::Served)) {
        // What the work itself took is not the gateway's: both sides have the same.
        latencies.record((d.took * 1000.0) as u64)?;
    }
    let figure = |words: &str| gateway.figure(words).unwrap_or(0.0);
    Ok(Cost {
        longest: figure("loop: longest turn "),
        latest: figure(" ms, latest "),
        snapshot_bytes: figure(" snapshots of "),
        key_bytes: figure(" syncs of "),
        served: done.iter().filter(|d| d.answer == Some(Answer::Served)).count(),
        requests: done.len(),
        latencies,
    })
}

/// Time to read a snapshot of so many engines and to settle what it is worth, in milliseconds.
fn reading(engines: usize) -> Result<(f64, usize), Failure> {
    let snapshot = Snapshot {
        taken: 1e12,
        gateway: "lab".into(),
        bound: 1.5,
        classes: (0..3)
            .map(|n| Class {
                name: format!("class-{n}"),
                bands: (1..=12).map(|b| (f64::from(b) * 0.25, 9.0, 200.0, 900.0)).collect(),
                ..Class::default()
            })
            .collect(),
        engines: (0..engines)
            .map(|n| Known {
                id: format!("engine-{n:05}"),
                address: format!("10.0.{}.{}:9000", n / 250, n % 250),
                confirmed: Some(1e12 - 50.0),
                heard: Some(1e12 - 50.0),
                slow: 1.1,
                others: 3.0,
                ..Known::default()
            })
            .collect(),
        ..Snapshot::default()
    };
    let bytes = snapshot::encode(&snapshot, 1 << 24)?;
    let named: Vec<_> = (0..engines)
        .map(|n| EndpointIdentity { id: format!("engine-{n:05}"), ..EndpointIdentity::default() })
        .collect();
    let begun = std::time::Instant::now();
    let read = snapshot::decode(&bytes)?;
    let mut recall = RestoredState::new(&read, 1e12 + 100.0, recovery::DEFAULT).map_err(|e| e.to_string())?;
    let back = recall.list(&named, 1e12 + 100.0).ok_or("nothing was given back")?;
    let took = begun.elapsed().as_secs_f64() * 1000.0;
    if back.engines.len() != engines {
        return Err("engines are missing".into());
    }
    Ok((took, bytes.len()))
}

async fn cost(lab: &Lab) -> Result<Figures, Failure> {
    let (on, off) = tokio::join!(costs(lab, "on", true), costs(lab, "off", false));
    let (on, off) = (on?, off?);
    let (read_ms, read_bytes) = reading(1_000)?;
    let show = |c: &Cost| {
        json!({
            "longest_turn_ms": c.longest,
            "latest_ms": c.latest,
            "p50_ms": c.latencies.value_at_quantile(0.5) as f64 / 1000.0,
            "p99_ms": c.latencies.value_at_quantile(0.99) as f64 / 1000.0,
            "served": c.served,
            "requests": c.requests,
        })
    };
    // The program also ran before the load came.
    let minutes = (COST_SECONDS + 13.0) / 60.0;
    Ok(Figures {
        json: json!({
            "on": show(&on),
            "baseline_off": show(&off),
            "snapshot_bytes_per_minute": on.snapshot_bytes / minutes,
            "key_bytes_per_minute": on.key_bytes / minutes,
            "read_1000_engines_ms": read_ms,
            "read_1000_engines_bytes": read_bytes,
        }),
        chart: None,
    })
}

// ---- idle ---------------------------------------------------------------------------------------

/// Queries of one closed loop: a connection, one query after the other.
struct Loop {
    latencies: hdrhistogram::Histogram<u64>,
    refused: u64,
    failed: u64,
}

/// Clients on one connection each, spread over those addresses, together so many queries.
async fn closed_loop(
    all_at: &[SocketAddr],
    speaks: ClientProtocol,
    clients: usize,
    queries: usize,
    work: f64,
) -> Result<Loop, Failure> {
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..clients {
        let at = all_at[n % all_at.len()];
        tasks.spawn_local(async move {
            let mut caller = ClosedLoopClient::connect(at, speaks).await?;
            let mut latencies = hdrhistogram::Histogram::<u64>::new_with_bounds(1, 120_000_000_000, 4)
                .map_err(std::io::Error::other)?;
            let (mut refused, mut failed) = (0, 0);
            for q in 0..queries / clients {
                let begun = std::time::Instant::now();
                let answer = caller.query(&format!("{:016x}", (n << 32) + q), work).await?;
                let _ = latencies.record(begun.elapsed().as_nanos() as u64);
                refused += u64::from(matches!(answer, Answer::Refused(_)));
                failed += u64::from(matches!(answer, Answer::Failed | Answer::Lost));
            }
            Ok::<_, std::io::Error>(Loop { latencies, refused, failed })
        });
    }
    let mut all: Option<Loop> = None;
    while let Some(one) = tasks.join_next().await {
        let one = one??;
        match &mut all {
            None => all = Some(one),
            Some(all) => {
                all.latencies.add(&one.latencies)?;
                (all.refused, all.failed) = (all.refused + one.refused, all.failed + one.failed);
            }
        }
    }
    all.ok_or_else(|| "no client ran".into())
}

async fn idle(lab: &Lab) -> Result<Figures, Failure> {
    let mut rows = Vec::new();
    let (mut refused, mut failed, mut worst50, mut worst99) = (0, 0, 0.0_f64, 0.0_f64);
    for wire in [EngineProtocol::Resp, EngineProtocol::ClickHouse] {
        for engines_n in [2, 8] {
            for (speed, work, queries) in [("fast", 0.1, lab.queries), ("slow", 300.0, lab.queries / 200)] {
                for clients in [1, 4, 16] {
                    // One client on slow engines would take hours: as many queries as its share of the others'.
                    let queries =
                        if speed == "slow" { (queries / 16 * clients).max(clients) } else { queries };
                    let silent = EngineSpec {
                        answers_at_once: speed == "fast",
                        reports_load: wire == EngineProtocol::Resp,
                        ..EngineSpec::default()
                    };
                    let engines = Engines::start_speaking(wire, vec![silent; engines_n], lab.seed)?;
                    let mut text = config(&engines, lab.seed, None);
                    if wire == EngineProtocol::ClickHouse {
                        text = text.replace("reports = \"answers\"", "reports = \"none\"");
                        text.push_str("engines_speak = \"clickhouse\"\nclickhouse {\n  listen = \"127.0.0.1:0\"\n  rule {\n    class = \"lookup\"\n  }\n}\n");
                    }
                    let mut gateway = Gateway::start(lab, "idle", &text).await?;
                    let (front, speaks, direct) = match wire {
                        EngineProtocol::Resp => {
                            (gateway.address, ClientProtocol::Thrift, ClientProtocol::Resp)
                        }
                        EngineProtocol::ClickHouse => {
                            (gateway.second().await?, ClientProtocol::Http, ClientProtocol::Http)
                        }
                    };
                    let all_at: Vec<_> = engines.all.iter().map(|e| e.address).collect();
                    let alone = closed_loop(&all_at, direct, clients, queries, work).await?;
                    let before = gateway.cpu_ms()?;
                    let through = closed_loop(&[front], speaks, clients, queries, work).await?;
                    let cpu = gateway.cpu_ms()? - before;
                    let us = |l: &Loop, q: f64| l.latencies.value_at_quantile(q) as f64 / 1000.0;
                    let added = |q: f64| us(&through, q) - us(&alone, q);
                    gateway.end().await?;
                    (refused, failed) = (refused + through.refused, failed + through.failed);
                    (worst50, worst99) = (worst50.max(added(0.5)), worst99.max(added(0.99)));
                    rows.push(json!({
                        "front": if wire == EngineProtocol::Resp { "thrift" } else { "clickhouse" },
                        "engines": engines_n,
                        "speed": speed,
                        "clients": clients,
                        "queries": queries,
                        "refused": through.refused,
                        "failed": through.failed,
                        "direct_p50_us": us(&alone, 0.5),
                        "direct_p99_us": us(&alone, 0.99),
                        "added_p50_us": added(0.5),
                        "added_p99_us": added(0.99),
                        "cpu_us_per_query": cpu * 1000.0 / queries as f64,
                        "why": gateway.tail("refused for "),
                    }));
                }
            }
        }
    }
    Ok(Figures {
        json: json!({
            "refused": refused,
            "failed": failed,
            "added_p50_us": worst50,
            "added_p99_us": worst99,
            "rows": rows,
        }),
        chart: None,
    })
}

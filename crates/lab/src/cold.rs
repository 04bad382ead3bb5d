//! Many gateways that start together: what their list service is asked.

use crate::bed::{config, Engines, Failure, Lab};
use crate::report::{Figures, Series};
use serde_json::{json, Map, Value};
use starlingplank_standins::list::{Asked, List, Script};
use starlingplank_standins::model::Spec;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// Gateways that end with this.
struct Herd(Vec<Child>);

impl Drop for Herd {
    fn drop(&mut self) {
        self.0.iter_mut().for_each(|c| drop(c.kill()));
        self.0.iter_mut().for_each(|c| drop(c.wait()));
    }
}

/// What the service's ledger tells.
fn figures(asked: &[Asked], gateways: usize, script: Script, seconds: f64) -> Value {
    let most = |width: f64, from: f64| {
        let times: Vec<f64> = asked.iter().map(|a| a.at).filter(|at| *at >= from).collect();
        let within = |i: usize| times[i..].iter().take_while(|at| **at < times[i] + width).count();
        (0..times.len()).map(within).max().unwrap_or(0)
    };
    let mut held = BTreeMap::new();
    for a in asked.iter().filter(|a| a.answered) {
        held.entry(a.from).or_insert(a.at);
    }
    let mut held: Vec<f64> = held.into_values().collect();
    held.sort_by(f64::total_cmp);
    let by = |share: f64| {
        let n = (gateways as f64 * share).ceil().max(1.0) as usize;
        held.get(n - 1).map_or(json!("never"), |at| json!(at))
    };
    let late = asked.iter().filter(|a| a.at >= seconds / 2.0).count() as f64 / (seconds / 2.0);
    json!({
        "questions": asked.len(),
        "most_in_10_ms": most(0.01, 0.0),
        "most_in_100_ms": most(0.1, 0.0),
        "most_in_1_s": most(1.0, 0.0),
        "most_in_1_s_after_the_first": most(1.0, 1.0),
        "a_second_in_the_second_half": late.round(),
        "over_capacity_after_the_first_s": most(1.0, 1.0) as f64 / script.capacity,
        "held_by_half_s": by(0.5),
        "held_by_99_in_100_s": by(0.99),
        "held_by_all_s": by(1.0),
    })
}

async fn play(
    lab: &Lab,
    program: &Path,
    script: Script,
    seconds: f64,
) -> Result<(Value, Vec<(f64, f64)>), Failure> {
    let engines = Engines::start(vec![Spec::default(); 2], lab.seed)?;
    let named: Vec<_> = engines.all.iter().enumerate().map(|(n, e)| (format!("s-{n}"), e.address)).collect();
    let list = List::start(script, named)?;
    let text = config(&engines, lab.seed, None);
    let mut herd = Herd(Vec::new());
    for rank in 0..lab.gateways {
        let file = lab.dir.path().join(format!("cold-{rank}.hcl"));
        let own = format!("names = \"{}\"\ngateways = {}\nrank = {rank}\n", list.address, lab.gateways);
        let text = text.replacen("gateways = 1\n", &own, 1);
        std::fs::write(&file, text.replacen("seed = \"", &format!("seed = \"{rank:x}"), 1))?;
        let mut command = Command::new(program);
        command.args(["serve", "--operator"]).arg(&file).env_remove("PROXY_CONFIG");
        command.stdout(Stdio::null()).stderr(Stdio::null());
        herd.0.push(command.spawn().map_err(|e| format!("{}: {e}", program.display()))?);
    }
    let started = list.begun.elapsed().as_secs_f64();
    sleep(Duration::from_secs_f64((seconds - started).max(0.0))).await;
    let asked: Vec<Asked> = list.asked().into_iter().filter(|a| a.at < seconds).collect();
    let mut figures = figures(&asked, lab.gateways, script, seconds);
    figures["started_within_s"] = json!(started);
    let mut series = vec![0.0; (seconds * 10.0) as usize];
    for a in &asked {
        if let Some(n) = series.get_mut((a.at * 10.0) as usize) {
            *n += 1.0;
        }
    }
    Ok((figures, series.into_iter().enumerate().map(|(i, n)| (i as f64 / 10.0, n)).collect()))
}

/// All start at once, before a service that is well, one with a fifth of the capacity that five questions a second of
/// each would take, one that falls when asked more than that, one that comes up after 10 s, and one that never does.
pub async fn run(lab: &Lab) -> Result<Figures, Failure> {
    let fifth = lab.gateways as f64;
    let well = Script { up_from: 0.0, capacity: 1e6, falls: false };
    let scripts = [
        ("well", well, 6.0),
        ("fifth", Script { capacity: fifth, ..well }, 12.0),
        ("falls", Script { capacity: fifth, falls: true, ..well }, 12.0),
        ("late", Script { up_from: 10.0, ..well }, 16.0),
        ("silent", Script { up_from: f64::INFINITY, ..well }, 16.0),
    ];
    let programs = [("now", Some(&lab.program)), ("before", lab.baseline.as_ref())];
    let (mut json, mut lines) = (Map::new(), Vec::<Series>::new());
    json.insert("gateways".into(), json!(lab.gateways));
    for (name, script, seconds) in scripts {
        for (which, program) in programs {
            let Some(program) = program else { continue };
            let (figures, series) = play(lab, program, script, seconds).await?;
            json.insert(format!("{name}-{which}"), figures);
            lines.push((format!("{name}, {which}"), series));
        }
    }
    let title = format!("Questions to the list service, {} gateways started at once", lab.gateways);
    let chart = Some((title, "s".into(), "in 100 ms".into(), lines));
    Ok(Figures { json: Value::Object(json), chart })
}

//! `cold-start`: many gateways that start together. Measures the rates of polls of the name service and of connections to engines, and
//! the outcomes of clients' requests. The baseline is an earlier version of the program, if one is given.

use crate::fleet::{run_scenario, FleetOptions};
use crate::harness::{Failure, RunOptions};
use crate::report::{Chart, ExperimentResult, Series};
use crate::scenario::{self, Scenario};
use serde_json::{Map, Value};

struct NamedScenario {
    name: String,
    scenario: Scenario,
}

/// Loads scenarios by name: built-in ones, or else files at the given paths. No names load all built-in scenarios.
fn load(names: &[String]) -> Result<Vec<NamedScenario>, Failure> {
    let all = || scenario::ALL.iter().map(|(name, _)| (*name).to_owned()).collect();
    let names: Vec<String> = if names.is_empty() { all() } else { names.to_vec() };
    names.into_iter().map(load_one).collect()
}

fn load_one(name: String) -> Result<NamedScenario, Failure> {
    let built_in = scenario::ALL.iter().find(|(built_in, _)| *built_in == name);
    let text = match built_in {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(&name).map_err(|error| format!("{name}: {error}"))?,
    };
    let scenario = scenario::read(&name, &text)?;
    Ok(NamedScenario { name, scenario })
}

/// Runs each scenario with the program, and with the baseline if one is given.
pub(super) async fn run(options: &RunOptions) -> Result<ExperimentResult, Failure> {
    let programs = [("now", Some(&options.program)), ("before", options.baseline.as_ref())];
    let (mut json, mut series) = (Map::new(), Vec::new());
    for NamedScenario { name, scenario } in load(&options.only)? {
        for (version, program) in programs {
            let Some(program) = program else { continue };
            let folder = options.subfolder(&format!("{name}-{version}").replace('/', "_"));
            std::fs::create_dir_all(&folder)?;
            let fleet_options =
                FleetOptions { program, folder: &folder, seed: options.seed, gateways: options.gateways };
            let result = run_scenario(&fleet_options, &scenario).await?;
            for violation in &result.violations {
                eprintln!("{name}, {version}: {violation}");
            }
            json.insert(format!("{name}-{}-{version}", options.gateways), result.json);
            for time_series in result.series {
                let name = format!("{name}, {version}: {}", time_series.name);
                series.push(Series { name, points: time_series.points });
            }
        }
    }
    let chart = Chart {
        title: format!(
            "{} gateways: polls of the name service, connections to engines and served work in cores",
            options.gateways
        ),
        x_label: "s".into(),
        y_label: "in 100 ms".into(),
        series,
    };
    Ok(ExperimentResult { json: Value::Object(json), chart: Some(chart) })
}

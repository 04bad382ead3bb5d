//! Many gateways that start together: what they ask of the list service and the engines, and what clients meet.

use crate::bed::{Failure, Lab};
use crate::fleet::{play, Stage};
use crate::report::{Figures, Series};
use crate::scenario::{self, Scenario};
use serde_json::{Map, Value};

/// The plays that were asked for, by name; a name that is none of those kept is a file's.
fn wanted(only: &[String]) -> Result<Vec<(String, Scenario)>, Failure> {
    let kept =
        |name: &str| scenario::ALL.iter().find(|(n, _)| *n == name).map(|(_, text)| (*text).to_owned());
    let names: Vec<String> = match only {
        [] => scenario::ALL.iter().map(|(name, _)| (*name).to_owned()).collect(),
        only => only.to_vec(),
    };
    let read = |name: String| {
        let text = match kept(&name) {
            Some(text) => text,
            None => std::fs::read_to_string(&name).map_err(|e| format!("{name}: {e}"))?,
        };
        Ok((name.clone(), scenario::read(&name, &text)?))
    };
    names.into_iter().map(read).collect()
}

/// Each play with the program, and with the version before it where one is named.
pub async fn run(lab: &Lab) -> Result<Figures, Failure> {
    let programs = [("now", Some(&lab.program)), ("before", lab.baseline.as_ref())];
    let (mut json, mut lines) = (Map::new(), Vec::<Series>::new());
    for (name, scenario) in wanted(&lab.only)? {
        for (which, program) in programs {
            let Some(program) = program else { continue };
            let folder = lab.dir.path().join(format!("{name}-{which}").replace('/', "_"));
            std::fs::create_dir_all(&folder)?;
            let stage = Stage { program, folder: &folder, seed: lab.seed, gateways: lab.gateways };
            let played = play(&stage, &scenario).await?;
            for line in &played.broken {
                eprintln!("{name}, {which}: {line}");
            }
            json.insert(format!("{name}-{}-{which}", lab.gateways), played.json);
            let line = |(what, points)| (format!("{name}, {which}: {what}"), points);
            lines.extend(played.series.into_iter().map(line));
        }
    }
    let title = format!("{} gateways: questions, connections and cores' worth served", lab.gateways);
    let chart = Some((title, "s".into(), "in 100 ms".into(), lines));
    Ok(Figures { json: Value::Object(json), chart })
}

//! Operator's files for the gateways of the experiments.

use super::engines::Engines;
use super::workload::CLASSES;
use std::fmt::Write as _;

/// Number of cores of the machine type in a file without engines.
const DEFAULT_CORES: f64 = 12.0;

/// Returns an operator's file: a complete configuration of a gateway for the given engines, with `knowledge` as the lines of its
/// `knowledge` block.
pub fn operator_file(engines: &Engines, seed: u64, knowledge: Option<&str>) -> String {
    let cores =
        engines.all.first().map_or(DEFAULT_CORES, |engine| engine.with_model(|model| model.spec.cores));
    let mut file = format!(
        "name = \"lab\"\nlisten = \"127.0.0.1:0\"\nseed = \"{seed:x}\"\nzones = [\"a\", \"b\"]\nzone = \"a\"\n\
         gateways = 1\ntick = \"5ms\"\n\
         machine {{\n  memory = \"192MiB\"\n  sockets = 1024\n}}\n\
         kind \"std\" {{\n  cores = {cores}\n  memory = \"24GiB\"\n}}\n\
         limits {{\n  send_cap = 3\n  cancel = true\n  probes = true\n  retry_after = \"1s\"\n  \
         connect_timeout = \"250ms\"\n}}\n\
         engines_heed {{\n  reports = \"answers\"\n}}\n\
         rules {{\n  answer_slack = \"20ms\"\n  drain_grace = \"2s\"\n  cold_from = 0.31\n  warm_within = \"15s\"\n  \
         fall_multiple = 3\n  tip_after = \"2s\"\n  extra_free = 2\n  extra_per_request = 0.2\n  \
         ratio_span = \"10s\"\n}}\n",
    );
    append_engines(&mut file, engines);
    append_classes(&mut file);
    if let Some(knowledge) = knowledge {
        let _ = writeln!(file, "knowledge {{\n{knowledge}\n}}");
    }
    file
}

/// Appends the engines. The first half of them is in zone `a`, the gateway's own zone.
fn append_engines(file: &mut String, engines: &Engines) {
    for (number, engine) in engines.all.iter().enumerate() {
        let zone = if number * 2 < engines.all.len() { "a" } else { "b" };
        let _ = writeln!(
            file,
            "engine \"s-{number}\" {{\n  address = \"{}\"\n  zone = \"{zone}\"\n  kind = \"std\"\n}}",
            engine.address
        );
    }
}

fn append_classes(file: &mut String) {
    for class in &CLASSES {
        let repeat = match class.name {
            "load" => "\"keyed\"\n  scope = \"all\"\n  window = \"12s\"",
            _ => "\"safe\"",
        };
        let _ = writeln!(
            file,
            "class \"{}\" {{\n  aim = \"{}ms\"\n  aim_stretch = {}\n  give_up = \"{}ms\"\n  \
             threads = {}\n  repeat = {repeat}\n}}",
            class.name, class.latency_objective, class.objective_stretch, class.client_timeout, class.threads
        );
    }
}

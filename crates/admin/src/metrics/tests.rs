use super::*;

#[test]
fn exactly_the_metrics_of_the_table_are_formatted() {
    let metrics = Metrics::new(2);
    [(0, Count::Answered), (0, Count::Answered), (1, Count::Sends), (0, Count::Sends), (9, Count::Errored)]
        .into_iter()
        .for_each(|counter_key| metrics.add(counter_key));
    let gauges = Gauges {
        current: 3,
        cluster_size: 8,
        cluster_unhealthy: 1,
        memory_incoming: 16,
        memory_outgoing: 32,
    };
    let text = metrics.text(&["lookup", "load"], gauges);
    let lines: Vec<&str> = text.lines().collect();
    for line in [
        "gateway.answered.lookup=2",
        "gateway.answered.load=0",
        "gateway.sends=2",
        "gateway.current=3",
        "gateway.memory_outgoing=32",
    ] {
        assert!(lines.contains(&line), "{line} is missing in {text}");
    }
    let names: Vec<&str> = lines.iter().filter_map(|l| l.split_once('=')).map(|(n, _)| n).collect();
    let is_formatted = |name: &str| match name.strip_suffix(".C") {
        Some(stem) => ["lookup", "load"].iter().all(|c| names.contains(&&*format!("{stem}.{c}"))),
        None => names.contains(&name),
    };
    assert!(TABLE.iter().all(|metric| is_formatted(metric.name)), "{text}");
    assert_eq!(names.len(), 3 * 2 + 6);
}

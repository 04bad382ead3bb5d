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
    let named_counts = NamedCounts {
        memory: vec![("incoming", 16), ("resident", 5_000)],
        memory_peak: vec![("incoming", 20), ("resident", 6_000)],
        waiting: vec![("memory", 2)],
        longest_wait: vec![("memory", 70)],
        closed: vec![("idle", 4), ("silent", 0)],
        loop_time: vec![("client", 900)],
        loop_longest: vec![("client", 60)],
    };
    let text = metrics.text(&["lookup", "load"], gauges, &named_counts);
    let lines: Vec<&str> = text.lines().collect();
    for line in [
        "gateway.answered.lookup=2",
        "gateway.answered.load=0",
        "gateway.sends=2",
        "gateway.current=3",
        "gateway.memory_outgoing=32",
        "gateway.memory.incoming=16",
        "gateway.memory_peak.resident=6000",
        "gateway.waiting.memory=2",
        "gateway.longest_wait.memory=70",
        "gateway.closed.idle=4",
        "gateway.closed.silent=0",
        "gateway.loop_time.client=900",
        "gateway.loop_longest.client=60",
    ] {
        assert!(lines.contains(&line), "{line} is missing in {text}");
    }
    let names: Vec<&str> = lines.iter().filter_map(|l| l.split_once('=')).map(|(n, _)| n).collect();
    let is_formatted = |name: &str| match name.rsplit_once('.') {
        Some((stem, "C")) => ["lookup", "load"].iter().all(|c| names.contains(&&*format!("{stem}.{c}"))),
        Some((stem, "R")) => ["idle", "silent"].iter().all(|r| names.contains(&&*format!("{stem}.{r}"))),
        Some((stem, "O")) => {
            ["incoming", "resident"].iter().all(|o| names.contains(&&*format!("{stem}.{o}")))
        }
        Some((stem, "W")) => names.contains(&&*format!("{stem}.memory")),
        Some((stem, "T")) => names.contains(&&*format!("{stem}.client")),
        _ => names.contains(&name),
    };
    assert!(TABLE.iter().all(|metric| is_formatted(metric.name)), "{text}");
    assert_eq!(names.len(), 3 * 2 + 6 + 4 + 6);
}

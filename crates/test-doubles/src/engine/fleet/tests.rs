use super::*;

/// Two attempts of one request are an overlap once both are in flight for longer than messages may be reordered, but for the
/// time in which the double itself was paused.
#[test]
fn attempts_overlap_by_the_clock_without_stand_stills() {
    let engine: SocketAddr = ([127, 0, 0, 1], 1).into();
    for (paused, overlaps) in [(0.0, 1), (100.0, 0), (40.0, 1)] {
        let fleet = Fleet::new(0.0);
        fleet.observe_gap(engine, 1.0);
        // Another engine of the same thread does not count the same pause again.
        fleet.observe_gap(([127, 0, 0, 1], 2).into(), 1e6);
        lock(&fleet.record).in_flight.insert("r".into(), 2);
        lock(&fleet.record).overlapping_since.insert("r".into(), 0.0);
        fleet.observe_gap(engine, paused + USUAL_GAP);
        fleet.end_attempt("r", 110.0);
        assert_eq!(fleet.overlaps(), overlaps, "paused for {paused} ms");
    }
}

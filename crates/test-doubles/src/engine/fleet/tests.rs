use super::*;

/// Attempts of one request overlap if they are in flight together for longer than messages may be reordered. A pause of the
/// double's own thread must not count, since a cancellation that arrives during it is read late.
#[test]
fn attempts_overlap_beyond_the_reordering_bound_not_counting_pauses() {
    let engine: SocketAddr = ([127, 0, 0, 1], 1).into();
    for (paused, overlaps) in [(0.0, 1), (100.0, 0), (40.0, 1)] {
        let fleet = Fleet::new(0.0);
        fleet.observe_gap(engine, 1.0);
        // Another engine on the same thread must not count the pause a second time.
        fleet.observe_gap(([127, 0, 0, 1], 2).into(), 1e6);
        lock(&fleet.record).in_flight.insert("r".into(), 2);
        lock(&fleet.record).overlapping_since.insert("r".into(), 0.0);
        fleet.observe_gap(engine, paused + MAX_EXPECTED_GAP);
        fleet.end_attempt("r", 110.0);
        assert_eq!(fleet.overlaps(), overlaps, "paused for {paused} ms");
    }
}

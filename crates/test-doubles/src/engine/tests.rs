use super::*;

/// Two attempts of one request are an overlap once both are out for longer than messages may cross, but for the time
/// in which the stand-in itself stood still.
#[test]
fn attempts_overlap_by_the_clock_without_stand_stills() {
    let at: SocketAddr = ([127, 0, 0, 1], 1).into();
    for (stood, overlaps) in [(0.0, 1), (100.0, 0), (40.0, 1)] {
        let fleet = Fleet::new(0.0);
        fleet.stands(at, 1.0);
        // Another engine of the same thread does not count the same stand-still again.
        fleet.stands(([127, 0, 0, 1], 2).into(), 1e6);
        locked(&fleet.seen).out.insert("r".into(), 2);
        locked(&fleet.seen).twice.insert("r".into(), 0.0);
        fleet.stands(at, stood + STILL);
        end(&mut locked(&fleet.seen), "r", 110.0);
        assert_eq!(fleet.overlapping(), overlaps, "stood still for {stood} ms");
    }
}

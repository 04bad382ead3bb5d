use super::*;
use rstest::rstest;

const ZERO: Duration = Duration::ZERO;

fn others(list: &[(u64, Stage)]) -> Vec<PeerProcess> {
    list.iter().map(|(incarnation, stage)| PeerProcess { incarnation: *incarnation, stage: *stage }).collect()
}

#[test]
fn stage_is_read_as_it_was_written_over_another() {
    for stage in [Stage::Starting, Stage::Listening, Stage::Draining] {
        assert_eq!(Stage::read(stage.file_text()), stage);
        assert_eq!(stage.file_text().len(), Stage::Starting.file_text().len());
    }
    assert_eq!(Stage::read(""), Stage::Starting);
    assert_eq!(Stage::read("listen"), Stage::Starting);
}

#[rstest]
#[case::alone(&[], false, true, ZERO, true)]
#[case::alone_without_any_engine(&[], false, false, ZERO, true)]
#[case::behind_one_that_serves(&[(1, Stage::Listening)], false, true, ZERO, false)]
#[case::behind_one_that_serves_with_the_list(&[(1, Stage::Listening)], true, true, ZERO, true)]
#[case::behind_one_that_serves_with_a_silent_list(&[(1, Stage::Listening)], false, true, LIST_WAIT, true)]
#[case::behind_one_that_serves_without_any_engine(&[(1, Stage::Listening)], false, false, LIST_WAIT, false)]
#[case::behind_one_that_leaves(&[(1, Stage::Draining)], false, true, ZERO, true)]
#[case::behind_one_that_leaves_without_any_engine(&[(1, Stage::Draining)], false, false, ZERO, true)]
#[case::before_one_that_starts(&[(3, Stage::Starting)], false, true, ZERO, true)]
fn a_successor_listens_once_it_could_serve_as_well(
    #[case] list: &[(u64, Stage)],
    #[case] list_received: bool,
    #[case] knows: bool,
    #[case] waited: Duration,
    #[case] may: bool,
) {
    let readiness = Readiness { list_received, knows_engines: knows, waited };
    assert_eq!(may_listen(2, &others(list), readiness), may);
}

#[rstest]
#[case(&[], false, false)]
#[case(&[(1, Stage::Listening)], false, false)]
#[case(&[(3, Stage::Starting)], false, true)]
#[case(&[(3, Stage::Listening)], true, false)]
#[case(&[(3, Stage::Draining)], false, false)]
#[case(&[(3, Stage::Draining), (4, Stage::Starting)], false, true)]
#[case(&[(3, Stage::Starting), (4, Stage::Listening)], true, false)]
fn who_ends_stops_listening_only_once_a_later_one_listens(
    #[case] list: &[(u64, Stage)],
    #[case] hands: bool,
    #[case] waits: bool,
) {
    let most = Duration::from_secs(3);
    assert_eq!(
        (successor_listens(2, &others(list)), awaits_successor(2, &others(list), ZERO, most)),
        (hands, waits)
    );
    assert!(!awaits_successor(2, &others(list), most, most), "what is open is closed in time");
}

/// However three processes start, hear the list and are told to end, one listens at all times once the first does.
#[test]
fn somebody_listens_at_all_times() {
    for seed in 0..2_000_u64 {
        let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut roll = |n: u64| {
            dice ^= dice << 13;
            dice ^= dice >> 7;
            dice ^= dice << 17;
            dice % n
        };
        // Stage by incarnation; told to end, and done.
        let mut processes: Vec<(Stage, bool, bool)> = vec![(Stage::Listening, false, false)];
        for _ in 0..200 {
            let i = roll(3) as usize;
            let seen = |of: usize, processes: &[(Stage, bool, bool)]| -> Vec<PeerProcess> {
                let other =
                    |(j, l): (usize, &(Stage, bool, bool))| PeerProcess { incarnation: j as u64, stage: l.0 };
                processes.iter().enumerate().filter(|(j, l)| *j != of && !l.2).map(other).collect()
            };
            match (processes.get(i).copied(), roll(4)) {
                (None, _) if processes.len() < 3 => processes.push((Stage::Starting, false, false)),
                (Some((Stage::Starting, _, false)), 0)
                    if may_listen(
                        i as u64,
                        &seen(i, &processes),
                        Readiness { list_received: roll(2) == 0, knows_engines: roll(2) == 0, waited: ZERO },
                    ) =>
                {
                    processes[i].0 = Stage::Listening;
                }
                // Only the last is never told to end: there is nobody after it.
                (Some((Stage::Listening, told, false)), 1) if i + 1 < processes.len() => {
                    processes[i].1 = true;
                    if (told || roll(2) == 0) && successor_listens(i as u64, &seen(i, &processes)) {
                        processes[i] = (Stage::Draining, true, roll(2) == 0);
                    }
                }
                _ => {}
            }
            let listens = processes.iter().any(|(stage, _, done)| *stage == Stage::Listening && !done);
            assert!(listens, "seed {seed}: {processes:?}");
        }
    }
}

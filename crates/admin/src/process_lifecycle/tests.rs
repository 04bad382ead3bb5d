use super::*;
use rstest::rstest;

const ZERO: Duration = Duration::ZERO;

fn others(list: &[(u64, Stage)]) -> Vec<PeerProcess> {
    list.iter().map(|(incarnation, stage)| PeerProcess { incarnation: *incarnation, stage: *stage }).collect()
}

#[test]
fn stages_are_parsed_from_their_texts_which_have_equal_length() {
    for stage in [Stage::Starting, Stage::Listening, Stage::Draining] {
        assert_eq!(Stage::read(stage.file_text()), stage);
        assert_eq!(stage.file_text().len(), Stage::Starting.file_text().len());
    }
    assert_eq!(Stage::read(""), Stage::Starting);
    assert_eq!(Stage::read("listen"), Stage::Starting);
}

#[rstest]
#[case::alone(&[], false, true, ZERO, true)]
#[case::alone_without_engines(&[], false, false, ZERO, true)]
#[case::behind_a_listening_process(&[(1, Stage::Listening)], false, true, ZERO, false)]
#[case::behind_a_listening_process_with_the_list(&[(1, Stage::Listening)], true, true, ZERO, true)]
#[case::behind_a_listening_process_without_the_list_after_the_wait(&[(1, Stage::Listening)], false, true, LIST_WAIT, true)]
#[case::behind_a_listening_process_without_engines(&[(1, Stage::Listening)], false, false, LIST_WAIT, false)]
#[case::behind_a_draining_process(&[(1, Stage::Draining)], false, true, ZERO, true)]
#[case::behind_a_draining_process_without_engines(&[(1, Stage::Draining)], false, false, ZERO, true)]
#[case::before_a_starting_process(&[(3, Stage::Starting)], false, true, ZERO, true)]
fn successor_listens_only_once_it_can_serve(
    #[case] list: &[(u64, Stage)],
    #[case] list_received: bool,
    #[case] knows_engines: bool,
    #[case] waited: Duration,
    #[case] expected: bool,
) {
    let readiness = Readiness { list_received, knows_engines, waited };
    assert_eq!(may_listen(2, &others(list), readiness), expected);
}

#[rstest]
#[case(&[], false, false)]
#[case(&[(1, Stage::Listening)], false, false)]
#[case(&[(3, Stage::Starting)], false, true)]
#[case(&[(3, Stage::Listening)], true, false)]
#[case(&[(3, Stage::Draining)], false, false)]
#[case(&[(3, Stage::Draining), (4, Stage::Starting)], false, true)]
#[case(&[(3, Stage::Starting), (4, Stage::Listening)], true, false)]
fn process_stops_listening_only_once_a_later_one_listens(
    #[case] list: &[(u64, Stage)],
    #[case] successor_is_listening: bool,
    #[case] should_wait: bool,
) {
    let max_wait = Duration::from_secs(3);
    assert_eq!(
        (successor_listens(2, &others(list)), awaits_successor(2, &others(list), ZERO, max_wait)),
        (successor_is_listening, should_wait)
    );
    assert!(!awaits_successor(2, &others(list), max_wait, max_wait), "the wait ends at its maximum");
}

/// Simulates three processes that start, receive the endpoint list and shut down in random order. If a process stopped
/// listening too early, no process would accept new connections.
#[test]
fn at_least_one_process_listens_at_all_times() {
    for seed in 0..2_000_u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut random = |n: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % n
        };
        // For each process by incarnation: its stage, whether it is shutting down, and whether it has ended.
        let mut processes: Vec<(Stage, bool, bool)> = vec![(Stage::Listening, false, false)];
        for _ in 0..200 {
            let i = random(3) as usize;
            let seen = |of: usize, processes: &[(Stage, bool, bool)]| -> Vec<PeerProcess> {
                let other =
                    |(j, l): (usize, &(Stage, bool, bool))| PeerProcess { incarnation: j as u64, stage: l.0 };
                processes.iter().enumerate().filter(|(j, l)| *j != of && !l.2).map(other).collect()
            };
            match (processes.get(i).copied(), random(4)) {
                (None, _) if processes.len() < 3 => processes.push((Stage::Starting, false, false)),
                (Some((Stage::Starting, _, false)), 0)
                    if may_listen(
                        i as u64,
                        &seen(i, &processes),
                        Readiness {
                            list_received: random(2) == 0,
                            knows_engines: random(2) == 0,
                            waited: ZERO,
                        },
                    ) =>
                {
                    processes[i].0 = Stage::Listening;
                }
                // The last process is never shut down, as it has no successor.
                (Some((Stage::Listening, shutting_down, false)), 1) if i + 1 < processes.len() => {
                    processes[i].1 = true;
                    if (shutting_down || random(2) == 0) && successor_listens(i as u64, &seen(i, &processes))
                    {
                        processes[i] = (Stage::Draining, true, random(2) == 0);
                    }
                }
                _ => {}
            }
            let listens = processes.iter().any(|(stage, _, ended)| *stage == Stage::Listening && !ended);
            assert!(listens, "seed {seed}: {processes:?}");
        }
    }
}

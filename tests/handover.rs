//! The folder that the processes of a gateway share. Several of these processes are simulated in one test process, which works
//! because the locks belong to open files, not to processes.

use rstest::rstest;
use starlingplank::net::hot_restart::{ChangeError, HotRestart};
use starlingplank_admin::operator_overrides::OverrideError;
use starlingplank_admin::process_lifecycle::{PeerProcess, Stage};
use starlingplank_persistence::deduplication_window::{self, DeduplicationWindow, KeySend, KeySends};
use std::path::Path;

const NOW: f64 = 1_000_000.0;
const WINDOW: f64 = 12_000.0;

fn open(path: &Path) -> HotRestart {
    HotRestart::open(path, NOW).expect("a folder")
}

fn sent(at: f64) -> KeySend {
    KeySend { at, window: WINDOW }
}

/// Returns whether two records agree, apart from clock differences below 50 ms.
fn nearly_equal(a: &KeySends, b: &KeySends) -> bool {
    (a.first - b.first).abs() < 50.0 && (a.last - b.last).abs() < 50.0 && a.window == b.window
}

#[test]
fn processes_observe_the_stages_and_exits_of_their_peers() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("shared");
    let mut first = open(&path);
    first.publish_stage(Stage::Listening).expect("written");
    let mut second = open(&path);
    second.observe(NOW);
    assert_eq!(second.peers(), [PeerProcess { incarnation: 1, stage: Stage::Listening }]);
    assert_eq!(first.observe(NOW).waiting_successors, [2], "the successor waits for the learned state");
    assert_eq!(first.observe(NOW).waiting_successors, [0; 0], "the waiting successor is reported once");
    second.publish_stage(Stage::Listening).expect("written");
    first.observe(NOW);
    assert_eq!(first.peers(), [PeerProcess { incarnation: 2, stage: Stage::Listening }]);
    first.publish_stage(Stage::Draining).expect("written");
    second.observe(NOW);
    assert_eq!(second.peers(), [PeerProcess { incarnation: 1, stage: Stage::Draining }]);
    drop(first);
    second.observe(NOW);
    assert_eq!(second.peers(), []);
    let left: Vec<_> =
        std::fs::read_dir(&path).expect("there").map(|e| e.expect("one").file_name()).collect();
    assert!(!left.iter().any(|name| name.to_string_lossy().ends_with("0001")), "{left:?}");
}

/// A process that ends before it has read the state that was passed to it: the next one has the same number, and must not take that
/// state for what is passed to it.
#[test]
fn state_passed_to_a_process_that_has_exited_is_not_left_to_the_next_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("shared");
    let mut first = open(&path);
    let second = open(&path);
    assert_eq!(first.observe(NOW).waiting_successors, [2]);
    let passed = ["learned", "heard"].map(|state| path.join(format!("{state}-{:016x}-for-{:016x}", 1, 2)));
    for file in &passed {
        std::fs::write(file, "state").expect("written");
    }
    drop(second);
    first.observe(NOW);
    let next = open(&path);
    assert_eq!(next.incarnation(), 2);
    assert!(passed.iter().all(|file| !file.exists()), "{passed:?}");
    assert_eq!(first.observe(NOW).waiting_successors, [2], "the next process waits for state of its own");
}

/// Guards against a repeated key that runs twice: a successor applies the deduplication window of sends by its predecessors,
/// whether these still run, have exited or were killed.
#[test]
fn sent_keys_reach_all_later_processes() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("shared");
    let key = deduplication_window::key("k1");
    let mut first = open(&path);
    first.record(key, sent(NOW)).expect("recorded");
    let mut second = open(&path);
    let peer_keys = second.observe(NOW + 10.0).keys;
    assert!(
        peer_keys.len() == 1
            && peer_keys[0].0 == key
            && nearly_equal(&peer_keys[0].1, &KeySends::single(sent(NOW))),
        "{peer_keys:?}"
    );
    // A key that is sent while both processes run is returned as well, once.
    first.record(deduplication_window::key("k2"), sent(NOW + 20.0)).expect("recorded");
    assert_eq!(second.peer_keys(NOW + 30.0).len(), 1);
    assert_eq!(second.peer_keys(NOW + 30.0).len(), 0);
    // This key is written by a process that is killed before its peer polls again.
    first.record(deduplication_window::key("k3"), sent(NOW + 40.0)).expect("recorded");
    drop(first);
    assert_eq!(second.observe(NOW + 50.0).keys.len(), 1);
    let mut third = open(&path);
    let mut peer_keys = third.observe(NOW + 60.0).keys;
    peer_keys.sort_by(|a, b| a.1.first.total_cmp(&b.1.first));
    assert_eq!(
        peer_keys.iter().map(|(k, _)| *k).collect::<Vec<_>>(),
        ["k1", "k2", "k3"].map(deduplication_window::key)
    );
    // The deduplication window rejects a key that would run twice.
    let mut deduplication = DeduplicationWindow::in_memory();
    peer_keys.into_iter().for_each(|(k, sends)| deduplication.merge_peer_sends(k, sends, NOW + 60.0));
    let late = NOW + WINDOW - 1.0;
    assert!(matches!(
        deduplication.admit(&key, WINDOW, late, 20.0),
        deduplication_window::Admission::Later(_)
    ));
    assert!(matches!(
        deduplication.admit(&deduplication_window::key("new"), WINDOW, late, 20.0),
        deduplication_window::Admission::Until(_)
    ));
}

#[test]
fn key_file_stays_small_and_holds_all_unexpired_keys() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("shared");
    let mut first = open(&path);
    let mut second = open(&path);
    let mut peer_key_count = 0;
    // One load every 50 ms for an hour of simulated time: 240 keys are unexpired at any time.
    for n in 0..72_000_u32 {
        let at = NOW + f64::from(n) * 50.0;
        first.record(deduplication_window::key(&n.to_string()), sent(at)).expect("recorded");
        if n % 1_000 == 999 {
            peer_key_count += second.peer_keys(at).len();
        }
    }
    assert!(peer_key_count >= 72 * 240, "{peer_key_count}");
    let size = |n: u64| std::fs::metadata(path.join(format!("keys-{n:016x}"))).expect("there").len();
    assert!(size(1) < 200_000, "{}", size(1));
    drop(first);
    second.observe(NOW + 72_000.0 * 50.0);
    assert!(size(2) < 200_000, "{}", size(2));
}

#[test]
fn operator_overrides_reach_peers_and_successors() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("shared");
    let mut first = open(&path);
    let out =
        first.change_overrides(|overrides| overrides.exclude("s-1", true, NOW)).expect("kept").expect("new");
    assert!(out.is_excluded("s-1"));
    assert!(first.change_overrides(|overrides| overrides.exclude("s-1", true, NOW)).expect("kept").is_none());
    let no = first.change_overrides(|overrides| overrides.exclude("s-9", false, NOW));
    assert!(matches!(no, Err(ChangeError::Invalid(OverrideError::Unknown))));
    let mut second = open(&path);
    assert!(second.overrides().is_excluded("s-1"));
    second.change_overrides(|overrides| overrides.exclude("s-2", true, NOW)).expect("kept");
    assert!(first.observe(NOW).overrides.expect("changed").is_excluded("s-2"));
    drop((first, second));
    let third = open(&path);
    assert_eq!(third.overrides().excluded().collect::<Vec<_>>(), ["s-1", "s-2"]);
}

/// Guards against a start that fails on unreadable files: only their contents are lost, and a later change of the overrides
/// writes a complete file again.
#[rstest]
#[case::empty(|_: &[u8]| Vec::new())]
#[case::truncated(|bytes: &[u8]| bytes[..bytes.len() - 3].to_vec())]
#[case::corrupted(|bytes: &[u8]| { let mut b = bytes.to_vec(); b[22] ^= 1; b })]
#[case::newer_format(|bytes: &[u8]| { let mut b = bytes.to_vec(); b[8] = 9; b })]
#[case::oversized(|_: &[u8]| vec![7; 5 << 20])]
fn unreadable_files_do_not_prevent_a_start(#[case] corrupt: fn(&[u8]) -> Vec<u8>) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("shared");
    let mut first = open(&path);
    first.change_overrides(|overrides| overrides.exclude("s-1", true, NOW)).expect("kept");
    first.record(deduplication_window::key("k1"), sent(NOW)).expect("recorded");
    for name in ["hand", "keys-0000000000000001", "life-0000000000000001"] {
        let file = path.join(name);
        let bytes = std::fs::read(&file).expect("there");
        let corrupted = corrupt(&[&bytes[..], &[0; 24]].concat());
        std::fs::write(&file, corrupted).expect("written");
    }
    drop(first);
    let mut second = open(&path);
    second.observe(NOW);
    assert!(!second.overrides().is_excluded("s-1"));
    second.change_overrides(|overrides| overrides.exclude("s-2", true, NOW)).expect("kept");
    assert!(open(&path).overrides().is_excluded("s-2"));
}

#[test]
fn key_file_truncated_or_corrupted_at_any_byte_gives_only_intact_records() {
    let name = "keys-0000000000000001";
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("first");
    let mut first = open(&path);
    (0..4)
        .for_each(|n| first.record(deduplication_window::key(&n.to_string()), sent(NOW)).expect("recorded"));
    let bytes = std::fs::read(path.join(name)).expect("there");
    // Returns the keys that a process reads at its start if a killed process has left these bytes.
    let read_keys = |at: usize, bytes: &[u8]| {
        let path = folder.path().join(at.to_string());
        drop(open(&path));
        std::fs::write(path.join(name), bytes).expect("written");
        open(&path).observe(NOW).keys
    };
    for at in 0..bytes.len() {
        let intact = at.saturating_sub(16 + 40) / 40;
        assert_eq!(read_keys(2 * at, &bytes[..at]).len(), intact, "truncated at byte {at}");
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x10;
        let known: Vec<_> = (0..4).map(|n| deduplication_window::key(&n.to_string())).collect();
        let keys = read_keys(2 * at + 1, &corrupted);
        assert!(keys.len() < 4 || at < 16 + 40, "corrupted at byte {at}");
        assert!(keys.iter().all(|(key, _)| known.contains(key)), "corrupted at byte {at}");
    }
}

#[test]
fn folder_accessible_to_other_users_is_rejected() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::set_permissions(folder.path(), std::fs::Permissions::from_mode(0o755)).expect("set");
    assert!(HotRestart::open(folder.path(), NOW).is_err());
}

//! Processes of one gateway that are killed at any moment, under load.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use rstest::rstest;
use stand::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What the clients of [`processes_killed_at_any_moment_cost_what_they_had_open_and_nothing_else`] have met so far.
#[derive(Default)]
struct Outcomes {
    answered: std::sync::atomic::AtomicUsize,
    /// Requests that were taken and whose connection ended without an answer.
    lost: std::sync::atomic::AtomicUsize,
    /// Connections refused.
    refused: std::sync::atomic::AtomicUsize,
    stop: std::sync::atomic::AtomicBool,
}

impl Outcomes {
    fn of(figure: &std::sync::atomic::AtomicUsize) -> usize {
        figure.load(std::sync::atomic::Ordering::SeqCst)
    }

    fn add(figure: &std::sync::atomic::AtomicUsize) {
        figure.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    }

    /// Waits until so many more requests were answered: an event, not a time.
    fn more(&self, answers: usize) {
        let from = Self::of(&self.answered);
        for _ in 0..60_000 {
            if Self::of(&self.answered) >= from + answers {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("nobody answers any more");
    }
}

/// Keyed and plain requests without a pause; one that is lost, or refused, is sent again under its key until it is
/// served. Returns the tries of each key: when each was begun.
fn stubborn(
    at: SocketAddr,
    client: u64,
    outcomes: &Outcomes,
    begun: std::time::Instant,
) -> std::collections::BTreeMap<String, Vec<f64>> {
    let mut tries = std::collections::BTreeMap::<String, Vec<f64>>::new();
    let mut open: Option<(TcpStream, i32)> = None;
    let (mut n, mut again) = (0_u64, false);
    for step in 0..10_000_000_u64 {
        if outcomes.stop.load(std::sync::atomic::Ordering::SeqCst) {
            return tries;
        }
        let Some((mut stream, seq)) = open.take().or_else(|| Some((TcpStream::connect(at).ok()?, 1))) else {
            Outcomes::add(&outcomes.refused);
            std::thread::yield_now();
            continue;
        };
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        n += u64::from(!again);
        let (txn, key) = (format!("{client:08x}{step:08x}"), format!("{client}k{n}"));
        let verb = if n % 4 == 1 { "load" } else { "lookup" };
        let mut fields = vec![("verb", verb), ("txn", &*txn), ("limit", "15000")];
        if verb == "load" {
            fields.push(("unique", &*key));
            tries.entry(key.clone()).or_default().push(begun.elapsed().as_secs_f64() * 1000.0);
        }
        let sent = stream.write_all(&call(seq, &fields, "select 1"));
        let mut byte = [0];
        again = !(sent.is_ok() && matches!(stream.peek(&mut byte), Ok(1)));
        if again {
            Outcomes::add(&outcomes.lost);
            continue;
        }
        let (number, kind, _) = answer(&mut stream);
        assert_eq!(number, seq, "one answer each, in its turn");
        again = kind != "served";
        Outcomes::add(&outcomes.answered);
        open = (seq < 1 + (step % 7) as i32).then_some((stream, seq + 1));
    }
    panic!("it was never told to stop");
}

/// Versions follow each other, and processes are killed outright: the old one before or after it was told to end, the
/// new one before it listens, the only one there is. What is lost was open at a process that was killed; a key does
/// not run twice, though clients send it again at once and for as long as it takes; nothing goes to the engine that is
/// out by hand.
#[rstest]
#[case(1)]
#[case(2)]
fn processes_killed_at_any_moment_cost_what_they_had_open_and_nothing_else(#[case] seed: u64) {
    const WINDOW: f64 = 700.0;
    let begun = std::time::Instant::now();
    // What an engine does that drops repeats for a window from the first: by key, when it ran.
    type Runs = std::collections::BTreeMap<String, Vec<f64>>;
    let runs: std::sync::Arc<std::sync::Mutex<Runs>> = Default::default();
    let ran = runs.clone();
    let (first, _) = resp_engine(move |parts| {
        let key = (parts[0] == "want").then(|| parts[2].split(',').find_map(|f| f.strip_prefix("uniq=")));
        if let Some(key) = key.flatten() {
            let now = begun.elapsed().as_secs_f64() * 1000.0;
            let mut ran = ran.lock().expect("runs");
            let times = ran.entry(key.to_owned()).or_default();
            if times.last().is_none_or(|at| now >= at + WINDOW) {
                times.push(now);
            }
        }
        served(parts)
    });
    let (second, log) = resp_engine(served);
    let mut site = Site::new(&[first, second]);
    site.config = site.config.replacen("\"window\":12000", &format!("\"window\":{WINDOW}"), 1);
    let mut current = site.start();
    assert_eq!(current.put("/api/exclude", "s-1"), 200);
    let outcomes = std::sync::Arc::new(Outcomes::default());
    let clients: Vec<_> = (0..5)
        .map(|client| {
            let (outcomes, at) = (outcomes.clone(), site.at);
            std::thread::spawn(move || stubborn(at, client, &outcomes, begun))
        })
        .collect();
    let mut dice = fastrand_like(seed);
    let mut kills = 0;
    for round in 0..14 {
        outcomes.more(dice(40) as usize + 1);
        let (lost, refused) = (Outcomes::of(&outcomes.lost), Outcomes::of(&outcomes.refused));
        let kind = dice(5);
        match kind {
            // The old one is killed once the new one listens, before it is told anything.
            0 => {
                let next = site.start();
                outcomes.more(dice(20) as usize);
                current.signal("-KILL");
                current = next;
            }
            // ... or after it was told to end.
            1 => {
                let next = site.start();
                current.signal("-TERM");
                outcomes.more(dice(200) as usize);
                current.signal("-KILL");
                current = next;
            }
            // The new one is killed at its start; the old one has noticed nothing.
            2 => {
                let mut starting = site.spawn();
                outcomes.more(dice(300) as usize);
                // It may listen by now, and then have requests open.
                starting.kill().expect("it runs");
                starting.wait().expect("it ends");
            }
            // The only one is killed, and started again.
            3 => {
                current.signal("-KILL");
                current = site.start();
            }
            _ => {
                let next = site.start();
                current.signal("-TERM");
                std::mem::replace(&mut current, next).ended();
            }
        }
        kills += usize::from(kind < 4);
        // Whatever a client had on a process that has ended it has noticed by then.
        outcomes.more(5 * 8);
        let (lost, refused) =
            (Outcomes::of(&outcomes.lost) - lost, Outcomes::of(&outcomes.refused) - refused);
        // Five clients have one request open each, or are about to connect. In an upgrade each crosses the end of a
        // connection at most once on top; that is sent again. Only where none other runs are more turned away.
        assert!(lost <= 5 * 2, "round {round}, kind {kind}: {lost} lost");
        assert!(
            refused <= if kind == 4 { 2 } else { 5 } || kind == 3,
            "round {round}, kind {kind}: {refused} refused"
        );
        assert_eq!(current.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200, "round {round}");
        assert_eq!(current.metric("gateway.cluster_unhealthy"), 1, "round {round}: it is still out");
    }
    outcomes.stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let tries: Vec<_> = clients.into_iter().map(|c| c.join().expect("no answer is missing")).collect();
    assert!(kills > 5 && Outcomes::of(&outcomes.lost) > 0, "{kills} kills");
    assert_eq!(wants(&log), 0, "nothing went to the engine that is out");
    let runs = runs.lock().expect("runs");
    assert!(runs.len() > 100, "{} keys", runs.len());
    for (key, times) in runs.iter().filter(|(_, times)| times.len() > 1) {
        let tries = tries.iter().find_map(|t| t.get(key)).expect("a client sent it");
        for pair in times.windows(2) {
            // A repeat that came while the engine knew the key ran after that.
            let came = tries.iter().copied().filter(|at| *at < pair[1]).fold(0.0, f64::max);
            assert!(came > pair[0] + WINDOW - 50.0, "{key} ran at {times:?}, and came at {tries:?}");
        }
    }
}

/// Dice of a seed, for tests.
fn fastrand_like(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |n| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % n
    }
}

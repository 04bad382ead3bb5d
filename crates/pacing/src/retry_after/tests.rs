use super::*;

/// Thousands come within a second while nothing can be served for so long; all heed what they are told. Returns
/// tries a client and the most that came within a tenth of a second later on.
fn play(
    outage: Milliseconds,
    max_wait: Milliseconds,
    spread: impl Fn(Milliseconds) -> Milliseconds,
) -> (f64, usize) {
    const CLIENTS: usize = 5_000;
    let (mut dice, mut retry_after) = (fastrand::Rng::with_seed(1), RetryAfter::new(7, 0.0));
    let (mut tries, mut late) = (0_usize, std::collections::BTreeMap::<u64, usize>::new());
    // Who is due when, in milliseconds.
    let mut due: std::collections::BTreeMap<(u64, usize), ()> =
        (0..CLIENTS).map(|n| ((dice.u64(0..1_000), n), ())).collect();
    while let Some(((at, n), ())) = due.pop_first() {
        tries += 1;
        *late.entry(at / 100).or_default() += usize::from(at >= 2_000);
        if (at as Milliseconds) < outage {
            due.insert((at + spread(retry_after.draw(at as Milliseconds, max_wait)).ceil() as u64, n), ());
        }
    }
    (tries as f64 / CLIENTS as f64, late.values().copied().max().unwrap_or(0))
}

#[test]
fn clients_ask_a_few_times_however_long_it_takes_and_never_all_at_once() {
    let (tries, worst) = play(60_000.0, 3_600_000.0, |w| w);
    assert!(tries < 10.0, "{tries} tries");
    // 5,000 over the two seconds and more in which they come retry_after: 250 in a tenth of a second.
    assert!(worst < 400, "{worst} in 100 ms");
    // What all were told before: the same second.
    let (_, herd) = play(60_000.0, 1_000.0, |_| 1_000.0);
    assert!(herd > 480, "the check can fail: {herd}");
}

#[test]
fn nobody_is_told_to_keep_away_for_longer_than_clients_heed() {
    let mut retry_after = RetryAfter::new(3, 0.0);
    for now in [0.0, 10.0, 1_000.0, 1e6, 1e9] {
        for _ in 0..100 {
            let wait = retry_after.draw(now, 1_000.0);
            assert!((MIN_RETRY_AFTER..=1_000.0).contains(&wait), "{wait} at {now}");
        }
    }
    assert_eq!(retry_after.draw(5.0, 0.0), 0.0, "where clients are told nothing");
}

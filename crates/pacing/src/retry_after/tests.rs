use super::*;

/// Simulates 5,000 clients that arrive within a second during an outage, and that all wait as they are asked to. Returns the
/// number of requests per client, and the greatest number of requests within 100 ms from 2 s on.
fn simulate(
    outage: Milliseconds,
    max_wait: Milliseconds,
    adjust: impl Fn(Milliseconds) -> Milliseconds,
) -> (f64, usize) {
    const CLIENTS: usize = 5_000;
    let (mut rng, mut retry_after) = (fastrand::Rng::with_seed(1), RetryAfter::new(7, 0.0));
    let (mut requests, mut per_bucket) = (0_usize, std::collections::BTreeMap::<u64, usize>::new());
    // The next requests: time in ms, and client.
    let mut due: std::collections::BTreeMap<(u64, usize), ()> =
        (0..CLIENTS).map(|n| ((rng.u64(0..1_000), n), ())).collect();
    while let Some(((at, n), ())) = due.pop_first() {
        requests += 1;
        *per_bucket.entry(at / 100).or_default() += usize::from(at >= 2_000);
        if (at as Milliseconds) < outage {
            due.insert((at + adjust(retry_after.draw(at as Milliseconds, max_wait)).ceil() as u64, n), ());
        }
    }
    (requests as f64 / CLIENTS as f64, per_bucket.values().copied().max().unwrap_or(0))
}

#[test]
fn clients_retry_a_few_times_in_a_long_outage_and_never_all_at_once() {
    let (requests, max_in_bucket) = simulate(60_000.0, 3_600_000.0, |w| w);
    assert!(requests < 10.0, "{requests} requests per client");
    // 5,000 clients that retry over 2 s or more: 250 in 100 ms on average.
    assert!(max_in_bucket < 400, "{max_in_bucket} requests in 100 ms");
    // With the same retry-after time of 1 s for all clients the burst is larger.
    let (_, burst) = simulate(60_000.0, 1_000.0, |_| 1_000.0);
    assert!(burst > 480, "the test must detect a burst: {burst} requests in 100 ms");
}

#[test]
fn retry_after_is_capped_at_the_maximum() {
    let mut retry_after = RetryAfter::new(3, 0.0);
    for now in [0.0, 10.0, 1_000.0, 1e6, 1e9] {
        for _ in 0..100 {
            let wait = retry_after.draw(now, 1_000.0);
            assert!((MIN_RETRY_AFTER..=1_000.0).contains(&wait), "{wait} at {now}");
        }
    }
    assert_eq!(retry_after.draw(5.0, 0.0), 0.0, "no wait if the maximum is 0");
}

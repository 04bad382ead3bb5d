use super::*;

fn config(gateways: usize, gateway_index: Option<u64>, max_interval: Milliseconds) -> PollConfig {
    PollConfig { gateways, gateway_index, max_interval }
}

/// Simulates a fleet that starts within `spread` ms, with a service that responds to up to `capacity` polls per second while
/// `is_up` returns true. Returns the number of polls in each period of 10 ms, and the time at which each gateway received its
/// first response.
fn simulate(
    (gateways, indexed, max_interval): (usize, bool, Milliseconds),
    spread: Milliseconds,
    capacity: f64,
    is_up: impl Fn(Milliseconds) -> bool,
    until: Milliseconds,
) -> (Vec<u32>, Vec<Option<Milliseconds>>) {
    let mut rng = fastrand::Rng::with_seed(gateways as u64 ^ 77);
    let mut fleet: Vec<PollSchedule> = (0..gateways)
        .map(|i| {
            let config = config(gateways, indexed.then_some(i as u64), max_interval);
            PollSchedule::new(config, rng.u64(..), rng.f64() * spread)
        })
        .collect();
    let (mut buckets, mut first_response_at) = (vec![0; (until / 10.0) as usize], vec![None; gateways]);
    let mut tokens = 0.0;
    for (step, bucket) in buckets.iter_mut().enumerate() {
        let now = step as f64 * 10.0;
        tokens = f64::min(tokens + capacity / 100.0, capacity / 10.0);
        let mut order: Vec<usize> = (0..gateways).filter(|i| fleet[*i].next_poll_at() <= now).collect();
        rng.shuffle(&mut order);
        for i in order {
            *bucket += 1;
            fleet[i].poll_sent(now);
            if is_up(now) && tokens >= 1.0 {
                tokens -= 1.0;
                fleet[i].response_received(now);
                first_response_at[i].get_or_insert(now);
            }
        }
    }
    (buckets, first_response_at)
}

fn second(buckets: &[u32], from: usize) -> u32 {
    buckets.iter().skip(from * 100).take(100).sum()
}

#[test]
fn gateways_that_start_together_poll_one_after_another() {
    for gateways in [30, 100, 300, 1_000] {
        for indexed in [true, false] {
            let (buckets, first_response_at) =
                simulate((gateways, indexed, STEADY_INTERVAL), 0.0, 1e9, |_| true, 5_000.0);
            let max_in_bucket = buckets.iter().max().copied().unwrap_or(0);
            // At the steady interval 300 gateways send 15 polls in 10 ms on average. Random positions allow for some more.
            let even = (gateways as u32).div_ceil(20).max(10);
            let limit = if indexed { even + 2 } else { 2 * even + 10 };
            assert!(
                max_in_bucket <= limit,
                "{gateways} gateways, indexed {indexed}: {max_in_bucket} polls in 10 ms"
            );
            assert!(first_response_at.iter().all(|at| at.is_some_and(|at| at <= gateways as f64 + 210.0)));
        }
    }
}

#[test]
fn fleets_of_one_and_three_poll_within_3_ms_and_then_at_the_steady_interval() {
    for gateways in [1, 3] {
        for gateway_index in 0..gateways as u64 {
            let mut schedule =
                PollSchedule::new(config(gateways, Some(gateway_index), DEFAULT_MAX_INTERVAL), 1, 0.0);
            assert!(schedule.next_poll_at() <= 3.0, "{}", schedule.next_poll_at());
            for _ in 0..50 {
                let due = schedule.next_poll_at();
                schedule.poll_sent(due);
                schedule.response_received(due + 1.0);
                assert_eq!(schedule.next_poll_at() - due, STEADY_INTERVAL);
            }
        }
    }
}

#[test]
fn silent_service_is_polled_less_and_less_often_and_not_in_step() {
    let (buckets, _) = simulate((300, true, STEADY_INTERVAL), 250.0, 1e9, |_| false, 30_000.0);
    let per_second: Vec<u32> = (10..30).map(|s| second(&buckets, s)).collect();
    assert!(per_second.iter().all(|n| (70..=140).contains(n)), "{per_second:?}");
    let max_in_bucket = buckets[1_000..].iter().max().copied().unwrap_or(0);
    assert!(max_in_bucket <= 8, "{max_in_bucket} in 10 ms");
}

#[test]
fn all_gateways_receive_a_response_soon_after_a_late_service_start_without_a_burst() {
    let (buckets, first_response_at) =
        simulate((300, true, STEADY_INTERVAL), 250.0, 1e9, |now| now >= 10_000.0, 20_000.0);
    assert!(first_response_at.iter().all(|at| at.is_some_and(|at| at < 10_000.0 + 1.25 * 3_000.0)));
    let max_in_bucket = buckets.iter().max().copied().unwrap_or(0);
    assert!(max_in_bucket <= 40, "{max_in_bucket} in 10 ms");
}

/// A change that an unanswered poll would have reported counts as propagated 1.5 s after that poll, and 2 s later nothing may be
/// sent to a draining engine. A response must therefore be received within 3.5 s of the first unanswered poll.
#[test]
fn response_after_three_seconds_of_silence_is_received_before_the_drain_deadline() {
    for gateways in [1, 3, 30, 100, 300, 1_000, 10_000] {
        for seed in 0..50 {
            let mut schedule = PollSchedule::new(config(gateways, None, STEADY_INTERVAL), seed, 0.0);
            let mut unanswered = None;
            for _ in 0..2_000 {
                let now = schedule.next_poll_at();
                schedule.poll_sent(now);
                let silent = (20_000.0..23_000.0).contains(&now) || (30_000.0..33_000.0).contains(&now);
                if silent {
                    unanswered.get_or_insert(now);
                } else {
                    let waited = now - unanswered.take().unwrap_or(now);
                    assert!(
                        waited <= 3_500.0,
                        "{gateways} gateways: {waited} ms until the response at {now}"
                    );
                    schedule.response_received(now);
                }
                if now > 40_000.0 {
                    break;
                }
            }
        }
    }
}

/// Half of the processes of a fleet are paused for 5 s while their clocks continue. Each polls once when it resumes, and from
/// then on the polls are spread as evenly as before.
#[test]
fn gateways_paused_together_poll_at_their_slots_again_after_the_pause() {
    let mut fleet: Vec<PollSchedule> = (0..300)
        .map(|i| PollSchedule::new(config(300, Some(i as u64), STEADY_INTERVAL), i as u64, 0.0))
        .collect();
    let mut buckets = vec![0_u32; 2_000];
    for (step, bucket) in buckets.iter_mut().enumerate() {
        let now = step as f64 * 10.0;
        for (i, schedule) in fleet.iter_mut().enumerate() {
            let is_paused = i % 2 == 0 && (5_000.0..10_000.0).contains(&now);
            if !is_paused && schedule.next_poll_at() <= now {
                schedule.poll_sent(now);
                schedule.response_received(now);
                *bucket += 1;
            }
        }
    }
    assert!(buckets[1_000] >= 150, "all gateways that resume poll at once");
    let later = buckets[1_002..].iter().max().copied().unwrap_or(0);
    let before = buckets[100..500].iter().max().copied().unwrap_or(0);
    assert!(later <= before, "{later} polls in 10 ms after the pause, {before} before it");
}

#[test]
fn service_that_sends_invalid_responses_is_polled_no_more_often_than_a_silent_one() {
    let mut schedule = PollSchedule::new(config(300, Some(7), DEFAULT_MAX_INTERVAL), 3, 0.0);
    let mut polls = 0;
    while schedule.next_poll_at() < 30_000.0 {
        let due = schedule.next_poll_at();
        schedule.poll_sent(due); // No response is valid, so none is recorded.
        polls += 1;
    }
    assert!(polls <= 20, "{polls} polls in 30 s");
}

/// A service with a fifth, a third or half of the capacity that the steady interval needs receives little more polls than it can
/// respond to, and all gateways receive the list. With the steady interval alone the overload would persist.
#[test]
fn overloaded_service_is_polled_little_more_often_than_it_can_respond() {
    for gateways in [30, 100, 300, 1_000] {
        for fraction in [0.2, 0.33, 0.5] {
            let capacity: f64 = gateways as f64 * 5.0 * fraction;
            // The number of polls in one second varies randomly.
            let limit = 1.4 + 3.0 / capacity.sqrt();
            let (buckets, first_response_at) =
                simulate((gateways, true, DEFAULT_MAX_INTERVAL), 0.0, capacity, |_| true, 40_000.0);
            let load: Vec<f64> = (0..40).map(|s| f64::from(second(&buckets, s)) / capacity).collect();
            let mean = load[10..].iter().sum::<f64>() / 30.0;
            assert!(mean < 1.3, "{gateways}, {fraction}: {mean}");
            assert!(load[10..].iter().all(|o| *o < limit), "{gateways}, {fraction}: {load:?}");
            assert!(
                first_response_at.iter().all(|at| at.is_some_and(|at| at < 15_000.0)),
                "{gateways}, {fraction}"
            );
            let (steady, _) = simulate((gateways, true, STEADY_INTERVAL), 0.0, capacity, |_| true, 40_000.0);
            let steady = f64::from(second(&steady, 39)) / capacity;
            assert!(
                steady > 1.4 * mean,
                "the test must detect an overload: {steady} at the steady interval, {mean} otherwise"
            );
        }
    }
}

#[test]
fn interval_returns_to_the_steady_one_after_an_overload() {
    let mut schedule = PollSchedule::new(config(300, Some(0), DEFAULT_MAX_INTERVAL), 5, 0.0);
    let mut rng = fastrand::Rng::with_seed(9);
    let mut intervals = Vec::new();
    while schedule.next_poll_at() < 120_000.0 {
        let now = schedule.next_poll_at();
        schedule.poll_sent(now);
        if now > 40_000.0 || rng.f64() < 0.2 {
            schedule.response_received(now);
        }
        intervals.push((now, schedule.interval));
    }
    let at = |t: Milliseconds| intervals.iter().find(|p| p.0 >= t).map_or(0.0, |p| p.1);
    let slow: Vec<f64> =
        intervals.iter().filter(|p| (20_000.0..40_000.0).contains(&p.0)).map(|p| p.1).collect();
    let mean = slow.iter().sum::<f64>() / slow.len() as f64;
    assert!(mean > 600.0, "{mean}");
    assert_eq!(at(110_000.0), STEADY_INTERVAL);
}

#[test]
fn list_change_brings_the_next_poll_forward_unless_polls_were_lost() {
    let mut schedule = PollSchedule::new(config(300, Some(0), DEFAULT_MAX_INTERVAL), 1, 0.0);
    schedule.poll_sent(0.0);
    schedule.response_received(5.0);
    assert!(
        schedule.next_poll_at() > 700.0,
        "a fleet of 300 starts at a long interval: {}",
        schedule.next_poll_at()
    );
    schedule.list_changed(5.0);
    assert_eq!(schedule.next_poll_at(), 205.0);
    let mut schedule = PollSchedule::new(config(300, Some(0), DEFAULT_MAX_INTERVAL), 1, 0.0);
    schedule.poll_sent(0.0);
    schedule.response_received(5.0);
    for _ in 0..2 {
        let due = schedule.next_poll_at();
        schedule.poll_sent(due);
    }
    let due = schedule.next_poll_at();
    schedule.response_received(due - 500.0);
    schedule.list_changed(due - 500.0);
    assert!(schedule.next_poll_at() > due - 250.0, "{} after {due}", schedule.next_poll_at());
}

/// The network loses one response in fifty: the interval stays close to the steady one.
#[test]
fn occasional_lost_responses_lengthen_the_interval_only_slightly() {
    let (mut sum, mut count) = (0.0, 0.0);
    for seed in 0..20 {
        let mut schedule = PollSchedule::new(config(3, None, DEFAULT_MAX_INTERVAL), seed, 0.0);
        let mut rng = fastrand::Rng::with_seed(seed);
        while schedule.next_poll_at() < 120_000.0 {
            let now = schedule.next_poll_at();
            schedule.poll_sent(now);
            if rng.f64() >= 0.02 {
                schedule.response_received(now);
            }
            count += 1.0;
            sum += schedule.interval;
        }
    }
    assert!(sum / count < 1.75 * STEADY_INTERVAL, "{} ms", sum / count);
}

/// Before its first response a gateway cannot know whether responses are lost or the service is silent. It continues to poll for
/// as long as a gateway that has just received a response, and at no more than the rate allowed for a fleet at its start.
#[test]
fn starting_gateway_continues_to_poll_while_responses_are_lost() {
    for gateways in [1, 5, 40, 100, 300, 1_000] {
        let steady = f64::max(STEADY_INTERVAL, gateways as f64 / START_ACTIONS_PER_SECOND * 1_000.0);
        for seed in 0..20 {
            let mut schedule = PollSchedule::new(config(gateways, None, STEADY_INTERVAL), seed, 0.0);
            let first = schedule.next_poll_at();
            let mut before = first;
            while before < first + SILENCE_TOLERANCE - steady {
                schedule.poll_sent(before);
                let gap = schedule.next_poll_at() - before;
                assert!(gap <= steady + 1e-6, "{gateways} gateways: {gap} ms after a poll at {before}");
                before = schedule.next_poll_at();
            }
        }
    }
}

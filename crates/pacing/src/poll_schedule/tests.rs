use super::*;

fn config(gateways: usize, gateway_index: Option<u64>, max_interval: Milliseconds) -> PollConfig {
    PollConfig { gateways, gateway_index, max_interval }
}

/// Plays a fleet that starts within `spread` ms, before a service that answers up to `capacity` a second while
/// `up` says so; returns the polls in each span of 10 ms, and when each gateway got its first response.
fn play(
    (gateways, ranked, max_interval): (usize, bool, Milliseconds),
    spread: Milliseconds,
    capacity: f64,
    up: impl Fn(Milliseconds) -> bool,
    until: Milliseconds,
) -> (Vec<u32>, Vec<Option<Milliseconds>>) {
    let mut dice = fastrand::Rng::with_seed(gateways as u64 ^ 77);
    let mut fleet: Vec<PollSchedule> = (0..gateways)
        .map(|i| {
            let config = config(gateways, ranked.then_some(i as u64), max_interval);
            PollSchedule::new(config, dice.u64(..), dice.f64() * spread)
        })
        .collect();
    let (mut buckets, mut first_response_at) = (vec![0; (until / 10.0) as usize], vec![None; gateways]);
    let mut tokens = 0.0;
    for (step, bucket) in buckets.iter_mut().enumerate() {
        let now = step as f64 * 10.0;
        tokens = f64::min(tokens + capacity / 100.0, capacity / 10.0);
        let mut order: Vec<usize> = (0..gateways).filter(|i| fleet[*i].next_poll_at() <= now).collect();
        dice.shuffle(&mut order);
        for i in order {
            *bucket += 1;
            fleet[i].poll_sent(now);
            if up(now) && tokens >= 1.0 {
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
fn fleet_that_starts_at_once_asks_one_after_another() {
    for gateways in [30, 100, 300, 1_000] {
        for ranked in [true, false] {
            let (buckets, first_response_at) =
                play((gateways, ranked, STEADY_INTERVAL), 0.0, 1e9, |_| true, 5_000.0);
            let worst = buckets.iter().max().copied().unwrap_or(0);
            // At the steady pace 300 gateways ask 15 in 10 ms on average; by chance some more.
            let even = (gateways as u32).div_ceil(20).max(10);
            let most = if ranked { even + 2 } else { 2 * even + 10 };
            assert!(worst <= most, "{gateways} ranked {ranked}: {worst} in 10 ms");
            assert!(first_response_at.iter().all(|at| at.is_some_and(|at| at <= gateways as f64 + 210.0)));
        }
    }
}

#[test]
fn gateway_alone_and_a_fleet_of_three_ask_as_soon_and_as_often_as_ever() {
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
fn silent_service_is_asked_ever_less_and_not_in_step() {
    let (buckets, _) = play((300, true, STEADY_INTERVAL), 250.0, 1e9, |_| false, 30_000.0);
    let late: Vec<u32> = (10..30).map(|s| second(&buckets, s)).collect();
    assert!(late.iter().all(|n| (70..=140).contains(n)), "{late:?}");
    let worst = buckets[1_000..].iter().max().copied().unwrap_or(0);
    assert!(worst <= 8, "{worst} in 10 ms");
}

#[test]
fn service_that_comes_up_late_is_heard_by_all_soon_and_without_a_herd() {
    let (buckets, first_response_at) =
        play((300, true, STEADY_INTERVAL), 250.0, 1e9, |now| now >= 10_000.0, 20_000.0);
    assert!(first_response_at.iter().all(|at| at.is_some_and(|at| at < 10_000.0 + 1.25 * 3_000.0)));
    let worst = buckets.iter().max().copied().unwrap_or(0);
    assert!(worst <= 40, "{worst} in 10 ms");
}

/// What an unanswered poll would have reported counts as propagated 1.5 s after it; 2 s later nothing may be sent.
#[test]
fn service_silent_for_three_seconds_is_heard_before_the_rule_on_drains_binds() {
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
                    assert!(waited <= 3_500.0, "{gateways}: {waited} ms to an answer at {now}");
                    schedule.response_received(now);
                }
                if now > 40_000.0 {
                    break;
                }
            }
        }
    }
}

/// Half of a fleet stands still for 5 s and goes on, with clocks that went on: each asks once at once, and then all
/// lie as evenly as before.
#[test]
fn gateways_that_stood_still_together_ask_at_their_places_again() {
    let mut fleet: Vec<PollSchedule> = (0..300)
        .map(|i| PollSchedule::new(config(300, Some(i as u64), STEADY_INTERVAL), i as u64, 0.0))
        .collect();
    let mut buckets = vec![0_u32; 2_000];
    for (step, bucket) in buckets.iter_mut().enumerate() {
        let now = step as f64 * 10.0;
        for (i, schedule) in fleet.iter_mut().enumerate() {
            let stopped = i % 2 == 0 && (5_000.0..10_000.0).contains(&now);
            if !stopped && schedule.next_poll_at() <= now {
                schedule.poll_sent(now);
                schedule.response_received(now);
                *bucket += 1;
            }
        }
    }
    assert!(buckets[1_000] >= 150, "all that wake ask at once");
    let later = buckets[1_002..].iter().max().copied().unwrap_or(0);
    let before = buckets[100..500].iter().max().copied().unwrap_or(0);
    assert!(later <= before, "{later} in 10 ms where {before} were before");
}

#[test]
fn service_that_answers_nonsense_is_asked_no_harder_than_a_silent_one() {
    let mut schedule = PollSchedule::new(config(300, Some(7), DEFAULT_MAX_INTERVAL), 3, 0.0);
    let mut polls = 0;
    while schedule.next_poll_at() < 30_000.0 {
        let due = schedule.next_poll_at();
        schedule.poll_sent(due); // and no response is valid
        polls += 1;
    }
    assert!(polls <= 20, "{polls} polls in 30 s");
}

/// A service with a fifth, a third or half of what the steady pace takes is asked little more than it can
/// answer from the second second on, and all hold the list; at the steady pace it is asked all the same for ever.
#[test]
fn service_with_a_part_of_the_capacity_is_asked_for_little_more_than_it_can_answer() {
    for gateways in [30, 100, 300, 1_000] {
        for part in [0.2, 0.33, 0.5] {
            let capacity: f64 = gateways as f64 * 5.0 * part;
            // Chance moves what comes in one second.
            let most = 1.4 + 3.0 / capacity.sqrt();
            let (buckets, first_response_at) =
                play((gateways, true, DEFAULT_MAX_INTERVAL), 0.0, capacity, |_| true, 40_000.0);
            let over: Vec<f64> = (0..40).map(|s| f64::from(second(&buckets, s)) / capacity).collect();
            let mean = over[10..].iter().sum::<f64>() / 30.0;
            assert!(mean < 1.3, "{gateways}, {part}: {mean}");
            assert!(over[10..].iter().all(|o| *o < most), "{gateways}, {part}: {over:?}");
            assert!(
                first_response_at.iter().all(|at| at.is_some_and(|at| at < 15_000.0)),
                "{gateways}, {part}"
            );
            let (steady, _) = play((gateways, true, STEADY_INTERVAL), 0.0, capacity, |_| true, 40_000.0);
            let steady = f64::from(second(&steady, 39)) / capacity;
            assert!(steady > 1.4 * mean, "the check can fail: {steady} and {mean}");
        }
    }
}

#[test]
fn overload_that_has_passed_leaves_the_steady_pace() {
    let mut schedule = PollSchedule::new(config(300, Some(0), DEFAULT_MAX_INTERVAL), 5, 0.0);
    let mut dice = fastrand::Rng::with_seed(9);
    let mut intervals = Vec::new();
    while schedule.next_poll_at() < 120_000.0 {
        let now = schedule.next_poll_at();
        schedule.poll_sent(now);
        if now > 40_000.0 || dice.f64() < 0.2 {
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
fn news_quickens_the_next_question_unless_questions_were_lost() {
    let mut schedule = PollSchedule::new(config(300, Some(0), DEFAULT_MAX_INTERVAL), 1, 0.0);
    schedule.poll_sent(0.0);
    schedule.response_received(5.0);
    assert!(schedule.next_poll_at() > 700.0, "a fleet of 300 begins slowly: {}", schedule.next_poll_at());
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

/// A link that loses one answer in fifty: the pace stays near the steady one.
#[test]
fn answers_that_get_lost_now_and_then_slow_little() {
    let (mut sum, mut all) = (0.0, 0.0);
    for seed in 0..20 {
        let mut schedule = PollSchedule::new(config(3, None, DEFAULT_MAX_INTERVAL), seed, 0.0);
        let mut dice = fastrand::Rng::with_seed(seed);
        while schedule.next_poll_at() < 120_000.0 {
            let now = schedule.next_poll_at();
            schedule.poll_sent(now);
            if dice.f64() >= 0.02 {
                schedule.response_received(now);
            }
            all += 1.0;
            sum += schedule.interval;
        }
    }
    assert!(sum / all < 1.75 * STEADY_INTERVAL, "{} ms", sum / all);
}

/// Until a gateway has heard anything it cannot know whether answers get lost or the service is silent. It asks on as one that
/// has heard a moment ago does, for as long, and no more than a fleet may ask at a start.
#[test]
fn gateway_that_starts_asks_on_through_lost_answers() {
    for gateways in [1, 5, 40, 100, 300, 1_000] {
        let steady = f64::max(STEADY_INTERVAL, gateways as f64 / START_ACTIONS_PER_SECOND * 1_000.0);
        for seed in 0..20 {
            let mut schedule = PollSchedule::new(config(gateways, None, STEADY_INTERVAL), seed, 0.0);
            let first = schedule.next_poll_at();
            let mut before = first;
            while before < first + SILENCE_TOLERANCE - steady {
                schedule.poll_sent(before);
                let gap = schedule.next_poll_at() - before;
                assert!(gap <= steady + 1e-6, "{gateways}: {gap} ms after a poll at {before}");
                before = schedule.next_poll_at();
            }
        }
    }
}

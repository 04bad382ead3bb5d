use super::*;
use std::future::Future;

const LIMIT: usize = 100;

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

/// Returns whether the future is ready now, without waiting.
async fn is_ready(future: impl Future<Output = ()>) -> bool {
    tokio::select! {
        biased;
        () = future => true,
        () = std::future::ready(()) => false,
    }
}

#[test]
fn messages_of_similar_length_wait_in_the_order_of_their_arrival() {
    run(async {
        let pool = IncomingMemory::default();
        let [first, second, third] = [0; 3].map(|_| pool.add_connection());
        pool.reserve(&first, 60, 60, LIMIT).await;
        assert!(!is_ready(pool.reserve(&second, 60, 60, LIMIT)).await);
        tokio::time::sleep(DELAY_PER_BYTE * 60).await;
        // The third message would fit, but the second has waited for longer.
        assert!(!is_ready(pool.reserve(&third, 10, 10, LIMIT)).await);
        pool.release(&first);
        assert!(!is_ready(pool.reserve(&third, 10, 10, LIMIT)).await);
        assert!(is_ready(pool.reserve(&second, 60, 60, LIMIT)).await);
        assert!(is_ready(pool.reserve(&third, 10, 10, LIMIT)).await);
        assert_eq!(pool.used.bytes(), 70);
    });
}

#[test]
fn a_short_message_goes_before_a_long_one() {
    const MEGABYTE: usize = 1_000_000;
    run(async {
        let pool = IncomingMemory::default();
        let [first, long, short] = [0; 3].map(|_| pool.add_connection());
        pool.reserve(&first, MEGABYTE, MEGABYTE, MEGABYTE).await;
        assert!(!is_ready(pool.reserve(&long, MEGABYTE, MEGABYTE, MEGABYTE)).await);
        assert!(!is_ready(pool.reserve(&short, 1, 1, MEGABYTE)).await);
        pool.release(&first);
        assert!(!is_ready(pool.reserve(&long, MEGABYTE, MEGABYTE, MEGABYTE)).await);
        assert!(is_ready(pool.reserve(&short, 1, 1, MEGABYTE)).await);
    });
}

#[test]
fn one_message_above_the_limit_is_read_at_a_time() {
    run(async {
        let pool = IncomingMemory::default();
        let [first, second] = [0; 2].map(|_| pool.add_connection());
        assert!(is_ready(pool.reserve(&first, 10 * LIMIT, 10 * LIMIT, LIMIT)).await);
        assert!(!is_ready(pool.reserve(&second, 1, 1, LIMIT)).await);
        pool.release(&first);
        assert!(is_ready(pool.reserve(&second, 1, 1, LIMIT)).await);
    });
}

#[test]
fn a_stalled_reservation_is_released_only_if_another_message_waits() {
    run(async {
        let pool = IncomingMemory::default();
        let [stalled, active, waiting] = [0; 3].map(|_| pool.add_connection());
        pool.reserve(&stalled, 60, 60, LIMIT).await;
        pool.reserve(&active, 20, 20, LIMIT).await;
        let now = Instant::now();
        stalled
            .set_arrived(now.checked_sub(MAX_STALL_WHILE_OTHERS_WAIT).expect("the clock has run for longer"));
        assert!(!stalled.is_release_requested());
        assert!(!is_ready(pool.reserve(&waiting, 60, 60, LIMIT)).await);
        assert!(stalled.is_release_requested() && !active.is_release_requested());
        // Bytes that arrive withdraw the request.
        stalled.set_arrived(now);
        assert!(!stalled.is_release_requested());
    });
}

#[test]
fn allocated_bytes_of_a_reservation_count_once() {
    let pool = IncomingMemory::default();
    let memory = pool.add_connection();
    run(async {
        pool.set_allocated(&memory, 30);
        pool.reserve(&memory, 80, 80, LIMIT).await;
        pool.set_allocated(&memory, 80);
        assert_eq!(pool.used.bytes(), 80);
        pool.release(&memory);
        pool.set_allocated(&memory, 0);
        assert_eq!(pool.used.bytes(), 0);
    });
}

#[test]
fn short_messages_are_released_as_well_once_they_stall() {
    run(async {
        let pool = IncomingMemory::default();
        let [stalled, idle, waiting] = [0; 3].map(|_| pool.add_connection());
        pool.set_allocated(&stalled, LIMIT);
        assert!(pool.is_exhausted(1, LIMIT) && !pool.is_exhausted(0, LIMIT));
        let long_ago = Instant::now().checked_sub(MAX_STALL_WHILE_OTHERS_WAIT);
        for memory in [&stalled, &idle] {
            memory.set_arrived(long_ago.expect("the clock has run for longer"));
        }
        pool.reserve(&waiting, 10, 10, LIMIT).await;
        let another = pool.add_connection();
        assert!(!is_ready(pool.reserve(&another, 10, 10, LIMIT)).await);
        assert!(stalled.is_release_requested(), "it holds memory and has stopped sending");
        assert!(!idle.is_release_requested(), "it holds nothing");
        pool.set_allocated(&stalled, 0);
        assert!(is_ready(pool.reserve(&another, 10, 10, LIMIT)).await);
    });
}

#[test]
fn a_submitted_message_counts_until_it_is_taken() {
    run(async {
        let pool = IncomingMemory::default();
        let memory = pool.add_connection();
        pool.reserve(&memory, 10, 10, LIMIT).await;
        pool.add_submitted(LIMIT);
        let next = pool.add_connection();
        assert!(!is_ready(pool.reserve(&next, 10, 10, LIMIT)).await);
        pool.remove_submitted(LIMIT);
        assert!(is_ready(pool.reserve(&next, 10, 10, LIMIT)).await);
    });
}

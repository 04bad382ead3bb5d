use super::message_memory::{Progress, MAX_REMAINING_TIME_WHILE_OTHERS_WAIT, MIN_RELEASED_BYTES};
use super::*;
use std::future::Future;
use std::pin::pin;

const LIMIT: usize = 100;
/// A limit far above the memory that is not worth releasing.
const LARGE: usize = 100 * MIN_RELEASED_BYTES;

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

/// Returns the need of a long message that has this length.
fn long_need(bytes: usize, max_bytes: usize) -> Need {
    Need { bytes, announced: bytes, max_bytes, is_long: true }
}

/// Returns the need of a short message that has this length.
fn short_need(bytes: usize, max_bytes: usize) -> Need {
    Need { is_long: false, ..long_need(bytes, max_bytes) }
}

/// Returns a time at which a message that has been silent since then is slow.
fn long_ago() -> Instant {
    let time = Instant::now().checked_sub(MAX_REMAINING_TIME_WHILE_OTHERS_WAIT);
    time.expect("the clock has run for longer")
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
        pool.reserve(&first, long_need(60, LIMIT)).await;
        let mut second_wait = pin!(pool.reserve(&second, long_need(60, LIMIT)));
        assert!(!is_ready(second_wait.as_mut()).await);
        tokio::time::sleep(DELAY_PER_BYTE * 60).await;
        // The third message would fit, but the second has waited for longer.
        assert!(!is_ready(pool.reserve(&third, long_need(10, LIMIT))).await);
        pool.release(&first);
        assert!(!is_ready(pool.reserve(&third, long_need(10, LIMIT))).await);
        assert!(is_ready(second_wait).await);
        assert!(is_ready(pool.reserve(&third, long_need(10, LIMIT))).await);
        assert_eq!(pool.used.bytes(), 70);
    });
}

#[test]
fn a_short_message_goes_before_a_long_one() {
    const MEGABYTE: usize = 1_000_000;
    run(async {
        let pool = IncomingMemory::default();
        let [first, long, short] = [0; 3].map(|_| pool.add_connection());
        pool.reserve(&first, long_need(MEGABYTE, MEGABYTE)).await;
        let mut long_wait = pin!(pool.reserve(&long, long_need(MEGABYTE, MEGABYTE)));
        let mut short_wait = pin!(pool.reserve(&short, long_need(1, MEGABYTE)));
        assert!(!is_ready(long_wait.as_mut()).await);
        assert!(!is_ready(short_wait.as_mut()).await);
        pool.release(&first);
        assert!(!is_ready(long_wait.as_mut()).await);
        assert!(is_ready(short_wait).await);
    });
}

/// A wait that was dropped used to hold up all others, as it stayed the first of them.
#[test]
fn a_dropped_wait_holds_up_no_other_and_its_next_call_goes_first() {
    run(async {
        let pool = IncomingMemory::default();
        let [first, dropped, later, last] = [0; 4].map(|_| pool.add_connection());
        pool.reserve(&first, long_need(LIMIT, LIMIT)).await;
        assert!(!is_ready(pool.reserve(&dropped, long_need(10, LIMIT))).await);
        assert!(!is_ready(pool.reserve(&later, long_need(10, LIMIT))).await);
        pool.release(&first);
        assert!(is_ready(pool.reserve(&later, long_need(10, LIMIT))).await);
        pool.reserve(&first, long_need(LIMIT - 10, LIMIT)).await;
        let mut last_wait = pin!(pool.reserve(&last, long_need(10, LIMIT)));
        assert!(!is_ready(last_wait.as_mut()).await);
        let mut next_wait = pin!(pool.reserve(&dropped, long_need(10, LIMIT)));
        assert!(!is_ready(next_wait.as_mut()).await);
        pool.release(&later);
        assert!(!is_ready(last_wait.as_mut()).await);
        assert!(is_ready(next_wait).await);
        // Memory that was allocated without a wait ends the position as well.
        assert!(!is_ready(last_wait).await);
        assert!(last.is_waiting() && pool.try_allocate(&last, 1, LIMIT) && !last.is_waiting());
    });
}

#[test]
fn one_message_above_the_limit_is_read_at_a_time() {
    run(async {
        let pool = IncomingMemory::default();
        let [first, second] = [0; 2].map(|_| pool.add_connection());
        assert!(is_ready(pool.reserve(&first, long_need(10 * LIMIT, LIMIT))).await);
        assert!(!is_ready(pool.reserve(&second, long_need(1, LIMIT))).await);
        pool.release(&first);
        assert!(is_ready(pool.reserve(&second, long_need(1, LIMIT))).await);
    });
}

#[test]
fn a_stalled_reservation_is_released_only_if_another_message_waits() {
    run(async {
        let pool = IncomingMemory::default();
        let [stalled, active, waiting] = [0; 3].map(|_| pool.add_connection());
        pool.reserve(&stalled, long_need(LARGE * 6 / 10, LARGE)).await;
        pool.reserve(&active, long_need(LARGE * 2 / 10, LARGE)).await;
        let _awaited = [stalled.await_bytes(), active.await_bytes()];
        stalled.set_arrived(long_ago(), 1, LARGE);
        assert!(!stalled.release_requested.get());
        assert!(!is_ready(pool.reserve(&waiting, long_need(LARGE * 6 / 10, LARGE))).await);
        assert!(stalled.release_requested.get() && !active.release_requested.get());
        // Bytes that arrive withdraw the request.
        stalled.set_arrived(Instant::now(), LARGE, LARGE);
        assert!(!stalled.release_requested.get());
    });
}

#[test]
fn a_message_that_drips_is_released_before_one_that_is_nearly_complete() {
    run(async {
        let pool = IncomingMemory::default();
        let [dripping, fast, waiting] = [0; 3].map(|_| pool.add_connection());
        for memory in [&dripping, &fast] {
            pool.reserve(memory, long_need(LARGE / 2, LARGE)).await;
        }
        let _awaited = [dripping.await_bytes(), fast.await_bytes()];
        for memory in [&dripping, &fast] {
            memory.set_arrived(Instant::now(), 1, LARGE / 2);
        }
        tokio::time::sleep(MAX_REMAINING_TIME_WHILE_OTHERS_WAIT / 10).await;
        dripping.set_arrived(Instant::now(), LARGE / 200, LARGE / 2);
        fast.set_arrived(Instant::now(), LARGE / 2 - 1, LARGE / 2);
        assert!(!is_ready(pool.reserve(&waiting, long_need(10, LARGE))).await);
        assert!(dripping.release_requested.get() && !fast.release_requested.get());
    });
}

#[test]
fn memory_of_a_message_that_cannot_be_released_now_is_not_requested() {
    run(async {
        let pool = IncomingMemory::default();
        let [complete, stalled, waiting] = [0; 3].map(|_| pool.add_connection());
        for memory in [&complete, &stalled] {
            assert!(pool.try_allocate(memory, 2 * MIN_RELEASED_BYTES, 4 * MIN_RELEASED_BYTES));
            memory.set_arrived(long_ago(), 1, 0);
        }
        let _awaited = stalled.await_bytes();
        assert!(!is_ready(pool.reserve(&waiting, short_need(10, 4 * MIN_RELEASED_BYTES))).await);
        assert!(!complete.release_requested.get() && stalled.release_requested.get());
    });
}

/// The reservation of a short message used to serve for the rest of a long one.
#[test]
fn a_reservation_covers_no_more_than_it_was_made_for() {
    run(async {
        let pool = IncomingMemory::default();
        let memory = pool.add_connection();
        pool.reserve(&memory, short_need(10, LIMIT)).await;
        assert!(memory.covers(10) && !memory.covers(11));
        assert!(pool.try_allocate(&memory, 10, 0), "it is counted already");
        assert!(!pool.try_allocate(&memory, LIMIT + 1, LIMIT));
        pool.reserve(&memory, long_need(60, LIMIT)).await;
        assert_eq!(pool.used.bytes(), 60);
        pool.reserve(&memory, short_need(61, LIMIT)).await;
        assert_eq!((pool.long.bytes(), pool.short_bytes()), (61, 0), "it stays that of a long message");
        pool.set_allocated(&memory, 0);
        pool.release(&memory);
        assert_eq!((pool.used.bytes(), pool.long.bytes()), (0, 0));
    });
}

#[test]
fn a_long_message_is_rejected_that_waits_for_too_long() {
    run(async {
        let pool = IncomingMemory::default();
        let [first, waiting] = [0; 2].map(|_| pool.add_connection());
        pool.reserve(&first, long_need(LIMIT, LIMIT)).await;
        let released = waiting.await_bytes();
        tokio::select! {
            () = pool.reserve(&waiting, long_need(LIMIT, LIMIT)) => panic!("no memory is available"),
            () = released.release_requested() => {}
        }
        assert!(released.is_release_requested() && !first.release_requested.get());
    });
}

#[test]
fn allocated_bytes_of_a_reservation_count_once() {
    let pool = IncomingMemory::default();
    let memory = pool.add_connection();
    run(async {
        pool.set_allocated(&memory, 30);
        pool.reserve(&memory, long_need(80, LIMIT)).await;
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
        assert!(pool.try_allocate(&stalled, LARGE, LARGE));
        assert!(!pool.try_allocate(&waiting, 1, LARGE), "the memory is exhausted");
        let _awaited = [stalled.await_bytes(), idle.await_bytes()];
        for memory in [&stalled, &idle] {
            memory.set_arrived(long_ago(), 1, 0);
        }
        assert!(!is_ready(pool.reserve(&waiting, short_need(10, LARGE))).await);
        assert!(stalled.release_requested.get(), "it holds memory and has stopped sending");
        assert!(!idle.release_requested.get(), "it holds nothing");
        pool.set_allocated(&stalled, 0);
        assert!(is_ready(pool.reserve(&waiting, short_need(10, LARGE))).await);
    });
}

#[test]
fn a_submitted_message_counts_until_it_is_taken() {
    run(async {
        let pool = IncomingMemory::default();
        let [short, long] = [0; 2].map(|_| pool.add_connection());
        let holder = pool.add_connection();
        pool.reserve(&holder, long_need(10, LARGE)).await;
        let needs = [
            (&short, MAX_SHORT_BYTES, short_need(10, MAX_SHORT_BYTES)),
            (&long, MAX_SHORT_BYTES + 1, long_need(10, MAX_SHORT_BYTES)),
        ];
        for (memory, submitted, need) in needs {
            pool.add_submitted(submitted);
            assert!(!is_ready(pool.reserve(memory, need)).await);
            pool.remove_submitted(submitted);
            assert!(is_ready(pool.reserve(memory, need)).await);
        }
    });
}

/// A long message that exceeded the limit alone used to keep all short ones waiting.
#[test]
fn short_messages_do_not_wait_for_long_ones() {
    run(async {
        let pool = IncomingMemory::default();
        let [long, short] = [0; 2].map(|_| pool.add_connection());
        pool.reserve(&long, long_need(2 * LIMIT, LIMIT)).await;
        assert!(pool.try_allocate(&short, LIMIT, LIMIT));
        assert!(!pool.try_allocate(&pool.add_connection(), 1, LIMIT));
        assert_eq!((pool.used.bytes(), pool.long.bytes()), (3 * LIMIT, 2 * LIMIT));
    });
}

/// The time before the first byte of a message used to count as time in which it arrived slowly.
#[test]
fn a_message_after_an_idle_time_is_not_slow() {
    run(async {
        let pool = IncomingMemory::default();
        let memory = pool.add_connection();
        assert!(pool.try_allocate(&memory, LARGE, LARGE));
        let _awaited = memory.await_bytes();
        memory.progress.set(Progress::begin(long_ago()));
        memory.set_arrived(Instant::now(), 1, LARGE);
        assert!(memory.release_order(Instant::now(), MAX_WAIT_WHILE_OTHERS_WAIT).is_none());
        memory.set_arrived(long_ago(), 1, LARGE);
        assert!(memory.release_order(Instant::now(), MAX_WAIT_WHILE_OTHERS_WAIT).is_some());
    });
}

#[test]
fn memory_of_a_short_message_is_reserved_without_a_wait_if_it_is_available() {
    let pool = IncomingMemory::default();
    let [first, second] = [0; 2].map(|_| pool.add_connection());
    assert!(pool.try_reserve(&first, short_need(60, LIMIT)));
    assert!(!pool.try_reserve(&second, short_need(60, LIMIT)));
    assert!(pool.try_reserve(&first, short_need(10, 0)), "it is counted already");
    assert_eq!(pool.short_bytes(), 60);
    pool.release(&first);
    assert!(pool.try_reserve(&second, short_need(60, LIMIT)));
}

/// Messages that held all of the memory and waited for more used to wait for each other, until they had done so for 500 ms.
#[test]
fn messages_that_wait_for_each_other_release_their_memory_at_once() {
    run(async {
        let pool = IncomingMemory::default();
        let [first, second] = [0; 2].map(|_| pool.add_connection());
        let _awaited = [&first, &second].map(|memory| {
            assert!(pool.try_allocate(memory, LARGE / 2, LARGE));
            memory.set_arrived(Instant::now(), 1, 0);
            memory.await_bytes()
        });
        let need = short_need(LARGE / 2 + 10, LARGE);
        let mut first_wait = pin!(pool.reserve(&first, need));
        assert!(!is_ready(first_wait.as_mut()).await);
        assert!(!second.release_requested.get(), "it may be complete soon");
        let mut second_wait = pin!(pool.reserve(&second, need));
        assert!(!is_ready(second_wait.as_mut()).await);
        tokio::time::sleep(RELEASE_CHECK_INTERVAL).await;
        assert!(!is_ready(first_wait.as_mut()).await);
        assert!(second.release_requested.get() && !first.release_requested.get());
    });
}

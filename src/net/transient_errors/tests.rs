use super::*;
use rstest::rstest;
use rustix::io::Errno;

#[rstest]
#[case::client_disconnected(Errno::CONNABORTED)]
#[case::interrupted(Errno::INTR)]
#[case::protocol(Errno::PROTO)]
#[case::unreachable(Errno::HOSTUNREACH)]
fn failed_accept_of_one_connection_causes_no_delay(#[case] errno: Errno) {
    let mut backoff = Backoff::default();
    for _ in 0..10 {
        assert_eq!(backoff.wait_to_accept(&errno.into()), Duration::ZERO);
    }
}

#[rstest]
#[case::of_the_process(Errno::MFILE)]
#[case::of_the_system(Errno::NFILE)]
#[case::buffers(Errno::NOBUFS)]
#[case::memory(Errno::NOMEM)]
fn accept_delay_doubles_up_to_a_maximum_while_resources_are_exhausted(#[case] errno: Errno) {
    let mut backoff = Backoff::default();
    let waits: Vec<_> = (0..8).map(|_| backoff.wait_to_accept(&errno.into()).as_millis()).collect();
    assert_eq!(waits, [1, 2, 4, 8, 8, 8, 8, 8]);
    backoff.reset();
    assert_eq!(backoff.wait_to_accept(&errno.into()), MIN_WAIT);
}

#[test]
fn accept_is_retried_several_times_before_each_delay() {
    let exhausted = || Errno::NFILE.into();
    let mut retry = AcceptRetry::default();
    for expected_ms in [1, 2, 4, 8, 8] {
        for _ in 0..MAX_IMMEDIATE_RETRIES {
            assert_eq!(retry.delay_after(&exhausted()), None);
        }
        assert_eq!(retry.delay_after(&exhausted()), Some(Duration::from_millis(expected_ms)));
    }
    retry.reset();
    for _ in 0..MAX_IMMEDIATE_RETRIES {
        assert_eq!(retry.delay_after(&exhausted()), None);
    }
    assert_eq!(retry.delay_after(&exhausted()), Some(MIN_WAIT));
    for _ in 0..100 {
        assert_eq!(retry.delay_after(&Errno::CONNABORTED.into()), None);
    }
}

#[rstest]
#[case::refused(Errno::CONNREFUSED, false)]
#[case::reset(Errno::CONNRESET, false)]
#[case::timed_out(Errno::TIMEDOUT, false)]
#[case::no_descriptor(Errno::NFILE, true)]
#[case::no_port(Errno::ADDRNOTAVAIL, true)]
#[case::no_route(Errno::NETUNREACH, true)]
#[case::interrupted(Errno::INTR, true)]
fn local_failures_are_distinguished_from_failures_of_the_peer(#[case] errno: Errno, #[case] local: bool) {
    assert_eq!(is_local_and_transient(&errno.into()), local);
}

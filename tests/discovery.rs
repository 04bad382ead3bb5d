//! Responses of the name service are applied although reloads, relocations of the service, failed system calls or pauses of
//! the process fall between a poll and its response.
//!
//! Each gateway starts with the engine `s-0`. Version 2 of the endpoint list marks `s-0` as draining and adds `s-1`: version 2
//! is in use once a request arrives at `s-1`.

mod stand;

use stand::discovery::*;
use stand::faults::Faults;
use stand::requests::*;
use stand::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Maximum number of rounds, each of a poll, its response and a request, until the gateway must use version 2 of the list.
const ROUNDS: usize = 20;

struct Setup {
    gateway: Gateway,
    draining: SocketAddr,
    added: SocketAddr,
    added_log: Log,
    requests: usize,
}

impl Setup {
    /// Starts a gateway that polls the given name service.
    fn start(names: SocketAddr) -> Self {
        Self::start_gateway_with(names, Gateway::start)
    }

    fn start_gateway_with(names: SocketAddr, start: impl FnOnce(&str) -> Gateway) -> Self {
        let (draining, _) = resp_engine(served);
        let (added, added_log) = resp_engine(served);
        let gateway = start(&with_name_service(&config(&[draining], "resp", 20_000), names));
        Self { gateway, draining, added, added_log, requests: 0 }
    }

    fn version_2(&self) -> [(&'static str, SocketAddr, bool); 2] {
        [("s-0", self.draining, true), ("s-1", self.added, false)]
    }

    /// Sends a request that must be served. Returns whether the gateway uses version 2 of the list.
    fn uses_version_2(&mut self) -> bool {
        self.requests += 1;
        assert_served(self.gateway.thrift_client(), self.requests);
        self.added_log.lock().expect("log").iter().any(|command| command[0] == "want")
    }

    /// Writes another address of the name service to the configuration file, for the next reload.
    fn relocate(&self, names: SocketAddr) {
        let text = with_name_service(&config(&[self.draining], "resp", 20_000), names);
        let new = self.gateway.file.with_extension("new");
        std::fs::write(&new, text).expect("a file");
        std::fs::rename(&new, &self.gateway.file).expect("renamed");
    }

    /// Sends SIGHUP, and returns once it is handled: requests sent after the signal are answered after the reload.
    fn reload(&mut self) {
        self.gateway.signal("-HUP");
        for _ in 0..2 {
            self.uses_version_2();
        }
    }
}

fn with_name_service(config: &str, names: SocketAddr) -> String {
    with_replacement(config, r#""seed":"7""#, &format!(r#""seed":"7","names":"{names}""#))
}

/// Guards against a reload that discards outstanding polls: SIGHUP with an unchanged file arrives between each poll and its
/// response.
#[test]
fn reload_with_an_unchanged_file_keeps_outstanding_polls() {
    let service = ScriptedService::start();
    let mut setup = Setup::start(service.address);
    for _ in 0..ROUNDS {
        let poll = service.next_poll();
        setup.reload();
        service.answer(&poll, 2, &setup.version_2());
        if setup.uses_version_2() {
            return terminate_and_expect_success(&mut setup.gateway);
        }
    }
    panic!("{ROUNDS} responses were not applied");
}

/// Guards against discarding a response because later polls were sent: each poll is answered only after eight later ones.
#[test]
fn responses_that_arrive_after_many_later_polls_are_applied() {
    const LATER_POLLS: usize = 8;
    let service = ScriptedService::start();
    let mut setup = Setup::start(service.address);
    let mut pending = VecDeque::new();
    for _ in 0..ROUNDS + LATER_POLLS {
        pending.push_back(service.next_poll());
        if pending.len() > LATER_POLLS {
            let poll = pending.pop_front().expect("more than eight are pending");
            service.answer(&poll, 2, &setup.version_2());
        }
        if setup.uses_version_2() {
            return terminate_and_expect_success(&mut setup.gateway);
        }
    }
    panic!("{ROUNDS} responses were not applied");
}

/// Guards against a relocation of the name service that discards outstanding polls: reloads switch between two working
/// addresses, each time between a poll and its response.
#[test]
fn relocations_of_the_name_service_keep_outstanding_polls() {
    let services = [ScriptedService::start(), ScriptedService::start()];
    let mut setup = Setup::start(services[0].address);
    for round in 0..ROUNDS {
        let (present, next) = (&services[round % 2], &services[(round + 1) % 2]);
        let poll = present.next_poll();
        setup.relocate(next.address);
        setup.reload();
        present.answer(&poll, 2, &setup.version_2());
        if setup.uses_version_2() {
            return terminate_and_expect_success(&mut setup.gateway);
        }
    }
    panic!("{ROUNDS} responses were not applied");
}

/// Guards against a gateway that stops polling when the name service is relocated while every call of `socket` fails: the
/// new address is polled through a socket that is already open.
#[test]
fn relocated_name_service_is_polled_while_no_socket_can_be_opened() {
    let services = [ScriptedService::start(), ScriptedService::start()];
    let faults = Faults::new("seed=5,socket=1");
    let mut setup =
        Setup::start_gateway_with(services[0].address, |config| Gateway::start_with_faults(config, &faults));
    let poll = services[0].next_poll();
    services[0].answer(&poll, 1, &[("s-0", setup.draining, false)]);
    faults.begin();
    setup.relocate(services[1].address);
    setup.gateway.signal("-HUP");
    let poll = services[1].next_poll();
    services[1].answer(&poll, 2, &setup.version_2());
    faults.end();
    for _ in 0..ROUNDS {
        if setup.uses_version_2() {
            return terminate_and_expect_success(&mut setup.gateway);
        }
        let poll = services[1].next_poll();
        services[1].answer(&poll, 2, &setup.version_2());
    }
    panic!("{ROUNDS} responses were not applied");
}

/// Guards against a temporary failure of system calls that ends polling: calls are interrupted, and half of the calls of
/// `socket` and `connect` fail for a while. The list may arrive later, but must be applied.
#[test]
fn list_is_applied_although_calls_on_its_sockets_fail_for_a_while() {
    let service = ScriptedService::start();
    let faults = Faults::new("seed=6,interrupt=0.5,connect=0.5,socket=0.5");
    let mut setup =
        Setup::start_gateway_with(service.address, |config| Gateway::start_with_faults(config, &faults));
    faults.begin();
    for _ in 0..ROUNDS {
        let poll = service.next_poll();
        service.answer(&poll, 2, &setup.version_2());
    }
    faults.end();
    assert!((0..ROUNDS).any(|_| setup.uses_version_2()), "the list was never applied");
    terminate_and_expect_success(&mut setup.gateway);
}

/// Drain grace of 100 ms: a list remains valid until changes after its confirmation count as notified, plus this grace.
const SHORT_GRACE: &str = r#""drain_grace":100"#;

fn with_short_grace(names: SocketAddr, config: &str) -> String {
    with_replacement(&with_name_service(config, names), r#""drain_grace":2000"#, SHORT_GRACE)
}

/// Guards against sending by a list that expired while the process was stopped: an engine begins to drain during the pause, and
/// many clients send requests. The gateway reads them before it polls again, and must send none of them to that engine.
#[test]
fn nothing_is_sent_to_an_engine_that_began_to_drain_while_the_process_was_stopped() {
    const CLIENTS: usize = 40;
    let (first, first_log) = resp_engine(served);
    let (second, _) = resp_engine(served);
    let (names, list) = list_service();
    *list.lock().expect("list") = Some((1, vec![("s-0", first, false), ("s-1", second, false)]));
    let mut gateway = Gateway::start(&with_short_grace(
        names,
        &with_long_latency_objectives(&config(&[first, second], "resp", 60_000)),
    ));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| gateway.thrift_client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(&lookup(1, n)).expect("sent");
        assert_eq!(answer(client).1, "served");
    }
    let before = attempts(&first_log).len();
    assert!(before > 0, "both engines are used");
    gateway.stop();
    *list.lock().expect("list") = Some((2, vec![("s-0", first, true), ("s-1", second, false)]));
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(&lookup(2, CLIENTS + n)).expect("sent");
    }
    // The pause has to outlast the validity of the list.
    thread::sleep(Duration::from_millis(2_500));
    gateway.resume();
    for client in &mut clients {
        let kind = answer(client).1;
        assert!(matches!(kind, "served" | "overloaded"), "{kind}");
    }
    assert_eq!(attempts(&first_log).len(), before, "sent to a draining engine");
    wait_until(|| {
        let mut client = gateway.thrift_client();
        client.write_all(&lookup(1, 10_000)).expect("sent");
        answer(&mut client).1 == "served"
    });
    terminate_and_expect_success(&mut gateway);
}

/// Guards against relying on a list across a pause of the process: the name service does not answer before and after the pause,
/// but may have published a drain in between. Nothing is sent until the list is confirmed again.
#[test]
fn nothing_is_sent_after_a_pause_until_a_silent_name_service_answers() {
    const CLIENTS: usize = 12;
    const UNANSWERED_POLLS: usize = 5;
    let (first, first_log) = resp_engine(served);
    let (second, second_log) = resp_engine(served);
    let service = ScriptedService::start();
    let config = with_long_latency_objectives(&config(&[first, second], "resp", 60_000));
    let mut gateway = Gateway::start(&with_short_grace(service.address, &config));
    service.answer(&service.next_poll(), 1, &[("s-0", first, false), ("s-1", second, false)]);
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        // Confirms the list for each client, so that a slow machine does not let it expire.
        service.answer(&service.next_poll(), 1, &[("s-0", first, false), ("s-1", second, false)]);
        let mut client = gateway.thrift_client();
        client.write_all(&lookup(1, n)).expect("sent");
        assert_eq!(answer(&mut client).1, "served");
        clients.push(client);
    }
    (0..UNANSWERED_POLLS).for_each(|_| drop(service.next_poll()));
    gateway.stop();
    service.discard_polls();
    let sent_counts = || (attempts(&first_log).len(), attempts(&second_log).len());
    let before = sent_counts();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(&lookup(2, CLIENTS + n)).expect("sent");
    }
    // The pause has to outlast the validity of the list.
    thread::sleep(Duration::from_millis(2_500));
    gateway.resume();
    (0..UNANSWERED_POLLS).for_each(|_| drop(service.next_poll()));
    assert_eq!(sent_counts(), before, "sent by a list that may be outdated");
    service.answer(&service.next_poll(), 2, &[("s-0", first, true), ("s-1", second, false)]);
    for client in &mut clients {
        let kind = answer(client).1;
        assert!(matches!(kind, "served" | "overloaded"), "{kind}");
    }
    assert_eq!(sent_counts().0, before.0, "sent to a draining engine");
    terminate_and_expect_success(&mut gateway);
}

/// Guards against relying on an expired list: the name service stops answering for longer than the drain rule allows, and
/// requests are rejected until it answers again.
#[test]
fn expired_list_is_not_used_until_it_is_confirmed() {
    let (at, _) = resp_engine(served);
    let (names, list) = list_service();
    *list.lock().expect("list") = Some((1, vec![("s-0", at, false)]));
    let mut gateway = Gateway::start(&with_short_grace(names, &config(&[at], "resp", 20_000)));
    let until_answered = |kind: &str| {
        wait_until(|| {
            let mut client = gateway.thrift_client();
            client.write_all(&lookup(1, 1)).expect("sent");
            answer(&mut client).1 == kind
        });
    };
    until_answered("served");
    *list.lock().expect("list") = None;
    until_answered("overloaded");
    *list.lock().expect("list") = Some((1, vec![("s-0", at, false)]));
    until_answered("served");
    terminate_and_expect_success(&mut gateway);
}

/// Guards against rejecting a whole list for one incomplete entry: one engine has no address, the other entries must apply.
#[test]
fn list_with_an_engine_without_an_address_is_applied_to_the_others() {
    let service = ScriptedService::start();
    let mut setup = Setup::start(service.address);
    let [drains, live] = setup.version_2();
    for _ in 0..ROUNDS {
        let poll = service.next_poll();
        let mut bytes =
            names_answer_with_draining(&poll.bytes, 2, &[drains, live, ("s-2", setup.added, false)]);
        // Changes the type of the engine's address record to an unknown one.
        let owner_and_type = b"\x03s-2\x01a\x05hosts\0\0\x01";
        let at = bytes
            .windows(owner_and_type.len())
            .rposition(|window| window == owner_and_type)
            .expect("its address record");
        bytes[at + owner_and_type.len() - 1] = 99;
        service.send(&poll, &bytes);
        if setup.uses_version_2() {
            return terminate_and_expect_success(&mut setup.gateway);
        }
    }
    panic!("{ROUNDS} responses were not applied");
}

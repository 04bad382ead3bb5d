//! What the gateway asked service discovery is heard, whatever happens between the question and its answer.
//!
//! Each gateway starts with the engine `s-0`. Version 2 of the list says that it drains and names `s-1`: the list was heard
//! once a request arrives at `s-1`.

mod stand;

use stand::discovery::*;
use stand::requests::*;
use stand::*;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Rounds of a question, its answer and a request, after which the list should long have been heard.
const ROUNDS: usize = 20;

struct Bed {
    gateway: Gateway,
    before: SocketAddr,
    after: SocketAddr,
    after_log: Log,
    asked: usize,
}

impl Bed {
    /// A gateway that asks that service.
    fn start(names: SocketAddr) -> Self {
        let (before, _) = resp_engine(served);
        let (after, after_log) = resp_engine(served);
        let gateway = Gateway::start(&with_names(&config(&[before], "resp", 20_000), names));
        Self { gateway, before, after, after_log, asked: 0 }
    }

    fn version_2(&self) -> [(&'static str, SocketAddr, bool); 2] {
        [("s-0", self.before, true), ("s-1", self.after, false)]
    }

    /// Makes a request; whether version 2 of the list is in use.
    fn has_heard(&mut self) -> bool {
        self.asked += 1;
        is_served(self.gateway.client(), self.asked);
        self.after_log.lock().expect("log").iter().any(|command| command[0] == "want")
    }

    /// Sends SIGHUP, and returns once it is handled: what is asked after the signal is answered after the reload.
    fn reload(&mut self) {
        self.gateway.signal("-HUP");
        for _ in 0..2 {
            self.has_heard();
        }
    }
}

fn with_names(config: &str, names: SocketAddr) -> String {
    changed(config, r#""seed":"7""#, &format!(r#""seed":"7","names":"{names}""#))
}

/// SIGHUP with an unchanged file comes between each question and its answer.
#[test]
fn reload_that_changes_nothing_leaves_open_questions_open() {
    let service = ScriptedService::start();
    let mut bed = Bed::start(service.address);
    for _ in 0..ROUNDS {
        let question = service.next();
        bed.reload();
        service.answer(&question, 2, &bed.version_2());
        if bed.has_heard() {
            return ends_well(&mut bed.gateway);
        }
    }
    panic!("{ROUNDS} answers were not heard");
}

/// Each question is answered only once eight later ones were sent.
#[test]
fn answers_that_come_after_many_further_questions_are_heard() {
    const BEHIND: usize = 8;
    let service = ScriptedService::start();
    let mut bed = Bed::start(service.address);
    let mut waiting = VecDeque::new();
    for _ in 0..ROUNDS + BEHIND {
        waiting.push_back(service.next());
        if waiting.len() > BEHIND {
            let question = waiting.pop_front().expect("there are many");
            service.answer(&question, 2, &bed.version_2());
        }
        if bed.has_heard() {
            return ends_well(&mut bed.gateway);
        }
    }
    panic!("{ROUNDS} answers were not heard");
}

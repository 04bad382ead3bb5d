//! A harness that runs the reducer without sockets, in virtual time.
#![allow(dead_code)]

use starlingplank::core::{Answer, AttemptId, ClientRequest, Core, Effect, Endpoint, Event, Statement};
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A reducer and its virtual clock, in milliseconds.
pub(crate) struct Harness {
    pub core: Core,
    pub now: Milliseconds,
}

impl Harness {
    pub(crate) fn new(settings: Settings) -> Self {
        let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
        Self { core: Core::new(settings, limits, 1_000.0).expect("sound"), now: 1_000.0 }
    }

    pub(crate) fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.now += 5.0; // enough for a decision cycle after each event
        self.core.handle(self.now, event, &mut effects);
        self.core.handle(self.now, Event::TimersDue, &mut effects);
        self.core.handle(self.now, Event::RunDecisionCycle, &mut effects);
        effects
    }

    pub(crate) fn receive_list(&mut self, version: u64, engines: &[&str]) -> Vec<Effect> {
        let live = |id: &&str| endpoint(id, Availability::Live);
        self.step(Event::EndpointList { version, endpoints: engines.iter().map(live).collect() })
    }

    pub(crate) fn receive_request(&mut self, id: u64, key: Option<&str>) -> Vec<Effect> {
        let details = RequestDetails {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            key: None,
            deadline: self.now + 2_000.0,
            work: None,
            memory_mb: None,
            data: None,
            is_retry: false,
        };
        let statement = Rc::new(Statement { key: key.map(str::to_owned), ..Statement::default() });
        self.step(Event::RequestReceived(ClientRequest { details, statement }))
    }
}

pub(crate) fn endpoint(id: &str, availability: Availability) -> Endpoint {
    Endpoint {
        member: Member {
            engine: EngineId(id.into()),
            zone: Some(ZoneId(0)),
            machine_type: Some(MachineTypeId(0)),
            cell: 0,
            availability,
            started: None,
        },
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

pub(crate) fn sent(effects: &[Effect]) -> Option<AttemptId> {
    effects.iter().find_map(|e| if let Effect::Send(s) = e { Some(s.id) } else { None })
}

pub(crate) fn answers(effects: &[Effect]) -> Vec<&Answer> {
    effects.iter().filter_map(|e| if let Effect::Answer(_, a) = e { Some(a) } else { None }).collect()
}

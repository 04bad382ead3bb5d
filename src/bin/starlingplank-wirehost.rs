//! Runs the decision modules of many independent gateways for the simulator. Lines are read from standard input, replies are written
//! to standard output.
#![forbid(unsafe_code)]

use starlingplank::decide::Balancer;
use starlingplank::interface::{Action, Event, Milliseconds, Settings};
use starlingplank::simulator::{self, Entry, GatewayId, Line, LineError, Registry};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;

/// Error that ends the program.
#[derive(Debug, Error)]
enum HostError {
    /// The input cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line is invalid.
    #[error(transparent)]
    Line(#[from] LineError),
    /// Another line arrives before the list that is being read is complete.
    #[error("list {bank}: {missing} more ENTRY lines are expected")]
    ListIncomplete { bank: u8, missing: usize },
    /// A line precedes the first turn or lies between two turns.
    #[error("the line is outside a turn")]
    OutsideTurn,
    /// A turn begins before the previous one has ended.
    #[error("TURN: the previous turn was never closed")]
    TurnOpen,
    /// An `ENTRY` line follows no `PAGE` line that expects entries.
    #[error("ENTRY: no PAGE is open")]
    NoListOpen,
    /// No endpoint list with this number was received.
    #[error("REGISTRY: bank={0} is not defined")]
    UnknownList(u8),
    /// The gateway of an event was not started or has been stopped.
    #[error("front_id={0} was not provisioned")]
    UnknownGateway(GatewayId),
}

/// A hosted gateway.
struct Instance {
    settings: Settings,
    /// Decision module of the gateway. `None` after a failure.
    balancer: Option<Balancer>,
    /// Events of the current turn.
    events: Vec<Event>,
    /// Reason why the settings cannot be used. `None` once it is reported.
    failure: Option<String>,
}

impl Instance {
    fn start(settings: Settings, now: Milliseconds) -> Self {
        let (balancer, failure) = match Balancer::new(settings.clone(), now) {
            Ok(balancer) => (Some(balancer), None),
            Err(error) => (None, Some(error.to_string())),
        };
        Self { settings, balancer, events: Vec::new(), failure }
    }

    /// Runs a decision cycle for the events of the turn and appends its actions to `out`.
    fn run_turn(&mut self, id: &GatewayId, now: Milliseconds, actions: &mut Vec<Action>, out: &mut String) {
        let events = std::mem::take(&mut self.events);
        if let Some(reason) = self.failure.take() {
            simulator::write_bail_out(out, id, &reason);
        }
        let Some(balancer) = self.balancer.as_mut().filter(|_| !events.is_empty()) else { return };
        actions.clear();
        let run = AssertUnwindSafe(|| balancer.run_cycle(now, &events, actions));
        if let Err(panic) = catch_unwind(run) {
            self.balancer = None;
            return simulator::write_bail_out(out, id, &panic_message(&*panic));
        }
        for action in actions.iter() {
            simulator::write_action(out, id, action);
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let owned = panic.downcast_ref::<String>().cloned();
    let borrowed = || panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    owned.or_else(borrowed).unwrap_or_else(|| "panic".to_owned())
}

/// The current turn.
#[derive(Clone, Copy)]
struct Turn {
    now: Milliseconds,
    number: u64,
}

/// The endpoint list whose entries are being read.
#[derive(Clone, Copy)]
struct OpenList {
    bank: u8,
    /// Number of entries that are still expected.
    missing: usize,
}

/// All hosted gateways and endpoint lists, and the state of the input.
#[derive(Default)]
struct Host {
    instances: BTreeMap<GatewayId, Instance>,
    lists: BTreeMap<u8, Vec<Entry>>,
    open_list: Option<OpenList>,
    turn: Option<Turn>,
}

impl Host {
    /// Handles one line. Returns the reply if the line ends a turn.
    fn handle_line(&mut self, text: &str) -> Result<Option<String>, HostError> {
        let line = simulator::parse(text)?;
        if let Some(open_list) = self.open_list {
            self.add_entry(open_list, line)?;
            return Ok(None);
        }
        let Some(turn) = self.turn else {
            let Line::Turn { wall, turn } = line else { return Err(HostError::OutsideTurn) };
            self.turn = Some(Turn { now: wall, number: turn });
            return Ok(None);
        };
        match line {
            Line::Turn { .. } => return Err(HostError::TurnOpen),
            Line::Entry(_) => return Err(HostError::NoListOpen),
            Line::YourTurn => {
                self.turn = None;
                return Ok(Some(self.reply(turn)));
            }
            Line::Page { bank, entries } => {
                self.lists.insert(bank, Vec::new());
                self.open_list = (entries > 0).then_some(OpenList { bank, missing: entries });
            }
            Line::PowerOff(id) => drop(self.instances.remove(&id)),
            Line::Provision(id, settings) => {
                self.instances.insert(id, Instance::start(*settings, turn.now));
            }
            Line::Registry(id, registry) => self.add_registry_event(&id, registry)?,
            Line::Event(id, fields) => {
                let instance = find_instance(&mut self.instances, &id)?;
                instance.events.push(simulator::event(&fields, &instance.settings)?);
            }
        }
        Ok(None)
    }

    fn add_entry(&mut self, open_list: OpenList, line: Line) -> Result<(), HostError> {
        let OpenList { bank, missing } = open_list;
        let Line::Entry(entry) = line else { return Err(HostError::ListIncomplete { bank, missing }) };
        self.lists.entry(bank).or_default().push(entry);
        self.open_list = (missing > 1).then(|| OpenList { bank, missing: missing - 1 });
        Ok(())
    }

    fn add_registry_event(&mut self, id: &GatewayId, registry: Registry) -> Result<(), HostError> {
        let instance = find_instance(&mut self.instances, id)?;
        let event = match registry {
            Registry::Failed => Event::EndpointPollFailed,
            Registry::List { bank, complete } => {
                let list = self.lists.get(&bank).ok_or(HostError::UnknownList(bank))?;
                let to_member = |entry| simulator::member(entry, &instance.settings);
                Event::EndpointListReceived { complete, members: list.iter().map(to_member).collect() }
            }
        };
        instance.events.push(event);
        Ok(())
    }

    /// Runs a decision cycle of each gateway with events, and returns the reply to the turn.
    fn reply(&mut self, turn: Turn) -> String {
        let mut out = String::new();
        let mut actions: Vec<Action> = Vec::new();
        for (id, instance) in &mut self.instances {
            instance.run_turn(id, turn.now, &mut actions, &mut out);
        }
        simulator::write_yield(&mut out, turn.number);
        out
    }
}

fn find_instance<'a>(
    instances: &'a mut BTreeMap<GatewayId, Instance>,
    id: &GatewayId,
) -> Result<&'a mut Instance, HostError> {
    instances.get_mut(id).ok_or_else(|| HostError::UnknownGateway(id.clone()))
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let handled = line.map_err(HostError::from).and_then(|text| match text.as_str() {
            "" => Ok(None),
            text => host.handle_line(text),
        });
        match handled {
            Ok(None) => {}
            Ok(Some(reply)) => {
                // A failed write means that the reader of the replies has exited.
                if out.write_all(reply.as_bytes()).and_then(|()| out.flush()).is_err() {
                    return ExitCode::SUCCESS;
                }
            }
            Err(error) => {
                eprintln!("line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    if host.turn.is_some() {
        eprintln!("end of input inside a turn");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

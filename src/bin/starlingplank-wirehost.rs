//! Hosts many independent gateways on the simulator's wire, on standard input and output.
#![forbid(unsafe_code)]

use starlingplank::decide::Balancer;
use starlingplank::interface::{Action, Event, Settings};
use starlingplank::simulator::{self, Entry, Front, Line, Registry};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

struct Instance {
    settings: Settings,
    gateway: Option<Balancer>,
    events: Vec<Event>,
    bail: Option<String>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<Front, Instance>,
    pages: BTreeMap<u8, Vec<Entry>>,
    open_page: Option<(u8, usize)>,
    turn: Option<(f64, u64)>,
}

impl Host {
    /// Takes one line; returns the reply when it closes a turn.
    fn line(&mut self, text: &str) -> Result<Option<String>, String> {
        let line = simulator::parse(text).map_err(|e| e.to_string())?;
        if let Some((bank, left)) = self.open_page {
            let Line::Entry(entry) = line else {
                return Err(format!("list {bank}: {left} more ENTRY lines are due"));
            };
            self.pages.entry(bank).or_default().push(entry);
            self.open_page = (left > 1).then(|| (bank, left - 1));
            return Ok(None);
        }
        let Some((wall, turn)) = self.turn else {
            return match line {
                Line::Turn { wall, turn } => {
                    self.turn = Some((wall, turn));
                    Ok(None)
                }
                _ => Err("a line outside a turn".to_owned()),
            };
        };
        match line {
            Line::Turn { .. } => return Err("TURN: the turn before was never closed".to_owned()),
            Line::Entry(_) => return Err("ENTRY: no PAGE is open".to_owned()),
            Line::YourTurn => {
                self.turn = None;
                return Ok(Some(self.reply(wall, turn)));
            }
            Line::Page { bank, entries } => {
                self.pages.insert(bank, Vec::new());
                self.open_page = (entries > 0).then_some((bank, entries));
            }
            Line::PowerOff(front) => {
                self.instances.remove(&front);
            }
            Line::Provision(front, settings) => {
                let (gateway, bail) = match Balancer::new((*settings).clone(), wall) {
                    Ok(gateway) => (Some(gateway), None),
                    Err(e) => (None, Some(e.to_string())),
                };
                let events = Vec::new();
                let settings = *settings;
                let instance = Instance { settings, gateway, events, bail };
                self.instances.insert(front, instance);
            }
            Line::Registry(front, news) => {
                let instance = known(&mut self.instances, &front)?;
                let event = match news {
                    Registry::Failed => Event::ListFailed,
                    Registry::List { bank, whole: complete } => {
                        let page = self.pages.get(&bank);
                        let page = page.ok_or(format!("REGISTRY: bank={bank} was never defined"))?;
                        let to_member = |e| simulator::member(e, &instance.settings);
                        let members = page.iter().map(to_member).collect();
                        Event::Members { complete, members }
                    }
                };
                instance.events.push(event);
            }
            Line::Event(front, fields) => {
                let instance = known(&mut self.instances, &front)?;
                let event = simulator::event(&fields, &instance.settings).map_err(|e| e.to_string())?;
                instance.events.push(event);
            }
        }
        Ok(None)
    }

    fn reply(&mut self, wall: f64, turn: u64) -> String {
        let mut out = String::new();
        let mut actions: Vec<Action> = Vec::new();
        for (front, instance) in &mut self.instances {
            let events = std::mem::take(&mut instance.events);
            if let Some(text) = instance.bail.take() {
                simulator::write_bail_out(&mut out, front, &text);
            }
            let Some(gateway) = instance.gateway.as_mut().filter(|_| !events.is_empty()) else {
                continue;
            };
            actions.clear();
            let run = AssertUnwindSafe(|| gateway.run_cycle(wall, &events, &mut actions));
            if let Err(panic) = catch_unwind(run) {
                let text = panic
                    .downcast_ref::<String>()
                    .cloned()
                    .or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned()))
                    .unwrap_or_else(|| "panic".to_owned());
                instance.gateway = None;
                simulator::write_bail_out(&mut out, front, &text);
                continue;
            }
            for action in &actions {
                simulator::write(&mut out, front, action);
            }
        }
        simulator::write_yield(&mut out, turn);
        out
    }
}

fn known<'a>(
    instances: &'a mut BTreeMap<Front, Instance>,
    front: &Front,
) -> Result<&'a mut Instance, String> {
    let missing = || format!("front_id={front} was not provisioned");
    instances.get_mut(front).ok_or_else(missing)
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let taken = line.map_err(|e| e.to_string()).and_then(|text| {
            if text.is_empty() {
                Ok(None)
            } else {
                host.line(&text)
            }
        });
        match taken {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if out.write_all(reply.as_bytes()).and_then(|()| out.flush()).is_err() {
                    return ExitCode::SUCCESS;
                }
            }
            Err(why) => {
                eprintln!("line {}: {why}", number + 1);
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

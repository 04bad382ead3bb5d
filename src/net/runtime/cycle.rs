//! The decision cycle: events go to the reducer, and its effects are performed until that brings no further events.

use crate::core::Event;
use crate::net::runtime::Runtime;

impl Runtime {
    /// Hands events to the reducer, lets it decide, and performs what it asks for, until that brings no news.
    pub fn run_decision_cycles(&mut self, events: impl IntoIterator<Item = Event>) {
        let mut effects = Vec::new();
        let serial = self.core.serial();
        let mut new_events: Vec<Event> = events.into_iter().collect();
        loop {
            let now = self.desk.clock.now();
            for event in new_events.drain(..).chain([Event::Clock, Event::Turn]) {
                trace_event(&event);
                match &event {
                    Event::List(..) => self.list_received = true,
                    // What another process has just sent under this key counts.
                    Event::Taken(ask) if ask.statement.key.is_some() => {
                        let heard = self.handover.as_mut().map(|h| h.peer_keys(now)).unwrap_or_default();
                        if !heard.is_empty() {
                            self.core.handle(now, Event::Heard(heard), &mut effects);
                        }
                    }
                    _ => {}
                }
                self.core.handle(now, event, &mut effects);
            }
            self.core.spent(self.desk.clock.now() - now);
            self.desk.awaits_list.set(self.core.awaits_list());
            for effect in effects.drain(..) {
                self.perform(effect, &mut new_events);
            }
            if new_events.is_empty() {
                break;
            }
        }
        // A drain that was heard is heard by the next life as well.
        if self.core.serial() != serial {
            self.keep.list(&self.core, &self.desk.settings);
        }
    }
}

/// What comes in, a line each, at the level `trace`; where that is off, a test of one flag.
fn trace_event(event: &Event) {
    match event {
        Event::Ended((id, n), end) => {
            tracing::trace!("end {}.{n} {:?} work {:?} {:?}", id.0, end.outcome, end.work, end.report);
        }
        Event::Probed(tag, ok, report) => tracing::trace!("probed {tag} {ok} {report:?}"),
        Event::List(serial, list) => tracing::trace!("list {serial} of {}", list.len()),
        Event::Taken(ask) => {
            tracing::trace!("taken {} class {} work {:?}", ask.asked.id.0, ask.asked.class.0, ask.asked.work);
        }
        Event::Left(id) => tracing::trace!("left {}", id.0),
        _ => {}
    }
}

//! Answers operators' calls and applies the changes that they request.

use crate::core::Event;
use crate::net::hot_restart::ChangeError;
use crate::net::loop_profile::{TaskKind, TimeByKind};
use crate::net::resident_memory::ResidentMemory;
use crate::net::runtime::Runtime;
use starlingplank_admin::calls::{Call, Reply};
use starlingplank_admin::metrics::{Gauges, NamedCounts};
use starlingplank_admin::operator_overrides::{OperatorOverrides, OverrideError};

impl Runtime {
    /// Answers an operator's call. The changes that the call makes are pushed to `events` for the reducer.
    pub(super) fn answer_call(&mut self, call: Call, events: &mut Vec<Event>) -> Reply {
        match call {
            Call::Ready if self.terminated_at.is_some() => Reply::line(503, "ending"),
            Call::Ready if !self.listening || self.core.awaits_endpoint_list() => {
                Reply::line(503, "starting: the list of engines is awaited")
            }
            Call::Ready => Reply::line(200, "ready"),
            Call::Telemetry => {
                let names: Vec<_> =
                    self.frontend.settings.classes.iter().map(|class| class.name.as_str()).collect();
                let (cluster_size, cluster_unhealthy) = self.core.member_counts();
                let shared = &self.frontend.shared;
                let gauges = Gauges {
                    current: self.frontend.pending_requests(),
                    cluster_size,
                    cluster_unhealthy,
                    memory_incoming: shared.incoming.used.bytes(),
                    memory_outgoing: shared.outgoing.used.bytes(),
                };
                Reply { status: 200, text: shared.metrics.text(&names, gauges, &self.named_counts()) }
            }
            Call::Exclude(id) => {
                let (is_member, now) = (self.core.is_member(&id), self.frontend.clock.now());
                self.change_exclusion(&id, "out", events, |overrides| overrides.exclude(&id, is_member, now))
            }
            Call::Include(id) => {
                let (is_member, now) = (self.core.is_member(&id), self.frontend.clock.now());
                self.change_exclusion(&id, "in use", events, |overrides| {
                    overrides.include(&id, is_member, now)
                })
            }
        }
    }

    /// Returns the metrics of memory, waits, closed connections and of the event loop.
    pub(super) fn named_counts(&self) -> NamedCounts {
        let profile = &self.frontend.shared.profile;
        let by_kind = |times: TimeByKind| {
            let microseconds = times.map(|time| time.as_micros() as u64);
            TaskKind::ALL.iter().map(|kind| kind.name()).zip(microseconds).collect()
        };
        let (resident, shared) = (ResidentMemory::read(), &self.frontend.shared);
        let owners = [
            ("incoming", shared.incoming.used.bytes(), shared.incoming.used.peak()),
            ("submitted", shared.incoming.submitted.bytes(), shared.incoming.submitted.peak()),
            ("outgoing", shared.outgoing.used.bytes(), shared.outgoing.used.peak()),
            ("statements", self.core.statement_memory().bytes(), self.core.statement_memory().peak()),
            ("resident", resident.bytes, resident.peak),
        ];
        NamedCounts {
            memory: owners.iter().map(|(owner, bytes, _)| (*owner, *bytes as u64)).collect(),
            memory_peak: owners.iter().map(|(owner, _, peak)| (*owner, *peak as u64)).collect(),
            waiting: shared.waits.waiting().collect(),
            longest_wait: shared.waits.longest().collect(),
            closed: self.frontend.close_counters.by_name().collect(),
            loop_time: by_kind(profile.total_by_kind()),
            loop_longest: by_kind(profile.longest_by_kind()),
        }
    }

    /// Excludes an engine or includes it again, and stores the change for the other processes of this gateway. `state` is the
    /// name of the engine's new state, for the log and the reply.
    fn change_exclusion(
        &mut self,
        id: &str,
        state: &str,
        events: &mut Vec<Event>,
        change: impl FnOnce(&mut OperatorOverrides) -> Result<bool, OverrideError>,
    ) -> Reply {
        let Some(hot_restart) = &mut self.hot_restart else {
            return Reply::line(503, "the call cannot be kept for the next version: no folder is open");
        };
        match hot_restart.change_overrides(change) {
            Ok(changed) => {
                tracing::info!(engine = id, state, changed = changed.is_some(), "operator override");
                events.extend(changed.map(Event::OperatorOverrides));
                Reply::line(200, format_args!("{id} is {state}"))
            }
            Err(ChangeError::Invalid(why @ OverrideError::Unknown)) => {
                Reply::line(404, format_args!("{id}: {why}"))
            }
            Err(ChangeError::Invalid(why)) => Reply::line(503, format_args!("{id}: {why}")),
            Err(ChangeError::NotStored(why)) => {
                tracing::error!(engine = id, state, error = %why, "operator override not stored: the engine's state is unchanged");
                Reply::line(503, format_args!("{id}: the call cannot be kept for the next version: {why}"))
            }
        }
    }
}

//! The engines in use: the name service's list, merged with the operator override and with what an earlier process of
//! this gateway heard of the name service.

use super::timers::Due;
use super::{Core, Effect, Endpoint};
use crate::interface::{Availability, EngineId, Event as DecisionEvent, Member, Milliseconds};
use starlingplank_admin::inherited_membership::{InheritedMembership, RemovedEndpoints};
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_pacing::retry_after::RetryAfter;
use starlingplank_persistence::recovery::EndpointIdentity;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What former addresses of the name service have said since it moved, where the present address says an older version.
#[derive(Debug, Clone)]
pub(super) struct FormerAddress {
    /// The version that they said.
    version: u64,
    /// The engines that drain or were removed in it.
    heard: InheritedMembership,
}

/// A member in the form in which learned state is matched to it.
fn named(endpoint: &Endpoint) -> EndpointIdentity {
    EndpointIdentity {
        id: endpoint.member.engine.0.to_string(),
        address: endpoint.address.to_string(),
        started: endpoint.member.started,
    }
}

impl Core {
    /// The addresses of the members, by id.
    pub fn addresses(&self) -> BTreeMap<String, String> {
        self.engines.iter().map(|(id, l)| (id.0.to_string(), l.address.to_string())).collect()
    }

    /// The number of members, and how many of them get no new work: draining, excluded by operators, or avoided by the
    /// decision module.
    pub fn engines(&self) -> (usize, usize) {
        let live = |l: &&Endpoint| l.member.availability == Availability::Live;
        let used = self.engines.values().filter(live).filter(|l| !self.balancer.avoids(&l.member.engine));
        (self.engines.len(), self.engines.len() - used.count())
    }

    /// The ids of the members that drain.
    pub fn draining(&self) -> Vec<&str> {
        let drains = |(_, l): &(&EngineId, &Endpoint)| l.member.availability != Availability::Live;
        self.engines.iter().filter(drains).map(|(id, _)| &*id.0).collect()
    }

    /// Rejects requests until the name service answers, unless a membership is known. For gateways with a name service.
    pub fn await_list(&mut self, now: Milliseconds) {
        if self.service_members.is_empty() && self.service_heard_at.is_none() {
            self.membership_wait = Some(RetryAfter::new(self.settings.seed, now));
        }
    }

    /// Whether requests are rejected as no membership is known.
    pub fn awaits_list(&self) -> bool {
        self.membership_wait.is_some()
    }

    /// Whether the name service lists that engine.
    pub fn lists(&self, id: &str) -> bool {
        self.service_members.iter().any(|l| &*l.member.engine.0 == id)
    }

    /// The version of the membership.
    pub fn serial(&self) -> Option<u64> {
        self.serial
    }

    /// When the name service last answered, its members, and the engines that it removed; none before its first answer.
    pub fn service_list(&self) -> Option<(Milliseconds, &[Endpoint], &RemovedEndpoints)> {
        self.service_heard_at.map(|at| (at, &*self.service_members, &self.removed_engines))
    }

    /// What a successor inherits: what this process heard of the name service, or else what it inherited itself.
    pub fn heard(&self) -> Option<InheritedMembership> {
        let drains = |l: &&Endpoint| l.member.availability != Availability::Live;
        let drained = self.service_members.iter().filter(drains).map(|l| l.member.engine.0.to_string());
        let out = || drained.chain(self.removed_engines.ids().map(str::to_owned));
        self.service_heard_at
            .map(|at| InheritedMembership::new(at, out()))
            .or_else(|| self.inherited_membership.clone())
    }

    /// Replaces the membership by the name service's list.
    pub(super) fn update_membership(
        &mut self,
        now: Milliseconds,
        serial: u64,
        list: Vec<Endpoint>,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_news(now, serial) {
            return;
        }
        self.serial = Some(serial);
        self.former_address = self.former_address.take().filter(|former| serial < former.version);
        let ids = list.iter().map(|l| &*l.member.engine.0).collect();
        self.removed_engines.update(self.service_members.iter().map(|l| &*l.member.engine.0), &ids);
        self.learn_starts(now, &list);
        self.service_members = list;
        self.membership_wait = None;
        self.rebuild_engines(now, effects);
    }

    /// Learns when the members started. An empty list tells nothing: a process that begins without members has not been
    /// told that none has started.
    fn learn_starts(&mut self, now: Milliseconds, list: &[Endpoint]) {
        let starts: Vec<_> = list.iter().map(|l| (l.member.engine.clone(), l.member.started)).collect();
        if !starts.is_empty() {
            self.start_times.receive(&starts, now);
        }
    }

    /// Whether a list of this version changes anything. An older version is a late answer. The known version confirms
    /// the membership, which matters only while an inherited one holds or none is known.
    fn is_news(&mut self, now: Milliseconds, serial: u64) -> bool {
        let Some(known) = self.serial else { return true };
        if serial < known {
            return false;
        }
        self.service_heard_at = Some(now);
        if serial == known && !self.service_members.is_empty() {
            self.start_times.confirm(now);
        }
        // An answer to this process ends the inherited membership.
        let inherited = self.inherited_membership.take().is_some();
        inherited || self.membership_wait.is_some() || serial != known
    }

    /// Replaces the operator override.
    pub(super) fn override_membership(
        &mut self,
        now: Milliseconds,
        hand: OperatorOverrides,
        effects: &mut Vec<Effect>,
    ) {
        self.operator_override = hand.not_after(now);
        self.rebuild_engines(now, effects);
    }

    /// Takes over what an earlier process heard, unless the name service has answered this one.
    pub(super) fn inherit_membership(
        &mut self,
        now: Milliseconds,
        heard: InheritedMembership,
        effects: &mut Vec<Effect>,
    ) {
        if self.service_heard_at.is_some() {
            return;
        }
        self.set_timer(heard.until(), Due::InheritedMembership);
        self.inherited_membership = Some(heard);
        self.rebuild_engines(now, effects);
    }

    /// Drops the inherited membership once its time is over.
    pub(super) fn inherited_membership_expired(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        if self.inherited_membership.take_if(|e| now >= e.until()).is_some() {
            self.rebuild_engines(now, effects);
        }
    }

    /// Merges the list, the operator override and the inherited membership. An engine that operators excluded, or that
    /// drained or was removed in the earlier process, is treated as draining, so one guard covers all three. An engine
    /// that operators included again counts as just started.
    fn rebuild_engines(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        self.operator_override.forget_warm(now, self.settings.slow_start_duration);
        let list: Vec<Endpoint> = self.service_members.iter().map(|l| self.merge(l, now)).collect();
        self.replace_engines(now, &list, effects);
        self.report_members(now, list);
    }

    /// A member after everything that may keep it out is applied.
    fn merge(&self, endpoint: &Endpoint, now: Milliseconds) -> Endpoint {
        let mut endpoint = endpoint.clone();
        let m = &mut endpoint.member;
        let id = m.engine.clone();
        m.started = self.operator_override.start_time(&id.0, m.started);
        let out = self.list_expired || self.is_kept_out(&id, now);
        if out && m.availability == Availability::Live {
            m.availability = Availability::Draining;
        }
        endpoint
    }

    /// Whether operators, an earlier process or a former address of the name service keep an engine out.
    fn is_kept_out(&self, engine: &EngineId, now: Milliseconds) -> bool {
        let former = self.former_address.as_ref().map(|former| &former.heard);
        let mut heard = self.inherited_membership.iter().chain(former);
        self.operator_override.is_excluded(&engine.0) || heard.any(|heard| heard.excludes(&engine.0, now))
    }

    /// The name service's present address takes over from a former one, whose word on drains and removals holds until the
    /// present one says as much.
    pub(super) fn supersede_former_address(&mut self, now: Milliseconds) {
        let (Some(version), Some(heard)) = (self.serial.take(), self.heard()) else { return };
        let heard = heard.taken_over(now);
        self.set_timer(heard.until(), Due::FormerAddress);
        self.former_address = Some(FormerAddress { version, heard });
    }

    /// Drops what former addresses have said once its time is over.
    pub(super) fn former_address_expired(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        if self.former_address.take_if(|former| now >= former.heard.until()).is_some() {
            self.rebuild_engines(now, effects);
        }
    }

    /// The list may be relied on until then. While it may not, all engines are treated as draining.
    pub(super) fn renew_list_lease(
        &mut self,
        now: Milliseconds,
        until: Milliseconds,
        effects: &mut Vec<Effect>,
    ) {
        self.list_lease.set(until);
        self.apply_list_lease(now, effects);
        self.set_list_timer();
    }

    /// The timer of the lease: it may have been renewed since the timer was set.
    pub(super) fn list_lease_due(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        self.list_timer_set = false;
        self.apply_list_lease(now, effects);
        self.set_list_timer();
    }

    /// Has one timer set for the end of the lease, while it holds.
    fn set_list_timer(&mut self) {
        let until = self.list_lease.until();
        if !self.list_timer_set && !self.list_expired && until.is_finite() {
            self.list_timer_set = true;
            self.set_timer(until, Due::ListLease);
        }
    }

    fn apply_list_lease(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let expired = !self.list_lease.holds(now);
        if std::mem::replace(&mut self.list_expired, expired) != expired {
            effects.push(Effect::LogListReliability(!expired));
            self.rebuild_engines(now, effects);
        }
    }

    /// Replaces the engines in use. Queued work for draining and removed engines is dropped; attempts on removed ones
    /// end after a grace period.
    fn replace_engines(&mut self, now: Milliseconds, list: &[Endpoint], effects: &mut Vec<Effect>) {
        let mut before = std::mem::take(&mut self.engines);
        for endpoint in list {
            let engine = &endpoint.member.engine;
            before.remove(engine);
            // While the list is too old the writers keep new work back; connections to engines that are well stay.
            if endpoint.member.availability != Availability::Live && !self.list_expired {
                effects.push(Effect::DropQueued(engine.clone()));
            }
            self.engines.insert(engine.clone(), endpoint.clone());
        }
        for (engine, _) in before {
            effects.push(Effect::DropQueued(engine.clone()));
            self.set_timer(now + self.limits.removed_engine_grace, Due::EngineRemoved(engine));
        }
    }

    /// Tells the decision module its engines, and what an earlier incarnation learned of them.
    fn report_members(&mut self, now: Milliseconds, list: Vec<Endpoint>) {
        let named: Vec<EndpointIdentity> = list.iter().map(named).collect();
        let recalled =
            self.restored_state.as_mut().and_then(|restored_state| restored_state.restore(&named, now));
        // Merging keeps the order of the service's members, which hold the starts as they were told.
        let told = self.service_members.iter().map(|l| l.member.started);
        let members = list.into_iter().zip(told).map(|(l, told)| self.with_local_start(now, l.member, told));
        let members = members.collect();
        self.pending_events.push(DecisionEvent::Members { complete: true, members });
        self.pending_events.extend(recalled.map(|learned| DecisionEvent::Restored(Box::new(learned))));
        self.restored_state.take_if(|restored_state| restored_state.is_finished(now));
    }

    /// A member as the decision module is told of it: its start is a time of this gateway's clock, and not in the future.
    fn with_local_start(&self, now: Milliseconds, member: Member, told: Option<Milliseconds>) -> Member {
        let local = self.start_times.local(&member.engine, told);
        let started = self.operator_override.start_time(&member.engine.0, local);
        Member { started: started.map(|at| at.min(now)), ..member }
    }

    /// The address of an engine, if it takes new work.
    pub(super) fn live_address(&self, engine: &EngineId) -> Option<SocketAddr> {
        let endpoint = self.engines.get(engine)?;
        (endpoint.member.availability == Availability::Live).then_some(endpoint.address)
    }
}

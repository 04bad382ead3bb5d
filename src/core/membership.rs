//! The engines in use: the name service's list, merged with the operator override, the membership inherited from an
//! earlier process of this gateway, and what previous addresses of the name service reported.

use super::timers::TimerKind;
use super::{Core, Effect, Endpoint};
use crate::interface::{Availability, EngineId, Event as DecisionEvent, Member, Milliseconds};
use starlingplank_admin::inherited_membership::{InheritedMembership, RemovedEndpoints};
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_pacing::retry_after::RetryAfter;
use starlingplank_persistence::recovery::EndpointIdentity;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The last list from previous addresses of the name service, while the current address sends only older versions.
#[derive(Debug, Clone)]
pub(super) struct PreviousAddress {
    /// The version of that list.
    version: u64,
    /// The engines that are draining or were removed according to that list.
    membership: InheritedMembership,
}

/// The membership that the name service reported to this process.
#[derive(Debug, Clone, Copy)]
pub struct ServiceMembership<'a> {
    /// The time at which the name service last responded.
    pub confirmed_at: Milliseconds,
    /// The members of its list.
    pub members: &'a [Endpoint],
    /// The engines that were removed from its list.
    pub removed: &'a RemovedEndpoints,
}

fn is_live(endpoint: &Endpoint) -> bool {
    endpoint.member.availability == Availability::Live
}

/// Returns the identity of a member, by which learned state is matched to it.
fn identity(endpoint: &Endpoint) -> EndpointIdentity {
    EndpointIdentity {
        id: endpoint.member.engine.0.to_string(),
        address: endpoint.address.to_string(),
        started: endpoint.member.started,
    }
}

impl Core {
    /// Returns the addresses of the members, by id.
    pub fn addresses(&self) -> BTreeMap<String, String> {
        let addresses =
            self.engines.iter().map(|(id, endpoint)| (id.0.to_string(), endpoint.address.to_string()));
        addresses.collect()
    }

    /// Returns the number of members, and the number of those that are sent no new work: members that are draining, excluded by
    /// operators, or temporarily excluded by the decision module.
    pub fn member_counts(&self) -> (usize, usize) {
        let live = self.engines.values().filter(|endpoint| is_live(endpoint));
        let usable = live.filter(|endpoint| !self.balancer.is_temporarily_excluded(&endpoint.member.engine));
        (self.engines.len(), self.engines.len() - usable.count())
    }

    /// Returns the ids of the members that are draining or treated as draining.
    pub fn draining(&self) -> Vec<&str> {
        let draining = self.engines.iter().filter(|(_, endpoint)| !is_live(endpoint));
        draining.map(|(id, _)| &*id.0).collect()
    }

    /// Rejects requests until the name service has responded, unless a membership is already known. Only for gateways that have
    /// a name service.
    pub fn await_endpoint_list(&mut self, now: Milliseconds) {
        if self.service_members.is_empty() && self.service_confirmed_at.is_none() {
            self.membership_wait = Some(RetryAfter::new(self.settings.seed, now));
        }
    }

    /// Returns whether requests are rejected because no membership is known.
    pub fn awaits_endpoint_list(&self) -> bool {
        self.membership_wait.is_some()
    }

    /// Returns whether the name service's list contains the engine with this id.
    pub fn is_member(&self, id: &str) -> bool {
        self.service_members.iter().any(|endpoint| &*endpoint.member.engine.0 == id)
    }

    /// Returns the version of the membership, if one is known.
    pub fn membership_version(&self) -> Option<u64> {
        self.membership_version
    }

    /// Returns the membership that the name service reported; `None` before its first response.
    pub fn service_membership(&self) -> Option<ServiceMembership<'_>> {
        let (members, removed) = (&*self.service_members, &self.removed_engines);
        self.service_confirmed_at.map(|confirmed_at| ServiceMembership { confirmed_at, members, removed })
    }

    /// Returns the membership that a successor process inherits: the one that the name service reported to this process, or else
    /// the one that this process inherited itself.
    pub fn membership_for_successor(&self) -> Option<InheritedMembership> {
        let Some(confirmed_at) = self.service_confirmed_at else { return self.inherited_membership.clone() };
        let draining = self.service_members.iter().filter(|endpoint| !is_live(endpoint));
        let draining = draining.map(|endpoint| endpoint.member.engine.0.to_string());
        let removed = self.removed_engines.ids().map(str::to_owned);
        Some(InheritedMembership::new(confirmed_at, draining.chain(removed)))
    }

    /// Replaces the membership with a list from the name service.
    pub(super) fn update_membership(
        &mut self,
        now: Milliseconds,
        version: u64,
        endpoints: Vec<Endpoint>,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_update(now, version) {
            return;
        }
        self.membership_version = Some(version);
        self.previous_address = self.previous_address.take().filter(|previous| version < previous.version);
        let ids = endpoints.iter().map(|endpoint| &*endpoint.member.engine.0).collect();
        let ids_before = self.service_members.iter().map(|endpoint| &*endpoint.member.engine.0);
        self.removed_engines.update(ids_before, &ids);
        self.learn_starts(now, &endpoints);
        self.service_members = endpoints;
        self.membership_wait = None;
        self.rebuild_engines(now, effects);
    }

    /// Records when the members started. An empty list is ignored: a process that begins without members would otherwise assume
    /// that no member in the next list started before the process itself.
    fn learn_starts(&mut self, now: Milliseconds, endpoints: &[Endpoint]) {
        let members = endpoints.iter().map(|endpoint| &endpoint.member);
        let starts: Vec<_> = members.map(|member| (member.engine.clone(), member.started)).collect();
        if !starts.is_empty() {
            self.start_times.record_list(&starts, now);
        }
    }

    /// Returns whether a list with this version has to be applied. An older version is a delayed response. The known version
    /// confirms the membership, which matters only while an inherited one applies or none is known.
    fn is_update(&mut self, now: Milliseconds, version: u64) -> bool {
        let Some(known) = self.membership_version else { return true };
        if version < known {
            return false;
        }
        self.service_confirmed_at = Some(now);
        if version == known && !self.service_members.is_empty() {
            self.start_times.confirm_list(now);
        }
        // The inherited membership applies only until the name service has responded to this process.
        let inherited = self.inherited_membership.take().is_some();
        inherited || self.membership_wait.is_some() || version != known
    }

    /// Replaces the engines that operators have excluded.
    pub(super) fn override_membership(
        &mut self,
        now: Milliseconds,
        overrides: OperatorOverrides,
        effects: &mut Vec<Effect>,
    ) {
        self.operator_override = overrides.not_after(now);
        self.rebuild_engines(now, effects);
    }

    /// Applies the membership of an earlier process, unless the name service has already responded to this one.
    pub(super) fn inherit_membership(
        &mut self,
        now: Milliseconds,
        inherited: InheritedMembership,
        effects: &mut Vec<Effect>,
    ) {
        if self.service_confirmed_at.is_some() {
            return;
        }
        self.set_timer(inherited.until(), TimerKind::InheritedMembership);
        self.inherited_membership = Some(inherited);
        self.rebuild_engines(now, effects);
    }

    /// Drops the inherited membership once it has expired.
    pub(super) fn inherited_membership_expired(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        if self.inherited_membership.take_if(|inherited| now >= inherited.until()).is_some() {
            self.rebuild_engines(now, effects);
        }
    }

    /// Rebuilds the engines in use from the list, the operator override and the inherited membership. An engine that operators
    /// excluded, or that was draining or removed in the earlier process, is treated as draining, so that one check covers all
    /// three. An engine that operators have included again is treated as just started.
    fn rebuild_engines(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        self.operator_override.remove_expired_inclusions(now, self.settings.slow_start_duration);
        let merged = self.service_members.iter().map(|endpoint| self.merge(endpoint, now));
        let merged: Vec<Endpoint> = merged.collect();
        self.replace_engines(now, &merged, effects);
        self.report_members(now, merged);
    }

    /// Returns the member as it is used: draining if the list has expired or the engine is excluded.
    fn merge(&self, endpoint: &Endpoint, now: Milliseconds) -> Endpoint {
        let mut endpoint = endpoint.clone();
        let member = &mut endpoint.member;
        member.started = self.operator_override.start_time(&member.engine.0, member.started);
        let takes_no_work = self.list_expired || self.is_excluded(&member.engine, now);
        if takes_no_work && member.availability == Availability::Live {
            member.availability = Availability::Draining;
        }
        endpoint
    }

    /// Returns whether operators, the inherited membership or a previous address of the name service exclude an engine.
    fn is_excluded(&self, engine: &EngineId, now: Milliseconds) -> bool {
        let previous = self.previous_address.as_ref().map(|previous| &previous.membership);
        let mut memberships = self.inherited_membership.iter().chain(previous);
        self.operator_override.is_excluded(&engine.0)
            || memberships.any(|membership| membership.excludes(&engine.0, now))
    }

    /// Prepares for the first list from the current address of the name service, which is applied whatever its version. The
    /// drains and removals of the previous address apply until the current one sends a list with at least the same version.
    pub(super) fn supersede_previous_address(&mut self, now: Milliseconds) {
        let version = self.membership_version.take();
        let (Some(version), Some(membership)) = (version, self.membership_for_successor()) else { return };
        let membership = membership.taken_over(now);
        self.set_timer(membership.until(), TimerKind::PreviousAddress);
        self.previous_address = Some(PreviousAddress { version, membership });
    }

    /// Drops the drains and removals of previous addresses once they have expired.
    pub(super) fn previous_address_expired(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        if self.previous_address.take_if(|previous| now >= previous.membership.until()).is_some() {
            self.rebuild_engines(now, effects);
        }
    }

    /// Renews the lease on the list. Without a valid lease all engines are treated as draining.
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

    /// Handles the expiry timer of the lease. The lease may have been renewed since the timer was set.
    pub(super) fn list_lease_due(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        self.list_timer_set = false;
        self.apply_list_lease(now, effects);
        self.set_list_timer();
    }

    /// Sets a timer for the expiry of the lease, unless one is set or the lease has already expired.
    fn set_list_timer(&mut self) {
        let until = self.list_lease.until();
        if !self.list_timer_set && !self.list_expired && until.is_finite() {
            self.list_timer_set = true;
            self.set_timer(until, TimerKind::ListLease);
        }
    }

    fn apply_list_lease(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let expired = !self.list_lease.is_valid(now);
        if std::mem::replace(&mut self.list_expired, expired) != expired {
            effects.push(Effect::LogListReliability(!expired));
            self.rebuild_engines(now, effects);
        }
    }

    /// Replaces the engines in use. Attempts queued for draining and removed engines, and for engines that have another address now,
    /// are dropped, as another process may have the former address. Attempts in flight on removed ones are aborted after a
    /// grace period.
    fn replace_engines(&mut self, now: Milliseconds, endpoints: &[Endpoint], effects: &mut Vec<Effect>) {
        let mut unlisted = std::mem::take(&mut self.engines);
        for endpoint in endpoints {
            let engine = &endpoint.member.engine;
            let has_moved = unlisted.remove(engine).is_some_and(|former| former.address != endpoint.address);
            // While the list has expired, the connection writers withhold new work by themselves; dropping the queues here
            // would also retire connections to healthy engines.
            if has_moved || !is_live(endpoint) && !self.list_expired {
                effects.push(Effect::DropQueued(engine.clone()));
            }
            self.engines.insert(engine.clone(), endpoint.clone());
        }
        for (engine, _) in unlisted {
            effects.push(Effect::DropQueued(engine.clone()));
            self.set_timer(now + self.limits.removed_engine_grace, TimerKind::EngineRemoved(engine));
        }
    }

    /// Reports the engines to the decision module, together with the state that an earlier incarnation learned about them.
    fn report_members(&mut self, now: Milliseconds, endpoints: Vec<Endpoint>) {
        let identities: Vec<EndpointIdentity> = endpoints.iter().map(identity).collect();
        let restored = self.restored_state.as_mut().and_then(|state| state.restore(&identities, now));
        // `endpoints` has the order of `service_members`, which hold the start times as the service reported them.
        let reported_starts = self.service_members.iter().map(|endpoint| endpoint.member.started);
        let members = endpoints.into_iter().zip(reported_starts);
        let members = members.map(|(endpoint, start)| self.with_local_start(now, endpoint.member, start));
        let members = members.collect();
        self.pending_events.push(DecisionEvent::EndpointListReceived { complete: true, members });
        self.pending_events.extend(restored.map(|learned| DecisionEvent::StateRestored(Box::new(learned))));
        self.restored_state.take_if(|state| state.is_finished(now));
    }

    /// Returns a member as the decision module receives it: its start time is converted to this gateway's clock, and is never in
    /// the future.
    fn with_local_start(
        &self,
        now: Milliseconds,
        member: Member,
        reported_start: Option<Milliseconds>,
    ) -> Member {
        let local = self.start_times.local_start(&member.engine, reported_start);
        let started = self.operator_override.start_time(&member.engine.0, local);
        Member { started: started.map(|at| at.min(now)), ..member }
    }

    /// Returns the address of an engine, if it accepts new work.
    pub(super) fn live_address(&self, engine: &EngineId) -> Option<SocketAddr> {
        let endpoint = self.engines.get(engine)?;
        is_live(endpoint).then_some(endpoint.address)
    }
}

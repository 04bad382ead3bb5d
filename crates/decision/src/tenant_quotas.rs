//! Tenant quotas: a token bucket per tenant. Requests past the quota are still served, after all others.

use crate::balancer::{Balancer, CONTROL_PERIOD};
use crate::types::TenantId;

/// The size of a bucket, in seconds of its rate: bursts of that length stay within the quota.
const BURST_SECONDS: f64 = 2.0;
/// The least size of a bucket, in requests: with many gateways the rate of each is small.
const MIN_BURST: f64 = 2.0;

impl Balancer {
    /// Takes a request from its tenant's quota; returns whether the quota was used up.
    pub(crate) fn take_from_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|tenant| tenant.0 < self.quota_levels.len()) else { return false };
        let is_limited = self.settings.tenants[tenant.0].quota_per_s > 0.0;
        let over_quota = is_limited && self.quota_levels[tenant.0] < 1.0;
        if !over_quota {
            self.quota_levels[tenant.0] -= 1.0;
        }
        over_quota
    }

    /// Refills the buckets by a control step of this gateway's share of each quota.
    pub(crate) fn refill_quotas(&mut self) {
        for (level, tenant) in self.quota_levels.iter_mut().zip(&self.settings.tenants) {
            let rate = tenant.quota_per_s * self.fleet.share;
            *level = (*level + rate * CONTROL_PERIOD / 1000.0).min((rate * BURST_SECONDS).max(MIN_BURST));
        }
    }
}

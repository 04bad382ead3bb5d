//! Tenant quotas: one token bucket per tenant. Requests that exceed the quota are still served, after all others.

use crate::balancer::{Balancer, CONTROL_PERIOD};
use crate::types::TenantId;

/// Size of a bucket in seconds of its rate: bursts of up to this length are within the quota.
const BURST_SECONDS: f64 = 2.0;
/// Minimum size of a bucket, in requests: with many gateways the rate of each is small.
const MIN_BURST: f64 = 2.0;

impl Balancer {
    /// Deducts a request from its tenant's quota, and returns whether the quota was exhausted.
    pub(crate) fn deduct_from_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|tenant| tenant.0 < self.quota_levels.len()) else { return false };
        let is_limited = self.settings.tenants[tenant.0].quota_per_s > 0.0;
        let over_quota = is_limited && self.quota_levels[tenant.0] < 1.0;
        if !over_quota {
            self.quota_levels[tenant.0] -= 1.0;
        }
        over_quota
    }

    /// Refills the buckets with this gateway's share of each quota for one control step.
    pub(crate) fn refill_quotas(&mut self) {
        for (level, tenant) in self.quota_levels.iter_mut().zip(&self.settings.tenants) {
            let rate = tenant.quota_per_s * self.fleet.share;
            *level = (*level + rate * CONTROL_PERIOD / 1000.0).min((rate * BURST_SECONDS).max(MIN_BURST));
        }
    }
}

//! Health checks: engines that have sent no load report for a while are checked, at a rate proportional to this
//! gateway's own traffic. Hundreds of idle gateways therefore cause no load on the engines.

use crate::balancer::Balancer;
use crate::interface::Action;
use crate::settings::Settings;
use crate::state::{Engine, DISTANT_PAST};
use crate::types::Milliseconds;

/// An engine that reported its load or was checked within this time is not checked.
const MIN_SILENCE: Milliseconds = 400.0;
/// Maximum number of health checks that can be accumulated.
const MAX_CREDIT: f64 = 16.0;
/// Share of a request's priority weight that may be spent on health checks.
const SPENDING_SHARE: f64 = 0.01;

/// Returns the number of health checks that may be sent before the first request.
pub(crate) fn initial_credit(settings: &Settings) -> f64 {
    MAX_CREDIT * credit_per_request(settings)
}

/// Returns the number of health checks that each request adds, at most one.
fn credit_per_request(settings: &Settings) -> f64 {
    (SPENDING_SHARE / settings.health_check_cost.max(0.0)).min(1.0)
}

impl Balancer {
    /// Adds the health checks that a received request allows.
    pub(crate) fn add_health_check_credit(&mut self) {
        let max_credit = MAX_CREDIT.max(self.health_check_credit);
        let earned = self.health_check_credit + credit_per_request(&self.settings);
        self.health_check_credit = earned.min(max_credit);
    }

    /// Checks the engines in the aperture that have been silent, those silent for longest first, as far as the credit
    /// allows.
    pub(crate) fn check_health(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_check_health || self.health_check_credit < 1.0 {
            return;
        }
        let now = self.now;
        let mut silent: Vec<_> = self
            .engines
            .iter_mut()
            .filter(|(_, engine)| engine.is_in_aperture() && now - silent_since(engine) > MIN_SILENCE)
            .collect();
        silent.sort_by(|(_, a), (_, b)| {
            silent_since(a).total_cmp(&silent_since(b)).then(a.jitter.total_cmp(&b.jitter))
        });
        for (id, engine) in silent.into_iter().take(self.health_check_credit as usize) {
            engine.checked_at = now;
            self.health_check_credit -= 1.0;
            actions.push(Action::CheckHealth { engine: id.clone() });
        }
    }
}

/// Returns the time at which an engine was last checked or last reported its load, whichever is later.
fn silent_since(engine: &Engine) -> Milliseconds {
    engine.checked_at.max(engine.load.last_report_at.unwrap_or(DISTANT_PAST))
}

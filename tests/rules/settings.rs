//! Random settings for the runs.

use crate::common::settings as default_settings;
use starlingplank::interface::*;

/// Windows of the retry budget.
const RETRY_WINDOWS: [Milliseconds; 2] = [2_000.0, 5_000.0];
const DRAIN_GRACES: [Milliseconds; 3] = [0.0, 250.0, 1_000.0];
const ORDERED_KEY_PAUSES: [Milliseconds; 2] = [0.0, 500.0];
/// Deduplication window of keyed requests.
const KEY_WINDOW: Milliseconds = 800.0;

/// The settings of a run, and whether engines attach load reports to their answers.
pub(crate) struct RandomSettings {
    pub(crate) settings: Settings,
    pub(crate) reports_load: bool,
}

/// Draws the settings of a run.
pub(crate) fn draw_settings(rng: &mut fastrand::Rng) -> RandomSettings {
    let mut settings = default_settings();
    settings.seed = rng.u64(..);
    settings.gateways = rng.usize(1..6);
    settings.may_hedge = rng.bool();
    settings.may_cancel = rng.bool();
    settings.may_check_health = rng.bool();
    settings.supports_priorities = rng.bool();
    settings.supports_memory_grants = rng.bool();
    settings.max_attempts = rng.u32(1..6);
    settings.subscribes_to_endpoints = rng.bool();
    let reports_load = rng.usize(..3) == 0;
    let retry_window = RETRY_WINDOWS[rng.usize(..2)];
    settings.retry_budget = rng.bool().then_some(RetryBudgetSettings {
        min_retries: rng.f64() * 4.0,
        retry_ratio: 0.1,
        window: retry_window,
    });
    settings.drain_grace = DRAIN_GRACES[rng.usize(..3)];
    settings.overload_collapse_multiple = 2.5 + rng.f64();
    settings.max_retry_after = if rng.bool() { 1_000.0 } else { 0.0 };
    settings.ordered_key_pause = ORDERED_KEY_PAUSES[rng.usize(..2)];
    if rng.bool() {
        settings.tenants =
            (0..2).map(|i| Tenant { name: format!("t{i}"), quota_per_s: rng.f64() * 20.0 }).collect();
    }
    for class in &mut settings.classes {
        draw_class_terms(class, rng);
    }
    RandomSettings { settings, reports_load }
}

fn draw_class_terms(class: &mut Class, rng: &mut fastrand::Rng) {
    class.idempotency = match rng.u8(..5) {
        0 => Idempotency::NotIdempotent,
        1 => Idempotency::Keyed { scope: Scope::All, window: KEY_WINDOW },
        2 => Idempotency::Keyed { scope: Scope::Zone, window: KEY_WINDOW },
        3 => Idempotency::Keyed { scope: Scope::Cell, window: KEY_WINDOW },
        _ => Idempotency::Idempotent,
    };
    class.ordered = rng.u8(..3) == 0;
    class.machine_types = (rng.u8(..4) == 0).then(|| vec![MachineTypeId(rng.usize(..2))]);
    class.zones = (rng.u8(..4) == 0).then(|| vec![ZoneId(rng.usize(..2))]);
    class.is_load = rng.u8(..5) == 0;
    class.waits_for_loads = rng.u8(..5) == 0;
}

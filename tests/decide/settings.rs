//! Validation of the decision module's settings.

use crate::common::settings as default_settings;
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

#[test]
fn invalid_settings_are_rejected_with_their_names() {
    let mut settings = default_settings();
    settings.gateways = 0;
    assert!(matches!(Balancer::new(settings, 0.0).err(), Some(SettingsError::Bad { name: "balancers", .. })));
    let mut settings = default_settings();
    settings.classes[0].latency_objective = f64::NAN;
    assert!(Balancer::new(settings, 0.0).is_err());
    let mut settings = default_settings();
    settings.classes.clear();
    assert!(Balancer::new(settings, 0.0).is_err());
    for (pause, is_valid) in [(0.0, true), (-1.0, false), (f64::NAN, false), (f64::INFINITY, false)] {
        let mut settings = default_settings();
        (settings.classes[0].ordered, settings.ordered_key_pause) = (true, pause);
        let error =
            Some(SettingsError::Bad { name: "rules.order_pause", reason: "must be finite and not below 0" });
        assert_eq!(Balancer::new(settings, 0.0).err(), error.filter(|_| !is_valid), "{pause}");
    }
}

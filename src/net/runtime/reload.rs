//! SIGHUP: the configuration is read again, and the new address of the name service is used.

use crate::config::Config;
use crate::interface::Settings;
use crate::net::runtime::Runtime;

impl Runtime {
    /// Applies a configuration that was read again. What else is new in it waits for the next start.
    pub fn reload(&self, read: Result<Config, String>) {
        let new = match read {
            Ok(new) => new,
            Err(why) => return tracing::warn!("SIGHUP: the old configuration stays: {why}"),
        };
        tracing::info!("SIGHUP: the name service is at {:?}", new.names);
        if needs_restart(&self.config, &new) {
            tracing::warn!("SIGHUP: what else is new in the configuration waits for the next start");
        }
        self.names.send_replace(new.names);
    }
}

/// Whether a new configuration differs from the one in force in more than the name service.
fn needs_restart(old: &Config, new: &Config) -> bool {
    // A seed that is new alone is no difference.
    let settings = Settings { seed: old.settings.seed, ..new.settings.clone() };
    (new.listen, new.operator, &new.limits, &new.knowledge)
        != (old.listen, old.operator, &old.limits, &old.knowledge)
        || settings != old.settings
}

//! SIGHUP: the configuration is read again, and the new address of the name service is used.

use crate::config::Config;
use crate::interface::Settings;
use crate::net::runtime::Runtime;
use std::time::Duration;
use tokio::time::Instant;

/// A configuration that cannot be used is read again so often ...
const ATTEMPTS: u32 = 25;
/// ... and so long after the last time: it may be that it is just being written, or that a descriptor lacks.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// A reload that is still to be made.
#[derive(Debug, Clone, Copy)]
pub struct PendingReload {
    due: Instant,
    attempts: u32,
}

impl PendingReload {
    /// When it is tried again.
    pub fn due(&self) -> Instant {
        self.due
    }
}

impl Runtime {
    /// Whether a reload that failed is to be tried again now.
    pub fn reload_is_due(&self) -> bool {
        self.pending_reload.is_some_and(|pending| pending.due <= Instant::now())
    }

    /// Begins a reload; one that is still to be made gives way to it.
    pub fn begin_reload(&mut self, read: Result<Config, String>) {
        self.pending_reload = None;
        self.reload(read);
    }

    /// Applies a configuration that was read again. What else is new in it waits for the next start. One that cannot be
    /// used is read again a little later.
    pub fn reload(&mut self, read: Result<Config, String>) {
        let before = self.pending_reload.take();
        let new = match read {
            Ok(new) => new,
            Err(why) => return self.put_reload_off(before, &why),
        };
        tracing::info!("SIGHUP: the name service is at {:?}", new.names);
        if needs_restart(&self.config, &new) {
            tracing::warn!("SIGHUP: what else is new in the configuration waits for the next start");
        }
        self.names.send_replace(new.names);
    }
}

impl Runtime {
    fn put_reload_off(&mut self, before: Option<PendingReload>, why: &str) {
        let attempts = before.map_or(0, |pending| pending.attempts) + 1;
        if before.is_none() {
            tracing::warn!("SIGHUP: the old configuration stays: {why}");
        }
        if attempts < ATTEMPTS {
            self.pending_reload = Some(PendingReload { due: Instant::now() + RETRY_AFTER, attempts });
        } else {
            tracing::warn!("SIGHUP: the new configuration is given up: {why}");
        }
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

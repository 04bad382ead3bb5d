//! SIGHUP: the configuration is loaded again, and the address of the name service is replaced.

use crate::config::{Config, LoadError};
use crate::interface::Settings;
use crate::net::discovery::NameServiceAddress;
use crate::net::runtime::Runtime;
use std::time::Duration;
use tokio::time::Instant;

/// A configuration that cannot be used is loaded so often ...
const MAX_ATTEMPTS: u32 = 25;
/// ... at this interval: the file may be being written, or a descriptor may lack.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A reload that failed and is retried.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReload {
    due: Instant,
    attempts: u32,
}

impl PendingReload {
    /// When it is retried.
    pub(super) fn due(&self) -> Instant {
        self.due
    }
}

impl Runtime {
    /// Whether a reload that failed is to be retried now.
    pub(super) fn reload_is_due(&self) -> bool {
        self.pending_reload.is_some_and(|pending| pending.due <= Instant::now())
    }

    /// Begins a reload; it replaces one that is to be retried.
    pub(super) fn begin_reload(&mut self, loaded: Result<Config, LoadError>) {
        self.pending_reload = None;
        self.reload(loaded);
    }

    /// Applies a configuration that was loaded again: the address of the name service. Other changes need a restart. A
    /// configuration that cannot be used is loaded again a little later.
    pub(super) fn reload(&mut self, loaded: Result<Config, LoadError>) {
        let previous = self.pending_reload.take();
        let new = match loaded {
            Ok(new) => new,
            Err(error) => return self.schedule_retry(previous, &error),
        };
        tracing::info!(name_service = ?new.name_service, "SIGHUP: configuration loaded");
        if needs_restart(&self.config, &new) {
            tracing::warn!("SIGHUP: further changes of the configuration need a restart");
        }
        let changed_at = self.frontend.earliest_arrival();
        self.name_service.send_replace(NameServiceAddress { address: new.name_service, changed_at });
    }

    fn schedule_retry(&mut self, previous: Option<PendingReload>, error: &LoadError) {
        let attempts = previous.map_or(0, |pending| pending.attempts) + 1;
        if previous.is_none() {
            tracing::warn!(%error, "SIGHUP: the old configuration stays");
        }
        if attempts < MAX_ATTEMPTS {
            self.pending_reload = Some(PendingReload { due: Instant::now() + RETRY_INTERVAL, attempts });
        } else {
            tracing::warn!(%error, "SIGHUP: the new configuration is given up");
        }
    }
}

/// Whether a new configuration differs from the one in use in more than the name service.
fn needs_restart(old: &Config, new: &Config) -> bool {
    // A new seed is no difference.
    let settings = Settings { seed: old.settings.seed, ..new.settings.clone() };
    (new.listen, new.operator, &new.limits, &new.knowledge)
        != (old.listen, old.operator, &old.limits, &old.knowledge)
        || settings != old.settings
}

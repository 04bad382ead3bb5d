//! Handles SIGHUP: loads the configuration again, and replaces the address of the name service.

use crate::config::{Config, LoadError};
use crate::interface::Settings;
use crate::net::discovery::NameServiceAddress;
use crate::net::runtime::Runtime;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts to load a configuration that cannot be used.
const MAX_ATTEMPTS: u32 = 25;
/// Interval between these attempts: the file may be incomplete while it is written, or no descriptor may be available.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A failed reload that is to be retried.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReload {
    due: Instant,
    attempts: u32,
}

impl PendingReload {
    /// Time of the next attempt.
    pub(super) fn due(&self) -> Instant {
        self.due
    }
}

impl Runtime {
    /// Whether a failed reload is due to be retried.
    pub(super) fn reload_is_due(&self) -> bool {
        self.pending_reload.is_some_and(|pending| pending.due <= Instant::now())
    }

    /// Begins a reload on SIGHUP; a pending retry of an earlier reload is cancelled.
    pub(super) fn begin_reload(&mut self, loaded: Result<Config, LoadError>) {
        self.pending_reload = None;
        self.reload(loaded);
    }

    /// Applies the address of the name service from a configuration that was loaded again; other changes need a restart. If
    /// loading failed, a retry is scheduled.
    pub(super) fn reload(&mut self, loaded: Result<Config, LoadError>) {
        let previous = self.pending_reload.take();
        let new = match loaded {
            Ok(new) => new,
            Err(error) => return self.schedule_retry(previous, &error),
        };
        tracing::info!(name_service = ?new.name_service, "SIGHUP: configuration loaded");
        if needs_restart(&self.config, &new) {
            tracing::warn!("SIGHUP: only the name service's address is applied; the other changes of the configuration need a restart");
        }
        let changed_at = self.frontend.earliest_arrival();
        self.name_service.send_replace(NameServiceAddress { address: new.name_service, changed_at });
    }

    fn schedule_retry(&mut self, previous: Option<PendingReload>, error: &LoadError) {
        let attempts = previous.map_or(0, |pending| pending.attempts) + 1;
        if previous.is_none() {
            tracing::warn!(%error, "SIGHUP: configuration not loaded, the old one stays in use");
        }
        if attempts < MAX_ATTEMPTS {
            self.pending_reload = Some(PendingReload { due: Instant::now() + RETRY_INTERVAL, attempts });
        } else {
            tracing::warn!(%error, "SIGHUP: configuration not loaded after the last retry, the old one stays in use");
        }
    }
}

/// Whether a new configuration differs from the one in use in more than the name service.
fn needs_restart(old: &Config, new: &Config) -> bool {
    // A different seed alone is not reported: the seed of the start stays in use.
    let settings = Settings { seed: old.settings.seed, ..new.settings.clone() };
    (new.listen, new.operator, &new.limits, &new.persistence)
        != (old.listen, old.operator, &old.limits, &old.persistence)
        || settings != old.settings
}

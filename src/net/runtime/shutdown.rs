//! Shutdown of the process: when it may exit, and the totals that it logs before.

use crate::interface::BlockReason;
use crate::net::front::ShutdownPhase;
use crate::net::runtime::inputs::Inputs;
use crate::net::runtime::Runtime;
use starlingplank_admin::metrics::Count;
use starlingplank_admin::process_lifecycle;
use starlingplank_decision::permission::process::{may_exit, ShutdownConditions};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Number of checks, during the wait for operators to disconnect, whether all of them have.
const OPERATOR_CONNECTION_CHECKS: u32 = 10;

impl Runtime {
    /// Advances the shutdown phase, and returns whether the process may exit: all requests are answered, and either no client
    /// connection is open and none can be opened, or the time for closing connections has expired.
    pub(super) fn has_drained(&mut self, terminated_at: Instant) -> bool {
        let window = self.drain_window();
        let waited = terminated_at.elapsed();
        self.advance_shutdown_phase(waited, window);
        let closes_idle =
            matches!(self.frontend.shutdown_phase(), ShutdownPhase::ClosingIdle | ShutdownPhase::Stopping);
        // Connections that stay in use until the end get their answers and are closed before the program exits.
        may_exit(&ShutdownConditions {
            requests_finished: self.requests_finished,
            no_connections: closes_idle && self.frontend.has_no_connections(),
            // Requests that clients sent while the process was paused are read before it exits.
            close_window_expired: waited >= window + self.frontend.limits.connection_close_wait
                && !self.frontend.shared.pauses.has_backlog(Instant::now()),
        })
    }

    /// Time after SIGTERM within which open requests are answered.
    fn drain_window(&self) -> Duration {
        let is_hot_restart = self.frontend.shutdown_phase().is_hot_restart();
        let limits = &self.frontend.limits;
        let window =
            if is_hot_restart { limits.hot_restart_answer_deadline } else { limits.shutdown_answer_deadline };
        Duration::from_secs_f64(window / 1000.0)
    }

    /// Enters the next phase of the shutdown when it is due; `waited` is the time since SIGTERM.
    fn advance_shutdown_phase(&self, waited: Duration, window: Duration) {
        match self.frontend.shutdown_phase() {
            ShutdownPhase::Draining if self.requests_finished && !self.awaits_successor(waited, window) => {
                self.frontend.enter_shutdown_phase(ShutdownPhase::Stopping);
            }
            ShutdownPhase::HandingOver if waited >= self.frontend.limits.hot_restart_idle_after => {
                self.frontend.enter_shutdown_phase(ShutdownPhase::ClosingIdle);
            }
            _ => {}
        }
    }

    /// Whether a later process of this gateway has started and may still begin to listen and take over.
    fn awaits_successor(&self, waited: Duration, window: Duration) -> bool {
        let Some(hot_restart) = &self.hot_restart else { return false };
        process_lifecycle::awaits_successor(hot_restart.incarnation(), &hot_restart.peers(), waited, window)
    }

    /// Finishes the shutdown: answers pending operators' calls, logs the totals, and writes the last snapshot.
    pub(super) async fn shut_down(&mut self, inputs: Inputs) {
        // Pending calls are answered with 503, as the process is ending. Operators that have sent nothing are not waited for
        // beyond the timeout.
        drop(inputs.calls);
        if self.config.operator.is_some() {
            let _ = timeout(self.frontend.limits.peer_poll_interval, self.wait_for_operators_to_disconnect())
                .await;
        }
        self.report_loop();
        // The last snapshot includes what was learned from the last answers. It is lost if it is not written within the timeout
        // below.
        self.persistence.save_snapshot(&self.core, self.frontend.clock.now());
        self.report_classes();
        self.report_rules();
        if self.config.name_service.is_some() {
            self.report_discovery();
        }
        if self.persistence.is_enabled() {
            let _ = timeout(self.frontend.limits.final_snapshot_timeout, self.persistence.finish()).await;
            self.persistence.log_totals(self.core.deduplication().rejected());
        }
    }

    /// Waits until no operator's connection is open; the caller limits the time.
    async fn wait_for_operators_to_disconnect(&self) {
        loop {
            sleep(self.frontend.limits.peer_poll_interval / OPERATOR_CONNECTION_CHECKS).await;
            if self.operator_count.get() == 0 {
                break;
            }
        }
    }

    fn report_loop(&self) {
        let longest = self.statistics.longest_cycle.as_secs_f64() * 1000.0;
        let max_delay = self.statistics.max_delay;
        tracing::info!("loop: longest cycle {longest:.3} ms, largest timer delay {max_delay:.3} ms");
        let held_up_ms = self.frontend.shared.profile.longest_cycle().as_secs_f64() * 1000.0;
        let counts = self.named_counts();
        tracing::info!(
            "loop: held up for at most {held_up_ms:.3} ms; microseconds by task {:?}, longest {:?}; client connections closed {:?}",
            counts.loop_time.into_iter().collect::<BTreeMap<_, _>>(),
            counts.loop_longest.into_iter().collect::<BTreeMap<_, _>>(),
            counts.closed.into_iter().filter(|(_, count)| *count > 0).collect::<BTreeMap<_, _>>(),
        );
        tracing::info!(
            "memory: largest numbers of bytes {:?}; longest waits of clients in microseconds {:?}",
            counts.memory_peak.into_iter().collect::<BTreeMap<_, _>>(),
            counts.longest_wait.into_iter().collect::<BTreeMap<_, _>>(),
        );
    }

    /// Logs the number of attempts that the rules withheld, by reason, and how many of them were violations.
    fn report_rules(&self) {
        let rules = &self.frontend.shared.rule_counters;
        tracing::info!("rules: attempts withheld {:?}, violations {}", rules.by_name(), rules.violations());
    }

    /// Logs the numbers of polls and responses of the name service, and the age of the endpoint list.
    fn report_discovery(&self) {
        let discovery = self.discovery.borrow();
        let age = discovery.age(self.frontend.clock.now()) / 1000.0;
        tracing::info!("name service: {}; age of the endpoint list {age:.2} s", discovery.counts());
    }

    /// Logs for each class the numbers of requests, attempts, outcomes and rejections, and the reasons for waits.
    fn report_classes(&self) {
        let classes = self.frontend.settings.classes.iter();
        let by_class = classes.zip(self.core.counts()).zip(self.core.blocked_counts());
        for (index, ((class, counts), waits)) in by_class.enumerate() {
            let metric = |count| self.frontend.shared.metrics.get(index, count);
            tracing::info!(
                "{}: {} received, {} attempts, outcomes {:?}, answered {:?}",
                class.name,
                counts.received,
                metric(Count::Sends),
                counts.outcomes,
                [
                    metric(Count::Answered),
                    metric(Count::Deferred),
                    metric(Count::Errored),
                    counts.disconnected
                ]
            );
            let waits = BlockReason::ALL.iter().map(|reason| (reason.name(), waits[*reason as usize]));
            let waits = waits.filter(|(_, count)| *count > 0);
            let waits: BTreeMap<_, _> = waits.collect();
            tracing::info!("{}: rejected for {:?}, blocked by {waits:?}", class.name, counts.rejections);
        }
    }
}

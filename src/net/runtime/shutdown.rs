//! The end of the process: when it may end, and its last report.

use crate::interface::Why;
use crate::net::front::Leaving;
use crate::net::runtime::inputs::Inputs;
use crate::net::runtime::Runtime;
use starlingplank_operation::figures::Count;
use starlingplank_operation::lives;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// How often it is checked, within the wait for operators, whether they have all been told.
const CALLER_CHECKS: u32 = 10;

impl Runtime {
    /// Whether one that was told to end then has nothing more to do: no more connections are taken, what waited to be
    /// accepted has been, and each connection was closed once nothing was open on it and nothing was left to read.
    pub fn has_drained(&mut self, told: Instant) -> bool {
        let (limits, leaving) = (self.desk.limits.clone(), self.desk.leaving());
        let handed = matches!(leaving, Leaving::AfterAnswer | Leaving::Idle);
        let (waited, last) = (told.elapsed(), if handed { limits.leave_answer } else { limits.term_answer });
        let most = Duration::from_secs_f64(last / 1000.0);
        // Connections that are in use to the end are answered and closed before the program ends.
        let last = waited >= most + limits.leave_close;
        let awaited =
            || self.handover.as_ref().is_some_and(|h| lives::awaited(h.own(), &h.others(), waited, most));
        match leaving {
            Leaving::Alone if self.settled && !awaited() => self.desk.leave_by(Leaving::Last),
            Leaving::AfterAnswer if waited >= limits.leave_idle => self.desk.leave_by(Leaving::Idle),
            _ => {}
        }
        let closes = matches!(self.desk.leaving(), Leaving::Idle | Leaving::Last);
        self.settled && (last || closes && self.desk.empty())
    }

    /// Ends the process: operators hear of it, what was done is reported, and the last snapshot is written.
    pub async fn shut_down(&mut self, inputs: Inputs) {
        // Operators whose call is under way are told that it ends; one who says nothing is not waited for.
        drop(inputs.calls);
        if self.config.operator.is_some() {
            let _ = timeout(self.desk.limits.look, self.callers_end()).await;
        }
        self.report_loop();
        // What the last answers taught is in the last snapshot, if the disk takes it in time.
        self.keep.snapshot(&self.core, self.desk.clock.now());
        self.report_classes();
        if self.keep.is_on() {
            let _ = timeout(self.desk.limits.term_snapshot, self.keep.finish()).await;
            self.keep.say(self.core.gate().refused());
        }
    }

    /// Waits until no operator's connection is open.
    async fn callers_end(&self) {
        loop {
            sleep(self.desk.limits.look / CALLER_CHECKS).await;
            if self.callers.get() == 0 {
                break;
            }
        }
    }

    fn report_loop(&self) {
        let longest = self.statistics.longest_cycle.as_secs_f64() * 1000.0;
        let latest = self.statistics.most_late;
        tracing::info!("loop: longest turn {longest:.3} ms, latest {latest:.3} ms");
    }

    /// Reports what became of the requests of each class.
    fn report_classes(&self) {
        let classes = self.desk.settings.classes.iter();
        let by_class = classes.zip(self.core.counts()).zip(self.core.waits());
        for (i, ((class, counts), waits)) in by_class.enumerate() {
            let figure = |count| self.desk.common.figures.get(i, count);
            tracing::info!(
                "{}: {} taken, {} attempts, ended {:?}, answered {:?}",
                class.name,
                counts.taken,
                figure(Count::Sends),
                counts.outcomes,
                [figure(Count::Answered), figure(Count::Deferred), figure(Count::Errored), counts.left]
            );
            let waits = Why::ALL.iter().map(|why| (why.name(), waits[*why as usize])).filter(|(_, n)| *n > 0);
            let waits: BTreeMap<_, _> = waits.collect();
            tracing::info!("{}: refused for {:?}, waited for {waits:?}", class.name, counts.refusals);
        }
    }
}

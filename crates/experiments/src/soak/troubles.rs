//! Begins and ends the troubles of a play.

use super::engine::{Engine, Mode};
use super::ledger::{EngineRecord, Silence};
use super::process::Process;
use super::run::{entry, Play};
use super::schedule::{Planned, ReloadKind, Reloads, Trouble};
use rustix::process::Signal;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// SIGKILL comes so long after SIGTERM, as early as the pages allow: the longest deadline, 3 s at most, and 0.7 s.
const KILLED_AFTER: f64 = 3.7;
/// Between signals of one series.
const SIGNAL_GAP: Duration = Duration::from_millis(15);
/// Connections of a crowd: more than a process has room for.
const CROWD: usize = 170;

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Play {
    pub(super) async fn trouble(self: Rc<Self>, planned: Planned) {
        self.until(planned.from).await;
        let engine = |n: usize| self.engines[n].borrow().clone();
        let to = planned.to;
        match planned.trouble {
            Trouble::Restart { gateway, reloads, terminations } => {
                self.restart(gateway, reloads, terminations).await;
            }
            Trouble::Upgrade(gateway) => self.upgrade(gateway).await,
            Trouble::Kill(gateway) => self.signal(gateway, Signal::KILL),
            Trouble::Stop(gateway) => self.stop(gateway, to).await,
            Trouble::Reload(gateway, reloads) => self.reload(gateway, &reloads).await,
            Trouble::SystemCalls(gateway) => {
                self.switch_faults(gateway, true);
                self.until(to).await;
                self.switch_faults(gateway, false);
            }
            Trouble::Crowd(gateway) => self.crowd(gateway, to).await,
            Trouble::ListLate(gateway, latency) => {
                self.discovery.views[gateway].latency.set(latency);
                self.until(to).await;
                self.discovery.views[gateway].latency.set(0.0);
            }
            Trouble::ListLossy(gateway, share) => {
                self.discovery.views[gateway].loss.set(share);
                self.until(to).await;
                self.discovery.views[gateway].loss.set(0.0);
            }
            Trouble::FlowsDie(gateway) => self.discovery.views[gateway].kill_flows(),
            Trouble::SilentList => self.silence(to).await,
            Trouble::Replace(n) => self.replace(n, to).await,
            Trouble::Crash(n) => self.crash(&[n], to).await,
            Trouble::CrashMany => {
                let half: Vec<usize> = (0..self.engines.len()).step_by(2).collect();
                self.crash(&half, to).await;
            }
            Trouble::Hang(n) => self.behave(&engine(n), Mode::Hang, to).await,
            Trouble::Overload(n) => self.behave(&engine(n), Mode::Overload, to).await,
            Trouble::OverloadAll => self.overload_all(to).await,
            Trouble::CloseIdle(n) => self.behave(&engine(n), Mode::CloseIdle, to).await,
            Trouble::Reset(n) => self.reset_often(&engine(n), to).await,
            Trouble::Leaving => {
                self.stage.clients_leave.set(true);
                self.until(to).await;
                self.stage.clients_leave.set(false);
            }
        }
    }

    async fn until(&self, at: f64) {
        sleep(Duration::from_secs_f64((at - self.stage.now()).max(0.0))).await;
    }

    /// Ends the processes of a gateway by a series of signals, and by SIGKILL as early as that may come.
    async fn restart(&self, gateway: usize, reloads: u32, terminations: u32) {
        for _ in 0..reloads {
            self.signal(gateway, Signal::HUP);
            sleep(SIGNAL_GAP).await;
        }
        let ending: Vec<usize> = self.processes[gateway].borrow().iter().map(Process::number).collect();
        let terminated = self.stage.now();
        for _ in 0..terminations {
            self.signal(gateway, Signal::TERM);
            sleep(SIGNAL_GAP).await;
            self.signal(gateway, Signal::HUP);
        }
        while let Some(left) = self.time_left(gateway, &ending, terminated) {
            sleep(Duration::from_secs_f64(left)).await;
        }
        let processes = self.processes[gateway].borrow();
        processes.iter().filter(|p| ending.contains(&p.number())).for_each(Process::kill_overdue);
    }

    /// How long the processes with these numbers still have; time in which they are stopped does not count.
    fn time_left(&self, gateway: usize, numbers: &[usize], terminated: f64) -> Option<f64> {
        let ledger = self.stage.ledger.borrow();
        let now = self.stage.now();
        let lives = numbers.iter().filter_map(|n| ledger.processes[gateway].get(*n));
        let stopped = lives.map(|life| life.stopped_within(terminated, now)).fold(0.0, f64::max);
        let left = terminated + KILLED_AFTER + stopped - now;
        (left > 0.0).then_some(left)
    }

    /// Stops a gateway's processes, and has them go on.
    async fn stop(&self, gateway: usize, to: f64) {
        self.signal(gateway, Signal::STOP);
        self.until(to).await;
        self.signal(gateway, Signal::CONT);
    }

    /// Starts a process beside the one that runs, and ends that one once the new one listens.
    async fn upgrade(&self, gateway: usize) {
        let old = self.processes[gateway].borrow().len();
        if old != 1 || self.start_process(gateway).is_err() {
            return;
        }
        for _ in 0..500 {
            sleep(Duration::from_millis(10)).await;
            let processes = self.processes[gateway].borrow();
            if processes.len() != 2 {
                return;
            }
            if processes[1].listens() {
                return processes[0].signal(Signal::TERM);
            }
        }
    }

    async fn reload(&self, gateway: usize, reloads: &Reloads) {
        let view = &self.discovery.views[gateway];
        for _ in 0..reloads.times {
            let now = self.stage.now();
            match reloads.kind {
                ReloadKind::Unchanged => {}
                ReloadKind::BetweenGood => {
                    view.both_answer.set(true);
                    view.present.set(1 - view.present.get());
                }
                ReloadKind::ToSilent(silent) => {
                    view.both_answer.set(false);
                    view.present.set(1 - view.present.get());
                    view.silent_until.set(now + silent);
                    let silence = Silence { gateway: Some(gateway), from: now, to: now + silent };
                    self.stage.ledger.borrow_mut().silences.push(silence);
                }
            }
            let _ = self.write_config(gateway);
            self.signal(gateway, Signal::HUP);
            sleep(Duration::from_secs_f64(reloads.gap)).await;
        }
        if reloads.kind != ReloadKind::Unchanged {
            let last = self.stage.now() - reloads.gap;
            self.stage.ledger.borrow_mut().moves.push((gateway, last));
        }
    }

    /// Fills a gateway's descriptors with clients that say nothing.
    async fn crowd(&self, gateway: usize, to: f64) {
        let from = self.stage.now();
        let mut idle = Vec::new();
        for _ in 0..CROWD {
            if let Ok(stream) = TcpStream::connect(self.stage.addresses[gateway]).await {
                idle.push(stream);
            }
        }
        self.until(to).await;
        drop(idle);
        self.stage.ledger.borrow_mut().crowds.push((gateway, from, self.stage.now()));
    }

    async fn behave(&self, engine: &Engine, mode: Mode, to: f64) {
        engine.behave(mode);
        self.until(to).await;
        engine.behave(Mode::Well);
    }

    async fn overload_all(&self, to: f64) {
        let all: Vec<_> = self.engines.iter().map(|engine| engine.borrow().clone()).collect();
        all.iter().for_each(|engine| engine.behave(Mode::Overload));
        self.until(to).await;
        all.iter().for_each(|engine| engine.behave(Mode::Well));
    }

    async fn reset_often(&self, engine: &Engine, to: f64) {
        while self.stage.now() < to {
            engine.reset();
            sleep(Duration::from_millis(150)).await;
        }
    }

    async fn silence(&self, to: f64) {
        let from = self.stage.now();
        self.discovery.silent_since.set(Some(from));
        self.until(to).await;
        self.discovery.silent_since.set(None);
        let silence = Silence { gateway: None, from, to: self.stage.now() };
        self.stage.ledger.borrow_mut().silences.push(silence);
    }

    /// A new engine in the ledger, which starts now.
    fn cold_engine(&self) -> usize {
        let mut ledger = self.stage.ledger.borrow_mut();
        ledger.engines.push(EngineRecord { cold_since: Some(self.stage.now()), drained: None });
        ledger.engines.len() - 1
    }

    /// The engine drains and stays up, another joins; the first goes.
    async fn replace(&self, n: usize, to: f64) {
        let old = self.engines[n].borrow().clone();
        let number = self.cold_engine();
        let Ok(new) = Engine::start(self.stage.clone(), number).await else { return };
        let version = self.discovery.change(|entries| {
            entries.iter_mut().filter(|e| e.address == old.address).for_each(|e| e.drains = true);
            entries.push(entry(&format!("s-{n}-{number}"), new.address, unix_ms()));
        });
        let drained = Some((self.stage.now(), version));
        self.stage.ledger.borrow_mut().engines[old.number.get()].drained = drained;
        *self.engines[n].borrow_mut() = new;
        self.until(to).await;
        self.discovery.change(|entries| entries.retain(|e| e.address != old.address));
    }

    /// Engines die and are restarted; the list tells their starts.
    async fn crash(&self, numbers: &[usize], to: f64) {
        let engines: Vec<_> = numbers.iter().map(|n| self.engines[*n].borrow().clone()).collect();
        engines.iter().for_each(|engine| engine.crash());
        self.until(to).await;
        engines.iter().for_each(|engine| engine.restart(self.cold_engine()));
        self.discovery.change(|entries| {
            let own = |address| engines.iter().any(|engine| engine.address == address);
            entries.iter_mut().filter(|e| own(e.address)).for_each(|e| e.started = unix_ms());
        });
    }
}

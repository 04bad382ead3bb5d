//! Injects the faults of a schedule at their times, and ends them.

use super::engine::{Behaviour, Engine};
use super::ledger::{ConnectionFlood, Drain, EngineRecord, Relocation, Silence};
use super::process::Process;
use super::run::{listed_engine, SoakRun};
use super::schedule::{
    Fault, PlannedFault, ReloadKind, Reloads, SignalSeries, DEPARTURE_INTERVAL, SILENCE_BEFORE_PAUSE,
};
use rustix::process::Signal;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Grace period in seconds from SIGTERM to SIGKILL, the shortest that the specification allows: the longest deadline of a request, capped
/// at 3 s, plus 0.7 s.
const KILL_AFTER: f64 = 3.7;
/// Grace period in seconds for a process whose listener another process takes over: the longest deadline, which is capped at 5 s in this
/// case and is 4 s in the soak's configuration, plus 0.7 s.
const KILL_AFTER_HOT_RESTART: f64 = 4.7;
/// Time in seconds from the beginning of a pause until clients abandon their requests.
const DEPARTURE_DELAY: f64 = 0.05;
/// Time in seconds from the beginning of a pause until the name service responds again.
const SERVICE_RETURN_DELAY: f64 = 0.1;
/// Time in seconds from the beginning of a pause until an engine begins to drain.
const DRAIN_DELAY: f64 = 0.2;
/// Time in seconds before the end of a pause at which the name service stops responding again.
const SILENCE_LEAD: f64 = 0.1;
/// Number of connections of a flood: more than a process accepts.
const FLOOD_CONNECTIONS: usize = 170;
/// Interval of the checks whether the new process of a hot restart listens.
const HOT_RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of checks whether the new process of a hot restart listens.
const MAX_HOT_RESTART_CHECKS: usize = 500;
/// Interval between two resets of an engine's connections.
const RESET_INTERVAL: Duration = Duration::from_millis(150);

fn unix_milliseconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl SoakRun {
    /// Waits until a fault is due to begin, injects it, and ends it at its planned time.
    pub(super) async fn inject(self: Rc<Self>, planned: PlannedFault) {
        self.wait_until(planned.from).await;
        let to = planned.to;
        match planned.fault {
            Fault::Restart { gateway, signals } => self.restart(gateway, signals).await,
            Fault::HotRestart { gateway, signals } => self.hot_restart(gateway, signals).await,
            Fault::Kill(gateway) => self.signal(gateway, Signal::KILL),
            Fault::Pause(gateway) => self.pause(gateway, to).await,
            Fault::DeparturesInPauses { gateway, pauses, pause } => {
                self.abandon_requests_in_pauses(gateway, pauses, pause).await;
            }
            Fault::PauseInSilence { gateway, engine, pause } => {
                self.pause_in_silence(gateway, engine, pause, to).await;
            }
            Fault::Reload(gateway, reloads) => self.reload(gateway, &reloads).await,
            Fault::SystemCalls(gateway) => self.fail_system_calls(gateway, to).await,
            Fault::ConnectionFlood(gateway) => self.flood(gateway, to).await,
            Fault::SlowNameService(gateway, latency) => self.slow_name_service(gateway, latency, to).await,
            Fault::LossyNameService(gateway, share) => self.lossy_name_service(gateway, share, to).await,
            Fault::DeadFlows(gateway) => self.discovery.views[gateway].block_used_ports(),
            Fault::SilentNameService => self.silence_name_service(to).await,
            Fault::ReplaceEngine(engine) => self.replace_engine(engine, to).await,
            Fault::CrashEngine(engine) => self.crash_engines(&[engine], to).await,
            Fault::CrashHalf => {
                let half: Vec<usize> = (0..self.engines.len()).step_by(2).collect();
                self.crash_engines(&half, to).await;
            }
            Fault::HangEngine(engine) => self.behave_until(&self.engine(engine), Behaviour::Hang, to).await,
            Fault::OverloadEngine(engine) => {
                self.behave_until(&self.engine(engine), Behaviour::Overload, to).await;
            }
            Fault::OverloadAllEngines => self.overload_all_engines(to).await,
            Fault::CloseIdleConnections(engine) => {
                self.behave_until(&self.engine(engine), Behaviour::CloseIdle, to).await;
            }
            Fault::ResetConnections(engine) => self.reset_connections(&self.engine(engine), to).await,
            Fault::ImpatientClients => self.make_clients_impatient(to).await,
        }
    }

    async fn wait_until(&self, at: f64) {
        sleep(Duration::from_secs_f64((at - self.context.now()).max(0.0))).await;
    }

    fn engine(&self, number: usize) -> Rc<Engine> {
        self.engines[number].borrow().clone()
    }

    /// Terminates the processes of a gateway by a series of signals, and by SIGKILL after the shortest grace period that is allowed.
    async fn restart(&self, gateway: usize, signals: SignalSeries) {
        let numbers: Vec<usize> = self.processes[gateway].borrow().iter().map(Process::number).collect();
        self.send_reloads(gateway, signals).await;
        self.terminate(gateway, &numbers, signals, KILL_AFTER).await;
    }

    async fn send_reloads(&self, gateway: usize, signals: SignalSeries) {
        for _ in 0..signals.reloads {
            self.signal(gateway, Signal::HUP);
            sleep(Duration::from_secs_f64(signals.interval)).await;
        }
    }

    /// Sends SIGTERMs to the processes of a gateway with these numbers, each followed by a SIGHUP to all processes of the gateway. Sends
    /// SIGKILL to those that still run `kill_after` seconds after the first SIGTERM, even if a process was paused in between.
    async fn terminate(&self, gateway: usize, numbers: &[usize], signals: SignalSeries, kill_after: f64) {
        let kill_at = self.context.now() + kill_after;
        for _ in 0..signals.terminations {
            self.for_each_process(gateway, numbers, |process| process.signal(Signal::TERM));
            sleep(Duration::from_secs_f64(signals.interval)).await;
            self.signal(gateway, Signal::HUP);
        }
        self.wait_until(kill_at).await;
        self.for_each_process(gateway, numbers, Process::kill_overdue);
    }

    fn for_each_process(&self, gateway: usize, numbers: &[usize], act: impl Fn(&Process)) {
        let processes = self.processes[gateway].borrow();
        processes.iter().filter(|process| numbers.contains(&process.number())).for_each(act);
    }

    async fn pause(&self, gateway: usize, to: f64) {
        self.signal(gateway, Signal::STOP);
        self.wait_until(to).await;
        self.signal(gateway, Signal::CONT);
    }

    /// Pauses the process of a gateway repeatedly. In each pause, clients of the gateway abandon their requests.
    async fn abandon_requests_in_pauses(&self, gateway: usize, pauses: u32, pause: f64) {
        for _ in 0..pauses {
            self.signal(gateway, Signal::STOP);
            sleep(Duration::from_secs_f64(DEPARTURE_DELAY)).await;
            self.context.departures[gateway].send_modify(|departures| *departures += 1);
            sleep(Duration::from_secs_f64(pause - DEPARTURE_DELAY)).await;
            self.signal(gateway, Signal::CONT);
            sleep(Duration::from_secs_f64(DEPARTURE_INTERVAL)).await;
        }
    }

    /// Stops the name service's responses to a gateway and pauses the gateway's process. During the pause the name service responds for a
    /// while, and an engine begins to drain.
    async fn pause_in_silence(self: &Rc<Self>, gateway: usize, engine: usize, pause: f64, to: f64) {
        let begun = self.context.now();
        let paused = begun + SILENCE_BEFORE_PAUSE;
        let resumed = paused + pause;
        self.silence(gateway, begun, paused + SERVICE_RETURN_DELAY);
        self.wait_until(paused).await;
        self.signal(gateway, Signal::STOP);
        self.wait_until(paused + DRAIN_DELAY).await;
        let drain = spawn_local(self.clone().drain(engine, to));
        self.wait_until(resumed - SILENCE_LEAD).await;
        self.silence(gateway, resumed - SILENCE_LEAD, to);
        self.wait_until(resumed).await;
        self.signal(gateway, Signal::CONT);
        let _ = drain.await;
    }

    async fn drain(self: Rc<Self>, engine: usize, to: f64) {
        self.replace_engine(engine, to).await;
    }

    /// Makes the name service respond to no poll of a gateway until `to`, and records this silence.
    fn silence(&self, gateway: usize, from: f64, to: f64) {
        self.discovery.views[gateway].silent_until.set(to);
        self.context.ledger.borrow_mut().silences.push(Silence { gateway: Some(gateway), from, to });
    }

    /// Starts a second process of a gateway, and terminates the first one when the second one listens.
    async fn hot_restart(&self, gateway: usize, signals: SignalSeries) {
        let running = self.processes[gateway].borrow().len();
        if running != 1 || self.start_process(gateway).is_err() {
            return;
        }
        self.send_reloads(gateway, signals).await;
        for _ in 0..MAX_HOT_RESTART_CHECKS {
            sleep(HOT_RESTART_CHECK_INTERVAL).await;
            let previous = match &self.processes[gateway].borrow()[..] {
                [previous, new] if new.is_listening() => previous.number(),
                [_, _] => continue,
                _ => return,
            };
            return self.terminate(gateway, &[previous], signals, KILL_AFTER_HOT_RESTART).await;
        }
    }

    async fn reload(&self, gateway: usize, reloads: &Reloads) {
        for _ in 0..reloads.count {
            self.change_name_service(gateway, reloads.kind);
            let _ = self.write_configuration(gateway);
            self.signal(gateway, Signal::HUP);
            sleep(Duration::from_secs_f64(reloads.interval)).await;
        }
        if reloads.kind != ReloadKind::Unchanged {
            let at = self.context.now() - reloads.interval;
            self.context.ledger.borrow_mut().relocations.push(Relocation { gateway, at });
        }
    }

    fn change_name_service(&self, gateway: usize, kind: ReloadKind) {
        let view = &self.discovery.views[gateway];
        let now = self.context.now();
        match kind {
            ReloadKind::Unchanged => {}
            ReloadKind::ToHealthyAddress => {
                view.both_respond.set(true);
                view.configured_index.set(1 - view.configured_index.get());
            }
            ReloadKind::ToSilentAddress(silence) => {
                view.both_respond.set(false);
                view.configured_index.set(1 - view.configured_index.get());
                self.silence(gateway, now, now + silence);
            }
        }
    }

    async fn fail_system_calls(&self, gateway: usize, to: f64) {
        self.switch_faults(gateway, true);
        self.wait_until(to).await;
        self.switch_faults(gateway, false);
    }

    /// Exhausts a gateway's file descriptors with idle connections until `to`.
    async fn flood(&self, gateway: usize, to: f64) {
        let from = self.context.now();
        let mut connections = Vec::new();
        for _ in 0..FLOOD_CONNECTIONS {
            connections.extend(TcpStream::connect(self.context.addresses[gateway]).await.ok());
        }
        self.wait_until(to).await;
        drop(connections);
        let flood = ConnectionFlood { gateway, from, to: self.context.now() };
        self.context.ledger.borrow_mut().connection_floods.push(flood);
    }

    async fn slow_name_service(&self, gateway: usize, latency: f64, to: f64) {
        self.discovery.views[gateway].latency.set(latency);
        self.wait_until(to).await;
        self.discovery.views[gateway].latency.set(0.0);
    }

    async fn lossy_name_service(&self, gateway: usize, share: f64, to: f64) {
        self.discovery.views[gateway].invalid_share.set(share);
        self.wait_until(to).await;
        self.discovery.views[gateway].invalid_share.set(0.0);
    }

    async fn silence_name_service(&self, to: f64) {
        let from = self.context.now();
        self.discovery.silent_since.set(Some(from));
        self.wait_until(to).await;
        self.discovery.silent_since.set(None);
        let silence = Silence { gateway: None, from, to: self.context.now() };
        self.context.ledger.borrow_mut().silences.push(silence);
    }

    async fn make_clients_impatient(&self, to: f64) {
        self.context.clients_are_impatient.set(true);
        self.wait_until(to).await;
        self.context.clients_are_impatient.set(false);
    }

    async fn behave_until(&self, engine: &Engine, behaviour: Behaviour, to: f64) {
        engine.set_behaviour(behaviour);
        self.wait_until(to).await;
        engine.set_behaviour(Behaviour::Serve);
    }

    async fn overload_all_engines(&self, to: f64) {
        let engines: Vec<_> = (0..self.engines.len()).map(|number| self.engine(number)).collect();
        for engine in &engines {
            engine.set_behaviour(Behaviour::Overload);
        }
        self.wait_until(to).await;
        for engine in &engines {
            engine.set_behaviour(Behaviour::Serve);
        }
    }

    async fn reset_connections(&self, engine: &Engine, to: f64) {
        while self.context.now() < to {
            engine.reset();
            sleep(RESET_INTERVAL).await;
        }
    }

    /// Records an engine that starts cold at the present time. Returns its number.
    fn record_cold_engine(&self) -> usize {
        let mut ledger = self.context.ledger.borrow_mut();
        ledger.engines.push(EngineRecord { cold_since: Some(self.context.now()), drain: None });
        ledger.engines.len() - 1
    }

    /// Marks an engine as draining in the endpoint list, adds a new engine in its place, and removes the old one from the list at `to`.
    async fn replace_engine(&self, position: usize, to: f64) {
        let old = self.engine(position);
        let number = self.record_cold_engine();
        let Ok(new) = Engine::start(self.context.clone(), number).await else { return };
        let version = self.discovery.change_list(|engines| {
            for engine in engines.iter_mut().filter(|engine| engine.address == old.address) {
                engine.is_draining = true;
            }
            engines.push(listed_engine(&format!("s-{position}-{number}"), new.address, unix_milliseconds()));
        });
        let drain = Some(Drain { at: self.context.now(), version });
        self.context.ledger.borrow_mut().engines[old.number.get()].drain = drain;
        *self.engines[position].borrow_mut() = new;
        self.wait_until(to).await;
        self.discovery.change_list(|engines| engines.retain(|engine| engine.address != old.address));
    }

    /// Crashes engines, restarts them at `to`, and updates their start times in the endpoint list.
    async fn crash_engines(&self, positions: &[usize], to: f64) {
        let crashed: Vec<_> = positions.iter().map(|position| self.engine(*position)).collect();
        for engine in &crashed {
            engine.crash();
        }
        self.wait_until(to).await;
        for engine in &crashed {
            engine.restart(self.record_cold_engine());
        }
        self.discovery.change_list(|engines| {
            let is_crashed = |address| crashed.iter().any(|engine| engine.address == address);
            for engine in engines.iter_mut().filter(|engine| is_crashed(engine.address)) {
                engine.started = unix_milliseconds();
            }
        });
    }
}

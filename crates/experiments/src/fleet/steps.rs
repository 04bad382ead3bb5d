//! Execution of the planned steps of a scenario.

use super::gateway::Span;
use super::plan::{PlannedStep, Step};
use super::run::{EngineStart, FleetRun};
use super::setup::unix_milliseconds;
use crate::harness::Failure;
use crate::scenario::FaultKind;
use rustix::process::Signal;
use starlingplank_test_doubles::engine::ListenerMode;
use starlingplank_test_doubles::relay::PathFault;
use std::time::Duration;

/// Times after a kill, and after the end of a pause, within which clients may lose their in-flight requests, in seconds.
const KILL_DISRUPTION: f64 = 1.0;
const RESUME_DISRUPTION: f64 = 0.2;

impl FleetRun<'_> {
    pub(super) fn perform(&mut self, planned: &PlannedStep) -> Result<(), Failure> {
        let now = self.now();
        match planned.step {
            Step::StartGateway(gateway) => {
                self.start_gateway(gateway)?;
                self.max_start_delay = self.max_start_delay.max(now - planned.at);
            }
            Step::KillGateway(gateway) => self.kill_gateway(gateway, now)?,
            Step::PauseGateway(gateway) => self.pause_gateway(gateway, now)?,
            Step::ResumeGateway(gateway) => self.resume_gateway(gateway, now)?,
            Step::BeginPathFault { gateway, kind, amount } => {
                self.gateways.borrow()[gateway].path.update_faults(|fault| begin_fault(fault, kind, amount));
            }
            Step::EndPathFault { gateway, kind } => {
                self.gateways.borrow()[gateway].path.update_faults(|fault| end_fault(fault, kind));
            }
            Step::BeginEnginePathFault { engine, kind: FaultKind::EngineReset, .. } => {
                self.engine_paths[engine].reset();
            }
            Step::BeginEnginePathFault { engine, kind, amount } => {
                self.engine_paths[engine].update_faults(|fault| begin_fault(fault, kind, amount));
            }
            Step::EndEnginePathFault { kind: FaultKind::EngineReset, .. } => {}
            Step::EndEnginePathFault { engine, kind } => {
                self.engine_paths[engine].update_faults(|fault| end_fault(fault, kind));
            }
            Step::Drain => self.drain_first_engine(),
            Step::StopEngine(engine) => {
                self.engines.all[engine].set_listener_mode(ListenerMode::Refusing);
                self.engines.all[engine].stop();
            }
            Step::StartEngine(engine) => self.start_engine(engine, now),
            Step::EndEngineFault(engine) => self.engines.all[engine].set_listener_mode(ListenerMode::Serving),
        }
        Ok(())
    }

    fn start_gateway(&mut self, gateway: usize) -> Result<(), Failure> {
        self.gateways.borrow_mut()[gateway].start(gateway, self.options.program, &self.listening)
    }

    fn kill_gateway(&mut self, gateway: usize, now: f64) -> Result<(), Failure> {
        {
            let killed = &mut self.gateways.borrow_mut()[gateway];
            killed.kill();
            killed.disruptions.push(Span { from: now, to: now + KILL_DISRUPTION });
        }
        self.start_gateway(gateway)
    }

    fn pause_gateway(&mut self, gateway: usize, now: f64) -> Result<(), Failure> {
        let paused = &mut self.gateways.borrow_mut()[gateway];
        paused.signal(Signal::STOP)?;
        paused.disruptions.push(Span { from: now, to: f64::INFINITY });
        Ok(())
    }

    fn resume_gateway(&mut self, gateway: usize, now: f64) -> Result<(), Failure> {
        let resumed = &mut self.gateways.borrow_mut()[gateway];
        resumed.signal(Signal::CONT)?;
        if let Some(pause) = resumed.disruptions.last_mut() {
            pause.to = now + RESUME_DISRUPTION;
        }
        Ok(())
    }

    fn drain_first_engine(&mut self) {
        self.endpoint_list[0].is_draining = true;
        self.publish();
        self.drain_version = Some(self.version);
    }

    fn start_engine(&mut self, engine: usize, now: f64) {
        self.engines.all[engine].restart();
        self.engines.all[engine].set_listener_mode(ListenerMode::Serving);
        self.endpoint_list[engine].started = unix_milliseconds().floor();
        self.engine_starts[engine] = EngineStart { version: self.version + 1, at: now };
        self.publish();
    }

    /// Publishes the endpoint list as its next version.
    fn publish(&mut self) {
        self.version += 1;
        self.name_service.publish(self.version, self.endpoint_list.clone());
    }
}

fn begin_fault(fault: &mut PathFault, kind: FaultKind, amount: f64) {
    match kind {
        FaultKind::CutToService => fault.cut_to_server = true,
        FaultKind::CutFromService => fault.cut_to_client = true,
        FaultKind::Loss => fault.loss = amount,
        FaultKind::Delay | FaultKind::EngineDelay => fault.delay = Duration::from_secs_f64(amount),
        _ => fault.set_cut(true),
    }
}

fn end_fault(fault: &mut PathFault, kind: FaultKind) {
    match kind {
        FaultKind::Loss => fault.loss = 0.0,
        FaultKind::Delay | FaultKind::EngineDelay => fault.delay = Duration::ZERO,
        _ => fault.set_cut(false),
    }
}

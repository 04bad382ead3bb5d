//! An engine in virtual time that shares its cores among all that it executes. Above two threads for each core its total throughput
//! falls.

use starlingplank::core::AttemptId;
use starlingplank::interface::Milliseconds;
use std::collections::BTreeMap;

pub(crate) const CORES: f64 = 8.0;
/// The time of a step.
pub(crate) const STEP: Milliseconds = 20.0;

/// Identifies an execution: the gateway's number and process, and its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ExecutionId {
    pub gateway: usize,
    pub incarnation: u32,
    pub attempt: AttemptId,
}

/// The work of an execution, in milliseconds on one core, and its threads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Work {
    pub threads: f64,
    pub work: f64,
}

struct Execution {
    total: Work,
    work_left: f64,
}

/// An execution that has ended, with its whole work.
pub(crate) struct Finished {
    pub id: ExecutionId,
    pub work: f64,
}

#[derive(Default)]
pub(crate) struct SimulatedEngine {
    executions: BTreeMap<ExecutionId, Execution>,
    pub utilization: f64,
}

impl SimulatedEngine {
    pub(crate) fn threads(&self) -> f64 {
        self.executions.values().map(|execution| execution.total.threads).sum()
    }

    pub(crate) fn execute(&mut self, id: ExecutionId, work: Work) {
        self.executions.insert(id, Execution { total: work, work_left: work.work });
    }

    /// Whether there was such an execution.
    pub(crate) fn abort(&mut self, id: ExecutionId) -> bool {
        self.executions.remove(&id).is_some()
    }

    pub(crate) fn drop_executions_of(&mut self, gateway: usize) {
        self.executions.retain(|id, _| id.gateway != gateway);
    }

    /// Works for a step, and returns what has ended.
    pub(crate) fn advance(&mut self, capacity: f64) -> Vec<Finished> {
        let threads = self.threads();
        let throughput = capacity * (2.0 * CORES / threads.max(1.0)).min(1.0).powi(2);
        let thread_speed = (throughput / threads.max(1e-9)).min(1.0);
        self.utilization = thread_speed * threads / CORES;
        for execution in self.executions.values_mut() {
            execution.work_left -= thread_speed * execution.total.threads * STEP;
        }
        let ended = self.executions.iter().filter(|(_, execution)| execution.work_left <= 0.0);
        let finished =
            ended.map(|(id, execution)| Finished { id: *id, work: execution.total.work }).collect();
        self.executions.retain(|_, execution| execution.work_left > 0.0);
        finished
    }
}

//! A simulated engine in virtual time. It shares its cores among all executions. With more than two threads per core, its total
//! throughput decreases.

use starlingplank::core::AttemptId;
use starlingplank::interface::Milliseconds;
use std::collections::BTreeMap;

pub(crate) const CORES: f64 = 8.0;
/// Duration of a simulation step, in milliseconds.
pub(crate) const STEP: Milliseconds = 20.0;

/// Identifies an execution by its gateway, the incarnation of that gateway's process, and the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ExecutionId {
    pub gateway: usize,
    pub incarnation: u32,
    pub attempt: AttemptId,
}

/// The work of an execution, in milliseconds on one core, and its number of threads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Work {
    pub threads: f64,
    pub work: f64,
}

struct Execution {
    total: Work,
    remaining_work: f64,
}

/// An execution that has ended, and its total work in milliseconds on one core.
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
        self.executions.insert(id, Execution { total: work, remaining_work: work.work });
    }

    /// Aborts an execution. Returns whether it was in progress.
    pub(crate) fn abort(&mut self, id: ExecutionId) -> bool {
        self.executions.remove(&id).is_some()
    }

    pub(crate) fn drop_executions_of(&mut self, gateway: usize) {
        self.executions.retain(|id, _| id.gateway != gateway);
    }

    /// Advances the engine by one step. Returns the executions that have ended.
    pub(crate) fn advance(&mut self, capacity: f64) -> Vec<Finished> {
        let threads = self.threads();
        let throughput = capacity * (2.0 * CORES / threads.max(1.0)).min(1.0).powi(2);
        let thread_speed = (throughput / threads.max(1e-9)).min(1.0);
        self.utilization = thread_speed * threads / CORES;
        for execution in self.executions.values_mut() {
            execution.remaining_work -= thread_speed * execution.total.threads * STEP;
        }
        let ended = self.executions.iter().filter(|(_, execution)| execution.remaining_work <= 0.0);
        let finished =
            ended.map(|(id, execution)| Finished { id: *id, work: execution.total.work }).collect();
        self.executions.retain(|_, execution| execution.remaining_work > 0.0);
        finished
    }
}

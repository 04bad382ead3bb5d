//! Tasks that the process cannot do without. One that ends by a panic would otherwise be noticed by nobody: the process
//! would live on without listening, or without a list of engines.

use std::future::Future;
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Failures that wait to be handled: the first ends the process, further ones are only logged.
const WAITING: usize = 8;

/// The name of a task that ended by a panic.
pub type TaskName = &'static str;

/// Starts tasks, and tells of those that fail.
#[derive(Debug, Clone)]
pub struct Tasks {
    failures: Sender<TaskName>,
}

impl Tasks {
    /// Without a task yet; what is received are the names of the tasks that failed.
    pub fn new() -> (Self, Receiver<TaskName>) {
        let (failures, failed) = channel(WAITING);
        (Self { failures }, failed)
    }

    /// Starts a task on this thread that the process cannot do without. It may end, but not by a panic.
    pub fn spawn(&self, name: TaskName, task: impl Future<Output = ()> + 'static) {
        let failures = self.failures.clone();
        let running = tokio::task::spawn_local(task);
        tokio::task::spawn_local(async move {
            if running.await.is_err_and(|e| e.is_panic()) {
                tracing::error!("the task {name:?} has failed");
                // Where the queue is full the process ends already.
                let _ = failures.try_send(name);
            }
        });
    }
}

#[cfg(test)]
mod tests;

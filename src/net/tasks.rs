//! Tasks that the process cannot do without. A panic that ends one is reported; otherwise the process would run on without
//! listening, or without an endpoint list.

use std::future::Future;
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Failures that are queued at most: the first ends the process, further ones are only logged.
const MAX_QUEUED_FAILURES: usize = 8;

/// The name of a task that ended by a panic.
pub type TaskName = &'static str;

/// Starts tasks, and reports those that fail.
#[derive(Debug, Clone)]
pub struct Tasks {
    failures: Sender<TaskName>,
}

impl Tasks {
    /// No task yet. The receiver gets the names of the tasks that fail.
    pub fn new() -> (Self, Receiver<TaskName>) {
        let (failures, failed) = channel(MAX_QUEUED_FAILURES);
        (Self { failures }, failed)
    }

    /// Starts a task on this thread. Its end is no failure, unless it is by a panic.
    pub fn spawn(&self, name: TaskName, task: impl Future<Output = ()> + 'static) {
        let failures = self.failures.clone();
        let running = tokio::task::spawn_local(task);
        tokio::task::spawn_local(async move {
            if running.await.is_err_and(|error| error.is_panic()) {
                tracing::error!("the task {name:?} has failed");
                // If the queue is full, the process is ending already.
                let _ = failures.try_send(name);
            }
        });
    }
}

#[cfg(test)]
mod tests;

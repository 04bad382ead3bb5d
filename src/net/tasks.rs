//! Required tasks. A panic in one of them is reported; otherwise the process would keep running without listening or without
//! updates of the endpoint list.

use std::future::Future;
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Maximum number of queued failures. The first failure shuts the process down; further ones are only logged.
const MAX_QUEUED_FAILURES: usize = 8;

/// Name of a required task, for the log.
pub type TaskName = &'static str;

/// Starts required tasks, and reports those that fail.
#[derive(Debug, Clone)]
pub struct Tasks {
    failures: Sender<TaskName>,
}

impl Tasks {
    /// Returns a value without tasks, and a receiver of the names of tasks that fail.
    pub fn new() -> (Self, Receiver<TaskName>) {
        let (failures, failed) = channel(MAX_QUEUED_FAILURES);
        (Self { failures }, failed)
    }

    /// Starts a task on the current thread. A task that returns has not failed; one that panics has.
    pub fn spawn(&self, name: TaskName, task: impl Future<Output = ()> + 'static) {
        let failures = self.failures.clone();
        let running = tokio::task::spawn_local(task);
        tokio::task::spawn_local(async move {
            if running.await.is_err_and(|error| error.is_panic()) {
                tracing::error!("the task {name:?} has failed");
                // If the queue is full, the process is already shutting down.
                let _ = failures.try_send(name);
            }
        });
    }
}

#[cfg(test)]
mod tests;

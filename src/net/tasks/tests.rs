use super::*;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn panicked_task_is_reported_by_name() {
    run(async {
        let (tasks, mut failed) = Tasks::new();
        tasks.spawn("one", async { panic!("for the test") });
        assert_eq!(failed.recv().await, Some("one"));
    });
}

#[test]
fn task_that_returns_is_not_reported() {
    run(async {
        let (tasks, mut failed) = Tasks::new();
        tasks.spawn("one", async {});
        drop(tasks);
        assert_eq!(failed.recv().await, None);
    });
}

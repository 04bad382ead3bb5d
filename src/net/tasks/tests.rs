use super::*;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn task_that_panics_is_told_by_its_name() {
    run(async {
        let (tasks, mut failed) = Tasks::new();
        tasks.spawn("one", async { panic!("for the test") });
        assert_eq!(failed.recv().await, Some("one"));
    });
}

#[test]
fn task_that_ends_is_no_failure() {
    run(async {
        let (tasks, mut failed) = Tasks::new();
        tasks.spawn("one", async {});
        drop(tasks);
        assert_eq!(failed.recv().await, None);
    });
}

use super::*;
use std::time::Instant as StdInstant;
use tokio::task::LocalSet;

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Uses the processor for this time.
fn work(time: Duration) {
    let started_at = StdInstant::now();
    while started_at.elapsed() < time {
        std::hint::spin_loop();
    }
}

/// Duration of a step, shorter than a slice.
const STEP: Duration = Duration::from_micros(50);

/// Works without end, in short steps.
async fn work_without_end(share: Rc<WorkShare>, steps: Rc<Cell<usize>>) {
    loop {
        share.turn().await;
        work(STEP);
        steps.set(steps.get() + 1);
    }
}

fn spawn_work_without_end(scheduler: &Rc<FairScheduler>, port: u16) -> Rc<Cell<usize>> {
    let (share, steps) = (scheduler.new_connection(peer(port)), Rc::<Cell<usize>>::default());
    spawn_local(share.clone().run(work_without_end(share, steps.clone())));
    steps
}

/// However many tasks work without end, another task runs again after about one round.
#[test]
fn other_tasks_run_between_the_slices_of_tasks_that_work_without_end() {
    run(async {
        let scheduler = FairScheduler::new(Rc::default(), Rc::default());
        let steps: Vec<_> = (1..=100).map(|port| spawn_work_without_end(&scheduler, port)).collect();
        // The credit of new connections is used up after some rounds.
        while scheduler.without_credit.len() < 90 {
            yield_now().await;
        }
        // Tasks with credit use a round, the last of them and the one with a granted slice each up to a slice more.
        let max_steps = (2 * MAX_ROUND).as_micros() / STEP.as_micros();
        for round in 0..50 {
            let before: usize = steps.iter().map(|steps| steps.get()).sum();
            yield_now().await;
            let after: usize = steps.iter().map(|steps| steps.get()).sum();
            assert!((after - before) as u128 <= max_steps, "{} steps in round {round}", after - before);
        }
    });
}

/// Each of the tasks that work without end gets about the same.
#[test]
fn slices_are_granted_in_turn() {
    run(async {
        let scheduler = FairScheduler::new(Rc::default(), Rc::default());
        let steps: Vec<_> = (1..=8).map(|port| spawn_work_without_end(&scheduler, port)).collect();
        for _ in 0..400 {
            yield_now().await;
        }
        let steps: Vec<usize> = steps.iter().map(|steps| steps.get()).collect();
        let (least, most) = (steps.iter().min().expect("some"), steps.iter().max().expect("some"));
        assert!(*least > 0 && most / least < 4, "{steps:?}");
    });
}

/// More tasks with credit than a round has time for: each runs, also the last ones.
#[test]
fn tasks_with_credit_take_turns() {
    run(async {
        let scheduler = FairScheduler::new(Rc::default(), Rc::default());
        let steps: Vec<_> = (1..=60)
            .map(|_| {
                let share = WorkShare::new(&scheduler, Task::new(TaskKind::Listener), Some(f64::INFINITY));
                let steps = Rc::<Cell<usize>>::default();
                spawn_local(share.clone().run(work_without_end(share, steps.clone())));
                steps
            })
            .collect();
        for _ in 0..60 {
            yield_now().await;
        }
        let idle = steps.iter().filter(|steps| steps.get() == 0).count();
        assert_eq!(idle, 0, "{idle} of 60 tasks did not run");
    });
}

/// A task that has used less than its share does not wait behind those that work without end.
#[test]
fn task_with_credit_does_not_wait_in_the_queue() {
    run(async {
        let scheduler = FairScheduler::new(Rc::default(), Rc::default());
        let usual = WorkShare::new(&scheduler, Task::new(TaskKind::Listener), Some(MAX_CREDIT_SECONDS));
        for port in 1..=100 {
            spawn_work_without_end(&scheduler, port);
        }
        while scheduler.without_credit.len() < 90 {
            yield_now().await;
        }
        let rounds = Rc::<Cell<usize>>::default();
        let task_rounds = rounds.clone();
        let task = spawn_local(usual.clone().run(async move {
            usual.turn().await;
            task_rounds.get()
        }));
        while !task.is_finished() {
            rounds.set(rounds.get() + 1);
            yield_now().await;
        }
        assert!(task.await.expect("finished") <= 4);
    });
}

#[test]
fn task_that_ends_while_it_waits_is_passed_over() {
    run(async {
        let scheduler = FairScheduler::new(Rc::default(), Rc::default());
        let (gone, other) = (scheduler.new_connection(peer(1)), scheduler.new_connection(peer(2)));
        for share in [&gone, &other] {
            share.deduct(1.0);
            share.place.set(Place::Queued);
            scheduler.enqueue(share, false);
        }
        drop(gone);
        let task = spawn_local(other.clone().run(async move { other.turn().await }));
        task.await.expect("granted");
    });
}

/// A wait that is dropped and begun again keeps its place.
#[test]
fn dropped_wait_keeps_its_place() {
    run(async {
        let scheduler = FairScheduler::new(Rc::default(), Rc::default());
        let share = scheduler.new_connection(peer(1));
        share.deduct(1.0);
        let task = spawn_local(share.clone().run(async move {
            for _ in 0..3 {
                let _ = tokio::time::timeout(Duration::ZERO, share.turn()).await;
            }
            share.turn().await;
        }));
        task.await.expect("granted");
    });
}

/// New connections have no credit once those that came shortly before them have used the common one.
#[test]
fn many_new_connections_share_their_first_credit() {
    let scheduler = FairScheduler::new(Rc::default(), Rc::default());
    let now = Instant::now();
    let shares: Vec<_> = (1..=200).map(|port| scheduler.new_connection(peer(port))).collect();
    let with_credit = shares.iter().filter(|share| share.has_credit(now, Duration::ZERO)).count();
    assert!((1..200).contains(&with_credit), "{with_credit} of 200");
}

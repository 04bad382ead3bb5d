use super::*;

fn client(port: u16) -> Task {
    Task::of_peer(TaskKind::Client, SocketAddr::from(([127, 0, 0, 1], port)))
}

#[test]
fn time_is_recorded_by_kind() {
    let profile = LoopProfile::default();
    profile.record(client(1), Duration::from_millis(3));
    profile.record(client(2), Duration::from_millis(5));
    profile.record(Task::new(TaskKind::Reducer), Duration::from_millis(2));
    let (total, longest) = (profile.total_by_kind(), profile.longest_by_kind());
    assert_eq!(total[TaskKind::Client as usize], Duration::from_millis(8));
    assert_eq!(longest[TaskKind::Client as usize], Duration::from_millis(5));
    assert_eq!(total[TaskKind::Reducer as usize], Duration::from_millis(2));
    assert_eq!(total[TaskKind::Engine as usize], Duration::ZERO);
}

#[test]
fn longest_task_of_a_cycle_is_named() {
    let profile = LoopProfile::default();
    profile.record(client(1), Duration::from_millis(3));
    profile.record(client(2), Duration::from_millis(5));
    profile.record(client(1), Duration::from_millis(4));
    let longest = profile.cycle.borrow().longest;
    assert_eq!(longest.map(|(_, task)| task.to_string()).as_deref(), Some("client 127.0.0.1:2"));
    profile.end_cycle(Duration::ZERO);
    assert_eq!(profile.cycle.borrow().longest, None);
    assert_eq!(profile.longest_cycle(), Duration::from_millis(5));
}

#[test]
fn cycle_without_tasks_takes_as_long_as_its_delay() {
    let profile = LoopProfile::default();
    profile.end_cycle(Duration::from_millis(7));
    profile.end_cycle(Duration::ZERO);
    assert_eq!(profile.longest_cycle(), Duration::from_millis(7));
}

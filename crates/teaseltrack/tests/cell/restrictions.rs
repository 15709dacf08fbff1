//! Long-running tasks that wait beside workers with room for them.

use teaseltrack::{
    cell::{
        CellEvent, StoredJob,
        job::Stage,
        progress::{JobProgress, JobState, TaskProgress},
        protocol::{EndCause, TaskName},
    },
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{CAPACITY, Fleet, STEP, long_running, stage, stored_job};

const JOB: &str = "0000000000000001";
const OTHER_JOB: &str = "0000000000000002";

/// Time within which a long-running task must run while a worker has room for it: the platform's
/// 3 s, less the time that a commit and a start take.
const MAX_WAIT_MS: u64 = 2_500;

fn fleet(instance_count: usize) -> Fleet {
    let mut fleet = Fleet::new(instance_count, 1);
    fleet.is_every_start_answered = true;
    fleet.max_run_ms = 60_000;
    fleet.run_steps(4);
    fleet
}

fn with_cpu(cpu_milli: u64, stage: Stage) -> Stage {
    Stage { resources: Resources { cpu_milli, memory_mib: 100, accelerators: 0 }, ..stage }
}

fn running_count(fleet: &Fleet, job: &str) -> usize {
    let tasks = fleet.instances.iter().flat_map(|instance| instance.running.keys());
    tasks.filter(|task| task.job == job).count()
}

/// Ends all runs of a job as failed.
fn fail_runs(fleet: &mut Fleet, job: &str) {
    for instance in &mut fleet.instances {
        let runs: Vec<TaskName> =
            instance.running.keys().filter(|task| task.job == job).cloned().collect();
        runs.iter().for_each(|task| instance.end(task, EndCause::Failed));
    }
}

/// Time until as many tasks of the job run; `None` if they don't within 20 s.
fn wait_for(
    fleet: &mut Fleet,
    job: &str,
    count: usize,
    mut change: impl FnMut(&mut Fleet, u64),
) -> Option<u64> {
    let step_ms = STEP.as_millis() as u64;
    (0..20_000 / step_ms).map(|step| step * step_ms).find(|elapsed_ms| {
        change(fleet, *elapsed_ms);
        fleet.step();
        running_count(fleet, job) >= count
    })
}

fn assert_short(wait_ms: Option<u64>) {
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms <= MAX_WAIT_MS), "waited for {wait_ms:?} ms");
}

/// Guards against a long-running task that waits although all workers have room for it, because runs
/// fail on each of them.
#[test]
fn plan_places_a_serving_task_while_all_workers_are_on_probation() {
    let mut fleet = fleet(2);
    fleet.submit(stored_job(JOB, vec![with_cpu(500, long_running(1))]));
    for number in 0..6 {
        let others = Stage { max_per_worker: Some(1), ..with_cpu(500, long_running(2)) };
        fleet.submit(stored_job(&format!("1{number:015x}"), vec![others]));
    }
    fleet.run_steps(40);
    for number in 0..3 {
        fail_runs(&mut fleet, &format!("1{number:015x}"));
    }
    fail_runs(&mut fleet, JOB);
    // Further runs that are there already prolong the probation.
    let wait_ms = wait_for(&mut fleet, JOB, 1, |fleet, elapsed_ms| {
        if [2_000, 4_000, 6_000].contains(&elapsed_ms) {
            fail_runs(fleet, &format!("1{:015x}", 2 + elapsed_ms / 2_000));
        }
    });
    assert_short(wait_ms);
}

/// Guards against a long-running task that is tried again where it has just failed, while another
/// worker that is on probation as well has room for it.
#[test]
fn plan_places_a_failed_serving_task_on_another_restricted_worker() {
    let mut fleet = fleet(2);
    for number in 0..3 {
        let others = Stage { max_per_worker: Some(1), ..with_cpu(500, long_running(2)) };
        fleet.submit(stored_job(&format!("1{number:015x}"), vec![others]));
    }
    fleet.submit(stored_job(JOB, vec![with_cpu(500, long_running(1))]));
    fleet.run_steps(40);
    let runs_job = |fleet: &Fleet, index: usize| {
        fleet.instances[index].running.keys().any(|task| task.job == JOB)
    };
    let first = usize::from(runs_job(&fleet, 1));
    for number in 0..3 {
        fail_runs(&mut fleet, &format!("1{number:015x}"));
    }
    fail_runs(&mut fleet, JOB);
    assert_short(wait_for(&mut fleet, JOB, 1, |_, _| {}));
    assert!(runs_job(&fleet, 1 - first), "the other worker hasn't failed it");
}

/// Guards against the reserve of batch tasks on a worker on probation, which long-running tasks that have
/// waited for long would take before batch tasks may use the worker again.
#[test]
fn plan_leaves_the_reserve_on_probation_to_batch_tasks() {
    let mut fleet = fleet(1);
    let failing = |number: usize| format!("1{number:015x}");
    for number in 0..3 {
        fleet.submit(stored_job(&failing(number), vec![with_cpu(10, long_running(1))]));
    }
    fleet.run_steps(10);
    for number in 0..3 {
        fail_runs(&mut fleet, &failing(number));
        fleet.cancel(&failing(number));
    }
    // Leaves less than the reserve, and there is no room for a second one.
    fleet.submit(stored_job(JOB, vec![with_cpu(7_800, long_running(1))]));
    fleet.run_steps(55);
    assert_eq!(running_count(&fleet, JOB), 0, "the worker is on probation for 3 s");
    fleet.run_steps(25);
    assert_eq!(running_count(&fleet, JOB), 1);
}

/// Guards against a worker that gets no tasks because one task fails there again and again.
#[test]
fn update_worker_health_counts_each_failing_task_once() {
    let mut fleet = fleet(1);
    fleet.submit(stored_job(JOB, vec![with_cpu(500, long_running(1))]));
    for _ in 0..3 {
        fleet.run_steps(10);
        assert_eq!(running_count(&fleet, JOB), 1);
        fail_runs(&mut fleet, JOB);
    }
    fleet.step();
    fleet.submit(stored_job(OTHER_JOB, vec![with_cpu(500, stage(1))]));
    fleet.run_steps(5);
    assert_eq!(running_count(&fleet, OTHER_JOB), 1);
}

/// Guards against a worker that gets no tasks although the runs there have been done since its last
/// failure.
#[test]
fn update_worker_health_ends_probation_with_a_run_that_is_done() {
    let mut fleet = fleet(1);
    for number in 0..3 {
        fleet.submit(stored_job(&format!("1{number:015x}"), vec![with_cpu(500, long_running(1))]));
    }
    fleet.submit(stored_job(JOB, vec![with_cpu(500, stage(1))]));
    fleet.run_steps(10);
    for number in 0..3 {
        fail_runs(&mut fleet, &format!("1{number:015x}"));
    }
    fleet.run_steps(10);
    fleet.submit(stored_job(OTHER_JOB, vec![with_cpu(500, stage(1))]));
    fleet.run_steps(10);
    assert_eq!(running_count(&fleet, OTHER_JOB), 0, "the worker is on probation");
    let done = TaskName { job: JOB.to_owned(), occurrence: 0, stage: 0, index: 0 };
    fleet.instances[0].end(&done, EndCause::Done);
    fleet.run_steps(5);
    assert_eq!(running_count(&fleet, OTHER_JOB), 1);
}

/// Guards against a worker of long-running tasks alone on which failures add up for good, since none of
/// them is ever done.
#[test]
fn update_worker_health_counts_a_lasting_run_as_success() {
    let mut fleet = fleet(1);
    for number in 0..3 {
        fleet.submit(stored_job(&format!("1{number:015x}"), vec![with_cpu(500, long_running(1))]));
    }
    for number in 0..3 {
        fleet.run_steps(100);
        fail_runs(&mut fleet, &format!("1{number:015x}"));
    }
    fleet.step();
    fleet.submit(stored_job(JOB, vec![with_cpu(500, long_running(1))]));
    fleet.run_steps(5);
    assert_eq!(running_count(&fleet, JOB), 1);
}

/// Guards against a long-running task whose wait begins anew with each start that gets no answer, so that
/// it may not use the reserve for batch tasks.
#[test]
fn process_refusal_keeps_the_wait_of_a_serving_task() {
    let mut fleet = fleet(1);
    fleet.instances[0].unanswered_starts = 2;
    fleet.submit(stored_job(JOB, vec![with_cpu(7_800, long_running(1))]));
    let wait_ms = wait_for(&mut fleet, JOB, 1, |_, _| {});
    // The reserve's wait and two back-offs, each until the next planning round, which may be 0.5 s later.
    let max_wait_ms = 1_000 + 2 * 500 + 3 * 500;
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms <= max_wait_ms), "waited for {wait_ms:?} ms");
}

/// Guards against a refused start that ends the probation of a worker.
#[test]
fn process_refusal_shortens_no_probation() {
    let mut fleet = fleet(1);
    for number in 0..3 {
        fleet.submit(stored_job(&format!("1{number:015x}"), vec![with_cpu(500, long_running(1))]));
    }
    fleet.run_steps(10);
    fleet.submit(stored_job(JOB, vec![with_cpu(500, stage(1))]));
    fleet.step();
    // The failures are listed by the report that is answered with the start order.
    fleet.instances[0].unanswered_starts = 1;
    for number in 0..3 {
        fail_runs(&mut fleet, &format!("1{number:015x}"));
    }
    fleet.run_steps(40);
    assert_eq!(fleet.instances[0].unanswered_starts, 0);
    assert_eq!(running_count(&fleet, JOB), 0, "the worker is on probation for 3 s");
    fleet.run_steps(40);
    assert_eq!(running_count(&fleet, JOB), 1);
}

/// Two workers, the first full of long-running tasks, the second with 3 of 8 cores free beside batch
/// tasks that take far longer than estimated.
fn overrun_fleet() -> Fleet {
    let mut fleet = fleet(2);
    fleet.submit(stored_job("1000000000000000", vec![with_cpu(8_000, long_running(1))]));
    fleet.run_steps(40);
    fleet.submit(stored_job("1000000000000001", vec![with_cpu(1_000, stage(5))]));
    fleet.run_steps(4);
    assert_eq!(running_count(&fleet, "1000000000000001"), 5);
    for instance in &mut fleet.instances {
        instance.running.values_mut().for_each(|(_, end_ms)| *end_ms = u64::MAX / 2);
    }
    fleet
}

/// Guards against a long-running task that is kept out of free room by larger ones, for which the same
/// room is held by turns.
#[test]
fn plan_places_a_serving_task_in_room_held_for_larger_ones_by_turns() {
    let mut fleet = overrun_fleet();
    let larger = with_cpu(3_500, long_running(1));
    fleet.submit(stored_job("2000000000000000", vec![larger.clone()]));
    fleet.run_steps(30);
    fleet.submit(stored_job("2000000000000001", vec![larger]));
    fleet.run_steps(30);
    fleet.submit(stored_job(JOB, vec![with_cpu(1_000, long_running(1))]));
    assert_short(wait_for(&mut fleet, JOB, 1, |_, _| {}));
}

/// Guards against the members of a long-running gang that are kept out of free room by larger tasks, for
/// which the same room is held by turns.
#[test]
fn plan_places_a_serving_gang_in_room_held_for_larger_tasks_by_turns() {
    let mut fleet = overrun_fleet();
    let larger = with_cpu(3_500, long_running(1));
    fleet.submit(stored_job("2000000000000000", vec![larger.clone()]));
    fleet.run_steps(30);
    fleet.submit(stored_job("2000000000000001", vec![larger]));
    fleet.run_steps(30);
    let gang = Stage { is_gang: true, ..with_cpu(700, long_running(2)) };
    fleet.submit(stored_job(JOB, vec![gang]));
    assert_short(wait_for(&mut fleet, JOB, 2, |_, _| {}));
}

/// Guards against a long-running task that waits beside room for it twice over, because a stream of smaller
/// ones uses the room that is held for it.
#[test]
fn plan_places_a_serving_task_beside_a_stream_of_smaller_ones() {
    let mut fleet = overrun_fleet();
    fleet.submit(stored_job(JOB, vec![with_cpu(3_500, long_running(1))]));
    let id = |number: u64| format!("4{number:015x}");
    let mut step_count = 0;
    let mut send = |fleet: &mut Fleet| {
        // Each lasts for 2 s.
        if step_count % 10 == 0 {
            let number = step_count / 10;
            fleet.submit(stored_job(&id(number), vec![with_cpu(900, long_running(1))]));
            if number >= 4 {
                fleet.cancel(&id(number - 4));
            }
        }
        step_count += 1;
    };
    for _ in 0..200 {
        send(&mut fleet);
        fleet.step();
    }
    assert_eq!(running_count(&fleet, JOB), 0);
    fleet.instances[1].running.values_mut().for_each(|(_, end_ms)| *end_ms = 0);
    assert_short(wait_for(&mut fleet, JOB, 1, |fleet, _| send(fleet)));
}

/// Guards against room that isn't held against batch tasks any more.
#[test]
fn plan_keeps_batch_tasks_out_of_room_held_for_a_serving_task() {
    let mut fleet = overrun_fleet();
    fleet.submit(stored_job(JOB, vec![with_cpu(3_500, long_running(1))]));
    fleet.run_steps(30);
    fleet.submit(stored_job(OTHER_JOB, vec![with_cpu(1_000, stage(1))]));
    // The room is held for 3 s.
    fleet.run_steps(35);
    assert_eq!(running_count(&fleet, OTHER_JOB), 0);
}

/// Job of waiting tasks that were suspects of `crash_count` crashes each.
fn suspected(id: &str, crash_count: u32, stage: Stage) -> StoredJob {
    let task = TaskProgress { attempt: 1, ended_attempt: 1, crash_count, ..Default::default() };
    let tasks = vec![task; stage.task_count as usize];
    let progress = JobProgress { occurrences: vec![vec![tasks]], ..Default::default() };
    StoredJob { progress: Some(progress), ..stored_job(id, vec![stage]) }
}

/// Three workers; many small suspects take turns on the first one, which has no room for larger ones.
fn quarantined_fleet(small: Stage) -> Fleet {
    let mut fleet = fleet(3);
    fleet.instances[0].labels = vec!["first".to_owned()];
    let label = Some("first".to_owned());
    fleet.run_steps(4);
    let first = Stage { required_label: label.clone(), ..with_cpu(4_000, long_running(1)) };
    fleet.submit(stored_job("1000000000000000", vec![first]));
    fleet.run_steps(40);
    fleet.submit(suspected(
        "1000000000000001",
        2,
        Stage { required_label: label, ..with_cpu(100, small) },
    ));
    fleet.run_steps(2);
    fleet
}

/// Guards against a long-running task that waits for a worker on which it may be isolated, while those
/// that are allowed have no room for it.
#[parameterized(
    first_crash = { 1 },
    second_crash = { 2 },
)]
fn plan_isolates_a_serving_task_while_quarantined_workers_lack_room(crash_count: u32) {
    let mut fleet = quarantined_fleet(stage(40));
    let serving = with_cpu(5_000, long_running(1));
    fleet.submit(suspected(JOB, crash_count, serving));
    assert_short(wait_for(&mut fleet, JOB, 1, |_, _| {}));
    let index = fleet.instances.iter().position(|it| it.running.keys().any(|it| it.job == JOB));
    let index = index.expect("the task runs");
    assert_eq!(fleet.instances[index].running.len(), 1, "it is isolated");
}

/// Guards against a long-running task that waits to be isolated while all workers start batch tasks
/// all the time.
#[test]
fn plan_places_a_serving_suspect_although_new_runs_are_on_each_worker() {
    let mut fleet = fleet(2);
    fleet.max_run_ms = 200;
    for instance in &mut fleet.instances {
        instance.labels = vec![instance.name.clone()];
    }
    fleet.run_steps(4);
    // Suspects that fit there keep the first worker in quarantine, as the only one that may be.
    let label = Some("instance-0".to_owned());
    let small = Stage { required_label: label, ..with_cpu(100, stage(60)) };
    fleet.submit(stored_job(
        "1000000000000000",
        vec![Stage {
            required_label: Some("instance-0".to_owned()),
            ..with_cpu(4_000, long_running(1))
        }],
    ));
    fleet.run_steps(20);
    fleet.submit(suspected("1000000000000001", 2, small));
    fleet.run_steps(2);
    fleet.submit(suspected(JOB, 2, with_cpu(5_000, long_running(1))));
    let mut count = 0;
    let wait_ms = wait_for(&mut fleet, JOB, 1, |fleet, _| {
        count += 1;
        fleet.submit(stored_job(&format!("3{count:015x}"), vec![with_cpu(100, stage(2))]));
    });
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms <= 4_000), "waited for {wait_ms:?} ms");
}

/// Guards against a long-running task that crashes worker after worker, because it is tried beside other
/// runs once it has waited for long, and against others that are given up for its crashes.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
)]
fn serving_task_that_crashes_its_workers_stays_isolated(seed: u64) {
    let mut fleet = Fleet::new(3, seed);
    let crashing = TaskName { job: JOB.to_owned(), occurrence: 0, stage: 0, index: 0 };
    fleet.crashing.insert(crashing.clone(), 0);
    fleet.submit(stored_job(JOB, vec![with_cpu(3_000, long_running(1))]));
    fleet.submit(stored_job(OTHER_JOB, vec![with_cpu(500, long_running(6))]));
    for number in 0..300 {
        fleet.submit(stored_job(&format!("3{number:015x}"), vec![with_cpu(500, stage(4))]));
        for _ in 0..4 {
            fleet.step();
            // After as many starts as a batch task may have, no other long-running run is lost.
            let start_count = fleet.crashing[&crashing];
            if start_count > 5 {
                assert_eq!(running_count(&fleet, OTHER_JOB), 6, "after {start_count} starts");
            }
        }
    }
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Active));
    assert!((8..=14).contains(&fleet.crashing[&crashing]), "{:?}", fleet.crashing);
    let is_given_up =
        |event: &CellEvent| matches!(event, CellEvent::Suspected { is_given_up: true, .. });
    assert!(!fleet.cell.take_events().iter().any(is_given_up));
}

/// Guards against the members of a long-running gang that wait as long as suspects are tried.
#[test]
fn plan_places_a_serving_gang_on_quarantined_workers() {
    let mut fleet = fleet(1);
    fleet.submit(suspected("1000000000000001", 2, with_cpu(100, stage(40))));
    fleet.run_steps(2);
    let gang = Stage { is_gang: true, ..with_cpu(500, long_running(2)) };
    fleet.submit(stored_job(JOB, vec![gang]));
    assert_short(wait_for(&mut fleet, JOB, 2, |_, _| {}));
}

/// Guards against a long-running task that waits beside a cold worker, because batch tasks come first
/// and only a few tasks may be about to start there.
#[test]
fn plan_places_a_serving_task_on_a_cold_worker_beside_batch_tasks() {
    let mut fleet = Fleet::new(1, 1).with_zones(&["a"]);
    fleet.is_every_start_answered = true;
    fleet.max_run_ms = 150;
    fleet.instances[0].is_cold = true;
    fleet.run_steps(4);
    fleet.evacuate("a");
    fleet.run_steps(4);
    fleet.reopen("a");
    fleet.submit(stored_job(OTHER_JOB, vec![with_cpu(100, stage(900))]));
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![with_cpu(1_000, long_running(1))]));
    assert_short(wait_for(&mut fleet, JOB, 1, |fleet, _| {
        let used_milli = 100 * running_count(fleet, OTHER_JOB) as u64;
        assert!(used_milli + 2 * 1_000 <= CAPACITY.cpu_milli, "there is room for it twice over");
    }));
}

//! Gangs, and other stages that may never find enough workers, beside jobs that can run.

use std::time::Duration;

use teaseltrack::{
    cell::{
        CellEvent, StoredJob,
        job::{Queue, QueueConfiguration, Stage},
        progress::JobState,
        protocol::{EndCause, TaskName},
    },
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{Fleet, Instance, long_running, queue, stage, stored_job};

const GANG: &str = "00000000000000ff";

fn gang(task_count: u32) -> Stage {
    Stage { is_gang: true, ..stage(task_count) }
}

/// Job that has been overdue for so long that it comes first among its kind.
fn overdue(id: &str, stages: Vec<Stage>) -> StoredJob {
    StoredJob { age: Duration::from_secs(60), ..stored_job(id, stages) }
}

fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

fn completed_count(fleet: &Fleet, job_count: usize) -> usize {
    let states = (0..job_count).map(|number| fleet.cell.state(&job_id(number)));
    states.filter(|state| *state == Some(JobState::Completed)).count()
}

/// Guards against jobs that are never started, on idle workers, because a stage is tried before them that
/// the workers can't hold.
#[parameterized(
    too_many_members = { gang(100) },
    too_many_members_for_a_limit = { Stage { max_per_worker: Some(1), ..gang(4) } },
    gang_without_its_label = { Stage { required_label: Some("none".to_owned()), ..gang(2) } },
    too_many_best_effort_members = { Stage { is_best_effort: true, ..gang(100) } },
    too_many_serving_members = { Stage { is_long_running: true, ..gang(100) } },
    too_large_members = { Stage { is_gang: true, ..too_large(2) } },
    too_large_tasks = { too_large(3) },
    too_large_serving_tasks = { Stage { is_long_running: true, ..too_large(3) } },
    tasks_without_their_label = { Stage { required_label: Some("none".to_owned()), ..stage(3) } },
)]
fn plan_starts_jobs_beside_a_stage_that_no_workers_can_run(hopeless: Stage) {
    let mut fleet = Fleet::new(3, 1);
    fleet.run_steps(4);
    fleet.submit(overdue(GANG, vec![hopeless.clone()]));
    fleet.submit(overdue("00000000000000fe", vec![hopeless]));
    for number in 0..40 {
        fleet.submit(stored_job(&job_id(number), vec![stage(3)]));
        fleet.run_steps(5);
    }
    fleet.run_steps(400);
    assert_eq!(completed_count(&fleet, 40), 40);
    assert_eq!(fleet.cell.state(GANG), Some(JobState::Queued));
}

fn too_large(task_count: u32) -> Stage {
    let resources = Resources { cpu_milli: 9_000, memory_mib: 1_000, accelerators: 0 };
    Stage { resources, ..stage(task_count) }
}

/// Guards against anything that a gang leaves behind when some of its members fit and it is taken back:
/// attempt numbers, waiting times, CPU that best-effort tasks seem to use.
#[parameterized(best_effort = { true }, batch = { false })]
fn plan_leaves_no_trace_of_a_gang_that_is_tried_in_vain(is_best_effort: bool) {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    let resources = Resources { cpu_milli: 3_000, memory_mib: 100, accelerators: 0 };
    fleet.submit(stored_job(GANG, vec![Stage { resources, is_best_effort, ..gang(20) }]));
    fleet.cell.plan(0, fleet.now);
    fleet.cell.take_events();
    let before = format!("{:#?}", fleet.cell);
    fleet.cell.plan(0, fleet.now);
    assert!(fleet.cell.take_events().iter().all(|event| event.name() != "assigned"));
    let after = format!("{:#?}", fleet.cell);
    let changed = before.lines().zip(after.lines()).find(|(before, after)| before != after);
    assert_eq!(changed, None);
    assert!(before.contains("attempt: 0") && !before.contains("attempt: 1"));
}

/// Guards against a job that never runs under a steady overload, since an older one that can't run comes first
/// in its place, or that never finds the CPU that it needs.
#[parameterized(
    too_many_members = { gang(100) },
    too_little_cpu = { Stage { is_best_effort: true, ..too_large(3) } },
)]
fn plan_starves_no_overdue_job_behind_a_gang_that_never_starts(hopeless: Stage) {
    let mut fleet = Fleet::new(1, 1);
    fleet.max_run_ms = 1_000;
    fleet.submit(overdue(GANG, vec![Stage { is_gang: true, ..hopeless }]));
    fleet.submit(stored_job("00000000000000fe", vec![stage(4)]));
    for round in 0..1_000 {
        // More than the worker can run.
        if round % 5 == 0 {
            fleet.submit(stored_job(&format!("1{round:015x}"), vec![stage(3)]));
        }
        fleet.step();
    }
    assert_eq!(fleet.cell.state("00000000000000fe"), Some(JobState::Completed));
}

/// Guards against a gang that is given up although workers are added later.
#[test]
fn plan_starts_a_gang_once_workers_are_added() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job(GANG, vec![gang(12)]));
    fleet.run_steps(400);
    assert_eq!(fleet.start_count, 0);
    fleet.instances.push(Instance::new(2));
    fleet.run_steps(600);
    assert_eq!(fleet.cell.state(GANG), Some(JobState::Completed));
}

/// Guards against a gang that never gets its room while smaller jobs take each core as soon as it is free,
/// and against room that is held for it for good.
#[parameterized(
    whole_fleet = { gang(12) },
    limited = { Stage { max_per_worker: Some(2), ..gang(6) } },
)]
fn plan_starts_a_gang_beside_a_stream_of_small_jobs(stage_of_gang: Stage) {
    let mut fleet = Fleet::new(3, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(GANG, vec![stage_of_gang]));
    let mut job_count = 0;
    for _ in 0..2_400 {
        while completed_count(&fleet, job_count) + 20 > job_count {
            fleet.submit(stored_job(&job_id(job_count), vec![stage(2)]));
            job_count += 1;
        }
        fleet.step();
        if fleet.cell.state(GANG) == Some(JobState::Completed) {
            break;
        }
    }
    assert_eq!(fleet.cell.state(GANG), Some(JobState::Completed));
    fleet.run_steps(300);
    assert_eq!(completed_count(&fleet, job_count), job_count);
}

/// Guards against a serving task that waits for good in an evacuated zone because a stage that can't run
/// comes first.
#[parameterized(
    too_many_members = { gang(100) },
    too_many_members_beside_a_serving_task = { gang(8) },
    too_large_task = { too_large(1) },
)]
fn plan_empties_an_evacuated_zone_beside_a_stage_that_no_workers_can_run(hopeless: Stage) {
    let mut fleet = Fleet::new(4, 1).with_zones(&["a", "b"]);
    for instance in &mut fleet.instances {
        instance.percent = Some(100);
        instance.labels = vec![format!("in {}", instance.zone)];
    }
    fleet.run_steps(10);
    fleet.submit(stored_job(&job_id(0), vec![long_running(4)]));
    fleet.run_steps(60);
    let (zone, other) = if fleet.running_in("a").is_empty() { ("b", "a") } else { ("a", "b") };
    let label = Some(format!("in {other}"));
    let pinned = Stage { required_label: label, ..long_running(1) };
    fleet.submit(stored_job(&job_id(1), vec![pinned]));
    fleet.run_steps(60);
    fleet.submit(stored_job(GANG, vec![hopeless]));
    fleet.evacuate(zone);
    fleet.run_steps(400);
    assert!(fleet.running_in(zone).is_empty());
}

/// Guards against an operator who can't tell a stage that waits for its turn from one that can't run.
#[test]
fn plan_reports_a_stage_that_no_workers_can_run() {
    let mut fleet = Fleet::new(3, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(GANG, vec![gang(13)]));
    fleet.submit(stored_job(&job_id(0), vec![stage(40)]));
    fleet.submit(stored_job(&job_id(1), vec![gang(12)]));
    let mut reports = Vec::new();
    for _ in 0..300 {
        fleet.step();
        let events = fleet.cell.take_events();
        reports.extend(events.into_iter().filter(|event| event.name() == "stage_infeasible"));
    }
    let [CellEvent::Infeasible { task, task_count: 13, room_count: 12, stage_count: 1, .. }] =
        &reports[..]
    else {
        panic!("{reports:?}");
    };
    assert_eq!(task.job, GANG);
    assert_eq!(fleet.cell.infeasible_stage_count(), 1);
    fleet.cancel(GANG);
    fleet.run_steps(60);
    assert_eq!(fleet.cell.infeasible_stage_count(), 0);
}

/// Ends the members of the gang's present run: those with the given indexes fail, the others are broken off.
fn fail_members(fleet: &mut Fleet, failing: &[u32]) {
    for instance in &mut fleet.instances {
        let members: Vec<TaskName> =
            instance.running.keys().filter(|task| task.job == GANG).cloned().collect();
        for task in members {
            let has_failed = failing.contains(&task.index);
            instance.end(&task, if has_failed { EndCause::Failed } else { EndCause::Broken });
        }
    }
}

/// Steps until all members of a gang with six run.
fn run_until_gang_starts(fleet: &mut Fleet) {
    let member_count = |fleet: &Fleet| {
        let running = fleet.instances.iter().flat_map(|instance| instance.running.keys());
        running.filter(|task| task.job == GANG).count()
    };
    for _ in 0..400 {
        fleet.step();
        if member_count(fleet) == 6 {
            return;
        }
    }
    panic!("the gang doesn't start");
}

fn fleet_with_gang(max_attempts: u32) -> Fleet {
    let mut fleet = Fleet::new(3, 1);
    fleet.max_run_ms = 60_000;
    fleet.run_steps(4);
    let mut job = stored_job(GANG, vec![Stage { max_per_worker: Some(2), ..gang(6) }]);
    job.queue.max_attempts = max_attempts;
    fleet.submit(job);
    let configuration = configuration_with(max_attempts);
    fleet.cell.apply_configuration(configuration);
    run_until_gang_starts(&mut fleet);
    fleet
}

fn configuration_with(max_attempts: u32) -> QueueConfiguration {
    let queue = Queue { max_attempts, ..queue() };
    QueueConfiguration { version: 2, queues: vec![queue], guarded_services: Vec::new() }
}

/// Guards against a gang that is given up early, since one failed run counts once for each member that
/// reports its failure.
#[parameterized(
    one_worker = { &[0, 3], false },
    several_workers = { &[0, 1, 2], false },
    all_members = { &[0, 1, 2, 3, 4, 5], false },
    new_owner_in_between = { &[0, 1, 2, 3, 4, 5], true },
)]
fn process_end_counts_a_failed_run_of_a_gang_once(failing: &[u32], is_owner_replaced: bool) {
    let mut fleet = fleet_with_gang(2);
    // The agents of the last worker and of the others report at different times.
    fleet.instances[2].is_disconnected = true;
    fail_members(&mut fleet, failing);
    fleet.run_steps(2);
    if is_owner_replaced {
        fleet.replace_owner();
        fleet.cell.apply_configuration(configuration_with(2));
        fleet.run_steps(2);
    }
    fleet.instances[2].is_disconnected = false;
    run_until_gang_starts(&mut fleet);
    assert_eq!(fleet.cell.state(GANG), Some(JobState::Active));
    fail_members(&mut fleet, &failing[..1]);
    let started_count = fleet.start_count;
    fleet.run_steps(200);
    assert_eq!(fleet.cell.state(GANG), Some(JobState::Failed));
    assert_eq!(fleet.start_count, started_count);
}

/// Guards against a failed run of a gang that goes uncounted because another member failed in an earlier one.
#[test]
fn process_end_counts_failures_of_different_members() {
    let mut fleet = fleet_with_gang(3);
    for failing in [0, 1] {
        fail_members(&mut fleet, &[failing]);
        run_until_gang_starts(&mut fleet);
    }
    fail_members(&mut fleet, &[2, 3]);
    fleet.run_steps(10);
    assert_eq!(fleet.cell.state(GANG), Some(JobState::Failed));
}

/// Guards against workers that get no tasks because one gang with several members on each has failed.
#[test]
fn process_end_keeps_workers_of_a_failed_gang() {
    let mut fleet = Fleet::new(2, 1);
    fleet.max_run_ms = 60_000;
    fleet.run_steps(4);
    fleet.submit(stored_job(GANG, vec![gang(8)]));
    while fleet.instances.iter().any(|instance| instance.running.len() < 4) {
        fleet.step();
    }
    fail_members(&mut fleet, &[0, 1, 2, 3, 4, 5, 6, 7]);
    fleet.cancel(GANG);
    fleet.submit(stored_job(&job_id(0), vec![stage(2)]));
    let started_count = fleet.start_count;
    fleet.run_steps(10);
    assert!(fleet.start_count > started_count, "no task starts beside the failed gang");
}

//! Runs that have ended without a listed end: their worker has forgotten it. Starts without an outcome.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        Cell, CellEvent,
        job::Stage,
        progress::JobState,
        protocol::{EndCause, EndedTask, Order, RefusedStart, StartOrder, TaskName, WorkerListing},
    },
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{
    Fleet, Instance, MAX_LISTED_ENDS, STEP, configuration, long_running, stage, stored_job,
};

const JOB: &str = "0000000000000001";
const OTHER_JOB: &str = "0000000000000002";

fn task() -> TaskName {
    TaskName { job: JOB.to_owned(), occurrence: 0, stage: 0, index: 0 }
}

/// Two workers, and a long-running task that one of them, with the returned index, has listed.
fn serving_fleet() -> (Fleet, usize) {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![long_running(1)]));
    fleet.run_steps(6);
    assert_eq!(fleet.start_count, 1);
    let index = usize::from(fleet.instances[1].running.contains_key(&task()));
    (fleet, index)
}

/// Guards against a task without a run for as long as its worker lasts, since the owner waits for an end
/// that nobody lists.
#[test]
fn process_listing_reclaims_a_run_that_a_later_listing_lacks() {
    let (mut fleet, index) = serving_fleet();
    fleet.instances[index].running.clear();
    fleet.run_steps(20);
    assert_eq!(fleet.start_count, 2, "the task runs again within a second");
}

/// Guards against a cancelled job that stays open, since the end of its stopped run is lost.
#[test]
fn process_listing_closes_a_cancelled_job_whose_end_is_lost() {
    let (mut fleet, index) = serving_fleet();
    fleet.max_stop_ms = 0;
    fleet.cancel(JOB);
    fleet.instances[index].running.clear();
    fleet.run_steps(20);
    assert_eq!(fleet.cell.open_count(), 0);
}

/// Guards against a second run of a task by a report that was overtaken by one with its run.
#[test]
fn process_listing_keeps_a_run_that_an_earlier_listing_lacks() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    let late = fleet.instances[0].report();
    fleet.submit(stored_job(JOB, vec![long_running(1)]));
    fleet.run_steps(6);
    assert!(fleet.instances[0].running.contains_key(&task()));
    fleet.cell.take_events();
    fleet.cell.handle_report(late, true, fleet.now);
    // One that was sent at the same reading of the clock.
    let mut other = fleet.instances[0].report();
    fleet.cell.handle_report(other.clone(), true, fleet.now);
    other.listing = Some(WorkerListing { running: Some(Vec::new()), ended: Vec::new() });
    fleet.cell.handle_report(other, true, fleet.now);
    let events = fleet.cell.take_events();
    let is_reclaimed = |event: &CellEvent| matches!(event, CellEvent::Reclaimed { .. });
    assert!(!events.iter().any(is_reclaimed), "{events:?}");
}

/// Guards against a second run of a task whose end is beyond the last one of a list that is cut off.
#[test]
fn process_listing_keeps_a_run_whose_end_may_be_cut_off() {
    let (mut fleet, index) = serving_fleet();
    fleet.cell.take_events();
    fleet.now += STEP;
    fleet.instances[index].clock_ms += 50;
    fleet.instances[index].running.clear();
    let mut report = fleet.instances[index].report();
    let listing = report.listing.as_mut().expect("a listing");
    listing.ended = (1..=500)
        .map(|number| EndedTask {
            number,
            task: TaskName { index: number as u32, ..task() },
            attempt: 1,
            cause: EndCause::Stopped,
            checkpoint: String::new(),
        })
        .collect();
    fleet.cell.handle_report(report, true, fleet.now);
    let events = fleet.cell.take_events();
    let is_reclaimed = |event: &CellEvent| matches!(event, CellEvent::Reclaimed { .. });
    assert!(!events.iter().any(is_reclaimed), "{events:?}");
}

/// Ends of runs that the owner doesn't know, in front of which a worker lists no others.
fn unknown_ends(count: u64) -> Vec<EndedTask> {
    let end = |number| EndedTask {
        number,
        task: TaskName { index: number as u32, ..task() },
        attempt: 1,
        cause: EndCause::Stopped,
        checkpoint: String::new(),
    };
    (1..=count).map(end).collect()
}

/// Guards against a second run of a task that a new owner reclaims, since the first list of its session is
/// cut off in front of the end of the run; and against a task that is never reclaimed then.
#[parameterized(
    end_listed_later = { true },
    end_lost = { false },
)]
fn process_listing_reclaims_nothing_until_the_first_complete_list(has_end: bool) {
    let (mut fleet, index) = serving_fleet();
    let instance = &mut fleet.instances[index];
    (instance.ended, instance.end_count) = (unknown_ends(1_200), 1_200);
    instance.end(&task(), EndCause::Stopped);
    if !has_end {
        instance.ended.pop();
    }
    fleet.replace_owner();
    let mut reclaimed_count = 0;
    for _ in 0..40 {
        let is_cut_off = fleet.instances[index].ended.len() >= MAX_LISTED_ENDS;
        fleet.step();
        let events = fleet.cell.take_events();
        let is_reclaimed = |event: &&CellEvent| matches!(event, CellEvent::Reclaimed { .. });
        let count = events.iter().filter(is_reclaimed).count();
        assert!(count == 0 || !is_cut_off, "{events:?}");
        reclaimed_count += count;
    }
    assert_eq!(fleet.instances[index].ended, [], "the list becomes complete");
    assert_eq!(reclaimed_count, usize::from(!has_end));
    assert_eq!(fleet.start_count, 2, "the task runs again within 2 s");
}

/// Guards against a run that an agent says is gone, and that the owner keeps since it was listed before.
#[test]
fn process_refusal_reclaims_a_listed_run() {
    let (mut fleet, index) = serving_fleet();
    let (attempt, _) = fleet.instances[index].running[&task()];
    fleet.instances[index].running.clear();
    fleet.instances[index].has_listing = false;
    let reason = "gone without an end".to_owned();
    fleet.instances[index].refused.push(RefusedStart { task: task(), attempt, reason });
    fleet.run_steps(20);
    assert_eq!(fleet.start_count, 2, "the task runs again within a second");
}

/// Guards against a task without a run for as long as its worker lasts, since its start is neither carried out
/// nor refused: its outcome stays unknown while the worker refuses the stop, for example.
#[test]
fn process_listing_ends_the_wait_for_a_start_without_outcome() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![long_running(1)]));
    fleet.cell.plan(fleet.unix_now_ms, fleet.now);
    fleet.commit();
    for index in 0..2 {
        let report = fleet.instances[index].report();
        let response = fleet.cell.handle_report(report, true, fleet.now);
        fleet.instances[index].accepted_order += response.orders.len() as u64;
    }
    // 5 s
    fleet.run_steps(100);
    assert_eq!(fleet.start_count, 1);
    let has_run = |instance: &Instance| instance.running.contains_key(&task());
    assert!(fleet.instances.iter().any(has_run));
}

/// Lets the agents accept the orders for a job that was just submitted, and none carry them out. Returns
/// the starts, with the index of each agent.
fn lose_starts(fleet: &mut Fleet) -> Vec<(usize, StartOrder)> {
    fleet.cell.plan(fleet.unix_now_ms, fleet.now);
    fleet.commit();
    let mut starts = Vec::new();
    for (index, instance) in fleet.instances.iter_mut().enumerate() {
        let response = fleet.cell.handle_report(instance.report(), true, fleet.now);
        instance.accepted_order += response.orders.len() as u64;
        starts.extend(response.orders.into_iter().filter_map(|order| match order {
            Order::Start(start) => Some((index, start)),
            Order::Stop(..) | Order::Traits(_) => None,
        }));
    }
    starts
}

/// Guards against a second run of a task whose start is carried out late, in the session in which it was
/// sent or after it; and against a session that begins although the run is listed.
#[parameterized(
    before_the_next_session = { 2_000, false },
    just_before_the_next_session = { 3_550, true },
    after_its_begin = { 3_700, true },
    long_after_its_begin = { 6_000, true },
)]
fn process_listing_settles_a_start_that_is_carried_out_late(delay_ms: u64, is_settled: bool) {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![long_running(1)]));
    let (index, start) = lose_starts(&mut fleet).pop().expect("a start");
    let instance = &mut fleet.instances[index];
    let session = instance.session;
    instance.delayed_starts.push((instance.clock_ms + delay_ms, session, start));
    fleet.run_steps(200);
    assert_eq!(fleet.instances[index].session > session, is_settled);
    assert_eq!(fleet.start_count, 1);
}

/// Guards against a session that begins, and drops the other starts in transit, while the agent may still
/// settle the start, or holds back that of a best-effort task.
#[parameterized(
    serving = { false, 3_400 },
    best_effort = { true, 5_900 },
)]
fn process_listing_leaves_an_agent_time_to_settle_a_start(is_best_effort: bool, min_ms: usize) {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    let session = fleet.instances[0].session;
    fleet.submit(stored_job(JOB, vec![Stage { is_best_effort, ..long_running(1) }]));
    lose_starts(&mut fleet);
    let step_ms = STEP.as_millis() as usize;
    fleet.run_steps(min_ms / step_ms);
    assert_eq!(fleet.instances[0].session, session);
    fleet.run_steps(400 / step_ms);
    assert!(fleet.instances[0].session > session);
}

/// Time until a long-running task runs whose start is in transit while its worker restarts, under the same
/// identifier or another one, and whose next incarnation is cut off for good after its first report.
fn run_restart_in_transit(is_same_worker: bool) -> Duration {
    let mut fleet = Fleet::new(2, 1);
    fleet.settings.max_lease = Duration::from_secs(10);
    fleet.cell = Cell::new(0, fleet.settings, 1, configuration(), fleet.now);
    fleet.run_steps(4);
    fleet.submit(stored_job(JOB, vec![long_running(1)]));
    let (index, _) = lose_starts(&mut fleet).pop().expect("a start");
    fleet.restart_worker(index);
    if !is_same_worker {
        fleet.instances[index].worker = "next".to_owned();
    }
    // Without it, the task would be isolated as a possible cause of the crash.
    fleet.restart_agent(index);
    let restarted_at = fleet.now;
    fleet.step();
    fleet.instances[index].is_disconnected = true;
    while fleet.start_count == 0 {
        fleet.step();
    }
    fleet.now - restarted_at
}

/// Guards against a wait for a start that the next worker of the instance refuses, since it names another
/// one.
#[test]
fn replace_worker_reclaims_a_start_in_transit_to_another_worker() {
    let wait = run_restart_in_transit(false);
    assert!(wait <= Duration::from_secs(1), "waited for {wait:?}");
}

/// Guards against a long-running task without a run for longer than the platform allows: 3 s, from 6 s
/// after its last run.
#[test]
fn replace_worker_limits_the_wait_for_a_start_in_transit_to_the_same_worker() {
    let wait = run_restart_in_transit(true);
    assert!(wait <= Duration::from_secs(9), "waited for {wait:?}");
}

/// Guards against the end of a worker's probation by a session that settles a start.
#[test]
fn process_listing_keeps_probation_while_it_settles_a_start() {
    let mut fleet = Fleet::new(1, 1);
    (fleet.is_every_start_answered, fleet.max_run_ms) = (true, 60_000);
    fleet.run_steps(4);
    let session = fleet.instances[0].session;
    let resources = Resources { cpu_milli: 500, memory_mib: 100, accelerators: 0 };
    fleet.submit(stored_job(OTHER_JOB, vec![Stage { resources, ..long_running(3) }]));
    fleet.run_steps(4);
    assert_eq!(fleet.start_count, 3);
    fleet.submit(stored_job(JOB, vec![Stage { resources, ..stage(1) }]));
    assert_eq!(lose_starts(&mut fleet).len(), 1);
    fleet.run_steps(60);
    let runs: Vec<TaskName> = fleet.instances[0].running.keys().cloned().collect();
    runs.iter().for_each(|task| fleet.instances[0].end(task, EndCause::Failed));
    fleet.run_steps(20);
    assert!(fleet.instances[0].session > session);
    fleet.run_steps(20);
    let has_run = |fleet: &Fleet| fleet.instances[0].running.contains_key(&task());
    assert!(!has_run(&fleet), "the worker is on probation for 3 s");
    fleet.run_steps(30);
    assert!(has_run(&fleet));
}

/// Guards against jobs that never end, and against second runs, on workers that forget ends while owners,
/// agents and workers restart.
#[test]
fn cell_completes_all_jobs_on_workers_that_forget_ends() {
    let seed_count = std::env::var("LOST_END_SEEDS").ok().and_then(|value| value.parse().ok());
    for seed in 1..=seed_count.unwrap_or(6) {
        run_forgetful_workers(seed);
    }
}

fn run_forgetful_workers(seed: u64) {
    let mut fleet = Fleet::new(5, seed).with_slow_network(seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 1_000);
    for round in 0_u64..1_300 {
        if round % 25 == 0 && round < 800 {
            let second = Stage { after: vec![0], ..stage(faults.random_range(1..5)) };
            let stages = vec![stage(faults.random_range(1..6)), second];
            fleet.submit(stored_job(&format!("{round:016x}"), stages));
        }
        fleet.step();
        if round > 800 {
            fleet.instances.iter_mut().for_each(|instance| instance.is_disconnected = false);
            continue;
        }
        let index = faults.random_range(0..5);
        match faults.random_range(0..120) {
            0 => fleet.replace_owner(),
            1 => fleet.restart_worker(index),
            2 => fleet.restart_agent(index),
            3 => fleet.instances[index].is_disconnected = true,
            4..=8 => fleet.instances[index].is_disconnected = false,
            9..=20 => forget_run(&mut fleet.instances[index]),
            _ => {}
        }
    }
    for id in fleet.jobs.keys() {
        let state = fleet.cell.state(id);
        assert!(state.is_some_and(JobState::is_final), "{id} with seed {seed}: {state:?}");
    }
}

/// Ends a run, if there is one, and forgets its end. The agent reports a run that it has not listed to the
/// owner, since the worker has accepted its start.
fn forget_run(instance: &mut Instance) {
    let Some((task, (attempt, end_ms))) = instance.running.pop_first() else { return };
    instance.stopped.insert((task.clone(), attempt));
    instance.end_count += 1;
    if instance.listed.get(&task) != Some(&(attempt, end_ms)) {
        let reason = "accepted, but never listed".to_owned();
        instance.refused.push(RefusedStart { task, attempt, reason });
    }
}

//! Changes of the owner while workers are lost, restart or don't respond.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::cell::{
    CellEvent,
    job::Stage,
    progress::JobState,
    protocol::{EndCause, KnownLeases, Report, WorkerListing},
};
use yare::parameterized;

use crate::fleet::{Fleet, GRANT_PERIOD, Instance, STEP, stage, stored_job};
use crate::util::CELL_SETTINGS;

/// Two workers, both with running tasks of a job with eight tasks.
fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    assert!(fleet.instances.iter().all(|instance| !instance.running.is_empty()));
    fleet
}

#[test]
fn restore_adopts_running_tasks() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(6)]));
    fleet.run_steps(6);
    let started = fleet.start_count;
    fleet.replace_owner();
    fleet.run_steps(3);
    assert!(started > 0);
    assert_eq!(fleet.start_count, started, "running tasks must not be started again");
}

#[test]
fn restore_waits_for_the_lease_of_a_disconnected_worker() {
    let mut fleet = busy_fleet();
    fleet.instances[0].is_disconnected = true;
    fleet.replace_owner();
    fleet.run_steps(400);
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against tasks of a lost worker that wait for its lease anew after each change of the owner.
#[test]
fn restore_does_not_extend_the_wait_for_a_lost_worker() {
    let mut fleet = busy_fleet();
    fleet.instances[0].is_disconnected = true;
    // The longest wait for one change of the owner is 9.4 s.
    for _ in 0..5 {
        fleet.replace_owner();
        fleet.run_steps(50);
    }
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against tasks of an unresponsive worker that wait for its lease anew after each change of the
/// owner, since its agent repeats the last reading of its clock.
#[test]
fn restore_does_not_extend_the_wait_for_an_unresponsive_worker() {
    let mut fleet = busy_fleet();
    let clock_ms = fleet.instances[0].clock_ms;
    fleet.instances[0].last_clock_ms = Some(clock_ms);
    fleet.run_steps(30);
    assert_eq!(fleet.silent_workers.len(), 1);
    for _ in 0..3 {
        fleet.replace_owner();
        fleet.run_steps(50);
    }
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a new owner that waits for the lease of a worker whose agent reports a later one.
#[test]
fn restore_reclaims_tasks_of_a_worker_that_restarted_meanwhile() {
    let mut fleet = busy_fleet();
    let lost = fleet.instances[0].running.len();
    let started = fleet.start_count;
    assert!(lost > 0);
    // The machine has lost power, so that its agent restarts as well.
    fleet.restart_worker(0);
    fleet.restart_agent(0);
    fleet.replace_owner();
    fleet.run_steps(10);
    assert!(fleet.start_count >= started + lost, "lost tasks run again within half a second");
}

/// Guards against tasks that are never reclaimed from a worker that is lost before its first lease.
#[test]
fn tick_reclaims_tasks_of_a_lost_worker_without_a_lease() {
    let mut fleet = Fleet::new(1, 1);
    fleet.may_grant = false;
    // Until then, the worker may have a lease from a previous owner.
    let previous_leases_end = fleet.now + CELL_SETTINGS.worst_case_lease();
    while fleet.now < previous_leases_end {
        fleet.step();
    }
    fleet.submit(stored_job("0000000000000001", vec![stage(2)]));
    fleet.run_steps(2);
    fleet.instances[0].is_disconnected = true;
    fleet.may_grant = true;
    fleet.cell.take_events();
    fleet.run_steps(40);
    let events = fleet.cell.take_events();
    let is_reclaimed = |event: &&CellEvent| matches!(event, CellEvent::Reclaimed { .. });
    assert_eq!(events.iter().filter(is_reclaimed).count(), 2);
}

/// Guards against a second run of a task whose worker still holds a lease of the previous owner.
#[test]
fn restore_does_not_reclaim_tasks_that_run_under_a_lease_of_the_previous_owner() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(4);
    fleet.replace_owner();
    fleet.may_grant = false;
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(4);
    assert!(fleet.start_count > 0, "agents start tasks under the lease that they hold");
    fleet.instances.iter_mut().for_each(|instance| instance.is_disconnected = true);
    fleet.cell.take_events();
    fleet.run_steps(60);
    let events = fleet.cell.take_events();
    let is_reclaimed = |event: &&CellEvent| matches!(event, CellEvent::Reclaimed { .. });
    assert_eq!(events.iter().filter(is_reclaimed).count(), 0);
}

/// Guards against leases that lapse on a slow store: a worker that reports while its owner may not
/// grant leases is recorded as silent, and gets no lease until another commit has removed it.
#[test]
fn tick_does_not_count_a_reporting_worker_without_grants_as_silent() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(40)]));
    fleet.run_steps(6);
    fleet.cell.take_events();
    fleet.may_grant = false;
    fleet.run_steps(60);
    let events = fleet.cell.take_events();
    assert!(!events.iter().any(|event| matches!(event, CellEvent::Silent { .. })));
}

/// Guards against a lease that a recorded worker gets while the next owner takes it for expired.
#[test]
fn grant_lease_of_a_silent_worker_follows_its_removal_from_the_record() {
    let mut fleet = busy_fleet();
    fleet.instances[0].is_disconnected = true;
    fleet.run_steps(40);
    assert_eq!(fleet.silent_workers.len(), 1);
    let report = fleet.instances[0].report();
    let response = fleet.cell.handle_report(report.clone(), true, fleet.now);
    assert_eq!(response.lease_until_ms, None, "the row still lists the worker");
    fleet.commit();
    assert_eq!(fleet.silent_workers, Vec::new());
    let response = fleet.cell.handle_report(report, true, fleet.now);
    assert!(response.lease_until_ms.is_some());
}

/// Guards against a new wait for a lost worker, since the first report of its agent, which the owner gets
/// late, repeats a reading of its clock that the owner hasn't seen.
#[test]
fn grant_lease_takes_the_first_reading_of_a_silent_worker_for_a_repeated_one() {
    let mut fleet = busy_fleet();
    fleet.instances[0].is_disconnected = true;
    fleet.replace_owner();
    fleet.run_steps(30);
    assert_eq!(fleet.silent_workers.len(), 1);
    let report = fleet.instances[0].report();
    for _ in 0..3 {
        fleet.cell.handle_report(report.clone(), true, fleet.now);
        fleet.commit();
        assert_eq!(fleet.silent_workers.len(), 1, "the reading may be old");
    }
    let newer = Report { worker_clock_ms: report.worker_clock_ms + 100, ..report };
    fleet.cell.handle_report(newer, true, fleet.now);
    fleet.commit();
    assert_eq!(fleet.silent_workers, Vec::new());
}

/// Guards against a series of brief owners that wait anew for the leases of the first one, since none of
/// them lasts long enough to take a worker for silent.
#[test]
fn renewal_lists_restored_workers_until_they_respond() {
    let mut fleet = busy_fleet();
    fleet.replace_owner();
    let batch = fleet.cell.renewal(50).expect("no commit is in flight");
    assert_eq!(batch.silent_workers.len(), 2);
    fleet.cell.commit_succeeded();
    let report = fleet.instances[0].report();
    let response = fleet.cell.handle_report(report.clone(), true, fleet.now);
    assert_eq!(response.lease_until_ms, None, "the row lists the worker");
    let batch = fleet.cell.next_commit(50).expect("the list is outdated");
    let listed: Vec<_> = batch.silent_workers.iter().map(|silent| &silent.incarnation).collect();
    assert_eq!(listed, ["instance-1@1"]);
    fleet.cell.take_updated_agents();
    fleet.cell.commit_succeeded();
    assert_eq!(
        fleet.cell.take_updated_agents(),
        ["instance-0"],
        "its report isn't parked for long"
    );
    assert!(fleet.cell.has_pending_update("instance-0", u64::MAX - 1, u64::MAX));
    let response = fleet.cell.handle_report(report, true, fleet.now);
    assert!(response.lease_until_ms.is_some());
    assert!(!fleet.cell.has_pending_update("instance-0", u64::MAX - 1, u64::MAX));
}

/// Guards against workers that respond and lose their lease in a series of brief owners, since each takes
/// those that its predecessor hasn't heard of for silent.
#[test]
fn restore_takes_no_worker_for_silent_that_has_not_responded_before() {
    let mut fleet = busy_fleet();
    fleet.replace_owner();
    let batch = fleet.cell.renewal(50).expect("no commit is in flight");
    fleet.silent_workers = batch.silent_workers;
    fleet.replace_owner();
    let report = fleet.instances[0].report();
    fleet.cell.handle_report(report.clone(), true, fleet.now);
    let batch = fleet.cell.renewal(50).expect("no commit is in flight");
    assert_eq!(batch.silent_workers.len(), 1, "the first report is enough");
    fleet.cell.commit_succeeded();
    let response = fleet.cell.handle_report(report, true, fleet.now);
    assert!(response.lease_until_ms.is_some());
}

/// Guards against a lost worker that counts as present, since its restarted agent reports it.
#[test]
fn renewal_lists_a_restored_worker_that_does_not_respond() {
    let mut fleet = busy_fleet();
    fleet.replace_owner();
    let unreachable = Report { is_worker_reachable: false, ..fleet.instances[0].report() };
    fleet.cell.handle_report(unreachable, true, fleet.now);
    let batch = fleet.cell.renewal(50).expect("no commit is in flight");
    assert_eq!(batch.silent_workers.len(), 2);
}

/// Guards against a lease for a worker that nobody can call, and against none once it responds again.
#[test]
fn grant_lease_of_an_unreachable_worker_follows_its_return() {
    let mut fleet = busy_fleet();
    let clock_ms = fleet.instances[0].clock_ms + 100;
    let reachable = Report { worker_clock_ms: clock_ms, ..fleet.instances[0].report() };
    let unreachable = Report { is_worker_reachable: false, ..reachable.clone() };
    let response = fleet.cell.handle_report(unreachable, true, fleet.now);
    assert_eq!(response.lease_until_ms, None);
    let response = fleet.cell.handle_report(reachable, true, fleet.now);
    assert!(response.lease_until_ms.is_some_and(|until_ms| until_ms > clock_ms));
}

/// Time after the loss of the first worker at which a new owner reclaims its tasks, in steps. The new
/// owner gets the given reports, with the time since the worker's last reading.
fn steps_until_reclaim(reports: impl Fn(&Fleet) -> Vec<Report>) -> u64 {
    let mut fleet = busy_fleet();
    fleet.down_step_count = u32::MAX;
    fleet.crash_worker(0);
    fleet.run_steps(10);
    fleet.replace_owner();
    // The agent gets a session, and reports under it.
    fleet.exchange_report(0);
    fleet.instances[0].is_disconnected = true;
    for report in reports(&fleet) {
        fleet.cell.handle_report(report, true, fleet.now);
    }
    for step_count in 10.. {
        let events = fleet.cell.take_events();
        if events.iter().any(|event| matches!(event, CellEvent::Reclaimed { .. })) {
            return step_count;
        }
        fleet.step();
    }
    unreachable!("tasks are reclaimed");
}

/// Wait for the grants of the predecessor and then for a lease, in steps.
fn assumed_step_count() -> u64 {
    let wait = GRANT_PERIOD + CELL_SETTINGS.worst_case_lease();
    wait.as_millis().div_ceil(STEP.as_millis()) as u64
}

/// Guards against a wait for grants of an earlier owner that the worker's agent knows of.
#[test]
fn limit_lease_end_reclaims_tasks_at_the_end_of_the_lease_that_the_agent_knows() {
    let step_count = steps_until_reclaim(|fleet| vec![fleet.instances[0].report()]);
    // A lease of 5 s from the last reading, 2% of drift and a margin of 0.3 s.
    assert!((108..=110).contains(&step_count), "{step_count} steps");
}

/// Guards against a second run: an earlier owner may still serve the agent, or the agent may not know
/// all leases, or there is one in transit to it, or its report doesn't belong to the session.
#[parameterized(
    unknown = { |fleet| vec![Report { known_leases: None, ..fleet.instances[0].report() }] },
    no_session = { |fleet| vec![Report { session: 0, ..fleet.instances[0].report() }] },
    earlier_session = { |fleet| vec![Report { session: 1, ..fleet.instances[0].report() }] },
)]
fn limit_lease_end_waits_for_all_grants_without_knowledge(reports: fn(&Fleet) -> Vec<Report>) {
    let step_count = steps_until_reclaim(reports);
    assert!(step_count >= 10 + assumed_step_count(), "{step_count} steps");
}

/// Guards against a second run under a lease that is in transit to the agent.
#[test]
fn limit_lease_end_waits_for_a_lease_in_transit() {
    let step_count = steps_until_reclaim(|fleet| {
        let report = fleet.instances[0].report();
        let known = report.known_leases.map(|known| KnownLeases { reading_age_ms: 0, ..known });
        let newer = Report {
            worker_clock_ms: report.worker_clock_ms + 400,
            is_worker_reachable: true,
            known_leases: known,
            ..report.clone()
        };
        // The agent has sent the other report before.
        vec![newer, report]
    });
    // 0.4 s more than without it.
    assert!((116..=119).contains(&step_count), "{step_count} steps");
}

/// Guards against a panic or a wait without end by a report with odd numbers.
#[test]
fn limit_lease_end_never_extends_a_wait() {
    let step_count = steps_until_reclaim(|fleet| {
        let odd = Some(KnownLeases { lease_until_ms: u64::MAX, reading_age_ms: 0 });
        vec![Report { known_leases: odd, ..fleet.instances[0].report() }]
    });
    let first = 10 + assumed_step_count();
    assert!((first..=first + 4).contains(&step_count), "{step_count} steps");
}

/// Guards against a run that a new owner doesn't know of, because the start order of an assignment
/// was sent on the commit of an earlier one to the same worker.
#[test]
fn commit_succeeded_sends_no_start_order_of_a_later_assignment() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_steps(4);
    fleet.submit(stored_job("0000000000000001", vec![stage(1)]));
    fleet.cell.plan(0, fleet.now);
    // The new session reclaims the task, which is then assigned to the same worker while the commit
    // of its reclaim is in flight.
    fleet.restart_agent(0);
    fleet.exchange_report(0);
    fleet.exchange_report(0);
    let batch = fleet.cell.next_commit(50);
    assert!(batch.is_some_and(|batch| !batch.rows.is_empty()));
    fleet.cell.plan(0, fleet.now);
    fleet.cell.commit_succeeded();
    fleet.exchange_report(0);
    assert_eq!(fleet.start_count, 0, "the store has the task as waiting");
    fleet.commit();
    fleet.exchange_report(0);
    assert_eq!(fleet.start_count, 1);
}

#[test]
fn report_of_ends_is_processed_before_the_first_listing_of_runs() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(1)]));
    fleet.run_steps(4);
    let index = usize::from(fleet.instances[0].running.is_empty());
    let task = fleet.instances[index].running.keys().next().expect("task is running").clone();
    fleet.instances[index].end(&task, EndCause::Done);
    // The owner fails before it commits the end, and the worker disconnects for good after it has
    // reported the end to the new owner.
    fleet.replace_owner();
    fleet.instances[index].has_listing = false;
    fleet.exchange_report(index);
    let instance = &fleet.instances[index];
    let listing = WorkerListing { running: None, ended: instance.ended.clone() };
    let report = Report { listing: Some(listing), ..instance.report() };
    fleet.cell.handle_report(report, true, fleet.now);
    fleet.instances[index].is_disconnected = true;
    fleet.commit();
    fleet.run_steps(300);
    assert_eq!(fleet.start_count, 1, "a completed task must not be started again");
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a task that runs again although it is done: its worker was cut off, and lists the end
/// after that of a later attempt.
#[test]
fn end_of_an_earlier_attempt_completes_a_task_that_failed_since() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(stored_job("0000000000000001", vec![stage(1)]));
    fleet.run_steps(4);
    let first = usize::from(fleet.instances[0].running.is_empty());
    let second = 1 - first;
    let task = fleet.instances[first].running.keys().next().expect("task is running").clone();
    fleet.instances[first].end(&task, EndCause::Done);
    fleet.done.insert(task.clone());
    fleet.instances[first].is_disconnected = true;
    fleet.max_run_ms = 20_000;
    for _ in 0..200 {
        if fleet.instances[second].running.is_empty() {
            fleet.step();
        }
    }
    fleet.instances[second].end(&task, EndCause::Failed);
    fleet.exchange_report(second);
    (0..3).for_each(|_| fleet.exchange_report(first));
    fleet.instances[first].is_disconnected = false;
    fleet.run_steps(40);
    assert_eq!(fleet.start_count, 2, "a completed task must not be started again");
    assert_eq!(fleet.cell.state("0000000000000001"), Some(JobState::Completed));
}

/// Guards against a second run of a task that a new owner reclaims although the lease of its worker
/// may have been extended: by an owner that doesn't know yet that it was replaced, while the commit
/// that lists or removes the worker is in flight, or by an owner that isn't sure of its takeover.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
    seed_5 = { 5 },
    seed_6 = { 6 },
    seed_7 = { 7 },
    seed_8 = { 8 },
)]
fn take_over_upholds_invariants_with_a_slow_store(seed: u64) {
    // More seeds by hand: the number of them for each case.
    let seed_count = std::env::var("TAKEOVER_SEEDS").ok().and_then(|value| value.parse().ok());
    let seeds = seed_count.map_or(seed..seed + 1, |count: u64| seed * count..(seed + 1) * count);
    seeds.for_each(|seed| run_with_slow_store(seed, false));
}

/// Guards against a second run under a lease that was in transit to its agent, which has reported
/// earlier ones only, or that a worker has got without a response.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
)]
fn take_over_upholds_invariants_with_late_responses(seed: u64) {
    // More seeds by hand: the number of them for each case.
    let seed_count = std::env::var("TAKEOVER_SEEDS").ok().and_then(|value| value.parse().ok());
    let seeds = seed_count.map_or(seed..seed + 1, |count: u64| seed * count..(seed + 1) * count);
    seeds.for_each(|seed| run_with_slow_store(seed, true));
}

fn run_with_slow_store(seed: u64, has_late_responses: bool) {
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let max_delay_ms = [100, 600, 1_500, 2_500][faults.random_range(0..4)];
    println!("seed {seed}, commits are delayed by up to {max_delay_ms} ms");
    let mut fleet = Fleet::new(5, seed).with_slow_store(max_delay_ms);
    if has_late_responses {
        fleet = fleet.with_slow_network(seed);
    }
    for round in 0_u64..2_500 {
        if round % 40 == 0 && round < 1_000 {
            let second = Stage { after: vec![0], ..stage(faults.random_range(1..5)) };
            let first = stage(faults.random_range(1..6));
            fleet.submit(stored_job(&format!("{round:016x}"), vec![first, second]));
        }
        fleet.step();
        fleet.replace_cut_owner();
        if round > 1_200 {
            if let Some(store) = &mut fleet.slow_store {
                store.max_delay_ms = 100;
            }
            fleet.instances.iter_mut().for_each(|instance| instance.is_disconnected = false);
            fleet.instances.iter_mut().for_each(Instance::answer_again);
            continue;
        }
        let index = faults.random_range(0..5);
        if has_late_responses {
            let instance = &mut fleet.instances[index];
            match faults.random_range(0..100) {
                0 => instance.last_clock_ms = Some(instance.clock_ms),
                1..=5 => instance.answer_again(),
                _ => {}
            }
        }
        match faults.random_range(0..300) {
            0..=2 => fleet.restart_owner(),
            3..=5 => {
                if let Some(store) = &mut fleet.slow_store {
                    store.is_cut = true;
                }
            }
            6 => fleet.restart_worker(index),
            7 | 8 => fleet.restart_agent(index),
            9..=14 => fleet.instances[index].is_disconnected = true,
            15..=30 => fleet.instances[index].is_disconnected = false,
            _ => {}
        }
    }
    for id in fleet.jobs.keys() {
        let state = fleet.cell.state(id);
        assert!(state.is_some_and(JobState::is_final), "seed {seed}: {id}: {state:?}");
    }
}

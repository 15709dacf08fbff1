//! End-to-end tests with real processes that are killed one after another: requests are served
//! again after each kill, and tasks complete exactly once.

mod util;

use std::time::{Duration, Instant};

use teaseltrack_cli::verify::verify_streams;
use teaseltrack_lab::{
    fleet::FleetPlan,
    load::{RequestOutcome, send_load},
    operator::Operator,
};
use util::{assert_invariants, load, short_job, start_processes, wait_done, wait_served};

#[tokio::test(flavor = "multi_thread")]
async fn requests_served_after_kill_of_each() {
    let plan = FleetPlan { agents: 3, ..FleetPlan::default() };
    let mut fleet = start_processes(plan).await;
    let result = send_load(load(&fleet, "before")).await;
    assert_eq!(result.count(RequestOutcome::Answered), result.requests.len() as u64);

    fleet.agents[0].kill();
    wait_served(&fleet, "without-agent").await;
    fleet.agents[0] = fleet.spawn_agent(0).unwrap();

    fleet.targets[1].kill();
    wait_served(&fleet, "without-target").await;
    fleet.targets[1] = fleet.spawn_target(1).unwrap();

    fleet.entries[1].kill();
    fleet.entries[1] = fleet.spawn_entry(1).unwrap();
    fleet.wait_ready().await.unwrap();
    util::wait_records_applied(&fleet).await;
    wait_served(&fleet, "with-new-entry").await;

    let result = send_load(load(&fleet, "after")).await;
    assert_invariants(&fleet, &result);
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_done_once_after_kill_of_each() {
    let plan = FleetPlan { agents: 3, has_workers: true, ..FleetPlan::default() };
    let mut fleet = start_processes(plan).await;
    let operator = Operator::new(fleet.plan.operator_address(0), "test");
    operator.submit_job("settlement", short_job(30, 1_500)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;

    fleet.agents[0].kill();
    fleet.agents[0] = fleet.spawn_agent(0).unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;

    fleet.workers[1].kill();
    let killed = [(FleetPlan::agent_name(1), Instant::now())];
    fleet.workers[1] = fleet.spawn_worker(1).unwrap();

    wait_done(&operator, "settlement").await;
    let tasks = fleet.ledger.tasks(&killed);
    assert_eq!(tasks.done.len(), 30);
    assert_eq!((tasks.duplicated(), tasks.in_two_places, tasks.attempts_repeated), (0, 0, 0));
    verify_streams(&operator.client).await.unwrap();
}

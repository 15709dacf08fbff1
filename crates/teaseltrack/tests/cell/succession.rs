//! Waits of a new owner for leases that its predecessor's process answers for.

use std::{mem::replace, time::Duration};

use teaseltrack::cell::{
    Cell, CellEvent,
    protocol::Report,
    succession::{OwnerLeases, Predecessor, Superseded},
};
use yare::parameterized;

use crate::{
    fleet::{Fleet, GRANT_PERIOD, STEP, configuration, stage, stored_job},
    util::CELL_SETTINGS,
};

const PREDECESSOR: &str = "owner-1";

/// Steps from the last lease of a worker until its tasks are reclaimed: a lease of 5 s, 2% of drift
/// and a margin of 0.3 s.
const LEASE_STEPS: u64 = 108;
/// Steps for which an owner may grant leases after its last commit.
const GRANT_STEPS: u64 = (GRANT_PERIOD.as_millis() / STEP.as_millis()) as u64;

/// Takeover of a cell with two workers, both with running tasks. The first one is gone.
struct TakeOver {
    fleet: Fleet,
    predecessor: Predecessor,
    leases: OwnerLeases,
}

impl TakeOver {
    /// The worker is lost with its agent half a second before the takeover.
    fn after_loss() -> Self {
        let mut fleet = busy_fleet();
        lose_first_worker(&mut fleet);
        fleet.run_steps(10);
        Self::of(fleet)
    }

    fn of(mut fleet: Fleet) -> Self {
        let placeholder = Cell::new(0, CELL_SETTINGS, 0, configuration(), fleet.now);
        let leases = replace(&mut fleet.cell, placeholder).into_leases();
        let predecessor = Predecessor {
            instance: PREDECESSOR.to_owned(),
            address: String::new(),
            epoch: fleet.epoch,
            earlier_grants_end: fleet.now,
        };
        fleet.replace_owner();
        Self { fleet, predecessor, leases }
    }

    /// Answer of the predecessor to the present owner.
    fn answer(&self) -> Superseded {
        let instance = PREDECESSOR.to_owned();
        Superseded::new(instance, self.fleet.epoch, Some(&self.leases), self.fleet.now)
    }

    /// Answer of a process that has run no owner.
    fn answer_without_leases(&self) -> Superseded {
        Superseded { leases: None, ..self.answer() }
    }

    fn receive(&mut self, answer: &Superseded) -> bool {
        let cell = &mut self.fleet.cell;
        cell.shorten_inherited_leases(&self.predecessor, answer, self.fleet.now).is_some()
    }

    /// Number of steps until the tasks of the first worker are reclaimed.
    fn steps_until_reclaim(&mut self) -> u64 {
        for step_count in 0.. {
            let events = self.fleet.cell.take_events();
            if events.iter().any(|event| matches!(event, CellEvent::Reclaimed { .. })) {
                return step_count;
            }
            self.fleet.step();
        }
        unreachable!("tasks are reclaimed");
    }
}

fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::new(2, 1);
    fleet.max_run_ms = 100_000;
    fleet.submit(stored_job("0000000000000001", vec![stage(8)]));
    fleet.run_steps(6);
    assert!(fleet.instances.iter().all(|instance| !instance.running.is_empty()));
    fleet
}

fn lose_first_worker(fleet: &mut Fleet) {
    fleet.down_step_count = u32::MAX;
    fleet.crash_worker(0);
    fleet.instances[0].is_disconnected = true;
}

fn assert_close(step_count: u64, expected: u64) {
    assert!(step_count.abs_diff(expected) <= 2, "{step_count} steps, not {expected}");
}

/// Guards against a wait for grants that the predecessor hasn't made.
#[test]
fn shorten_inherited_leases_reclaims_at_the_end_that_the_predecessor_knows() {
    let mut take_over = TakeOver::after_loss();
    assert!(take_over.receive(&take_over.answer()));
    assert_close(take_over.steps_until_reclaim(), LEASE_STEPS - 10);
}

/// Guards against a second run under a lease that the predecessor granted before its process ended.
#[test]
fn shorten_inherited_leases_waits_for_a_whole_lease_without_leases() {
    let mut take_over = TakeOver::after_loss();
    assert!(take_over.receive(&take_over.answer_without_leases()));
    assert_close(take_over.steps_until_reclaim(), LEASE_STEPS);
}

/// Guards against a second run: the process has kept the leases of an owner that it ran before another
/// process owned the cell.
#[test]
fn shorten_inherited_leases_ignores_leases_of_an_earlier_owner() {
    let mut take_over = TakeOver::after_loss();
    let mut answer = take_over.answer();
    let leases = answer.leases.as_mut().unwrap();
    leases.epoch -= 1;
    leases.workers.iter_mut().for_each(|lease| lease.remaining_ms = 0);
    assert!(take_over.receive(&answer));
    assert_close(take_over.steps_until_reclaim(), LEASE_STEPS);
}

/// Guards against a wait that an answer extends.
#[test]
fn shorten_inherited_leases_never_extends_a_wait() {
    let mut take_over = TakeOver::after_loss();
    let mut answer = take_over.answer();
    let leases = answer.leases.as_mut().unwrap();
    leases.remaining_ms = u64::MAX;
    leases.workers.iter_mut().for_each(|lease| lease.remaining_ms = 60_000);
    let previous_end = take_over.fleet.cell.previous_leases_end();
    assert!(take_over.receive(&answer));
    assert_eq!(take_over.fleet.cell.previous_leases_end(), previous_end);
    assert_close(take_over.steps_until_reclaim(), GRANT_STEPS + LEASE_STEPS);
}

/// Guards against an answer that takes effect later as if it had been received when it was sent.
#[test]
fn shorten_inherited_leases_counts_from_the_receipt() {
    let mut take_over = TakeOver::after_loss();
    let answer = take_over.answer();
    take_over.fleet.run_steps(20);
    assert!(take_over.receive(&answer));
    assert!(take_over.receive(&answer), "repeated");
    assert_close(take_over.steps_until_reclaim(), LEASE_STEPS - 10);
}

/// Guards against a second run under a lease of the new owner, whose end the predecessor doesn't know.
#[test]
fn shorten_inherited_leases_keeps_a_lease_of_the_new_owner() {
    let mut take_over = TakeOver::of(busy_fleet());
    let mut answer = take_over.answer();
    take_over.fleet.run_steps(5);
    lose_first_worker(&mut take_over.fleet);
    for lease in &mut answer.leases.as_mut().unwrap().workers {
        lease.remaining_ms = 0;
    }
    assert!(take_over.receive(&answer));
    assert_close(take_over.steps_until_reclaim(), LEASE_STEPS);
}

/// Guards against a second run after an answer to an earlier takeover, or of another process.
#[parameterized(
    earlier_epoch = { |answer| Superseded { successor_epoch: 1, ..answer } },
    other_instance = { |answer| Superseded { instance: "owner-9".to_owned(), ..answer } },
)]
fn shorten_inherited_leases_ignores_a_foreign_answer(change: fn(Superseded) -> Superseded) {
    let mut take_over = TakeOver::after_loss();
    let answer = change(take_over.answer());
    assert!(!take_over.receive(&answer));
    assert_close(take_over.steps_until_reclaim(), GRANT_STEPS + LEASE_STEPS);
}

/// Guards against a second run on a worker that the predecessor doesn't know.
#[test]
fn shorten_inherited_leases_keeps_the_bound_of_an_unnamed_worker() {
    let mut take_over = TakeOver::after_loss();
    let lost = "instance-0@1";
    take_over.leases.workers.retain(|lease| lease.incarnation != lost);
    assert!(take_over.receive(&take_over.answer()));
    assert_close(take_over.steps_until_reclaim(), GRANT_STEPS + LEASE_STEPS);
}

/// Two takeovers within half a second: the first owner is cut off elsewhere, and the second one has
/// granted no lease.
fn take_over_from_brief_owner() -> TakeOver {
    let mut fleet = busy_fleet();
    lose_first_worker(&mut fleet);
    let mut take_over = TakeOver::of(fleet);
    take_over.fleet.run_steps(10);
    let first_grants_end = take_over.fleet.now - 10 * STEP + GRANT_PERIOD;
    let mut take_over = TakeOver::of(take_over.fleet);
    take_over.predecessor.earlier_grants_end = first_grants_end;
    take_over
}

/// Guards against a second run under a lease of the predecessor's predecessor, which may still grant some.
#[parameterized(
    leases = { TakeOver::answer },
    no_leases = { TakeOver::answer_without_leases },
)]
fn shorten_inherited_leases_waits_for_grants_of_a_still_earlier_owner(
    answer: fn(&TakeOver) -> Superseded,
) {
    let mut take_over = take_over_from_brief_owner();
    let answer = answer(&take_over);
    assert!(take_over.receive(&answer));
    assert_close(take_over.steps_until_reclaim(), GRANT_STEPS + LEASE_STEPS - 10);
}

/// Guards against a second run under a lease for the ended incarnation, which the next one has taken. The
/// new owner has learned of the restart, its predecessor has counted to the end of that lease before.
#[test]
fn shorten_inherited_leases_keeps_the_bound_of_a_restarted_worker() {
    let mut take_over = TakeOver::of(busy_fleet());
    let fleet = &mut take_over.fleet;
    fleet.may_grant = false;
    fleet.restart_worker(0);
    fleet.exchange_report(0);
    fleet.instances[0].is_disconnected = true;
    fleet.may_grant = true;
    let mut answer = take_over.answer();
    let leases = answer.leases.as_mut().unwrap();
    let mut next = leases.workers[0].clone();
    (next.incarnation, next.remaining_ms) = ("instance-0@2".to_owned(), 0);
    leases.workers.push(next);
    assert!(take_over.receive(&answer));
    assert_close(take_over.steps_until_reclaim(), LEASE_STEPS);
}

/// Guards against a bound for workers that the new owner learns of later which lacks leases that the
/// predecessor has granted to workers without tasks.
#[test]
fn into_leases_ends_after_all_leases() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_steps(100);
    let granted_at = fleet.now;
    let mut take_over = TakeOver::of(fleet);
    let lease_end = granted_at + CELL_SETTINGS.worst_case_lease();
    assert_eq!(take_over.leases.leases_end, lease_end);
    let answer = take_over.answer();
    assert!(take_over.receive(&answer));
    let error = take_over.fleet.cell.previous_leases_end() - lease_end;
    assert!(error <= Duration::from_millis(1), "{error:?}");
}

/// Guards against a worker that counts as silent although it reports a reading of its clock that is later
/// than the last one of the predecessor.
#[test]
fn shorten_inherited_leases_tells_a_later_clock_reading() {
    let mut take_over = TakeOver::after_loss();
    assert!(take_over.receive(&take_over.answer()));
    let fleet = &mut take_over.fleet;
    fleet.run_steps(30);
    assert_eq!(fleet.silent_workers.len(), 1);
    let mut report = fleet.instances[0].report();
    (report.worker_clock_ms, report.is_worker_reachable) = (report.worker_clock_ms + 100, true);
    fleet.cell.handle_report(report, true, fleet.now);
    fleet.commit();
    assert_eq!(fleet.silent_workers, Vec::new());
}

/// Guards against a lost worker that counts as silent later, since its agent repeats a reading of its clock
/// that the predecessor has had.
#[test]
fn shorten_inherited_leases_tells_a_repeated_clock_reading() {
    let mut take_over = TakeOver::after_loss();
    assert!(take_over.receive(&take_over.answer()));
    let fleet = &mut take_over.fleet;
    fleet.run_steps(20);
    let mut report = fleet.instances[0].report();
    report.is_worker_reachable = true;
    fleet.cell.handle_report(report, false, fleet.now);
    fleet.run_steps(10);
    assert_eq!(fleet.silent_workers.len(), 1, "no new reading for 1.5 s");
}

/// Guards against a worker that counts as silent for ever, because of an odd clock reading of the predecessor.
#[test]
fn shorten_inherited_leases_ignores_an_odd_clock_reading() {
    let mut take_over = TakeOver::after_loss();
    let mut answer = take_over.answer();
    let leases = answer.leases.as_mut().unwrap();
    leases.workers.iter_mut().for_each(|lease| lease.clock_ms = u64::MAX);
    assert!(take_over.receive(&answer));
    let fleet = &mut take_over.fleet;
    fleet.run_steps(30);
    assert_eq!(fleet.silent_workers.len(), 1);
    for _ in 0..2 {
        fleet.instances[0].clock_ms += 100;
        let report = Report { is_worker_reachable: true, ..fleet.instances[0].report() };
        fleet.cell.handle_report(report, true, fleet.now);
        fleet.commit();
    }
    assert_eq!(fleet.silent_workers, Vec::new());
}

//! Series of owners while long-running tasks wait for a run.
//!
//! Each owner has only what its predecessors have stored. After the last change the cell is calm, and
//! the live workers have room for all tasks twice over. The platform then allows a long-running task
//! to have no run until 9 s after the end of its last run or 7 s after the last change, whichever is
//! later: 6 s or 4 s of calm, and 3 s more.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use teaseltrack::cell::{
    CellEvent,
    job::Stage,
    ownership::SilentWorkerRecord,
    progress::{RunRecord, TaskPhase, TaskProgress},
    protocol::{EndCause, TaskName},
    quote::StageDemand,
};
use teaseltrack::placement::Resources;

use crate::fleet::{
    Fleet, GRANT_PERIOD, STEP, TAKEOVER_TIMEOUT, long_running, speculative, stage, stored_job,
};

const SERVING_JOB: &str = "00000000000000aa";

const MAX_WAIT_AFTER_LOSS: Duration = Duration::from_secs(9);

const MAX_WAIT_AFTER_CHANGE: Duration = Duration::from_secs(7);

/// Interval at which a candidate reads the owner's row.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How the cell gets its next owner.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// The process is killed and starts again.
    Restart,
    /// The process is killed, and another machine takes over.
    OtherMachine,
    /// The process shuts down.
    Release,
    /// Like `OtherMachine`, but the response to the takeover is lost.
    LostResponse,
}

/// What becomes of the commit that is in flight when the owner ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LastCommit {
    Answered,
    Applied,
    Lost,
}

/// Fate of the worker with the tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// Its agent repeats the last reading of its clock.
    GoneAgentAlive,
    GoneWithAgent,
    /// Its agent restarts with each owner, and repeats the last heartbeat.
    GoneAgentRestarts,
    /// It doesn't answer, and keeps its runs until its lease lapses.
    Hangs,
    /// It begins anew after that many steps, under the same agent.
    Restarts(u32),
    /// It begins anew after that many steps, with its agent.
    RestartsWithAgent(u32),
    /// It drains for a second, and is gone then.
    DrainsThenGone,
}

/// State of the tasks when the worker goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wait {
    Running,
    /// Assigned; the owner ends before the start order is sent.
    Unsent,
    /// The start order is sent, and the worker goes before it carries it out.
    Ordered,
    /// Some crashes are attributed to the tasks.
    Suspect(u32),
    Gang,
    /// The tasks fill up most of a worker, so that they may use the reserve only.
    Reserve,
    Label,
    OnePerWorker,
    /// The worker's zone is being evacuated.
    Evacuated,
    /// A completed task has another run on the worker.
    OtherRun,
    Copies,
}

struct Series {
    fleet: Fleet,
    lost: usize,
    lost_at: Instant,
    changed_at: Instant,
    fate: Fate,
    /// Time since which each long-running task has had no run.
    idle: BTreeMap<TaskName, Instant>,
    log: Vec<String>,
    began: Instant,
}

impl Series {
    fn new(wait: Wait, fate: Fate) -> Self {
        let mut fleet = Fleet::new(6, 1);
        if wait == Wait::Evacuated {
            fleet = fleet.with_zones(&["a", "b", "c"]);
        }
        let mut fleet = fleet.with_slow_store(100);
        for (index, instance) in fleet.instances.iter_mut().enumerate() {
            instance.labels = vec![format!("kind-{}", index % 2)];
        }
        let now = fleet.now;
        let mut series = Self {
            fleet,
            lost: 0,
            lost_at: now,
            changed_at: now,
            fate,
            idle: BTreeMap::new(),
            log: Vec::new(),
            began: now,
        };
        series.run_for(Duration::from_secs(1));
        let stage = match wait {
            Wait::Gang => Stage { is_gang: true, ..long_running(6) },
            Wait::Reserve => Stage {
                resources: Resources { cpu_milli: 7_800, memory_mib: 1_000, accelerators: 0 },
                ..long_running(2)
            },
            Wait::Label => {
                Stage { required_label: Some("kind-1".to_owned()), ..long_running(2) }
            }
            Wait::OnePerWorker => Stage { max_per_worker: Some(1), ..long_running(3) },
            _ => long_running(3),
        };
        if wait == Wait::Copies {
            series.fleet.max_run_ms = 30_000;
            series.fleet.submit(stored_job("00000000000000bb", vec![speculative(3)]));
        }
        series.fleet.submit(stored_job(SERVING_JOB, vec![stage]));
        series
    }

    fn names(&self) -> Vec<TaskName> {
        let job = self.fleet.jobs.get(SERVING_JOB);
        let count = job.map_or(0, |job| job.spec.stages[0].task_count);
        (0..count)
            .map(|index| TaskName { job: SERVING_JOB.to_owned(), occurrence: 0, stage: 0, index })
            .collect()
    }

    fn running_on(&self, name: &TaskName) -> Option<usize> {
        let instances = &self.fleet.instances;
        instances.iter().position(|instance| instance.running.contains_key(name))
    }

    fn observe(&mut self) {
        let now = self.fleet.now;
        for name in self.names() {
            if self.running_on(&name).is_some() {
                self.idle.remove(&name);
            } else {
                self.idle.entry(name).or_insert(now);
            }
        }
    }

    fn step(&mut self) {
        self.fleet.step();
        self.observe();
        let at = self.fleet.now.duration_since(self.began).as_millis();
        for event in self.fleet.cell.take_events() {
            let is_shown = match &event {
                CellEvent::Assigned { task, .. }
                | CellEvent::Reclaimed { task, .. }
                | CellEvent::Ended { task, .. }
                | CellEvent::Moved { task, .. }
                | CellEvent::Suspected { task, .. } => task.job == SERVING_JOB,
                CellEvent::Silent { .. } | CellEvent::State { .. } => true,
                _ => false,
            };
            if is_shown {
                self.log.push(format!("{at} epoch {}: {event:?}", self.fleet.epoch));
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.step();
        }
    }

    fn run_without_owner_until(&mut self, end: Instant) {
        while self.fleet.now < end {
            self.fleet.now += STEP;
            self.fleet.unix_now_ms += STEP.as_millis() as u64;
            for index in 0..self.fleet.instances.len() {
                self.fleet.run_worker(index);
            }
            self.observe();
        }
    }

    /// Lets the worker go that has the first long-running task.
    fn lose(&mut self) {
        self.lost_at = self.fleet.now;
        let index = self.lost;
        let stages = &self.fleet.jobs[SERVING_JOB].spec.stages;
        if stages[0].is_gang {
            // The members of a gang end with the one that is lost.
            for name in self.names() {
                for other in (0..self.fleet.instances.len()).filter(|other| *other != index) {
                    self.fleet.instances[other].end(&name, EndCause::Broken);
                }
            }
        }
        match self.fate {
            Fate::GoneAgentAlive | Fate::GoneAgentRestarts => {
                self.fleet.down_step_count = u32::MAX;
                self.fleet.crash_worker(index);
            }
            Fate::GoneWithAgent => {
                self.fleet.down_step_count = u32::MAX;
                self.fleet.crash_worker(index);
                self.fleet.instances[index].is_disconnected = true;
            }
            Fate::Hangs => {
                let clock_ms = self.fleet.instances[index].clock_ms;
                self.fleet.instances[index].last_clock_ms = Some(clock_ms);
            }
            Fate::Restarts(steps) | Fate::RestartsWithAgent(steps) => {
                self.fleet.down_step_count = steps;
                self.fleet.crash_worker(index);
                if matches!(self.fate, Fate::RestartsWithAgent(_)) {
                    self.fleet.restart_agent(index);
                }
            }
            Fate::DrainsThenGone => {
                self.fleet.instances[index].is_draining = true;
                self.fleet.max_stop_ms = 3_000;
                self.run_for(Duration::from_secs(1));
                self.lost_at = self.fleet.now;
                self.fleet.down_step_count = u32::MAX;
                self.fleet.crash_worker(index);
            }
        }
        self.observe();
    }

    fn change_owner(&mut self, change: Change, last_commit: LastCommit) {
        if last_commit == LastCommit::Answered {
            for _ in 0..10 {
                if self.fleet.slow_store.as_ref().is_some_and(|store| store.in_flight.is_some()) {
                    self.step();
                }
            }
        }
        let Some(mut store) = self.fleet.slow_store.take() else { return };
        if let Some(mut commit) = store.in_flight.take()
            && !commit.is_applied
            && last_commit != LastCommit::Lost
        {
            self.fleet.apply(&mut store, &mut commit);
        }
        let ended_at = self.fleet.now;
        // Rows are written relative to the time of their commit.
        let written_at = store.changed_at;
        let previous_remaining = store.previous_grants_end.saturating_duration_since(written_at);
        let (committed_by, grants_end) = match change {
            Change::Restart => {
                self.run_without_owner_until(ended_at + Duration::from_millis(600));
                (self.fleet.now, self.fleet.now)
            }
            Change::Release => {
                self.run_without_owner_until(ended_at + STEP);
                (self.fleet.now, self.fleet.now)
            }
            Change::OtherMachine | Change::LostResponse => {
                let since = written_at + CHECK_INTERVAL;
                self.run_without_owner_until(since + TAKEOVER_TIMEOUT);
                (since, since + GRANT_PERIOD)
            }
        };
        let restore = |recorded: &[SilentWorkerRecord], committed_by: Instant| {
            let records = recorded.iter().cloned();
            records.map(|silent| silent.restore(committed_by)).collect::<Vec<_>>()
        };
        let mut silent = restore(&store.recorded, committed_by);
        let mut grants_end = grants_end.max(committed_by + previous_remaining);
        let taken_at = self.fleet.now;
        store.recorded =
            silent.iter().map(|silent| SilentWorkerRecord::new(silent, taken_at)).collect();
        store.changed_at = taken_at;
        store.renewed_at = taken_at;
        if change == Change::LostResponse {
            self.run_without_owner_until(taken_at + Duration::from_millis(500));
            let found_at = self.fleet.now;
            silent = restore(&store.recorded, found_at);
            grants_end = found_at + GRANT_PERIOD;
            store.renewed_at = found_at - GRANT_PERIOD;
        }
        store.previous_grants_end = grants_end;
        self.fleet.may_grant = change != Change::LostResponse;
        self.fleet.silent_workers = silent;
        self.fleet.slow_store = Some(store);
        self.fleet.start_owner(grants_end);
        if self.fate == Fate::GoneAgentRestarts {
            self.fleet.restart_agent(self.lost);
        }
        self.changed_at = self.fleet.now;
        let at = self.changed_at.duration_since(self.began).as_millis();
        self.log.push(format!(
            "{at} epoch {}: {change:?}, {last_commit:?}, silent {:?}",
            self.fleet.epoch,
            self.fleet
                .silent_workers
                .iter()
                .map(|silent| (
                    silent.incarnation.clone(),
                    silent.lease_end.saturating_duration_since(self.fleet.now)
                ))
                .collect::<Vec<_>>()
        ));
    }

    /// Latest time at which all tasks must run.
    fn deadline(&self) -> Instant {
        (self.lost_at + MAX_WAIT_AFTER_LOSS).max(self.changed_at + MAX_WAIT_AFTER_CHANGE)
    }

    /// Free CPU as the owner sees it, and as it is on the workers that can run tasks.
    fn free_milli(&self) -> (u64, u64) {
        let task_count = 10_000_000;
        let demand = StageDemand {
            task_count,
            reserved: Resources { cpu_milli: 1, memory_mib: 0, accelerators: 0 },
            is_long_running: true,
            max_per_worker: None,
        };
        let quote = self.fleet.cell.quote(&[demand], "service", self.fleet.now);
        let seen = u64::from(task_count - quote.unplaceable_count);
        let live = self.fleet.instances.iter().filter(|instance| {
            instance.down_steps == 0
                && !instance.is_disconnected
                && instance.last_clock_ms.is_none()
                && !instance.is_draining
        });
        let actual = live.map(|instance| {
            let used: u64 = instance
                .running
                .keys()
                .map(|task| {
                    let stages = &self.fleet.jobs[&task.job].spec.stages;
                    stages[task.stage as usize].resources.cpu_milli
                })
                .sum();
            instance.capacity.cpu_milli - used
        });
        (seen, actual.sum())
    }
}

fn prepare(wait: Wait, fate: Fate) -> Series {
    let mut series = Series::new(wait, fate);
    let first = TaskName { job: SERVING_JOB.to_owned(), occurrence: 0, stage: 0, index: 0 };
    let assigned = |series: &Series| {
        let progress = series.fleet.progress.get(SERVING_JOB)?;
        let task = progress.occurrences.first()?.first()?.first()?;
        match &task.phase {
            TaskPhase::Assigned(incarnation) => {
                let name = incarnation.split('@').next()?;
                series.fleet.instances.iter().position(|instance| instance.name == name)
            }
            _ => None,
        }
    };
    match wait {
        Wait::Unsent | Wait::Ordered => {
            for _ in 0..100 {
                if assigned(&series).is_none() {
                    series.step();
                }
            }
            series.lost = assigned(&series).expect("assignment is stored");
        }
        _ => {
            series.run_for(Duration::from_secs(4));
            series.lost = series.running_on(&first).expect("task runs");
        }
    }
    match wait {
        Wait::Suspect(count) => {
            // As stored after earlier crashes, before a run is cleared.
            let progress = series.fleet.progress.get_mut(SERVING_JOB).expect("progress");
            for task in &mut progress.occurrences[0][0] {
                task.crash_count = count;
            }
        }
        Wait::OtherRun => {
            let lost = &series.fleet.instances[series.lost];
            let incarnation = format!("{}@{}", lost.name, lost.incarnation);
            let job = "00000000000000cc";
            let stored = stored_job(job, vec![stage(2)]);
            series.fleet.jobs.insert(job.to_owned(), stored);
            let done = TaskProgress {
                phase: TaskPhase::Done,
                attempt: 3,
                ended_attempt: 3,
                other_runs: vec![RunRecord { attempt: 2, worker: incarnation }],
                ..TaskProgress::default()
            };
            let progress = series.fleet.progress.entry(job.to_owned()).or_default();
            progress.occurrences = vec![vec![vec![done, TaskProgress::default()]]];
        }
        Wait::Evacuated => {
            let zone = series.fleet.instances[series.lost].zone.clone();
            series.fleet.evacuate(&zone);
            series.fleet.max_stop_ms = 3_000;
            series.run_for(Duration::from_millis(500));
        }
        _ => {}
    }
    series
}

/// Time by which the tasks run too late, if they do.
fn play(
    wait: Wait,
    fate: Fate,
    changes: &[(u64, Change, LastCommit)],
) -> (Series, Duration, Duration) {
    let mut series = prepare(wait, fate);
    series.lose();
    let mut round = 0_u64;
    for (after_ms, change, last_commit) in changes {
        let end = series.fleet.now + Duration::from_millis(*after_ms);
        while series.fleet.now < end {
            series.step();
            round += 1;
            if round % 12 == 0 {
                series.fleet.submit(stored_job(&format!("1{round:015x}"), vec![stage(1)]));
            }
        }
        series.change_owner(*change, *last_commit);
    }
    let deadline = series.deadline();
    let mut all_run_at = None;
    let end = deadline + Duration::from_secs(15);
    while series.fleet.now < end && all_run_at.is_none() {
        let live = series.names().iter().all(|name| {
            let index = series.running_on(name);
            index.is_some_and(|index| {
                let instance = &series.fleet.instances[index];
                instance.last_clock_ms.is_none() && instance.down_steps == 0
            })
        });
        if live {
            all_run_at = Some(series.fleet.now);
        } else {
            series.step();
        }
    }
    let at = all_run_at.unwrap_or(end);
    let late = at.saturating_duration_since(deadline);
    (series, at.duration_since(began_wait(changes, at)), late)
}

fn began_wait(_: &[(u64, Change, LastCommit)], at: Instant) -> Instant {
    at
}

#[test]
fn explore() {
    let waits = [
        Wait::Running, Wait::Unsent, Wait::Ordered, Wait::Suspect(1), Wait::Suspect(2), Wait::Gang,
        Wait::Reserve, Wait::Label, Wait::OnePerWorker, Wait::Evacuated, Wait::OtherRun, Wait::Copies,
    ];
    let fates = [
        Fate::GoneAgentAlive, Fate::GoneWithAgent, Fate::GoneAgentRestarts, Fate::Hangs,
        Fate::Restarts(65), Fate::RestartsWithAgent(65), Fate::Restarts(10), Fate::DrainsThenGone,
    ];
    let changes = [Change::Restart, Change::OtherMachine, Change::Release, Change::LostResponse];
    let commits = [LastCommit::Answered, LastCommit::Applied, LastCommit::Lost];
    std::panic::set_hook(Box::new(|_| {}));
    let mut count = 0;
    for wait in waits {
        for fate in fates {
            for change in changes {
                for commit in commits {
                    for (first, interval) in
                        [(900, 300), (900, 900), (900, 1_300), (100, 2_000), (900, 4_000), (900, 8_000)]
                    {
                        count += 1;
                        let list: Vec<_> = (0..5)
                            .map(|n| (if n == 0 { first } else { interval }, change, commit))
                            .collect();
                        let played = std::panic::catch_unwind(|| play(wait, fate, &list));
                        match played {
                            Err(error) => {
                                let text = error.downcast_ref::<String>().cloned().or_else(|| {
                                    error.downcast_ref::<&str>().map(|text| (*text).to_owned())
                                });
                                println!("PANIC {wait:?} {fate:?} {change:?} {commit:?} {interval}: {text:?}");
                            }
                            Ok((series, _, late)) => {
                                if !late.is_zero() {
                                    println!(
                                        "LATE {wait:?} {fate:?} {change:?} {commit:?} {first}/{interval}: by {late:?}, after loss {:?}, after change {:?}",
                                        series.fleet.now - series.lost_at,
                                        series.fleet.now - series.changed_at
                                    );
                                }
                            }
                        }
                    }
                }
            }
        }
    }
    println!("{count} plays");
}

#[test]
fn show() {
    let list = vec![
        (900, Change::Restart, LastCommit::Applied),
        (8_000, Change::OtherMachine, LastCommit::Applied),
        (8_000, Change::Restart, LastCommit::Applied),
    ];
    for wait in [Wait::Gang, Wait::Running] {
        let (series, _, late) = play(wait, Fate::GoneAgentAlive, &list);
        println!("{wait:?} late {late:?} lost at {:?}", series.lost_at - series.began);
        for line in &series.log {
            println!("  {line}");
        }
        println!("free {:?}", series.free_milli());
        for instance in &series.fleet.instances {
            println!("  {} {:?} down {}", instance.name, instance.running, instance.down_steps);
        }
    }
}

fn incident(first: Change, second: Change, third: Change, commit: LastCommit) -> Vec<(u64, Change, LastCommit)> {
    vec![(900, first, commit), (8_000, second, commit), (7_500, third, commit), (3_300, Change::Restart, commit)]
}

#[test]
fn explore_incident() {
    let all = [Change::Restart, Change::OtherMachine, Change::Release, Change::LostResponse];
    let mut count = 0;
    for wait in [Wait::Running, Wait::Unsent, Wait::Ordered, Wait::Suspect(1), Wait::Suspect(3), Wait::Gang, Wait::Reserve, Wait::Label, Wait::OnePerWorker, Wait::Evacuated, Wait::OtherRun, Wait::Copies] {
        for fate in [Fate::GoneAgentAlive, Fate::GoneAgentRestarts, Fate::Hangs, Fate::DrainsThenGone, Fate::Restarts(65), Fate::RestartsWithAgent(65)] {
            let mut worst = (Duration::ZERO, String::new());
            for first in all { for second in all { for third in all { for commit in [LastCommit::Answered, LastCommit::Applied, LastCommit::Lost] {
                count += 1;
                let mut series = prepare(wait, fate);
                series.lose();
                let mut first_at = None;
                let list = incident(first, second, third, commit);
                for (after_ms, change, commit) in list {
                    let end = series.fleet.now + Duration::from_millis(after_ms);
                    while series.fleet.now < end {
                        series.step();
                        if series.idle.is_empty() { first_at.get_or_insert(series.fleet.now); }
                    }
                    if first_at.is_some() { break; }
                    series.change_owner(change, commit);
                }
                let waited = first_at.unwrap_or(series.fleet.now) - series.lost_at;
                if waited > worst.0 { worst = (waited, format!("{first:?} {second:?} {third:?} {commit:?} {}", first_at.is_some())); }
            }}}}
            println!("WORST {wait:?} {fate:?} {worst:?}");
        }
    }
    println!("{count} plays");
}

fn run_random(seed: u64, min_interval_ms: u64) -> Result<(), String> {
    use rand::{RngExt, SeedableRng};
    let mut faults = rand_chacha::ChaCha8Rng::seed_from_u64(seed + 5_000);
    let mut series = Series::new(Wait::Running, Fate::GoneAgentAlive);
    series.fleet.rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    series.fleet.max_run_ms = 1_500;
    series.fleet.max_stop_ms = 400;
    let mut gone = Vec::new();
    let mut round = 0_u64;
    for phase in 0..3 {
        let mut changed_at = series.fleet.now;
        for _ in 0..300 {
            series.step();
            round += 1;
            if round % 15 == 0 {
                let mut job = stored_job(&format!("1{round:015x}"), vec![match faults.random_range(0..5) {
                    0 => Stage { is_gang: true, ..stage(3) },
                    1 => Stage { is_best_effort: true, ..stage(2) },
                    2 => speculative(2),
                    _ => stage(faults.random_range(1..4)),
                }]);
                job.queue.priority = faults.random_range(0..3);
                series.fleet.submit(job);
            }
            let index = faults.random_range(0..6);
            let now = series.fleet.now;
            match faults.random_range(0..200) {
                0..=3 if now >= changed_at + Duration::from_millis(min_interval_ms) => {
                    let change = [Change::Restart, Change::OtherMachine, Change::Release, Change::LostResponse][faults.random_range(0..4)];
                    let commit = [LastCommit::Answered, LastCommit::Applied, LastCommit::Lost][faults.random_range(0..3)];
                    series.change_owner(change, commit);
                    changed_at = series.fleet.now;
                    if faults.random_range(0..2) == 0 { series.fleet.restart_agent(faults.random_range(0..6)); }
                }
                4 if gone.len() < 2 && !gone.contains(&index) && series.fleet.instances[index].down_steps == 0 => {
                    gone.push(index);
                    series.log.push(format!("{:?} gone {index}", now - series.began));
                    series.fleet.down_step_count = u32::MAX;
                    series.fleet.crash_worker(index);
                }
                5 if !gone.contains(&index) => {
                    series.fleet.down_step_count = faults.random_range(5..80);
                    series.log.push(format!("{:?} crash {index}", now - series.began));
                    series.fleet.crash_worker(index);
                    if faults.random_range(0..2) == 0 { series.fleet.restart_agent(index); }
                }
                6 => series.fleet.restart_agent(index),
                7 => series.fleet.instances[index].is_disconnected = true,
                8..=12 => series.fleet.instances[index].is_disconnected = false,
                13 if !gone.contains(&index) => {
                    let clock_ms = series.fleet.instances[index].clock_ms;
                    series.fleet.instances[index].last_clock_ms = Some(clock_ms);
                }
                14..=19 => series.fleet.instances[index].last_clock_ms = None,
                20 if !gone.contains(&index) => series.fleet.instances[index].is_draining = true,
                21..=28 => series.fleet.instances[index].is_draining = false,
                29 => if let Some(store) = &mut series.fleet.slow_store { store.max_delay_ms = [50, 100, 600][faults.random_range(0..3)]; }
                _ => {}
            }
        }
        if let Some(store) = &mut series.fleet.slow_store { store.max_delay_ms = 100; }
        for instance in &mut series.fleet.instances { instance.is_draining = false; instance.is_disconnected = false; instance.last_clock_ms = None; }
        let calm_at = series.fleet.now;
        series.run_for(Duration::from_secs(9));
        let _ = calm_at;
        for name in series.names() {
            if series.running_on(&name).is_none() {
                return Err(format!("seed {seed} phase {phase}: {name} waits for {:?}\n{}", series.fleet.now - series.idle[&name], series.log[series.log.len().saturating_sub(40)..].join("\n")));
            }
        }
        series.run_for(Duration::from_secs(6));
        let mut least = u64::MAX;
        let mut last = (0, 0);
        for _ in 0..40 {
            series.step();
            last = series.free_milli();
            least = least.min(last.0.abs_diff(last.1));
        }
        if least > 500 {
            return Err(format!("seed {seed} phase {phase}: free {last:?} differs by {least} at least\n{}", series.log[series.log.len().saturating_sub(40)..].join("\n")));
        }
    }
    Ok(())
}

#[test]
fn explore_random() {
    let count: u64 = std::env::var("SERIES_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(50);
    let min: u64 = std::env::var("SERIES_INTERVAL").ok().and_then(|v| v.parse().ok()).unwrap_or(2000);
    for seed in 0..count {
        let result = std::panic::catch_unwind(|| run_random(seed, min));
        match result {
            Ok(Ok(())) => {}
            Ok(Err(text)) => println!("FAIL {text}"),
            Err(_) => println!("FAIL panic seed {seed}"),
        }
    }
}

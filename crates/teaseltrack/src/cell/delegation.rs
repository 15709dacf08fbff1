//! Delegation of long-running tasks to other cells.
//!
//! A long-running job stays in its cell while other jobs end elsewhere, so a task can wait for room
//! that only another cell has. The owner of the task's cell then hands it over: it commits that the
//! task belongs to the other cell, and only afterwards stores the row by which the other cell learns
//! of it. From that commit on, only the other cell may start the task, or hand it over again, to a
//! third cell or back.
//!
//! Hand-overs of a task are numbered. A cell records the number of the last one that it took part in,
//! and accepts a row only if it has a higher number; a row of a lower number never replaces one of a
//! higher number in the store. Late and repeated rows therefore have no effect, and a task has one
//! owner at any time. A cell that has accepted a task needs no record of that until it assigns the
//! task: the row stays as it is until this cell itself hands the task over.
//!
//! A job may fail in its own cell while others run tasks of it. Once that is committed, the owner stores a
//! row of its end, which the other cells follow like a cancellation. Each owner stores it again if the store
//! has a hand-over of a task of the job, so that the committed state alone decides.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    cell::{
        Cell, JobKey, Occurrence, Task, WorkerKey,
        job::{JobId, JobSpec, Queue, Stage},
        partition::CellId,
        planning::TaskKind,
        progress::{HandOverNumber, JobState, MAX_ATTEMPT, TaskPhase, TaskProgress},
        protocol::TaskName,
        room_promises::MIN_SEARCH_TIME,
        worker::TaskKey,
    },
    ids::{AttemptNumber, ServiceName},
};

/// Longest wait that is taken over from a row.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Time for which a cell keeps a task that was handed over to it, so that it can place the task.
const MIN_STAY: Duration = Duration::from_millis(500);

/// Hand-over of a task to another cell, as stored for that cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delegation {
    /// Cell that runs the task.
    pub cell: CellId,
    /// The task.
    pub task: TaskName,
    /// Number of the hand-over, from 1. Rows of earlier builds, in which a task had one at most, have
    /// none.
    #[serde(default = "first_hand_over")]
    pub hand_over: HandOverNumber,
    /// Last attempt so far; later attempts have higher numbers.
    pub attempt: AttemptNumber,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
    /// Number of crashes of workers for which the task was a suspect; see [`TaskProgress`].
    #[serde(default)]
    pub crash_count: u32,
    /// Number of those crashes for which the task was the only suspect.
    #[serde(default)]
    pub sole_crash_count: u32,
    /// Wait of the task up to the hand-over.
    #[serde(default)]
    pub wait: TaskWait,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Queue of the job.
    pub queue: Queue,
}

fn first_hand_over() -> HandOverNumber {
    1
}

/// How long a task has waited for a worker, in all cells that it was handed over to since its last
/// run. Owners that end don't pass it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskWait {
    /// Time since the task has been without a worker, in milliseconds.
    pub waited_ms: u64,
    /// Time since another cell was found to have room for it, in milliseconds.
    pub beside_room_ms: u64,
}

/// Hand-over to commit, with the wait of the task.
#[derive(Clone, Copy, Debug)]
pub(super) struct UncommittedHandOver {
    pub(super) task: TaskKey,
    wait: TaskWait,
}

impl Delegation {
    /// Whether the job's specification is valid and has the task.
    pub fn is_valid(&self) -> bool {
        let counts = [self.attempt, self.crash_count, self.sole_crash_count, self.hand_over];
        let stage = self.spec.stages.get(self.task.stage as usize);
        self.spec.validate().is_ok()
            && counts.into_iter().all(|count| count <= MAX_ATTEMPT)
            && self.task.occurrence < self.spec.max_occurrence_count()
            && stage.is_some_and(|stage| self.task.index < stage.task_count)
    }
}

/// Long-running tasks of a stage that wait for room.
#[derive(Clone, Debug, PartialEq)]
pub struct UnplacedTasks {
    /// Service whose workers can run them.
    pub service: ServiceName,
    /// Priority of their queue.
    pub priority: u32,
    /// The stage, with the number of waiting tasks as its task count.
    pub stage: Stage,
    /// The tasks.
    pub tasks: Vec<TaskName>,
    /// Whether they have waited for so long that their own cell may place them on restricted workers, and
    /// searches have found no open room elsewhere since.
    pub is_overdue: bool,
}

impl Cell {
    /// Long-running tasks that have waited for at least `wait` and may be handed over, by stage. The
    /// members of a gang are handed over together, since they must run in one cell.
    pub fn unplaced_tasks(&self, wait: Duration, now: Instant) -> Vec<UnplacedTasks> {
        let has_waited = |since: Option<Instant>, wait: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= wait)
        };
        let overdue_wait = self.settings.planning.max_serving_wait + MIN_SEARCH_TIME;
        let may_leave = |task: &Task| {
            task.is_waiting()
                && has_waited(task.unplaced_since, wait)
                && (task.received_at.is_none() || has_waited(task.received_at, MIN_STAY))
        };
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        let mut unplaced = Vec::new();
        for &key in &self.open_jobs {
            let Some(job) = self.jobs.get(key).filter(|job| !job.state.is_final()) else {
                continue;
            };
            if !job.spec.is_long_running() {
                continue;
            }
            for (first_task, stage) in self.stages_of(key) {
                if TaskKind::of(stage) != TaskKind::Serving {
                    continue;
                }
                let leaving: Vec<(TaskKey, &Task)> = (0..stage.task_count)
                    .map(|index| TaskKey { index, ..first_task })
                    .filter_map(|task_key| Some((task_key, self.task(task_key)?)))
                    .filter(|(_, task)| may_leave(task))
                    .collect();
                if stage.is_gang && leaving.len() < stage.task_count as usize {
                    continue;
                }
                // A task for which room is held in this cell gets it, or finds open room elsewhere.
                let is_overdue = |(task_key, task): &(TaskKey, &Task)| {
                    has_waited(task.unplaced_since, overdue_wait)
                        && !self.has_room(*task_key, &workers)
                };
                let is_gang_overdue = stage.is_gang && leaving.iter().any(is_overdue);
                let (overdue, others): (Vec<_>, Vec<_>) =
                    leaving.into_iter().partition(|task| is_gang_overdue || is_overdue(task));
                for (tasks, is_overdue) in [(overdue, true), (others, false)] {
                    let tasks: Vec<TaskName> =
                        tasks.iter().filter_map(|(task_key, _)| self.name_of(*task_key)).collect();
                    if tasks.is_empty() {
                        continue;
                    }
                    unplaced.push(UnplacedTasks {
                        service: job.queue.service.clone(),
                        priority: job.queue.priority,
                        stage: Stage { task_count: tasks.len() as u32, ..stage.clone() },
                        tasks,
                        is_overdue,
                    });
                }
            }
        }
        unplaced
    }

    /// Hands over a task that still waits to a cell that has room for it; takes effect with the next
    /// commit.
    pub fn delegate(&mut self, name: &TaskName, cell: CellId, now: Instant) {
        let Some(key) = self.key_of(name) else { return };
        let is_open = !self.jobs[key.job].state.is_final() && cell != self.id;
        let may_leave = is_open && self.may_leave_gang(key, cell);
        let Some(task) = self.task_mut(key).filter(|task| may_leave && task.is_waiting()) else {
            return;
        };
        task.room_found_at.get_or_insert(now);
        let wait = task.wait(now);
        task.progress.phase = TaskPhase::Delegated(cell);
        task.progress.hand_over = task.progress.hand_over.saturating_add(1);
        let job = &mut self.jobs[key.job];
        job.is_dirty = true;
        job.uncommitted_hand_overs.push(UncommittedHandOver { task: key, wait });
    }

    /// Whether the task isn't in a gang, or all other members wait or leave for the same cell.
    fn may_leave_gang(&self, key: TaskKey, cell: CellId) -> bool {
        let stage = self.stage(key);
        let mut members = (0..stage.task_count).map(|index| TaskKey { index, ..key });
        !stage.is_gang
            || members.all(|member| {
                self.task(member).is_some_and(|task| {
                    task.is_waiting() || task.progress.phase == TaskPhase::Delegated(cell)
                })
            })
    }

    /// Returns and clears the delegations to store. Some may be stored already.
    pub fn take_delegations(&mut self) -> Vec<Delegation> {
        std::mem::take(&mut self.committed_delegations)
    }

    /// Adds a task that another cell has handed over to this one; has no effect if this cell knows of
    /// the hand-over.
    ///
    /// The caller has checked after reading the delegation that the job wasn't cancelled before.
    pub fn admit_delegation(&mut self, delegation: Delegation, now: Instant) {
        let key = match self.by_id.get(&delegation.task.job) {
            Some(&key) => key,
            None => self.insert_partial_job(&delegation, now),
        };
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return;
        }
        let elsewhere = elsewhere(&job.spec);
        while job.is_partial && job.occurrences.begun_count() <= delegation.task.occurrence {
            job.occurrences.push(elsewhere.clone());
        }
        let TaskName { occurrence, stage, index, .. } = delegation.task;
        let task_key = TaskKey { job: key, occurrence, stage, index };
        let Some(task) = self.task_mut(task_key) else { return };
        let is_known = delegation.hand_over <= task.progress.hand_over;
        task.progress.hand_over = task.progress.hand_over.max(delegation.hand_over);
        // An owner of an earlier build, which counted no hand-overs, may have accepted the task.
        if is_known || !matches!(task.progress.phase, TaskPhase::Delegated(_)) {
            return;
        }
        self.end_room_promise(&delegation.task);
        let Some(task) = self.task_mut(task_key) else { return };
        let TaskWait { waited_ms, beside_room_ms } = delegation.wait;
        let before = |waited_ms| {
            now.checked_sub(Duration::from_millis(waited_ms).min(MAX_WAIT)).unwrap_or(now)
        };
        task.unplaced_since = Some(before(waited_ms));
        // The task has waited long enough to use the reserve for batch tasks.
        task.waiting_since = task.unplaced_since;
        task.room_found_at = Some(before(beside_room_ms));
        task.received_at = Some(now);
        task.progress.phase = TaskPhase::Waiting;
        task.progress.attempt = task.progress.attempt.max(delegation.attempt);
        task.progress.checkpoint = delegation.checkpoint;
        task.progress.crash_count = delegation.crash_count;
        task.progress.sole_crash_count = delegation.sole_crash_count;
        self.may_have_suspects = true;
        self.jobs[key].may_have_waiting = true;
        self.needs_plan = true;
    }

    pub(super) fn commit_hand_overs(&mut self, hand_overs: Vec<UncommittedHandOver>) {
        for hand_over in hand_overs {
            if let Some(delegation) = self.delegation_of(hand_over) {
                self.committed_delegations.push(delegation);
                self.note_hand_over_of(hand_over.task.job);
            }
        }
    }

    /// Notes that the store has a hand-over of a task of a job, to whichever cell.
    pub fn note_hand_over(&mut self, id: &str) {
        if let Some(&key) = self.by_id.get(id) {
            self.note_hand_over_of(key);
        }
    }

    fn note_hand_over_of(&mut self, key: JobKey) {
        if !std::mem::replace(&mut self.jobs[key].has_hand_overs, true) {
            self.announce_end(key);
        }
    }

    /// Lets other cells learn of the committed end of a job of this cell, if they may run tasks of it. They
    /// follow cancellations themselves.
    pub(super) fn announce_end(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let has_ended = matches!(job.committed_state, JobState::Completed | JobState::Failed);
        if has_ended && job.has_hand_overs && !job.is_partial {
            self.ended_jobs.push(job.id.clone());
        }
    }

    /// Returns and clears the jobs whose end is to be stored for other cells. It may be stored already.
    pub fn take_ended_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.ended_jobs)
    }

    /// Stops the tasks of a job of another cell, which has ended there.
    pub fn end_partial_job(&mut self, id: &str) {
        if let Some(&key) = self.by_id.get(id)
            && self.jobs[key].is_partial
        {
            self.cancel_job(key);
        }
    }

    /// Prepares the delegations of a restored job to be stored again: the previous owner may have
    /// failed between the commit and the row.
    pub(super) fn restore_delegations(&mut self, key: JobKey) {
        let is_partial = self.jobs[key].is_partial;
        let tasks = self.task_keys(key).into_iter().filter(|task| {
            // Tasks that were never handed over to this cell aren't its to hand over.
            let was_here = |task: &Task| !is_partial || task.progress.hand_over > 0;
            self.task(*task).is_some_and(was_here)
        });
        let wait = TaskWait::default();
        let hand_overs = tasks.map(|task| UncommittedHandOver { task, wait }).collect();
        self.commit_hand_overs(hand_overs);
    }

    fn delegation_of(&self, hand_over: UncommittedHandOver) -> Option<Delegation> {
        let UncommittedHandOver { task: key, wait } = hand_over;
        let job = self.jobs.get(key.job)?;
        let progress = &self.task(key)?.progress;
        let TaskPhase::Delegated(cell) = progress.phase else { return None };
        Some(Delegation {
            cell,
            task: self.name_of(key)?,
            // Earlier builds recorded no number for the only one.
            hand_over: progress.hand_over.max(first_hand_over()),
            attempt: progress.attempt,
            checkpoint: progress.checkpoint.clone(),
            crash_count: progress.crash_count,
            sole_crash_count: progress.sole_crash_count,
            wait,
            spec: JobSpec::clone(&job.spec),
            queue: job.queue.clone(),
        })
    }

    /// Stages of all occurrences, with the key of the task with index 0.
    pub(super) fn stages_of(&self, key: JobKey) -> impl Iterator<Item = (TaskKey, &Stage)> + '_ {
        let job = &self.jobs[key];
        job.occurrences.iter().flat_map(move |(occurrence, _)| {
            (0..).zip(&job.spec.stages).map(move |(stage_number, stage)| {
                (TaskKey { job: key, occurrence, stage: stage_number, index: 0 }, stage)
            })
        })
    }
}

impl Task {
    /// Wait so far; zero before the first planning round.
    fn wait(&self, now: Instant) -> TaskWait {
        let elapsed_ms = |since: Option<Instant>| {
            since.map_or(0, |since| now.saturating_duration_since(since).as_millis() as u64)
        };
        TaskWait {
            waited_ms: elapsed_ms(self.unplaced_since),
            beside_room_ms: elapsed_ms(self.room_found_at),
        }
    }
}

/// An occurrence of which no task belongs to this cell. The cell in the phase is not used.
fn elsewhere(spec: &JobSpec) -> Occurrence {
    let task = Task {
        progress: TaskProgress {
            phase: TaskPhase::Delegated(CellId::default()),
            ..TaskProgress::default()
        },
        ..Task::default()
    };
    let stages =
        spec.stages.iter().map(|stage| vec![task.clone(); stage.task_count as usize]).collect();
    Occurrence { stages }
}

//! Occurrences of a job that have begun.
//!
//! An occurrence of which all tasks are done and no run is left is finished; its tasks are dropped.
//! What a worker reports of them later is treated like reports about an unknown task: its end counts
//! for nothing, and its run is stopped.

use std::collections::VecDeque;

use crate::cell::{Task, progress::TaskPhase};

/// Tasks of an occurrence by stage; empty once it is finished.
#[derive(Clone, Debug, Default)]
pub(super) struct Occurrence {
    pub(super) stages: Vec<Vec<Task>>,
}

impl Occurrence {
    fn is_finished(&self) -> bool {
        self.stages.is_empty()
    }

    fn is_over(&self) -> bool {
        let is_over = |task: &Task| task.progress.phase == TaskPhase::Done && task.run.is_none();
        self.stages.iter().flatten().all(is_over)
    }
}

/// Occurrences of a job that have begun, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct Occurrences {
    /// Number of the first one in `begun`; all earlier ones are finished.
    first: u32,
    begun: VecDeque<Occurrence>,
}

impl Occurrences {
    /// Occurrences of a job of which those before `first` are finished.
    pub(super) fn starting_at(first: u32) -> Self {
        Self { first, begun: VecDeque::new() }
    }

    /// Number before which all occurrences are finished.
    pub(super) fn first(&self) -> u32 {
        self.first
    }

    /// Number of occurrences that have begun.
    pub(super) fn begun_count(&self) -> u32 {
        self.first + self.begun.len() as u32
    }

    /// Whether no occurrence has begun, or the state of all was dropped.
    pub(super) fn is_empty(&self) -> bool {
        self.begun.is_empty()
    }

    /// Begins the next occurrence.
    pub(super) fn push(&mut self, occurrence: Occurrence) {
        self.begun.push_back(occurrence);
    }

    /// An occurrence that has begun and isn't finished.
    pub(super) fn get(&self, number: u32) -> Option<&Occurrence> {
        let occurrence = self.begun.get(number.checked_sub(self.first)? as usize)?;
        Some(occurrence).filter(|occurrence| !occurrence.is_finished())
    }

    /// An occurrence that has begun and isn't finished.
    pub(super) fn get_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        let occurrence = self.begun.get_mut(number.checked_sub(self.first)? as usize)?;
        Some(occurrence).filter(|occurrence| !occurrence.is_finished())
    }

    /// Occurrences that aren't finished, with their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Occurrence)> + '_ {
        self.since_first().filter(|(_, occurrence)| !occurrence.is_finished())
    }

    /// All occurrences from the first that isn't finished on, with their numbers.
    pub(super) fn since_first(&self) -> impl Iterator<Item = (u32, &Occurrence)> + '_ {
        (self.first..).zip(&self.begun)
    }

    /// Tasks of the occurrences that aren't finished.
    pub(super) fn tasks(&self) -> impl Iterator<Item = &Task> + '_ {
        self.begun.iter().flat_map(|occurrence| occurrence.stages.iter().flatten())
    }

    /// Drops the tasks of the occurrences that are over.
    pub(super) fn drop_finished(&mut self) {
        for occurrence in &mut self.begun {
            if occurrence.is_over() {
                occurrence.stages.clear();
            }
        }
        while self.begun.front().is_some_and(Occurrence::is_finished) {
            self.begun.pop_front();
            self.first += 1;
        }
    }

    /// Drops the state of all occurrences.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

//! Form of a job's progress in the store, whose rows have a maximum size.
//!
//! Earlier builds read only the plain form, which lists the tasks of all occurrences. Progress that
//! it can't express, or that doesn't fit into a row, is compressed. An earlier build reads a
//! compressed row as that of a cancelled job without tasks, so that it doesn't run any of them again.

use std::io::{Read, Write};

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, Serializer, ser::Error as _};
use snafu::{OptionExt, ResultExt, Snafu};

use super::{JobProgress, JobState, OccurrenceProgress, TaskPhase, TaskProgress};
use crate::cell::job::JobSpec;

/// Maximum number of tasks of finished occurrences in the plain form.
const MAX_PLAIN_FINISHED_TASKS: u64 = 1_000;
/// Maximum size of the uncompressed form of a row that is read, in bytes.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;
/// Estimated size of a task without its strings in a plain row, in bytes.
const TASK_BYTES: usize = 48;
/// Maximum size of a listed attempt in a plain row, in bytes.
const ATTEMPT_BYTES: usize = 11;

/// Reason why a compressed row can't be read.
#[derive(Debug, Snafu)]
pub enum PackedProgressError {
    /// Not base64.
    #[snafu(display("packed: {source}"))]
    Encoding {
        /// Cause.
        source: base64::DecodeError,
    },
    /// Not the result of a compression, or too large.
    #[snafu(display("packed: {source}"))]
    Compression {
        /// Cause.
        source: std::io::Error,
    },
    /// Not the progress of a job.
    #[snafu(display("packed: {source}"))]
    Content {
        /// Cause.
        source: serde_json::Error,
    },
    /// No state in a row of the plain form.
    #[snafu(display("missing field `state`"))]
    NoState,
}

/// Row of a job's progress in either form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct StoredProgress {
    state: Option<JobState>,
    #[serde(default)]
    occurrences: Vec<OccurrenceProgress>,
    /// Base64 of the compressed form, which replaces the other fields.
    #[serde(default)]
    packed: Option<String>,
}

/// Plain form, as it is written.
#[derive(Debug, Serialize)]
struct PlainRow<'a> {
    state: JobState,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    occurrences: &'a [OccurrenceProgress],
}

/// Compressed form, as it is written.
#[derive(Debug, Serialize)]
struct PackedRow {
    /// What earlier builds read.
    state: JobState,
    packed: String,
}

/// Content of the compressed form.
#[derive(Debug, Serialize, Deserialize)]
struct PackedProgress<O> {
    state: JobState,
    first_occurrence: u32,
    occurrences: O,
}

/// Row of a job's progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressRow {
    /// The row's value.
    pub text: String,
    /// Whether checkpoints, and the workers that crashed under the tasks, were left out, because the row
    /// had no room for them.
    pub lacks_checkpoints: bool,
}

impl JobProgress {
    /// Row with at most `max_bytes`, unless even the compressed progress without checkpoints has
    /// more.
    ///
    /// # Errors
    ///
    /// The progress can't be expressed as JSON.
    pub fn to_row(&self, max_bytes: usize) -> Result<ProgressRow, serde_json::Error> {
        let mut text = serde_json::to_string(self)?;
        if text.len() > max_bytes && self.is_plain() {
            text = serde_json::to_string(&self.pack().map_err(serde_json::Error::custom)?)?;
        }
        let lacks_checkpoints = text.len() > max_bytes;
        if lacks_checkpoints {
            let mut shorter = self.clone();
            for task in shorter.occurrences.iter_mut().flatten().flatten() {
                task.checkpoint.clear();
                task.crashed_workers.clear();
            }
            text = serde_json::to_string(&shorter.pack().map_err(serde_json::Error::custom)?)?;
        }
        Ok(ProgressRow { text, lacks_checkpoints })
    }

    /// Estimated size of the plain form, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let tasks = self.occurrences.iter().flatten().flatten();
        let task_bytes = |task: &TaskProgress| {
            let worker = match &task.phase {
                TaskPhase::Assigned(worker) => worker.len(),
                TaskPhase::Waiting | TaskPhase::Done | TaskPhase::Delegated(_) => 0,
            };
            let other_runs = task.other_runs.iter().map(|run| TASK_BYTES + run.worker.len());
            let failed_attempts = ATTEMPT_BYTES * task.failed_attempts.len();
            let crashed_workers = task.crashed_workers.iter().map(|agent| 3 + agent.len());
            TASK_BYTES
                + worker
                + crashed_workers.sum::<usize>()
                + task.checkpoint.len()
                + failed_attempts
                + other_runs.sum::<usize>()
        };
        TASK_BYTES + tasks.map(task_bytes).sum::<usize>()
    }

    /// Lists the tasks of finished occurrences, so that earlier builds can read the progress, unless
    /// these are many.
    pub(crate) fn expand_finished(&mut self, spec: &JobSpec) {
        let listed = self.occurrences.iter().filter(|stages| stages.is_empty()).count() as u64;
        let finished_count = u64::from(self.first_occurrence) + listed;
        if finished_count.saturating_mul(spec.task_count()) > MAX_PLAIN_FINISHED_TASKS {
            return;
        }
        let done = TaskProgress { phase: TaskPhase::Done, ..TaskProgress::default() };
        let stages = spec.stages.iter().map(|stage| vec![done.clone(); stage.task_count as usize]);
        let finished: OccurrenceProgress = stages.collect();
        let earlier = std::mem::take(&mut self.first_occurrence) as usize;
        self.occurrences.splice(0..0, std::iter::repeat_n(Vec::new(), earlier));
        for stages in self.occurrences.iter_mut().filter(|stages| stages.is_empty()) {
            stages.clone_from(&finished);
        }
    }

    fn is_plain(&self) -> bool {
        self.first_occurrence == 0 && !self.occurrences.iter().any(Vec::is_empty)
    }

    fn pack(&self) -> std::io::Result<PackedRow> {
        let content = PackedProgress {
            state: self.state,
            first_occurrence: self.first_occurrence,
            occurrences: &self.occurrences,
        };
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(&content)?)?;
        let packed = STANDARD_NO_PAD.encode(encoder.finish()?);
        Ok(PackedRow { state: JobState::Cancelled, packed })
    }
}

impl Serialize for JobProgress {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.is_plain() {
            return PlainRow { state: self.state, occurrences: &self.occurrences }
                .serialize(serializer);
        }
        self.pack().map_err(S::Error::custom)?.serialize(serializer)
    }
}

impl TryFrom<StoredProgress> for JobProgress {
    type Error = PackedProgressError;

    fn try_from(stored: StoredProgress) -> Result<Self, PackedProgressError> {
        let StoredProgress { state, occurrences, packed } = stored;
        let Some(packed) = packed else {
            return Ok(Self {
                state: state.context(NoStateSnafu)?,
                first_occurrence: 0,
                occurrences,
            });
        };
        let compressed = STANDARD_NO_PAD.decode(packed).context(EncodingSnafu)?;
        let mut text = Vec::new();
        DeflateDecoder::new(compressed.as_slice())
            .take(MAX_UNPACKED_BYTES)
            .read_to_end(&mut text)
            .context(CompressionSnafu)?;
        let PackedProgress::<Vec<OccurrenceProgress>> { state, first_occurrence, occurrences } =
            serde_json::from_slice(&text).context(ContentSnafu)?;
        Ok(Self { state, first_occurrence, occurrences })
    }
}

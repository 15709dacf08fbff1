//! Heartbeats that the worker's own responses must confirm before the agent believes them.
//!
//! Anybody who reaches the agent's port can send a heartbeat, and one of an earlier incarnation may
//! arrive late. Only the worker knows its identifier, its start and its clock, so the agent asks it
//! ([`WorkerCall::Identify`]) whenever a heartbeat names another incarnation than the known one, or a
//! reading of the clock that it can't have reached yet.
//!
//! [`WorkerCall::Identify`]: crate::worker_port::WorkerCall::Identify

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::{
    agent::Heartbeat,
    worker_port::{OTHER_WORKER, WorkerError, WorkerResponse},
};

/// Maximum number of heartbeats that are kept; the oldest gives way to a further one.
const MAX_HEARTBEATS: usize = 8;
/// Delay before the worker is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time for which a heartbeat waits for the worker to respond. A worker repeats its heartbeats.
const MAX_WAIT: Duration = Duration::from_secs(5);

new_key_type! {
    /// Key of an unverified heartbeat.
    pub struct HeartbeatKey;
}

#[derive(Clone, Debug)]
struct Unverified {
    heartbeat: Heartbeat,
    received_at: Instant,
    /// Time of the next call; `None` while one is in flight.
    next_call_at: Option<Instant>,
}

/// What a worker's response says of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The heartbeat is the worker's own.
    Confirmed,
    /// It isn't, because of the named field.
    Refuted(&'static str),
    /// The worker hasn't responded.
    Unknown,
}

/// Heartbeats that wait for a response of the worker.
#[derive(Clone, Debug, Default)]
pub struct UnverifiedHeartbeats {
    heartbeats: SlotMap<HeartbeatKey, Unverified>,
}

impl UnverifiedHeartbeats {
    /// Adds a heartbeat. It replaces a waiting one of the same incarnation.
    pub fn push(&mut self, heartbeat: Heartbeat, now: Instant) {
        let incarnation = heartbeat.status.incarnation();
        self.heartbeats.retain(|_, other| {
            other.next_call_at.is_none() || other.heartbeat.status.incarnation() != incarnation
        });
        if self.heartbeats.len() >= MAX_HEARTBEATS {
            let oldest = self.heartbeats.iter().min_by_key(|(_, other)| other.received_at);
            if let Some((oldest, _)) = oldest {
                self.heartbeats.remove(oldest);
            }
        }
        self.heartbeats.insert(Unverified { heartbeat, received_at: now, next_call_at: Some(now) });
    }

    /// Returns a heartbeat for which a call is due, which then counts as in flight.
    pub fn next_due(&mut self, now: Instant) -> Option<(HeartbeatKey, &Heartbeat)> {
        let is_due =
            |unverified: &Unverified| unverified.next_call_at.is_some_and(|due_at| due_at <= now);
        let (key, unverified) =
            self.heartbeats.iter_mut().find(|(_, unverified)| is_due(unverified))?;
        unverified.next_call_at = None;
        Some((key, &unverified.heartbeat))
    }

    /// Time of the next call that is due.
    pub fn next_call_at(&self) -> Option<Instant> {
        self.heartbeats.values().filter_map(|unverified| unverified.next_call_at).min()
    }

    /// Removes a heartbeat; `None` if it has given way to others.
    pub fn take(&mut self, key: HeartbeatKey) -> Option<Heartbeat> {
        self.heartbeats.remove(key).map(|unverified| unverified.heartbeat)
    }

    /// The heartbeat under a key; `None` if it has given way to others.
    pub fn get(&self, key: HeartbeatKey) -> Option<&Heartbeat> {
        self.heartbeats.get(key).map(|unverified| &unverified.heartbeat)
    }

    /// Schedules another call, unless the heartbeat has waited for too long.
    pub fn retry(&mut self, key: HeartbeatKey, now: Instant) {
        let Some(unverified) = self.heartbeats.get_mut(key) else { return };
        unverified.next_call_at = Some(now + RETRY_DELAY);
        if now >= unverified.received_at + MAX_WAIT {
            self.heartbeats.remove(key);
        }
    }
}

/// Compares a heartbeat with the response to a call that was sent to its worker after it had arrived.
/// `known_worker` is the identifier of the current incarnation's worker, if there is one.
pub fn verify(
    heartbeat: &Heartbeat,
    result: &Result<WorkerResponse, WorkerError>,
    known_worker: Option<&str>,
) -> Verdict {
    let response = match result {
        Ok(response) => response,
        Err(WorkerError::Refused { reason }) if reason == OTHER_WORKER => {
            return Verdict::Refuted("identifier");
        }
        Err(_) => return Verdict::Unknown,
    };
    let status = &heartbeat.status;
    match response.started_unix_ms {
        Some(started_unix_ms) if started_unix_ms != status.started_unix_ms => {
            return Verdict::Refuted("start");
        }
        // Without a start, the response tells another worker from the known one, but not another
        // incarnation.
        None if known_worker == Some(status.worker.as_str()) => return Verdict::Unknown,
        _ => {}
    }
    if response.clock_ms.is_some_and(|clock_ms| clock_ms < heartbeat.clock_ms) {
        return Verdict::Refuted("clock");
    }
    Verdict::Confirmed
}

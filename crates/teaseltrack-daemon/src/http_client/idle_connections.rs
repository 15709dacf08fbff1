//! Idle connections to one server, and which of them may be used.
//!
//! A connection may go silent without being closed, so that nothing but a request without a response
//! shows it. Such a request puts in doubt all connections on which the server hasn't responded since
//! it was sent: whatever silenced one connection may have silenced them too. Connections in doubt
//! aren't used while new ones can be opened, and are closed once the server has responded on a new one.
//! They aren't closed at once, since a server that is only slow may not accept new connections either.
//!
//! A request therefore meets at most two silent connections for each time that connections go silent:
//! the one on which it was sent before, and one that was idle meanwhile. A slow server costs at most
//! [`MAX_IDLE_CONNECTIONS`] connections more than a fast one for each time that it becomes slow.

use std::time::{Duration, Instant};

/// Maximum number of idle connections to a server.
pub const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time after which an idle connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Connection that is idle.
#[derive(Debug)]
struct IdleConnection<C> {
    connection: C,
    /// Time at which the server last responded on it, or accepted it.
    proven_at: Instant,
    idle_since: Instant,
}

/// First response of a server after one that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Time from the first request without a response, as far as it is known to this client.
    pub silent_for: Duration,
    /// Whether the connection was opened after the last request without a response. If so, the earlier
    /// ones were silent; otherwise, the server was slow, or only some connections were silent.
    pub is_new_connection: bool,
}

/// Idle connections to a server; `C` is the type of a connection.
#[derive(Debug)]
pub struct IdleConnections<C> {
    /// The last one was used last.
    connections: Vec<IdleConnection<C>>,
    /// Latest time at which a request was sent that got no response.
    unanswered_at: Option<Instant>,
    /// Time at which the first request was sent that got no response, until the server has responded.
    silent_since: Option<Instant>,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self { connections: Vec::new(), unanswered_at: None, silent_since: None }
    }
}

impl<C> IdleConnections<C> {
    /// Takes the connection that was used last, if it isn't in doubt. Drops those that have been idle
    /// for too long, and those that `is_open` rejects.
    pub fn take(&mut self, now: Instant, is_open: impl Fn(&C) -> bool) -> Option<C> {
        self.remove_unusable(now, is_open);
        let index =
            self.connections.iter().rposition(|idle| !is_in_doubt(idle, self.unanswered_at))?;
        Some(self.connections.remove(index).connection)
    }

    /// Takes the connection that was used last, in doubt or not.
    pub fn take_any(&mut self, now: Instant, is_open: impl Fn(&C) -> bool) -> Option<C> {
        self.remove_unusable(now, is_open);
        self.connections.pop().map(|idle| idle.connection)
    }

    /// Adds a connection on which the server responded, or which it accepted, at `proven_at`.
    pub fn put(&mut self, connection: C, proven_at: Instant, now: Instant) {
        if self.connections.len() >= MAX_IDLE_CONNECTIONS {
            self.connections.remove(0);
        }
        self.connections.push(IdleConnection { connection, proven_at, idle_since: now });
    }

    /// Records that a request got no response within its timeout. Returns the number of idle
    /// connections that this puts in doubt.
    pub fn response_lost(&mut self, sent_at: Instant) -> usize {
        let earlier = self.unanswered_at;
        self.unanswered_at = earlier.max(Some(sent_at));
        self.silent_since.get_or_insert(sent_at);
        let latest = self.unanswered_at;
        let is_new =
            |idle: &&IdleConnection<C>| is_in_doubt(idle, latest) && !is_in_doubt(idle, earlier);
        self.connections.iter().filter(is_new).count()
    }

    /// Records a response on a connection that was opened at `opened_at`. Drops the connections in doubt
    /// if it is a new one. Returns a recovery if an earlier response was lost.
    pub fn response_received(
        &mut self,
        opened_at: Instant,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Recovery> {
        let unanswered_at = self.unanswered_at?;
        let is_new_connection = opened_at > unanswered_at;
        if is_new_connection {
            self.connections.retain(|idle| !is_in_doubt(idle, Some(unanswered_at)));
        }
        // A request that was sent before the lost one may have been carried out before it, too.
        let silent_since = self.silent_since.filter(|_| sent_at > unanswered_at)?;
        self.silent_since = None;
        let silent_for = now.saturating_duration_since(silent_since);
        Some(Recovery { silent_for, is_new_connection })
    }

    /// Whether the server hasn't responded since the last request without a response.
    pub fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Whether there are connections in doubt.
    pub fn has_doubtful(&self) -> bool {
        self.connections.iter().any(|idle| is_in_doubt(idle, self.unanswered_at))
    }

    fn remove_unusable(&mut self, now: Instant, is_open: impl Fn(&C) -> bool) {
        self.connections.retain(|idle| {
            now.saturating_duration_since(idle.idle_since) < IDLE_TIMEOUT
                && is_open(&idle.connection)
        });
    }
}

fn is_in_doubt<C>(idle: &IdleConnection<C>, unanswered_at: Option<Instant>) -> bool {
    unanswered_at.is_some_and(|unanswered_at| idle.proven_at < unanswered_at)
}

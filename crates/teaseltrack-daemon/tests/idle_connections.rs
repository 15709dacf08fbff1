//! Which idle connections are used after requests got no response.

use std::time::{Duration, Instant};

use teaseltrack_daemon::http_client::idle_connections::{
    IDLE_TIMEOUT, IdleConnections, MAX_IDLE_CONNECTIONS, Recovery,
};

/// Connections named by their order.
type Pool = IdleConnections<u32>;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A pool with the connections 0 to 3, proven at 100 to 103 ms.
fn pool(start: Instant) -> Pool {
    let mut pool = Pool::default();
    for connection in 0..4 {
        let proven_at = at(start, 100 + u64::from(connection));
        pool.put(connection, proven_at, proven_at);
    }
    pool
}

/// Guards against a second request on a connection that is as silent as the one before.
#[test]
fn take_skips_connections_not_proven_since_a_lost_request() {
    let start = Instant::now();
    let mut pool = pool(start);
    assert_eq!(pool.response_lost(at(start, 102)), 2);
    assert!(pool.has_doubtful() && pool.is_silent());
    assert_eq!(pool.take(at(start, 900), |_| true), Some(3));
    assert_eq!(pool.take(at(start, 900), |_| true), Some(2));
    assert_eq!(pool.take(at(start, 900), |_| true), None);
    assert_eq!(pool.take_any(at(start, 900), |_| true), Some(1));
}

/// Guards against a lost request that restores the trust that a later one has taken away.
#[test]
fn response_lost_keeps_the_latest_lost_request() {
    let start = Instant::now();
    let mut pool = pool(start);
    assert_eq!(pool.response_lost(at(start, 200)), 4);
    assert_eq!(pool.response_lost(at(start, 101)), 0);
    assert_eq!(pool.take(at(start, 900), |_| true), None);
}

/// Guards against a sound connection that isn't used because of a request that was lost on another one.
#[test]
fn put_makes_a_connection_usable_again() {
    let start = Instant::now();
    let mut pool = pool(start);
    pool.response_lost(at(start, 200));
    let connection = pool.take_any(at(start, 900), |_| true).expect("a connection in doubt");
    assert_eq!(pool.response_received(at(start, 10), at(start, 900), at(start, 910)), {
        let silent_for = Duration::from_millis(710);
        Some(Recovery { silent_for, is_new_connection: false })
    });
    pool.put(connection, at(start, 910), at(start, 910));
    assert_eq!(pool.take(at(start, 920), |_| true), Some(connection));
}

/// Guards against silent connections that stay open although new ones work, and against one that is closed although
/// none of the new ones has been seen to work.
#[test]
fn response_received_on_a_new_connection_drops_those_in_doubt() {
    let start = Instant::now();
    let mut pool = pool(start);
    pool.response_lost(at(start, 200));
    // Sent before the lost request, on a connection that is as old.
    assert_eq!(pool.response_received(at(start, 10), at(start, 150), at(start, 300)), None);
    assert!(pool.has_doubtful());
    let recovery = pool.response_received(at(start, 901), at(start, 902), at(start, 905));
    let silent_for = Duration::from_millis(705);
    assert_eq!(recovery, Some(Recovery { silent_for, is_new_connection: true }));
    assert!(!pool.has_doubtful() && !pool.is_silent());
    assert_eq!(pool.take_any(at(start, 910), |_| true), None);
    assert_eq!(pool.response_received(at(start, 901), at(start, 911), at(start, 912)), None);
}

/// Guards against closed or long idle connections that are used.
#[test]
fn take_drops_closed_and_expired_connections() {
    let start = Instant::now();
    let mut pool = pool(start);
    assert_eq!(pool.take(at(start, 900), |connection| *connection != 3), Some(2));
    let expired_at = at(start, 101) + IDLE_TIMEOUT;
    assert_eq!(pool.take(expired_at - Duration::from_millis(1), |_| true), Some(1));
    assert_eq!(pool.take_any(expired_at, |_| true), None);
}

/// Guards against a number of idle connections without a limit.
#[test]
fn put_drops_the_connection_that_was_used_least_recently() {
    let start = Instant::now();
    let mut pool = Pool::default();
    let count = MAX_IDLE_CONNECTIONS as u32 + 2;
    for connection in 0..count {
        pool.put(connection, start, start);
    }
    let taken: Vec<u32> = std::iter::from_fn(|| pool.take(start, |_| true)).collect();
    assert_eq!(taken, (2..count).rev().collect::<Vec<_>>());
}

//! Logs and metrics of a client's connections.

use std::net::SocketAddr;

use slog::{Logger, info, warn};

use super::idle_connections::Recovery;
use crate::metrics::Metrics;

/// Label with the address of the server.
const ADDRESS: &str = "address";

/// Reports what a client observes of its connections; cheap to clone.
#[derive(Clone, Debug)]
pub struct ConnectionMonitor {
    metrics: Metrics,
    logger: Logger,
}

impl ConnectionMonitor {
    /// Creates a monitor.
    pub fn new(metrics: Metrics, logger: Logger) -> Self {
        Self { metrics, logger }
    }

    /// Creates a monitor that writes no log.
    pub fn silent() -> Self {
        Self::new(Metrics::scrape_only(), crate::logs::silent())
    }

    pub(super) fn opened(&self, address: SocketAddr) {
        self.count("connections_opened", address);
    }

    pub(super) fn not_opened(&self, address: SocketAddr) {
        self.count("connections_failed", address);
    }

    pub(super) fn response_lost(&self, address: SocketAddr, lost: &LostResponse) {
        self.count("responses_lost", address);
        for _ in 0..lost.doubtful_count {
            self.count("connections_doubtful", address);
        }
        if lost.is_first {
            warn!(self.logger, "no response in time; earlier connections are in doubt";
                "address" => %address, "timeout_ms" => lost.timeout_ms,
                "was_used_before" => lost.was_used_before, "doubtful" => lost.doubtful_count);
        }
    }

    pub(super) fn recovered(&self, address: SocketAddr, recovery: Recovery) {
        let name = if recovery.is_new_connection {
            "recoveries_on_new_connections"
        } else {
            "recoveries_on_earlier_connections"
        };
        self.count(name, address);
        info!(self.logger, "server responds again"; "address" => %address,
            "silent_ms" => recovery.silent_for.as_millis() as u64,
            "is_new_connection" => recovery.is_new_connection);
    }

    fn count(&self, name: &str, address: SocketAddr) {
        self.metrics.count_tagged(name, ADDRESS, &address.to_string());
    }
}

/// Request that got no response in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostResponse {
    pub timeout_ms: u64,
    /// Whether the server had responded on the connection before.
    pub was_used_before: bool,
    /// Number of idle connections that this puts in doubt.
    pub doubtful_count: usize,
    /// Whether the server has responded since the one before.
    pub is_first: bool,
}

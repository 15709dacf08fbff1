//! Graceful shutdown: drain, then close.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Phases of a graceful shutdown, shared by all tasks of a process.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled when the process stops accepting new work.
    pub draining: CancellationToken,
    /// Cancelled when running work has ended and listeners close.
    pub closing: CancellationToken,
}

impl Shutdown {
    /// Creates a shutdown handle with neither phase started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the process has stopped accepting new work.
    pub fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Starts draining on SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// The signal handlers can't be installed.
    pub fn drain_on_signal(&self) -> std::io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let draining = self.draining.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            draining.cancel();
        });
        Ok(())
    }
}

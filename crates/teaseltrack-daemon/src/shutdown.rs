//! The planned stop: first drain, then close.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// The two steps of a planned stop, shared by all tasks of a process.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled when no new work is to be taken.
    pub draining: CancellationToken,
    /// Cancelled when running work has ended and sockets close.
    pub closing: CancellationToken,
}

impl Shutdown {
    /// Nothing is to stop yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no new work is to be taken.
    pub fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Begins to drain when the process is asked to stop.
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

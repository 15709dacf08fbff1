//! Record of what was sent, answered and run: one line for each event, with the time since the start.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Record file shared by all stand-ins of a case; cheap to clone.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, replacing an earlier one.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Milliseconds since the start of the case.
    pub fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn note(&self, who: &str, what: impl Display) {
        let elapsed_ms = self.elapsed_ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        drop(writeln!(file, "{elapsed_ms:>7} ms  {who:<12} {what}"));
    }
}

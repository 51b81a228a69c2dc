//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path)
            .unwrap_or_else(|error| crate::cannot_run(&format!("{path}: {error}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.now());
    }
}

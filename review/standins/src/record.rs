//! What was sent, answered and run.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    path: String,
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Creates an empty record, to be written to `path`.
    pub fn new(path: &str) -> Self {
        Self {
            path: path.to_string(),
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the file.
    pub fn write(&self) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        std::fs::write(&self.path, text).unwrap();
    }
}

//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Result<Record, String> {
        let file = File::create(Path::new(folder).join("record.txt")).map_err(|e| e.to_string())?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.now(), text.as_ref());
        self.line(text);
    }
}

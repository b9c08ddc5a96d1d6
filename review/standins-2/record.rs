//! The record of what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started: Instant::now() })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let line = format!("{:>4}.{:03} {text}\n", at / 1_000, at % 1_000);
        let mut file = self.file.lock().expect("not poisoned");
        let _ = file.write_all(line.as_bytes());
        drop(file);
        print!("{line}");
    }
}

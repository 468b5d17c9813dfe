//! `record.txt`: what was sent, answered and run, with the time since the start of the case.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn append(path: &Path) -> std::io::Result<Record> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Record(Arc::new((Mutex::new(file), Instant::now()))))
    }

    pub fn now(&self) -> Duration {
        self.0 .1.elapsed()
    }

    pub fn line(&self, who: &str, text: &str) {
        let mut file = self.0 .0.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {who}: {text}", self.0 .1.elapsed().as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line("result", text);
        println!("{text}");
    }
}

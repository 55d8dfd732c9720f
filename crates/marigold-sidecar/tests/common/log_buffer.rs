//! Log output kept in memory.

use std::io::{self, Write};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use marigold_sidecar::events::EventLog;
use serde_json::Value;
use spdlog::Logger;
use spdlog::sink::WriteSink;

/// Captures log output.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    /// Returns an event log that writes to this buffer.
    pub fn events(&self) -> Rc<EventLog> {
        let sink = WriteSink::builder().target(self.clone()).build_arc();
        let logger = Logger::builder().sink(sink.expect("a sink")).build_arc();
        Rc::new(EventLog::new(Arc::from("test"), logger.expect("a logger")))
    }

    /// Returns everything written.
    pub fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer has panicked").clone();
        String::from_utf8(bytes).expect("valid UTF-8")
    }

    /// Returns the lines with this event name, in order.
    pub fn lines(&self, event: &str) -> Vec<Value> {
        let text = self.text();
        let lines = text.lines().filter_map(|line| {
            let line = &line[line.find('{')?..];
            Some(serde_json::from_str::<Value>(line).expect("JSON"))
        });
        lines.filter(|line| line["event"] == event).collect()
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().expect("no writer has panicked");
        buffer.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

//! The log lines of any number of sidecars. See docs/LOGS.md.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use super::read_file;
use crate::CtlError;

/// Fields that every line has, or that are shown in columns of their own.
const COLUMNS: [&str; 4] = ["time_ms", "instance", "event", "request"];

/// One log line.
#[derive(Debug, Clone, Serialize)]
pub struct LogLine {
    /// When it was written, by the clock of its instance.
    pub time_ms: u64,
    /// Who wrote it.
    pub instance: String,
    /// What it tells of.
    pub event: String,
    /// The request that it names.
    #[serde(skip)]
    pub request: Option<String>,
    /// Everything else.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Reads a line, with or without something in front of it, as log collectors add.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut object: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let time_ms = object.get("time_ms")?.as_u64()?;
        let instance = object.get("instance")?.as_str()?.to_owned();
        let event = object.get("event")?.as_str()?.to_owned();
        let request = object.get("request").and_then(Value::as_str);
        let request = request.map(str::to_owned);
        object.retain(|name, _| !COLUMNS.contains(&name.as_str()));
        Some(Self {
            time_ms,
            instance,
            event,
            request,
            fields: object.into_iter().collect(),
        })
    }

    /// Returns a field's text, empty if there is none.
    pub fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Returns a field's number, zero if there is none.
    pub fn number(&self, field: &str) -> u64 {
        let value = self.fields.get(field).and_then(Value::as_u64);
        value.unwrap_or_default()
    }

    /// Returns all other fields in words.
    pub fn details(&self) -> String {
        let field = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name} {text}"),
            other => format!("{name} {other}"),
        };
        let details: Vec<_> = self.fields.iter().map(field).collect();
        details.join(", ")
    }
}

/// The lines that could be read, in the order of time.
#[derive(Debug, Default)]
pub struct SidecarLog {
    /// The lines.
    pub lines: Vec<LogLine>,
    /// Lines that are no log lines of a sidecar.
    pub passed_over: usize,
}

impl SidecarLog {
    /// Reads `files`, or the standard input if there are none.
    pub fn read(files: &[PathBuf]) -> Result<Self, CtlError> {
        let mut log = Self::default();
        if files.is_empty() {
            let mut text = String::new();
            let read = std::io::stdin().read_to_string(&mut text);
            read.map_err(|error| super::file_error("read", Path::new("-"), &error))?;
            log.add(&text);
        }
        for file in files {
            log.add(&read_file(file)?);
        }
        log.lines.sort_by_key(|line| line.time_ms);
        Ok(log)
    }

    fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(line) {
                Some(line) => self.lines.push(line),
                None => self.passed_over += 1,
            }
        }
    }

    /// Says how many lines could not be read, if any.
    pub fn say_passed_over(&self) {
        if self.passed_over > 0 {
            let count = self.passed_over;
            crate::output::say!("{count} lines are no log lines of a sidecar and were passed over");
        }
    }
}

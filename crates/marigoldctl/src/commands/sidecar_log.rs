//! A reader of the JSON log lines of sidecars. See docs/LOGS.md.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use super::read_file;
use crate::CtlError;

/// Fields that are kept apart from [`LogLine::fields`].
const NAMED_FIELDS: [&str; 4] = ["time_ms", "instance", "event", "request"];

/// One log line.
#[derive(Debug, Clone, Serialize)]
pub struct LogLine {
    /// The time, in milliseconds since 1970 by the clock of the instance.
    pub time_ms: u64,
    /// The instance that wrote the line.
    pub instance: String,
    /// The name of the event.
    pub event: String,
    /// The id of the request, if the event concerns one.
    #[serde(skip)]
    pub request: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Parses a line. Text before the JSON object, as log collectors add it, is skipped.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut object: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let time_ms = object.get("time_ms")?.as_u64()?;
        let instance = object.get("instance")?.as_str()?.to_owned();
        let event = object.get("event")?.as_str()?.to_owned();
        let request = object.get("request").and_then(Value::as_str);
        let request = request.map(str::to_owned);
        object.retain(|name, _| !NAMED_FIELDS.contains(&name.as_str()));
        Some(Self {
            time_ms,
            instance,
            event,
            request,
            fields: object.into_iter().collect(),
        })
    }

    /// Returns the text of a field, or an empty string if it is absent or no text.
    pub fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Returns the number in a field, or 0 if it is absent or no unsigned integer.
    pub fn number(&self, field: &str) -> u64 {
        let value = self.fields.get(field).and_then(Value::as_u64);
        value.unwrap_or_default()
    }

    /// Formats [`Self::fields`] as a list of names and values.
    pub fn details(&self) -> String {
        let field = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name} {text}"),
            other => format!("{name} {other}"),
        };
        let details: Vec<_> = self.fields.iter().map(field).collect();
        details.join(", ")
    }
}

/// The log lines of all input files, sorted by time.
#[derive(Debug, Default)]
pub struct SidecarLog {
    /// The parsed lines. Clocks of different instances may differ.
    pub lines: Vec<LogLine>,
    /// The number of non-empty lines that are not log lines of a sidecar.
    pub unreadable_lines: usize,
}

impl SidecarLog {
    /// Reads `files`, or standard input if `files` is empty.
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
                None => self.unreadable_lines += 1,
            }
        }
    }

    /// Prints the number of unreadable lines, if there are any.
    pub fn print_unreadable_lines(&self) {
        if self.unreadable_lines > 0 {
            let count = self.unreadable_lines;
            crate::output::print_line!(
                "{count} lines are no log lines of a sidecar and were ignored"
            );
        }
    }
}

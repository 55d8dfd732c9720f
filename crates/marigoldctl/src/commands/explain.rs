//! `marigoldctl explain`.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use super::read_file;
use crate::output::{print_json, say, table};
use crate::{CtlError, Outcome};

/// Fields that every line has, or that are shown in columns of their own.
const COLUMNS: [&str; 4] = ["time_ms", "instance", "event", "request"];

/// What the logs say of one request, as JSON.
#[derive(Debug, Serialize)]
struct Explanation<'a> {
    request: &'a str,
    lines: &'a [Line],
    /// Lines that are no log lines of a sidecar.
    passed_over: usize,
}

/// One log line.
#[derive(Debug, Serialize)]
struct Line {
    time_ms: u64,
    instance: String,
    event: String,
    #[serde(flatten)]
    fields: BTreeMap<String, Value>,
}

impl Line {
    /// Reads a line, with or without something in front of it, as log collectors add.
    fn parse(text: &str) -> Option<(Self, Option<String>)> {
        let start = text.find('{')?;
        let mut object: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let line = Self {
            time_ms: object.get("time_ms")?.as_u64()?,
            instance: object.get("instance")?.as_str()?.to_owned(),
            event: object.get("event")?.as_str()?.to_owned(),
            fields: BTreeMap::new(),
        };
        let request = object.get("request").and_then(Value::as_str);
        let request = request.map(str::to_owned);
        object.retain(|name, _| !COLUMNS.contains(&name.as_str()));
        let fields = object.into_iter().collect();
        Some((Self { fields, ..line }, request))
    }

    fn details(&self) -> String {
        let field = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name} {text}"),
            other => format!("{name} {other}"),
        };
        let details: Vec<_> = self.fields.iter().map(field).collect();
        details.join(", ")
    }
}

/// Prints what the logs say of one request, in the order of time; the negative outcome means that they
/// say nothing.
pub fn run(request: &str, files: &[PathBuf], json: bool) -> Result<Outcome, CtlError> {
    let text = read(files)?;
    let mut lines = Vec::new();
    let mut passed_over = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match Line::parse(line) {
            Some((line, Some(id))) if id == request => lines.push(line),
            Some(_) => {}
            None => passed_over += 1,
        }
    }
    lines.sort_by_key(|line| line.time_ms);
    if json {
        print_json(&Explanation {
            request,
            lines: &lines,
            passed_over,
        })?;
    } else {
        print(request, &lines, passed_over);
    }
    Ok(if lines.is_empty() {
        Outcome::Negative
    } else {
        Outcome::Done
    })
}

fn read(files: &[PathBuf]) -> Result<String, CtlError> {
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| super::file_error("read", Path::new("-"), &error))?;
        return Ok(text);
    }
    let texts: Result<Vec<_>, _> = files.iter().map(|file| read_file(file)).collect();
    Ok(texts?.join("\n"))
}

fn print(request: &str, lines: &[Line], passed_over: usize) {
    if lines.is_empty() {
        say!("no line names request {request}; of plain successes only some are written");
    } else {
        let began = lines[0].time_ms;
        let mut table = table(&["after", "instance", "event", "what decided it"]);
        for line in lines {
            let after = format!("{}ms", line.time_ms - began);
            table.add_row([
                after,
                line.instance.clone(),
                line.event.clone(),
                line.details(),
            ]);
        }
        say!("{table}");
    }
    if passed_over > 0 {
        say!("{passed_over} lines are no log lines of a sidecar and were passed over");
    }
}

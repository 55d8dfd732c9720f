//! `marigoldctl explain`.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Serialize;

use super::sidecar_log::{LogLine, SidecarLog};
use crate::output::{print_json, print_line, table};
use crate::{CtlError, Outcome};

/// Events that change an instance's state, each with the field that names the object concerned,
/// such as the table or the executor. The newest event of each topic and object is the current
/// state.
const STATE_EVENTS: [(&str, &str); 14] = [
    ("started", ""),
    ("stopping", ""),
    ("config_in_force", ""),
    ("config_refused", ""),
    ("daemons_changed", ""),
    ("news_source_changed", ""),
    ("store_lost", "table"),
    ("store_regained", "table"),
    ("backend_announced", ""),
    ("backend_found", ""),
    ("backend_unreachable", ""),
    ("link_lost", "executor"),
    ("link_silent", "executor"),
    ("link_up", "executor"),
];

/// The JSON form of the explanation.
#[derive(Debug, Serialize)]
struct Explanation<'a> {
    request: &'a str,
    lines: &'a [LogLine],
    /// The state, when the request arrived, of the instances that logged it.
    #[serde(rename = "believed")]
    state: &'a [LogLine],
    /// The number of input lines that are not log lines of a sidecar.
    #[serde(rename = "passed_over")]
    unreadable_lines: usize,
}

/// Prints the log lines of one request by time, and the state of its instances. The outcome is
/// negative when no line names the request.
pub fn run(request: &str, files: &[PathBuf], json: bool) -> Result<Outcome, CtlError> {
    let log = SidecarLog::read(files)?;
    let names_request = |line: &&LogLine| line.request.as_deref() == Some(request);
    let lines: Vec<_> = log.lines.iter().filter(names_request).cloned().collect();
    let state = state_at_request(&log, &lines);
    if json {
        print_json(&Explanation {
            request,
            lines: &lines,
            state: &state,
            unreadable_lines: log.unreadable_lines,
        })?;
    } else {
        print(request, &lines, &state);
        log.print_unreadable_lines();
    }
    Ok(if lines.is_empty() {
        Outcome::Negative
    } else {
        Outcome::Done
    })
}

/// Returns the newest state event of each topic and object from before the request, for the
/// instances in `lines`.
fn state_at_request(log: &SidecarLog, lines: &[LogLine]) -> Vec<LogLine> {
    let Some(first) = lines.first() else {
        return Vec::new();
    };
    let mut newest: BTreeMap<(String, &str, String), &LogLine> = BTreeMap::new();
    for line in &log.lines {
        let state_event = STATE_EVENTS.iter().find(|(event, _)| *event == line.event);
        let Some((_, object_field)) = state_event else {
            continue;
        };
        let is_involved = lines.iter().any(|logged| logged.instance == line.instance);
        if !is_involved || line.time_ms > first.time_ms {
            continue;
        }
        if line.event == "started" {
            // A restart discards the state of the previous process.
            newest.retain(|(instance, ..), _| *instance != line.instance);
        }
        let topic = topic(&line.event);
        newest.insert(
            (
                line.instance.clone(),
                topic,
                line.text(object_field).to_owned(),
            ),
            line,
        );
    }
    newest.into_values().cloned().collect()
}

/// Returns the topic of an event, the first word of its name; a later event of the same topic
/// replaces an earlier one.
fn topic(event: &str) -> &str {
    event.split_once('_').map_or(event, |(topic, _)| topic)
}

fn print(request: &str, lines: &[LogLine], state_lines: &[LogLine]) {
    let Some(first) = lines.first() else {
        print_line!(
            "no line names request {request}; only some of the requests that succeed are logged"
        );
        return;
    };
    let mut what = table(&["after", "instance", "event", "what decided it"]);
    for line in lines {
        let after = format!("{}ms", line.time_ms - first.time_ms);
        let details = line.details();
        what.add_row([after, line.instance.clone(), line.event.clone(), details]);
    }
    print_line!("{what}");
    if state_lines.is_empty() {
        return;
    }
    print_line!("State of these instances when the request arrived:");
    let mut state = table(&["since", "instance", "event", "details"]);
    for line in state_lines {
        let since = format!("{}ms", first.time_ms - line.time_ms);
        let details = line.details();
        state.add_row([since, line.instance.clone(), line.event.clone(), details]);
    }
    print_line!("{state}");
}

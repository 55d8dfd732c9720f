//! `marigoldctl explain`.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Serialize;

use super::sidecar_log::{LogLine, SidecarLog};
use crate::output::{print_json, say, table};
use crate::{CtlError, Outcome};

/// Events that change what an instance believes, each with the field that names what it is of; the
/// newest of each is what was believed.
const BELIEFS: [(&str, &str); 14] = [
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

/// What the logs say of one request, as JSON.
#[derive(Debug, Serialize)]
struct Explanation<'a> {
    request: &'a str,
    lines: &'a [LogLine],
    /// What each instance that had to do with the request believed when it came.
    believed: &'a [LogLine],
    /// Lines that are no log lines of a sidecar.
    passed_over: usize,
}

/// Prints what the logs say of one request, in the order of time; the negative outcome means that they
/// say nothing.
pub fn run(request: &str, files: &[PathBuf], json: bool) -> Result<Outcome, CtlError> {
    let log = SidecarLog::read(files)?;
    let names = |line: &&LogLine| line.request.as_deref() == Some(request);
    let lines: Vec<_> = log.lines.iter().filter(names).cloned().collect();
    let believed = believed(&log, &lines);
    if json {
        print_json(&Explanation {
            request,
            lines: &lines,
            believed: &believed,
            passed_over: log.passed_over,
        })?;
    } else {
        print(request, &lines, &believed);
        log.say_passed_over();
    }
    Ok(if lines.is_empty() {
        Outcome::Negative
    } else {
        Outcome::Done
    })
}

/// Returns the newest line of each belief, from before the request, of the instances in `lines`.
fn believed(log: &SidecarLog, lines: &[LogLine]) -> Vec<LogLine> {
    let Some(first) = lines.first() else {
        return Vec::new();
    };
    let mut newest: BTreeMap<(String, &str, String), &LogLine> = BTreeMap::new();
    for line in &log.lines {
        let belief = BELIEFS.iter().find(|(event, _)| *event == line.event);
        let Some((_, of)) = belief else {
            continue;
        };
        let is_involved = lines.iter().any(|named| named.instance == line.instance);
        if !is_involved || line.time_ms > first.time_ms {
            continue;
        }
        if line.event == "started" {
            // What the process before it believed is gone.
            newest.retain(|(instance, ..), _| *instance != line.instance);
        }
        let topic = topic(&line.event);
        newest.insert(
            (line.instance.clone(), topic, line.text(of).to_owned()),
            line,
        );
    }
    newest.into_values().cloned().collect()
}

/// Returns what an event is of: a later event of the same topic replaces it.
fn topic(event: &str) -> &str {
    event.split_once('_').map_or(event, |(topic, _)| topic)
}

fn print(request: &str, lines: &[LogLine], believed: &[LogLine]) {
    let Some(first) = lines.first() else {
        say!("no line names request {request}; of plain successes only some are written");
        return;
    };
    let mut what = table(&["after", "instance", "event", "what decided it"]);
    for line in lines {
        let after = format!("{}ms", line.time_ms - first.time_ms);
        let details = line.details();
        what.add_row([after, line.instance.clone(), line.event.clone(), details]);
    }
    say!("{what}");
    if believed.is_empty() {
        return;
    }
    say!("What these instances believed when the request came:");
    let mut state = table(&["since", "instance", "event", "details"]);
    for line in believed {
        let since = format!("{}ms", first.time_ms - line.time_ms);
        let details = line.details();
        state.add_row([since, line.instance.clone(), line.event.clone(), details]);
    }
    say!("{state}");
}

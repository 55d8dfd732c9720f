//! `marigoldctl report requests`.

use std::collections::BTreeMap;
use std::path::PathBuf;

use marigold_types::Interval;
use serde::Serialize;
use serde_json::Value;

use super::sidecar_log::{LogLine, SidecarLog};
use crate::output::{print_json, say, table};
use crate::{CtlError, Outcome};

/// The event that tells how a request ended.
const ENDED: &str = "request_ended";

/// Requests that ended alike.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Cause {
    outcome: String,
    status: u64,
    reason: String,
    /// What became of the last attempt.
    last_step: String,
}

/// How many requests ended so.
#[derive(Debug, Serialize)]
struct Tally {
    #[serde(flatten)]
    cause: Cause,
    count: u64,
    /// One of them, to be explained.
    request: String,
}

/// The report as JSON.
#[derive(Debug, Serialize)]
struct RequestReport {
    causes: Vec<Tally>,
    /// Lines of ended requests that the instances left out, of any outcome.
    left_out: u64,
    /// Lines that are no log lines of a sidecar.
    passed_over: usize,
}

/// Prints how requests ended and why, by count; `since` reaches back from the last line.
pub fn run(
    files: &[PathBuf],
    since: Option<Interval>,
    outcome: Option<&str>,
    json: bool,
) -> Result<Outcome, CtlError> {
    let log = SidecarLog::read(files)?;
    let last = log.lines.last().map_or(0, |line| line.time_ms);
    let from = since.map_or(0, |since| {
        let back = u64::try_from(since.duration().as_millis()).unwrap_or(u64::MAX);
        last.saturating_sub(back)
    });
    let is_asked = |line: &&LogLine| {
        let is_outcome = outcome.is_none_or(|outcome| line.text("outcome") == outcome);
        line.event == ENDED && line.time_ms >= from && is_outcome
    };
    let mut counts: BTreeMap<Cause, (u64, String)> = BTreeMap::new();
    let mut left_out = 0;
    for line in log.lines.iter().filter(is_asked) {
        left_out += line.number("skipped");
        let request = line.request.clone().unwrap_or_default();
        let count = counts.entry(cause(line)).or_insert((0, request));
        count.0 += 1;
    }
    let mut causes: Vec<_> = counts
        .into_iter()
        .map(|(cause, (count, request))| Tally {
            cause,
            count,
            request,
        })
        .collect();
    causes.sort_by_key(|count| std::cmp::Reverse(count.count));
    let is_empty = causes.is_empty();
    let report = RequestReport {
        causes,
        left_out,
        passed_over: log.passed_over,
    };
    if json {
        print_json(&report)?;
    } else {
        print(&report);
        log.say_passed_over();
    }
    Ok(if is_empty {
        Outcome::Negative
    } else {
        Outcome::Done
    })
}

fn cause(line: &LogLine) -> Cause {
    let steps = line.fields.get("steps").and_then(Value::as_array);
    let last_step = steps.and_then(|steps| steps.last());
    Cause {
        outcome: line.text("outcome").to_owned(),
        status: line.number("status"),
        reason: line.text("reason").to_owned(),
        last_step: last_step
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
    }
}

fn print(report: &RequestReport) {
    let header = [
        "count",
        "outcome",
        "status",
        "reason",
        "last attempt",
        "one of them",
    ];
    let mut table = table(&header);
    for Tally {
        cause,
        count,
        request,
    } in &report.causes
    {
        table.add_row([
            count.to_string(),
            cause.outcome.clone(),
            cause.status.to_string(),
            cause.reason.clone(),
            cause.last_step.clone(),
            request.clone(),
        ]);
    }
    say!("{table}");
    if report.left_out > 0 {
        say!(
            "{} more lines of ended requests were left out by their instances",
            report.left_out
        );
    }
}

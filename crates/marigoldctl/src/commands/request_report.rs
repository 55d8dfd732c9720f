//! `marigoldctl report requests`.

use std::collections::BTreeMap;
use std::path::PathBuf;

use marigold_types::Interval;
use serde::Serialize;
use serde_json::Value;

use super::sidecar_log::{LogLine, SidecarLog};
use crate::output::{print_json, print_line, table};
use crate::{CtlError, Outcome};

/// The event that a sidecar logs at the end of a request.
const REQUEST_ENDED: &str = "request_ended";

/// The result of a request, by which requests are grouped.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Cause {
    outcome: String,
    status: u64,
    reason: String,
    /// The last entry of the line's `steps`: the result of the last attempt.
    last_step: String,
}

/// The number of requests with the same cause.
#[derive(Debug, Serialize)]
struct Tally {
    #[serde(flatten)]
    cause: Cause,
    count: u64,
    /// The id of one of them, as input for `explain`.
    request: String,
}

/// The JSON form of the report.
#[derive(Debug, Serialize)]
struct RequestReport {
    causes: Vec<Tally>,
    /// The sum of the lines' `skipped`: further `request_ended` lines, of any outcome, that the
    /// instances did not log.
    left_out: u64,
    /// The number of input lines that are not log lines of a sidecar.
    #[serde(rename = "passed_over")]
    unreadable_lines: usize,
}

/// Prints the numbers of ended requests by cause, the largest first. `since` counts back from the
/// time of the last line, not from now. The outcome is negative when no request matches.
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
    let is_selected = |line: &&LogLine| {
        let is_outcome = outcome.is_none_or(|outcome| line.text("outcome") == outcome);
        line.event == REQUEST_ENDED && line.time_ms >= from && is_outcome
    };
    let mut counts: BTreeMap<Cause, (u64, String)> = BTreeMap::new();
    let mut left_out = 0;
    for line in log.lines.iter().filter(is_selected) {
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
    causes.sort_by_key(|tally| std::cmp::Reverse(tally.count));
    let is_empty = causes.is_empty();
    let report = RequestReport {
        causes,
        left_out,
        unreadable_lines: log.unreadable_lines,
    };
    if json {
        print_json(&report)?;
    } else {
        print(&report);
        log.print_unreadable_lines();
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
    print_line!("{table}");
    if report.left_out > 0 {
        print_line!(
            "{} more lines of ended requests were not logged by their instances",
            report.left_out
        );
    }
}

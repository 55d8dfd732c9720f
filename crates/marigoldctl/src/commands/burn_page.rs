//! The report on error budget burn, as table rows and as an HTML page.

use std::fmt::Write;

use marigold_config::Share;
use marigold_request::burn::{BurnReport, ServiceBurn, Tally};

/// The column headings of the report.
pub const HEADER: [&str; 8] = [
    "service",
    "objective",
    "calls",
    "burn 5m",
    "burn 1h",
    "budget left",
    "worst data centre",
    "main cause",
];
const STYLE: &str = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}\
    td,th{border:1px solid #999;padding:.3em .6em;text-align:left;white-space:pre-line}";

/// Returns the row of one service. In cells with two lines, the first is about availability and the
/// second about latency.
pub fn row_cells(service: &ServiceBurn) -> [String; 8] {
    let objective = &service.objective;
    let target = format!(
        "{} answered\n{} within {}",
        Share(objective.availability),
        Share(objective.fast),
        objective.latency
    );
    let rates = |tally: &Tally| {
        let availability = display_rate(tally.availability_rate(objective));
        format!(
            "{availability}\n{}",
            display_rate(tally.latency_rate(objective))
        )
    };
    let budget_left = format!(
        "{}\n{}",
        display_percent(service.availability_left()),
        display_percent(service.latency_left())
    );
    let worst = service.worst_centre();
    let cause = service.main_cause();
    [
        service.service.to_string(),
        target,
        service.total.whole.calls.to_string(),
        rates(&service.total.short),
        rates(&service.total.long),
        budget_left,
        worst.map_or_else(no_value, |(centre, rate)| format!("{centre} {rate:.1}")),
        cause.map_or_else(no_value, |count| {
            format!("{:?} {}", count.cause, count.calls)
        }),
    ]
}

/// Returns a sentence on which daemons the report covers.
pub fn coverage(burn: &BurnReport) -> String {
    let BurnReport {
        daemons,
        missing,
        youngest,
        ..
    } = burn;
    format!(
        "counted by {daemons} daemons, {missing} gave no report, the shortest uptime is {youngest}"
    )
}

/// Renders the report as a self-contained HTML page.
pub fn render(burn: &BurnReport) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
        <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
        <h1>Service-level burn</h1>\n<p>{}</p>\n<table><tr>",
        escape_html(&coverage(burn))
    );
    for column in HEADER {
        let _ = write!(page, "<th>{}</th>", escape_html(column));
    }
    page.push_str("</tr>\n");
    for service in &burn.services {
        page.push_str("<tr>");
        for cell in row_cells(service) {
            let _ = write!(page, "<td>{}</td>", escape_html(&cell));
        }
        page.push_str("</tr>\n");
    }
    page.push_str(
        "</table>\n<p>A burn rate of 1 uses up the error budget exactly over the \
        objective's window. The first line of a cell is for availability, the second for \
        latency.</p>\n</body></html>\n",
    );
    page
}

fn no_value() -> String {
    "-".to_owned()
}

fn display_rate(rate: Option<f64>) -> String {
    rate.map_or_else(no_value, |rate| format!("{rate:.1}"))
}

fn display_percent(ratio: Option<f64>) -> String {
    ratio.map_or_else(no_value, |ratio| format!("{:.0}%", ratio * 100.0))
}

fn escape_html(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

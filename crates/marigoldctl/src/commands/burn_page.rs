//! The report on service-level burn as a table and as a page.

use std::fmt::Write;

use marigold_config::Share;
use marigold_request::burn::{BurnReport, ServiceBurn, Tally};

/// The columns of the report.
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

/// Returns the columns of one service.
pub fn cells(service: &ServiceBurn) -> [String; 8] {
    let objective = &service.objective;
    let goal = format!(
        "{} answered\n{} within {}",
        Share(objective.availability),
        Share(objective.fast),
        objective.latency
    );
    let rates = |tally: &Tally| {
        let answered = rate(tally.availability_rate(objective));
        format!("{answered}\n{}", rate(tally.latency_rate(objective)))
    };
    let left = format!(
        "{}\n{}",
        share(service.availability_left()),
        share(service.latency_left())
    );
    let worst = service.worst_centre();
    let cause = service.main_cause();
    [
        service.service.to_string(),
        goal,
        service.total.whole.calls.to_string(),
        rates(&service.total.short),
        rates(&service.total.long),
        left,
        worst.map_or_else(none, |(centre, rate)| format!("{centre} {rate:.1}")),
        cause.map_or_else(none, |count| format!("{:?} {}", count.cause, count.calls)),
    ]
}

/// Says whose counts are in the report.
pub fn coverage(burn: &BurnReport) -> String {
    let BurnReport {
        daemons,
        missing,
        youngest,
        ..
    } = burn;
    format!("counted by {daemons} daemons, {missing} gave no report, the youngest runs {youngest}")
}

/// Renders the report as a page of HTML that needs nothing else.
pub fn render(burn: &BurnReport) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
        <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
        <h1>Service-level burn</h1>\n<p>{}</p>\n<table><tr>",
        escape(&coverage(burn))
    );
    for column in HEADER {
        let _ = write!(page, "<th>{}</th>", escape(column));
    }
    page.push_str("</tr>\n");
    for service in &burn.services {
        page.push_str("<tr>");
        for cell in cells(service) {
            let _ = write!(page, "<td>{}</td>", escape(&cell));
        }
        page.push_str("</tr>\n");
    }
    page.push_str(
        "</table>\n<p>A burn of 1 uses the budget up exactly over the objective's \
        window. The first line of a cell is for answers, the second for answers in time.</p>\n\
        </body></html>\n",
    );
    page
}

fn none() -> String {
    "-".to_owned()
}

fn rate(rate: Option<f64>) -> String {
    rate.map_or_else(none, |rate| format!("{rate:.1}"))
}

fn share(left: Option<f64>) -> String {
    left.map_or_else(none, |left| format!("{:.0}%", left * 100.0))
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

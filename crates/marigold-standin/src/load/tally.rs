//! Aggregation of the results of a load run.

use std::time::Duration;

use hdrhistogram::Histogram;
use marigold_types::Outcome;

use super::{CallEnd, CallResult, LoadPlan, LoadReport, RouteReport, Summary};

/// The lowest status that counts as a failure.
const MIN_FAILURE_STATUS: u16 = 500;

struct RouteTally {
    report: RouteReport,
    answered: Histogram<u64>,
    refused: Histogram<u64>,
}

/// The counts and latency histograms of one run.
pub struct Tally {
    report: LoadReport,
    routes: Vec<RouteTally>,
    late: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally for the routes of `plan`.
    #[must_use]
    pub fn new(plan: &LoadPlan) -> Self {
        let routes = plan.routes.iter().map(|route| RouteTally {
            report: RouteReport {
                path: route.path.to_string(),
                once: route.once.is_some(),
                ..RouteReport::default()
            },
            answered: Summary::histogram(),
            refused: Summary::histogram(),
        });
        Self {
            report: LoadReport {
                rate: plan.rate.0,
                ..LoadReport::default()
            },
            routes: routes.collect(),
            late: Summary::histogram(),
        }
    }

    /// Counts a call that was due but not sent.
    pub fn add_unsent(&mut self) {
        self.report.unsent += 1;
    }

    /// Adds the result of a call.
    pub fn add(&mut self, result: &CallResult) {
        self.report.sent += 1;
        Summary::record(&mut self.late, result.late);
        if let Some(reason) = &result.reason {
            let count = self.report.reasons.entry(reason.to_string()).or_default();
            *count += 1;
        }
        match result.end {
            CallEnd::Unreached => self.report.unreached += 1,
            CallEnd::Cut => self.report.cut += 1,
            CallEnd::TimedOut => self.report.timed_out += 1,
            CallEnd::Answered(_) | CallEnd::Wrong | CallEnd::NotRun | CallEnd::Unknown => {}
        }

        let route = &mut self.routes[result.route];
        match (result.end, result.end.outcome()) {
            (CallEnd::Wrong, _) => route.report.wrong += 1,
            (end, Outcome::Answered) => {
                let failed = matches!(end, CallEnd::Answered(MIN_FAILURE_STATUS..));
                route.report.failed += u64::from(failed);
                route.report.answered += 1;
                Summary::record(&mut route.answered, result.latency);
            }
            (_, Outcome::NotRun) => {
                route.report.not_run += 1;
                Summary::record(&mut route.refused, result.latency);
            }
            (_, Outcome::Unknown) => route.report.unknown += 1,
        }
    }

    /// Returns the report of a run that took `time`.
    #[must_use]
    pub fn finish(self, time: Duration) -> LoadReport {
        let routes = self.routes.into_iter().map(|route| RouteReport {
            answered_time: Summary::of(&route.answered),
            refused_time: Summary::of(&route.refused),
            ..route.report
        });
        LoadReport {
            seconds: time.as_secs_f64(),
            late: Summary::of(&self.late),
            routes: routes.collect(),
            ..self.report
        }
    }
}

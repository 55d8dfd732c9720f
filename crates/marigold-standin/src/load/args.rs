//! Arguments of `marigold-standin load`.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::Args;
use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use indicatif::ProgressBar;
use marigold_types::{Interval, Rate};

use super::{Ledger, LoadPlan, LoadReport, LoadRoute, LoadRun};
use crate::backend::RunReport;
use crate::{StandinError, range};

const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
const MAX_REPORT_BYTES: u64 = 256 << 20;

/// Calls a running mesh at a fixed rate and accounts for every call.
#[derive(Debug, Clone, Args)]
pub struct LoadArgs {
    /// The callers' side of a daemon; may be given several times.
    #[arg(long = "target", required = true, value_name = "ADDRESS")]
    targets: Vec<SocketAddr>,
    /// A kind of call, as /orders,weight=3,once=delivery-ledger,body=1KB; may be given several times.
    #[arg(long = "route", required = true, value_name = "ROUTE")]
    routes: Vec<LoadRoute>,
    /// Calls a second.
    #[arg(long, default_value = "100/s", value_parser = range::rate)]
    rate: Rate,
    /// How long calls are made.
    #[arg(long, default_value = "10s", value_parser = range::interval)]
    duration: Interval,
    /// How long a call may take before its caller gives it up.
    #[arg(long, default_value = "10s", value_parser = range::interval)]
    timeout: Interval,
    /// Open a new connection for each call.
    #[arg(long)]
    new_connections: bool,
    /// The targets are backend servers, for a baseline.
    #[arg(long)]
    direct: bool,
    /// The most calls at once.
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    in_flight: u32,
    /// The seed of the choices of route and target.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A backend server's stand-in that is asked what ran; may be given several times.
    #[arg(long = "backend", value_name = "ADDRESS")]
    backends: Vec<SocketAddr>,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

impl LoadArgs {
    /// Makes the calls, prints the report, and returns whether no call got a wrong answer and the audit, if
    /// there is one, is clean.
    ///
    /// # Errors
    ///
    /// If the plan is invalid or the run counts cannot be fetched from a backend server, which the audit
    /// needs.
    pub async fn run(self) -> Result<bool, StandinError> {
        let plan = LoadPlan {
            keep_alive: !self.new_connections,
            direct: self.direct,
            timeout: self.timeout,
            in_flight: self.in_flight as usize,
            seed: self.seed,
            ..LoadPlan::new(self.targets, self.routes, self.rate, self.duration)
        };
        let (mut report, ledger) = run_with_progress_bar(plan).await?;
        if !self.backends.is_empty() {
            let runs = fetch_runs(&self.backends, &ledger).await?;
            report.audit = Some(ledger.audit(&runs));
        }

        if self.json {
            let json = serde_json::to_string_pretty(&report)
                .map_err(|error| StandinError::new("print", &"report", &error))?;
            println!("{json}");
        } else {
            print_summary(&report);
        }
        let wrong: u64 = report.routes.iter().map(|route| route.wrong).sum();
        Ok(wrong == 0 && report.audit.is_none_or(|audit| audit.is_clean()))
    }
}

async fn run_with_progress_bar(plan: LoadPlan) -> Result<(LoadReport, Ledger), StandinError> {
    let bar = ProgressBar::new(plan.calls());
    let run = LoadRun::new(plan)?;
    let progress = run.progress();
    let mut running = std::pin::pin!(run.run());
    let result = loop {
        tokio::select! {
            result = &mut running => break result,
            () = tokio::time::sleep(PROGRESS_INTERVAL) => bar.set_position(progress.load(Ordering::Relaxed)),
        }
    };
    bar.finish_and_clear();
    Ok(result)
}

async fn fetch_runs(
    backends: &[SocketAddr],
    ledger: &Ledger,
) -> Result<Vec<RunReport>, StandinError> {
    let mut reports = Vec::new();
    for address in backends {
        let url = format!("http://{address}/runs?prefix={}", ledger.prefix());
        let task = tokio::task::spawn_blocking(move || fetch(&url));
        let result = task
            .await
            .map_err(|error| StandinError::new("ask for runs", address, &error))?;
        reports.push(result.map_err(|error| StandinError::new("ask for runs", address, &error))?);
    }
    Ok(reports)
}

fn fetch(url: &str) -> Result<RunReport, Box<dyn std::error::Error + Send + Sync>> {
    let mut response = ureq::get(url).header("connection", "close").call()?;
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_REPORT_BYTES)
        .read_to_vec()?;
    Ok(serde_json::from_slice(&body)?)
}

fn print_summary(report: &LoadReport) {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED);
    table.set_header([
        "route", "answered", "failed", "not run", "unknown", "wrong", "p50 ms", "p99 ms",
        "p99.9 ms",
    ]);
    for route in &report.routes {
        let time = route.answered_time;
        table.add_row([
            route.path.clone(),
            route.answered.to_string(),
            route.failed.to_string(),
            route.not_run.to_string(),
            route.unknown.to_string(),
            route.wrong.to_string(),
            format_millis(time.p50_us),
            format_millis(time.p99_us),
            format_millis(time.p999_us),
        ]);
    }
    println!("{table}");
    println!(
        "sent {} of {} due at {}/s, unsent {}, unreached {}, cut {}, timed out {}",
        report.sent,
        report.sent + report.unsent,
        report.rate,
        report.unsent,
        report.unreached,
        report.cut,
        report.timed_out
    );
    for (reason, count) in &report.reasons {
        println!("not answered for {reason}: {count}");
    }
    match report.audit {
        Some(audit) => println!(
            "lost {}, doubled {}, reruns {}",
            audit.lost(),
            audit.doubled,
            audit.reruns
        ),
        None => println!("lost and doubled: not asked (give --backend)"),
    }
}

/// Formats microseconds as milliseconds.
fn format_millis(micros: u64) -> String {
    format!("{}.{:03}", micros / 1_000, micros % 1_000)
}

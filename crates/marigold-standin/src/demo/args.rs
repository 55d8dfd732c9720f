//! Arguments of `marigold-standin demo`.

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};

use super::{DemoReport, DemoRun};
use crate::StandinError;
use crate::fleet::Customer;

const PROGRESS_TEMPLATE: &str = "{bar:30} {pos}/{len} {elapsed} {msg}";

/// Runs both customers' meshes in this process: publish, plan, confirm, call, change the
/// configuration under load, stop one daemon, drop another, and account for every call.
#[derive(Debug, Clone, Args)]
pub struct DemoArgs {
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

impl DemoArgs {
    /// Runs the demonstration and returns whether no call was lost or duplicated and both meshes
    /// converged.
    ///
    /// # Errors
    ///
    /// Returns an error if a step cannot be carried out.
    pub async fn run(self) -> Result<bool, StandinError> {
        crate::log_errors_only()?;
        let bar = ProgressBar::new(DemoRun::STEPS * Customer::ALL.len() as u64);
        if let Ok(style) = ProgressStyle::with_template(PROGRESS_TEMPLATE) {
            bar.set_style(style);
        }
        let [first, second] = Customer::ALL;
        let (first, second) = tokio::try_join!(
            DemoRun::new(first, bar.clone()).run(),
            DemoRun::new(second, bar.clone()).run(),
        )?;
        bar.finish_and_clear();

        let reports = [first, second];
        if self.json {
            let json = serde_json::to_string_pretty(&reports)
                .map_err(|error| StandinError::new("print", &"report", &error))?;
            println!("{json}");
        } else {
            DemoReport::print(&reports);
        }
        let clean = reports.iter().all(DemoReport::is_clean);
        if !clean {
            eprintln!("marigold-standin: something was lost, doubled or left unconverged");
        }
        Ok(clean)
    }
}

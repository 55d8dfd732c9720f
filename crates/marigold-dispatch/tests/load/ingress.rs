//! A simulated ingress.

use std::collections::HashMap;
use std::time::Duration;

use marigold_dispatch::{CallerTimeouts, Placement, RetryBudget};
use marigold_types::{DataCentre, ServiceName};
use tokio::time::Instant;

/// The number of retries allowed per request.
pub const RETRY_RATIO: f64 = 0.2;
/// The window in which requests and retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The routing state of one ingress.
pub struct Ingress {
    pub placement: Placement,
    pub caller_timeouts: CallerTimeouts,
    pub data_centre: usize,
    budgets: HashMap<ServiceName, RetryBudget>,
    /// Its share of the retries allowed beyond the ratio.
    slack: f64,
}

impl Ingress {
    pub fn new(data_centre: usize, byte_cost: f64, slack: f64) -> Self {
        Self {
            placement: Placement::new(data_centre_name(data_centre), byte_cost),
            caller_timeouts: CallerTimeouts::default(),
            data_centre,
            budgets: HashMap::new(),
            slack,
        }
    }

    pub fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let start = || RetryBudget::new(RETRY_WINDOW, RETRY_RATIO);
        self.budgets.entry(service.clone()).or_insert_with(start)
    }

    pub fn try_spend_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let slack = self.slack;
        self.budget(service).try_spend(slack, now)
    }
}

pub fn data_centre_name(number: usize) -> DataCentre {
    format!("dc-{number}")
        .parse()
        .expect("valid data centre name")
}

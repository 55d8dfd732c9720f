//! A simulated ingress.

use std::collections::HashMap;
use std::time::Duration;

use marigold_dispatch::{
    CallerReturn, CallerReturns, CallerTimeouts, Placement, RequestMark, RetryBudget, RetryRequest,
};
use marigold_types::{DataCentre, ServiceName};
use tokio::time::Instant;

use super::request_class::RequestClass;

/// The number of retries allowed per request.
pub const RETRY_RATIO: f64 = 0.2;
/// The window in which requests and retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The routing state of one ingress.
pub struct Ingress {
    pub placement: Placement,
    pub caller_timeouts: CallerTimeouts,
    pub caller_returns: CallerReturns,
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
            caller_returns: CallerReturns::default(),
            data_centre,
            budgets: HashMap::new(),
            slack,
        }
    }

    /// Counts a request. Returns its earlier attempts, if this ingress has seen them.
    pub fn record_request(
        &mut self,
        class: &RequestClass,
        mark: RequestMark,
        deadline: Instant,
        now: Instant,
    ) -> Option<CallerReturn> {
        let found = (self.caller_returns).take_return(&class.kind, mark, deadline);
        let origin = self.caller_returns.origin(&class.kind);
        self.budget(&class.service).record_request(origin, now);
        found
    }

    pub fn try_spend_retry(
        &mut self,
        service: &ServiceName,
        request: RetryRequest,
        now: Instant,
    ) -> bool {
        let slack = self.slack;
        self.budget(service).try_spend(slack, request, now)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let start = || RetryBudget::new(RETRY_WINDOW, RETRY_RATIO);
        self.budgets.entry(service.clone()).or_insert_with(start)
    }
}

pub fn data_centre_name(number: usize) -> DataCentre {
    format!("dc-{number}")
        .parse()
        .expect("valid data centre name")
}

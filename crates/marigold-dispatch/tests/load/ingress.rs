//! One daemon's view of the executors.

use std::collections::HashMap;
use std::time::Duration;

use marigold_dispatch::{CallerTimeouts, Placement, RetryBudget};
use marigold_types::{DataCentre, ServiceName};
use tokio::time::Instant;

/// The repeats that are allowed for each request, and the window in which they are counted.
pub const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);

/// The decisions of one ingress.
pub struct Ingress {
    pub placement: Placement,
    pub patience: CallerTimeouts,
    pub place: usize,
    windows: HashMap<ServiceName, RetryBudget>,
    /// Its part of the repeats that are allowed beyond the ratio.
    slack: f64,
}

impl Ingress {
    pub fn new(place: usize, byte_cost: f64, slack: f64) -> Self {
        Self {
            placement: Placement::new(data_centre(place), byte_cost),
            patience: CallerTimeouts::default(),
            place,
            windows: HashMap::new(),
            slack,
        }
    }

    pub fn window(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let start = || RetryBudget::new(WINDOW, RATIO);
        self.windows.entry(service.clone()).or_insert_with(start)
    }

    pub fn spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        let slack = self.slack;
        self.window(service).try_spend(slack, now)
    }
}

pub fn data_centre(place: usize) -> DataCentre {
    format!("place-{place}").parse().expect("a data centre")
}

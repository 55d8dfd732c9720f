//! The definition of a load scenario.

use std::time::Duration;

use super::request_class::RequestClass;

/// A backend server and the daemon beside it.
#[derive(Debug, Clone)]
pub struct Server {
    /// The service that the server implements.
    pub service: &'static str,
    /// The index of its data centre.
    pub data_centre: usize,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Its run times, as a multiple of the average.
    pub slowness: f64,
}

/// A change at a scheduled time.
#[derive(Debug, Clone)]
pub enum Change {
    /// Multiplies the request rate in a data centre by a factor.
    Load(usize, f64),
    /// Multiplies the request rate of a class by a factor.
    Surge(usize, f64),
    /// Sets the slowness of a server.
    Slow(usize, f64),
    /// Makes a server reject a fraction of its requests.
    Reject(usize, f64),
    /// Makes a server fail a fraction of its requests.
    Fail(usize, f64),
    /// Removes a server permanently.
    Leave(usize),
    /// Stops the daemon beside a server, which starts again.
    Restart(usize),
}

/// The retry behaviour of callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerBehaviour {
    /// The maximum number of retries after refusals.
    pub max_retries: u32,
    /// The fraction of refused callers that retry at once, regardless of the retry delay.
    pub immediate_retry_ratio: f64,
    /// The largest fraction by which the timeout of a caller is below the one of its class.
    pub timeout_spread: f64,
}

/// The differences between the timeouts of callers that have been seen on the platform.
pub const TIMEOUT_SPREAD: f64 = 0.15;

/// A load scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The backend servers. Callers send requests to the daemon beside each.
    pub servers: Vec<Server>,
    /// The number of data centres.
    pub data_centres: usize,
    /// The retry behaviour of callers.
    pub callers: CallerBehaviour,
    /// The scheduled changes, by time since the start.
    pub changes: Vec<(Duration, Change)>,
    /// The time after which no new requests arrive.
    pub duration: Duration,
    /// The cost of a kibibyte between data centres, as a fraction of the value of the most urgent response.
    pub byte_cost: f64,
}

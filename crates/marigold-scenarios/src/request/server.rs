//! A simulated backend server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::message::AttemptId;

/// A request body that crashes the backend server.
pub const POISON_BODY: &str = "poison";

/// How a backend server responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerMode {
    /// Complete answers with status 200.
    Succeed,
    /// Complete answers with status 500.
    Fail,
    /// Truncated answers.
    Truncate,
}

/// A backend server that takes a fixed time for each request.
#[derive(Debug)]
pub struct Server {
    /// The processing time of a request.
    pub response_time: Duration,
    /// How it responds to requests.
    pub mode: ServerMode,
    /// Whether it is running.
    pub is_up: bool,
    /// The number of crashes; results of an earlier incarnation are ignored.
    pub incarnation: u32,
    /// The requests in progress, by attempt.
    pub running: BTreeMap<AttemptId, Arc<str>>,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            response_time: Duration::from_millis(20),
            mode: ServerMode::Succeed,
            is_up: true,
            incarnation: 0,
            running: BTreeMap::new(),
        }
    }
}

impl Server {
    /// Stops the server and drops the requests in progress.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.incarnation += 1;
        self.running.clear();
    }
}

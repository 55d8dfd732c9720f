//! The fake backend server beside a daemon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::message::AttemptId;

/// The body that crashes a backend server.
pub const POISON: &str = "poison";

/// What a backend server does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Works,
    /// It answers with its own failure.
    Fails,
    /// It ends its answers in the middle.
    Cut,
}

/// A backend server that runs requests for a fixed time.
#[derive(Debug)]
pub struct Server {
    /// How long a request takes.
    pub time: Duration,
    /// What it does.
    pub mode: Mode,
    /// Whether it runs at all.
    pub up: bool,
    /// How often it was started; an end of an earlier life does not count.
    pub life: u32,
    /// The requests it runs, by attempt.
    pub running: BTreeMap<AttemptId, Arc<str>>,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            time: Duration::from_millis(20),
            mode: Mode::Works,
            up: true,
            life: 0,
            running: BTreeMap::new(),
        }
    }
}

impl Server {
    /// Ends this life with everything it runs.
    pub fn crash(&mut self) {
        self.up = false;
        self.life += 1;
        self.running.clear();
    }
}

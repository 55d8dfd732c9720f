//! The life of a simulated daemon, which an ingress and an executor share.

use std::time::Duration;

use marigold_dispatch::{NewRun, OpenWork, Shutdown, ShutdownStage};
use tokio::time::Instant;

/// Callers notice a daemon that is not ready, or is again, after this time.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Work that a daemon has accepted, in one of its runs.
#[derive(Debug, Clone, Copy)]
pub struct OpenHere {
    daemon_run: u32,
    early: bool,
}

/// A daemon that is told to stop, ends and starts again.
#[derive(Debug, Clone)]
pub struct Daemon {
    shutdown: Shutdown,
    work: OpenWork,
    grace: Duration,
    stopped_at: Option<Instant>,
    /// Whether the process runs.
    pub is_up: bool,
    /// The number of its starts.
    pub run: u32,
}

impl Daemon {
    pub fn new(grace: Duration) -> Self {
        Self {
            shutdown: Shutdown::default(),
            work: OpenWork::default(),
            grace,
            stopped_at: None,
            is_up: true,
            run: 0,
        }
    }

    pub fn stop(&mut self, now: Instant) {
        self.shutdown.begin(now);
        self.stopped_at = Some(now);
    }

    pub fn start(&mut self) {
        *self = Self {
            run: self.run + 1,
            ..Self::new(self.grace)
        };
    }

    pub fn close_executor(&mut self, now: Instant) {
        self.shutdown.close(now);
    }

    /// Returns the time since it was told to stop.
    pub fn stopping_for(&self, now: Instant) -> Duration {
        self.stopped_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    pub fn stage(&self, now: Instant) -> ShutdownStage {
        self.shutdown.stage(self.grace, self.work, now)
    }

    pub fn admits(&self, run: NewRun, now: Instant) -> bool {
        self.shutdown.admits(self.grace, self.work, run, now)
    }

    pub fn back_after(&self, now: Instant) -> Duration {
        self.shutdown.back_after(self.grace, self.work, now)
    }

    /// Returns whether callers send requests to it while others in its data centre are ready.
    pub fn is_in(&self, now: Instant) -> bool {
        self.stopped_at.is_none_or(|at| now < at + NOTICE_TIME)
    }

    pub fn open(&mut self, expected: Duration, now: Instant) -> OpenHere {
        let early = self.stage(now).accepts_all();
        self.work.start(early, expected, now);
        OpenHere {
            daemon_run: self.run,
            early,
        }
    }

    pub fn close(&mut self, open: OpenHere, now: Instant) {
        if self.run == open.daemon_run {
            self.work.end(open.early, now);
        }
    }
}

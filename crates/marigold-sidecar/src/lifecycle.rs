//! The shutdown of a daemon and the work that it waits for, shared by its ingress and its executor.

mod work_guard;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::{NewRun, OpenWork, Shutdown, ShutdownStage};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

pub use self::work_guard::WorkGuard;

/// The shutdown of a daemon, see [`Shutdown`] and docs/design/restarts.md.
#[derive(Debug)]
pub struct Lifecycle {
    shutdown: Cell<Shutdown>,
    grace: Cell<Duration>,
    /// Triggered when a shutdown begins.
    stopping: CancellationToken,
    work: Cell<OpenWork>,
}

impl Lifecycle {
    /// Creates the state of a daemon that serves, and that has to end within `grace` once it is told to.
    #[must_use]
    pub fn new(grace: Duration) -> Rc<Self> {
        Rc::new(Self {
            shutdown: Cell::default(),
            grace: Cell::new(grace),
            stopping: CancellationToken::new(),
            work: Cell::default(),
        })
    }

    /// Sets the grace period of a shutdown.
    pub fn set_grace(&self, grace: Duration) {
        self.grace.set(grace);
    }

    /// Starts a graceful shutdown; later calls have no effect.
    pub fn begin_shutdown(&self) {
        let mut shutdown = self.shutdown.get();
        shutdown.begin(Instant::now());
        self.shutdown.set(shutdown);
        self.stopping.cancel();
    }

    /// Records that the executor has refused calls from now on.
    pub fn record_closed(&self) {
        let mut shutdown = self.shutdown.get();
        shutdown.close(Instant::now());
        self.shutdown.set(shutdown);
    }

    /// Returns whether a shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Returns the stage of the shutdown.
    #[must_use]
    pub fn stage(&self) -> ShutdownStage {
        (self.shutdown.get()).stage(self.grace.get(), self.work.get(), Instant::now())
    }

    /// Returns whether a request is accepted. `run` is asked only by a daemon that stops.
    #[must_use]
    pub fn admits(&self, run: impl FnOnce() -> NewRun) -> bool {
        if !self.is_stopping() {
            return true;
        }
        (self.shutdown.get()).admits(self.grace.get(), self.work.get(), run(), Instant::now())
    }

    /// Waits until a shutdown requires that requests in flight end.
    pub async fn concluding(&self) {
        self.stopping.cancelled().await;
        let concludes_at = self.shutdown.get().concludes_at(self.grace.get());
        sleep_until(concludes_at.unwrap_or_else(Instant::now)).await;
    }

    /// Waits until an idempotent request that is still in flight should have its second attempt.
    pub async fn second_attempt(&self, expected_run: Duration) {
        self.stopping.cancelled().await;
        let shutdown = self.shutdown.get();
        let at = shutdown.second_attempt_at(self.grace.get(), expected_run);
        sleep_until(at.unwrap_or_else(Instant::now)).await;
    }

    /// Returns the time until the next run of this daemon is expected to serve.
    #[must_use]
    pub fn back_after(&self) -> Duration {
        (self.shutdown.get()).back_after(self.grace.get(), self.work.get(), Instant::now())
    }

    /// Counts a request or call that was accepted and is expected to run for `expected` as open until the guard is dropped.
    #[must_use]
    pub fn open_work(self: &Rc<Self>, expected: Duration) -> WorkGuard {
        let is_early = self.stage().accepts_all();
        let mut work = self.work.get();
        work.start(is_early, expected, Instant::now());
        self.work.set(work);
        WorkGuard {
            lifecycle: self.clone(),
            is_early,
        }
    }
}

//! Requests in flight, and the graceful shutdown that waits for them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigold_request::drain::{Drain, ExitCode, Phase};
use marigold_types::Interval;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Counts the requests of a daemon, as ingress and as executor, and drives its graceful shutdown.
pub struct InFlight {
    drain: Mutex<Drain>,
    phase: watch::Sender<Phase>,
}

/// Counts one request as in flight until dropped.
pub struct InFlightGuard(Arc<InFlight>);

impl InFlight {
    /// Creates the counter of a daemon whose graceful shutdown takes at most `bound`.
    #[must_use]
    pub fn new(bound: Interval) -> Arc<Self> {
        let drain = Drain::new(bound);
        Arc::new(Self {
            phase: watch::Sender::new(drain.phase()),
            drain: Mutex::new(drain),
        })
    }

    /// Counts a request, or returns `None` if the daemon no longer accepts new requests.
    #[must_use]
    pub fn start(self: &Arc<Self>) -> Option<InFlightGuard> {
        let mut drain = self.lock();
        if !drain.takes_work() {
            return None;
        }
        drain.started();
        Some(InFlightGuard(self.clone()))
    }

    /// Returns how many requests are in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().in_flight()
    }

    /// Subscribes to the phase of the shutdown.
    #[must_use]
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Handles a termination signal; the second one ends the daemon at once.
    pub fn signal(&self) {
        let phase = self.lock().signal(Instant::now());
        self.publish(phase);
    }

    /// Runs the shutdown after a signal until it ends, which takes at most the setting `drain`.
    pub async fn finish(&self) -> ExitCode {
        let mut changes = self.phase();
        loop {
            let next = {
                let mut drain = self.lock();
                let phase = drain.tick(Instant::now());
                self.publish(phase);
                if let Phase::Exit(code) = phase {
                    return code;
                }
                drain.next_tick()
            };
            let due = async {
                match next {
                    Some(due) => sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {}
                // It cannot fail, since `self` owns the sender.
                _ = changes.changed() => {}
            }
        }
    }

    fn publish(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let changed = *current != phase;
            *current = phase;
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, Drain> {
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let phase = self.0.lock().finished(Instant::now());
        self.0.publish(phase);
    }
}

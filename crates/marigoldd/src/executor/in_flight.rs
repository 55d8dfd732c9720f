//! Requests in flight and the graceful shutdown that waits for them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigold_request::drain::{Drain, ExitCode, Phase};
use marigold_types::Interval;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Counts the requests of a daemon, as ingress and as executor, and leads its shutdown.
pub struct InFlight {
    drain: Mutex<Drain>,
    phase: watch::Sender<Phase>,
}

/// One request, counted until it is dropped.
pub struct InFlightGuard(Arc<InFlight>);

impl InFlight {
    /// Builds the count of a daemon whose shutdown takes at most `bound`.
    #[must_use]
    pub fn new(bound: Interval) -> Arc<Self> {
        let drain = Drain::new(bound);
        Arc::new(Self {
            phase: watch::Sender::new(drain.phase()),
            drain: Mutex::new(drain),
        })
    }

    /// Counts a request, or returns none when no new work is taken.
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

    /// Returns where the shutdown stands, and tells of each change.
    #[must_use]
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Takes a signal to end; the second one ends at once.
    pub fn signal(&self) {
        let phase = self.lock().signal(Instant::now());
        self.publish(phase);
    }

    /// Leads the shutdown after a signal to its end, which comes within the setting `drain`.
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
                // The sender lives as long as this does.
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

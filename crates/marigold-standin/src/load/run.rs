//! One load run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use rand::distr::weighted::WeightedIndex;
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use super::pacer::Pacer;
use super::{CallResult, Caller, KeyCache, Ledger, LoadPlan, LoadReport, Tally};
use crate::StandinError;

/// What a call's task tells the run.
enum Note {
    Sent { number: u64, once: bool },
    Unsent,
    Ended(CallResult),
}

/// A run with what its calls share.
pub struct LoadRun {
    plan: Arc<LoadPlan>,
    caller: Caller,
    keys: Arc<KeyCache>,
    ledger: Ledger,
    weights: WeightedIndex<u32>,
    done: Arc<AtomicU64>,
}

impl LoadRun {
    /// Prepares a run.
    ///
    /// # Errors
    ///
    /// When the plan has no target, no route, or only routes without weight.
    pub fn new(plan: LoadPlan) -> Result<Self, StandinError> {
        let refuse = |reason: &str| Err(StandinError::new("plan", &"load", &reason));
        if plan.targets.is_empty() {
            return refuse("at least one target is needed");
        }
        if plan.routes.is_empty() {
            return refuse("at least one route is needed");
        }
        let weights = plan.routes.iter().map(|route| route.weight);
        let weights = WeightedIndex::new(weights)
            .map_err(|error| StandinError::new("plan", &"load", &error))?;
        let caller = Caller::new(plan.keep_alive, plan.direct, plan.timeout.duration());
        Ok(Self {
            caller,
            keys: Arc::default(),
            ledger: Ledger::new(format!("{}-", uuid::Uuid::new_v4().simple())),
            weights,
            done: Arc::default(),
            plan: Arc::new(plan),
        })
    }

    /// Returns a counter of the calls that have ended or were not sent, for a progress bar.
    #[must_use]
    pub fn progress(&self) -> Arc<AtomicU64> {
        self.done.clone()
    }

    /// Makes every call and waits for the last to end.
    pub async fn run(mut self) -> (LoadReport, Ledger) {
        let start = Instant::now();
        let mut tally = Tally::new(&self.plan);
        let (notes, mut inbox) = mpsc::unbounded_channel();
        let pacing = self.pace(notes);
        // The channel holds at most three notes for each call in flight and ends with the last call.
        while let Some(note) = inbox.recv().await {
            let progressed = !matches!(note, Note::Sent { .. });
            match note {
                Note::Sent { number, once } => self.ledger.send(number, once),
                Note::Unsent => tally.add_unsent(),
                Note::Ended(result) => {
                    tally.add(&result);
                    self.ledger.end(&result);
                }
            }
            if progressed {
                self.done.fetch_add(1, Ordering::Relaxed);
            }
        }
        let _ = pacing.await;
        (tally.finish(start.elapsed()), self.ledger)
    }

    fn pace(&self, notes: mpsc::UnboundedSender<Note>) -> tokio::task::JoinHandle<()> {
        let plan = self.plan.clone();
        let shared = CallContext {
            plan: plan.clone(),
            caller: self.caller.clone(),
            keys: self.keys.clone(),
            prefix: Arc::from(self.ledger.prefix()),
            notes,
        };
        let weights = self.weights.clone();
        let handle = Handle::current();
        tokio::task::spawn_blocking(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
            let permits = Arc::new(Semaphore::new(plan.in_flight));
            Pacer::new(plan.rate.0, plan.calls()).walk(|number, due| {
                let route = weights.sample(&mut rng);
                let target = rng.random_range(0..plan.targets.len());
                let Ok(permit) = permits.clone().try_acquire_owned() else {
                    let _ = shared.notes.send(Note::Unsent);
                    return;
                };
                let call = shared.clone().call(number, route, target, due);
                handle.spawn(async move {
                    call.await;
                    drop(permit);
                });
            });
        })
    }
}

#[derive(Clone)]
struct CallContext {
    plan: Arc<LoadPlan>,
    caller: Caller,
    keys: Arc<KeyCache>,
    prefix: Arc<str>,
    notes: mpsc::UnboundedSender<Note>,
}

impl CallContext {
    async fn call(self, number: u64, route: usize, target: usize, due: Instant) {
        let kind = &self.plan.routes[route];
        let target = self.plan.targets[target];
        let late = due.elapsed();
        let once = kind.once.is_some();
        let key = match &kind.once {
            Some(service) => self.keys.take(&self.caller, target, service).await.ok(),
            None => None,
        };
        if once && key.is_none() {
            let _ = self.notes.send(Note::Unsent);
            return;
        }

        let _ = self.notes.send(Note::Sent { number, once });
        let id = format!("{}{number}", self.prefix);
        let word = self.caller.call(target, kind, &id, key.as_deref()).await;
        let latency = due.elapsed();
        let _ = self.notes.send(Note::Ended(CallResult {
            number,
            route,
            end: word.end,
            reason: word.reason,
            latency,
            late,
        }));
    }
}

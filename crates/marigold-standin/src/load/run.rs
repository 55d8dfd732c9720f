//! Execution of a load run.

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

/// An event that a task reports to the run.
enum CallEvent {
    Sent { number: u64, once: bool },
    Unsent,
    Ended(CallResult),
}

/// A load run and the state that its calls share.
pub struct LoadRun {
    plan: Arc<LoadPlan>,
    caller: Caller,
    keys: Arc<KeyCache>,
    ledger: Ledger,
    weights: WeightedIndex<u32>,
    done: Arc<AtomicU64>,
}

impl LoadRun {
    /// Prepares a run without starting it.
    ///
    /// # Errors
    ///
    /// If the plan has no target, no route, or only routes of weight zero.
    pub fn new(plan: LoadPlan) -> Result<Self, StandinError> {
        let invalid = |reason: &str| Err(StandinError::new("plan", &"load", &reason));
        if plan.targets.is_empty() {
            return invalid("at least one target is required");
        }
        if plan.routes.is_empty() {
            return invalid("at least one route is required");
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

    /// Returns a live counter of the calls that have ended or were not sent.
    #[must_use]
    pub fn progress(&self) -> Arc<AtomicU64> {
        self.done.clone()
    }

    /// Makes every call and waits until all have ended.
    pub async fn run(mut self) -> (LoadReport, Ledger) {
        let start = Instant::now();
        let mut tally = Tally::new(&self.plan);
        let (events, mut event_queue) = mpsc::unbounded_channel();
        let pacer = self.spawn_pacer(events);
        // The channel holds at most three events for each call in flight, and closes after the last call.
        while let Some(event) = event_queue.recv().await {
            let finished = !matches!(event, CallEvent::Sent { .. });
            match event {
                CallEvent::Sent { number, once } => self.ledger.record_sent(number, once),
                CallEvent::Unsent => tally.add_unsent(),
                CallEvent::Ended(result) => {
                    tally.add(&result);
                    self.ledger.record_refusal(&result);
                }
            }
            if finished {
                self.done.fetch_add(1, Ordering::Relaxed);
            }
        }
        let _ = pacer.await;
        (tally.finish(start.elapsed()), self.ledger)
    }

    fn spawn_pacer(&self, events: mpsc::UnboundedSender<CallEvent>) -> tokio::task::JoinHandle<()> {
        let plan = self.plan.clone();
        let context = CallContext {
            plan: plan.clone(),
            caller: self.caller.clone(),
            keys: self.keys.clone(),
            prefix: Arc::from(self.ledger.prefix()),
            events,
        };
        let weights = self.weights.clone();
        let handle = Handle::current();
        tokio::task::spawn_blocking(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
            let permits = Arc::new(Semaphore::new(plan.in_flight));
            Pacer::new(plan.rate.0, plan.calls()).run(|number, due| {
                let route = weights.sample(&mut rng);
                let target = rng.random_range(0..plan.targets.len());
                let Ok(permit) = permits.clone().try_acquire_owned() else {
                    let _ = context.events.send(CallEvent::Unsent);
                    return;
                };
                let call = context.clone().call(number, route, target, due);
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
    events: mpsc::UnboundedSender<CallEvent>,
}

impl CallContext {
    async fn call(self, number: u64, route: usize, target: usize, due: Instant) {
        let load_route = &self.plan.routes[route];
        let target = self.plan.targets[target];
        let late = due.elapsed();
        let once = load_route.once.is_some();
        let key = match &load_route.once {
            Some(service) => self.keys.take(&self.caller, target, service).await.ok(),
            None => None,
        };
        if once && key.is_none() {
            let _ = self.events.send(CallEvent::Unsent);
            return;
        }

        let _ = self.events.send(CallEvent::Sent { number, once });
        let id = format!("{}{number}", self.prefix);
        let completion = self
            .caller
            .call(target, load_route, &id, key.as_deref())
            .await;
        let latency = due.elapsed();
        let _ = self.events.send(CallEvent::Ended(CallResult {
            number,
            route,
            end: completion.end,
            reason: completion.reason,
            latency,
            late,
        }));
    }
}

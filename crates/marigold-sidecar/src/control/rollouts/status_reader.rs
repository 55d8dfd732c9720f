//! Reads the states of roll-outs from the store.

use std::rc::Rc;
use std::time::Duration;

use marigold_log::{KeyedBatch, LogError, LogFailure};
use tokio::time::{Instant, sleep};

use super::Rollouts;
use super::known_rollout::KnownRollout;
use crate::control::store_health::StoreHealth;
use crate::events::Severity;

/// Interval at which a daemon checks whether it has to read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Long-poll timeout. A state counts as unknown once it was confirmed more than two of these ago.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// A follower reads the store itself once the states were last confirmed this long ago.
const MAX_AGE: Duration = Duration::from_millis(1_900);
/// Minimum time between two reads of a follower.
const FALLBACK_INTERVAL: Duration = Duration::from_millis(900);
/// Name of the table in log events.
const ROLLOUTS: &str = "rollouts";

impl Rollouts {
    /// Reads the states while any roll-out is open, until the task is dropped.
    pub(super) async fn read_states(self: Rc<Self>) {
        let mut health = StoreHealth::new(ROLLOUTS, self.parts.events.clone());
        loop {
            let has_lost_states = self.is_reader.get() && self.has_lost_states.get();
            if has_lost_states {
                self.position.set(None);
            }
            let is_needed = self.is_any_open() || has_lost_states;
            let is_source = self.is_reader.get() || self.is_any_decider();
            let age = self.confirmed_at.get().map(|at| at.elapsed());
            let is_stale = age.is_none_or(|age| age >= MAX_AGE);
            if !is_needed || !(is_source || is_stale) {
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            let wait = if is_source {
                POLL_TIMEOUT
            } else {
                Duration::ZERO
            };
            match self.read(wait).await {
                Ok(()) => health.record_success(),
                Err(error) if error.invalidates_position() => {
                    if let LogFailure::Replaced { era } = error.failure {
                        health.record_replacement(era);
                        self.has_lost_states.set(true);
                    }
                    self.position.set(None);
                }
                Err(error) => health.record_failure(&error).await,
            }
            if !is_source {
                sleep(FALLBACK_INTERVAL).await;
            }
        }
    }

    /// Reads changes of the states, waiting up to `wait` for the first one, and applies them.
    pub(super) async fn read(&self, wait: Duration) -> Result<(), LogError> {
        let table = self.parts.format.status_table();
        let began = Instant::now();
        let position = self.position.get();
        let batch = match position {
            None => self.parts.store.snapshot(&table).await?,
            Some(from) => self.parts.store.changes(&table, from, wait).await?,
        };
        self.apply_states(&batch);
        // The answer to a long poll without changes is as new as its end.
        let is_empty = batch.records.is_empty();
        self.confirm(Some(if is_empty { Instant::now() } else { began }));
        if position.is_none() && self.is_reader.get() && self.has_lost_states.get() {
            self.restore_states(&batch).await?;
        }
        Ok(())
    }

    /// Writes the states again that are missing from a read of the whole table, so that operators and daemons that start read
    /// what has been decided. If another state is written meanwhile, the next read begins anew.
    async fn restore_states(&self, batch: &KeyedBatch) -> Result<(), LogError> {
        let format = &self.parts.format;
        let table = format.status_table();
        let is_recorded = |rollout: &KnownRollout| {
            let key = format.status_key(&rollout.order.service);
            let record = batch.records.iter().find(|record| *record.key == *key);
            let value = record.and_then(|record| record.value.as_ref());
            let status = value.and_then(|value| format.decode_status(&key, value).ok().flatten());
            status.is_some_and(|(_, status)| rollout.is_recorded_by(&status))
        };
        // An order that the store has lost will have another number once it is there again.
        let is_lost = |rollout: &&KnownRollout| !rollout.is_carried && !is_recorded(rollout);
        let lost: Vec<_> = self.known.borrow().all().filter(is_lost).cloned().collect();
        let mut end = batch.next;
        for rollout in lost {
            let Some(status) = rollout.status else {
                continue;
            };
            let service = &rollout.order.service;
            let (key, value) = (format.status_key(service), format.encode_status(&status));
            if !self.parts.store.put_if(&table, &key, value, end).await? {
                return Ok(());
            }
            end = end.next();
            self.position.set(Some(end));
            let fields = [
                ("service", service.to_string().into()),
                ("target", status.target.to_string().into()),
                ("state", status.state.to_string().into()),
            ];
            let event = "rollout_state_restored";
            self.parts.events.emit(event, Severity::Info, &fields);
        }
        self.has_lost_states.set(false);
        Ok(())
    }

    fn apply_states(&self, batch: &KeyedBatch) {
        // Another read may have got further meanwhile.
        let position = self.position.get();
        let is_further = position.is_some_and(|position| {
            position.era == batch.next.era && position.offset > batch.next.offset
        });
        if !is_further {
            self.position.set(Some(batch.next));
        }
        let mut has_changed = false;
        for record in &batch.records {
            let Some(value) = &record.value else {
                continue;
            };
            match self.parts.format.decode_status(&record.key, value) {
                Ok(Some((service, status))) => has_changed |= self.apply_status(&service, &status),
                Ok(None) => {}
                Err(error) => {
                    let fields = [
                        ("key", record.key.as_ref().into()),
                        ("cause", error.to_string().into()),
                    ];
                    let event = "rollout_status_refused";
                    self.parts.events.emit(event, Severity::Warn, &fields);
                }
            }
        }
        if has_changed {
            self.notify_followers(true);
        }
    }
}

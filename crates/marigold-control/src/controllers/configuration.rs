//! Receives configurations, and decides whether the daemon may serve requests.

use std::sync::Arc;
use std::time::Duration;

use marigold_config::{Config, Delta};
use marigold_types::{Address, Version};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::serving_check::ServingCheck;
use crate::{ControlState, Event, Message, Outbox, ServingState, SnapshotKind, StateDigest};

/// How long an answer to a fetch is awaited before the next attempt.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of daemons remembered as holding a newer version.
const MAX_HOLDERS: usize = 8;
/// The maximum delay accepted from a daemon that defers a fetch.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Replaces the configuration by newer versions, and lets the daemon serve once it is recent
/// enough.
///
/// A configuration is applied completely or not at all, and never replaced by an older one.
#[derive(Debug)]
pub struct Configuration {
    rng: ChaCha8Rng,
    check: Option<ServingCheck>,
    /// Daemons known to hold a newer version, the most recently heard last.
    holders: Vec<Address>,
    /// The newest version known to be held by another daemon.
    wanted_version: Version,
    /// When the outstanding fetch was sent.
    fetch_sent: Option<Instant>,
    next_fetch: Option<Instant>,
}

impl Controller for Configuration {
    fn name(&self) -> &'static str {
        "configuration"
    }

    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    ) {
        match input {
            Input::Event(Event::Tick) => self.tick(state, now, out),
            Input::Event(Event::Resumed { gap }) => self.handle_pause(state, *gap),
            Input::Event(Event::Unreachable { peer }) => self.holders.retain(|h| h != peer),
            Input::Event(_) => {}
            Input::Message { from, message } => self.handle_message(state, from, message, now, out),
        }
        self.serve_when_ready(state, now);
    }
}

impl Configuration {
    /// Creates the controller of a daemon that has just started and has no configuration.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            check: Some(ServingCheck::after_start()),
            holders: Vec::new(),
            wanted_version: Version::default(),
            fetch_sent: None,
            next_fetch: None,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        if let Some(check) = &mut self.check {
            check.send_queries(state, now, out);
        }
        if state.config.version >= self.wanted_version {
            self.next_fetch = None;
            self.holders.clear();
        }
        let is_expired = |since: Instant| now.duration_since(since) >= FETCH_TIMEOUT;
        self.fetch_sent = self.fetch_sent.filter(|since| !is_expired(*since));
        let due = self.next_fetch.is_some_and(|next| now >= next);
        if due && self.fetch_sent.is_none() {
            self.fetch(state, now, out);
        }
    }

    fn fetch(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        self.next_fetch = None;
        let Some(holder) = self.holders.choose(&mut self.rng) else {
            return;
        };
        let held = state.config.version;
        out.send(*holder, &Message::Fetch { held });
        self.fetch_sent = Some(now);
        self.next_fetch = Some(now + FETCH_TIMEOUT);
    }

    /// Stops serving after a pause so long that the others may have declared this daemon dead.
    fn handle_pause(&mut self, state: &mut ControlState, gap: Duration) {
        if gap < state.options.suspicion / 2 {
            return;
        }
        if state.is_serving() {
            self.check = Some(ServingCheck::after_pause());
            state.serving_state = ServingState::Stale;
        }
        self.fetch_sent = None;
    }

    fn handle_message(
        &mut self,
        state: &mut ControlState,
        from: Address,
        message: &Message,
        now: Instant,
        out: &mut Outbox,
    ) {
        match message {
            Message::Probe { mark: digest, .. }
            | Message::Answer { mark: digest, .. }
            | Message::Compare { mark: digest }
            | Message::Holding { mark: digest, .. } => {
                self.handle_digest(state, from, *digest, now);
            }
            Message::Recalled { mark: digest, .. } => {
                self.handle_digest(state, from, *digest, now);
                self.handle_recalled(state, from, message);
            }
            Message::Delta { delta } => self.apply_delta(state, from, delta, now, out),
            Message::Whole { config, digest } => {
                self.apply_snapshot(state, from, config, *digest, out);
            }
            Message::Busy {
                subject: SnapshotKind::Config,
                retry: retry_after_millis,
                other,
            } => self.defer_fetch(*retry_after_millis, *other, now),
            _ => {}
        }
    }

    fn handle_digest(
        &mut self,
        state: &mut ControlState,
        from: Address,
        digest: StateDigest,
        now: Instant,
    ) {
        state.members.note_held(from, digest.version);
        if digest.version > state.config.version {
            self.note_holder(from, digest.version);
            // A daemon that serves gives the fan-out tree time to deliver the version first.
            let grace = if state.is_serving() {
                state.options.batch * 3
            } else {
                Duration::ZERO
            };
            self.next_fetch.get_or_insert(now + grace);
        }
    }

    fn handle_recalled(&mut self, state: &mut ControlState, from: Address, message: &Message) {
        let Message::Recalled {
            life: incarnation, ..
        } = message
        else {
            return;
        };
        if let Some(check) = &mut self.check {
            check.record_answer(from, message);
        }
        state.note_incarnation(*incarnation);
    }

    fn note_holder(&mut self, from: Address, version: Version) {
        self.wanted_version = self.wanted_version.max(version);
        self.holders.retain(|holder| *holder != from);
        if self.holders.len() >= MAX_HOLDERS {
            self.holders.remove(0);
        }
        self.holders.push(from);
    }

    fn defer_fetch(&mut self, retry_after_millis: u32, other: Option<Address>, now: Instant) {
        self.fetch_sent = None;
        let wait = Duration::from_millis(u64::from(retry_after_millis)).min(MAX_RETRY_DELAY);
        self.next_fetch = Some(now + wait.mul_f64(self.rng.random_range(0.8..1.2)));
        if let Some(other) = other {
            self.holders = vec![other];
        }
    }

    fn apply_delta(
        &mut self,
        state: &mut ControlState,
        from: Address,
        delta: &Delta,
        now: Instant,
        out: &mut Outbox,
    ) {
        state.members.note_held(from, delta.to);
        if delta.to <= state.config.version {
            return;
        }
        match state.config.apply(delta) {
            Ok(config) => self.replace(state, config),
            Err(error) => {
                // Whatever the error, the sender holds the version that the delta leads to.
                let is_base_missing =
                    matches!(error, marigold_config::DeltaError::BaseMismatch { .. });
                out.counters.refused += u64::from(!is_base_missing);
                self.note_holder(from, delta.to);
                if is_base_missing && self.fetch_sent.is_none() {
                    let held = state.config.version;
                    out.send(from, &Message::Fetch { held });
                    self.fetch_sent = Some(now);
                }
                self.next_fetch.get_or_insert(now + FETCH_TIMEOUT);
            }
        }
    }

    fn apply_snapshot(
        &mut self,
        state: &mut ControlState,
        from: Address,
        config: &Config,
        digest: u64,
        out: &mut Outbox,
    ) {
        self.fetch_sent = None;
        if config.version > state.config.version {
            if config.digest().prefix() == digest && config.is_complete() {
                self.replace(state, config.clone());
            } else {
                out.counters.refused += 1;
            }
        }
        let digest = state.digest();
        let snapshot = SnapshotKind::Config;
        out.send(
            from,
            &Message::Holding {
                subject: snapshot,
                mark: digest,
            },
        );
    }

    fn replace(&mut self, state: &mut ControlState, config: Config) {
        if state.replace_config(Arc::new(config)) {
            self.fetch_sent = None;
        }
    }

    fn serve_when_ready(&mut self, state: &mut ControlState, now: Instant) {
        let Some(check) = &self.check else {
            return;
        };
        if check.passes(state, now) {
            self.check = None;
            state.serving_state = ServingState::Serving;
        }
    }
}

//! What configuration the daemon holds, and whether it may serve by it.

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

/// How long an answer to a fetch is waited for.
const FETCH_PATIENCE: Duration = Duration::from_secs(3);
/// The most daemons that are remembered as holding something newer.
const MAX_HOLDERS: usize = 8;
/// The longest wait that another daemon can impose.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Takes newer versions whole or not at all, never an older one, and opens the gate to serving.
#[derive(Debug)]
pub struct Configuration {
    rng: ChaCha8Rng,
    check: Option<ServingCheck>,
    holders: Vec<Address>,
    wanted: Version,
    fetching: Option<Instant>,
    next: Option<Instant>,
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
            Input::Event(Event::Resumed { gap }) => self.distrust(state, *gap),
            Input::Event(Event::Unreachable { peer }) => self.holders.retain(|h| h != peer),
            Input::Event(_) => {}
            Input::Message { from, message } => self.hear(state, from, message, now, out),
        }
        self.open_gate(state, now);
    }
}

impl Configuration {
    /// Makes the controller of a daemon that has just started and holds nothing.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            check: Some(ServingCheck::after_start()),
            holders: Vec::new(),
            wanted: Version::default(),
            fetching: None,
            next: None,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        if let Some(check) = &mut self.check {
            check.send_queries(state, now, out);
        }
        if state.config.version >= self.wanted {
            self.next = None;
            self.holders.clear();
        }
        let lapsed = |since: Instant| now.duration_since(since) >= FETCH_PATIENCE;
        self.fetching = self.fetching.filter(|since| !lapsed(*since));
        let due = self.next.is_some_and(|next| now >= next);
        if due && self.fetching.is_none() {
            self.fetch(state, now, out);
        }
    }

    fn fetch(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        self.next = None;
        let Some(holder) = self.holders.choose(&mut self.rng) else {
            return;
        };
        let held = state.config.version;
        out.send(*holder, &Message::Fetch { held });
        self.fetching = Some(now);
        self.next = Some(now + FETCH_PATIENCE);
    }

    /// Closes the gate after a pause long enough for the others to have given this daemon up.
    fn distrust(&mut self, state: &mut ControlState, gap: Duration) {
        if gap < state.options.suspicion / 2 {
            return;
        }
        if state.is_serving() {
            self.check = Some(ServingCheck::after_pause());
            state.serving_state = ServingState::Stale;
        }
        self.fetching = None;
    }

    fn hear(
        &mut self,
        state: &mut ControlState,
        from: Address,
        message: &Message,
        now: Instant,
        out: &mut Outbox,
    ) {
        match message {
            Message::Probe { digest, .. }
            | Message::Answer { digest, .. }
            | Message::Compare { digest }
            | Message::Holding { digest, .. } => {
                self.hear_mark(state, from, *digest, now);
            }
            Message::Recalled { digest, .. } => {
                self.hear_mark(state, from, *digest, now);
                self.hear_recalled(state, from, message);
            }
            Message::Delta { delta } => self.take_delta(state, from, delta, now, out),
            Message::Whole { config, digest } => {
                self.take_whole(state, from, config, *digest, out);
            }
            Message::Busy {
                snapshot: SnapshotKind::Config,
                retry_after_millis,
                other,
            } => self.wait(*retry_after_millis, *other, now),
            _ => {}
        }
    }

    fn hear_mark(
        &mut self,
        state: &mut ControlState,
        from: Address,
        digest: StateDigest,
        now: Instant,
    ) {
        state.members.note_held(from, digest.version);
        if digest.version > state.config.version {
            self.note_holder(from, digest.version);
            // The tree is most likely about to bring it.
            let grace = if state.is_serving() {
                state.options.batch * 3
            } else {
                Duration::ZERO
            };
            self.next.get_or_insert(now + grace);
        }
    }

    fn hear_recalled(&mut self, state: &mut ControlState, from: Address, message: &Message) {
        let Message::Recalled { incarnation, .. } = message else {
            return;
        };
        if let Some(check) = &mut self.check {
            check.record_answer(from, message);
        }
        state.note_incarnation(*incarnation);
    }

    fn note_holder(&mut self, from: Address, version: Version) {
        self.wanted = self.wanted.max(version);
        self.holders.retain(|holder| *holder != from);
        if self.holders.len() >= MAX_HOLDERS {
            self.holders.remove(0);
        }
        self.holders.push(from);
    }

    fn wait(&mut self, retry_after_millis: u32, other: Option<Address>, now: Instant) {
        self.fetching = None;
        let wait = Duration::from_millis(u64::from(retry_after_millis)).min(MAX_RETRY);
        self.next = Some(now + wait.mul_f64(self.rng.random_range(0.8..1.2)));
        if let Some(other) = other {
            self.holders = vec![other];
        }
    }

    fn take_delta(
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
                // Whatever is wrong with the step, the sender holds the version that it leads to.
                let misses_base = matches!(error, marigold_config::DeltaError::BaseMismatch { .. });
                out.counters.refused += u64::from(!misses_base);
                self.note_holder(from, delta.to);
                if misses_base && self.fetching.is_none() {
                    let held = state.config.version;
                    out.send(from, &Message::Fetch { held });
                    self.fetching = Some(now);
                }
                self.next.get_or_insert(now + FETCH_PATIENCE);
            }
        }
    }

    fn take_whole(
        &mut self,
        state: &mut ControlState,
        from: Address,
        config: &Config,
        digest: u64,
        out: &mut Outbox,
    ) {
        self.fetching = None;
        if config.version > state.config.version {
            if config.digest().prefix() == digest && config.is_complete() {
                self.replace(state, config.clone());
            } else {
                out.counters.refused += 1;
            }
        }
        let digest = state.digest();
        let snapshot = SnapshotKind::Config;
        out.send(from, &Message::Holding { snapshot, digest });
    }

    fn replace(&mut self, state: &mut ControlState, config: Config) {
        if state.replace_config(Arc::new(config)) {
            self.fetching = None;
        }
    }

    fn open_gate(&mut self, state: &mut ControlState, now: Instant) {
        let Some(check) = &self.check else {
            return;
        };
        if check.passes(state, now) {
            self.check = None;
            state.serving_state = ServingState::Serving;
        }
    }
}

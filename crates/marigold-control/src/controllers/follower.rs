//! Follows the log for a data centre.

use std::time::Duration;

use marigold_config::{LogReader, Trust};
use marigold_log::{Batch, LogError, LogFailure, StreamName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::roster::MAX_ROSTER_MEMBERS;
use crate::{ControlState, Event, Liveness, Outbox, Roster};

/// The most records of one read.
const READ_LIMIT: usize = 256;
/// The longest wait after failed reads; a returning log is to be noticed within the target.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A read or append that has not been answered for so long is given up.
const ANSWER_PATIENCE: Duration = Duration::from_secs(30);
/// A checkpoint waits for a random part of this, so that seldom two followers append one.
const CHECKPOINT_SPREAD: Duration = Duration::from_secs(10);
/// How long a log without a base for its records is watched before the configuration held is
/// written back to it: longer than a daemon takes to hear from its peers.
const RESTORE_AFTER: Duration = Duration::from_secs(15);
/// The same where no configuration is held either: a mesh that was down for longer than the log
/// keeps records starts anew, and another daemon's copy has every chance to come first.
const RESTORE_EMPTY_AFTER: Duration = Duration::from_mins(1);
/// How often the members stream is added to at most.
const ROSTER_PERIOD: Duration = Duration::from_secs(30);
/// How often it is added to although nobody joined, so that retention never empties it.
const ROSTER_REFRESH: Duration = Duration::from_mins(15);

/// Reads the configuration stream, and appends checkpoints and the joins of its data centre.
///
/// Several daemons of a data centre do so at once, each by its own view of who should: that costs
/// reads, and nothing else.
pub struct Follower {
    rng: ChaCha8Rng,
    reader: LogReader,
    reading: Option<Instant>,
    next: Option<Instant>,
    failures: u32,
    checkpoint: Option<Instant>,
    lost: Option<Instant>,
    roster: Option<Roster>,
    roster_next: Option<Instant>,
    roster_last: Option<Instant>,
}

impl Controller for Follower {
    fn name(&self) -> &'static str {
        "follower"
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
            Input::Event(Event::Resumed { .. }) => self.reading = None,
            Input::Event(Event::LogRead { stream, result }) if *stream == StreamName::Config => {
                self.take(state, result, now);
            }
            Input::Event(Event::LogAppended { stream, result }) => {
                self.take_append(*stream, result.is_ok());
            }
            _ => {}
        }
    }
}

impl Follower {
    /// Makes the controller, which believes what `trust` vouches for.
    #[must_use]
    pub fn new(trust: Trust, rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            reader: LogReader::new(trust),
            reading: None,
            next: None,
            failures: 0,
            checkpoint: None,
            lost: None,
            roster: None,
            roster_next: None,
            roster_last: None,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        if !state.joined || !state.topology.is_follower {
            self.next = None;
            return;
        }
        self.reader.observe_config(&state.config);
        self.poll(state, now, out);
        self.append_checkpoint(now, out);
        self.restore(state, now, out);
        self.append_roster(state, now, out);
    }

    fn poll(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        let given_up = |since: Instant| now.duration_since(since) >= ANSWER_PATIENCE;
        if self.reading.is_some_and(|since| !given_up(since)) {
            return;
        }
        let spread = state.options.poll.mul_f64(self.rng.random_range(0.0..1.0));
        let next = *self.next.get_or_insert(now + spread);
        if now >= next {
            self.reading = Some(now);
            out.read(StreamName::Config, self.reader.next(), READ_LIMIT);
        }
    }

    fn take(&mut self, state: &mut ControlState, result: &Result<Batch, LogError>, now: Instant) {
        let Some(sent) = self.reading.take() else {
            return;
        };
        self.reader.observe_config(&state.config);
        match result {
            Ok(batch) => {
                self.failures = 0;
                self.reader.apply_batch(batch);
                self.publish(state, sent, now);
            }
            Err(error) => self.take_failure(state, &error.failure, now),
        }
    }

    /// Puts the folded configuration in force once every record known of is folded, so that the
    /// tree carries one step and not each.
    fn publish(&mut self, state: &mut ControlState, sent: Instant, now: Instant) {
        if self.reader.is_caught_up() {
            state.log.last_complete_read = Some(sent);
            state.replace_config(self.reader.config());
            let spread = self.rng.random_range(0.8..1.2);
            self.next = Some(now + state.options.poll.mul_f64(spread));
        } else if self.reader.is_missing_base() {
            self.next = Some(now + state.options.poll);
        } else {
            self.next = Some(now);
        }
    }

    fn take_failure(&mut self, state: &mut ControlState, failure: &LogFailure, now: Instant) {
        if let LogFailure::Trimmed { earliest } = failure {
            self.reader.apply_trim(*earliest);
            self.next = Some(now);
            return;
        }
        state.log.last_failed_read = Some(now);
        self.failures = self.failures.saturating_add(1);
        let wait = state.options.poll * 2_u32.saturating_pow(self.failures.min(8));
        let spread = self.rng.random_range(0.5..1.0);
        self.next = Some(now + wait.min(MAX_BACKOFF).mul_f64(spread));
    }

    fn append_checkpoint(&mut self, now: Instant, out: &mut Outbox) {
        if self.reader.checkpoint_due().is_none() {
            self.checkpoint = None;
            return;
        }
        let spread = CHECKPOINT_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
        let at = *self.checkpoint.get_or_insert(now + spread);
        if now >= at {
            self.checkpoint = Some(now + CHECKPOINT_SPREAD * 2);
            let record = self.reader.to_checkpoint().to_string();
            out.append(StreamName::Config, record);
        }
    }

    /// Writes the configuration held back to a log that has lost everything before it, or that
    /// leads to an older version.
    fn restore(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        if !self.reader.restoration_due() {
            self.lost = None;
            return;
        }
        let patience = if state.config.version.0 == 0 {
            RESTORE_EMPTY_AFTER
        } else {
            RESTORE_AFTER
        };
        let spread = CHECKPOINT_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
        let at = *self.lost.get_or_insert(now + patience + spread);
        if now < at {
            return;
        }
        self.lost = Some(now + patience * 2);
        if let Some(record) = self.reader.to_restoration() {
            out.append(StreamName::Config, record.to_string());
        }
    }

    /// Names some live daemons in the log, for those that start with no live seed.
    fn append_roster(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        let first = state.topology.followers.first() == Some(&state.address());
        let next = *self.roster_next.get_or_insert(now);
        if !first || now < next {
            return;
        }
        self.roster_next = Some(now + ROSTER_PERIOD);
        let roster = sample(state);
        let old = self
            .roster_last
            .is_none_or(|last| now - last >= ROSTER_REFRESH);
        if !old && self.roster.as_ref() == Some(&roster) {
            return;
        }
        if let Ok(data) = serde_json::to_string(&roster) {
            out.append(StreamName::Members, data);
            self.roster = Some(roster);
            self.roster_last = Some(now);
        }
    }

    fn take_append(&mut self, stream: StreamName, done: bool) {
        // A record that may not have been written is simply written again: both kinds may stand
        // twice.
        if stream == StreamName::Members && !done {
            self.roster = None;
        }
    }
}

/// Takes the daemons that stand first on the ring, so that most joins change nothing.
fn sample(state: &ControlState) -> Roster {
    let data_centre = state.local.data_centre.clone();
    let mut live: Vec<_> = state
        .members
        .in_data_centre(&data_centre)
        .filter(|entry| entry.member.liveness == Liveness::Alive)
        .map(|entry| (entry.ring_position, entry.member.address()))
        .collect();
    live.sort_unstable();
    let members = live.into_iter().take(MAX_ROSTER_MEMBERS);
    Roster {
        members: members.map(|(_, address)| address).collect(),
        data_centre,
    }
}

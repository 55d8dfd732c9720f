//! Reads the log on behalf of a data centre.

use std::time::Duration;

use marigold_config::{LogReader, Trust};
use marigold_log::{Batch, LogError, LogFailure, StreamName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::roster::MAX_ROSTER_MEMBERS;
use crate::{ControlState, Event, Liveness, Outbox, Roster};

/// The maximum number of records per read.
const MAX_READ_RECORDS: usize = 256;
/// The maximum backoff after failed reads. A log that is available again has to be noticed within
/// the target propagation time.
const MAX_READ_BACKOFF: Duration = Duration::from_secs(5);
/// How long the response to a read is awaited before the read is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum random delay of a checkpoint or a restoration, which makes it unlikely that two
/// followers append one.
const MAX_CHECKPOINT_JITTER: Duration = Duration::from_secs(10);
/// How long the log has to lack a base for its records before the current configuration is written
/// back to it: longer than a daemon takes to receive the newest one from its peers.
const RESTORE_DELAY: Duration = Duration::from_secs(15);
/// The same delay for a daemon without a configuration, longer so that a daemon with one writes it
/// first. If the whole mesh was down for longer than the log keeps records, no daemon has one and
/// the mesh starts with an empty configuration.
const EMPTY_RESTORE_DELAY: Duration = Duration::from_mins(1);
/// The minimum time between appends to the members stream.
const MIN_ROSTER_INTERVAL: Duration = Duration::from_secs(30);
/// The time after which an unchanged roster is appended again, so that retention never empties the
/// members stream.
const ROSTER_REFRESH_INTERVAL: Duration = Duration::from_mins(15);

/// Reads the configuration stream, and appends checkpoints and the roster of its data centre.
///
/// Several daemons of a data centre are followers at once, and their views of who is one may
/// differ. That only costs additional reads.
pub struct Follower {
    rng: ChaCha8Rng,
    reader: LogReader,
    /// When the outstanding read was sent.
    read_sent: Option<Instant>,
    next_read: Option<Instant>,
    failed_reads: u32,
    next_checkpoint: Option<Instant>,
    next_restoration: Option<Instant>,
    /// The roster appended last.
    last_roster: Option<Roster>,
    next_roster: Option<Instant>,
    last_roster_append: Option<Instant>,
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
            Input::Event(Event::Resumed { .. }) => self.read_sent = None,
            Input::Event(Event::LogRead { stream, result }) if *stream == StreamName::Config => {
                self.handle_read(state, result, now);
            }
            Input::Event(Event::LogAppended { stream, result }) => {
                self.handle_append(*stream, result.is_ok());
            }
            _ => {}
        }
    }
}

impl Follower {
    /// Creates the controller, which accepts the records that `trust` verifies.
    #[must_use]
    pub fn new(trust: Trust, rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            reader: LogReader::new(trust),
            read_sent: None,
            next_read: None,
            failed_reads: 0,
            next_checkpoint: None,
            next_restoration: None,
            last_roster: None,
            next_roster: None,
            last_roster_append: None,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        if !state.joined || !state.topology.is_follower {
            self.next_read = None;
            return;
        }
        self.reader.observe_config(&state.config);
        self.poll(state, now, out);
        self.append_checkpoint(now, out);
        self.restore(state, now, out);
        self.append_roster(state, now, out);
    }

    fn poll(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        let is_timed_out = |since: Instant| now.duration_since(since) >= READ_TIMEOUT;
        if self.read_sent.is_some_and(|since| !is_timed_out(since)) {
            return;
        }
        let jitter = state.options.poll.mul_f64(self.rng.random_range(0.0..1.0));
        let next = *self.next_read.get_or_insert(now + jitter);
        if now >= next {
            self.read_sent = Some(now);
            out.read(StreamName::Config, self.reader.next(), MAX_READ_RECORDS);
        }
    }

    fn handle_read(
        &mut self,
        state: &mut ControlState,
        result: &Result<Batch, LogError>,
        now: Instant,
    ) {
        let Some(sent) = self.read_sent.take() else {
            return;
        };
        self.reader.observe_config(&state.config);
        match result {
            Ok(batch) => {
                self.failed_reads = 0;
                self.reader.apply_batch(batch);
                self.publish(state, sent, now);
            }
            Err(error) => self.handle_failure(state, &error.failure, now),
        }
    }

    /// Publishes the configuration once every known record is applied, so that the fan-out tree
    /// carries one delta instead of one per record.
    fn publish(&mut self, state: &mut ControlState, sent: Instant, now: Instant) {
        if self.reader.is_caught_up() {
            state.log.last_complete_read = Some(sent);
            state.replace_config(self.reader.config());
            let jitter = self.rng.random_range(0.8..1.2);
            self.next_read = Some(now + state.options.poll.mul_f64(jitter));
        } else if self.reader.is_missing_base() {
            self.next_read = Some(now + state.options.poll);
        } else {
            self.next_read = Some(now);
        }
    }

    fn handle_failure(&mut self, state: &mut ControlState, failure: &LogFailure, now: Instant) {
        if let LogFailure::Trimmed { earliest } = failure {
            self.reader.apply_trim(*earliest);
            self.next_read = Some(now);
            return;
        }
        state.log.last_failed_read = Some(now);
        self.failed_reads = self.failed_reads.saturating_add(1);
        let wait = state.options.poll * 2_u32.saturating_pow(self.failed_reads.min(8));
        let jitter = self.rng.random_range(0.5..1.0);
        self.next_read = Some(now + wait.min(MAX_READ_BACKOFF).mul_f64(jitter));
    }

    fn append_checkpoint(&mut self, now: Instant, out: &mut Outbox) {
        if self.reader.checkpoint_due().is_none() {
            self.next_checkpoint = None;
            return;
        }
        let jitter = MAX_CHECKPOINT_JITTER.mul_f64(self.rng.random_range(0.0..1.0));
        let at = *self.next_checkpoint.get_or_insert(now + jitter);
        if now >= at {
            self.next_checkpoint = Some(now + MAX_CHECKPOINT_JITTER * 2);
            let record = self.reader.to_checkpoint().to_string();
            out.append(StreamName::Config, record);
        }
    }

    /// Writes the current configuration back to a log that lost the records before it, or that
    /// leads to an older version.
    fn restore(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        if !self.reader.restoration_due() {
            self.next_restoration = None;
            return;
        }
        let delay = if state.config.version.0 == 0 {
            EMPTY_RESTORE_DELAY
        } else {
            RESTORE_DELAY
        };
        let jitter = MAX_CHECKPOINT_JITTER.mul_f64(self.rng.random_range(0.0..1.0));
        let at = *self.next_restoration.get_or_insert(now + delay + jitter);
        if now < at {
            return;
        }
        self.next_restoration = Some(now + delay * 2);
        if let Some(record) = self.reader.to_restoration() {
            out.append(StreamName::Config, record.to_string());
        }
    }

    /// Appends the addresses of some live daemons, for daemons that start without a reachable seed.
    fn append_roster(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        let is_first = state.topology.followers.first() == Some(&state.address());
        let next = *self.next_roster.get_or_insert(now);
        if !is_first || now < next {
            return;
        }
        self.next_roster = Some(now + MIN_ROSTER_INTERVAL);
        let roster = select_roster(state);
        let is_refresh_due = self
            .last_roster_append
            .is_none_or(|last| now - last >= ROSTER_REFRESH_INTERVAL);
        if !is_refresh_due && self.last_roster.as_ref() == Some(&roster) {
            return;
        }
        if let Ok(data) = serde_json::to_string(&roster) {
            out.append(StreamName::Members, data);
            self.last_roster = Some(roster);
            self.last_roster_append = Some(now);
        }
    }

    fn handle_append(&mut self, stream: StreamName, succeeded: bool) {
        // A record that may not have been written is appended again; duplicates are harmless.
        if stream == StreamName::Members && !succeeded {
            self.last_roster = None;
        }
    }
}

/// Selects the live daemons that come first on the ring, so that most joins do not change the
/// roster.
fn select_roster(state: &ControlState) -> Roster {
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

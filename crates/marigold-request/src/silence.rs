//! Detects connections that are open but no longer answer. See docs/design/silent-connections.md.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

/// Whether a connection may be used, as far as its monitor can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection may be used.
    Healthy,
    /// A response is overdue: a probe must be sent.
    ProbeDue,
    /// A probe is pending: new requests must use another connection meanwhile.
    Probing,
    /// The probe was not answered: the connection must be replaced.
    Silent,
}

/// Monitors one connection.
///
/// A silent connection is detected within twice the setting `silence` after the first request on it
/// that gets no response: once until the probe is sent, and once until the probe is overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionMonitor {
    silence: Duration,
    /// When data was last received from the peer; at first, when the connection was opened.
    last_received: Instant,
    /// The number of pending answers.
    pending: u32,
    /// Since when a response from the peer has been due.
    waiting_since: Option<Instant>,
    /// Whether a request was sent since data was last received.
    sent_since_received: bool,
    probed_at: Option<Instant>,
}

impl ConnectionMonitor {
    /// Creates the monitor of a connection that was opened at `now`.
    #[must_use]
    pub fn new(silence: Interval, now: Instant) -> Self {
        Self {
            silence: silence.duration(),
            last_received: now,
            pending: 0,
            waiting_since: None,
            sent_since_received: false,
            probed_at: None,
        }
    }

    /// Records a request that was sent and waits for its answer.
    pub fn sent(&mut self, now: Instant) {
        self.pending += 1;
        self.sent_since_received = true;
        self.waiting_since.get_or_insert(now);
    }

    /// Records that any data was received from the peer.
    pub fn received(&mut self, now: Instant) {
        self.last_received = now;
        self.sent_since_received = false;
        self.probed_at = None;
        self.waiting_since = (self.pending > 0).then_some(now);
    }

    /// Records that a request no longer waits, whether it was answered or abandoned.
    ///
    /// An abandoned request does not end the wait for a response: only received data does.
    pub fn ended(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        if self.pending == 0 && !self.sent_since_received {
            self.waiting_since = None;
        }
    }

    /// Records that a probe was sent, which the peer must answer.
    pub fn probe_sent(&mut self, now: Instant) {
        self.probed_at.get_or_insert(now);
        self.waiting_since.get_or_insert(now);
    }

    /// Returns the state of the connection at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> ConnectionState {
        let overdue = |since: Instant| now.saturating_duration_since(since) >= self.silence;
        match (self.probed_at, self.waiting_since) {
            (Some(probed_at), _) if overdue(probed_at) => ConnectionState::Silent,
            (Some(_), _) => ConnectionState::Probing,
            (None, Some(since)) if overdue(since) => ConnectionState::ProbeDue,
            (None, _) => ConnectionState::Healthy,
        }
    }

    /// Returns when [`ConnectionMonitor::state`] may change next without an event.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        self.probed_at
            .or(self.waiting_since)
            .map(|since| since + self.silence)
    }

    /// Returns whether a new request may use this connection.
    ///
    /// A request that is not idempotent requires data received within the last `silence`. Otherwise
    /// it must use a new connection, which cannot have failed unnoticed.
    #[must_use]
    pub fn may_carry(&self, idempotent: bool, now: Instant) -> bool {
        if self.state(now) != ConnectionState::Healthy {
            return false;
        }
        idempotent || now.saturating_duration_since(self.last_received) < self.silence
    }
}

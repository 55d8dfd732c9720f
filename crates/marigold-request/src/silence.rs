//! Judges a connection by its answers and not by its being open. See
//! docs/design/silent-connections.md.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

/// What to do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Use it.
    Healthy,
    /// Something is overdue: ask for a sign of life.
    Probe,
    /// A probe is out: send new requests over another connection meanwhile.
    Doubtful,
    /// No sign of life came: open another connection and give this one up.
    Replace,
}

/// Watches one connection.
///
/// A silent connection is noticed within twice the setting `silence` after the first request on it
/// that stays without any sign of life: once until the probe, once until the probe is overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionMonitor {
    silence: Duration,
    /// When the other end was last heard.
    heard: Instant,
    /// Answers that are waited for.
    waiting: u32,
    /// When something was first waited for since the other end was last heard.
    quiet: Option<Instant>,
    /// Whether something was sent since the other end was last heard.
    unheard: bool,
    probed: Option<Instant>,
}

impl ConnectionMonitor {
    /// Builds the monitor of a connection that was opened at `now`.
    #[must_use]
    pub fn new(silence: Interval, now: Instant) -> Self {
        Self {
            silence: silence.duration(),
            heard: now,
            waiting: 0,
            quiet: None,
            unheard: false,
            probed: None,
        }
    }

    /// Counts a request that was sent and waits for its answer.
    pub fn sent(&mut self, now: Instant) {
        self.waiting += 1;
        self.unheard = true;
        self.quiet.get_or_insert(now);
    }

    /// Counts any sign of life.
    pub fn heard(&mut self, now: Instant) {
        self.heard = now;
        self.unheard = false;
        self.probed = None;
        self.quiet = (self.waiting > 0).then_some(now);
    }

    /// Counts a request that waits no more, whether answered or given up.
    ///
    /// A request that is given up leaves its suspicion behind: only a sign of life clears it.
    pub fn ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 && !self.unheard {
            self.quiet = None;
        }
    }

    /// Counts a probe that was sent, which asks for a sign of life.
    pub fn probe_sent(&mut self, now: Instant) {
        self.probed.get_or_insert(now);
        self.quiet.get_or_insert(now);
    }

    /// Judges the connection.
    #[must_use]
    pub fn verdict(&self, now: Instant) -> Verdict {
        let overdue = |since: Instant| now.saturating_duration_since(since) >= self.silence;
        match (self.probed, self.quiet) {
            (Some(probed), _) if overdue(probed) => Verdict::Replace,
            (Some(_), _) => Verdict::Doubtful,
            (None, Some(quiet)) if overdue(quiet) => Verdict::Probe,
            (None, _) => Verdict::Healthy,
        }
    }

    /// Returns when [`ConnectionMonitor::verdict`] may change next without an event.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        self.probed.or(self.quiet).map(|since| since + self.silence)
    }

    /// Returns whether a new request may go over this connection.
    ///
    /// One that may not be repeated needs a sign of life from within `silence`; otherwise it goes
    /// over a new connection, on which nothing can have been lost track of.
    #[must_use]
    pub fn may_carry(&self, idempotent: bool, now: Instant) -> bool {
        if self.verdict(now) != Verdict::Healthy {
            return false;
        }
        idempotent || now.saturating_duration_since(self.heard) < self.silence
    }
}

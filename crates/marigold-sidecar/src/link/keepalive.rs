//! Detection of an executor that sends nothing although calls are open.

use std::time::Duration;

use tokio::time::Instant;

/// An executor with open calls is pinged after it has sent nothing for this long.
const PING_AFTER_SILENCE: Duration = Duration::from_millis(300);
/// An executor that has not responded to a ping for this long gets no further calls: several round trips, and the
/// time that a busy daemon takes to handle its other connections.
const SUSPECT_AFTER: Duration = Duration::from_millis(50);
/// Time limit for the response to a ping, after which the connection is replaced.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// What the silence of an executor requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepaliveAction {
    /// Nothing.
    Nothing,
    /// A ping has to be sent.
    Ping,
    /// No further calls may be placed there until it sends something.
    Suspect,
    /// The connection has to be replaced.
    Reconnect,
}

#[derive(Debug, Clone, Copy)]
struct OpenPing {
    sent_at: Instant,
    is_suspect: bool,
}

/// Tracks the ping of one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Keepalive {
    ping: Option<OpenPing>,
}

impl Keepalive {
    /// Returns what is required now. `is_waiting` is whether calls are open.
    pub fn poll(
        &mut self,
        is_waiting: bool,
        last_received: Instant,
        now: Instant,
    ) -> KeepaliveAction {
        if self.ping.is_some_and(|ping| last_received > ping.sent_at) {
            self.ping = None;
        }
        let Some(ping) = &mut self.ping else {
            let is_silent = now.saturating_duration_since(last_received) >= PING_AFTER_SILENCE;
            if !is_waiting || !is_silent {
                return KeepaliveAction::Nothing;
            }
            self.ping = Some(OpenPing {
                sent_at: now,
                is_suspect: false,
            });
            return KeepaliveAction::Ping;
        };
        let elapsed = now.saturating_duration_since(ping.sent_at);
        if elapsed >= PING_TIMEOUT {
            return KeepaliveAction::Reconnect;
        }
        if elapsed >= SUSPECT_AFTER && !ping.is_suspect {
            ping.is_suspect = true;
            return KeepaliveAction::Suspect;
        }
        KeepaliveAction::Nothing
    }

    /// Returns how long to wait before the next poll, or `None` if silence does not matter.
    #[must_use]
    pub fn wait(&self, is_waiting: bool) -> Option<Duration> {
        match &self.ping {
            _ if !is_waiting => None,
            None => Some(PING_AFTER_SILENCE),
            Some(ping) if ping.is_suspect => Some(PING_TIMEOUT),
            Some(_) => Some(SUSPECT_AFTER),
        }
    }
}

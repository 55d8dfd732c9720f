//! Gathers what the controllers ask for.

use marigold_log::StreamName;
use marigold_types::{Address, LogOffset};

use crate::{Action, Counters, Message};

/// The actions of one event, with the counters they add to.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<Action>,
    /// What has been sent and asked for since the start.
    pub counters: Counters,
}

impl Outbox {
    /// Sends `message` to the daemon at `to`.
    pub fn send(&mut self, to: Address, message: &Message) {
        let bytes = message.encode();
        self.counters.count_sent(message.kind(), bytes.len());
        self.actions.push(Action::Send {
            to,
            kind: message.kind(),
            message: bytes,
        });
    }

    /// Reads the log.
    pub fn read(&mut self, stream: StreamName, from: LogOffset, limit: usize) {
        self.counters.reads += 1;
        self.actions.push(Action::ReadLog {
            stream,
            from,
            limit,
        });
    }

    /// Appends to the log.
    pub fn append(&mut self, stream: StreamName, data: String) {
        self.counters.appends += 1;
        self.actions.push(Action::AppendLog { stream, data });
    }

    /// Returns the actions gathered, and forgets them.
    #[must_use]
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

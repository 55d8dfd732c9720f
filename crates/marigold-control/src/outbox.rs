//! Collects the actions of the controllers.

use marigold_log::StreamName;
use marigold_types::{Address, LogOffset};

use crate::{Action, Counters, Message};

/// The actions that result from one event, and the counters of all of them.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<Action>,
    /// Counts messages and log operations since the start.
    pub counters: Counters,
}

impl Outbox {
    /// Adds an action that sends `message` to the daemon at `to`.
    pub fn send(&mut self, to: Address, message: &Message) {
        let bytes = message.encode();
        self.counters.count_sent(message.kind(), bytes.len());
        self.actions.push(Action::Send {
            to,
            kind: message.kind(),
            message: bytes,
        });
    }

    /// Adds an action that reads at most `limit` records of `stream` from offset `from`.
    pub fn read(&mut self, stream: StreamName, from: LogOffset, limit: usize) {
        self.counters.reads += 1;
        self.actions.push(Action::ReadLog {
            stream,
            from,
            limit,
        });
    }

    /// Adds an action that appends `data` to `stream`.
    pub fn append(&mut self, stream: StreamName, data: String) {
        self.counters.appends += 1;
        self.actions.push(Action::AppendLog { stream, data });
    }

    /// Removes and returns the collected actions.
    #[must_use]
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

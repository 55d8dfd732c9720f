//! One concern of the control side.

use tokio::time::Instant;

use crate::{Action, Board, Event};

/// Decides one concern: it reads the whole board and writes its own part of it.
pub trait Controller: Send {
    /// Names the controller in logs and counters.
    fn name(&self) -> &'static str;

    /// Takes in `event` at `now` and adds what is to be done to `actions`.
    fn handle(&mut self, board: &mut Board, event: &Event, now: Instant, actions: &mut Vec<Action>);
}

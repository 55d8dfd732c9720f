//! One concern of the control side.

use marigold_types::Address;
use tokio::time::Instant;

use crate::{ControlState, Event, Message, Outbox};

/// What a controller is given: an event, or a decoded message.
#[derive(Debug, Clone, Copy)]
pub enum Input<'a> {
    /// Something other than a message.
    Event(&'a Event),
    /// A message of another daemon.
    Message {
        /// The sender.
        from: Address,
        /// What it said.
        message: &'a Message,
    },
}

/// Decides one concern: it reads the whole board and writes its own part of it.
pub trait Controller: Send {
    /// Names the controller in logs and counters.
    fn name(&self) -> &'static str;

    /// Takes in `input` at `now` and adds what is to be done to `out`.
    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    );
}

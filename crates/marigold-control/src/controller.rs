//! The interface of the controllers.

use marigold_types::Address;
use tokio::time::Instant;

use crate::{ControlState, Event, Message, Outbox};

/// The input of a controller.
#[derive(Debug, Clone, Copy)]
pub enum Input<'a> {
    /// An event other than a received message.
    Event(&'a Event),
    /// A decoded message from another daemon.
    Message {
        /// The sender.
        from: Address,
        /// The message.
        message: &'a Message,
    },
}

/// Handles one concern of the control plane: reads the whole state and writes its own part of it.
pub trait Controller: Send {
    /// Returns the name of the controller in logs and counters.
    fn name(&self) -> &'static str;

    /// Handles `input` at `now` and adds the resulting actions to `out`.
    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    );
}

//! Distribution of new versions down the fan-out tree.

use std::sync::Arc;

use marigold_config::Config;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::{ControlState, Message, Outbox};

/// Sends the delta to each new version to the daemon's children in the fan-out tree.
#[derive(Debug, Default)]
pub struct Fanout {
    last_sent: Option<Arc<Config>>,
}

impl Controller for Fanout {
    fn name(&self) -> &'static str {
        "fanout"
    }

    fn handle(&mut self, state: &mut ControlState, _: Input<'_>, _: Instant, out: &mut Outbox) {
        let sent = self.last_sent.replace(Arc::clone(&state.config));
        let Some(sent) = sent.filter(|sent| sent.version < state.config.version) else {
            return;
        };
        let delta = sent.delta_to(&state.config);
        for child in &state.topology.children {
            let delta = delta.clone();
            out.send(*child, &Message::Delta { delta });
        }
    }
}

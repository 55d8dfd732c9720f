//! The control plane of a daemon.

use std::sync::Arc;

use marigold_config::{Config, Trust};
use marigold_types::Address;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::controllers::{
    Announcement, AntiEntropy, Configuration, Detector, Fanout, Fetch, Follower, Gossip, Join,
    Remote, Reports,
};
use crate::endpoints::endpoints;
use crate::{
    Action, ControlOptions, ControlState, Counters, Event, LocalInstance, Message, Outbox,
    ServingState, Status, Topology, View,
};

/// The inputs from which the current view was built.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ViewInputs {
    /// The generation of the members table.
    members: u64,
    version: u64,
    local: LocalInstance,
    serving_state: ServingState,
}

/// Runs the controllers on their shared state, without I/O or a clock of its own.
pub struct ControlPlane {
    state: ControlState,
    controllers: Vec<Box<dyn Controller>>,
    out: Outbox,
    view: Arc<View>,
    published_inputs: Option<ViewInputs>,
    last_event: Instant,
    /// The generation of the members table that the topology was computed from.
    topology_generation: Option<u64>,
}

impl ControlPlane {
    /// Creates the control plane of a daemon that has just started.
    ///
    /// `seeds` are the first daemons asked for the members table. `seed` initializes the random
    /// number generators, so that tests are reproducible.
    #[must_use]
    pub fn new(
        local: LocalInstance,
        options: ControlOptions,
        trust: Trust,
        seeds: Vec<Address>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut seed_rng = ChaCha8Rng::seed_from_u64(seed);
        let mut next_rng = || ChaCha8Rng::seed_from_u64(seed_rng.random());
        // Controllers that process input run before those that propagate the results.
        let controllers: Vec<Box<dyn Controller>> = vec![
            Box::new(Join::new(seeds, next_rng())),
            Box::new(Detector::new(next_rng())),
            Box::new(Remote::new(next_rng())),
            Box::new(AntiEntropy::new(next_rng())),
            Box::new(Follower::new(trust, next_rng())),
            Box::new(Configuration::new(next_rng())),
            Box::new(Fetch::new(next_rng())),
            Box::new(Fanout::default()),
            Box::new(Reports::default()),
            Box::new(Announcement::default()),
            Box::new(Gossip::default()),
        ];
        let state = ControlState::new(local, options, now);
        let view = View::new(
            state.local.instance,
            false,
            Arc::clone(&state.config),
            endpoints(&state),
        );
        let mut plane = Self {
            state,
            controllers,
            out: Outbox::default(),
            view: Arc::new(view),
            published_inputs: None,
            last_event: now,
            topology_generation: None,
        };
        plane.refresh();
        plane
    }

    /// Handles `event` at `now` and returns the resulting actions.
    pub fn handle(&mut self, event: &Event, now: Instant) -> Vec<Action> {
        self.detect_pause(event, now);
        if let Event::Received { from, message } = event {
            self.receive(*from, message, now);
        } else {
            self.dispatch(Input::Event(event), now);
        }
        self.out.take()
    }

    /// Returns the current snapshot for the request path; its generation changes with its content.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.state.config)
    }

    /// Returns the status shown to operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        Status::new(&self.state, &self.out.counters, now)
    }

    /// Returns the counters of control traffic and log operations.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.out.counters
    }

    /// Returns the shared state, for inspection by the daemon, tests and measurements.
    #[must_use]
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Treats a long gap between events, without even a tick, as a pause of the process.
    fn detect_pause(&mut self, event: &Event, now: Instant) {
        let gap = now.duration_since(self.last_event);
        self.last_event = now;
        let is_reported = matches!(event, Event::Resumed { .. });
        if !is_reported && gap >= self.state.options.suspicion / 2 {
            self.dispatch(Input::Event(&Event::Resumed { gap }), now);
        }
    }

    fn receive(&mut self, from: Address, bytes: &[u8], now: Instant) {
        // A daemon sends to itself only if its own address is in a seed list by mistake.
        if from == self.state.address() {
            return;
        }
        match Message::decode(bytes) {
            Ok(message) => {
                let kind = message.kind();
                self.out.counters.count_received(kind, bytes.len());
                let message = &message;
                self.dispatch(Input::Message { from, message }, now);
            }
            Err(_) => self.out.counters.malformed += 1,
        }
    }

    fn dispatch(&mut self, input: Input<'_>, now: Instant) {
        for controller in &mut self.controllers {
            controller.handle(&mut self.state, input, now, &mut self.out);
        }
        // Hundreds of members change when many daemons restart at once; the next tick applies these
        // changes together.
        let is_deferrable =
            matches!(input, Input::Message { .. }) && !self.state.members.has_new_drain();
        if !is_deferrable || self.is_view_outdated() {
            self.state.members.clear_new_drain();
            self.refresh();
        }
    }

    /// Returns whether inputs of the view other than the members have changed.
    fn is_view_outdated(&self) -> bool {
        let Some(published) = &self.published_inputs else {
            return true;
        };
        let members = published.members;
        *published != self.current_inputs(members)
    }

    fn current_inputs(&self, members: u64) -> ViewInputs {
        ViewInputs {
            members,
            version: self.state.config.version.0,
            local: self.state.local.clone(),
            serving_state: self.state.serving_state,
        }
    }

    /// Recomputes the topology and the view if their inputs have changed.
    fn refresh(&mut self) {
        let members = self.state.members.generation();
        if self.topology_generation != Some(members) {
            self.topology_generation = Some(members);
            self.state.topology = Topology::new(
                &self.state.members,
                self.state.address(),
                &self.state.local.data_centre,
                &self.state.options,
            );
        }
        let inputs = self.current_inputs(members);
        if self.published_inputs.as_ref() != Some(&inputs) {
            self.published_inputs = Some(inputs);
            self.publish();
        }
    }

    fn publish(&mut self) {
        let state = &self.state;
        let mut view = View::new(
            state.local.instance,
            state.is_serving(),
            Arc::clone(&state.config),
            endpoints(state),
        );
        view.generation = self.view.generation;
        if view != *self.view {
            view.generation += 1;
            self.view = Arc::new(view);
        }
    }
}

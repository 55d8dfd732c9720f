//! The control side of one daemon.

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

/// What the view and the topology were last worked out from.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Basis {
    members: u64,
    version: u64,
    local: LocalInstance,
    serving_state: ServingState,
}

/// Joins the controllers over one board; it has no sockets, threads or clock of its own.
pub struct ControlPlane {
    state: ControlState,
    controllers: Vec<Box<dyn Controller>>,
    out: Outbox,
    view: Arc<View>,
    basis: Option<Basis>,
    last: Instant,
    topology: Option<u64>,
}

impl ControlPlane {
    /// Makes the control side of a daemon that has just started.
    ///
    /// `seeds` are asked for the members first; `seed` starts the random numbers, so that a test
    /// repeats itself.
    #[must_use]
    pub fn new(
        local: LocalInstance,
        options: ControlOptions,
        trust: Trust,
        seeds: Vec<Address>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut source = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = || ChaCha8Rng::seed_from_u64(source.random());
        // Those that take in what was heard come before those that pass it on.
        let controllers: Vec<Box<dyn Controller>> = vec![
            Box::new(Join::new(seeds, draw())),
            Box::new(Detector::new(draw())),
            Box::new(Remote::new(draw())),
            Box::new(AntiEntropy::new(draw())),
            Box::new(Follower::new(trust, draw())),
            Box::new(Configuration::new(draw())),
            Box::new(Fetch::new(draw())),
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
            basis: None,
            last: now,
            topology: None,
        };
        plane.refresh();
        plane
    }

    /// Takes in `event` at `now` and returns what is to be done.
    pub fn handle(&mut self, event: &Event, now: Instant) -> Vec<Action> {
        self.notice_pause(event, now);
        if let Event::Received { from, message } = event {
            self.receive(*from, message, now);
        } else {
            self.dispatch(Input::Event(event), now);
        }
        self.out.take()
    }

    /// Returns the snapshot for the request path; its generation tells whether it is a new one.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Returns the configuration held.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.state.config)
    }

    /// Returns what operators are told at `now`.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        Status::new(&self.state, &self.out.counters, now)
    }

    /// Returns the counters of control messages.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.out.counters
    }

    /// Returns what the daemon knows, for tests and measurements.
    #[must_use]
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Takes a long silence, in which not even a tick came, for a pause of the process.
    fn notice_pause(&mut self, event: &Event, now: Instant) {
        let gap = now.duration_since(self.last);
        self.last = now;
        let told = matches!(event, Event::Resumed { .. });
        if !told && gap >= self.state.options.suspicion / 2 {
            self.dispatch(Input::Event(&Event::Resumed { gap }), now);
        }
    }

    fn receive(&mut self, from: Address, bytes: &[u8], now: Instant) {
        // A daemon's own address comes back only from an error in some seed list.
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
        // Changes of members come by the hundred when a herd returns; a tick takes them together.
        let waits = matches!(input, Input::Message { .. }) && !self.state.members.has_new_drain();
        if !waits || self.is_overtaken() {
            self.state.members.clear_new_drain();
            self.refresh();
        }
    }

    /// Returns whether anything but the members has changed since the view was published.
    fn is_overtaken(&self) -> bool {
        let Some(basis) = &self.basis else {
            return true;
        };
        let members = basis.members;
        *basis != self.take_basis(members)
    }

    fn take_basis(&self, members: u64) -> Basis {
        Basis {
            members,
            version: self.state.config.version.0,
            local: self.state.local.clone(),
            serving_state: self.state.serving_state,
        }
    }

    /// Works out the topology and the view anew when what they rest on has changed.
    fn refresh(&mut self) {
        let members = self.state.members.generation();
        if self.topology != Some(members) {
            self.topology = Some(members);
            self.state.topology = Topology::new(
                &self.state.members,
                self.state.address(),
                &self.state.local.data_centre,
                &self.state.options,
            );
        }
        let basis = self.take_basis(members);
        if self.basis.as_ref() != Some(&basis) {
            self.basis = Some(basis);
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

//! Drives the control plane: feeds it events, performs its actions and publishes its view.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigold_control::{Action, ControlPlane, Event, View};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Shared;
use crate::peer::PeerSender;

/// The delay of a tick from which on the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Connects the control plane to the network and the log.
pub struct ControlLoop {
    plane: Arc<Mutex<ControlPlane>>,
    shared: Arc<Shared>,
    peers: Arc<dyn PeerSender>,
    events: mpsc::Receiver<Event>,
    tasks: TaskTracker,
}

impl ControlLoop {
    /// Creates the loop; `events` is the receiver of [`Shared::events`].
    #[must_use]
    pub fn new(
        plane: Arc<Mutex<ControlPlane>>,
        shared: Arc<Shared>,
        peers: Arc<dyn PeerSender>,
        events: mpsc::Receiver<Event>,
    ) -> Self {
        let tasks = TaskTracker::new();
        Self {
            plane,
            shared,
            peers,
            events,
            tasks,
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let tick = self.shared.settings.control.tick.duration();
        let mut ticker = interval(tick);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(event) = self.events.recv() => self.step(&event),
                now = ticker.tick() => {
                    let delay = now.saturating_duration_since(last + tick);
                    last = Instant::now();
                    if delay >= PAUSE_THRESHOLD {
                        spdlog::warn!("{} was paused for {delay:?}", self.shared.local);
                        self.step(&Event::Resumed { gap: delay });
                    }
                    self.step(&Event::Tick);
                }
            }
        }
    }

    fn step(&mut self, event: &Event) {
        let (actions, view) = {
            let mut plane = self.plane.lock().unwrap_or_else(PoisonError::into_inner);
            (plane.handle(event, Instant::now()), plane.view())
        };
        if view.generation != self.shared.view.load().generation {
            self.publish(view);
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn publish(&self, view: Arc<View>) {
        let before = self.shared.view.load();
        if before.config.version != view.config.version || before.serving != view.serving {
            let version = view.config.version;
            spdlog::info!(
                "{} published configuration {version}, serving={}",
                self.shared.local,
                view.serving
            );
        }
        self.shared.view.store(view);
    }

    fn perform(&self, action: Action) {
        let events = self.shared.events.clone();
        let timeout = self.shared.settings.log.timeout.duration();
        match action {
            Action::Send { to, kind, message } => {
                let peers = Arc::clone(&self.peers);
                self.tasks.spawn(async move {
                    if peers.send(to, kind, message).await.is_err() {
                        let _ = events.send(Event::Unreachable { peer: to }).await;
                    }
                });
            }
            Action::ReadLog {
                stream,
                from,
                limit,
            } => {
                let log = Arc::clone(&self.shared.log);
                self.tasks.spawn(async move {
                    let result = log
                        .read(stream, from, limit, Instant::now() + timeout)
                        .await;
                    let _ = events.send(Event::LogRead { stream, result }).await;
                });
            }
            Action::AppendLog { stream, data } => {
                let log = Arc::clone(&self.shared.log);
                self.tasks.spawn(async move {
                    let result = log.append(stream, data, Instant::now() + timeout).await;
                    let result = result.map(|appended| appended.offset);
                    let _ = events.send(Event::LogAppended { stream, result }).await;
                });
            }
        }
    }
}

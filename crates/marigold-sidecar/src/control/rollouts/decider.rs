//! Collects the evidence on roll-outs and writes their states.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::{Directory, RolloutJudge, RolloutState, RolloutStatus, RolloutStep, Site};
use marigold_log::LogError;
use marigold_types::{Digest, ServiceName};
use tokio::time::{Instant, sleep};

use super::known_rollout::KnownRollout;
use super::{Rollouts, unix_millis};
use crate::events::Severity;

/// Interval at which deciders ask executors for their counts.
const INTERVAL: Duration = Duration::from_millis(300);
/// Daemons that decide on the same roll-out: some may be cut off from the store, or stop.
const DECIDERS: usize = 3;
/// The head start of each decider over the next one, so that ordinarily only one writes.
const HEAD_START: Duration = Duration::from_millis(500);
/// After an interruption of this length, a decider first hears from the store and the executors again.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// Servers of other versions that are asked, enough to compare with. All are asked once they are to become idle.
const MAX_OTHERS: usize = 24;
/// Servers of the version that are asked.
const MAX_TARGETS: usize = 64;

/// A step that a decider holds back.
#[derive(Default)]
struct Pending {
    state: Option<RolloutState>,
    since: Option<Instant>,
}

impl Rollouts {
    /// Decides on the roll-outs that this daemon is a decider of, until the task is dropped.
    pub(super) async fn decide(self: Rc<Self>) {
        let mut last_round = Instant::now();
        let mut pending = std::collections::BTreeMap::<ServiceName, Pending>::new();
        loop {
            sleep(INTERVAL).await;
            let now = Instant::now();
            let was_paused = now.saturating_duration_since(last_round) >= MAX_PAUSE;
            last_round = now;
            let open: Vec<_> = {
                let known = self.known.borrow();
                known
                    .all()
                    .filter(|rollout| rollout.is_open())
                    .cloned()
                    .collect()
            };
            let is_open = |service: &ServiceName| {
                open.iter().any(|rollout| rollout.order.service == *service)
            };
            self.judges
                .borrow_mut()
                .retain(|service, _| is_open(service));
            pending.retain(|service, _| is_open(service));
            for rollout in &open {
                let service = &rollout.order.service;
                let Some(rank) = self.rank(service) else {
                    self.judges.borrow_mut().remove(service);
                    continue;
                };
                let step = self.judge(rollout, now);
                let held = pending.entry(service.clone()).or_default();
                let state = step.as_ref().map(|step| step.state);
                if held.state != state || was_paused {
                    *held = Pending {
                        state,
                        since: Some(now),
                    };
                }
                let held_for = held.since.map_or(Duration::ZERO, |since| now - since);
                if let Some(step) = step
                    && !was_paused
                    && held_for >= HEAD_START.saturating_mul(rank)
                    && self.writing.borrow_mut().insert(service.clone())
                    && let Some(myself) = self.myself.upgrade()
                {
                    tokio::task::spawn_local(myself.write(rollout.clone(), step));
                }
            }
        }
    }

    /// Returns the position of this daemon among the deciders of `service`, or `None` if it is none.
    ///
    /// Daemons may disagree on it, as each knows only its own links. Safety comes from the conditional writes.
    fn rank(&self, service: &ServiceName) -> Option<u32> {
        let own = self.parts.own;
        let mesh = &self.parts.mesh;
        let mut candidates: Vec<_> = mesh.with_directory(|directory| {
            mesh.with_placement(|placement| {
                let addresses = directory.all().map(|site| site.address);
                let is_candidate =
                    |address: &SocketAddr| *address == own || !placement.is_unreachable(*address);
                addresses.filter(is_candidate).collect()
            })
        });
        candidates.sort_by_cached_key(|address| order_key(service, *address));
        let rank = candidates
            .iter()
            .take(DECIDERS)
            .position(|address| *address == own)?;
        u32::try_from(rank).ok()
    }

    /// Returns whether this daemon decides on any open roll-out.
    pub(super) fn is_any_decider(&self) -> bool {
        let known = self.known.borrow();
        let mut open = known.all().filter(|rollout| rollout.is_open());
        open.any(|rollout| self.rank(&rollout.order.service).is_some())
    }

    /// Asks for further evidence, and returns the step that the evidence so far calls for.
    fn judge(&self, rollout: &KnownRollout, now: Instant) -> Option<RolloutStep> {
        let order = &rollout.order;
        let addresses = self
            .parts
            .mesh
            .with_directory(|directory| servers(directory, rollout));
        for address in addresses {
            self.parts.mesh.request_counts(address, &order.service);
        }
        let mut judges = self.judges.borrow_mut();
        let new = || RolloutJudge::new(order.clone(), rollout.ordered_at);
        let judge = judges.entry(order.service.clone()).or_insert_with(new);
        if judge.order() != order {
            *judge = new();
        }
        judge.set_ordered_at(rollout.ordered_at);
        let step = judge.decide(rollout.status.as_ref(), now);
        let [target, target_failed, others, others_failed] = judge.evidence().totals();
        let service = order.service.to_string();
        let counts = [
            ("target", "served", target - target_failed),
            ("target", "failed", target_failed),
            ("other", "served", others - others_failed),
            ("other", "failed", others_failed),
        ];
        for (version, outcome, count) in counts {
            let labels = [
                ("service", service.clone()),
                ("version", version.to_owned()),
                ("outcome", outcome.to_owned()),
            ];
            metrics::gauge!("marigold_rollout_runs", &labels).set(count);
        }
        step
    }

    /// Writes the state that `step` leads to, unless the store has another status than the decision was based on.
    async fn write(self: Rc<Self>, rollout: KnownRollout, step: RolloutStep) {
        let service = rollout.order.service.clone();
        let result = self.try_write(&rollout, &step).await;
        self.writing.borrow_mut().remove(&service);
        let (written, cause) = match result {
            Ok(written) => (written, String::new()),
            Err(error) => {
                if error.invalidates_position() {
                    self.position.set(None);
                }
                (false, error.to_string())
            }
        };
        let totals = self
            .judges
            .borrow()
            .get(&service)
            .map(|judge| judge.evidence().totals());
        let [runs, failed, others, others_failed] = totals.unwrap_or_default();
        let fields = [
            ("service", service.to_string().into()),
            ("target", rollout.order.target.to_string().into()),
            ("order", rollout.order.id.0.into()),
            ("state", step.state.to_string().into()),
            ("reason", step.cause.to_string().into()),
            ("age_s", rollout.ordered_at.elapsed().as_secs_f64().into()),
            ("runs", runs.into()),
            ("failed", failed.into()),
            ("others_runs", others.into()),
            ("others_failed", others_failed.into()),
            ("written", written.into()),
            ("cause", cause.into()),
        ];
        let event = "rollout_decided";
        self.parts.events.emit(event, Severity::Info, &fields);
        if written {
            let state = step.state.to_string();
            metrics::counter!("marigold_rollout_decisions_total", "state" => state).increment(1);
        }
    }

    async fn try_write(
        &self,
        rollout: &KnownRollout,
        step: &RolloutStep,
    ) -> Result<bool, LogError> {
        self.read(Duration::ZERO).await?;
        let service = &rollout.order.service;
        let is_unchanged = self.known.borrow().get(service).is_some_and(|current| {
            current.order == rollout.order && current.status == rollout.status
        });
        let Some(end) = self.position.get().filter(|_| is_unchanged) else {
            return Ok(false);
        };
        let age = u64::try_from(rollout.ordered_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let status = RolloutStatus {
            state: step.state,
            target: rollout.order.target.clone(),
            order: Some(rollout.order.id),
            began_ms: Some(unix_millis().saturating_sub(age)),
        };
        let format = &self.parts.format;
        let (table, key) = (format.status_table(), format.status_key(service));
        let value = format.encode_status(&status);
        let is_written = self.parts.store.put_if(&table, &key, value, end).await?;
        if is_written {
            if self.apply_status(service, &status) {
                self.notify_followers(true);
            }
        } else {
            // Another daemon was first, or another service's status was written.
            self.read(Duration::ZERO).await?;
        }
        Ok(is_written)
    }
}

/// Returns the executors to ask for counts.
fn servers(directory: &Directory, rollout: &KnownRollout) -> Vec<SocketAddr> {
    let order = &rollout.order;
    let max_others = match rollout.state() {
        Some(RolloutState::Shifting) => usize::MAX,
        _ => MAX_OTHERS,
    };
    let is_target = |site: &&Site| site.version.as_ref() == Some(&order.target);
    let (targets, mut others): (Vec<_>, Vec<_>) = directory.of(&order.service).partition(is_target);
    others.sort_by_cached_key(|site| order_key(&order.service, site.address));
    let targets = targets.into_iter().take(MAX_TARGETS);
    let chosen = targets.chain(others.into_iter().take(max_others));
    chosen.map(|site| site.address).collect()
}

fn order_key(service: &ServiceName, address: SocketAddr) -> Digest {
    Digest::of(format!("{service}>{address}").as_bytes())
}

//! What an executor does beside its requests.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::at_most_once::SilentWitnesses;
use marigold_request::quarantine::CrashRecord;
use marigold_request::{RefusalReason, StreamOpen, WitnessAnswer, WitnessRequest};
use marigold_types::{InstanceId, SlotCount};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::LocalExecutor;
use super::backend_pool::BackendPool;
use super::exchange;
use super::local_executor::Target;
use super::prober::Prober;
use crate::BackendServer;

/// How often the declaration of the service is looked at.
const DECLARED: Duration = Duration::from_millis(250);
/// How often witnesses are asked for their time, so that expired keys can be forgotten.
const FORGET: Duration = Duration::from_secs(10);
/// How long a witness may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the backend server's announcements, probes it, and forgets what has expired.
pub async fn run_maintenance(executor: Arc<LocalExecutor>) {
    tokio::join!(
        executor.slots.clone().expire(),
        follow(&executor),
        Prober::new(executor.clone()).run(),
        forget(&executor),
        send_crash_updates(&executor),
    );
}

/// Takes each announcement in, and what the configuration declares of its service.
async fn follow(executor: &LocalExecutor) {
    let mut server = executor.shared.server.subscribe();
    let mut ticks = interval(DECLARED);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = server.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        executor.adopt_life();
        let current = server.borrow_and_update().clone();
        executor.take_server(current.map(|server| executor.bound(server)));
    }
}

/// Tells the other executors of the service whenever something of a crash is known anew.
async fn send_crash_updates(executor: &LocalExecutor) {
    loop {
        executor.crashes.wait_for_updates().await;
        executor.send_crash_updates().await;
    }
}

/// Asks the witnesses of remembered keys for their time.
async fn forget(executor: &LocalExecutor) {
    let mut ticks = interval(FORGET);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silent = SilentWitnesses::default();
    loop {
        ticks.tick().await;
        let witnesses: Vec<InstanceId> = executor.once.table().witnesses().copied().collect();
        for witness in witnesses {
            let request = WitnessRequest::Reserve { count: 0 };
            let until = Instant::now() + ANSWER_TIMEOUT;
            let answer = executor
                .witnesses
                .ask(witness.address, request, until)
                .await;
            if let Some(WitnessAnswer::Reserved { uptime }) = answer {
                silent.record_answer(&witness);
                executor
                    .once
                    .table()
                    .record_witness_uptime(&witness, uptime);
            } else if silent.record_silence(&witness, Instant::now()) {
                executor.once.table().close_witness(&witness);
            }
        }
    }
}

impl LocalExecutor {
    /// Tells the other executors of the service what is known anew of crashes.
    pub(super) async fn send_crash_updates(&self) {
        let news = self.crashes.take_updates();
        let server = self.shared.server.borrow().clone();
        let Some(server) = server.filter(|_| !news.is_empty()) else {
            return;
        };
        let view = self.shared.view.load_full();
        let others = view
            .endpoints_of(&server.service)
            .iter()
            .map(|endpoint| endpoint.instance.address)
            .filter(|address| *address != self.shared.local.address);
        let question = StreamOpen::Sentences(news);
        let tell = |to| {
            let question = &question;
            async move {
                let known: Option<Vec<CrashRecord>> =
                    exchange::ask(&self.peers, to, question).await;
                if let Some(known) = known {
                    self.crashes.receive(&known);
                }
            }
        };
        futures_util::future::join_all(others.map(tell)).await;
    }

    /// Follows the control side when it has found that an earlier life had a greater number.
    fn adopt_life(&self) {
        let local = self.shared.view.load().local;
        self.once.table().adopt(local);
        self.witnesses.adopt(local);
    }

    /// Returns `server` with no more slots and connections than its service declares.
    fn bound(&self, server: BackendServer) -> BackendServer {
        let view = self.shared.view.load();
        let Some(declared) = view.config.service(&server.service) else {
            return server;
        };
        BackendServer {
            slots: server.slots.min(declared.slots),
            connections: server.connections.min(declared.connections),
            ..server
        }
    }

    /// Turns to the backend server that announced itself, or to none.
    fn take_server(&self, server: Option<BackendServer>) {
        let Some(server) = server else {
            self.target.store(None);
            self.slots.resize(SlotCount(0));
            self.slots.drop_waiting(RefusalReason::NoBackendServer);
            return;
        };
        self.slots.resize(server.slots);
        let current = self.target.load();
        let same = current
            .as_ref()
            .is_some_and(|target| target.server == server);
        if !same {
            let pool = Arc::new(BackendPool::new(server.address, server.connections));
            self.target.store(Some(Arc::new(Target { server, pool })));
        }
    }
}

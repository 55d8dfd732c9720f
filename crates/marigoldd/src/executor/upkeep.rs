//! What an executor does beside its requests.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::{RefusalReason, WitnessAnswer, WitnessRequest};
use marigold_types::{InstanceId, SlotCount};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::LocalExecutor;
use super::backend_pool::BackendPool;
use super::local_executor::Target;
use super::prober::Prober;
use crate::BackendServer;

/// How often witnesses are asked for their time, so that expired keys can be forgotten.
const FORGET: Duration = Duration::from_secs(10);
/// How long a witness may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the backend server's announcements, probes it, and forgets what has expired.
pub async fn upkeep(executor: Arc<LocalExecutor>) {
    tokio::join!(
        executor.slots.clone().expire(),
        follow(&executor),
        Prober::new(executor.clone()).run(),
        forget(&executor),
    );
}

/// Takes each announcement in.
async fn follow(executor: &LocalExecutor) {
    let mut server = executor.shared.server.subscribe();
    loop {
        let current = server.borrow_and_update().clone();
        executor.take_server(current);
        if server.changed().await.is_err() {
            return;
        }
    }
}

/// Asks the witnesses of remembered keys for their time.
async fn forget(executor: &LocalExecutor) {
    let mut ticks = interval(FORGET);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                executor.once.table().witness_uptime(&witness, uptime);
            }
        }
    }
}

impl LocalExecutor {
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

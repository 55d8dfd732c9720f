//! Background tasks of an executor.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::at_most_once::SilentWitnesses;
use marigold_request::quarantine::CrashRecord;
use marigold_request::{RefusalReason, StreamOpen, WitnessAnswer, WitnessRequest};
use marigold_types::{InstanceId, SlotCount};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::LocalExecutor;
use super::backend_pool::BackendPool;
use super::exchange;
use super::local_executor::Target;
use super::prober::Prober;
use crate::BackendServer;

/// How often the declaration of the service is checked for changes.
const DECLARATION_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often a daemon that has just started checks whether it serves.
const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a daemon that has just started waits for the crash records of others.
const CRASH_FETCH_TIMEOUT: Duration = Duration::from_millis(200);
/// How often witnesses are asked for their uptime, so that expired keys can be removed.
const KEY_EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// How long a witness may take to report its uptime.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the background tasks of an executor: follows the announcements of the backend server,
/// probes its health, removes expired requests and keys, and distributes crash records.
pub async fn run_maintenance(executor: Arc<LocalExecutor>) {
    tokio::join!(
        executor.slots.clone().expire(),
        follow_announcements(&executor),
        Prober::new(executor.clone()).run(),
        expire_keys(&executor),
        distribute_crash_records(&executor),
        fetch_crash_records(&executor),
    );
}

/// Applies each announcement of the backend server, within the limits that its service declares.
async fn follow_announcements(executor: &LocalExecutor) {
    let mut server = executor.shared.server.subscribe();
    let mut ticks = interval(DECLARATION_POLL_INTERVAL);
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
        executor.adopt_incarnation();
        let current = server.borrow_and_update().clone();
        executor.set_server(current.map(|server| executor.limit_to_declaration(server)));
    }
}

/// Sends new crash records to the other executors of the service.
async fn distribute_crash_records(executor: &LocalExecutor) {
    loop {
        executor.crashes.wait_for_updates().await;
        executor.send_crash_updates().await;
    }
}

/// Asks the other executors of the service for their crash records once the daemon serves, since a daemon that
/// has just started knows none. Requests wait for it.
async fn fetch_crash_records(executor: &LocalExecutor) {
    let mut ticks = interval(SERVING_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let is_announced = executor.shared.server.borrow().is_some();
        if is_announced && executor.shared.view.load().serving {
            break;
        }
    }
    let fetch = executor.exchange_crash_records(Vec::new());
    // Some executors may be unreachable, and need not be waited for.
    let _ = timeout(CRASH_FETCH_TIMEOUT, fetch).await;
    executor.crashes.set_synced();
}

/// Removes the keys that have expired according to their witnesses.
async fn expire_keys(executor: &LocalExecutor) {
    let mut ticks = interval(KEY_EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silent = SilentWitnesses::default();
    loop {
        ticks.tick().await;
        let witnesses: Vec<InstanceId> = executor.key_table.table().witnesses().copied().collect();
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
                    .key_table
                    .table()
                    .record_witness_uptime(&witness, uptime);
            } else if silent.record_silence(&witness, Instant::now()) {
                executor.key_table.table().close_witness(&witness);
            }
        }
    }
}

impl LocalExecutor {
    /// Sends crash records that are not yet distributed to the other executors of the service.
    pub(super) async fn send_crash_updates(&self) {
        let records = self.crashes.take_updates();
        if !records.is_empty() {
            self.exchange_crash_records(records).await;
        }
    }

    /// Sends crash records to the other executors of the service, and merges those that they return.
    async fn exchange_crash_records(&self, records: Vec<CrashRecord>) {
        let server = self.shared.server.borrow().clone();
        let Some(server) = server else {
            return;
        };
        let view = self.shared.view.load_full();
        let others = view
            .endpoints_of(&server.service)
            .iter()
            .map(|endpoint| endpoint.instance.address)
            .filter(|address| *address != self.shared.local.address);
        let request = StreamOpen::CrashRecords(records);
        let send = |to| {
            let request = &request;
            async move {
                let received: Option<Vec<CrashRecord>> =
                    exchange::ask(&self.peers, to, request).await;
                if let Some(received) = received {
                    self.crashes.receive(&received);
                }
            }
        };
        futures_util::future::join_all(others.map(send)).await;
    }

    /// Adopts the incarnation of the control side.
    ///
    /// It changes when an earlier instance at this address had a greater number.
    fn adopt_incarnation(&self) {
        let local = self.shared.view.load().local;
        self.key_table.table().adopt(local);
        self.witnesses.adopt(local);
    }

    /// Limits the slots and connections of `server` to those that its service declares.
    fn limit_to_declaration(&self, server: BackendServer) -> BackendServer {
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

    /// Applies the current announcement; `None` if the backend server is gone.
    fn set_server(&self, server: Option<BackendServer>) {
        let Some(server) = server else {
            self.target.store(None);
            self.slots.resize(SlotCount(0));
            self.slots.drop_waiting(RefusalReason::NoBackendServer);
            return;
        };
        self.slots.resize(server.slots);
        let current = self.target.load();
        let is_unchanged = current
            .as_ref()
            .is_some_and(|target| target.server == server);
        if !is_unchanged {
            let pool = Arc::new(BackendPool::new(server.address, server.connections));
            self.target.store(Some(Arc::new(Target { server, pool })));
        }
    }
}

//! Tells the daemon beside the backend server that it is there.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldd::BackendServer;
use tokio::task::JoinHandle;

use super::BackendPlan;
use crate::StandinError;

/// How often an announcement is renewed; a daemon forgets one after three of these.
const PERIOD: Duration = Duration::from_secs(2);
/// How soon an announcement that was not taken is tried again.
const RETRY: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(1);
const PATH: &str = "/v1/announce";

/// Announces a backend server until dropped.
pub struct Announcer {
    admin: SocketAddr,
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts announcing the backend server at `address` to the daemon at `admin`.
    pub fn start(admin: SocketAddr, address: SocketAddr, plan: &BackendPlan) -> Self {
        let server = BackendServer {
            service: plan.service.clone(),
            address,
            slots: plan.slots,
            connections: plan.connections,
        };
        let task = tokio::spawn(async move {
            loop {
                let sent = announce(admin, server.clone()).await;
                let pause = if sent.is_ok() { PERIOD } else { RETRY };
                tokio::time::sleep(pause).await;
            }
        });
        Self { admin, task }
    }

    /// Takes the announcement back.
    pub async fn leave(self) -> Result<(), StandinError> {
        self.task.abort();
        let admin = self.admin;
        blocking(admin, move |agent, url| {
            agent.delete(url).header("connection", "close").call()
        })
        .await
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn announce(admin: SocketAddr, server: BackendServer) -> Result<(), StandinError> {
    let body = serde_json::to_string(&server)
        .map_err(|error| StandinError::new("announce", &admin, &error))?;
    blocking(admin, move |agent, url| {
        agent.post(url).header("connection", "close").send(body)
    })
    .await
}

/// Sends one request over a connection of its own, away from the runtime's threads.
async fn blocking<T: Send + 'static>(
    admin: SocketAddr,
    send: impl FnOnce(&ureq::Agent, &str) -> Result<T, ureq::Error> + Send + 'static,
) -> Result<(), StandinError> {
    let task = tokio::task::spawn_blocking(move || {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .max_idle_connections(0)
            .build()
            .into();
        send(&agent, &format!("http://{admin}{PATH}")).map(drop)
    });
    let result = task
        .await
        .map_err(|error| StandinError::new("announce", &admin, &error))?;
    result.map_err(|error| StandinError::new("announce", &admin, &error))
}

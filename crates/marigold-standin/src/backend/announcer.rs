//! Announces a backend server to the daemon on the same machine.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldd::BackendServer;
use tokio::task::JoinHandle;

use super::BackendPlan;
use crate::StandinError;

/// The interval between announcements. A daemon drops a backend server after three of these without one.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// The delay before a failed announcement is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const PATH: &str = "/v1/announce";

/// Announces a backend server periodically until dropped.
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
                let pause = if sent.is_ok() {
                    ANNOUNCE_INTERVAL
                } else {
                    RETRY_DELAY
                };
                tokio::time::sleep(pause).await;
            }
        });
        Self { admin, task }
    }

    /// Stops announcing and withdraws the announcement from the daemon.
    pub async fn withdraw(self) -> Result<(), StandinError> {
        self.task.abort();
        let admin = self.admin;
        send_request(admin, move |agent, url| {
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
    send_request(admin, move |agent, url| {
        agent.post(url).header("connection", "close").send(body)
    })
    .await
}

/// Sends one request over a new connection, on a thread for blocking work.
async fn send_request<T: Send + 'static>(
    admin: SocketAddr,
    send: impl FnOnce(&ureq::Agent, &str) -> Result<T, ureq::Error> + Send + 'static,
) -> Result<(), StandinError> {
    let task = tokio::task::spawn_blocking(move || {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
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

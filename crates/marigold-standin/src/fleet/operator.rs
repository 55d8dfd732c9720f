//! An operator that uses the HTTP admin API, like `marigoldctl`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use marigold_api::{ConfigDocument, ConfirmAnswer, PlanStored};
use marigold_auth::{OperatorKey, RequestProof};
use marigold_config::{Change, Confirm, Intent, Plan, PlanId, SignedConfirm, SignedPlan};
use marigold_types::{RecordTime, Version};
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::StandinError;

/// A daemon may try a log request three times, each with the timeout of its settings.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const PLAN_LIFETIME_MS: u64 = 3_600_000;
const CONFIRMATION_LIFETIME_MS: u64 = 60_000;
const MAX_RESPONSE_BYTES: u64 = 16 << 20;
const CONFIG_PATH: &str = "/v1/config";
const PLANS_PATH: &str = "/v1/plans";
const CONFIRMS_PATH: &str = "/v1/confirmations";

/// A stored plan that has not been confirmed yet.
#[derive(Debug, Clone)]
pub struct PendingPlan {
    /// Identifier under which the daemon stored the plan.
    pub id: PlanId,
    /// Changes made by the plan.
    pub changes: Vec<Change>,
}

/// An operator with a signing key.
#[derive(Clone)]
pub struct Operator {
    key: Arc<OperatorKey>,
}

impl Operator {
    /// Generates a key for an operator called `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid or the system provides no randomness.
    pub fn generate(name: &str) -> Result<Self, StandinError> {
        let wrap = |error: &dyn ToString| StandinError::new("make operator", &name, error);
        let name = name.parse().map_err(|error| wrap(&error))?;
        let key = OperatorKey::generate(name).map_err(|error| wrap(&error))?;
        Ok(Self { key: Arc::new(key) })
    }

    /// Returns the signing key.
    #[must_use]
    pub fn key(&self) -> &OperatorKey {
        &self.key
    }

    /// Submits a plan that replaces the configuration by `intent` to the daemon at `admin`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses the plan, or if nothing would change.
    pub async fn plan(
        &self,
        admin: SocketAddr,
        intent: &Intent,
    ) -> Result<PendingPlan, StandinError> {
        let current: ConfigDocument = self.send(admin, "GET", CONFIG_PATH, None::<&()>).await?;
        let config = current.to_config();
        let changes = config.changes_to(&intent.to_config(current.version));
        if changes.is_empty() {
            return Err(StandinError::new("plan", &admin, &"nothing would change"));
        }
        let expires = RecordTime(now().0 + PLAN_LIFETIME_MS);
        let plan = Plan::new(
            &config,
            self.key.operator().clone(),
            expires,
            changes.clone(),
        );
        let signed = SignedPlan::sign(plan, &self.key);
        let stored: PlanStored = self.send(admin, "POST", PLANS_PATH, Some(&signed)).await?;
        Ok(PendingPlan {
            id: stored.plan,
            changes,
        })
    }

    /// Confirms `plan` at the daemon at `admin` and returns the resulting version.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan is rejected or its outcome is not known yet.
    pub async fn confirm(&self, admin: SocketAddr, plan: PlanId) -> Result<Version, StandinError> {
        let confirm = Confirm {
            plan,
            operator: self.key.operator().clone(),
            nonce: Uuid::new_v4(),
            expires: RecordTime(now().0 + CONFIRMATION_LIFETIME_MS),
        };
        let signed = SignedConfirm::sign(confirm, &self.key);
        let answer = self
            .send(admin, "POST", CONFIRMS_PATH, Some(&signed))
            .await?;
        match answer {
            ConfirmAnswer::Accepted { version, .. } => Ok(version),
            ConfirmAnswer::Rejected { text, .. } | ConfirmAnswer::NotYetKnown { text, .. } => {
                Err(StandinError::new("confirm", &admin, &text))
            }
        }
    }

    async fn send<A: DeserializeOwned + Send + 'static>(
        &self,
        admin: SocketAddr,
        method: &'static str,
        path: &'static str,
        body: Option<&impl Serialize>,
    ) -> Result<A, StandinError> {
        let body = match body.map(serde_json::to_vec).transpose() {
            Ok(body) => body.unwrap_or_default(),
            Err(error) => return Err(StandinError::new(path, &admin, &error)),
        };
        let proof = RequestProof::sign(&self.key, method, path, &body, now());
        let url = format!("http://{admin}{path}");
        let task = tokio::task::spawn_blocking(move || exchange(method, &url, &proof, body));
        let answer = task
            .await
            .map_err(|error| StandinError::new(path, &admin, &error))?;
        let answer = answer.map_err(|error| StandinError::new(path, &admin, &error))?;
        serde_json::from_slice(&answer).map_err(|error| StandinError::new(path, &admin, &error))
    }
}

fn exchange(
    method: &str,
    url: &str,
    proof: &RequestProof,
    body: Vec<u8>,
) -> Result<Vec<u8>, String> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .build()
        .into();
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(url)
        .header("connection", "close")
        .header(RequestProof::OPERATOR_HEADER, proof.operator.to_string())
        .header(RequestProof::TIME_HEADER, proof.time.0.to_string())
        .header(RequestProof::SIGNATURE_HEADER, proof.signature.to_string())
        .body(body)
        .map_err(|error| error.to_string())?;
    let mut response = agent.run(request).map_err(|error| error.to_string())?;
    let read = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    let answer = read.read_to_vec().map_err(|error| error.to_string())?;
    if response.status().is_success() {
        Ok(answer)
    } else {
        let message = String::from_utf8_lossy(&answer);
        Err(format!("{}: {message}", response.status()))
    }
}

fn now() -> RecordTime {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    RecordTime(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

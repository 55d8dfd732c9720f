//! Whether a request is within the quota of its workspace.

use marigold_dispatch::Workspace;
use tokio::time::{Instant, timeout_at};

use super::conclusion::not_run;
use super::{Ingress, UNAVAILABLE_RETRY_DELAY};
use crate::ingress::quotas::OverQuota;
use crate::ingress::request_outcome::RequestOutcome;

impl Ingress {
    /// Waits until a request may be sent, and returns when that was, by the clock of the quotas. A request that is refused
    /// later has to [give its grant back](crate::ingress::Quotas::give_back).
    pub(super) async fn check_quota(
        &self,
        workspace: Option<&Workspace>,
        deadline: Instant,
    ) -> Result<Instant, RequestOutcome> {
        let quotas = &self.mesh.quotas;
        let Some(workspace) = workspace else {
            return Ok(quotas.now());
        };
        match timeout_at(deadline, quotas.admit(workspace)).await {
            Ok(Ok(())) => Ok(quotas.now()),
            Ok(Err(OverQuota::Refused { retry_after })) => {
                Err(RequestOutcome::OverQuota { retry_after })
            }
            Ok(Err(OverQuota::Unsettled)) | Err(_) => {
                let reason = "the quota can't be checked";
                Err(not_run(reason, UNAVAILABLE_RETRY_DELAY))
            }
        }
    }
}

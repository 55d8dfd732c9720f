//! Exchanges shares of the declared rate limits between daemons. See docs/design/admission.md.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::StreamOpen;
use marigold_request::limits::Grant;
use marigold_types::Address;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::ingress_state::IngressState;
use crate::executor::exchange;
use crate::peer::QuicPeers;

/// How often the limiter is checked for demands that are due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Requests shares from the daemons that allocate limits, until the daemon exits.
pub async fn share_limits(local: Address, state: Arc<IngressState>, peers: Arc<QuicPeers>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let demands_by_allocator = state.limiter().tick(Instant::now());
        for (allocator, demands) in demands_by_allocator {
            if allocator == local {
                let now = Instant::now();
                let mut limiter = state.limiter();
                let grants = limiter.on_demand(local, &demands, now);
                limiter.on_grants(&grants, now);
                continue;
            }
            let (state, peers) = (state.clone(), peers.clone());
            tokio::spawn(async move {
                let request = StreamOpen::Demand(demands);
                // The lease counts from the request, so that it never outlasts the allocator's.
                let asked_at = Instant::now();
                let grants: Option<Vec<Grant>> = exchange::ask(&peers, allocator, &request).await;
                if let Some(grants) = grants {
                    state.limiter().on_grants(&grants, asked_at);
                }
            });
        }
    }
}

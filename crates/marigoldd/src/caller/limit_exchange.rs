//! Shares the declared limits among daemons. See docs/design/admission.md.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::StreamOpen;
use marigold_request::limits::Grant;
use marigold_types::Address;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::decisions::Decisions;
use crate::executor::exchange;
use crate::peer::QuicPeers;

/// How often it is looked whether keepers are to be asked.
const PERIOD: Duration = Duration::from_secs(1);

/// Asks the keepers of limits for shares as long as the daemon runs.
pub async fn share_limits(local: Address, decisions: Arc<Decisions>, peers: Arc<QuicPeers>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let questions = decisions.limiter().tick(Instant::now());
        for (keeper, demands) in questions {
            if keeper == local {
                let now = Instant::now();
                let mut limiter = decisions.limiter();
                let grants = limiter.on_demand(local, &demands, now);
                limiter.on_grants(&grants, now);
                continue;
            }
            let (decisions, peers) = (decisions.clone(), peers.clone());
            tokio::spawn(async move {
                let question = StreamOpen::Demand(demands);
                // A share counts from when it was asked for, so that it never lasts too long.
                let asked = Instant::now();
                let grants: Option<Vec<Grant>> = exchange::ask(&peers, keeper, &question).await;
                if let Some(grants) = grants {
                    decisions.limiter().on_grants(&grants, asked);
                }
            });
        }
    }
}

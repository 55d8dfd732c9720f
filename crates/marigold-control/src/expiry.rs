//! Expiry of members that no longer respond.

use std::time::Duration;

use tokio::time::Instant;

use crate::mass_failure::is_mass_failure;
use crate::{ControlState, Liveness};

/// How long a death counts towards a mass failure.
const MASS_FAILURE_WINDOW: Duration = Duration::from_mins(1);

/// Declares members dead that were suspected for long enough, and removes those that have been
/// dead for long enough. During a mass failure members stay suspected for longer.
pub fn expire_members(state: &mut ControlState, now: Instant) {
    let options = &state.options;
    let timeout = if has_mass_failure(state, now) {
        options.hold
    } else {
        options.suspicion
    };
    let mut dead = Vec::new();
    let mut expired = Vec::new();
    for entry in state.members.iter() {
        let age = now.duration_since(entry.liveness_since);
        match entry.member.liveness {
            Liveness::Suspect => {
                let is_local = entry.member.data_centre == state.local.data_centre;
                let member_timeout = if entry.member.draining {
                    options.suspicion
                } else {
                    timeout
                };
                if is_local && age >= member_timeout {
                    dead.push(entry.member.with_liveness(Liveness::Dead));
                }
            }
            Liveness::Dead if age >= options.forget => expired.push(entry.member.address()),
            Liveness::Alive | Liveness::Dead => {}
        }
    }
    for member in dead {
        state.merge_and_propagate(&member, None, now);
    }
    for address in expired {
        state.members.remove(address);
    }
}

/// Returns whether a mass failure is in progress among the daemons of this data centre.
fn has_mass_failure(state: &ControlState, now: Instant) -> bool {
    let mut known = 0;
    let mut silent = 0;
    for entry in state.members.iter() {
        let member = &entry.member;
        if member.data_centre != state.local.data_centre || member.draining {
            continue;
        }
        let recent = now.duration_since(entry.liveness_since) < MASS_FAILURE_WINDOW;
        match member.liveness {
            Liveness::Alive => known += 1,
            Liveness::Suspect => {
                known += 1;
                silent += 1;
            }
            Liveness::Dead if recent => {
                known += 1;
                silent += 1;
            }
            Liveness::Dead => {}
        }
    }
    is_mass_failure(silent, known)
}

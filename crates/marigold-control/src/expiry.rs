//! Gives silent members up.

use std::time::Duration;

use tokio::time::Instant;

use crate::mass_failure::is_mass_failure;
use crate::{ControlState, Liveness};

/// How long deaths count towards a herd.
const HERD_WINDOW: Duration = Duration::from_mins(1);

/// Gives up those that were suspected for long enough, unless they are a herd, and forgets those
/// that have been dead for very long.
pub fn expire_members(state: &mut ControlState, now: Instant) {
    let options = &state.options;
    let limit = if herd_in(state, now) {
        options.hold
    } else {
        options.suspicion
    };
    let mut dead = Vec::new();
    let mut gone = Vec::new();
    for entry in state.members.iter() {
        let age = now.duration_since(entry.liveness_since);
        match entry.member.liveness {
            Liveness::Suspect => {
                let ours = entry.member.data_centre == state.local.data_centre;
                let patience = if entry.member.draining {
                    options.suspicion
                } else {
                    limit
                };
                if ours && age >= patience {
                    dead.push(entry.member.with_liveness(Liveness::Dead));
                }
            }
            Liveness::Dead if age >= options.forget => gone.push(entry.member.address()),
            Liveness::Alive | Liveness::Dead => {}
        }
    }
    for member in dead {
        state.merge_and_propagate(&member, None, now);
    }
    for address in gone {
        state.members.remove(address);
    }
}

/// Returns whether the data centre's daemons are falling silent as a herd.
fn herd_in(state: &ControlState, now: Instant) -> bool {
    let mut known = 0;
    let mut silent = 0;
    for entry in state.members.iter() {
        let member = &entry.member;
        if member.data_centre != state.local.data_centre || member.draining {
            continue;
        }
        let recent = now.duration_since(entry.liveness_since) < HERD_WINDOW;
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

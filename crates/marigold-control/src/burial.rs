//! Gives silent members up.

use std::time::Duration;

use tokio::time::Instant;

use crate::herd::is_herd;
use crate::{Board, Standing};

/// How long deaths count towards a herd.
const HERD_WINDOW: Duration = Duration::from_mins(1);

/// Gives up those that were suspected for long enough, unless they are a herd, and forgets those
/// that have been dead for very long.
pub fn bury(board: &mut Board, now: Instant) {
    let options = &board.options;
    let limit = if herd_in(board, now) {
        options.hold
    } else {
        options.suspicion
    };
    let mut dead = Vec::new();
    let mut gone = Vec::new();
    for entry in board.members.iter() {
        let age = now.duration_since(entry.changed);
        match entry.member.standing {
            Standing::Suspect => {
                let ours = entry.member.data_centre == board.local.data_centre;
                let patience = if entry.member.draining {
                    options.suspicion
                } else {
                    limit
                };
                if ours && age >= patience {
                    dead.push(entry.member.with_standing(Standing::Dead));
                }
            }
            Standing::Dead if age >= options.forget => gone.push(entry.member.address()),
            Standing::Alive | Standing::Dead => {}
        }
    }
    for member in dead {
        board.learn(&member, None, now);
    }
    for address in gone {
        board.members.remove(address);
    }
}

/// Returns whether the data centre's daemons are falling silent as a herd.
fn herd_in(board: &Board, now: Instant) -> bool {
    let mut known = 0;
    let mut silent = 0;
    for entry in board.members.iter() {
        let member = &entry.member;
        if member.data_centre != board.local.data_centre || member.draining {
            continue;
        }
        let recent = now.duration_since(entry.changed) < HERD_WINDOW;
        match member.standing {
            Standing::Alive => known += 1,
            Standing::Suspect => {
                known += 1;
                silent += 1;
            }
            Standing::Dead if recent => {
                known += 1;
                silent += 1;
            }
            Standing::Dead => {}
        }
    }
    is_herd(silent, known)
}

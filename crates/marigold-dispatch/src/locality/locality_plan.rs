//! Which part of the demand of a data centre is sent elsewhere.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use marigold_types::DataCentre;

use crate::CallKind;

/// Why demand is sent elsewhere, or not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShareReason {
    /// There is room at home.
    #[default]
    RoomAtHome,
    /// More arises than home has room for.
    LacksRoom,
    /// No backend server at home accepts requests.
    NoServers,
    /// Home lacks room, but no other that can be reached has any, or the way costs more than it saves.
    NothingCanLeave,
}

impl fmt::Display for ShareReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RoomAtHome => "room at home",
            Self::LacksRoom => "lacks room",
            Self::NoServers => "no servers",
            Self::NothingCanLeave => "nothing can leave",
        })
    }
}

/// The shares of one service's demand that leave a data centre.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalityPlan {
    /// Why this share is sent.
    pub reason: ShareReason,
    /// The share of all demand that is sent elsewhere.
    pub share: f64,
    /// The share of each kind; kinds that stay are absent.
    pub(super) kinds: HashMap<CallKind, f64>,
    /// The part of what leaves that goes to each data centre; the sum is 1, or 0 if nothing leaves.
    pub(super) parts: BTreeMap<DataCentre, f64>,
}

impl LocalityPlan {
    /// Returns the share of the requests of `kind` that is sent elsewhere.
    #[must_use]
    pub fn share_of(&self, kind: &CallKind) -> f64 {
        self.kinds.get(kind).copied().unwrap_or_default()
    }

    /// Returns the part of what leaves that goes to `data_centre`.
    #[must_use]
    pub fn part_to(&self, data_centre: &DataCentre) -> f64 {
        self.parts.get(data_centre).copied().unwrap_or_default()
    }

    /// Returns the data centre for a request of `kind`, or `None` for the own one. `draws` are two numbers drawn evenly
    /// from 0 to 1.
    #[must_use]
    pub fn destination(&self, kind: &CallKind, draws: (f64, f64)) -> Option<&DataCentre> {
        if draws.0 >= self.share_of(kind) {
            return None;
        }
        let mut sum = 0.0;
        let mut parts = self.parts.iter();
        let chosen = parts.find(|(_, part)| {
            sum += **part;
            draws.1 < sum
        });
        chosen.map(|(data_centre, _)| data_centre)
    }
}

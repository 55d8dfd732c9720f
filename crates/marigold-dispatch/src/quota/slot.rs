//! Groups of workspaces that share a home.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use marigold_types::{ParseError, WorkspaceName};
use serde::{Deserialize, Serialize};

/// A group of workspaces whose quotas have the same home, chosen by a hash of their names.
///
/// The number of slots bounds how many daemons each daemon votes for. It is part of the protocol: daemons that disagree on
/// it would give their votes for the same workspace to several homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuotaSlot(u8);

impl QuotaSlot {
    /// The number of slots.
    pub const COUNT: u8 = 8;

    /// Returns the slot of `workspace`.
    #[must_use]
    pub fn of(workspace: &WorkspaceName) -> Self {
        let hash = fnv(workspace.as_str().bytes());
        let slot = hash % u64::from(Self::COUNT);
        Self(u8::try_from(slot).unwrap_or_default())
    }

    /// Returns all slots.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }

    /// Returns the position of the slot among [`all`](Self::all), or `None` if a peer has made it up.
    #[must_use]
    pub fn index(self) -> Option<usize> {
        (self.0 < Self::COUNT).then_some(usize::from(self.0))
    }

    /// Returns `daemons` in the order in which they are homes of the slot, by rendezvous hashing.
    #[must_use]
    pub fn rank(self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut ranking = daemons.to_vec();
        ranking.sort_by_cached_key(|address| (self.weight(*address), *address));
        ranking
    }

    fn weight(self, address: SocketAddr) -> u64 {
        let port = address.port().to_be_bytes();
        let parts = [self.0].into_iter().chain(port);
        match address.ip() {
            IpAddr::V4(ip) => fnv(parts.chain(ip.octets())),
            IpAddr::V6(ip) => fnv(parts.chain(ip.octets())),
        }
    }
}

impl FromStr for QuotaSlot {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let slot = text.parse().ok().filter(|slot| *slot < Self::COUNT);
        let error = || ParseError::new(text, "quota slot", "0 to 7");
        slot.map(Self).ok_or_else(error)
    }
}

impl fmt::Display for QuotaSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// FNV-1a with a final mix. All daemons must compute the same hash, which the standard library's does not promise.
fn fnv(bytes: impl Iterator<Item = u8>) -> u64 {
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

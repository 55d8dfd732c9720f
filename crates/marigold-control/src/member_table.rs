//! The members known to a daemon.

use std::collections::BTreeMap;

use marigold_types::{Address, DataCentre, Digest, Version};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::message::MEMBER_TABLE_BUCKETS;
use crate::{Liveness, Member};

new_key_type! {
    /// The key of an entry of the table, never reused while the daemon runs.
    pub struct MemberKey;
}

/// A member record with local information on the member.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// The current record.
    pub member: Member,
    /// Its position on the ring; a hash of its address.
    pub ring_position: u64,
    /// When this daemon first saw this instance.
    pub first_seen: Instant,
    /// When its liveness last changed, or the suspicion was restarted, on this daemon.
    pub liveness_since: Instant,
    /// The newest version that its address is known to have held, in any incarnation.
    pub held: Version,
}

/// The result of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It replaced the previous record, or is the first one, and should be propagated.
    Newer,
    /// It is equal to the current record, or was ignored.
    Same,
    /// The current record overrides it.
    Older,
}

/// All known members, with a digest per bucket so that two daemons can locate differences.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: SlotMap<MemberKey, MemberEntry>,
    index: BTreeMap<Address, MemberKey>,
    digests: Vec<u64>,
    generation: u64,
    new_drain: bool,
}

/// Returns the ring position of the daemon at `address`, which also determines its rank as a
/// follower.
#[must_use]
pub fn ring_hash(address: Address) -> u64 {
    Digest::of(address.to_string().as_bytes()).prefix()
}

fn bucket(ring_position: u64) -> usize {
    usize::try_from(ring_position >> 58).expect("six bits") % MEMBER_TABLE_BUCKETS
}

/// Hashes a record. Dead members hash to zero, as if absent, since daemons remove them at different
/// times.
fn record_hash(member: &Member) -> u64 {
    if member.liveness == Liveness::Dead {
        return 0;
    }
    let key = (member.instance, member.revision, member.liveness);
    Digest::of(&postcard::to_stdvec(&key).expect("a record has an encoding")).prefix()
}

impl MemberTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            digests: vec![0; MEMBER_TABLE_BUCKETS],
            ..Self::default()
        }
    }

    /// Returns a counter that is incremented with each change.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether a member has started draining since the last call of
    /// [`MemberTable::clear_new_drain`].
    #[must_use]
    pub fn has_new_drain(&self) -> bool {
        self.new_drain
    }

    /// Resets [`MemberTable::has_new_drain`] once the change has been processed.
    pub fn clear_new_drain(&mut self) {
        self.new_drain = false;
    }

    /// Returns the number of known members, including dead ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no members are known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the member at `address`.
    #[must_use]
    pub fn get(&self, address: Address) -> Option<&MemberEntry> {
        self.entries.get(*self.index.get(&address)?)
    }

    /// Returns the members, ordered by address.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.index.values().map(|key| &self.entries[*key])
    }

    /// Returns the members of `data_centre` that are not dead.
    pub fn in_data_centre<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a MemberEntry> {
        self.iter().filter(move |entry| {
            entry.member.data_centre == *data_centre && entry.member.liveness != Liveness::Dead
        })
    }

    /// Merges `member` if it overrides the current record of its address.
    pub fn merge(&mut self, member: &Member, now: Instant) -> MergeOutcome {
        let Some(key) = self.index.get(&member.address()).copied() else {
            return self.insert(member, now);
        };
        let entry = &mut self.entries[key];
        let (rank, held) = (member.rank(), entry.member.rank());
        if rank <= held {
            return if rank == held {
                MergeOutcome::Same
            } else {
                MergeOutcome::Older
            };
        }
        let index = bucket(entry.ring_position);
        self.digests[index] ^= record_hash(&entry.member) ^ record_hash(member);
        if member.instance != entry.member.instance {
            entry.first_seen = now;
        }
        if member.liveness != entry.member.liveness || member.instance != entry.member.instance {
            entry.liveness_since = now;
        }
        self.new_drain |= member.draining && !entry.member.draining;
        entry.member = member.clone();
        self.generation += 1;
        MergeOutcome::Newer
    }

    /// Records that the daemon at `address` has held `version`.
    pub fn note_held(&mut self, address: Address, version: Version) {
        if let Some(key) = self.index.get(&address) {
            let entry = &mut self.entries[*key];
            entry.held = entry.held.max(version);
        }
    }

    /// Restarts all suspicion timeouts, after a pause of this daemon.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.member.liveness == Liveness::Suspect {
                entry.liveness_since = now;
            }
        }
    }

    /// Removes the member at `address`.
    pub fn remove(&mut self, address: Address) {
        let Some(key) = self.index.remove(&address) else {
            return;
        };
        if let Some(entry) = self.entries.remove(key) {
            self.digests[bucket(entry.ring_position)] ^= record_hash(&entry.member);
        }
        self.generation += 1;
    }

    /// Returns the digest of the whole table.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |sum: u64, digest| sum.rotate_left(1) ^ digest)
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub fn bucket_digests(&self) -> &[u64] {
        &self.digests
    }

    /// Returns a bit mask of the buckets whose digest differs from the one in `other`.
    #[must_use]
    pub fn differing_buckets(&self, other: &[u64]) -> u64 {
        let pairs = self.digests.iter().zip(other).enumerate();
        pairs
            .filter(|(_, (a, b))| a != b)
            .fold(0, |mask, (index, _)| mask | 1 << index)
    }

    /// Returns the subset of the buckets in `mask` that together hold at most `limit` records.
    #[must_use]
    pub fn buckets_within_limit(&self, mask: u64, limit: usize) -> u64 {
        let mut counts = [0; MEMBER_TABLE_BUCKETS];
        for entry in self.iter() {
            counts[bucket(entry.ring_position)] += 1;
        }
        let mut room = limit;
        let mut fitting = 0;
        for (index, count) in counts.into_iter().enumerate() {
            if mask >> index & 1 == 1 && count <= room {
                room -= count;
                fitting |= 1 << index;
            }
        }
        fitting
    }

    /// Returns the records in the buckets of the bit mask `mask`.
    #[must_use]
    pub fn members_in_buckets(&self, mask: u64) -> Vec<Member> {
        let wanted = |entry: &&MemberEntry| mask >> bucket(entry.ring_position) & 1 == 1;
        let entries = self.iter().filter(wanted);
        entries.map(|entry| entry.member.clone()).collect()
    }

    fn insert(&mut self, member: &Member, now: Instant) -> MergeOutcome {
        // Adding unknown dead members would propagate them between daemons forever.
        if member.liveness == Liveness::Dead {
            return MergeOutcome::Same;
        }
        let ring_position = ring_hash(member.address());
        self.digests[bucket(ring_position)] ^= record_hash(member);
        let key = self.entries.insert(MemberEntry {
            member: member.clone(),
            ring_position,
            first_seen: now,
            liveness_since: now,
            held: Version::default(),
        });
        self.index.insert(member.address(), key);
        self.generation += 1;
        MergeOutcome::Newer
    }
}

//! The members that a daemon knows.

use std::collections::BTreeMap;

use marigold_types::{Address, DataCentre, Digest, Version};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::message::MEMBER_TABLE_BUCKETS;
use crate::{Liveness, Member};

new_key_type! {
    /// Names one member of the table for as long as the daemon runs.
    pub struct MemberKey;
}

/// A member with what this daemon itself knows of it.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// What the member announced, or was last said of it.
    pub member: Member,
    /// Where it stands on the ring; a hash of its address.
    pub ring_position: u64,
    /// When this life of it was first seen here.
    pub first_seen: Instant,
    /// When its standing last changed here.
    pub liveness_since: Instant,
    /// The newest version that its address is known to have held.
    pub held: Version,
}

/// What became of a record that was merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It overrides what was held, and is worth passing on.
    Newer,
    /// It was known.
    Same,
    /// What is held overrides it.
    Older,
}

/// Every known member, with digests by which two daemons find where their tables differ.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: SlotMap<MemberKey, MemberEntry>,
    index: BTreeMap<Address, MemberKey>,
    digests: Vec<u64>,
    generation: u64,
    new_drain: bool,
}

/// Returns where the daemon at `address` stands on the ring, and how it ranks as a follower.
#[must_use]
pub fn ring_hash(address: Address) -> u64 {
    Digest::of(address.to_string().as_bytes()).prefix()
}

fn bucket(ring_position: u64) -> usize {
    usize::try_from(ring_position >> 58).expect("six bits") % MEMBER_TABLE_BUCKETS
}

/// Digests one record; the dead count as absent, since they are forgotten at different times.
fn record_hash(member: &Member) -> u64 {
    if member.liveness == Liveness::Dead {
        return 0;
    }
    let key = (member.instance, member.revision, member.liveness);
    Digest::of(&postcard::to_stdvec(&key).expect("a record has an encoding")).prefix()
}

impl MemberTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            digests: vec![0; MEMBER_TABLE_BUCKETS],
            ..Self::default()
        }
    }

    /// Returns a number that grows with each change.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether a member has begun to leave since the last call of [`MemberTable::clear_new_drain`].
    #[must_use]
    pub fn has_new_drain(&self) -> bool {
        self.new_drain
    }

    /// Takes note that the last urgent change has been seen to.
    pub fn clear_new_drain(&mut self) {
        self.new_drain = false;
    }

    /// Returns how many members are known, the dead ones among them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether nobody is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the member at `address`.
    #[must_use]
    pub fn get(&self, address: Address) -> Option<&MemberEntry> {
        self.entries.get(*self.index.get(&address)?)
    }

    /// Returns the members in the order of their addresses.
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

    /// Takes `member` in, if it overrides what is held of its address.
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
        let slot = bucket(entry.ring_position);
        self.digests[slot] ^= record_hash(&entry.member) ^ record_hash(member);
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

    /// Remembers that the daemon at `address` has held `version`.
    pub fn note_held(&mut self, address: Address, version: Version) {
        if let Some(key) = self.index.get(&address) {
            let entry = &mut self.entries[*key];
            entry.held = entry.held.max(version);
        }
    }

    /// Starts the time of every suspicion anew, after a pause of this daemon.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.member.liveness == Liveness::Suspect {
                entry.liveness_since = now;
            }
        }
    }

    /// Forgets the member at `address`.
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

    /// Returns the buckets in which `other` differs, one bit each.
    #[must_use]
    pub fn differing_buckets(&self, other: &[u64]) -> u64 {
        let pairs = self.digests.iter().zip(other).enumerate();
        pairs
            .filter(|(_, (a, b))| a != b)
            .fold(0, |mask, (slot, _)| mask | 1 << slot)
    }

    /// Returns the buckets of `mask` that hold at most `limit` records together.
    #[must_use]
    pub fn buckets_within_limit(&self, mask: u64, limit: usize) -> u64 {
        let mut counts = [0; MEMBER_TABLE_BUCKETS];
        for entry in self.iter() {
            counts[bucket(entry.ring_position)] += 1;
        }
        let mut room = limit;
        let mut fitting = 0;
        for (slot, count) in counts.into_iter().enumerate() {
            if mask >> slot & 1 == 1 && count <= room {
                room -= count;
                fitting |= 1 << slot;
            }
        }
        fitting
    }

    /// Returns the records of the buckets in `mask`.
    #[must_use]
    pub fn members_in_buckets(&self, mask: u64) -> Vec<Member> {
        let wanted = |entry: &&MemberEntry| mask >> bucket(entry.ring_position) & 1 == 1;
        let entries = self.iter().filter(wanted);
        entries.map(|entry| entry.member.clone()).collect()
    }

    fn insert(&mut self, member: &Member, now: Instant) -> MergeOutcome {
        // Nobody needs to learn of a daemon that is no more; it would be passed around for ever.
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

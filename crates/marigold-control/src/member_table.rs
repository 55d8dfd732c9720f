//! The members that a daemon knows.

use std::collections::BTreeMap;

use marigold_types::{Address, DataCentre, Digest, Version};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::message::BUCKETS;
use crate::{Member, Standing};

new_key_type! {
    /// Names one member of the table for as long as the daemon runs.
    pub struct MemberKey;
}

/// A member with what this daemon itself knows of it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What the member announced, or was last said of it.
    pub member: Member,
    /// Where it stands on the ring; a hash of its address.
    pub ring: u64,
    /// When this life of it was first seen here.
    pub joined: Instant,
    /// When its standing last changed here.
    pub changed: Instant,
    /// The newest version that its address is known to have held.
    pub held: Version,
}

/// What became of a record that was merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
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
    entries: SlotMap<MemberKey, Entry>,
    index: BTreeMap<Address, MemberKey>,
    digests: Vec<u64>,
    generation: u64,
    urgent: bool,
}

/// Returns where the daemon at `address` stands on the ring, and how it ranks as a follower.
#[must_use]
pub fn ring_hash(address: Address) -> u64 {
    Digest::of(address.to_string().as_bytes()).prefix()
}

fn bucket(ring: u64) -> usize {
    usize::try_from(ring >> 58).expect("six bits") % BUCKETS
}

/// Digests one record; the dead count as absent, since they are forgotten at different times.
fn record_hash(member: &Member) -> u64 {
    if member.standing == Standing::Dead {
        return 0;
    }
    let key = (member.instance, member.revision, member.standing);
    Digest::of(&postcard::to_stdvec(&key).expect("a record has an encoding")).prefix()
}

impl MemberTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            digests: vec![0; BUCKETS],
            ..Self::default()
        }
    }

    /// Returns a number that grows with each change.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether a member has begun to leave since the last call of [`MemberTable::calm`].
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Takes note that the last urgent change has been seen to.
    pub fn calm(&mut self) {
        self.urgent = false;
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
    pub fn get(&self, address: Address) -> Option<&Entry> {
        self.entries.get(*self.index.get(&address)?)
    }

    /// Returns the members in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.index.values().map(|key| &self.entries[*key])
    }

    /// Returns the members of `data_centre` that are not dead.
    pub fn local<'a>(&'a self, data_centre: &'a DataCentre) -> impl Iterator<Item = &'a Entry> {
        self.iter().filter(move |entry| {
            entry.member.data_centre == *data_centre && entry.member.standing != Standing::Dead
        })
    }

    /// Takes `member` in, if it overrides what is held of its address.
    pub fn merge(&mut self, member: &Member, now: Instant) -> Merge {
        let Some(key) = self.index.get(&member.address()).copied() else {
            return self.insert(member, now);
        };
        let entry = &mut self.entries[key];
        let (rank, held) = (member.rank(), entry.member.rank());
        if rank <= held {
            return if rank == held {
                Merge::Same
            } else {
                Merge::Older
            };
        }
        let slot = bucket(entry.ring);
        self.digests[slot] ^= record_hash(&entry.member) ^ record_hash(member);
        if member.instance != entry.member.instance {
            entry.joined = now;
        }
        if member.standing != entry.member.standing || member.instance != entry.member.instance {
            entry.changed = now;
        }
        self.urgent |= member.draining && !entry.member.draining;
        entry.member = member.clone();
        self.generation += 1;
        Merge::Newer
    }

    /// Remembers that the daemon at `address` has held `version`.
    pub fn note_held(&mut self, address: Address, version: Version) {
        if let Some(key) = self.index.get(&address) {
            let entry = &mut self.entries[*key];
            entry.held = entry.held.max(version);
        }
    }

    /// Starts the time of every suspicion anew, after a pause of this daemon.
    pub fn excuse(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.member.standing == Standing::Suspect {
                entry.changed = now;
            }
        }
    }

    /// Forgets the member at `address`.
    pub fn remove(&mut self, address: Address) {
        let Some(key) = self.index.remove(&address) else {
            return;
        };
        if let Some(entry) = self.entries.remove(key) {
            self.digests[bucket(entry.ring)] ^= record_hash(&entry.member);
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
    pub fn buckets(&self) -> &[u64] {
        &self.digests
    }

    /// Returns the buckets in which `other` differs, one bit each.
    #[must_use]
    pub fn differing(&self, other: &[u64]) -> u64 {
        let pairs = self.digests.iter().zip(other).enumerate();
        pairs
            .filter(|(_, (a, b))| a != b)
            .fold(0, |mask, (slot, _)| mask | 1 << slot)
    }

    /// Returns the buckets of `mask` that hold at most `limit` records together.
    #[must_use]
    pub fn within(&self, mask: u64, limit: usize) -> u64 {
        let mut counts = [0; BUCKETS];
        for entry in self.iter() {
            counts[bucket(entry.ring)] += 1;
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
    pub fn records(&self, mask: u64) -> Vec<Member> {
        let wanted = |entry: &&Entry| mask >> bucket(entry.ring) & 1 == 1;
        let entries = self.iter().filter(wanted);
        entries.map(|entry| entry.member.clone()).collect()
    }

    fn insert(&mut self, member: &Member, now: Instant) -> Merge {
        // Nobody needs to learn of a daemon that is no more; it would be passed around for ever.
        if member.standing == Standing::Dead {
            return Merge::Same;
        }
        let ring = ring_hash(member.address());
        self.digests[bucket(ring)] ^= record_hash(member);
        let key = self.entries.insert(Entry {
            member: member.clone(),
            ring,
            joined: now,
            changed: now,
            held: Version::default(),
        });
        self.index.insert(member.address(), key);
        self.generation += 1;
        Merge::Newer
    }
}

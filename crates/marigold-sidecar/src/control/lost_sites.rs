//! Records of daemons that the store has lost.

use std::collections::BTreeSet;

use marigold_dispatch::{RelaySelector, Site};

use crate::ingress::Mesh;
use crate::link::SiteRecord;

/// The daemons of a data centre whose records are missing from the store although they have not left. Its reader writes these
/// records again: followers do not read the store, so they cannot know. See docs/design/platform.md.
pub struct LostSites {
    /// Those that can be reached.
    pub reachable: Vec<Site>,
    /// Whether each of the others is known to be unreachable, rather than not yet reached.
    pub are_all_decided: bool,
}

impl LostSites {
    /// Compares the known daemons of the data centre of `selector` with `records`, a read of the whole table.
    pub fn find(mesh: &Mesh, selector: &RelaySelector, records: &[SiteRecord]) -> Self {
        let present: BTreeSet<_> = records.iter().map(|record| record.address).collect();
        let mut lost = Self {
            reachable: Vec::new(),
            are_all_decided: true,
        };
        let missing: Vec<_> = mesh.with_directory(|directory| {
            let is_missing = |site: &&Site| {
                site.data_centre == *selector.data_centre() && !present.contains(&site.address)
            };
            directory.all().filter(is_missing).cloned().collect()
        });
        for site in missing {
            let is_own = site.address == selector.own();
            let (is_up, is_unreachable) = mesh.with_placement(|placement| {
                let address = site.address;
                (placement.is_up(address), placement.is_unreachable(address))
            });
            if is_own || is_up {
                lost.reachable.push(site);
            } else {
                lost.are_all_decided &= is_unreachable;
            }
        }
        lost
    }
}

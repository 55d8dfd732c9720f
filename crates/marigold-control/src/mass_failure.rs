//! Tells single deaths from a herd.

/// Below this many silent daemons nothing is taken for a herd.
const MIN_HERD: usize = 3;
/// A herd is more than one in this many daemons of a data centre.
const HERD_SHARE: usize = 3;

/// Returns whether so many of `known` daemons fell silent at once that the daemon itself, or a
/// switch between, may be what failed.
///
/// Then the silent are kept as suspects and probed on, in place of emptying the routes; see
/// docs/design/control.md.
#[must_use]
pub fn is_mass_failure(silent: usize, known: usize) -> bool {
    silent >= MIN_HERD && silent * HERD_SHARE > known
}

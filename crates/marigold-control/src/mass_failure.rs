//! Distinguishes mass failures from failures of single daemons.

/// With fewer silent daemons than this there is no mass failure.
const MIN_SILENT_DAEMONS: usize = 3;
/// In a mass failure more than one in this many daemons of a data centre are silent.
const SILENT_DIVISOR: usize = 3;

/// Returns whether so many of `known` daemons stopped responding at once that the cause may be
/// this daemon itself or a switch between them.
///
/// In that case the silent daemons stay suspected and are probed further, since removing them
/// would leave routes without backend servers; see docs/design/control.md.
#[must_use]
pub fn is_mass_failure(silent: usize, known: usize) -> bool {
    silent >= MIN_SILENT_DAEMONS && silent * SILENT_DIVISOR > known
}

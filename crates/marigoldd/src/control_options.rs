//! Converts settings to the options of the control plane.

use marigold_control::ControlOptions;
use marigold_settings::{ControlSettings, Profile};
use marigold_types::Interval;

/// Returns the options of the profile, overridden by the values that are set.
#[must_use]
pub fn to_control_options(settings: &ControlSettings) -> ControlOptions {
    let base = match settings.profile {
        Profile::Time => ControlOptions::time(),
        Profile::Bytes => ControlOptions::bytes(),
    };
    let count = |set: Option<u32>, base: usize| {
        set.and_then(|count| usize::try_from(count).ok())
            .unwrap_or(base)
    };
    let time = |set: Option<Interval>, base| set.map_or(base, Interval::duration);
    ControlOptions {
        probe: time(settings.probe, base.probe),
        suspicion: time(settings.suspicion, base.suspicion),
        compare: time(settings.compare, base.compare),
        batch: time(settings.batch, base.batch),
        report: time(settings.report, base.report),
        poll: time(settings.poll, base.poll),
        followers: count(settings.followers, base.followers),
        fanout: count(settings.fanout, base.fanout),
        ..base
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn describe_defaults(field: impl Fn(&ControlOptions) -> Duration) -> String {
        let text = |options: &ControlOptions| {
            let millis = u64::try_from(field(options).as_millis()).unwrap();
            Interval::from_millis(millis).to_string()
        };
        let (time, bytes) = (ControlOptions::time(), ControlOptions::bytes());
        format!("{} for time, {} for bytes", text(&time), text(&bytes))
    }

    macro_rules! reference_defaults {
        ($($name:ident: $field:ident;)*) => {$(
            #[test]
            fn $name() {
                let notes = marigold_settings::Settings::reference();
                let note = notes.iter().find(|n| n.section == "control" && n.key == stringify!($field));
                assert_eq!(note.unwrap().default, describe_defaults(|options| options.$field));
            }
        )*};
    }

    reference_defaults! {
        probe_default: probe;
        suspicion_default: suspicion;
        compare_default: compare;
        batch_default: batch;
        report_default: report;
        poll_default: poll;
    }

    #[test]
    fn settings_override_the_profile() {
        let settings = ControlSettings {
            profile: Profile::Bytes,
            fanout: Some(7),
            ..ControlSettings::default()
        };
        let options = to_control_options(&settings);
        assert_eq!(options.fanout, 7);
        assert_eq!(options.probe, ControlOptions::bytes().probe);
    }
}

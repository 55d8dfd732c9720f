//! All sections together.

use marigold_ini::{Document, Faults};

use crate::config::admin::AdminSettings;
use crate::config::caller::CallerSettings;
use crate::config::control::ControlSettings;
use crate::config::daemon::DaemonSettings;
use crate::config::log::LogSettings;
use crate::config::logging::LoggingSettings;
use crate::config::peers::PeerSettings;
use crate::config::request::RequestSettings;
use crate::config::tls::TlsSettings;
use crate::config::trust::TrustSettings;
use crate::reader::Reader;
use crate::setting_doc::SettingDoc;

/// The settings of one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// Who and where the daemon is.
    pub daemon: DaemonSettings,
    /// The callers' side.
    pub caller: CallerSettings,
    /// The operators' side.
    pub admin: AdminSettings,
    /// The platform's log.
    pub log: LogSettings,
    /// The certificates and keys.
    pub tls: TlsSettings,
    /// Whose first plan is accepted.
    pub trust: TrustSettings,
    /// The daemons to ask first.
    pub peers: PeerSettings,
    /// The control side.
    pub control: ControlSettings,
    /// The request side.
    pub request: RequestSettings,
    /// The daemon's own log lines.
    pub logging: LoggingSettings,
}

impl Settings {
    /// Reads and checks a whole settings file; `file` is named in the messages.
    ///
    /// # Errors
    ///
    /// Every mistake of the file, each with its line, setting and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let mut faults = Faults::new(file);
        let settings = Self::read(&document, &mut faults, &mut Vec::new());
        faults.into_result(settings)
    }

    /// Lists every setting with its default, what is allowed, and its meaning.
    #[must_use]
    pub fn reference() -> Vec<SettingDoc> {
        let mut notes = Vec::new();
        Self::read(&Document::default(), &mut Faults::new(""), &mut notes);
        notes
    }

    fn read(document: &Document, faults: &mut Faults, notes: &mut Vec<SettingDoc>) -> Self {
        let mut known = Vec::new();
        let mut reader = |name: &'static str| {
            known.push(name);
            document
                .sections
                .iter()
                .find(|section| *section.kind == *name)
        };
        let settings = Self {
            daemon: DaemonSettings::read(Reader::new("daemon", reader("daemon"), faults, notes)),
            caller: CallerSettings::read(Reader::new("caller", reader("caller"), faults, notes)),
            admin: AdminSettings::read(Reader::new("admin", reader("admin"), faults, notes)),
            log: LogSettings::read(Reader::new("log", reader("log"), faults, notes)),
            tls: TlsSettings::read(Reader::new("tls", reader("tls"), faults, notes)),
            trust: TrustSettings::read(Reader::new("trust", reader("trust"), faults, notes)),
            peers: PeerSettings::read(Reader::new("peers", reader("peers"), faults, notes)),
            control: ControlSettings::read(Reader::new(
                "control",
                reader("control"),
                faults,
                notes,
            )),
            request: RequestSettings::read(Reader::new(
                "request",
                reader("request"),
                faults,
                notes,
            )),
            logging: LoggingSettings::read(Reader::new(
                "logging",
                reader("logging"),
                faults,
                notes,
            )),
        };
        let allowed = known.join(", ");
        for section in &document.sections {
            let expected = known.contains(&&*section.kind) && section.name.is_empty();
            if !expected {
                let header = format!("[{}]", section.header());
                faults.add(section.line, &header, "unknown section", &allowed);
            }
        }
        settings
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MINIMAL: &str = "[daemon]\naddress = 127.0.0.1:7001\ndata_centre = hall-a\n\
        region = prairie-west\n[caller]\nlisten = 127.0.0.1:8001\n[admin]\n\
        listen = 127.0.0.1:9001\n[log]\nurl = http://127.0.0.1:9000\n[tls]\nauthority = ca.pem\n\
        certificate = d.pem\nkey = d.key\nmesh_key = mesh.key\n[trust]\noperator = root\n\
        key = 0000000000000000000000000000000000000000000000000000000000000000\n";

    macro_rules! fault {
        ($($name:ident: $extra:literal => $want:literal;)*) => {$(
            #[test]
            fn $name() {
                let faults = Settings::parse("d.ini", &format!("{MINIMAL}{}", $extra)).unwrap_err();
                assert!(faults.to_string().contains($want), "{faults}");
            }
        )*};
    }

    fault! {
        unknown_key: "[control]\nfanout_size = 3\n" => "d.ini:20: [control] fanout_size: unknown";
        wrong_unit: "[control]\ntick = 3\n" => "ms, s, m, h or d";
        out_of_range: "[control]\nfanout = 0\n" => "allowed: 2 to 200";
        unknown_section: "[kontrol]\n" => "[kontrol]: unknown section";
    }

    #[test]
    fn accepts_minimal() {
        assert_eq!(
            Settings::parse("d.ini", MINIMAL)
                .unwrap()
                .daemon
                .data_centre
                .as_str(),
            "hall-a"
        );
    }

    #[test]
    fn reports_all_at_once() {
        let faults = Settings::parse("d.ini", "[control]\nfanout = 0\ntick = 9\n").unwrap_err();
        assert!(faults.list().len() > 4, "{faults}");
    }
}

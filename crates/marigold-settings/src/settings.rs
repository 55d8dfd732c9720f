//! The settings file as a whole.

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
    /// Address and location of the daemon.
    pub daemon: DaemonSettings,
    /// The listener for callers.
    pub caller: CallerSettings,
    /// The admin listener.
    pub admin: AdminSettings,
    /// The connection to the platform's log.
    pub log: LogSettings,
    /// Certificates and keys.
    pub tls: TlsSettings,
    /// The operator whose first plan is accepted.
    pub trust: TrustSettings,
    /// Discovery of other daemons.
    pub peers: PeerSettings,
    /// The control plane.
    pub control: ControlSettings,
    /// The processing of requests.
    pub request: RequestSettings,
    /// The daemon's own log messages.
    pub logging: LoggingSettings,
}

impl Settings {
    /// Parses and validates a settings file; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// All errors of the file, each with its line, setting and allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let mut faults = Faults::new(file);
        let settings = Self::read(&document, &mut faults, &mut Vec::new());
        faults.into_result(settings)
    }

    /// Lists all settings with their defaults, allowed values and meanings.
    #[must_use]
    pub fn reference() -> Vec<SettingDoc> {
        let mut docs = Vec::new();
        Self::read(&Document::default(), &mut Faults::new(""), &mut docs);
        docs
    }

    fn read(document: &Document, faults: &mut Faults, docs: &mut Vec<SettingDoc>) -> Self {
        let mut known = Vec::new();
        let mut find_section = |name: &'static str| {
            known.push(name);
            document
                .sections
                .iter()
                .find(|section| *section.kind == *name)
        };
        let settings = Self {
            daemon: DaemonSettings::read(Reader::new(
                "daemon",
                find_section("daemon"),
                faults,
                docs,
            )),
            caller: CallerSettings::read(Reader::new(
                "caller",
                find_section("caller"),
                faults,
                docs,
            )),
            admin: AdminSettings::read(Reader::new("admin", find_section("admin"), faults, docs)),
            log: LogSettings::read(Reader::new("log", find_section("log"), faults, docs)),
            tls: TlsSettings::read(Reader::new("tls", find_section("tls"), faults, docs)),
            trust: TrustSettings::read(Reader::new("trust", find_section("trust"), faults, docs)),
            peers: PeerSettings::read(Reader::new("peers", find_section("peers"), faults, docs)),
            control: ControlSettings::read(Reader::new(
                "control",
                find_section("control"),
                faults,
                docs,
            )),
            request: RequestSettings::read(Reader::new(
                "request",
                find_section("request"),
                faults,
                docs,
            )),
            logging: LoggingSettings::read(Reader::new(
                "logging",
                find_section("logging"),
                faults,
                docs,
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

    macro_rules! reports {
        ($($name:ident: $extra:literal => $want:literal;)*) => {$(
            #[test]
            fn $name() {
                let faults = Settings::parse("d.ini", &format!("{MINIMAL}{}", $extra)).unwrap_err();
                assert!(faults.to_string().contains($want), "{faults}");
            }
        )*};
    }

    reports! {
        unknown_key: "[control]\nfanout_size = 3\n" => "d.ini:20: [control] fanout_size: unknown";
        wrong_unit: "[control]\ntick = 3\n" => "ms, s, m, h or d";
        out_of_range: "[control]\nfanout = 0\n" => "allowed: 2 to 200";
        unknown_section: "[kontrol]\n" => "[kontrol]: unknown section";
    }

    #[test]
    fn accepts_minimal_file() {
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
    fn reports_all_errors_at_once() {
        let faults = Settings::parse("d.ini", "[control]\nfanout = 0\ntick = 9\n").unwrap_err();
        assert!(faults.list().len() > 4, "{faults}");
    }
}

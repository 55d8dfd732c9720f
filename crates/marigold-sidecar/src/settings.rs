//! Settings of a sidecar, parsed from an INI file.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{Decisions, LinkRate};
use marigold_ini::{Document, Faults, Section};
use marigold_types::{ByteSize, DataCentre, ServiceName};

/// Upper limit of numbers and times, which is one day in seconds.
const MAX_NUMBER: f64 = 86_400.0;
/// Description of valid numbers in error messages.
const ALLOWED_NUMBER: &str = "a number from 0 to 86400, such as 2.5; times are in seconds";
/// Used if the setting is absent, see [`InstanceSettings::descriptors`].
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Least value of [`InstanceSettings::descriptors`].
const MIN_DESCRIPTORS: usize = 64;
/// Used if the setting is absent, see [`RoutingSettings::byte_cost`].
const DEFAULT_BYTE_COST: f64 = 0.01;

/// The `[instance]` section: the instance that the daemon runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance in logs.
    pub name: Arc<str>,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Service of the instance, which its backend server runs.
    pub service: ServiceName,
    /// Address at which the backend server accepts requests.
    pub backend_server: SocketAddr,
    /// Memory limit of the process.
    pub memory: ByteSize,
    /// Limit on the open descriptors of the process.
    pub descriptors: usize,
    /// Capacity of the instance's network link.
    pub link: LinkRate,
}

/// The `[listen]` section: listening addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Requests of callers on the same instance.
    pub callers: SocketAddr,
    /// Connections of other daemons.
    pub daemons: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Announcements of the backend server.
    pub announcements: SocketAddr,
    /// Metrics; not served if absent.
    pub metrics: Option<SocketAddr>,
}

/// The `[routing]` section: selection of executors.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingSettings {
    /// Cost of sending one KiB between data centres, as a fraction of the value of a response of the most
    /// urgent rank.
    pub byte_cost: f64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            byte_cost: DEFAULT_BYTE_COST,
        }
    }
}

/// The `[bounds]` section: limits set by the operators of the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundSettings {
    /// Time allowed for a shutdown, from the signal to the end of the process.
    pub grace: Duration,
    /// Retries allowed per request for a service.
    pub retry_ratio: f64,
    /// Retries allowed in addition, for all daemons together in one window.
    pub retry_slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Age of the configuration beyond which requests that need a key are refused, or `None` if they run by any.
    pub revocation: Option<Duration>,
}

/// The settings of a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The instance that the daemon runs on.
    pub instance: InstanceSettings,
    /// Listening addresses.
    pub listen: ListenSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Selection of executors.
    pub routing: RoutingSettings,
    /// The ways in which executors are compared.
    pub decisions: Decisions,
    /// Limits set by the operators of the platform.
    pub bounds: BoundSettings,
}

impl Settings {
    /// Parses and validates settings; `file` is the name used in error messages.
    ///
    /// Unknown settings are ignored, since the platform may add new ones at any time.
    ///
    /// # Errors
    ///
    /// All faults of the file, each with its line, the setting and the allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let mut faults = Faults::new(file);
        let settings = read_settings(&document, &mut faults);
        match settings {
            Some(settings) => faults.into_result(settings),
            None => Err(faults),
        }
    }
}

fn read_settings(document: &Document, faults: &mut Faults) -> Option<Settings> {
    let instance = required_section(document, "instance", faults);
    let listen = required_section(document, "listen", faults);
    let store = required_section(document, "store", faults);
    let bounds = required_section(document, "bounds", faults);
    let (instance, listen, store, bounds) = (instance?, listen?, store?, bounds?);
    let address = "an IP address and port, such as 10.0.0.1:7000";
    let name: Option<String> = required(instance, "name", "a text", faults);
    let data_centre = required(instance, "data_centre", "a name", faults);
    let service = required(instance, "service", "a name", faults);
    let backend_server = required(instance, "backend_server", address, faults);
    let memory = required(instance, "memory", "a size, such as 256MB", faults);
    let descriptors = read_descriptors(instance, faults);
    let link = required(instance, "link", "megabits per second, such as 100", faults);
    let callers = required(listen, "callers", address, faults);
    let daemons = required(listen, "daemons", address, faults);
    let readiness = required(listen, "readiness", address, faults);
    let announcements = required(listen, "announcements", address, faults);
    let metrics = listen.optional("metrics", faults);
    let store = required(store, "address", address, faults);
    let routing = document.sections.iter().find(|s| &*s.kind == "routing");
    let byte_cost = routing
        .filter(|section| section.find("byte_cost").is_some())
        .and_then(|section| required_number(section, "byte_cost", faults));
    let decisions = read_decisions(document, faults);
    let grace = required_number(bounds, "grace", faults);
    let retry_ratio = required_number(bounds, "retry_ratio", faults);
    let retry_slack = required_number(bounds, "retry_slack", faults);
    let retry_window = required_number(bounds, "retry_window", faults);
    let revocation = read_revocation(bounds, faults);
    Some(Settings {
        instance: InstanceSettings {
            name: Arc::from(name?),
            data_centre: data_centre?,
            service: service?,
            backend_server: backend_server?,
            memory: memory?,
            descriptors: descriptors?,
            link: link?,
        },
        listen: ListenSettings {
            callers: callers?,
            daemons: daemons?,
            readiness: readiness?,
            announcements: announcements?,
            metrics,
        },
        store: store?,
        routing: RoutingSettings {
            byte_cost: byte_cost.unwrap_or(RoutingSettings::default().byte_cost),
        },
        decisions,
        bounds: BoundSettings {
            grace: Duration::from_secs_f64(grace?),
            retry_ratio: retry_ratio?,
            retry_slack: retry_slack?,
            retry_window: Duration::from_secs_f64(retry_window?),
            revocation,
        },
    })
}

/// Reads how many descriptors the process may have open.
fn read_descriptors(instance: &Section, faults: &mut Faults) -> Option<usize> {
    const KEY: &str = "descriptors";
    let Some(entry) = instance.find(KEY) else {
        return Some(DEFAULT_DESCRIPTORS);
    };
    let parsed = entry.value.parse().ok();
    let descriptors = parsed.filter(|count| *count >= MIN_DESCRIPTORS);
    if descriptors.is_none() {
        let problem = format!("`{}` is not", entry.value);
        let label = instance.setting_label(KEY);
        faults.add(entry.line, &label, &problem, "a whole number of 64 or more");
    }
    descriptors
}

/// Reads the `[decisions]` section. What it leaves out is decided as by default.
fn read_decisions(document: &Document, faults: &mut Faults) -> Decisions {
    let default = Decisions::default();
    let Some(section) = document.sections.iter().find(|s| &*s.kind == "decisions") else {
        return default;
    };
    Decisions {
        wait: section.optional("wait", faults).unwrap_or(default.wait),
        loss_cost: section
            .optional("loss_cost", faults)
            .unwrap_or(default.loss_cost),
    }
}

/// Reads how old a configuration may be that requests with keys run by, if the platform bounds that.
fn read_revocation(bounds: &Section, faults: &mut Faults) -> Option<Duration> {
    let is_strict: bool = bounds.optional("strict_revocation", faults)?;
    if !is_strict {
        return None;
    }
    required_number(bounds, "revocation", faults).map(Duration::from_secs_f64)
}

fn required_section<'a>(
    document: &'a Document,
    kind: &str,
    faults: &mut Faults,
) -> Option<&'a Section> {
    let section = document.sections.iter().find(|s| *s.kind == *kind);
    if section.is_none() {
        faults.add(0, &format!("[{kind}]"), "missing", "the section once");
    }
    section
}

fn required<T>(section: &Section, key: &str, allowed: &str, faults: &mut Faults) -> Option<T>
where
    T: FromStr,
    T::Err: Display,
{
    section.required(key, allowed, faults)
}

fn required_number(section: &Section, key: &str, faults: &mut Faults) -> Option<f64> {
    let value: f64 = section.required(key, ALLOWED_NUMBER, faults)?;
    if value.is_finite() && (0.0..=MAX_NUMBER).contains(&value) {
        return Some(value);
    }
    let line = section.find(key).map_or(section.line, |entry| entry.line);
    let problem = format!("`{value}` is out of range");
    faults.add(line, &section.setting_label(key), &problem, ALLOWED_NUMBER);
    None
}

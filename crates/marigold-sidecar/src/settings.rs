//! The settings of one sidecar, read from an INI file as a whole.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::LinkRate;
use marigold_ini::{Document, Faults, Section};
use marigold_types::{ByteSize, DataCentre, ServiceName};

/// What a bound must be.
const ALLOWED_NUMBER: &str = "a number of 0 to 86400, as 2.5; times are in seconds";
/// The cost of a kibibyte between data centres that is taken where the operator says none.
const DEFAULT_BYTE_COST: f64 = 0.01;

/// Who the daemon is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The instance's name, for logs.
    pub name: Arc<str>,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The service on whose instance it runs.
    pub service: ServiceName,
    /// Where the backend server takes requests.
    pub backend_server: SocketAddr,
    /// The memory that the process may use.
    pub memory: ByteSize,
    /// How much its link carries.
    pub link: LinkRate,
}

/// Where the daemon listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers on the same instance.
    pub callers: SocketAddr,
    /// For other daemons.
    pub daemons: SocketAddr,
    /// For questions whether callers may come.
    pub readiness: SocketAddr,
    /// For the backend server's announcements.
    pub announcements: SocketAddr,
    /// For whoever reads the metrics.
    pub metrics: Option<SocketAddr>,
}

/// How requests are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingSettings {
    /// What a kibibyte between data centres costs, as a part of the value of the most urgent answer.
    pub byte_cost: f64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            byte_cost: DEFAULT_BYTE_COST,
        }
    }
}

/// What the platform's operators bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundSettings {
    /// How long a process may take from the signal to its end.
    pub grace: Duration,
    /// The repeats allowed for each request of a service.
    pub retry_ratio: f64,
    /// The repeats allowed beyond that, for all daemons together.
    pub retry_slack: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
}

/// The settings of one sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Who the daemon is.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// How requests are placed.
    pub routing: RoutingSettings,
    /// What the platform's operators bound.
    pub bounds: BoundSettings,
}

impl Settings {
    /// Reads and checks a whole file; `file` is named in the messages.
    ///
    /// Unknown settings are passed over, since the platform adds new ones at any time.
    ///
    /// # Errors
    ///
    /// Every mistake of the file, each with its line, setting and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let mut faults = Faults::new(file);
        let settings = read(&document, &mut faults);
        match settings {
            Some(settings) => faults.into_result(settings),
            None => Err(faults),
        }
    }
}

fn read(document: &Document, faults: &mut Faults) -> Option<Settings> {
    let instance = open(document, "instance", faults);
    let listen = open(document, "listen", faults);
    let store = open(document, "store", faults);
    let bounds = open(document, "bounds", faults);
    let (instance, listen, store, bounds) = (instance?, listen?, store?, bounds?);
    let address = "an IP number and port, as 10.0.0.1:7000";
    let name: Option<String> = required(instance, "name", "a text", faults);
    let data_centre = required(instance, "data_centre", "a name", faults);
    let service = required(instance, "service", "a name", faults);
    let backend_server = required(instance, "backend_server", address, faults);
    let memory = required(instance, "memory", "a size, as 256MB", faults);
    let link = required(instance, "link", "megabits a second, as 100", faults);
    let callers = required(listen, "callers", address, faults);
    let daemons = required(listen, "daemons", address, faults);
    let readiness = required(listen, "readiness", address, faults);
    let announcements = required(listen, "announcements", address, faults);
    let metrics = listen.optional("metrics", faults);
    let store = required(store, "address", address, faults);
    let routing = document.sections.iter().find(|s| &*s.kind == "routing");
    let byte_cost = routing
        .filter(|section| section.find("byte_cost").is_some())
        .and_then(|section| number(section, "byte_cost", faults));
    let grace = number(bounds, "grace", faults);
    let retry_ratio = number(bounds, "retry_ratio", faults);
    let retry_slack = number(bounds, "retry_slack", faults);
    let retry_window = number(bounds, "retry_window", faults);
    Some(Settings {
        instance: InstanceSettings {
            name: Arc::from(name?),
            data_centre: data_centre?,
            service: service?,
            backend_server: backend_server?,
            memory: memory?,
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
        bounds: BoundSettings {
            grace: Duration::from_secs_f64(grace?),
            retry_ratio: retry_ratio?,
            retry_slack: retry_slack?,
            retry_window: Duration::from_secs_f64(retry_window?),
        },
    })
}

fn open<'a>(document: &'a Document, kind: &str, faults: &mut Faults) -> Option<&'a Section> {
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

fn number(section: &Section, key: &str, faults: &mut Faults) -> Option<f64> {
    let value: f64 = section.required(key, ALLOWED_NUMBER, faults)?;
    if value.is_finite() && (0.0..=86_400.0).contains(&value) {
        return Some(value);
    }
    let line = section.find(key).map_or(section.line, |entry| entry.line);
    let problem = format!("`{value}` is out of range");
    faults.add(line, &section.setting(key), &problem, ALLOWED_NUMBER);
    None
}

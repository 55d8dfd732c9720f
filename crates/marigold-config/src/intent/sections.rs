//! Parsing of the sections of an intent.

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use marigold_ini::{Faults, Section};
use marigold_types::{Interval, ParseError, RouteName};

use super::ALLOWED_KINDS;
use crate::{Declaration, Limit, Objective, Operator, Resource, Route, Rule, Service, Share};

const NAME_ALLOWED: &str = "1 to 64 of a-z, 0-9, `-`, `_` and `.`";
const SERVICE_ALLOWED: &str = "the name of a declared service";
const DEFAULT_ROUTE_DEADLINE: Interval = Interval::from_millis(10_000);
const DEFAULT_OBJECTIVE_LATENCY: Interval = Interval::from_millis(1_000);
const DEFAULT_OBJECTIVE_WINDOW: Interval = Interval::from_millis(30 * 86_400_000);

/// A boolean, written as `yes` or `no`.
struct Flag(bool);

impl FromStr for Flag {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err(ParseError::new(text, "flag", "yes or no")),
        }
    }
}

/// Parses the resource that a section declares from its header.
pub fn read_resource(section: &Section, faults: &mut Faults) -> Option<Resource> {
    let text = || -> Result<Arc<str>, ParseError> {
        section
            .name
            .parse::<RouteName>()
            .map(|name| Arc::from(name.as_str()))
    };
    let resource = match &*section.kind {
        "operator" => section.name.parse().map(Resource::Operator),
        "rule" => text().map(Resource::Rule),
        "service" => section.name.parse().map(Resource::Service),
        "route" => section.name.parse().map(Resource::Route),
        "limit" => text().map(Resource::Limit),
        "objective" => section.name.parse().map(Resource::Objective),
        _ => {
            let header = format!("[{}]", section.header());
            faults.add(section.line, &header, "unknown section", ALLOWED_KINDS);
            return None;
        }
    };
    if resource.is_err() {
        let header = format!("[{}]", section.header());
        faults.add(section.line, &header, "no valid name", NAME_ALLOWED);
    }
    resource.ok()
}

/// Parses the settings of a section; adds each fault to `faults`.
///
/// Returns `None` if the section has any fault.
pub fn read_declaration(section: &Section, faults: &mut Faults) -> Option<Declaration> {
    let before = faults.list().len();
    let declaration = match &*section.kind {
        "operator" => read_operator(section, faults).map(Declaration::Operator),
        "rule" => read_rule(section, faults).map(Declaration::Rule),
        "service" => Some(Declaration::Service(read_service(section, faults))),
        "route" => read_route(section, faults).map(Declaration::Route),
        "limit" => read_limit(section, faults).map(Declaration::Limit),
        _ => read_objective(section, faults).map(Declaration::Objective),
    };
    declaration.filter(|_| faults.list().len() == before)
}

fn value_or<T>(section: &Section, key: &str, default: T, faults: &mut Faults) -> T
where
    T: FromStr,
    T::Err: Display,
{
    section.optional(key, faults).unwrap_or(default)
}

fn read_operator(section: &Section, faults: &mut Faults) -> Option<Operator> {
    let key = section.required::<String>("key", "64 hexadecimal digits", faults)?;
    Some(Operator {
        key: Arc::from(key),
    })
}

fn read_rule(section: &Section, faults: &mut Faults) -> Option<Rule> {
    let operator = section.required("operator", "the name of an operator", faults);
    let resources = section.required::<String>("resources", "patterns, as route:*", faults);
    let window = value_or(section, "window", "always".to_owned(), faults);
    let split = |text: String| text.split(',').map(|part| Arc::from(part.trim())).collect();
    Some(Rule {
        operator: operator?,
        resources: split(resources?),
        window: Arc::from(window),
    })
}

fn read_service(section: &Section, faults: &mut Faults) -> Service {
    let defaults = Service::default();
    Service {
        health: Arc::from(value_or(
            section,
            "health",
            defaults.health.to_string(),
            faults,
        )),
        slots: value_or(section, "slots", defaults.slots, faults),
        connections: value_or(section, "connections", defaults.connections, faults),
        warmup: value_or(section, "warmup", defaults.warmup, faults),
    }
}

fn read_route(section: &Section, faults: &mut Faults) -> Option<Route> {
    let path = section.required::<String>("path", "the start of the paths, as /orders", faults);
    let service = section.required("service", SERVICE_ALLOWED, faults);
    let class = section.optional("class", faults).unwrap_or_default();
    let idempotent = value_or(section, "idempotent", Flag(false), faults).0;
    let deadline = value_or(section, "deadline", DEFAULT_ROUTE_DEADLINE, faults);
    Some(Route {
        path: Arc::from(path?),
        service: service?,
        class,
        idempotent,
        deadline,
    })
}

fn read_limit(section: &Section, faults: &mut Faults) -> Option<Limit> {
    let service = section.required("service", SERVICE_ALLOWED, faults);
    let caller = section.optional("caller", faults);
    let rate = section.required("rate", "a whole number with /s, as 300/s", faults);
    Some(Limit {
        service: service?,
        caller,
        rate: rate?,
    })
}

fn read_objective(section: &Section, faults: &mut Faults) -> Option<Objective> {
    let availability = section.required("availability", "a percentage, as 99.9%", faults);
    let fast = value_or(section, "fast", Share(0), faults);
    let latency = value_or(section, "latency", DEFAULT_OBJECTIVE_LATENCY, faults);
    let window = value_or(section, "window", DEFAULT_OBJECTIVE_WINDOW, faults);
    let availability: Share = availability?;
    Some(Objective {
        availability: availability.0,
        fast: fast.0,
        latency,
        window,
    })
}

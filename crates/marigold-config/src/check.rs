//! Validation of declarations and of whole configurations.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use marigold_auth::PublicKey;
use marigold_types::{Interval, Rate, RouteName, SlotCount};

use crate::{Declaration, InvalidField, Pattern, Resource, Share, Window};

/// The most declarations in one configuration, which bounds the memory that a plan can take.
pub const MAX_DECLARATIONS: usize = 10_000;
/// The size limit of a configuration in bytes of JSON, so that its plans and checkpoints fit into
/// one record.
const MAX_CONFIG_BYTES: usize = 400_000;
/// The length limit of the path of a route or health probe.
const MAX_PATH_BYTES: usize = 1_024;
/// The most resource patterns in one rule.
const MAX_PATTERNS: usize = 64;
const PATH_ALLOWED: &str = "a path that starts with `/`, of printable ASCII without space, `?` \
    and `#`, of at most 1024 bytes";
const SERVICE_ALLOWED: &str = "a service declared in the same configuration";
const OPERATOR_ALLOWED: &str = "an operator declared in the same configuration";
const SHARE_ALLOWED: &str = "from 0% to below 100%";
const SLOTS_RANGE: RangeInclusive<SlotCount> = SlotCount(1)..=SlotCount(100_000);
const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const RATE_RANGE: RangeInclusive<Rate> = Rate(1)..=Rate(100_000_000);
const WARMUP_RANGE: RangeInclusive<Interval> =
    Interval::from_millis(0)..=Interval::from_millis(3_600_000);
const DEADLINE_RANGE: RangeInclusive<Interval> =
    Interval::from_millis(1)..=Interval::from_millis(3_600_000);
const OBJECTIVE_WINDOW_RANGE: RangeInclusive<Interval> =
    Interval::from_millis(60_000)..=Interval::from_millis(90 * 86_400_000);

/// Checks the fields of one declaration and collects their faults.
struct Checker<'a> {
    resource: &'a Resource,
    faults: &'a mut Vec<InvalidField>,
}

impl Checker<'_> {
    fn add(&mut self, field: &str, problem: &str, allowed: &str) {
        self.faults
            .push(InvalidField::new(self.resource, field, problem, allowed));
    }

    fn check_range<T: PartialOrd + Display>(
        &mut self,
        field: &str,
        value: &T,
        range: &RangeInclusive<T>,
    ) {
        if !range.contains(value) {
            let allowed = format!("{} to {}", range.start(), range.end());
            self.add(field, &format!("`{value}` is out of range"), &allowed);
        }
    }

    fn check_path(&mut self, field: &str, path: &str) {
        let allowed = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
        let valid = path.starts_with('/') && path.bytes().all(allowed);
        if !valid || path.len() > MAX_PATH_BYTES {
            self.add(field, "not a valid path", PATH_ALLOWED);
        }
    }

    fn check_parses<T>(&mut self, field: &str, text: &str)
    where
        T: FromStr,
        T::Err: Display,
    {
        if let Err(error) = text.parse::<T>() {
            let message = error.to_string();
            let (problem, allowed) = message
                .split_once(": allowed is ")
                .unwrap_or((&message, "a valid value"));
            self.add(field, problem, allowed);
        }
    }

    fn check_share(&mut self, field: &str, share: u32) {
        if share >= Share::ALL.0 {
            let problem = format!("`{}` is out of range", Share(share));
            self.add(field, &problem, SHARE_ALLOWED);
        }
    }
}

/// Adds the faults of one declaration, checked by itself, to `faults`.
pub fn check_declaration(
    resource: &Resource,
    declaration: &Declaration,
    faults: &mut Vec<InvalidField>,
) {
    let mut checker = Checker { resource, faults };
    match (resource, declaration) {
        (Resource::Operator(_), Declaration::Operator(operator)) => {
            checker.check_parses::<PublicKey>("key", &operator.key);
        }
        (Resource::Rule(name), Declaration::Rule(rule)) => {
            checker.check_parses::<RouteName>("name", name);
            checker.check_parses::<Window>("window", &rule.window);
            if rule.resources.is_empty() || rule.resources.len() > MAX_PATTERNS {
                checker.add("resources", "wrong number of patterns", "1 to 64 patterns");
            }
            for pattern in &rule.resources {
                checker.check_parses::<Pattern>("resources", pattern);
            }
        }
        (Resource::Service(_), Declaration::Service(service)) => {
            checker.check_path("health", &service.health);
            checker.check_range("slots", &service.slots, &SLOTS_RANGE);
            checker.check_range("connections", &service.connections, &CONNECTIONS_RANGE);
            checker.check_range("warmup", &service.warmup, &WARMUP_RANGE);
        }
        (Resource::Route(_), Declaration::Route(route)) => {
            checker.check_path("path", &route.path);
            checker.check_range("deadline", &route.deadline, &DEADLINE_RANGE);
        }
        (Resource::Limit(name), Declaration::Limit(limit)) => {
            checker.check_parses::<RouteName>("name", name);
            checker.check_range("rate", &limit.rate, &RATE_RANGE);
        }
        (Resource::Objective(_), Declaration::Objective(objective)) => {
            checker.check_share("availability", objective.availability);
            checker.check_share("fast", objective.fast);
            checker.check_range("latency", &objective.latency, &DEADLINE_RANGE);
            checker.check_range("window", &objective.window, &OBJECTIVE_WINDOW_RANGE);
        }
        _ => checker.add(
            "declaration",
            "kind does not match the resource",
            resource.kind(),
        ),
    }
}

/// Returns the faults of a configuration whose declarations are each valid: missing dependencies,
/// duplicate paths and excessive size.
#[must_use]
pub fn check_config(declarations: &BTreeMap<Resource, Arc<Declaration>>) -> Vec<InvalidField> {
    let mut faults = Vec::new();
    if exceeds_limits(declarations)
        && let Some(resource) = declarations.keys().next()
    {
        let allowed = format!("{MAX_DECLARATIONS} declarations, {MAX_CONFIG_BYTES} bytes of JSON");
        faults.push(InvalidField::new(
            resource,
            "declarations",
            "too many",
            &allowed,
        ));
    }
    let mut paths: BTreeMap<&str, &Resource> = BTreeMap::new();
    for (resource, declaration) in declarations {
        let mut checker = Checker {
            resource,
            faults: &mut faults,
        };
        if let Some(dependency) = dependency_of(resource, declaration)
            && !declarations.contains_key(&dependency)
        {
            let (kind, name) = (dependency.kind(), dependency.name());
            let problem = format!("{kind} `{name}` is not declared");
            let allowed = match dependency {
                Resource::Operator(_) => OPERATOR_ALLOWED,
                _ => SERVICE_ALLOWED,
            };
            checker.add(kind, &problem, allowed);
        }
        if let Declaration::Route(route) = declaration.as_ref() {
            // `/orders` and `/orders/` match the same requests.
            let path = route.path.trim_end_matches('/');
            if let Some(first) = paths.get(path) {
                let problem = format!("path `{}` is taken by {first}", route.path);
                checker.add("path", &problem, "each path once");
            } else {
                paths.insert(path, resource);
            }
        }
    }
    faults
}

fn exceeds_limits(declarations: &BTreeMap<Resource, Arc<Declaration>>) -> bool {
    let list: Vec<_> = declarations.iter().collect();
    let bytes = serde_json::to_vec(&list).map_or(usize::MAX, |json| json.len());
    declarations.len() > MAX_DECLARATIONS || bytes > MAX_CONFIG_BYTES
}

/// Returns the resource that a declaration refers to: the service of a route, limit or objective,
/// or the operator of a rule.
pub fn dependency_of(resource: &Resource, declaration: &Declaration) -> Option<Resource> {
    match (resource, declaration) {
        (_, Declaration::Route(route)) => Some(Resource::Service(route.service.clone())),
        (_, Declaration::Limit(limit)) => Some(Resource::Service(limit.service.clone())),
        (_, Declaration::Rule(rule)) => Some(Resource::Operator(rule.operator.clone())),
        (Resource::Objective(service), _) => Some(Resource::Service(service.clone())),
        _ => None,
    }
}

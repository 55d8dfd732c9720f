//! What a configuration must satisfy as a whole.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use marigold_auth::PublicKey;
use marigold_types::{Interval, Rate, RouteName, SlotCount};

use crate::{Declaration, InvalidField, Pattern, Resource, Share, Window};

/// The most declarations of one configuration, so that no plan can fill the memory.
pub const MAX_DECLARATIONS: usize = 10_000;
/// The largest configuration, in bytes of JSON: plans and checkpoints of it fit into one record.
const MAX_CONFIG_BYTES: usize = 400_000;
/// The longest path of a route or probe, in bytes.
const MAX_PATH_BYTES: usize = 1_024;
/// The most patterns of one rule.
const MAX_PATTERNS: usize = 64;
const PATH_ALLOWED: &str = "a path that starts with `/`, of printable ASCII without space, `?` \
    and `#`, of at most 1024 bytes";
const SERVICE_ALLOWED: &str = "a service declared in the same configuration";
const OPERATOR_ALLOWED: &str = "an operator declared in the same configuration";
const SHARE_ALLOWED: &str = "from 0% to below 100%";
const SLOTS: RangeInclusive<SlotCount> = SlotCount(1)..=SlotCount(100_000);
const CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;
const RATE: RangeInclusive<Rate> = Rate(1)..=Rate(100_000_000);
const WARMUP: RangeInclusive<Interval> =
    Interval::from_millis(0)..=Interval::from_millis(3_600_000);
const DEADLINE: RangeInclusive<Interval> =
    Interval::from_millis(1)..=Interval::from_millis(3_600_000);
const OBJECTIVE_WINDOW: RangeInclusive<Interval> =
    Interval::from_millis(60_000)..=Interval::from_millis(90 * 86_400_000);

/// Collects the faults of one declaration.
struct Checker<'a> {
    resource: &'a Resource,
    list: &'a mut Vec<InvalidField>,
}

impl Checker<'_> {
    fn add(&mut self, field: &str, problem: &str, allowed: &str) {
        self.list
            .push(InvalidField::new(self.resource, field, problem, allowed));
    }

    fn range<T: PartialOrd + Display>(
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

    fn path(&mut self, field: &str, path: &str) {
        let allowed = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
        let valid = path.starts_with('/') && path.bytes().all(allowed);
        if !valid || path.len() > MAX_PATH_BYTES {
            self.add(field, "not a valid path", PATH_ALLOWED);
        }
    }

    fn text<T>(&mut self, field: &str, text: &str)
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

    fn share(&mut self, field: &str, share: u32) {
        if share >= Share::ALL.0 {
            let problem = format!("`{}` is out of range", Share(share));
            self.add(field, &problem, SHARE_ALLOWED);
        }
    }
}

/// Adds what is wrong with one declaration by itself to `list`.
pub fn check_declaration(
    resource: &Resource,
    declaration: &Declaration,
    list: &mut Vec<InvalidField>,
) {
    let mut checker = Checker { resource, list };
    match (resource, declaration) {
        (Resource::Operator(_), Declaration::Operator(operator)) => {
            checker.text::<PublicKey>("key", &operator.key);
        }
        (Resource::Rule(name), Declaration::Rule(rule)) => {
            checker.text::<RouteName>("name", name);
            checker.text::<Window>("window", &rule.window);
            if rule.resources.is_empty() || rule.resources.len() > MAX_PATTERNS {
                checker.add("resources", "too few or too many", "1 to 64 patterns");
            }
            for pattern in &rule.resources {
                checker.text::<Pattern>("resources", pattern);
            }
        }
        (Resource::Service(_), Declaration::Service(service)) => {
            checker.path("health", &service.health);
            checker.range("slots", &service.slots, &SLOTS);
            checker.range("connections", &service.connections, &CONNECTIONS);
            checker.range("warmup", &service.warmup, &WARMUP);
        }
        (Resource::Route(_), Declaration::Route(route)) => {
            checker.path("path", &route.path);
            checker.range("deadline", &route.deadline, &DEADLINE);
        }
        (Resource::Limit(name), Declaration::Limit(limit)) => {
            checker.text::<RouteName>("name", name);
            checker.range("rate", &limit.rate, &RATE);
        }
        (Resource::Objective(_), Declaration::Objective(objective)) => {
            checker.share("availability", objective.availability);
            checker.share("fast", objective.fast);
            checker.range("latency", &objective.latency, &DEADLINE);
            checker.range("window", &objective.window, &OBJECTIVE_WINDOW);
        }
        _ => checker.add(
            "declaration",
            "of another kind than its name",
            resource.kind(),
        ),
    }
}

/// Returns what is wrong between the declarations of a configuration, each in itself valid.
#[must_use]
pub fn check_whole(declarations: &BTreeMap<Resource, Arc<Declaration>>) -> Vec<InvalidField> {
    let mut list = Vec::new();
    if is_too_large(declarations)
        && let Some(resource) = declarations.keys().next()
    {
        let allowed = format!("{MAX_DECLARATIONS} declarations, {MAX_CONFIG_BYTES} bytes of JSON");
        list.push(InvalidField::new(
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
            list: &mut list,
        };
        if let Some(needed) = needed_by(resource, declaration)
            && !declarations.contains_key(&needed)
        {
            let (kind, name) = (needed.kind(), needed.name());
            let problem = format!("{kind} `{name}` is not declared");
            let allowed = match needed {
                Resource::Operator(_) => OPERATOR_ALLOWED,
                _ => SERVICE_ALLOWED,
            };
            checker.add(kind, &problem, allowed);
        }
        if let Declaration::Route(route) = declaration.as_ref() {
            // `/orders` and `/orders/` take the same requests.
            let path = route.path.trim_end_matches('/');
            if let Some(first) = paths.get(path) {
                let problem = format!("path `{}` is taken by {first}", route.path);
                checker.add("path", &problem, "each path once");
            } else {
                paths.insert(path, resource);
            }
        }
    }
    list
}

fn is_too_large(declarations: &BTreeMap<Resource, Arc<Declaration>>) -> bool {
    let list: Vec<_> = declarations.iter().collect();
    let bytes = serde_json::to_vec(&list).map_or(usize::MAX, |json| json.len());
    declarations.len() > MAX_DECLARATIONS || bytes > MAX_CONFIG_BYTES
}

/// Returns the resource that a declaration cannot stand without: the service of a route, limit or
/// objective, the operator of a rule.
pub fn needed_by(resource: &Resource, declaration: &Declaration) -> Option<Resource> {
    match (resource, declaration) {
        (_, Declaration::Route(route)) => Some(Resource::Service(route.service.clone())),
        (_, Declaration::Limit(limit)) => Some(Resource::Service(limit.service.clone())),
        (_, Declaration::Rule(rule)) => Some(Resource::Operator(rule.operator.clone())),
        (Resource::Objective(service), _) => Some(Resource::Service(service.clone())),
        _ => None,
    }
}

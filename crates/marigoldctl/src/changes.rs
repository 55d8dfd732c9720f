//! A readable form of a plan's changes.

use std::collections::BTreeMap;

use marigold_config::{Change, Config, Declaration, Resource, Share};
use marigold_types::Interval;
use serde::Serialize;
use serde_json::Value;

/// How a plan changes a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The resource is new.
    Added,
    /// Some of its fields change.
    Changed,
    /// The resource is removed.
    Removed,
}

/// One change, formatted for tables and JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ChangeRow {
    /// Whether the resource is added, changed or removed.
    pub kind: ChangeKind,
    /// The resource, as `route:orders`.
    pub resource: String,
    /// Each field that changes, as `slots: 8 -> 15`.
    pub fields: Vec<String>,
}

impl ChangeRow {
    /// Formats `changes`; `config` is the configuration before them.
    #[must_use]
    pub fn list(config: &Config, changes: &[Change]) -> Vec<Self> {
        changes
            .iter()
            .map(|change| Self::new(config, change))
            .collect()
    }

    fn new(config: &Config, change: &Change) -> Self {
        let before = config.find(&change.resource);
        let after = change.after.as_ref();
        let kind = match (before, after) {
            (_, None) => ChangeKind::Removed,
            (None, Some(_)) => ChangeKind::Added,
            (Some(_), Some(_)) => ChangeKind::Changed,
        };
        let (before, after) = (display_fields(before), display_fields(after));
        let mut fields = Vec::new();
        for key in before
            .keys()
            .chain(after.keys().filter(|key| !before.contains_key(*key)))
        {
            match (before.get(key), after.get(key)) {
                (Some(old), Some(new)) if old != new => {
                    fields.push(format!("{key}: {old} -> {new}"));
                }
                (None, Some(new)) => fields.push(format!("{key}: {new}")),
                (Some(old), None) if kind == ChangeKind::Changed => {
                    fields.push(format!("{key}: {old} -> none"));
                }
                _ => {}
            }
        }
        Self {
            kind,
            resource: change.resource.to_string(),
            fields,
        }
    }

    /// Returns the row's marker, as in a diff.
    #[must_use]
    pub fn sign(&self) -> &'static str {
        match self.kind {
            ChangeKind::Added => "+",
            ChangeKind::Changed => "~",
            ChangeKind::Removed => "-",
        }
    }
}

/// Returns the services whose calls a change affects, sorted. A route or limit that moves to
/// another service affects both.
pub fn affected_services(config: &Config, change: &Change) -> Vec<String> {
    let service_of = |declaration: &Declaration| match declaration {
        Declaration::Route(route) => Some(route.service.to_string()),
        Declaration::Limit(limit) => Some(limit.service.to_string()),
        _ => None,
    };
    let mut services: Vec<String> = match &change.resource {
        Resource::Service(name) | Resource::Objective(name) => vec![name.to_string()],
        _ => Vec::new(),
    };
    services.extend(config.find(&change.resource).and_then(service_of));
    services.extend(change.after.as_ref().and_then(service_of));
    services.sort();
    services.dedup();
    services
}

/// Returns a declaration's fields that are set, as text by name.
fn display_fields(declaration: Option<&Declaration>) -> BTreeMap<String, String> {
    let value = declaration.and_then(|declaration| serde_json::to_value(declaration).ok());
    let Some(Value::Object(kinds)) = value else {
        return BTreeMap::new();
    };
    let fields = kinds.into_iter().flat_map(|(_, fields)| match fields {
        Value::Object(fields) => fields,
        _ => serde_json::Map::new(),
    });
    let fields = fields.filter(|(_, value)| !value.is_null());
    let fields = fields.map(|(key, value)| {
        let text = display_value(&key, &value);
        (key, text)
    });
    fields.collect()
}

/// Formats a field's value in the syntax of an intent file.
fn display_value(key: &str, value: &Value) -> String {
    let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
    match (key, value, number) {
        ("availability" | "fast", _, Some(share)) => Share(share).to_string(),
        ("rate", Value::Number(rate), _) => format!("{rate}/s"),
        (_, Value::Bool(true), _) => "yes".to_owned(),
        (_, Value::Bool(false), _) => "no".to_owned(),
        (_, Value::String(text), _) => text.clone(),
        (_, Value::Array(list), _) => {
            let list: Vec<String> = list.iter().map(|item| display_value("", item)).collect();
            list.join(", ")
        }
        // An interval is serialized as an object with the single field `millis`.
        (_, Value::Object(fields), _) => match fields.get("millis").and_then(Value::as_u64) {
            Some(millis) => Interval::from_millis(millis).to_string(),
            None => value.to_string(),
        },
        _ => value.to_string(),
    }
}

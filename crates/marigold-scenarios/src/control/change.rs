//! Parses the configuration changes in a scenario's plan.

use marigold_auth::PublicKey;
use marigold_config::{Change, Declaration, Operator, Resource, Route, Rule, Service};
use marigold_types::{Class, Interval};

/// Parses one change, such as `service desk`, `route desk /desk desk` or `no route desk`.
///
/// # Errors
///
/// Returns an error if `text` is not a valid change.
pub fn parse_change(
    text: &str,
    key_of: &dyn Fn(&str) -> Option<PublicKey>,
) -> Result<Change, Box<dyn std::error::Error>> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let change = match words.as_slice() {
        ["no", kind, name] => Change {
            resource: parse_resource(kind, name)?,
            after: None,
        },
        ["service", name] => set_declaration(
            parse_resource("service", name)?,
            Declaration::Service(Service::default()),
        ),
        ["route", name, path, service] => set_declaration(
            parse_resource("route", name)?,
            Declaration::Route(Route {
                path: (*path).into(),
                service: service.parse()?,
                class: Class::Interactive,
                idempotent: true,
                deadline: Interval::from_millis(1_000),
            }),
        ),
        ["operator", name] => {
            let key = key_of(name).ok_or_else(|| format!("no operator `{name}` was made"))?;
            let key = key.to_string().into();
            set_declaration(
                parse_resource("operator", name)?,
                Declaration::Operator(Operator { key }),
            )
        }
        ["rule", name, operator, resources, window @ ..] => set_declaration(
            parse_resource("rule", name)?,
            Declaration::Rule(Rule {
                operator: operator.parse()?,
                resources: resources.split(',').map(Into::into).collect(),
                window: window.join(" ").into(),
            }),
        ),
        _ => return Err(format!("`{text}` is no change").into()),
    };
    Ok(change)
}

fn set_declaration(resource: Resource, after: Declaration) -> Change {
    Change {
        resource,
        after: Some(after),
    }
}

fn parse_resource(kind: &str, name: &str) -> Result<Resource, Box<dyn std::error::Error>> {
    Ok(match kind {
        "service" => Resource::Service(name.parse()?),
        "route" => Resource::Route(name.parse()?),
        "operator" => Resource::Operator(name.parse()?),
        "rule" => Resource::Rule(name.into()),
        _ => return Err(format!("`{kind}` is no kind of declaration").into()),
    })
}

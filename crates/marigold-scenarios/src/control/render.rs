//! Formats the state of daemons for a scenario's output.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use marigold_control::{EndpointState, Liveness, Status, View};
use marigold_types::{Address, DataCentre};

use super::Mesh;

/// Returns one line for each group of daemons with equal state.
pub fn show(mesh: &Mesh, addresses: &[Address], names: &BTreeMap<Address, String>) -> String {
    let mut groups: Vec<(String, Vec<&str>)> = Vec::new();
    for address in addresses {
        let line = describe(mesh, *address, names);
        let name = names[address].as_str();
        match groups.iter_mut().find(|(text, _)| *text == line) {
            Some((_, list)) => list.push(name),
            None => groups.push((line, vec![name])),
        }
    }
    groups.iter().fold(String::new(), |mut text, (line, list)| {
        let _ = writeln!(text, "{}: {line}", list.join(" "));
        text
    })
}

fn describe(mesh: &Mesh, address: Address, names: &BTreeMap<Address, String>) -> String {
    let node = &mesh.nodes[&address];
    let Some(plane) = &node.plane else {
        return "down".to_owned();
    };
    let view = plane.view();
    let paused = if node.paused_since.is_some() {
        "paused, "
    } else {
        ""
    };
    let serving = if view.serving {
        "serving"
    } else {
        "not serving"
    };
    let version = view.config.version;
    let routes = view.config.routes().map(|(name, _)| {
        let live = view.live_routes().any(|live| live == name);
        let mark = if live { "" } else { " (not live)" };
        format!("{name}{mark}")
    });
    let routes: Vec<String> = routes.collect();
    let routes = if routes.is_empty() {
        "-".to_owned()
    } else {
        routes.join(", ")
    };
    let servers = describe_servers(&view, names);
    format!("{paused}version {version}, {serving}; routes {routes}; {servers}")
}

fn describe_servers(view: &View, names: &BTreeMap<Address, String>) -> String {
    let mut descriptions = Vec::new();
    for (service, endpoints) in &view.endpoints {
        for (state, word) in [
            (EndpointState::Ready, "ready"),
            (EndpointState::Suspect, "suspect"),
            (EndpointState::Draining, "draining"),
        ] {
            let list = endpoints.iter().filter(|endpoint| endpoint.state == state);
            let list: Vec<&str> = list
                .map(|endpoint| names[&endpoint.instance.address].as_str())
                .collect();
            if !list.is_empty() {
                descriptions.push(format!("{service} {word} {}", list.join(" ")));
            }
        }
    }
    if descriptions.is_empty() {
        return "no servers".to_owned();
    }
    descriptions.join(", ")
}

/// Formats the status of the mesh as reported by one daemon.
pub fn status(status: &Status, names: &BTreeMap<Address, String>) -> String {
    let mut text = format!("newest version {}\n", status.newest);
    for centre in &status.data_centres {
        let suffix = if centre.reachable {
            ""
        } else {
            ", out of reach"
        };
        let _ = writeln!(
            text,
            "{}: {} members, {} counted, {} at the newest version{suffix}",
            centre.name, centre.members, centre.counted, centre.current
        );
    }
    for member in &status.members {
        let name = &names[&member.instance.address];
        if member.liveness != Liveness::Alive {
            let liveness = format!("{:?}", member.liveness).to_lowercase();
            let _ = writeln!(text, "{name} is {liveness}");
        }
        if member.lag.is_some() {
            let held = member.held.unwrap_or_default();
            let _ = writeln!(text, "{name} lags at version {held}");
        }
    }
    text
}

/// Parses the names of data centres.
///
/// # Errors
///
/// Returns an error if a name is invalid.
pub fn parse_centres(names: &[String]) -> Result<Vec<DataCentre>, marigold_types::ParseError> {
    names.iter().map(|name| name.parse()).collect()
}

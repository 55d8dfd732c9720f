//! Finds the route of a path.

use marigold_config::Route;
use marigold_control::View;
use marigold_types::RouteName;

/// Returns the route with the longest path that `path` starts with, at a boundary of segments.
#[must_use]
pub fn find<'a>(view: &'a View, path: &str) -> Option<(&'a RouteName, &'a Route)> {
    view.config
        .routes()
        .filter(|(_, route)| takes(&route.path, path))
        .max_by_key(|(_, route)| route.path.len())
}

fn takes(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

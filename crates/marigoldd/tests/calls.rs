//! Successful and failed calls through two daemons over real sockets.

mod support;

use support::{Backend, Mesh, http};

macro_rules! calls_through_two_daemons {
    ($($name:ident: $method:literal $path:literal $body:literal => $status:literal $outcome:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = Backend::start().await;
            let mesh = Mesh::start(&[&backend], 1).await;
            let reply = http(mesh.daemons[1].caller, $method, $path, &[], $body).await.unwrap();
            assert_eq!((reply.status, reply.outcome()), ($status, $outcome), "{reply:?}");
        }
    )*};
}

calls_through_two_daemons! {
    get_is_answered: "GET" "/read/x" "" => 200 "answered";
    post_is_answered: "POST" "/write/x" "order" => 200 "answered";
    no_route: "GET" "/nowhere" "" => 404 "not-run";
    route_prefix_ends_at_a_path_segment: "GET" "/reader" "" => 404 "not-run";
    backend_server_dies_during_post: "POST" "/write/die" "order" => 502 "unknown";
    truncated_small_response: "POST" "/write/cut-small" "order" => 502 "unknown";
}

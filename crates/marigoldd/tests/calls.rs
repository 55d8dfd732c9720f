//! Calls through two daemons over real sockets, whole and broken.

mod support;

use support::{Backend, Mesh, http};

macro_rules! through_two {
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

through_two! {
    whole_answer: "GET" "/read/x" "" => 200 "answered";
    whole_post: "POST" "/write/x" "order" => 200 "answered";
    no_route: "GET" "/nowhere" "" => 404 "not-run";
    boundary_of_route: "GET" "/reader" "" => 404 "not-run";
    dies_on_write: "POST" "/write/die" "order" => 502 "unknown";
    cut_small: "POST" "/write/cut-small" "order" => 502 "unknown";
}

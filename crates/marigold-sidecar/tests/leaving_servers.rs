//! Backend servers that say in their responses that they are shutting down.

mod common;

use std::sync::Arc;

use common::test_mesh::{BackendBehaviour, TestMesh, get};
use common::{announcement, local_tests};
use marigold_dispatch::{Announcement, AnnouncementOutcome, ServingState};
use tokio::task::LocalSet;

const CONNECTION_CLOSE: &str = "Connection: close\r\n";

async fn send(mesh: &TestMesh) -> String {
    mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await
}

/// Returns whether a backend server that behaves so and says `fields` still gets requests, and whether the caller
/// receives what it says.
async fn is_sent_on(behaviour: BackendBehaviour, fields: &'static str) -> bool {
    let mesh = TestMesh::new(&[behaviour]).await;
    *mesh.extra_fields.borrow_mut() = fields;
    let response = send(&mesh).await;
    if behaviour == BackendBehaviour::Succeed {
        assert!(response.contains(fields), "{response}");
    }
    let arrivals = mesh.arrivals();
    let response = send(&mesh).await;
    let is_sent = mesh.arrivals() > arrivals;
    assert_eq!(
        response.starts_with("HTTP/1.1 503") && !is_sent,
        !is_sent,
        "{response}"
    );
    is_sent
}

/// Names each way to say it, and whether the next request is sent.
macro_rules! field_tests {
    ($($name:ident: $behaviour:ident, $fields:literal => $sent:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let sent = is_sent_on(BackendBehaviour::$behaviour, $fields);
            assert_eq!(LocalSet::new().run_until(sent).await, $sent);
        }
    )*};
}

field_tests! {
    leaving_server_gets_requests_after_its_answer_said_so: Succeed, "X-Leaving: 1\r\n" => false;
    leaving_server_gets_requests_after_its_rejection_said_so: Reject, "X-Leaving: 1\r\n" => false;
    server_that_does_not_leave_gets_no_requests: Succeed, "X-Leaving: 0\r\n" => true;
    server_that_says_something_else_gets_no_requests: Succeed, "X-Leaving: maybe\r\n" => true;
}

local_tests! {
    late_announcement_revives_a_server_whose_answer_said_that_it_leaves {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        *mesh.extra_fields.borrow_mut() = "X-Leaving: 1\r\n";
        send(&mesh).await;
        let executor = &mesh.executors[0];
        let late = announcement(mesh.backends[0], 9, ServingState::Ready);
        assert_eq!(executor.apply_announcement(&late), AnnouncementOutcome::Stale);
        assert!(executor.serving().is_none());
        let next = Announcement { identity: Arc::from("life-2"), ..late };
        assert_eq!(executor.apply_announcement(&next), AnnouncementOutcome::NewInstance);
        assert!(executor.serving().is_some());
    }
}

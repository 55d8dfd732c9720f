//! Calls between daemons over connections that break.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{TEST_TIMEOUT, call, listener, site};
use marigold_dispatch::SiteReport;
use marigold_sidecar::link::{
    Call, CallHandler, CallId, CallOutcome, CallResult, LinkClient, LinkEvent, LinkServer, Reply,
    ReplyHandle,
};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Keeps what it is asked to run until it is told to answer.
#[derive(Default)]
struct Held {
    calls: RefCell<Vec<(Call, ReplyHandle, CancellationToken)>>,
    started: Cell<usize>,
}

impl CallHandler for Held {
    fn start(&self, call: Call, reply: ReplyHandle, cancelled: CancellationToken) {
        self.started.set(self.started.get() + 1);
        self.calls.borrow_mut().push((call, reply, cancelled));
    }

    fn report(&self) -> SiteReport {
        site()
    }
}

impl Held {
    /// Answers the first call that is held with the body that it came with.
    fn answer(&self) {
        let (call, handle, _) = self.calls.borrow_mut().remove(0);
        handle.send(Reply {
            id: CallId::default(),
            outcome: CallOutcome::Answered {
                status: 200,
                fields: Bytes::new(),
            },
            waited: Duration::ZERO,
            ran: Duration::ZERO,
            site: site(),
            body: call.body,
        });
    }
}

/// Stands between two daemons and can cut all connections.
struct Proxy {
    address: SocketAddr,
    target: Rc<Cell<SocketAddr>>,
    pipes: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let (listener, address) = listener().await;
        let target = Rc::new(Cell::new(target));
        let pipes = Rc::new(RefCell::new(Vec::new()));
        spawn_local(forward(listener, target.clone(), pipes.clone()));
        Self {
            address,
            target,
            pipes,
        }
    }

    fn cut(&self) {
        for pipe in self.pipes.borrow_mut().drain(..) {
            pipe.abort();
        }
    }
}

async fn forward(
    listener: TcpListener,
    target: Rc<Cell<SocketAddr>>,
    pipes: Rc<RefCell<Vec<JoinHandle<()>>>>,
) {
    loop {
        let (mut near, _) = listener.accept().await.expect("a connection");
        let to = target.get();
        pipes.borrow_mut().push(spawn_local(async move {
            if let Ok(mut far) = TcpStream::connect(to).await {
                copy_bidirectional(&mut near, &mut far).await.ok();
            }
        }));
    }
}

async fn serve(life: u64, handler: Rc<Held>) -> (SocketAddr, JoinHandle<()>) {
    let (listener, address) = listener().await;
    let server = LinkServer::new(life, handler);
    (address, spawn_local(server.listen(listener)))
}

fn client(address: SocketAddr) -> LinkClient {
    LinkClient::start(address, Rc::new(|_, _| {}))
}

/// Waits until `done`, whatever else has to happen before.
async fn until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait).await.expect("it comes about");
}

async fn end(open: marigold_sidecar::link::OpenCall) -> CallResult {
    timeout(TEST_TIMEOUT, open.wait()).await.expect("an end")
}

/// Runs a test's body with tasks that stay on one thread.
macro_rules! local {
    ($($name:ident $body:block)*) => {$(
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(async $body).await;
        }
    )*};
}

local! {
    a_call_is_answered {
        let held = Rc::new(Held::default());
        let (address, _task) = serve(1, held.clone()).await;
        let open = client(address).call(call("r1", true)).expect("room");
        until(|| held.started.get() == 1).await;
        held.answer();
        assert!(matches!(end(open).await, CallResult::Replied(_)));
    }

    long_bodies_arrive_whole {
        let held = Rc::new(Held::default());
        let (address, _task) = serve(1, held.clone()).await;
        let mut long = call("r1", true);
        let body: Vec<u8> = (0..700_000_u32).map(|i| u8::try_from(i % 251).expect("fits")).collect();
        long.body = Bytes::from(body.clone());
        let open = client(address).call(long).expect("room");
        until(|| held.started.get() == 1).await;
        held.answer();
        let CallResult::Replied(reply) = end(open).await else {
            panic!("no reply");
        };
        assert!(reply.body == body);
    }

    a_call_outlives_its_connection {
        let held = Rc::new(Held::default());
        let (address, _task) = serve(1, held.clone()).await;
        let proxy = Proxy::start(address).await;
        let open = client(proxy.address).call(call("r1", false)).expect("room");
        until(|| held.started.get() == 1).await;
        proxy.cut();
        held.answer();
        assert!(matches!(end(open).await, CallResult::Replied(_)));
        assert_eq!(held.started.get(), 1);
    }

    an_answer_that_was_lost_on_the_way_is_sent_again {
        let held = Rc::new(Held::default());
        let (address, _task) = serve(1, held.clone()).await;
        let proxy = Proxy::start(address).await;
        let open = client(proxy.address).call(call("r1", false)).expect("room");
        until(|| held.started.get() == 1).await;
        // The pipe stops before the answer is written, and no end of it notices yet.
        proxy.cut();
        held.answer();
        proxy.cut();
        assert!(matches!(end(open).await, CallResult::Replied(_)));
        assert_eq!(held.started.get(), 1);
    }

    nobody_there_means_not_sent {
        let (listener, address) = listener().await;
        drop(listener);
        let open = client(address).call(call("r1", false)).expect("room");
        assert_eq!(end(open).await, CallResult::NotSent);
    }

    another_life_of_the_executor_ends_the_calls_of_before {
        let first = Rc::new(Held::default());
        let (address, task) = serve(1, first.clone()).await;
        let proxy = Proxy::start(address).await;
        let open = client(proxy.address).call(call("r1", false)).expect("room");
        until(|| first.started.get() == 1).await;
        let second = Rc::new(Held::default());
        let (address, _task) = serve(2, second.clone()).await;
        proxy.target.set(address);
        task.abort();
        proxy.cut();
        assert_eq!(end(open).await, CallResult::ExecutorTerminated);
        assert_eq!(second.started.get(), 0);
    }

    a_caller_that_leaves_cancels {
        let held = Rc::new(Held::default());
        let (address, _task) = serve(1, held.clone()).await;
        let link = client(address);
        let open = link.call(call("r1", true)).expect("room");
        until(|| held.started.get() == 1).await;
        drop(open);
        until(|| held.calls.borrow()[0].2.is_cancelled()).await;
    }

    an_ingress_that_is_gone_cancels {
        let held = Rc::new(Held::default());
        let (address, _task) = serve(1, held.clone()).await;
        let proxy = Proxy::start(address).await;
        let link = client(proxy.address);
        let _open = link.call(call("r1", true)).expect("room");
        until(|| held.started.get() == 1).await;
        let (nowhere, _) = listener().await;
        proxy.target.set(nowhere.local_addr().expect("an address"));
        proxy.cut();
        until(|| held.calls.borrow()[0].2.is_cancelled()).await;
    }

    an_executor_that_was_started_again_is_heard_without_a_call {
        let first = Rc::new(Held::default());
        let (address, task) = serve(1, first.clone()).await;
        let proxy = Proxy::start(address).await;
        let heard = Rc::new(Cell::new(0));
        let count = heard.clone();
        let listener = move |_, news| {
            if matches!(news, LinkEvent::Report(_)) {
                count.set(count.get() + 1);
            }
        };
        let _link = LinkClient::start(proxy.address, Rc::new(listener));
        until(|| heard.get() == 1).await;
        let (address, _task) = serve(2, Rc::new(Held::default())).await;
        proxy.target.set(address);
        task.abort();
        proxy.cut();
        until(|| heard.get() == 2).await;
    }
}

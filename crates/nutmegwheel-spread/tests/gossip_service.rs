//! The gossip of a process over its links.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_config::Settings;
use nutmegwheel_link::{
    CallError, Endpoint, Limits, Options, Peer, Reply, Request, ServeFuture, Service, Topic,
};
use nutmegwheel_membership::{Body, Health, MemberStatus, Message, Record, Role, wire};
use nutmegwheel_spread::GossipService;

const SETTINGS: &str = r#"{
  "name": "node-0", "data_centre": "riga1", "role": "node",
  "listen": {
    "callers": "127.0.0.1:1", "backend": "127.0.0.1:2",
    "platform": "127.0.0.1:3", "link": "127.0.0.1:4"
  },
  "seeds": [
    {"name": "control-0", "data_centre": "riga1", "link": "127.0.0.1:5", "control": true}
  ],
  "fleet_secret": "0123456789abcdef", "operator_secret": "fedcba9876543210"
}"#;
const LONG: Duration = Duration::from_secs(20);

struct Echo;

impl Service for Echo {
    fn serve(&self, _: Peer, req: Request, _: Option<Instant>) -> ServeFuture {
        Box::pin(async move {
            Reply {
                head: req.head,
                body: req.body,
            }
        })
    }

    fn notify(&self, _: Peer, _: Topic, _: Bytes) {}
}

async fn endpoint(name: &str, listen: SocketAddr) -> Endpoint {
    let opts = Options {
        name: name.into(),
        data_centre: "riga1".into(),
        incarnation: 1,
        listen,
        advertised: None,
        fleet_secret: b"0123456789abcdef".to_vec(),
        limits: Limits {
            min_backoff: LONG,
            max_backoff: LONG,
            ..Limits::default()
        },
        metering: None,
    };
    Endpoint::bind(opts, Arc::new(Echo)).await.unwrap()
}

async fn call(endpoint: &Endpoint, to: SocketAddr) -> Result<Reply, CallError> {
    let req = Request {
        topic: Topic(1),
        head: Bytes::new(),
        body: Bytes::new(),
    };
    endpoint.call(to, req, Instant::now() + LONG).await
}

fn control_vm(link: SocketAddr) -> Record {
    Record {
        name: "control-0".into(),
        data_centre: "riga1".into(),
        role: Role::Control,
        seed: false,
        link,
        callers: None,
        platform: None,
        incarnation: 1,
        counter: 0,
        status: MemberStatus::Active,
        announcement: None,
        health: Health::Alive,
    }
}

// Guards against calls to a control VM that fail for the rest of a long backoff although others
// have reported that it has joined.
#[tokio::test]
async fn member_that_joined_is_dialled_without_waiting_for_backoff() {
    let gossip = GossipService::open(&Settings::parse(SETTINGS).unwrap(), 1);
    let node = endpoint("node-0", "127.0.0.1:0".parse().unwrap()).await;
    gossip.set_endpoint(node.clone());
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let link = socket.local_addr().unwrap();
    drop(socket);
    for _ in 0..2 {
        let failed = call(&node, link).await;
        assert!(
            matches!(failed, Err(CallError::NotSent { .. })),
            "{failed:?}"
        );
    }
    let _control_vm = endpoint("control-0", link).await;
    let message = Message {
        version: 0,
        body: Body::Updates {
            records: vec![control_vm(link)],
            withdrawn: Vec::new(),
        },
    };
    let reporter = Peer {
        name: "node-1".into(),
        data_centre: "riga1".into(),
        incarnation: 1,
        address: "127.0.0.1:6".parse().unwrap(),
    };
    gossip.receive(&reporter, &wire::encode(&message).into());
    call(&node, link).await.unwrap();
}

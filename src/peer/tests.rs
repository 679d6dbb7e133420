use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use proptest::prelude::*;

use super::*;
use crate::control::Input;
use crate::membership::Heartbeat;
use crate::membership::HeartbeatId;
use crate::membership::InstanceState;
use crate::metrics::Count;
use crate::metrics::Metrics;

/// Time after which a wait fails the test.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

struct Node {
    transport: PeerTransport,
    rx: Receiver<Input>,
    metrics: Arc<Metrics>,
}

impl Node {
    fn start(secret: &[u8]) -> Node {
        let (tx, rx) = flume::unbounded();
        let metrics = Arc::new(Metrics::new());
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let transport = PeerTransport::start(listen, secret, tx, Arc::clone(&metrics)).unwrap();
        Node {
            transport,
            rx,
            metrics,
        }
    }

    fn addr(&self) -> String {
        self.transport.local_addr().to_string()
    }

    fn receive(&self) -> PeerFrame {
        match self.rx.recv_timeout(WAIT_LIMIT).unwrap() {
            Input::Peer(frame) => frame,
            other => panic!("not a frame: {other:?}"),
        }
    }
}

fn frame(stamp: u64, domain: &str) -> PeerFrame {
    PeerFrame {
        from: "ikeja-1".to_owned(),
        boot: Boot(7),
        stamp,
        messages: vec![PeerMessage::Membership(Heartbeat {
            domain: domain.to_owned(),
            addr: "127.0.0.1:9".to_owned(),
            leaving: false,
            state: InstanceState::default(),
            id: HeartbeatId::default(),
            echo: HeartbeatId::default(),
            views: Vec::new(),
        })],
    }
}

fn wait_for(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "the condition was not met in time"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn frames_arrive_over_one_connection() {
    let a = Node::start(b"secret");
    let b = Node::start(b"secret");
    for stamp in 1..=50 {
        a.transport.send(&b.addr(), frame(stamp, "ikeja"));
    }
    let mut stamps: Vec<u64> = (0..50).map(|_| b.receive().stamp).collect();
    stamps.sort_unstable();
    assert_eq!(stamps, (1..=50).collect::<Vec<u64>>());
    assert_eq!(a.metrics.count(Count::PeerConnections), 1);
    assert_eq!(a.metrics.count(Count::PeerFramesSent), 50);
    assert_eq!(
        a.metrics.count(Count::PeerBytesSent),
        b.metrics.count(Count::PeerBytesReceived)
    );
}

#[test]
fn a_frame_of_a_megabyte_arrives_whole() {
    let a = Node::start(b"secret");
    let b = Node::start(b"secret");
    let long = frame(1, &"x".repeat(1_000_000));
    a.transport.send(&b.addr(), long.clone());
    assert_eq!(b.receive(), long);
}

#[test]
fn a_frame_signed_with_another_secret_is_refused() {
    let a = Node::start(b"other");
    let b = Node::start(b"secret");
    a.transport.send(&b.addr(), frame(1, "ikeja"));
    wait_for(|| b.metrics.count(Count::PeerFramesDropped) == 1);
    wait_for(|| a.metrics.count(Count::PeerFramesLost) == 1);
    assert!(b.rx.is_empty());
}

#[test]
fn a_frame_sent_twice_is_accepted_once() {
    let a = Node::start(b"secret");
    let b = Node::start(b"secret");
    a.transport.send(&b.addr(), frame(1, "ikeja"));
    a.transport.send(&b.addr(), frame(1, "ikeja"));
    wait_for(|| b.metrics.count(Count::PeerFramesDropped) == 1);
    assert_eq!(b.metrics.count(Count::PeerFramesReceived), 1);
}

#[test]
fn a_peer_that_restarts_on_its_address_is_reconnected() {
    let a = Node::start(b"secret");
    let b = Node::start(b"secret");
    let addr = b.transport.local_addr();
    a.transport.send(&b.addr(), frame(1, "ikeja"));
    assert_eq!(b.receive().stamp, 1);
    b.transport.stop();
    let (tx, rx) = flume::unbounded();
    let metrics = Arc::new(Metrics::new());
    let restarted = PeerTransport::start(addr, b"secret", tx, metrics).unwrap();
    let start = Instant::now();
    for stamp in 2.. {
        a.transport.send(&addr.to_string(), frame(stamp, "ikeja"));
        if rx.recv_timeout(Duration::from_millis(100)).is_ok() {
            break;
        }
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "the peer was not reached again"
        );
    }
    restarted.stop();
}

#[test]
fn a_half_open_connection_is_replaced() {
    // The listener accepts connections and reads bytes but never answers, so no PING
    // is answered and the transport has to open another connection.
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = unresponsive.local_addr().unwrap().to_string();
    let a = Node::start(b"secret");
    let (tx, rx) = flume::unbounded();
    std::thread::spawn(move || {
        for tcp in unresponsive.incoming().take(2) {
            let mut tcp: TcpStream = tcp.unwrap();
            tx.send(()).unwrap();
            std::thread::spawn(move || {
                let mut buf = [0; 1024];
                while tcp.read(&mut buf).is_ok_and(|read| read > 0) {}
            });
        }
    });
    let start = Instant::now();
    let mut stamp = 0;
    while rx.len() < 2 {
        stamp += 1;
        a.transport.send(&addr, frame(stamp, "ikeja"));
        assert!(start.elapsed() < WAIT_LIMIT, "the connection was kept");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(a.metrics.count(Count::PeerFramesLost) > 0);
}

#[test]
fn frames_for_an_unresponsive_peer_are_dropped_and_counted() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = unresponsive.local_addr().unwrap().to_string();
    let a = Node::start(b"secret");
    let b = Node::start(b"secret");
    for stamp in 1..=2_000 {
        a.transport.send(&addr, frame(stamp, "ikeja"));
    }
    wait_for(|| a.metrics.count(Count::PeerFramesLost) >= 1_900);
    a.transport.send(&b.addr(), frame(2_001, "ikeja"));
    assert_eq!(b.receive().stamp, 2_001);
}

#[test]
fn an_empty_secret_is_refused() {
    assert!(FrameKey::new(b"").is_err());
}

#[test]
fn a_mac_is_valid_for_its_body_only() {
    let key = FrameKey::new(b"secret").unwrap();
    let mac = key.sign(b"body");
    assert!(key.verify(b"body", mac.as_bytes()));
    assert!(!key.verify(b"bodY", mac.as_bytes()));
    assert!(!key.verify(b"body", &mac.as_bytes()[1..]));
    assert!(!key.verify(b"body", b""));
}

#[test]
fn frames_of_an_earlier_boot_are_refused() {
    let mut guard = ReplayGuard::default();
    assert!(guard.accept("ikeja-1", Boot(1), 10));
    assert!(guard.accept("ikeja-1", Boot(2), 1));
    assert!(!guard.accept("ikeja-1", Boot(1), 11));
    assert!(guard.accept("ikeja-1", Boot(2), 2));
}

#[test]
fn frames_out_of_order_are_accepted_within_the_window() {
    let mut guard = ReplayGuard::default();
    let last = u64::try_from(replay::WINDOW_STAMPS).unwrap() + 10;
    for stamp in (2..=last).rev() {
        assert_eq!(
            guard.accept("ikeja-1", Boot(1), stamp),
            stamp > 10,
            "stamp {stamp}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_decoder_accepts_or_rejects_any_bytes_without_panicking(body in prop::collection::vec(any::<u8>(), 0..512)) {
        if let Ok(frame) = PeerFrame::decode(&body) {
            let decoded = PeerFrame::decode(&frame.encode().unwrap()).unwrap();
            prop_assert_eq!(decoded, frame);
        }
    }

    #[test]
    fn a_damaged_frame_is_decoded_safely_or_rejected(at in 0_usize..64, bits in 1_u8.., cut in 0_usize..64) {
        let mut body = frame(1, "ikeja").encode().unwrap();
        let at = at % body.len();
        body[at] ^= bits;
        body.truncate(body.len() - cut % body.len());
        if let Ok(frame) = PeerFrame::decode(&body) {
            prop_assert!(frame.messages.len() <= 1);
        }
    }

    #[test]
    fn a_frame_round_trips_through_its_encoding(stamp in any::<u64>(), domain in ".{0,40}") {
        let sent = frame(stamp, &domain);
        prop_assert_eq!(PeerFrame::decode(&sent.encode().unwrap()).unwrap(), sent);
    }
}

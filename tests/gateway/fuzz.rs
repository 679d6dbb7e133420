//! Any bytes, in any pieces, give an answer or the end of the connection.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use crate::backend::Backend;
use crate::backend::Runs;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Gateway;
use crate::process::call;

/// Connections, each with bytes of its own.
const CASES: usize = 400;
/// Connections at a time.
const CALLERS: usize = 40;
/// Seed of the bytes.
const SEED: u64 = 45;
/// Time within which a connection has to end; longer than the time limits for heads
/// and requests.
const END_LIMIT: Duration = Duration::from_secs(12);

/// Pieces of requests, right and wrong, and bytes that are none.
fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let word = |text: &'static str| Just(text.as_bytes().to_vec());
    let piece = prop_oneof![
        word("POST /once/1 HTTP/1.1\r\n"),
        word("GET /again/1 HTTP/1.1\r\nHost: h.example\r\n"),
        word("GET /skylarkhook/ready HTTP/1.1\r\n\r\n"),
        word("Host: h.example\r\nAuthorization: Token k1\r\n"),
        word("X-Skylarkhook-Request-Id: f\r\nX-Skylarkhook-Deadline-Ms: 500\r\n"),
        word("X-Skylarkhook-Prompt-Prefix: 5c:800,zz:-1,,:\r\n"),
        word("X-Skylarkhook-Token-Count: 99999999999999999999,\r\n"),
        word("Content-Length: 20\r\n"),
        word("Content-Length: -1\r\n"),
        word("Content-Length: 18446744073709551616\r\n"),
        word("Transfer-Encoding: chunked\r\n"),
        word("Expect: 100-continue\r\n"),
        word("\r\n"),
        word("5\r\nhello\r\n"),
        word("ffffffffffffffff\r\n"),
        word("1;a=b;c\r\nx\r\n"),
        word("0\r\nTrailer: x\r\n"),
        word("0\r\n\r\n"),
        (1_usize..3_000).prop_map(|fields| "a:\r\n".repeat(fields).into_bytes()),
        (1_usize..40_000).prop_map(|length| vec![b'x'; length]),
        vec(any::<u8>(), 1..200),
    ];
    vec(piece, 1..12)
}

/// Sends pieces on a connection of their own; returns whether it came to an end.
fn ends(addr: SocketAddr, pieces: &[Vec<u8>]) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, END_LIMIT) else {
        return true;
    };
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(END_LIMIT)).unwrap();
    stream.set_write_timeout(Some(END_LIMIT)).unwrap();
    for piece in pieces {
        if stream.write_all(piece).is_err() {
            break;
        }
        thread::yield_now();
    }
    // The gateway may have closed it already.
    let _ = stream.shutdown(Shutdown::Write);
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => {
                return !matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                );
            }
        }
    }
}

#[test]
fn any_bytes_give_an_answer_or_the_end_of_the_connection() {
    let dir = tempfile::tempdir().unwrap();
    let (store, addr) = Store::start().unwrap();
    let backend = Backend::start("i-1", Runs::default()).unwrap();
    store.put("op/config", configuration(3, &["k1"]).as_bytes());
    store.put("servers/i-1", backend.entry("ready").as_bytes());
    let mut gateway = Gateway::start(dir.path(), "g1", addr);
    gateway.wait_ready();
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    });
    let cases: Vec<Vec<Vec<u8>>> = (0..CASES)
        .map(|_| pieces().new_tree(&mut runner).unwrap().current())
        .collect();
    let addrs = [gateway.callers, gateway.status, gateway.peers];
    let hanging = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (cases, hanging) = (&cases, &hanging);
            scope.spawn(move || {
                for number in (caller..CASES).step_by(CALLERS) {
                    let addr = addrs[number % addrs.len()];
                    if !ends(addr, &cases[number]) {
                        hanging.lock().unwrap().push(number);
                    }
                }
            });
        }
    });
    assert!(gateway.is_running());
    assert_eq!(hanging.into_inner().unwrap(), Vec::<usize>::new());
    let ready = call(gateway.status, "GET", "/skylarkhook/ready", &[], "").unwrap();
    assert_eq!(ready.status, 200);
}

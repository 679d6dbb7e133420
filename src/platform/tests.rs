use std::io::Read;
use std::net::TcpListener;
use std::thread;

use super::*;
use crate::clock::Millis;
use crate::store::KeyVersion;
use crate::store::LeaseId;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;

const TIME_LIMIT: Millis = Millis(1000);
const NOT_RUN: StoreResult = Err(StoreFailure::NotRun { retry_after: None });
const MAY_HAVE_RUN: StoreResult = Err(StoreFailure::MayHaveRun);

/// Starts a server that answers one request with this status, header and body.
/// Returns its address and the request it received (method, URL, body).
fn serve_once(status: u16, header: &str, body: &str) -> (String, thread::JoinHandle<String>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let addr = server.server_addr().to_string();
    let header = header.parse::<tiny_http::Header>().ok();
    let mut response = tiny_http::Response::from_string(body).with_status_code(status);
    if let Some(header) = header {
        response.add_header(header);
    }
    let request_text = thread::spawn(move || {
        let mut request = server.recv().unwrap();
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).unwrap();
        let request_text = format!("{} {} {body}", request.method(), request.url());
        request.respond(response).unwrap();
        request_text
    });
    (addr, request_text)
}

/// Makes one call to such a server; returns the received request and the result.
fn call(op: &StoreOp, status: u16, body: &str) -> (String, StoreResult) {
    let (addr, request_text) = serve_once(status, "Retry-After-Ms: 250", body);
    let result = HttpStore::new(vec![addr], TIME_LIMIT).call(op);
    (request_text.join().unwrap(), result)
}

/// Returns an address without a listener.
fn closed_addr() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Starts a server that accepts one connection, reads once and sends raw bytes.
fn serve_raw_once(answer: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf);
        let _ = std::io::Write::write_all(&mut stream, answer);
    });
    addr
}

fn get() -> StoreOp {
    StoreOp::Get {
        key: "declarations/current".to_owned(),
    }
}

fn swap() -> StoreOp {
    StoreOp::Swap {
        key: "homes/a b?".to_owned(),
        value: b"two".to_vec(),
        version: KeyVersion(7),
        lease: Some(LeaseId("l/1".to_owned())),
    }
}

fn entry(value: &[u8], version: u64) -> StoreEntry {
    StoreEntry {
        value: value.to_vec(),
        version: KeyVersion(version),
    }
}

#[test]
fn reads_and_watches_return_the_entry() {
    let (request_text, result) = call(&get(), 200, r#"{"value":"b25l","version":3}"#);
    assert_eq!(request_text, "GET /v1/kv/declarations/current ");
    assert_eq!(result, Ok(StoreAnswer::Entry(Some(entry(b"one", 3)))));
    let watch = StoreOp::Watch {
        key: "k".to_owned(),
        version: KeyVersion(3),
        wait: Millis(1500),
    };
    let (request_text, result) = call(&watch, 404, "");
    assert_eq!(request_text, "GET /v1/kv/k?wait_ms=1500&version=3 ");
    assert_eq!(result, Ok(StoreAnswer::Entry(None)));
}

#[test]
fn writes_report_whether_they_took_effect() {
    let (request_text, result) = call(&swap(), 200, r#"{"version":8}"#);
    assert_eq!(
        request_text,
        r#"PUT /v1/kv/homes/a%20b%3F?version=7&lease=l%2F1 {"value":"dHdv"}"#
    );
    assert_eq!(result, Ok(StoreAnswer::Written(KeyVersion(8))));
    let (_, result) = call(&swap(), 409, r#"{"value":"b25l","version":9}"#);
    assert_eq!(result, Ok(StoreAnswer::Conflict(Some(entry(b"one", 9)))));
    let (_, result) = call(&swap(), 409, "{}");
    assert_eq!(result, Ok(StoreAnswer::Conflict(None)));
    let (_, result) = call(&swap(), 410, "");
    assert_eq!(result, Ok(StoreAnswer::LeaseGone));
    let delete = StoreOp::Delete {
        key: "k".to_owned(),
        version: KeyVersion(4),
    };
    let (request_text, result) = call(&delete, 200, r#"{"version":5}"#);
    assert_eq!(request_text, "DELETE /v1/kv/k?version=4 ");
    assert_eq!(result, Ok(StoreAnswer::Written(KeyVersion(5))));
}

#[test]
fn leases_are_granted_renewed_and_revoked() {
    let lease = LeaseId("lease-7".to_owned());
    let (request_text, result) = call(
        &StoreOp::Grant { ttl: Millis(5000) },
        200,
        r#"{"lease":"lease-7"}"#,
    );
    assert_eq!(request_text, r#"POST /v1/lease {"ttl_ms":5000}"#);
    assert_eq!(result, Ok(StoreAnswer::Lease(lease.clone())));
    let renew = StoreOp::Renew {
        lease: lease.clone(),
    };
    assert_eq!(call(&renew, 410, "").1, Ok(StoreAnswer::LeaseGone));
    let (request_text, result) = call(
        &StoreOp::Revoke {
            lease: lease.clone(),
        },
        200,
        "{}",
    );
    assert_eq!(request_text, "DELETE /v1/lease/lease-7 ");
    assert_eq!(result, Ok(StoreAnswer::Lease(lease)));
}

#[test]
fn refused_calls_had_no_effect() {
    let refused = Err(StoreFailure::NotRun {
        retry_after: Some(Millis(250)),
    });
    assert_eq!(call(&swap(), 429, "").1, refused);
    assert_eq!(call(&swap(), 503, "").1, refused);
    assert_eq!(
        HttpStore::new(vec![closed_addr()], TIME_LIMIT).call(&swap()),
        NOT_RUN
    );
}

#[test]
fn the_next_address_is_tried_after_a_refused_connection() {
    let (addr, _request) = serve_once(200, "", r#"{"version":8}"#);
    let store = HttpStore::new(vec![closed_addr(), addr], TIME_LIMIT);
    assert_eq!(store.call(&swap()), Ok(StoreAnswer::Written(KeyVersion(8))));
}

#[test]
fn a_write_without_an_answer_may_have_run() {
    let answers: [&'static [u8]; 4] = [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"ver",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"nonsense\r\n\r\n",
    ];
    for answer in answers {
        let store = HttpStore::new(vec![serve_raw_once(answer)], TIME_LIMIT);
        assert_eq!(store.call(&swap()), MAY_HAVE_RUN, "{answer:?}");
        let store = HttpStore::new(vec![serve_raw_once(answer)], TIME_LIMIT);
        assert_eq!(store.call(&get()), NOT_RUN, "{answer:?}");
    }
    assert_eq!(call(&swap(), 500, "").1, MAY_HAVE_RUN);
    assert_eq!(call(&swap(), 404, "").1, MAY_HAVE_RUN);
    assert_eq!(call(&swap(), 200, "[]").1, MAY_HAVE_RUN);
}

#[test]
fn a_call_without_an_answer_ends_at_the_time_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let store = HttpStore::new(vec![addr], TIME_LIMIT);
    assert_eq!(store.call(&swap()), MAY_HAVE_RUN);
}

#[test]
fn the_list_is_parsed_or_an_error() {
    let body = r#"{"instances":[{"name":"e1","role":"engine","domain":"ikeja","addr":"10.0.0.1:1","labels":{"model":"m"}}]}"#;
    let (addr, _request) = serve_once(200, "", body);
    let list = HttpList::new(addr, TIME_LIMIT).fetch().unwrap();
    assert_eq!(list.len(), 1);
    assert_eq!(list[0].labels["model"], "m");
    let (addr, _request) = serve_once(200, "", r#"{"instances":7}"#);
    let failure = HttpList::new(addr, TIME_LIMIT).fetch().unwrap_err();
    assert!(matches!(failure, ListFailure::Malformed(_)), "{failure}");
    let (addr, _request) = serve_once(503, "", "");
    let failure = HttpList::new(addr, TIME_LIMIT).fetch().unwrap_err();
    assert_eq!(failure, ListFailure::Unavailable("status 503".to_owned()));
    let failure = HttpList::new(closed_addr(), TIME_LIMIT)
        .fetch()
        .unwrap_err();
    assert!(matches!(failure, ListFailure::Unavailable(_)), "{failure}");
}

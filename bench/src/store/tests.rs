use std::time::Duration;

use serde_json::Value;

use super::StoreConfig;
use super::StoreFault;
use super::StoreHandle;
use super::StoreState;
use super::Written;
use skylarkhook::clock::Millis;

/// Reason phrase of the status that `minreq` makes up when none came.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

fn start() -> StoreHandle {
    StoreHandle::start(StoreConfig::default()).unwrap()
}

fn call(method: &str, store: &StoreHandle, path: &str, body: &str) -> Option<(u16, Value)> {
    let url = format!("http://{}{path}", store.addr());
    let request = minreq::Request::new(minreq::Method::Custom(method.to_owned()), url)
        .with_header("Connection", "close")
        .with_body(body)
        .with_timeout(5);
    let answer = request.send().ok()?;
    if answer.reason_phrase == NO_STATUS_LINE {
        return None;
    }
    let text = answer.as_str().unwrap();
    let body = serde_json::from_str(text).unwrap_or(Value::Null);
    Some((answer.status_code, body))
}

#[test]
fn create_and_swap_check_the_version() {
    let store = start();
    let (status, made) =
        call("PUT", &store, "/v1/kv/a/b?version=0", r#"{"value":"eA=="}"#).unwrap();
    assert_eq!(status, 200);
    let version = made["version"].as_u64().unwrap();
    let (status, there) =
        call("PUT", &store, "/v1/kv/a/b?version=0", r#"{"value":"eQ=="}"#).unwrap();
    assert_eq!(status, 409);
    assert_eq!(there["value"], "eA==");
    assert_eq!(there["version"], version);
    let path = format!("/v1/kv/a/b?version={version}");
    let (status, _) = call("PUT", &store, &path, r#"{"value":"eQ=="}"#).unwrap();
    assert_eq!(status, 200);
    let (status, gone) = call("PUT", &store, "/v1/kv/none?version=7", r#"{"value":""}"#).unwrap();
    assert_eq!((status, gone), (409, serde_json::json!({})));
}

#[test]
fn keys_and_leases_may_be_percent_encoded() {
    let store = start();
    let (_, granted) = call("POST", &store, "/v1/lease", r#"{"ttl_ms":60000}"#).unwrap();
    let lease = granted["lease"].as_str().unwrap().replace('-', "%2D");
    let path = format!("/v1/kv/a%2Fb?version=0&lease={lease}");
    assert_eq!(
        call("PUT", &store, &path, r#"{"value":""}"#).unwrap().0,
        200
    );
    assert_eq!(call("GET", &store, "/v1/kv/a/b", "").unwrap().0, 200);
    let path = format!("/v1/lease/{lease}");
    assert_eq!(call("POST", &store, &path, "").unwrap().0, 200);
    assert_eq!(call("DELETE", &store, &path, "").unwrap().0, 200);
    assert_eq!(call("GET", &store, "/v1/kv/a/b", "").unwrap().0, 404);
}

#[test]
fn a_lapsed_lease_takes_its_keys_along_and_refuses_writes() {
    let mut state = StoreState::default();
    let lease = state.grant(Millis(0), Millis(100));
    let made = state.put("k", "v".to_owned(), 0, Some(lease.clone()));
    assert_eq!(made, Written::Version(1));
    assert!(state.renew(Millis(90), &lease));
    assert!(!state.lapse(Millis(150)));
    assert!(state.lapse(Millis(190)));
    assert_eq!(state.get("k"), None);
    assert!(!state.renew(Millis(200), &lease));
    let late = state.put("k", "v".to_owned(), 0, Some(lease));
    assert_eq!(late, Written::LeaseGone);
}

#[test]
fn a_write_with_a_lost_answer_took_effect() {
    let store = start();
    store.fault(StoreFault {
        lose_answers: Some(1),
        ..StoreFault::default()
    });
    let lost = call("PUT", &store, "/v1/kv/a?version=0", r#"{"value":"eA=="}"#);
    assert_eq!(lost, None);
    let (status, there) = call("GET", &store, "/v1/kv/a", "").unwrap();
    assert_eq!((status, &there["value"]), (200, &Value::from("eA==")));
}

#[test]
fn a_watch_wakes_on_a_write_and_ends_after_its_time() {
    let store = start();
    let addr = store.addr();
    let watch = std::thread::spawn(move || {
        let url = format!("http://{addr}/v1/kv/a?wait_ms=5000&version=0");
        let answer = minreq::get(url).with_timeout(10).send().unwrap();
        (answer.status_code, answer.as_str().unwrap().to_owned())
    });
    while store.stats().watches_waiting == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    call("PUT", &store, "/v1/kv/a?version=0", r#"{"value":"eA=="}"#).unwrap();
    let (status, text) = watch.join().unwrap();
    assert_eq!(status, 200);
    assert!(text.contains("eA=="));
    let (status, _) = call("GET", &store, "/v1/kv/b?wait_ms=20&version=0", "").unwrap();
    assert_eq!(status, 404);
    assert_eq!(store.stats().watches, 2);
}

#[test]
fn calls_above_the_rate_and_in_an_outage_have_no_effect() {
    let store = StoreHandle::start(StoreConfig {
        writes_per_s: 0,
        ..StoreConfig::default()
    })
    .unwrap();
    let limited = call("PUT", &store, "/v1/kv/b?version=0", r#"{"value":""}"#).unwrap();
    assert_eq!(limited.0, 429);
    assert_eq!(call("GET", &store, "/v1/kv/b", "").unwrap().0, 404);
    store.fault(StoreFault {
        down_ms: Some(Millis(60_000)),
        ..StoreFault::default()
    });
    assert_eq!(call("GET", &store, "/v1/kv/a", "").unwrap().0, 503);
}

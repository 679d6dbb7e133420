use super::ServiceConfig;
use super::ServiceFault;
use super::ServiceHandle;
use skylarkhook::clock::Millis;

fn call(service: &ServiceHandle, key: &str) -> Result<u16, minreq::Error> {
    let url = format!("http://{}/v1/call/callbacks/book", service.addr());
    minreq::post(url)
        .with_header("Idempotency-Key", key)
        .with_body("x")
        .with_timeout(5)
        .send()
        .map(|answer| answer.status_code)
}

#[test]
fn a_lost_answer_ran_and_a_second_call_is_a_double() {
    let service = ServiceHandle::start(ServiceConfig::default()).unwrap();
    service.fault(&ServiceFault {
        lose_answers: Some(1),
        ..ServiceFault::default()
    });
    assert!(call(&service, "k").is_err());
    assert_eq!(call(&service, "k").unwrap(), 200);
    assert_eq!(call(&service, "l").unwrap(), 200);
    assert_eq!(service.runs()["k"], 2);
    let stats = service.stats();
    assert_eq!((stats.ran, stats.doubles, stats.lost), (3, 1, 1));
}

#[test]
fn a_refused_call_did_not_run() {
    let service = ServiceHandle::start(ServiceConfig::default()).unwrap();
    service.fault(&ServiceFault {
        reject: Some(1),
        ..ServiceFault::default()
    });
    assert_eq!(call(&service, "k").unwrap(), 429);
    assert!(service.runs().is_empty());
}

#[test]
fn a_cold_service_falls_over_and_comes_back_on_the_same_address() {
    let cfg = ServiceConfig {
        cold: skylarkhook::declaration::Limits {
            streams: 1,
            ..Default::default()
        },
        work_ms: Millis(100),
        restart_ms: Millis(10),
        ..ServiceConfig::default()
    };
    let service = ServiceHandle::start(cfg).unwrap();
    let failed = std::thread::scope(|scope| {
        let calls = [
            scope.spawn(|| call(&service, "a").is_err()),
            scope.spawn(|| call(&service, "b").is_err()),
        ];
        calls.map(|thread| thread.join().unwrap())
    });
    assert!(failed.contains(&true));
    assert_eq!(service.stats().cold_crashes, 1);
    let back = (0..200).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(5));
        call(&service, "c").is_ok()
    });
    assert!(back);
    assert_eq!(service.stats().boot, 2);
}

//! Commands that are not part of an attempt.

use super::*;

#[test]
fn a_slow_prefill_of_a_gang_is_not_cut_by_the_time_limit_of_other_commands() {
    let cfg = HttpSettings {
        order_timeout_secs: 1,
        ..HttpSettings::default()
    };
    let (addr, _requests) = backend(|_, stream| {
        thread::sleep(Duration::from_millis(1_500));
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"tokens\":10}";
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let work = call(addr, 1, CallStart::Fresh).work;
    let order = BackendOrder::Prefill {
        request: REQUEST,
        epoch: Epoch(3),
        owner: "entry-1".to_owned(),
        priority: 50,
        from_token: 0,
        to_token: 10,
        memory_tokens: 10,
        work,
    };
    let client = HttpBackendClient::new(cfg);
    assert_eq!(
        client.order(&addr.to_string(), &order),
        BackendAnswer::Prefilled {
            request: REQUEST,
            to_token: 10
        }
    );
    let other = client.order(&addr.to_string(), &BackendOrder::Load);
    assert_eq!(other, BackendAnswer::Failed { refused: false });
}

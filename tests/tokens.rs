//! Expected: neither a caller's token nor the operators' one shows in the time
//! line, the status, the metrics or any answer of a whole daemon, and neither
//! listener takes the other's token.

use std::net::SocketAddr;

use skylarkhook::config::Secret;
use skylarkhook::config::Settings;
use skylarkhook::daemon::Daemon;

const CALLER: &str = "callers-token-0123456789";
const OPERATORS: &str = "operators-token-0123456789";

fn start() -> Daemon {
    let any = || "127.0.0.1:0".to_owned();
    // Nobody listens on port 1: the platform is down.
    let down = || "127.0.0.1:1".to_owned();
    let cfg = Settings {
        name: "entry-1".to_owned(),
        domain: "ikeja".to_owned(),
        callers_listen: any(),
        admin_listen: any(),
        peer_listen: any(),
        operators_token: Secret::new(OPERATORS),
        peer_secret: Secret::new("peers-secret-0123456789"),
        store_addresses: vec![down()],
        list_address: down(),
        ..Settings::default()
    };
    assert!(!format!("{cfg:?}").contains(OPERATORS));
    Daemon::start(&cfg).unwrap()
}

fn post(addr: SocketAddr, path: &str, token: &str, body: &str) -> (u16, String) {
    let answer = minreq::post(format!("http://{addr}{path}"))
        .with_header("Authorization", format!("Bearer {token}"))
        .with_body(body)
        .send()
        .unwrap();
    (answer.status_code, answer.as_str().unwrap().to_owned())
}

#[test]
fn tokens_show_nowhere_and_open_only_their_own_listener() {
    let daemon = start();
    let (callers, admin) = (daemon.callers_addr(), daemon.admin_addr());
    let prompt = r#"{"model":"m","prompt":"p"}"#;
    let timeline =
        r#"{"timeline":{"filter":{"request":null,"backend":null,"domain":null},"limit":1000}}"#;
    let mut seen = String::new();
    for token in [CALLER, OPERATORS] {
        let (status, text) = post(callers, "/v1/completions", token, prompt);
        assert!((400..600).contains(&status), "{text}");
        seen.push_str(&text);
    }
    let (status, text) = post(admin, "/v1/admin", CALLER, "\"status\"");
    assert_eq!(status, 401);
    seen.push_str(&text);
    for query in ["\"status\"", timeline] {
        let (status, text) = post(admin, "/v1/admin", OPERATORS, query);
        assert_eq!(status, 200, "{text}");
        seen.push_str(&text);
    }
    assert!(
        seen.contains("refused"),
        "the time line has the refusals: {seen}"
    );
    seen.push_str(&daemon.metrics().encode().unwrap());
    for token in [CALLER, OPERATORS] {
        assert!(!seen.contains(token), "{seen}");
    }
    daemon.stop();
}

use ini::Ini;

use super::Set;
use super::ini::parse;

const FILE: &str = "
[store]
writes_per_s = 300
[list]
lag_ms = 0
[entry ikeja-a]
domain = ikeja
addr = 127.0.0.1:1
peer_addr = 127.0.0.1:2
[engine ikeja-1]
domain = ikeja
models = callback-7b, callback-70b
warm.streams = 8
cold.streams = 2
[service callbacks-1]
domain = ikeja
services = callbacks
";

#[test]
fn a_set_starts_from_its_file_and_lists_its_instances() {
    let cfg = parse(&Ini::load_from_str(FILE).unwrap()).unwrap();
    assert_eq!(cfg.store.writes_per_s, 300);
    assert_eq!(cfg.engines[0].warm.streams, 8);
    let set = Set::start(cfg).unwrap();
    let url = format!("http://{}/v1/instances", set.list.addr());
    let answer = minreq::get(url).with_timeout(5).send().unwrap();
    let text = answer.as_str().unwrap();
    for part in ["ikeja-a", "callback-7b,callback-70b", "callbacks-1"] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[test]
fn an_unknown_key_is_named_with_its_section() {
    let file = FILE.replace("writes_per_s", "write_rate");
    let error = parse(&Ini::load_from_str(&file).unwrap()).unwrap_err();
    let text = error.to_string();
    assert!(
        text.contains("[store]") && text.contains("write_rate"),
        "{text}"
    );
}

//! Measures what one change of the declarations costs at full size: 2,600
//! workspaces, 1,300 backend servers with labels laid over, 23 failure domains.
//!
//! `cargo run --release --example declarations`

use std::time::Duration;
use std::time::Instant;

use skylarkhook::declaration;
use skylarkhook::declaration::merge;
use skylarkhook::spread::Body;
use skylarkhook::spread::Head;
use skylarkhook::spread::MAX_LISTED_REVISIONS;
use skylarkhook::spread::Message;
use skylarkhook::spread::RevisionInfo;
use skylarkhook::spread::Splice;

const WORKSPACES: usize = 2600;
const BACKENDS: usize = 1300;
const DOMAINS: usize = 23;
const RUNS: u32 = 20;

fn main() {
    let old = document("a");
    let new = document("b");
    println!("text: {} bytes", old.len());
    let base = declaration::read(&old).expect("readable");
    let theirs = declaration::read(&new).expect("readable");
    show("read a text (each instance, each change)", || {
        declaration::read(&new).is_ok()
    });
    show("read and check (the instance that applies)", || {
        declaration::parse("f", &new).is_ok()
    });
    show("merge two changes (only when operators race)", || {
        merge(&base, (&old, &base), &theirs).is_ok()
    });
    show("difference of two texts (each answer to a peer)", || {
        Splice::between(&old, &new).is_some()
    });
    let splice = Splice::between(&old, &new).expect("short");
    let head = head(&splice);
    println!("head: {} bytes in the store", head.encode().len());
    let body = Body::Splice(splice);
    let message = Message::Newest {
        head: Box::new(head),
        body,
    };
    let frame = bincode::serde::encode_to_vec(&message, bincode::config::standard());
    println!(
        "answer to a peer: {} bytes",
        frame.map_or(0, |frame| frame.len())
    );
}

/// Prints the mean time of a call.
fn show(what: &str, call: impl Fn() -> bool) {
    let start = Instant::now();
    let done = (0..RUNS).all(|_| call());
    let mean: Duration = start.elapsed() / RUNS;
    println!("{what}: {mean:?}, ok: {done}");
}

fn head(splice: &Splice) -> Head {
    let info = |number: usize| RevisionInfo {
        change: format!("{number:016x}"),
        author: "operator".to_owned(),
        ..RevisionInfo::default()
    };
    Head {
        newest: info(0),
        splice: Some(splice.clone()),
        older: (1..MAX_LISTED_REVISIONS).map(info).collect(),
    }
}

/// Returns a document in which one label of one backend server is `value`.
fn document(value: &str) -> String {
    let mut text = String::new();
    for i in 0..DOMAINS {
        text += &format!(
            "[[domain]]\nname = \"domain-{i}\"\nregion = \"region-{}\"\n\n",
            i % 7
        );
    }
    for i in 0..BACKENDS {
        let value = if i == BACKENDS / 2 { value } else { "x" };
        text +=
            &format!("[[backend]]\nname = \"engine-{i}\"\nlabels = {{ tier = \"{value}\" }}\n\n");
    }
    for i in 0..WORKSPACES {
        text +=
            &format!("[[workspace]]\nname = \"workspace-{i}\"\ntoken_sha256 = \"{i:064x}\"\n\n");
    }
    text
}

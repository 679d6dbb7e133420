//! Expected: a stand-in reads every connection of a burst, though none of them
//! ends.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use skylarkhook_bench::site::Site;

const CONNECTIONS: usize = 100;
const LONG: Duration = Duration::from_secs(30);

#[test]
fn a_burst_of_connections_is_read_though_none_of_them_ends() {
    let (tx, held) = flume::unbounded();
    let site = Site::start("127.0.0.1:0", move |request| {
        let _ = tx.send(request);
    })
    .expect("a site");
    let burst: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect(site.addr()).expect("a connection"))
        .collect();
    for mut stream in &burst {
        stream
            .write_all(b"GET / HTTP/1.1\r\n\r\n")
            .expect("a request");
    }
    let open: Vec<_> = burst
        .iter()
        .map_while(|_| held.recv_timeout(LONG).ok())
        .collect();
    assert_eq!(open.len(), CONNECTIONS);
}

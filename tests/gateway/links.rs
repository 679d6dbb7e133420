//! Links between gateway processes and stand-ins of backend servers. A link is
//! cut at the server: it recognizes the gateway by the socket at the other end of
//! the connection.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// Interval at which the end of a silent link's cut is looked for.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

// Constants of `sock_diag(7)` on Linux.
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
const DIAG_REQUEST_BYTES: u32 = 72;
/// Position of a socket's inode in the answer.
const INODE_AT: usize = 84;

/// How a link is cut. A link that drops packets cannot be played without the
/// means of an administrator; the simulated fleet does that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Open connections go on, new ones are reset.
    RefuseNew,
    /// Open connections stay open and nothing more arrives on them, and so do new
    /// ones.
    Silent,
}

type OnCut = Box<dyn Fn(u32, Cut) + Send>;

/// The links of all gateways to all servers.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// Cut gateways, by process id.
    cuts: HashMap<u32, Cut>,
    /// Gateways whose connections are told apart.
    known: Vec<u32>,
    on_cut: Vec<OnCut>,
}

impl Links {
    /// Calls `on_cut` with the process and the cut whenever a link is cut.
    pub fn on_cut(&self, on_cut: impl Fn(u32, Cut) + Send + 'static) {
        self.0.lock().unwrap().on_cut.push(Box::new(on_cut));
    }

    /// Lets connections of a gateway be told apart from now on.
    pub fn add(&self, process: u32) {
        self.0.lock().unwrap().known.push(process);
    }

    /// Cuts a gateway off from all servers.
    pub fn cut(&self, process: u32, cut: Cut) {
        let mut state = self.0.lock().unwrap();
        state.cuts.insert(process, cut);
        for on_cut in &state.on_cut {
            on_cut(process, cut);
        }
    }

    /// Ends a cut.
    pub fn heal(&self, process: u32) {
        self.0.lock().unwrap().cuts.remove(&process);
    }

    /// Returns how a gateway is cut off, if it is.
    pub fn cut_of(&self, process: u32) -> Option<Cut> {
        self.0.lock().unwrap().cuts.get(&process).copied()
    }

    /// Waits until the links of a gateway are not silent. Returns whether they
    /// were.
    pub fn wait_while_silent(&self, process: u32) -> bool {
        let mut was_silent = false;
        while self.cut_of(process) == Some(Cut::Silent) {
            was_silent = true;
            thread::sleep(SILENCE_CHECK_INTERVAL);
        }
        was_silent
    }

    /// Returns the known gateway that holds the socket of a connection from
    /// `caller` to `server`.
    pub fn owner(&self, caller: SocketAddr, server: SocketAddr) -> Option<u32> {
        let known = self.0.lock().unwrap().known.clone();
        if known.is_empty() {
            return None;
        }
        // The gateway may have closed the connection.
        let socket = format!("socket:[{}]", inode(caller, server).ok()?);
        known.into_iter().find(|process| {
            let files = fs::read_dir(format!("/proc/{process}/fd"));
            let mut files = files.into_iter().flatten().map_while(Result::ok);
            files.any(|file| {
                fs::read_link(file.path()).is_ok_and(|target| target.as_os_str() == &*socket)
            })
        })
    }
}

/// Returns the inode of the TCP socket at `local` that is connected to `remote`. The
/// system gives one port to several connections if their targets differ.
///
/// Asks the system for this socket alone (`sock_diag(7)`): its table of all sockets
/// takes seconds to read while there are thousands and other tests read it, too.
fn inode(local: SocketAddr, remote: SocketAddr) -> io::Result<u32> {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut request = Vec::new();
    // Length, type, flags, sequence number and port of the message.
    request.extend(DIAG_REQUEST_BYTES.to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    request.extend([0; 8]);
    // Family, protocol, no extensions, padding, all states.
    request.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for addr in [local, remote] {
        request.extend(addr.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface, no cookie.
    request.extend(0_u32.to_ne_bytes());
    request.extend([0xff; 8]);
    let kind = Some(Protocol::from(NETLINK_SOCK_DIAG));
    let mut socket = Socket::new(Domain::from(AF_NETLINK), Type::RAW, kind)?;
    socket.write_all(&request)?;
    let mut answer = [0; 4_096];
    let length = socket.read(&mut answer)?;
    let word = |at: usize| answer[..length].get(at..at + 4);
    let is_found = answer[4..6] == SOCK_DIAG_BY_FAMILY.to_ne_bytes();
    match word(INODE_AT) {
        Some(inode) if is_found => Ok(u32::from_ne_bytes(inode.try_into().unwrap())),
        _ => Err(io::ErrorKind::NotFound.into()),
    }
}

#[test]
fn the_socket_of_a_connection_is_found_and_no_other() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    let caller = TcpStream::connect(server).unwrap();
    let addr = caller.local_addr().unwrap();
    let target = fs::read_link(format!("/proc/self/fd/{}", caller.as_raw_fd())).unwrap();
    let expected = format!("socket:[{}]", inode(addr, server).unwrap());
    assert_eq!(target.as_os_str(), &*expected);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    assert!(inode(addr, nowhere).is_err());
}

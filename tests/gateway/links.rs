//! Links between gateway processes and stand-ins of backend servers. A link is
//! cut at the server: it recognizes the gateway by the socket at the other end of
//! the connection.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Interval at which the end of a silent link's cut is looked for.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

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
        let socket = format!("socket:[{}]", inode(caller, server)?);
        known.into_iter().find(|process| {
            let files = fs::read_dir(format!("/proc/{process}/fd"));
            let mut files = files.into_iter().flatten().map_while(Result::ok);
            files.any(|file| {
                fs::read_link(file.path()).is_ok_and(|target| target.as_os_str() == &*socket)
            })
        })
    }
}

/// Returns the inode of the IPv4 socket that connects two loopback addresses. The
/// system gives one port to several connections if their targets differ.
fn inode(local: SocketAddr, remote: SocketAddr) -> Option<u64> {
    let column = |addr: SocketAddr| format!("0100007F:{:04X}", addr.port());
    let (local, remote) = (column(local), column(remote));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode = fields.get(9)?.parse().ok()?;
        let is_found = fields.get(1) == Some(&&*local) && fields.get(2) == Some(&&*remote);
        (is_found && inode > 0).then_some(inode)
    })
}

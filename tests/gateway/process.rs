//! Gateways as real processes, and callers that use them.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::ledger::Exit;

/// Longest time for a process to become ready; far more than it takes.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time after the end of a connection in which its reset is seen.
const RESET_TIME: Duration = Duration::from_millis(10);
/// Longest time that a caller waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// A gateway process.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    pub status: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Returns the path of the program of this build.
pub fn this_program() -> PathBuf {
    env!("CARGO_BIN_EXE_skylarkhookd").into()
}

impl Gateway {
    pub fn start(dir: &Path, name: &str, store: SocketAddr) -> Gateway {
        Gateway::start_program(&this_program(), dir, name, store)
    }

    /// Starts a program of another build, too.
    pub fn start_program(program: &Path, dir: &Path, name: &str, store: SocketAddr) -> Gateway {
        Gateway::start_with(program, dir, name, store, "")
    }

    /// Starts a program with further settings of the gateway.
    pub fn start_with(
        program: &Path,
        dir: &Path,
        name: &str,
        store: SocketAddr,
        further: &str,
    ) -> Gateway {
        let file = dir.join(format!("{name}.ini"));
        let settings = format!(
            "[instance]\nname = {name}\ndomain = a\n[gateway]\nlisten = 127.0.0.1:0\n\
             status_listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\nstore = {store}\n\
             {further}[shutdown]\ntime_limit = 8 s\n[log]\nformat = json\n"
        );
        fs::write(&file, settings).unwrap();
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (kept, out) = (Arc::clone(&lines), child.stdout.take().unwrap());
        let mut file = std::env::var("GATEWAY_LOGS").ok().map(|dir| {
            let file = format!("{name}-{}.log", child.id());
            fs::File::create(Path::new(&dir).join(file)).unwrap()
        });
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if let Some(file) = &mut file {
                    writeln!(file, "{line}").unwrap();
                }
                kept.lock().unwrap().push(line);
            }
        });
        let mut gateway = Gateway {
            child,
            callers: ([127, 0, 0, 1], 0).into(),
            status: ([127, 0, 0, 1], 0).into(),
            peers: ([127, 0, 0, 1], 0).into(),
            lines,
        };
        let listens = gateway.wait_line("gateway listens");
        gateway.callers = listens["callers"].as_str().unwrap().parse().unwrap();
        gateway.status = listens["status"].as_str().unwrap().parse().unwrap();
        gateway.peers = listens["peers"].as_str().unwrap().parse().unwrap();
        gateway
    }

    /// Waits for a log line and returns its fields.
    pub fn wait_line(&self, message: &str) -> serde_json::Value {
        self.wait_for(message, |_| true)
    }

    /// Waits for a log line in which a field holds `value`.
    pub fn wait_line_with(
        &self,
        message: &str,
        field: &str,
        value: impl Into<serde_json::Value>,
    ) -> serde_json::Value {
        let value = value.into();
        self.wait_for(message, |fields| fields[field] == value)
    }

    fn wait_for(
        &self,
        message: &str,
        fits: impl Fn(&serde_json::Value) -> bool,
    ) -> serde_json::Value {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if let Some(fields) = self.find_line(message, &fits) {
                return fields;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("no line `{message}` in {:#?}", self.lines.lock().unwrap());
    }

    fn find_line(
        &self,
        message: &str,
        fits: impl Fn(&serde_json::Value) -> bool,
    ) -> Option<serde_json::Value> {
        self.lines.lock().unwrap().iter().find_map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).ok()?;
            (line["message"] == message && fits(&line["kvs"])).then(|| line["kvs"].clone())
        })
    }

    /// Returns whether a line has been logged.
    pub fn has_line(&self, message: &str) -> bool {
        self.find_line(message, |_| true).is_some()
    }

    /// Returns the log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            let answer = call(self.status, "GET", "/skylarkhook/ready", &[], "");
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("not ready: {:#?}", self.lines.lock().unwrap());
    }

    /// Waits until a gauge has this value.
    pub fn wait_metric(&self, name: &str, value: usize) {
        let line = format!("{name} {value}");
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            let answer = call(self.status, "GET", "/metrics", &[], "");
            if answer.is_ok_and(|answer| answer.body.lines().any(|found| found == line)) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("{name} is not {value}");
    }

    /// Returns the most memory that the process has used.
    pub fn peak_memory_bytes(&self) -> u64 {
        self.memory_bytes("VmHWM:")
    }

    /// Returns the memory that the process uses now.
    pub fn resident_bytes(&self) -> u64 {
        self.memory_bytes("VmRSS:")
    }

    fn memory_bytes(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
        kilobytes.map(|kilobytes: u64| kilobytes * 1024).unwrap()
    }

    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.process_id()).unwrap());
        kill(pid, signal).unwrap();
    }

    /// Returns how the process ended, if it has. It is killed if it runs longer than
    /// to a time.
    pub fn exit_by(&mut self, limit: Instant) -> Option<Exit> {
        match self.child.try_wait().unwrap() {
            Some(status) => Some(Exit {
                overdue: false,
                code: status.code(),
            }),
            None if Instant::now() >= limit => {
                self.child.kill().unwrap();
                self.child.wait().unwrap();
                Some(Exit {
                    overdue: true,
                    code: None,
                })
            }
            None => None,
        }
    }

    /// Waits for the process's end and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Ends only the process that was started here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a caller got.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body came to its end.
    pub whole: bool,
}

/// Makes a call on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    raw(addr, &text)
}

/// Sends bytes as they are and reads the answer to its end.
pub fn raw(addr: SocketAddr, text: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, ANSWER_LIMIT)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    stream.write_all(text.as_bytes())?;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    if bytes.is_empty() {
        read?;
    }
    parse(&String::from_utf8_lossy(&bytes))
}

fn parse(text: &str) -> io::Result<Answer> {
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let lower = head.to_ascii_lowercase();
    let (body, whole) = match lower.contains("transfer-encoding: chunked") {
        true => unchunk(body),
        false => {
            let length = lower
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.lines().next())
                .and_then(|length| length.trim().parse::<usize>().ok());
            (
                body.to_owned(),
                length.is_none_or(|length| length == body.len()),
            )
        }
    };
    Ok(Answer {
        status,
        head: head.to_owned(),
        body,
        whole,
    })
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        if after.len() < size + 2 {
            break;
        }
        body += &after[..size];
        rest = &after[size + 2..];
    }
    (body, false)
}

/// A caller's connection that is used for several requests.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&addr, ANSWER_LIMIT)?;
        stream.set_read_timeout(Some(ANSWER_LIMIT))?;
        Ok(Connection {
            stream: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes())
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Returns whether a connection that has ended was reset, as it is when bytes
    /// arrive that its other end has not read.
    pub fn is_reset(&self) -> bool {
        thread::sleep(RESET_TIME);
        !matches!(self.stream.get_ref().take_error(), Ok(None))
    }

    /// Reads one answer up to the end of its body.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let mut text = String::new();
        while !text.ends_with("\r\n\r\n") {
            self.read_line(&mut text)?;
        }
        let lower = text.to_ascii_lowercase();
        if lower.contains("transfer-encoding: chunked") {
            while !text.ends_with("\r\n0\r\n\r\n") {
                self.read_line(&mut text)?;
            }
        } else if let Some(length) = lower.split("content-length: ").nth(1) {
            let length = length.lines().next().and_then(|n| n.trim().parse().ok());
            let mut body = vec![0; length.ok_or(io::ErrorKind::InvalidData)?];
            self.stream.read_exact(&mut body)?;
            text += &String::from_utf8_lossy(&body);
        }
        parse(&text)
    }

    /// Waits until the gateway closes the connection.
    pub fn wait_closed(&mut self) -> io::Result<()> {
        match self.stream.read(&mut [0]) {
            Ok(0) => Ok(()),
            Ok(_) => Err(io::ErrorKind::InvalidData.into()),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(()),
            Err(error) => Err(error),
        }
    }

    pub fn read_line(&mut self, text: &mut String) -> io::Result<()> {
        match self.stream.read_line(text)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

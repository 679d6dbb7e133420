"""Stand-ins for the third review: the platform's store, backend servers, callers.

Everything listens on 127.0.0.1 at free ports. The store keeps its items, history and
leases in memory and answers as the platform's page says. Each gateway reaches it at a
port of its own, so that a case can turn one gateway away and serve the others.
"""

import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "skylarkhookd")
HEARTBEAT_S = 1.2

started = time.monotonic()
record_lock = threading.Lock()
record_file = None


def now():
    return time.monotonic() - started


def open_record(folder):
    global record_file
    record_file = open(os.path.join(folder, "record.txt"), "w", buffering=1)


def note(text):
    with record_lock:
        if record_file:
            record_file.write("%9.3f %s\n" % (now(), text))


def listener():
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    s.listen(512)
    return s


def free_port():
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    port = s.getsockname()[1]
    s.close()
    return port


def reset(sock):
    """Closes a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    except OSError:
        pass


class Reader:
    """Reads HTTP messages from a connection."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buf += data

    def until(self, end):
        while end not in self.buf:
            self.more()
        head, self.buf = self.buf.split(end, 1)
        return head

    def exactly(self, n):
        while len(self.buf) < n:
            self.more()
        data, self.buf = self.buf[:n], self.buf[n:]
        return data

    def head(self):
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            parts = []
            while True:
                size = int(self.until(b"\r\n").split(b";")[0], 16)
                data = self.exactly(size)
                self.until(b"\r\n")
                if size == 0:
                    return b"".join(parts)
                parts.append(data)
        return self.exactly(int(headers.get("content-length", "0")))


def serve(sock, handle):
    """Accepts connections and handles each in a thread."""

    def accept():
        while True:
            try:
                conn, _ = sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(conn,), daemon=True).start()

    def run(conn):
        try:
            handle(conn)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            try:
                conn.close()
            except OSError:
                pass

    threading.Thread(target=accept, daemon=True).start()


class Store:
    """The platform's store."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rev = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value, lease=0):
        with self.lock:
            return self._put(key, value, lease)

    def _put(self, key, value, lease):
        self.rev += 1
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((self.rev, item))
        self.lock.notify_all()
        return self.rev

    def remove(self, key):
        with self.lock:
            return self._remove(key)

    def _remove(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.history.append((self.rev, {"key": key, "revision": self.rev, "deleted": True}))
            self.lock.notify_all()
        return self.rev

    def _expire(self):
        while True:
            time.sleep(0.05)
            with self.lock:
                for lease, until in list(self.leases.items()):
                    if time.monotonic() >= until[0]:
                        self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self._remove(key)

    def call(self, method, target, body, alive):
        """Answers a call: status and body. `alive` tells whether the caller is there."""
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path
        if method == "GET" and path == "/skylarkhook/kv-range":
            with self.lock:
                keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
                keys = [k for k in keys if k > query.get("after", "")]
                page = [self.items[k] for k in keys[:500]]
                return 200, {"items": page, "hasMore": len(keys) > 500, "currentRev": self.rev}
        if method == "GET" and path == "/skylarkhook/kv-key":
            with self.lock:
                item = self.items.get(query.get("key", ""))
                if item is None:
                    return 404, {"currentRev": self.rev}
                return 200, dict(item, currentRev=self.rev)
        if method == "GET" and path == "/skylarkhook/kv-watch":
            after, prefix = int(query["after"]), query.get("prefix", "")
            until = time.monotonic() + int(query["waitMs"]) / 1000
            with self.lock:
                while True:
                    events = [
                        i for r, i in self.history if r > after and i["key"].startswith(prefix)
                    ]
                    left = until - time.monotonic()
                    if events or left <= 0 or not alive():
                        return 200, {"events": events, "currentRev": self.rev}
                    self.lock.wait(min(left, 0.1))
        if method == "POST" and path == "/skylarkhook/kv-txn":
            call = json.loads(body)
            with self.lock:
                rows = call.get("expected", [])
                current = [self.items.get(r["key"], {"key": r["key"], "revision": 0}) for r in rows]
                if any(c["revision"] != r["revision"] for c, r in zip(current, rows)):
                    return 412, {"items": current}
                for put in call.get("puts", []):
                    if put.get("lease") and put["lease"] not in self.leases:
                        return 404, {}
                for put in call.get("puts", []):
                    self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
                for key in call.get("remove", []):
                    self._remove(key)
                return 200, {"revision": self.rev}
        if method == "POST" and path == "/skylarkhook/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            with self.lock:
                self.next_lease += 1
                self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl]
                return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if method == "POST" and path.startswith("/skylarkhook/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            with self.lock:
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease][0] = time.monotonic() + self.leases[lease][1] / 1000
                return 200, {"lease": lease, "ttlMs": self.leases[lease][1]}
        if method == "DELETE" and path.startswith("/skylarkhook/kv-lease-end/"):
            with self.lock:
                self._end(int(path.rsplit("/", 1)[1]))
                return 200, {}
        return 400, {}


class StoreAccess:
    """The store as one gateway reaches it. `mode` says what its calls get: `serve`,
    `busy` (503) or `silent` (no response, and nothing more on that connection)."""

    def __init__(self, store):
        self.store = store
        self.mode = "serve"
        # Time for which each call waits on its way.
        self.delay_s = 0
        # Replaces the address in an instance's entry by that of its proxy.
        self.proxied = lambda text: text
        self.calls = []
        self.open = set()
        self.waiting = set()
        self.sock = listener()
        self.port = self.sock.getsockname()[1]
        serve(self.sock, self._handle)

    def turn_away(self, mode):
        """Turns the gateway away from now on; calls that wait are cut."""
        self.mode = mode
        for conn in list(self.open):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _with_proxies(self, body):
        call = json.loads(body)
        for put in call.get("puts", []):
            value = base64.b64decode(put["value"]).decode()
            put["value"] = base64.b64encode(self.proxied(value).encode()).decode()
        return json.dumps(call)

    def cut_watches(self):
        """Cuts the watches that wait."""
        for conn in list(self.waiting):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _handle(self, conn):
        self.open.add(conn)
        reader = Reader(conn)
        try:
            while True:
                line, headers = reader.head()
                body = reader.body(headers)
                method, target, _ = line.split(" ")
                if self.delay_s:
                    time.sleep(self.delay_s)
                self.calls.append((now(), method, target))
                if target.startswith("/skylarkhook/kv-txn"):
                    body = self._with_proxies(body)
                mode = self.mode
                if callable(mode):
                    mode = mode(method, target)
                if mode == "silent":
                    while True:
                        reader.more()
                if mode == "busy":
                    status, answer = 503, {}
                else:
                    if "/kv-watch?" in target:
                        self.waiting.add(conn)
                    status, answer = self.store.call(method, target, body, lambda: conn in self.open)
                    self.waiting.discard(conn)
                text = json.dumps(answer).encode()
                conn.sendall(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
        finally:
            self.open.discard(conn)
            self.waiting.discard(conn)


class Server:
    """A backend server. `answer(server, conn, request)` may answer otherwise."""

    def __init__(self, store, id, service, zone, work_s=0.01, slots=16, answer=None):
        self.store, self.id, self.service, self.zone = store, id, service, zone
        self.work_s, self.slots, self.answer = work_s, slots, answer
        self.state, self.sequence, self.listed = "ready", 0, True
        self.born = int(time.time() * 1000)
        self.runs = []
        self.runs_lock = threading.Lock()
        self.open = set()
        self.sock = listener()
        self.addr = "127.0.0.1:%d" % self.sock.getsockname()[1]
        serve(self.sock, self._handle)
        self.write()
        threading.Thread(target=self._beat, daemon=True).start()

    def write(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.addr,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return self.store.put("servers/" + self.id, json.dumps(entry).encode())

    def drain(self):
        self.state = "draining"
        return self.write()

    def _beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            if not self.listed:
                return
            self.write()

    def exit(self):
        """Ends as a process does: nobody listens, and connections are reset."""
        self.listed = False
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in list(self.open):
            reset(conn)

    def _handle(self, conn):
        self.open.add(conn)
        try:
            self._serve(conn)
        finally:
            self.open.discard(conn)

    def _serve(self, conn):
        reader = Reader(conn)
        while True:
            line, headers = reader.head()
            method, target, _ = line.split(" ")
            if method == "GET" and target == "/health":
                reader.body(headers)
                conn.sendall(
                    b"HTTP/1.1 200 OK\r\nX-Skylarkhook-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                    % self.id.encode()
                )
                continue
            request = {
                "method": method,
                "target": target,
                "headers": headers,
                "id": headers.get("x-skylarkhook-request-id", ""),
                "at": now(),
                "reader": reader,
            }
            if headers.get("x-skylarkhook-expect-instance") not in (None, self.id):
                reader.body(headers)
                conn.sendall(
                    b"HTTP/1.1 421 x\r\nX-Skylarkhook-Request-Id: %s\r\nX-Skylarkhook-Not-Run: 1\r\n"
                    b"Content-Length: 0\r\n\r\n" % request["id"].encode()
                )
                continue
            if self.answer:
                if self.answer(self, conn, request) == "close":
                    return
                continue
            request["body"] = reader.body(headers)
            self.run(request)
            time.sleep(self.work_s)
            self.reply(conn, request, b"done by " + self.id.encode())

    def run(self, request):
        """Records that the server runs a request."""
        with self.runs_lock:
            self.runs.append((now(), request["id"], request))
        note("run id=%s server=%s service=%s" % (request["id"], self.id, self.service))

    def stamp(self, request):
        return "X-Skylarkhook-Request-Id: %s\r\nX-Skylarkhook-Server-Stamp: %s.%s\r\n" % (
            request["id"],
            self.id,
            request["id"],
        )

    def reply(self, conn, request, body, status=200, more=""):
        head = "HTTP/1.1 %d x\r\n%s%sContent-Length: %d\r\n\r\n" % (
            status,
            self.stamp(request),
            more,
            len(body),
        )
        conn.sendall(head.encode() + body)


SETTINGS = """\
[instance]
name = {name}
domain = {zone}

[gateway]
listen = 127.0.0.1:{callers}
status_listen = 127.0.0.1:{status}
metrics_listen = 127.0.0.1:{metrics}
peer_listen = 127.0.0.1:{peers}
store = 127.0.0.1:{store}
call_placement = learned_cost
revoke_limit = 5000 ms
config_limit = 2000 ms
retry_ratio = 0.2
retry_extra = 100
server_write_interval = 1200 ms
memory_limit = 260 MiB
max_descriptors = 4100
memory_free_limit = 4000 ms

[shutdown]
time_limit = 8 s

[log]
format = json
"""


class Gateway:
    """A gateway process with the settings that the platform renders."""

    all = []

    def __init__(self, folder, name, zone, store_port, starts=True):
        self.name, self.folder = name, folder
        self.callers, self.status = free_port(), free_port()
        self.peers = free_port()
        ports = {"metrics": free_port(), "peers": self.peers}
        self.file = os.path.join(folder, name + ".ini")
        with open(self.file, "w") as f:
            f.write(
                SETTINGS.format(
                    name=name, zone=zone, callers=self.callers, status=self.status,
                    store=store_port, **ports
                )
            )
        self.process = None
        Gateway.all.append(self)
        if starts:
            self.start()

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", self.file], stdout=log, stderr=log, cwd=ROOT
        )

    def is_ready(self):
        try:
            status, _, _ = call(self.status, "GET", "/skylarkhook/ready", {}, timeout=1)
            return status == 200
        except OSError:
            return False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill_for(self, dark_s):
        """Kills the process; the platform starts it again after that time."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        threading.Timer(dark_s, self.start).start()

    def end(self):
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


class DatagramLinks:
    """Proxies for the datagrams between gateways: others reach each gateway at its
    proxy. `delay_s[name]` delays what that gateway sends."""

    def __init__(self, gateways):
        self.delay_s = {}
        self.senders = {g.peers: g.name for g in gateways}
        self.proxies = {}
        for gateway in gateways:
            while True:
                proxy = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                proxy.bind(("127.0.0.1", 0))
                if len(str(proxy.getsockname()[1])) == len(str(gateway.peers)):
                    break
            self.proxies[gateway.name] = proxy
        self.names = [
            (
                "127.0.0.1:%d" % gateway.peers,
                "127.0.0.1:%d" % self.proxies[gateway.name].getsockname()[1],
            )
            for gateway in gateways
        ]
        for gateway in gateways:
            args = (self.proxies[gateway.name], ("127.0.0.1", gateway.peers))
            threading.Thread(target=self._forward, args=args, daemon=True).start()

    def rewrite(self, text):
        for real, proxy in self.names:
            text = text.replace(real, proxy)
        return text

    def _forward(self, proxy, target):
        while True:
            data, source = proxy.recvfrom(65536)
            for real, name in self.names:
                data = data.replace(real.encode(), name.encode())
            delay = self.delay_s.get(self.senders.get(source[1]), 0)
            if delay:
                threading.Timer(delay, proxy.sendto, (data, target)).start()
            else:
                proxy.sendto(data, target)


def end_all():
    for gateway in Gateway.all:
        gateway.end()


def wait_ready(gateways, limit=15):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if all(g.is_ready() for g in gateways):
            return True
        time.sleep(0.05)
    return False


def call(port, method, target, headers, body=b"", timeout=10, sock=None):
    """Makes a call; returns status, headers and body. Raises OSError if the
    connection ends without a complete answer."""
    own = sock is None
    if own:
        sock = socket.create_connection(("127.0.0.1", port), timeout=1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(timeout)
    try:
        lines = ["%s %s HTTP/1.1" % (method, target)]
        if "Host" not in headers:
            headers = dict(headers, Host="app.example")
        lines += ["%s: %s" % pair for pair in headers.items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        reader = Reader(sock)
        try:
            line, answer = reader.head()
            while line.split(" ")[1].startswith("1"):
                line, answer = reader.head()
            return int(line.split(" ")[1]), answer, reader.body(answer)
        except EOFError:
            raise OSError("connection ended without a complete answer") from None
    finally:
        if own:
            sock.close()


def config(version, routes, services, tenants=None):
    """Returns the bytes of a configuration. `routes`: rows of name, prefix, type,
    service, timeout and target in ms, further fields."""
    document = {
        "version": version,
        "routes": [
            dict(
                {
                    "name": name,
                    "host": "app.example",
                    "prefix": prefix,
                    "routeType": kind,
                    "timeoutMs": timeout,
                    "targetLatencyMs": target,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                    "anonymous": False,
                },
                **more,
            )
            for name, prefix, kind, service, timeout, target, more in routes
        ],
        "services": [
            {
                "name": name,
                "healthCheck": "/health",
                "maxConnections": 96,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 0.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    if tenants is not None:
        document["tenants"] = [
            {"name": name, "apiKeys": keys, "priority": 1} for name, keys in tenants
        ]
    return json.dumps(document).encode()


def main(case):
    """Runs a case: `case(folder, trouble)` returns the violations. Exit codes: 1 the
    rule was broken, 0 it held, 2 the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    open_record(os.path.dirname(os.path.abspath(sys.argv[0])))
    threading.excepthook = lambda args: None
    code = 2
    keep = os.environ.get("KEEP")
    with tempfile.TemporaryDirectory() as folder:
        folder = keep or folder
        try:
            violations = case(folder, trouble)
            for line in violations[:20]:
                note("BROKEN " + line)
            print("%d violations" % len(violations))
            for line in violations[:5]:
                print("  " + line)
            code = 1 if violations else 0
        except CannotRun as error:
            print("cannot run: %s" % error)
            note("cannot run: %s" % error)
        finally:
            end_all()
    sys.stdout.flush()
    os._exit(code)


class CannotRun(Exception):
    pass

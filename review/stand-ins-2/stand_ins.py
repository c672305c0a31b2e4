"""Stand-ins of the platform for the cases of the second review.

Written from PROTOCOL.md and DEPLOY.md: the metadata store, an upstream that
reports to the node beside it, a client, and the start of the node's own
program with a rendered copy of deploy/node.json. Only the standard library.
"""

import base64
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE_PROGRAM = ROOT / "target/Services/auburnfold-node/auburnfold-node"

# The bounds of the small deployments, sites/ccct-mesh.toml.
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def note(self, text):
        at = self.now()
        with self._lock:
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()
        return at


def free_ports(count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Incoming:
    """A request that was read from `connection`."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


def read_head(connection, buffer):
    """Reads up to the end of a header. Returns it and what came behind it."""
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65536)
        if not data:
            return None, buffer
        buffer += data
    head, buffer = buffer.split(b"\r\n\r\n", 1)
    return head.decode("latin-1"), buffer


def parse_head(head):
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def read_exactly(connection, buffer, size):
    while len(buffer) < size:
        data = connection.recv(65536)
        if not data:
            return None, buffer
        buffer += data
    return buffer[:size], buffer[size:]


def read_request(connection, buffer):
    head, buffer = read_head(connection, buffer)
    if head is None:
        return None, buffer
    line, headers = parse_head(head)
    method, target, _ = line.split(" ", 2)
    body, buffer = read_exactly(connection, buffer, int(headers.get("content-length", "0")))
    if body is None:
        return None, buffer
    return Incoming(method, target, headers, body), buffer


def http_text(status, headers, body):
    lines = [f"HTTP/1.1 {status}"] + [f"{k}: {v}" for k, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections on a loopback port and serves each in a thread."""

    def __init__(self, port=0):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", port))
        self._listener.listen(1024)
        self.port = self._listener.getsockname()[1]
        self._open = set()
        self._lock = threading.Lock()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def _accept(self):
        while not self._is_closed:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(connection)
                if self._is_closed:
                    connection.close()
                    return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def serve(self, connection):
        raise NotImplementedError

    def reset_connections(self):
        with self._lock:
            for connection in self._open:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self):
        self._is_closed = True
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        self.reset_connections()


class Store(Server):
    """The platform's metadata store (PROTOCOL.md), linearizable, in memory."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 10
        self._leases = {}
        self._next_lease = 1000
        self._is_down = False
        super().__init__()
        threading.Thread(target=self._expire, daemon=True).start()

    # Operator.
    def put_config(self, config):
        with self._changed:
            self._write("op/config", base64.b64encode(json.dumps(config).encode()).decode(), 0)
        self._record.note(f"operator: configuration {config['version']} acknowledged")

    # Disruption: every call fails with a reset connection.
    def go_down(self):
        self._is_down = True
        self._record.note("store: down, connections are reset")
        self.reset_connections()

    def come_back(self):
        self._is_down = False
        return self._record.note("store: back")

    def _write(self, key, value, lease):
        self._revision += 1
        created = self._items[key]["created"] if key in self._items else self._revision
        item = {"key": key, "value": value, "revision": self._revision,
                "created": created, "lease": lease}
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _remove(self, key):
        if key in self._items:
            del self._items[key]
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision, "deleted": True})
            self._changed.notify_all()

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)

    def _expire(self):
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            with self._changed:
                for lease in [k for k, (_, end) in self._leases.items() if end <= now]:
                    self._end_lease(lease)

    def serve(self, connection):
        buffer = b""
        while not self._is_down:
            request, buffer = read_request(connection, buffer)
            if request is None or self._is_down:
                return
            time.sleep(0.004)
            status, answer = self._answer(request)
            if self._is_down:
                return
            connection.sendall(http_text(status, [("Content-Type", "application/json"),
                                                  ("Store-Era", "1")],
                                         json.dumps(answer).encode()))

    def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        path = url.path
        body = json.loads(request.body) if request.body else {}
        with self._changed:
            if path == "/kv-key":
                item = self._items.get(query["key"])
                return ("200 OK", {**item, "asOf": self._revision}) if item else ("404 Not Found", {})
            if path == "/kv-range":
                keys = sorted(k for k in self._items
                              if k.startswith(query["prefix"]) and k > query.get("after", ""))
                page = keys[:500]
                return "200 OK", {"items": [self._items[k] for k in page],
                                  "hasMore": len(keys) > len(page), "asOf": self._revision}
            if path == "/kv-watch":
                return self._watch(query)
            if path == "/kv-txn":
                return self._transact(body)
            if path == "/kv-lease":
                lease = self._next_lease
                self._next_lease += 1
                ttl = max(float(body["ttlS"]), 1.0)
                self._leases[lease] = (ttl, time.monotonic() + ttl)
                return "200 OK", {"lease": lease, "ttlS": ttl}
            kept = re.fullmatch(r"/kv-keep/(\d+)", path)
            if kept:
                lease = int(kept.group(1))
                if lease not in self._leases:
                    return "404 Not Found", {}
                ttl = self._leases[lease][0]
                self._leases[lease] = (ttl, time.monotonic() + ttl)
                return "200 OK", {"ttlS": ttl}
            ended = re.fullmatch(r"/kv-lease-end/(\d+)", path)
            if ended:
                if int(ended.group(1)) not in self._leases:
                    return "404 Not Found", {}
                self._end_lease(int(ended.group(1)))
                return "200 OK", {}
        return "400 Bad Request", {}

    def _watch(self, query):
        end = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        after = int(query["after"])
        while True:
            events = [e for e in self._events
                      if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0 or self._is_down:
                return "200 OK", {"events": events, "asOf": self._revision}
            self._changed.wait(min(left, 0.2))

    def _transact(self, body):
        current = [(e["key"], e["revision"], self._items.get(e["key"])) for e in body["expect"]]
        if any((item["revision"] if item else 0) != revision for _, revision, item in current):
            return "412 Precondition Failed", {"items": [i for _, _, i in current if i]}
        for write in body["writes"]:
            if write.get("lease", 0) and write["lease"] not in self._leases:
                return "404 Not Found", {}
        for write in body["writes"]:
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return "200 OK", {"revision": self._revision}


class Upstream(Server):
    """An upstream of a service and its reports to the node beside it."""

    def __init__(self, record, service, instance, slots=64, port=0):
        self._record = record
        self.service = service
        self.instance = instance
        self.slots = slots
        self.control_port = None
        self.state = "ready"
        self.runs = []
        self.is_leaving = False
        self._is_reporting = False
        self._seq = 0
        self.born = int(time.time() * 1000)
        super().__init__(port)

    def serve(self, connection):
        buffer = b""
        while True:
            head, buffer = read_head(connection, buffer)
            if head is None:
                return
            line, headers = parse_head(head)
            method, target, _ = line.split(" ", 2)
            size = int(headers.get("content-length", "0"))
            if target == "/health":
                _, buffer = read_exactly(connection, buffer, size)
                status = "503 Service Unavailable" if self.is_leaving else "200 OK"
                connection.sendall(http_text(status, [("X-Instance-Id", self.instance)], b""))
                continue
            request_id = headers.get("x-request-id", "")
            expected = headers.get("x-expect-instance", self.instance)
            if expected != self.instance:
                body, buffer = read_exactly(connection, buffer, size)
                if body is None:
                    return
                connection.sendall(http_text("421 Misdirected Request",
                                             [("X-Instance-Id", self.instance)], b""))
                continue
            self._record.note(f"{self.instance}: runs {request_id} {method} {target}")
            self.on_run(request_id, headers)
            buffer, is_whole = self.work(connection, buffer, request_id, target, size)
            if not is_whole:
                self._record.note(f"{self.instance}: {request_id} was cut, its body is not whole")
                return
            answer = self.answer_body(request_id)
            connection.sendall(http_text("200 OK", [
                ("X-Request-Id", request_id),
                ("X-Response-Signature", "sig." + request_id)], answer))
            self._record.note(f"{self.instance}: answered {request_id}")

    def on_run(self, request_id, headers):
        self.runs.append((self._record.now(), request_id))

    def work(self, connection, buffer, request_id, target, size):
        body, buffer = read_exactly(connection, buffer, size)
        time.sleep(0.02)
        return buffer, body is not None

    def answer_body(self, request_id):
        return ("answer to " + request_id).encode()

    # Reports.
    def report_body(self, seq):
        return {"service": self.service, "address": self.address, "zone": "zone-a",
                "version": "v1", "slots": self.slots, "state": self.state,
                "coldS_time": 0, "seq": seq, "born": self.born}

    def next_seq(self):
        self._seq += 1
        return self._seq

    def leave(self):
        """Sends the deregistration until it is acknowledged; returns when it was."""
        self.is_leaving = True
        for _ in range(3):
            status = self.send_report("DELETE", {"seq": self.next_seq(), "born": self.born})
            at = self._record.note(f"{self.instance}: DELETE answered {status}")
            if status == 200:
                return at
        raise CannotRun("the leave was not acknowledged")

    def send_report(self, method, body):
        result = call(self.control_port, method, "/instances/" + self.instance, [
            ("Host", "node"), ("Content-Type", "application/json")],
            json.dumps(body).encode(), 1.0)
        return result.status

    def start_reporting(self, control_port):
        self.control_port = control_port
        self._is_reporting = True
        threading.Thread(target=self._report, daemon=True).start()

    def stop_reporting(self):
        self._is_reporting = False

    def _report(self):
        while self._is_reporting:
            self.send_report("PUT", self.report_body(self.next_seq()))
            time.sleep(HEARTBEAT_S)


class Result:
    def __init__(self, status=0, headers=None, body=b"", problem=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.problem = problem


def read_response(connection, buffer=b""):
    head, buffer = read_head(connection, buffer)
    if head is None:
        return Result(problem="closed without an answer")
    line, headers = parse_head(head)
    body, buffer = read_exactly(connection, buffer, int(headers.get("content-length", "0")))
    if body is None:
        return Result(int(line.split(" ")[1]), headers, buffer, "the answer is not whole")
    return Result(int(line.split(" ")[1]), headers, body)


def request_text(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def call(port, method, target, headers, body=b"", timeout=10.0):
    """Sends one request over a connection of its own."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as connection:
            connection.settimeout(timeout)
            connection.sendall(request_text(method, target, headers, body))
            return read_response(connection)
    except OSError as error:
        return Result(problem=str(error) or type(error).__name__)


def route(name, host, prefix, kind, service, timeout_s=5, target_s=1.2):
    return {"resourceType": "routes", "metadata": {"name": name}, "spec": {
        "host": host, "prefix": prefix, "kind": kind, "timeoutS": timeout_s,
        "targetLatencyS": target_s, "priority": 0, "service": service, "maxAttempts": 2}}


def configuration(version, routes, services):
    """A configuration as `fleetbench wire` shows it for a small site."""
    entries = list(routes)
    for name in services:
        entries.append({"resourceType": "services", "metadata": {"name": name}, "spec": {
            "healthPath": "/health", "maxConnections": 1264, "protocol": "h1", "tls": False}})
    entries.append({"resourceType": "limits", "metadata": {}, "spec": {
        "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
        "headerTimeoutS": 3, "idleTimeoutS": 15}})
    return {"version": version, "resources": entries}


def start_all(nodes, upstreams, settle_s=5.0):
    """Starts the nodes and the reports to them, and waits until all are calm."""
    for node in nodes:
        node.start()
    for node in nodes:
        node.wait_ready()
    for node, upstream in zip(nodes, upstreams):
        upstream.start_reporting(node.control_port)
    time.sleep(settle_s)


def client_headers(host, request_id, deadline_ms):
    return [("Host", host), ("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms))]


def render_settings(values):
    """Fills in deploy/node.json as DEPLOY.md says, as far as it is used there."""
    text = (ROOT / "deploy/node.json").read_text(encoding="utf-8")

    def look_up(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m.group(2) if look_up(m.group(1)) else "", text, flags=re.S)

    def fill(match):
        value = look_up(match.group(1))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", fill, text)


class Node:
    """A process of the project's node, with the settings of one machine."""

    def __init__(self, record, folder, name, service, upstream, store, zone="zone-a"):
        self._record = record
        self.name = name
        self._folder = pathlib.Path(folder)
        (self.call_port, self.peer_port, self.ready_port, self.control_port,
         self.admin_port) = free_ports(5)
        values = {
            "ip": "127.0.0.1", "zone": zone, "service": service,
            "appAddr": upstream.address,
            "listen": {"outbound": self.call_port, "inbound": self.peer_port,
                       "readiness": self.ready_port, "control": self.control_port},
            "portRange": [self.admin_port], "platform": {"address": store.address},
            "bounds": {"graceS": GRACE_S},
        }
        for key, port in values["listen"].items():
            values["listen"][key] = f"127.0.0.1:{port}"
        self._settings = self._folder / f"{name}.json"
        self._settings.write_text(render_settings(values), encoding="utf-8")
        self._process = None

    def start(self):
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [str(NODE_PROGRAM)], cwd=ROOT, stdout=log, stderr=log,
                env={**os.environ, "AUBURNFOLD_NODE_FILE": str(self._settings)})
        return self._record.note(f"{self.name}: started")

    def is_ready(self):
        return call(self.ready_port, "GET", "/ready", [("Host", "platform")], timeout=0.5).status == 200

    def wait_ready(self, limit_s=10.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def send_signal(self, number):
        self._process.send_signal(number)
        return self._record.note(f"{self.name}: {signal.Signals(number).name}")

    def is_running(self):
        return self._process is not None and self._process.poll() is None

    def wait_end(self, limit_s):
        try:
            self._process.wait(limit_s)
            return True
        except subprocess.TimeoutExpired:
            return False

    def end(self):
        if self.is_running():
            self._process.kill()
            self._process.wait()


def _raise_stop(number, _frame):
    raise CannotRun(f"stopped by {signal.Signals(number).name}")


def run_case(folder, body):
    """Runs `body(record, temporary folder, nodes, has_trouble)`; exits 0, 1 or 2."""
    record = Record(folder)
    nodes = []
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _raise_stop)
    with tempfile.TemporaryDirectory(prefix="auburnfold-review.") as work:
        try:
            if not NODE_PROGRAM.is_file():
                raise CannotRun("the build of the deploy file is missing")
            broken = body(record, work, nodes, has_trouble)
            record.note("RULE BROKEN" if broken else "the rule held")
            code = 1 if broken else 0
        except Exception as problem:  # Whatever it is, the case says nothing.
            record.note(f"could not run: {type(problem).__name__}: {problem}")
        finally:
            for node in nodes:
                node.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in pathlib.Path(work).glob("*.log"):
                    (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    print(pathlib.Path(folder, "record.txt").read_text(encoding="utf-8").splitlines()[-1])
    # Threads that still wait for an answer don't hold up the end.
    sys.stdout.flush()
    os._exit(code)

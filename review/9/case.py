"""A machine is stopped as planned while a client that reads slowly waits for
answers, and sends further requests before it has them."""

import pathlib
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-2"))
from stand_ins import (CannotRun, Node, Store, Upstream, client_headers, configuration,  # noqa: E402
                       parse_head, read_response, request_text, route, run_case, start_all)

HOST = "surveys.example"
DEADLINE_MS = 5000
# The largest answer of survey-pack, sites ethekwini-fibre-grown.toml.
ANSWER_BYTES = 36_000
# Sent at once, one behind the other.
FIRST = 16
# The client takes some 150 kB a second: all first answers within 4.5 s.
READ_BYTES = 15_000
READ_EVERY_S = 0.08
# Then it sends more, one by one.
LATER_FROM_S = 2.5
LATER_EVERY_S = 0.25
LATER = 5


class Surveys(Upstream):
    def work(self, connection, buffer, request_id, target, size):
        time.sleep(0.3)
        return buffer, True

    def answer_body(self, request_id):
        return (request_id.encode() * ANSWER_BYTES)[:ANSWER_BYTES]


class Client:
    """Sends pipelined requests and reads their answers at its own pace."""

    def __init__(self, record, port):
        self._record = record
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        self._socket.connect(("127.0.0.1", port))
        self._socket.setblocking(False)
        self._received = b""
        self.sent = []
        self.answered = []
        self.is_closed = False

    def send(self, name):
        self._record.note(f"client: sends {name}")
        try:
            self._socket.sendall(request_text(
                "GET", "/survey/1", client_headers(HOST, name, DEADLINE_MS)))
            self.sent.append(name)
        except OSError as error:
            self._end(str(error))

    def _end(self, why):
        if not self.is_closed:
            self.is_closed = True
            self._record.note(f"client: the connection ends: {why}; "
                              f"{len(self._received)} bytes of the next answer are there")

    def read_some(self):
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            return self._end(str(error))
        if not data:
            return self._end("closed by the node")
        self._received += data
        while b"\r\n\r\n" in self._received and len(self.answered) < len(self.sent):
            head, rest = self._received.split(b"\r\n\r\n", 1)
            line, headers = parse_head(head.decode("latin-1"))
            size = int(headers.get("content-length", "0"))
            if len(rest) < size:
                return
            self._received = rest[size:]
            name = self.sent[len(self.answered)]
            self.answered.append(name)
            self._record.note(f"client: {name}: {line}, {size} bytes, "
                              f"Connection: {headers.get('connection', '-')}")
            if headers.get("connection") == "close":
                self._end("the last answer says so")


def body(record, work, nodes, has_trouble):
    store = Store(record)
    store.put_config(configuration(
        "r7", [route("r-survey", HOST, "/survey/", "download", "surveys", 5, 1.5)],
        ["surveys", "listings"]))
    surveys = Surveys(record, "surveys", "i-surveys")
    listings = Upstream(record, "listings", "i-listings")
    nodes += [Node(record, work, "node-listings", "listings", listings, store),
              Node(record, work, "node-surveys", "surveys", surveys, store)]
    start_all(nodes, [listings, surveys])
    node = nodes[0]

    # The node learns how large the answers are.
    with socket.create_connection(("127.0.0.1", node.call_port), timeout=5.0) as usual:
        usual.sendall(request_text("GET", "/survey/0", client_headers(HOST, "usual", DEADLINE_MS)))
        if read_response(usual).status != 200:
            raise CannotRun("the nodes do not serve")

    client = Client(record, node.call_port)
    start = time.monotonic()
    for i in range(FIRST):
        client.send(f"q-{i}")
    is_signal_due = True
    later = 0
    next_read = start
    while not client.is_closed and len(client.answered) < FIRST + LATER:
        now = time.monotonic() - start
        if now > 9.0:
            break
        if is_signal_due and now > 0.1:
            is_signal_due = False
            if has_trouble:
                node.send_signal(signal.SIGTERM)
        if later < LATER and now > LATER_FROM_S + LATER_EVERY_S * later:
            client.send(f"later-{later}")
            later += 1
        if time.monotonic() >= next_read:
            next_read += READ_EVERY_S
            client.read_some()
        time.sleep(0.005)
    took = time.monotonic() - start
    ran = {name for _, name in surveys.runs}
    lost = [f"q-{i}" for i in range(FIRST) if f"q-{i}" in ran and f"q-{i}" not in client.answered]
    record.note(f"{len(lost)} of {FIRST} requests ran and have no complete answer, "
                f"{took:.1f} s after they were sent: {' '.join(lost)}")
    return bool(lost) and took < DEADLINE_MS / 1000


run_case(HERE, body)

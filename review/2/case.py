"""LOST: a planned stop cuts answers that their backends had finished long before."""

import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import harness  # noqa: E402

GRACE_S = harness.BOUNDS["grace_s"]
# A backend at work in the last sixth of the grace excuses the loss.
LAST_SIXTH_S = GRACE_S * 5 / 6
LATEST_SENT_S = 3.0
# The machine's link, as the settings state it; the clients together read no faster.
LINK_MBPS = 5.0
LINK_BYTES_PER_S = LINK_MBPS * 1_000_000 / 8
BODY = bytes(500_000)
DEADLINE_MS = 9000
# Times after the signal at which the downloads are sent.
SENT_AT_S = (1.3, 1.35, 1.4, 1.45)
ROUNDS = 3
READ_BYTES = 8192


class Link:
    """The link of the machine, which all downloads share."""

    def __init__(self):
        self.free_at = 0.0
        self.lock = threading.Lock()

    def wait(self, size):
        with self.lock:
            self.free_at = max(self.free_at, time.monotonic())
            self.free_at += size / LINK_BYTES_PER_S
            until = self.free_at
        time.sleep(max(until - time.monotonic(), 0))


class Download:
    """One client that fetches a large answer over the slow link."""

    def __init__(self, record, link, address, identity):
        self.record = record
        self.link = link
        self.address = address
        self.identity = identity
        self.sent = None
        self.ended = None
        self.received = b""
        self.complete = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        host, port = self.address.split(":")
        with socket.socket() as sock:
            # Windows are small, so that a reader that is slow blocks the writer.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
            sock.settimeout(DEADLINE_MS / 1000 + 1)
            sock.connect((host, int(port)))
            lines = [
                "GET /sheets/1 HTTP/1.1",
                f"Host: {harness.HOST_NAME}",
                f"Request-Id: {self.identity}",
                f"Request-Deadline: {DEADLINE_MS}",
                f"Authorization: Bearer {harness.KEY}",
            ]
            self.sent = time.monotonic()
            self.record("sent", id=self.identity)
            sock.sendall("\r\n".join([*lines, "", ""]).encode())
            self.read(sock)
        self.ended = time.monotonic()
        head, _, body = self.received.partition(b"\r\n\r\n")
        status = head[9:12].decode() or "-"
        self.complete = len(body) == len(BODY) or status == "503"
        self.record("answered", id=self.identity, status=status, bytes=len(body))

    def read(self, sock):
        try:
            while len(self.received) < len(BODY):
                block = sock.recv(READ_BYTES)
                if not block:
                    return
                self.received += block
                self.link.wait(len(block))
            while block := sock.recv(READ_BYTES):
                self.received += block
                body = self.received.partition(b"\r\n\r\n")[2]
                if len(body) >= len(BODY):
                    return
        except OSError as error:
            self.record("broken", id=self.identity, error=type(error).__name__)


class Archive(harness.Backend):
    """A backend that records when it has sent its whole answer."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.done = {}

    def _answer(self, sock, status, identity, body, *headers):
        # Windows are small: the answer is sent when the instance has read it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        super()._answer(sock, status, identity, body, *headers)
        self.done[identity] = time.monotonic()
        self.record("backend_done", backend=self.name, id=identity)


def run_round(record, scratch, trouble, instances, store, backends, number):
    instance = harness.start_fleet(
        scratch, store, ["milano"], limits={"link_mbps": LINK_MBPS}
    )[0]
    instances.append(instance)
    link = Link()
    address = instance.address("frontend")
    time.sleep(1)
    stopped = time.monotonic()
    if trouble:
        instance.process.send_signal(signal.SIGTERM)
        record("sigterm", instance=instance.name)
    downloads = []
    for after in SENT_AT_S:
        time.sleep(max(stopped + after - time.monotonic(), 0))
        identity = f"d-{number}-{len(downloads)}"
        downloads.append(Download(record, link, address, identity))
    for each in downloads:
        each.thread.join()
    instance.stop()
    done = {key: at for each in backends for key, at in each.done.items()}
    lost = []
    for each in downloads:
        finished = done.get(each.identity)
        in_time = each.ended - each.sent < DEADLINE_MS / 1000
        if each.complete or finished is None or not in_time:
            continue
        if finished - stopped < LAST_SIXTH_S and each.sent - stopped <= LATEST_SENT_S:
            lost.append(each)
            record(
                "lost",
                id=each.identity,
                backend_done_s=f"{finished - stopped:.3f}",
                ended_s=f"{each.ended - stopped:.3f}",
                bytes=len(each.received),
            )
    return len(lost)


def main(record, scratch, trouble, instances):
    store = harness.Store(record)
    route = {
        "prefix": "/sheets/",
        "kind": "download",
        "service": "archive",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 2400,
    }
    store.put("op/config", harness.make_configuration(1, routes={"d": route}))
    backends = [
        Archive(f"i-{n}", store, record, "archive", work_s=0.2, body=BODY)
        for n in range(3)
    ]
    lost = [
        run_round(record, scratch, trouble, instances, store, backends, number)
        for number in range(ROUNDS)
    ]
    print(f"downloads cut, by stop: {lost}")
    return sum(lost) > 0


harness.run_case(main, FOLDER)

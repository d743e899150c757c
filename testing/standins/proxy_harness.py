"""A running frontend with test doubles for its components, and a raw client."""

import contextlib
import socket
import threading
import time
from types import SimpleNamespace

from attrs import define, evolve, field

from lacewinglift.addresses import AddressBook
from lacewinglift.admission import Decision
from lacewinglift.concurrency import ConcurrencyLimiter
from lacewinglift.configuration import (
    Configuration,
    Fleet,
    Route,
    Service,
    Target,
    Workspace,
    digest_key,
)
from lacewinglift.dialects import DEFAULT_DIALECT
from lacewinglift.exchanges import ExchangeMonitor
from lacewinglift.forwarder import Forwarder
from lacewinglift.frontend import Frontend
from lacewinglift.generated import fleet_pb2
from lacewinglift.member_views import MemberView
from lacewinglift.metrics import Metrics
from lacewinglift.request_handler import RequestComponents
from lacewinglift.response_pacing import ResponsePacer
from lacewinglift.shutdown import Shutdown
from lacewinglift.timers import ThreadTimers

KEY = "kiosk-key-1"
AUTHORIZATION = f"Authorization: Bearer {KEY}"


@define
class FixedAttempt:
    target: Target
    outcomes: list
    on_ejected: object = None
    response_started: bool = False
    rate_limits: list = field(factory=list)
    leaving: bool = False
    pauses_s: list = field(factory=list)

    def log_fields(self):
        return {"load": 0.0}

    def mark_response_started(self, latency_s):
        self.response_started = True

    def record_rate_limit(self, limit_per_s, served):
        self.rate_limits.append((limit_per_s, served))

    def record_leaving(self):
        self.leaving = True

    def record_pause(self, duration_s):
        self.pauses_s.append(duration_s)

    def finish(self, outcome):
        self.outcomes.append((self.target.name, outcome))


@define
class FixedTargetSelector:
    """Selects the targets in the order in which they are listed."""

    targets: list
    outcomes: list = field(factory=list)
    attempts: list = field(factory=list)

    def acquire(self, service_name, exclude, repeatable=False):
        for target in self.targets:
            if target.name not in exclude:
                self.attempts.append(FixedAttempt(target, self.outcomes))
                return self.attempts[-1]
        return None

    def kinds(self):
        return [outcome.kind for _, outcome in self.outcomes]


@define
class FixedDistribution:
    configuration: Configuration | None

    def current(self):
        return self.configuration


@define
class FixedStanding:
    code: str | None = None

    def refusal(self):
        return self.code


@define
class FixedAdmission:
    decision: object = Decision(True)
    requested_workspaces: list = field(factory=list)

    def admit(self, workspace):
        self.requested_workspaces.append(workspace.name)
        return self.decision


def make_member(name, data_centre, state=fleet_pb2.LIVE):
    return MemberView(name, 1, state, data_centre, caller_address=f"{name}:80")


def make_configuration(generation, targets, **service_fields):
    service = Service("cassa", tuple(targets), **service_fields)
    return Configuration(
        generation,
        Fleet("pilarossi", data_centres=("milano", "torino")),
        {"cassa": service},
        (
            Route("/cassa", "cassa"),
            Route("/open", "cassa", open=True),
            Route("/read", "cassa", idempotent=True),
            Route("/vip", "cassa", workspaces=("vip",)),
        ),
        {
            "kiosk": Workspace("kiosk", 100.0, 100, (digest_key(KEY),)),
            "vip": Workspace("vip", 100.0, 100, (digest_key("vip-key"),)),
        },
    )


@define(eq=False, repr=False)
class ProxyHarness:
    """A running frontend and its test doubles."""

    frontend: Frontend
    components: RequestComponents
    timers: ThreadTimers
    selector: FixedTargetSelector
    distribution: FixedDistribution
    standing: FixedStanding
    admission: FixedAdmission
    leaving_announced: threading.Event

    def connect(self):
        host, port = self.frontend.address.split(":")
        sock = socket.create_connection((host, int(port)), timeout=10)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def publish(self, **changes):
        current = self.distribution.configuration
        self.distribution.configuration = evolve(
            current, generation=current.generation + 1, **changes
        )


@contextlib.contextmanager
def running_proxy(
    targets,
    worker_threads=8,
    dialect=DEFAULT_DIALECT,
    link_bytes_per_s=None,
    hedger=None,
    **service_fields,
):
    """Run a proxy in front of `targets` (address strings)."""
    timers = ThreadTimers()
    targets = [
        Target(f"t{index}", address, "milano", slots=8, connections=64)
        for index, address in enumerate(targets)
    ]
    target_selector = FixedTargetSelector(targets)
    metrics = Metrics()
    leaving_announced = threading.Event()
    distribution = FixedDistribution(make_configuration(1, targets, **service_fields))
    members = [make_member("a", "milano"), make_member("b", "torino")]
    components = RequestComponents(
        timers,
        distribution,
        FixedStanding(),
        FixedAdmission(),
        Forwarder(
            target_selector,
            timers,
            metrics.record_attempt,
            metrics.record_retry,
            dialect=dialect,
            pacer=ResponsePacer(timers, link_bytes_per_s),
            hedger=hedger,
        ),
        AddressBook("milano", lambda: members),
        Shutdown(timers, lambda: 0.3, leaving_announced.set, 10.0),
        ConcurrencyLimiter(worker_threads),
        ExchangeMonitor(timers),
        metrics=metrics,
        dialect=dialect,
    )
    settings = SimpleNamespace(
        caller_address="127.0.0.1:0", worker_threads=worker_threads
    )
    frontend = Frontend(settings, components)
    frontend.start()
    proxy = ProxyHarness(
        frontend,
        components,
        timers,
        target_selector,
        distribution,
        components.standing,
        components.admission,
        leaving_announced,
    )
    try:
        yield proxy
    finally:
        frontend.cancel_requests()
        frontend.stop()
        timers.stop()


def request_bytes(
    method="GET", path="/cassa", *headers, body=b"", authorization=AUTHORIZATION
):
    lines = [f"{method} {path} HTTP/1.1", "Host: fleet.example"]
    lines += [authorization] if authorization else []
    lines += headers
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def receive_all(sock):
    """Return all bytes until the end of the stream; append `<reset>` after a reset."""
    data = bytearray()
    try:
        while block := sock.recv(65536):
            data += block
    except ConnectionResetError:
        data += b"<reset>"
    return bytes(data)


def send_and_receive(proxy, data):
    """Send bytes on a new connection and return all that is received."""
    with proxy.connect() as sock:
        sock.sendall(data)
        return receive_all(sock)


def call(proxy, method="GET", path="/cassa", *headers, **fields):
    """Send one request on a new connection and return the raw response."""
    return send_and_receive(
        proxy, request_bytes(method, path, "Connection: close", *headers, **fields)
    )


def wait_until(condition, timeout_s=5.0):
    """Wait for a condition; return whether it was met in time."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.005)
    return True

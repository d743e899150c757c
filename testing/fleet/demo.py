"""Shows on real processes what the fleet does when parts fail."""

import signal
import sys
import threading
import time
from collections.abc import Callable

import urllib3
from attrs import define, frozen

from testing.fleet.callers import Caller, Load, classify
from testing.fleet.deployment import KEY_HEADER, WORKSPACES
from testing.fleet.launcher import Fleet, FleetOptions, Instance
from testing.load.scraping import totals

IN_FORCE_BOUND_S = 9.0
EJECTION_BOUND_S = 3.0
# Longer than echoes and the last contact with the store support standing.
OUTAGE_S = 10.0
EXIT_BOUND_S = 15.0
# Buckets of a new fleet start empty and fill in burst / rate, which is 1 s here.
FILL_S = 2.0
# An ejected target may get this share of its usual requests: those of slow start
# after a probe, because its health report is good.
EJECTED_SHARE = 0.25
LARGE_WORKSPACES = ("stazione-centrale", "porta-nuova", "arena")
MIXED_PATHS = (
    ("GET", "/catalogo/pile?n=1"),
    ("POST", "/cassa/vendite"),
    ("GET", "/archivio/orologi"),
    ("GET", "/catalogo/pile?n=2"),
)


@frozen
class Finding:
    """One line of the table."""

    what: str
    seen: str
    held: bool


Step = Callable[["Demo"], Finding]
STEPS: list[Step] = []


def step(function: Step) -> Step:
    """Register a step of the demo."""
    STEPS.append(function)
    return function


@define(eq=False)
class Demo:
    """A fleet and what the steps know about it."""

    fleet: Fleet

    def caller(self, number: int) -> Caller:
        """Return a caller of one of the large workspaces."""
        workspace = LARGE_WORKSPACES[number % len(LARGE_WORKSPACES)]
        return self.caller_of(workspace)

    def caller_of(self, workspace: str) -> Caller:
        """Return a caller of a workspace."""
        seeds = [instance.address for instance in self.fleet.instances]
        return Caller(seeds, self.fleet.deployment.keys[workspace])

    def load(self, paths: tuple[tuple[str, str], ...] = MIXED_PATHS) -> Load:
        """Return a load of 120 requests/s, within the rates of its workspaces."""
        return Load(self.caller, paths, threads=12, interval_s=0.1)

    def executed(self, target: str) -> int:
        """Return how many requests a target has run."""
        return self.fleet.control_target("report", target)["executed"]


def run_demo(options: FleetOptions) -> int:
    """Run all steps; return the exit code."""
    started = time.monotonic()
    findings: list[Finding] = []
    with Fleet(options) as fleet:
        took = time.monotonic() - started
        seen = f"{len(fleet.instances)} instances in {took:.1f} s"
        findings.append(Finding("fleet starts and serves", seen, True))
        _print(findings[-1])
        demo = Demo(fleet)
        time.sleep(FILL_S)
        for run in STEPS:
            findings.append(run(demo))
            _print(findings[-1])
        children = list(fleet.children.children)
    left = [child.name for child in children if child.is_running()]
    seen = f"{len(children) - len(left)} of {len(children)} processes ended"
    findings.append(Finding("no process is left behind", seen, not left))
    _print(findings[-1])
    held = sum(finding.held for finding in findings)
    took = time.monotonic() - started
    print(f"{held} of {len(findings)} held, {took:.0f} s")
    return 0 if held == len(findings) else 1


def _print(finding: Finding) -> None:
    mark = "ok  " if finding.held else "FAIL"
    print(f"{mark}  {finding.what:<42}  {finding.seen}", flush=True)


def _describe(load: Load, since_s: float = 0.0) -> str:
    kinds = load.kinds(since_s)
    total = sum(kinds.values())
    text = f"{kinds['ok']} of {total} requests answered"
    failures = load.failures(since_s)
    if failures:
        bad = {name: n for name, n in kinds.items() if name != "ok"}
        text += f"; {bad}; first: {failures[0].detail[:160]}"
    return text


@step
def answer_requests(demo: Demo) -> Finding:
    """Send requests of each workspace to the addresses that it is given."""
    good = 0
    problems = []
    for workspace in WORKSPACES:
        caller = demo.caller_of(workspace)
        for number in range(4):
            method, path = MIXED_PATHS[number]
            problem = _check_request(demo, caller, workspace, method, path)
            good += problem is None
            problems += [problem] if problem else []
        caller.close()
    total = 4 * len(WORKSPACES)
    seen = f"{good} of {total} requests of {len(WORKSPACES)} workspaces answered"
    seen += f"; first: {problems[0]}" if problems else ""
    return Finding("requests by way of the address answer", seen, good == total)


def _check_request(
    demo: Demo, caller: Caller, workspace: str, method: str, path: str
) -> str | None:
    """Return what is wrong with the answer to one request."""
    request_id = f"{workspace}-{method}-{path}"
    headers = {**caller.headers, "X-Request-Id": request_id}
    url = f"http://{caller.choose()}{path}"
    reply = caller.http.request(method, url, headers=headers)
    kind, detail = classify(reply, path, request_id)
    if kind != "ok":
        return f"{kind} {detail}"
    seen = reply.json()["headers"]
    if any(demo.fleet.deployment.keys[workspace] in value for _, value in seen):
        return "the target saw the caller's key"
    names = [value for name, value in seen if name == "X-Lacewinglift-Workspace"]
    return None if names == [workspace] else f"the target was told workspace {names}"


@step
def eject_gray_target(demo: Demo) -> Finding:
    """Make a target hang that still reports that it is healthy."""
    target = "catalogo-1"
    with demo.load((("GET", "/catalogo/pile"),)) as load:
        time.sleep(2.0)
        usual = demo.executed(target) / 2.0
        before = demo.executed(target)
        demo.fleet.control_target("set", target, hang=True, health_honest=False)
        since = time.monotonic()
        time.sleep(EJECTION_BOUND_S)
        at_bound = demo.executed(target)
        time.sleep(4.0)
        later = (demo.executed(target) - at_bound) / 4.0
        answered = _describe(load, since)
    demo.fleet.control_target("set", target, hang=False, health_honest=True)
    rate = f"{usual:.1f}/s before, {later:.1f}/s after {EJECTION_BOUND_S:g} s"
    seen = f"{rate}; {at_bound - before} met the hang; {answered}"
    held = usual > 0 and later <= EJECTED_SHARE * usual
    return Finding("hanging target is ejected", seen, held)


@step
def withdraw_key(demo: Demo) -> Finding:
    """Withdraw a key while connections with it are open."""
    key = demo.fleet.deployment.extra_keys["navigli"]
    probes = [_KeyProbe(instance, key) for instance in demo.fleet.instances]
    try:
        before = [probe.describe() for probe in probes]
        base = demo.fleet.deployment.base(withdrawn=frozenset({key}))
        demo.fleet.configuration.write_base(base)
        started = time.monotonic()
        publishing = threading.Thread(target=demo.fleet.publish)
        publishing.start()
        refused = _wait_for_refusals(probes, started)
        publishing.join()
    finally:
        for probe in probes:
            probe.http.close()
    kept = sum(probe.opened == 1 for probe in probes)
    cut = sum(probe.cut_by_instance() for probe in probes)
    if refused is None:
        seen = f"still accepted after {IN_FORCE_BOUND_S:g} s"
    else:
        seen = f"refused by all {len(probes)} instances {refused:.1f} s after publish"
    seen += f"; {kept} on the connection opened before, {cut} with an answer cut off"
    unanswered = [text for text in before if text != "200"]
    seen += f"; before it: {unanswered}" if unanswered else ""
    held = not unanswered and refused is not None and kept + cut == len(probes)
    return Finding("withdrawn key is refused", seen, held)


class _KeyProbe:
    """One open connection to an instance, used with one key."""

    def __init__(self, instance: Instance, key: str) -> None:
        self.address = instance.address
        self.cuts = 0
        host, port = instance.address.split(":")
        self.http = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, block=True, retries=False, timeout=5.0
        )
        self.headers = {KEY_HEADER: f"Bearer {key}"}

    @property
    def opened(self) -> int:
        """Return how many connections were opened."""
        return self.http.num_connections

    def ask(self) -> int:
        """Return the status of a keyed request."""
        return self._request().status

    def describe(self) -> str:
        """Return the status of a keyed request, and the body if it is not 200."""
        reply = self._request()
        if reply.status == 200:
            return "200"
        return f"{self.address}: {reply.status} {reply.data[:160]!r}"

    def _request(self) -> urllib3.BaseHTTPResponse:
        return self.http.request("GET", "/catalogo/pile", headers=self.headers)

    def ask_until_withdrawn(self) -> int:
        """Return the status of a keyed request, 0 when the connection was closed.

        An instance closes the connection of a request that is in progress when its
        key is withdrawn.
        """
        try:
            return self.ask()
        except urllib3.exceptions.ProtocolError:
            self.cuts += 1
            return 0

    def cut_by_instance(self) -> bool:
        """Return whether the one connection that was lost was cut on purpose."""
        counted = totals([self.address], "lacewinglift_cut_answers_total", "reason")
        return self.opened == 2 and self.cuts == 1 and counted["caller"] > 0


def _wait_for_refusals(probes: list[_KeyProbe], started: float) -> float | None:
    """Return when all probes are refused for the first time and stay so."""
    while time.monotonic() - started < IN_FORCE_BOUND_S:
        if all(probe.ask_until_withdrawn() == 401 for probe in probes):
            return time.monotonic() - started
        time.sleep(0.1)
    return None


@step
def ride_out_store_outage(demo: Demo) -> Finding:
    """Serve while the store refuses connections, and publish afterwards."""
    with demo.load() as load:
        time.sleep(1.0)
        since = time.monotonic()
        demo.fleet.control_store("outage")
        time.sleep(OUTAGE_S)
        demo.fleet.control_store("restore")
        time.sleep(1.0)
    demo.fleet.publish()
    seen = f"{OUTAGE_S:g} s: {_describe(load, since)}"
    return Finding("outage of the store", seen, not load.failures(since))


@step
def stop_instance(demo: Demo) -> Finding:
    """Stop an instance with SIGTERM while callers use it."""
    leaving = demo.fleet.instances[-1]
    child = leaving.child
    with demo.load() as load:
        time.sleep(2.0)
        child.expected_to_end = True
        child.process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        while child.is_running() and time.monotonic() - started < EXIT_BOUND_S:
            time.sleep(0.05)
        took = time.monotonic() - started
        time.sleep(1.0)
    used = sum(result.address == leaving.address for result in load.results)
    code = child.process.returncode
    seen = f"exit {code} after {took:.1f} s; {_describe(load)}, {used} by this instance"
    held = code == 0 and not load.failures() and used > 0
    return Finding("graceful stop under load", seen, held)


@step
def count_duplicates(demo: Demo) -> Finding:
    """Count sales that ran more than once during all of this."""
    duplicates = demo.fleet.duplicates()
    sales = [name for name in duplicates if name.startswith("POST")]
    seen = f"{len(sales)} sales ran twice"
    return Finding("each sale ran at most once", seen, not sales)


def main_demo(options: FleetOptions) -> int:
    """Run the demo and report errors on standard error."""
    try:
        return run_demo(options)
    except Exception as error:
        print(f"the demo could not go on: {error}", file=sys.stderr)
        return 1

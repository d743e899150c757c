"""Instances of a mesh on simulated time, behind simulated links of limited speed."""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from random import Random

from attrs import define, field

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.dialects import DEFAULT_DIALECT
from lacewinglift.kv import Listing, store_driver
from lacewinglift.mesh.fetch_slots import FetchSlots
from lacewinglift.mesh.full_heartbeats import INITIAL_FULL_HEARTBEATS
from lacewinglift.mesh.heartbeats import Recipients
from lacewinglift.mesh.instance import MeshInstance
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.settings import MeshSettings
from lacewinglift.mesh.snapshots import FETCH_TIMEOUT_S
from lacewinglift.mesh.source_connections import NEXT_CONNECTION_DELAY_S
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.timers import ManualTimers

DATA_CENTRES = ("milano", "torino", "verona")
SERVICE = "cassa"
STEP_S = 0.01
LATENCY_S = 0.0014
# A full link drops datagrams.
MAX_DATAGRAM_WAIT_S = 0.5
CHUNK_BYTES = 16 * 1024
REQUEST_S = 0.5
FAILED_REQUEST_S = 0.002
# Share of the targets that fail nine in ten requests at any time.
FAILING_TARGETS = 0.1
FAILURE_SHARE = 0.9
# Sizes of the responses to callers, and how often each occurs: recordings, look-ups
# and downloads of the grown Pilarossi site.
RESPONSE_BYTES = (1500, 5000, 90_000)
RESPONSE_WEIGHTS = (207, 99, 38)
STORE_DRIVER = "simulated"
# The users' rule for a target that states a rate, in any window.
RATE_LIMIT_WINDOW_S = 4.0
RATE_LIMIT_FACTOR = 1.5
RATE_LIMIT_SLACK = 5


@store_driver(STORE_DRIVER)
class EmptyStore:
    """Store without keys."""

    def __init__(self, address):
        self.address = address

    def list(self, prefix, stale=False):
        return Listing((), 1)

    def close(self):
        pass


class VersionCodec:
    """Reads configurations whose value starts with their generation."""

    operator_prefix = "config"
    configuration_key = "config"
    targets_prefix = "targets/"
    instances_prefix = "instances/"
    resend_record_key = "resends"

    def __init__(self, workspaces):
        self.workspaces = workspaces
        self.services = {}

    def read_configuration(self, value):
        generation = int(value.split(b" ", 1)[0])
        return Configuration(generation, Fleet("f"), self.services, (), self.workspaces)


@define
class Link:
    """Outgoing link of an instance, which sends one byte after another."""

    bytes_per_s: float
    free_at_s: float = 0.0
    max_wait_s: float = 0.0
    other_traffic_s: float = 0.0
    """Time for which each packet waits behind traffic that is not simulated."""

    def wait_s(self, now_s):
        return max(self.free_at_s - now_s, self.other_traffic_s)

    def send(self, now_s, size):
        """Send `size` bytes and return the time at which the last one has left."""
        self.max_wait_s = max(self.max_wait_s, self.wait_s(now_s))
        self.free_at_s = max(self.free_at_s, now_s) + size / self.bytes_per_s
        return self.free_at_s


@define
class Datagrams:
    """Stands in for the UDP socket of one instance."""

    fleet: "SimulatedFleet"
    link: Link
    settings: MeshSettings
    sent: int = 0
    sent_bytes: int = 0
    far_bytes: int = 0
    """Bytes sent to other data centres."""

    def sendto(self, data, address):
        self.sent += 1
        self.sent_bytes += len(data)
        now = self.fleet.timers.now()
        if self.link.wait_s(now) > MAX_DATAGRAM_WAIT_S:
            return
        arrives_s = self.link.send(now, len(data)) + LATENCY_S
        host, port = address
        receiver = self.fleet.by_heartbeat_address.get(f"{host}:{port}")
        if receiver is not None:
            if receiver.settings.data_centre != self.settings.data_centre:
                self.far_bytes += len(data)
            if self.fleet.is_cut(self.settings, receiver.settings):
                return
            self.fleet.at(arrives_s, lambda: receiver.heartbeats.dispatch(data))


@define(eq=False)
class SimulatedSnapshots:
    """Stands in for the snapshot exchange of one instance."""

    fleet: "SimulatedFleet"
    instance: MeshInstance
    slots: FetchSlots = field(init=False)
    failed_fetches: int = 0

    def __attrs_post_init__(self):
        self.slots = FetchSlots(self.fleet.timers)

    def fetch(self, addresses, request):
        if not self.slots.try_start():
            return
        servers = [self.fleet.by_fetch_address[address] for address in addresses]
        own = self.instance.settings
        delay_s = 0.0
        for server in servers:
            if not self.fleet.is_cut(server.settings, own):
                break
            delay_s += NEXT_CONNECTION_DELAY_S
        start_s = self.fleet.timers.now() + delay_s
        self.fleet.at(start_s, lambda: self.fleet.transfer(self, server, request))

    def end(self, snapshot):
        self.slots.end()
        if snapshot is None:
            self.failed_fetches += 1
        else:
            self.instance.apply_snapshot(snapshot)


@define(eq=False)
class SimulatedFleet:
    """Instances that know each other, their targets and a configuration.

    Attributes
    ----------
    size : int
        Number of instances.
    link_bytes_per_s : float
        Speed of the link of each instance.
    """

    size: int
    link_bytes_per_s: float
    targets: int = 100
    workspaces: int = 40
    relay_min_instances: int = 60
    data_centres: tuple = DATA_CENTRES
    introduced: bool = True
    """Whether the instances know each other from the beginning."""
    random: Random = field(factory=lambda: Random(1))
    timers: ManualTimers = field(factory=ManualTimers)
    instances: list = field(factory=list)
    links: dict = field(factory=dict)
    by_heartbeat_address: dict = field(factory=dict)
    by_fetch_address: dict = field(factory=dict)
    pending: list = field(factory=list)
    counter: "itertools.count[int]" = field(factory=itertools.count)
    due_requests: dict = field(factory=lambda: defaultdict(float))
    codec: VersionCodec = field(init=False)
    failing: set = field(init=False)
    rate_limits: dict = field(factory=dict)
    """Requests a second that targets state in their responses."""
    arrivals: dict = field(factory=lambda: defaultdict(list))
    """Times at which requests were sent to each target."""
    requests_without_target: int = 0
    is_cut: Callable = lambda sender, receiver: False
    """Returns whether what one instance sends to another is lost, by their settings."""

    def __attrs_post_init__(self):
        names = [f"w{number}" for number in range(self.workspaces)]
        self.codec = VersionCodec({name: Workspace(name, 40.0, 40) for name in names})
        self.failing = {
            f"i-{number:010x}" for number in range(int(self.targets * FAILING_TARGETS))
        }
        self.instances = [self._make_instance(number) for number in range(self.size)]
        registered = [self._make_target(number) for number in range(self.targets)]
        for instance in self.instances:
            instance.registry.replace_all(registered, 10)
            instance.apply_configuration(self.configuration_value(1))
        if self.introduced:
            self._introduce()

    def _make_instance(self, number):
        host = f"10.1.{number // 250}.{number % 250}"
        settings = MeshSettings(
            instance=f"frontend-{number}",
            data_centre=self.data_centres[number % len(self.data_centres)],
            caller_address=f"{host}:80",
            heartbeat_address=f"{host}:81",
            fetch_address=f"{host}:82",
            metrics_address=f"{host}:83",
            store_driver=STORE_DRIVER,
            store_address="store:84",
            seeds=[f"10.1.0.{seed}:81" for seed in range(3)],
            first_start=True,
            link_bytes_per_s=self.link_bytes_per_s,
            relay_min_instances=self.relay_min_instances,
            worker_threads=1,
        )
        instance = MeshInstance(settings, self.codec, DEFAULT_DIALECT, self.timers)
        instance.targets.random = Random(number)
        instance.targets.choice.random = instance.targets.random
        instance.random = Random(number)
        instance.snapshot_fetcher.random = Random(number)
        # Those of a large fleet would use up the descriptors of the test process.
        instance.heartbeats.socket.close()
        instance.snapshots.runner.loop.close()
        link = self.links.setdefault(settings.instance, Link(self.link_bytes_per_s))
        instance.heartbeats.socket = Datagrams(self, link, settings)
        instance.snapshots = SimulatedSnapshots(self, instance)
        self.by_heartbeat_address[settings.heartbeat_address] = instance
        self.by_fetch_address[settings.fetch_address] = instance
        return instance

    def _make_target(self, number):
        data_centre = self.data_centres[number % len(self.data_centres)]
        address = f"10.2.{number // 250}.{number % 250}:8489"
        return RegisteredTarget(
            f"i-{number:010x}", SERVICE, address, data_centre, 6, 1, 1
        )

    def _introduce(self):
        """Deliver a full heartbeat of each instance to all others, past the links.

        The fleet is then past its start, whose heartbeats name many peers.
        """
        for instance in self.instances:
            heartbeat = instance.build_heartbeats(Recipients.ALL)[0].heartbeat
            instance.full_heartbeats.sent = INITIAL_FULL_HEARTBEATS
            for other in self.instances:
                if other is not instance:
                    other.members.receive(heartbeat)
                    other.peer_addresses.add([heartbeat.description.beat_address])
        for instance in self.instances:
            instance.full_heartbeats.take_newcomers()

    def relays_of(self, data_centre):
        """Return the instances of a data centre that relay."""
        return [
            each
            for each in self.instances
            if each.settings.data_centre == data_centre and each.relaying.relays_to
        ]

    def remove(self, instances):
        """Take instances away, as when their machines lose power."""
        for instance in instances:
            self.instances.remove(instance)
            del self.by_heartbeat_address[instance.settings.heartbeat_address]

    def configuration_value(self, generation, size=20_000):
        """Return the value of a configuration, which cannot be compressed much."""
        return (
            b"%d " % generation + Random(generation).randbytes(size // 2).hex().encode()
        )

    def assume_request_rate(self, rate_per_s):
        """Let all instances believe that callers have sent requests at a rate."""
        for instance in self.instances:
            budget = instance.retry_budgets.budget_for(SERVICE)
            budget.requests.add(int(rate_per_s * budget.requests.window_s))

    def restart(self, instances):
        """Replace instances by new processes, which know the targets only."""
        for old in instances:
            number = self.instances.index(old)
            self.instances[number] = new = self._make_instance(number)
            new.incarnation = old.incarnation + 1
            new.registry.replace_all(old.registry.targets.values(), 10)
            new.apply_configuration(self.configuration_value(1))

    def at(self, time_s, action):
        """Run `action` at a time."""
        heapq.heappush(self.pending, (time_s, next(self.counter), action))

    def transfer(self, snapshots, server, request):
        """Send a snapshot in chunks over the server's link.

        Opening the connection and the request each wait for the requester's link. A
        server that is cut off does not answer.
        """
        started_s = self.timers.now()
        if self.is_cut(server.settings, snapshots.instance.settings):
            self.at(started_s + FETCH_TIMEOUT_S, lambda: snapshots.end(None))
            return
        snapshot = server.build_snapshot(request)
        link = self.links[server.settings.instance]
        requester_link = self.links[snapshots.instance.settings.instance]
        request_arrives_s = started_s + 2 * requester_link.wait_s(started_s) + LATENCY_S

        def send_chunk(left):
            now = self.timers.now()
            if now - started_s > FETCH_TIMEOUT_S:
                snapshots.end(None)
            elif left <= 0:
                snapshots.end(snapshot)
            else:
                sent_s = link.send(now, min(left, CHUNK_BYTES)) + LATENCY_S
                self.at(sent_s, lambda: send_chunk(left - CHUNK_BYTES))

        self.at(request_arrives_s, lambda: send_chunk(snapshot.ByteSize()))

    def run(self, duration_s, caller_rate_per_s, probe_rate_per_s):
        """Let callers send requests, and operators probe each instance.

        Callers ask the directory where to connect; probes go to every instance.
        """
        end_s = self.timers.now() + duration_s
        while self.timers.now() < end_s:
            self._start_requests(caller_rate_per_s, probe_rate_per_s)
            for instance in self.instances:
                while (recipients := instance.heartbeats.take_due()) is not None:
                    instance.heartbeats.send(recipients)
            self._advance(STEP_S)

    def _advance(self, duration_s):
        end_s = self.timers.now() + duration_s
        while self.pending and self.pending[0][0] <= end_s:
            time_s, _, action = heapq.heappop(self.pending)
            self.timers.time_s = max(self.timers.time_s, time_s)
            action()
        self.timers.advance(end_s - self.timers.now())

    def _start_requests(self, caller_rate_per_s, probe_rate_per_s):
        self.due_requests["callers"] += caller_rate_per_s * STEP_S
        while self.due_requests["callers"] >= 1.0:
            self.due_requests["callers"] -= 1.0
            size = self.random.choices(RESPONSE_BYTES, RESPONSE_WEIGHTS)[0]
            chosen = self._choose_for_caller()
            if chosen is not None:
                self._start_request(chosen, size)
        for instance in self.instances:
            if self.random.random() < probe_rate_per_s * STEP_S:
                self._start_request(instance, 100)

    def _choose_for_caller(self):
        """Return the instance that a caller connects to; None if it is gone."""
        asked = self.random.choice(self.instances)
        addresses = asked.directory.resolve(asked.settings.data_centre).addresses
        host = self.random.choice(addresses).removesuffix(":80")
        return self.by_heartbeat_address.get(f"{host}:81")

    def _start_request(self, instance, response_bytes):
        workspace = self.codec.workspaces[f"w{self.random.randrange(self.workspaces)}"]
        instance.admit(workspace)
        instance.retry_budgets.budget_for(SERVICE).record_request()
        attempt = instance.targets.acquire(SERVICE)
        if attempt is None:
            self.requests_without_target += 1
            return
        self.arrivals[attempt.target.name].append(self.timers.now())
        failing = attempt.target.name in self.failing
        failed = failing and self.random.random() < FAILURE_SHARE
        kind = OutcomeKind.ERROR if failed else OutcomeKind.SUCCESS
        lasts_s = FAILED_REQUEST_S if failed else REQUEST_S
        ends_s = self.timers.now() + lasts_s

        def end():
            limit_per_s = self.rate_limits.get(attempt.target.name)
            attempt.record_rate_limit(limit_per_s, not failed)
            attempt.finish(Outcome(kind, lasts_s, response_bytes))
            link = self.links[instance.settings.instance]
            link.send(self.timers.now(), response_bytes)

        self.at(ends_s, end)

    def arrivals_over_the_limit(self, name, limit_per_s, since_s):
        """Return by how much the worst window exceeds the users' rule for a target."""
        allowed = RATE_LIMIT_FACTOR * limit_per_s * RATE_LIMIT_WINDOW_S
        allowed += RATE_LIMIT_SLACK
        times_s = [time_s for time_s in self.arrivals[name] if time_s >= since_s]
        worst = 0
        for start_s in times_s:
            end_s = start_s + RATE_LIMIT_WINDOW_S
            worst = max(worst, sum(start_s <= time_s < end_s for time_s in times_s))
        return worst - allowed

    def datagram_counts(self):
        """Return the datagrams that each instance has sent, by name."""
        return {
            each.settings.instance: each.heartbeats.socket.sent
            for each in self.instances
        }

    def generations(self):
        """Return the generations in force."""
        return {each.configuration_holder.generation() for each in self.instances}

"""Several control planes in one process, with network cuts between chosen pairs."""

import time

from attrs import define, field

from lacewinglift.configuration import (
    Configuration,
    Fleet,
    Route,
    Service,
    Target,
    Workspace,
    digest_key,
)
from lacewinglift.control import ControlPlane
from lacewinglift.distribution import manifest_key, segment_key
from lacewinglift.errors import PeerError
from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.segments import encode_configuration
from lacewinglift.targets import TargetTable
from lacewinglift.timers import ThreadTimers
from testing.fleet.processes import free_ports
from testing.standins.store import StoreStandIn

FLEET = "cell-test"
DATA_CENTRES = ("milano", "torino", "verona")


def make_configuration(generation=1, keys=("key",), rate_per_s=200.0, burst=200):
    """Return a configuration with one service, route and workspace."""
    target = Target("t1", "127.0.0.1:1", "milano", 6, 330)
    workspace = Workspace(
        "arena", rate_per_s, burst, tuple(digest_key(key) for key in keys)
    )
    return Configuration(
        generation,
        Fleet(FLEET, data_centres=DATA_CENTRES),
        {"catalogo": Service("catalogo", (target,))},
        (Route("/catalogo", "catalogo"),),
        {workspace.name: workspace},
    )


@define(eq=False)
class Node:
    """One control plane and its timers."""

    control: ControlPlane
    timers: ThreadTimers

    @property
    def name(self):
        return self.control.identity.instance

    def refusal(self):
        return self.control.standing.refusal()

    def admits(self):
        workspace = self.control.distribution.current().workspaces["arena"]
        return self.control.admission.admit(workspace).admitted

    def stop(self):
        self.control.stop()
        self.timers.stop()


@define(eq=False)
class ControlCell:
    """Control planes of one cell, and the store stand-in that they share."""

    store: StoreStandIn = field(factory=StoreStandIn)
    nodes: dict[str, Node] = field(factory=dict)
    peers: dict[str, str] = field(factory=dict)
    cut_links: set[tuple[str, str]] = field(factory=set)
    """Pairs (sender, receiver) whose heartbeats are dropped and whose calls fail."""

    def start(self, count):
        ports = free_ports(count)
        self.peers = {f"i{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)}
        for name in self.peers:
            self.start_node(name)
        self.wait_until(
            lambda: all(node.refusal() is None for node in self.running_nodes())
        )
        self.wait_until(self.all_nodes_have_shares)

    def start_node(self, name):
        number = int(name[1:])
        timers = ThreadTimers()
        identity = Identity(
            name,
            FLEET,
            "main",
            DATA_CENTRES[number % 3],
            f"127.0.0.1:{1000 + number}",
            self.peers[name],
            time.time_ns() // 1_000_000,
        )
        seeds = [address for peer, address in self.peers.items() if peer != name]
        table = TargetTable(timers, identity.data_centre, name, seed=1)
        control = ControlPlane(identity, self.store.address, seeds, table, timers)
        self._apply_cut_links(control)
        node = Node(control, timers)
        self.nodes[name] = node
        control.start()
        self._announce_live(node)
        return node

    def stop_node(self, name):
        self.nodes.pop(name).stop()

    def close(self):
        for name in list(self.nodes):
            self.stop_node(name)
        self.store.close()

    def running_nodes(self):
        return list(self.nodes.values())

    def isolate(self, name):
        """Cut the links between an instance and all others, in both directions."""
        self.cut_links |= {(name, other) for other in self.peers}
        self.cut_links |= {(other, name) for other in self.peers}

    def store_configuration(self, configuration):
        """Write a configuration to the store, as publishing does."""
        encoded = encode_configuration(configuration, "test")
        for sha256, content in encoded.segments.items():
            self.store.put(segment_key(FLEET, sha256), content)
        self.store.put(manifest_key(FLEET), encoded.manifest.SerializeToString())
        return encoded

    def generations(self):
        return [node.control.distribution.generation() for node in self.running_nodes()]

    def ledger(self):
        """Return the ledger in the store."""
        key = f"/lacewinglift/{FLEET}/cells/main/ledger"
        return fleet_pb2.Ledger.FromString(self.store.values(key).get(key, b""))

    def granted_ppm(self):
        """Return the share that the ledger in the store grants to each instance."""
        ledger = self.ledger()
        return {
            ledger.members[share.member].instance: share.granted_ppm
            for entry in ledger.workspaces
            for share in entry.shares
        }

    def all_nodes_have_shares(self):
        """Return whether each node has a share and the shares exceed 99 % in total."""
        granted = self.granted_ppm()
        names = {name for name in self.nodes if granted.get(name)}
        return names == set(self.nodes) and sum(granted.values()) > 990_000

    def wait_until(self, condition, timeout_s=30.0):
        """Wait until `condition` holds; fails after `timeout_s`."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline_s, (
                f"the condition did not hold within {timeout_s:g} s"
            )
            time.sleep(0.05)

    def _announce_live(self, node):
        def announce():
            if node.refusal() is None:
                node.control.set_state(fleet_pb2.LIVE)
                subscription.cancel()

        subscription = node.timers.subscribe(0.05, announce)

    def _apply_cut_links(self, control):
        name = control.identity.instance
        receive = control.members.receive
        call = control.peer_client.call

        def receive_unless_cut(heartbeat):
            if (heartbeat.instance, name) in self.cut_links:
                return True
            return receive(heartbeat)

        async def call_unless_cut(address, method, request, timeout_s):
            other = next((n for n, a in self.peers.items() if a == address), "")
            if {(name, other), (other, name)} & self.cut_links:
                raise PeerError(f"the link between {name} and {other} is cut")
            return await call(address, method, request, timeout_s)

        control.members.receive = receive_unless_cut
        control.peer_client.call = call_unless_cut

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.members import PROMISE_LIFETIME_S, Members
from lacewinglift.standing import Standing
from lacewinglift.timers import ManualTimers


class Node:
    """Members and standing of one instance, without transport."""

    def __init__(self, name, timers):
        self.timers = timers
        self.identity = Identity(name, "f", "main", "dc", f"c-{name}", f"p-{name}", 1)
        self.identity.state = fleet_pb2.LIVE
        self.members = Members(self.identity, timers)
        self.members.generation = 1
        self.standing = Standing(self.identity, self.members, timers)

    def apply(self, ledger):
        self.members.ledger_version = ledger.version
        self.members.apply_ledger_members(list(ledger.members))
        self.standing.apply_ledger(ledger)


def send(source, destination):
    heartbeat = source.members.build_heartbeat(destination.identity.instance, True)
    destination.members.receive(heartbeat)
    destination.standing.update()


def exchange(nodes, cut_links=()):
    for source in nodes:
        for destination in nodes:
            pair = (source.identity.instance, destination.identity.instance)
            if source is not destination and pair not in cut_links:
                send(source, destination)


def make_ledger(nodes, version=1, fenced=()):
    ledger = fleet_pb2.Ledger(version=version)
    for node in nodes:
        name = node.identity.instance
        ledger.members.add(
            instance=name,
            incarnation=node.identity.incarnation,
            fenced_in_version=version if name in fenced else 0,
        )
    return ledger


@pytest.fixture
def cell():
    timers = ManualTimers()
    nodes = [Node(name, timers) for name in "abc"]
    ledger = make_ledger(nodes)
    for node in nodes:
        node.apply(ledger)
    for _ in range(3):
        run_step(nodes)
    return nodes


def run_step(nodes, cut_links=(), seconds=1.0):
    nodes[0].timers.advance(seconds)
    for node in nodes:
        node.members.tick()
    exchange(nodes, cut_links)
    for node in nodes:
        node.standing.update()


def refusals(nodes):
    return [node.standing.refusal() for node in nodes]


def test_majority_without_store_keeps_standing(cell):
    """Guards against a fleet that stops serving during a store outage."""
    for _ in range(60):
        run_step(cell)
    assert_that(refusals(cell), Equals([None, None, None]))


def test_isolated_instance_loses_standing_in_time(cell):
    """Guards against accepting withdrawn keys while isolated."""
    cut_links = {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    for _ in range(5):
        run_step(cell, cut_links)
    assert_that(refusals(cell), Equals(["isolated", None, None]))


def test_instance_that_only_receives_loses_standing(cell):
    """Guards against standing that depends only on received heartbeats."""
    cut_links = {("a", "b"), ("a", "c")}
    for _ in range(6):
        run_step(cell, cut_links)
    assert_that(cell[0].standing.refusal(), Equals("isolated"))


def test_first_check_after_pause_refuses(cell):
    """Guards against admitting requests on evidence from before a pause."""
    cell[0].timers.pause(10.0)
    assert_that(cell[0].standing.refusal(), Equals("isolated"))


def test_store_contact_gives_standing_without_peers(cell):
    """Guards against refusing requests although the store still replies."""
    a = cell[0]
    cut_links = {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    for _ in range(8):
        a.members.record_store_contact(a.timers.now())
        run_step(cell, cut_links)
    assert_that(a.standing.refusal(), Is(None))


def test_newer_generation_elsewhere_ends_standing_after_grace(cell):
    """Guards against serving with a configuration that others have replaced."""
    b = cell[1]
    b.members.generation = 2
    for _ in range(4):
        run_step(cell)
    assert_that(cell[0].standing.refusal(), Equals("isolated"))
    cell[0].members.generation = 2
    run_step(cell)
    assert_that(cell[0].standing.refusal(), Is(None))


def test_regaining_standing_needs_newest_ledger(cell):
    """Guards against a fenced holder that returns and uses its former share."""
    a, b, c = cell
    cut_links = {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    for _ in range(6):
        run_step(cell, cut_links)
    fenced = make_ledger(cell, version=2, fenced=("a",))
    b.apply(fenced)
    c.apply(fenced)
    for _ in range(int(PROMISE_LIFETIME_S) + 2):
        run_step(cell)
    assert_that(a.standing.refusal(), Equals("isolated"))
    a.apply(fenced)
    run_step(cell)
    assert_that(a.standing.refusal(), Equals("isolated"))


def test_silent_peer_is_promised_against_and_gets_no_echo(cell):
    """Guards against a fenced instance that still receives echoes."""
    a, b, _ = cell
    cut_links = {("a", "b"), ("a", "c")}
    for _ in range(6):
        run_step(cell, cut_links)
    promises = b.members.build_heartbeat("c", False).promises
    assert_that([p.instance for p in promises], Equals(["a"]))
    send(a, b)
    assert_that(b.members.build_heartbeat("a", False).echo, Equals(0))


def test_announced_promise_does_not_outlast_the_actual_one(cell):
    """Guards against a delayed heartbeat that makes a promise appear to last longer."""
    _, b, c = cell
    cut_links = {("a", "b"), ("a", "c")}
    for _ in range(6):
        run_step(cell, cut_links)
    heartbeat = b.members.build_heartbeat("c", False)
    until_s = max(b.members.promised_until_s.values())
    c.timers.pause(3.0)
    c.members.receive(heartbeat)
    view = next(v for v in c.members.views() if v.instance == "b")
    assert view.promises[0].until_s <= until_s


def test_resumed_instance_makes_no_promises(cell):
    """Guards against a process that suspects the others after its own pause."""
    a, _b, _c = cell
    a.timers.pause(20.0)
    a.members.tick()
    assert_that(a.members.promised_until_s, Equals({}))


def test_heartbeat_of_old_incarnation_is_ignored(cell):
    """Guards against a late heartbeat from a process that was replaced."""
    a, b, _ = cell
    late = b.members.build_heartbeat("a", False)
    b.identity.renew_incarnation(5)
    send(b, a)
    assert_that(a.members.receive(late), Is(False))


def test_superseded_incarnation_in_ledger_is_promised_against(cell):
    """Guards against waiting for silence of a process that was already replaced."""
    a, b, _ = cell
    b.identity.renew_incarnation(5)
    send(b, a)
    promises = a.members.build_heartbeat("c", False).promises
    assert_that([(p.instance, p.incarnation) for p in promises], Equals([("b", 1)]))

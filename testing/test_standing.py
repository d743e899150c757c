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


def exchange(nodes, cut=()):
    for source in nodes:
        for destination in nodes:
            pair = (source.identity.instance, destination.identity.instance)
            if source is not destination and pair not in cut:
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
        step(nodes)
    return nodes


def step(nodes, cut=(), seconds=1.0):
    nodes[0].timers.advance(seconds)
    for node in nodes:
        node.members.tick()
    exchange(nodes, cut)
    for node in nodes:
        node.standing.update()


def refusals(nodes):
    return [node.standing.refusal() for node in nodes]


def test_majority_without_store_keeps_standing(cell):
    """Guards against a fleet that stops serving in a store outage."""
    for _ in range(60):
        step(cell)
    assert_that(refusals(cell), Equals([None, None, None]))


def test_instance_cut_off_loses_standing_within_bound(cell):
    """Guards against serving withdrawn keys while cut off from everything."""
    cut = {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    for _ in range(5):
        step(cell, cut)
    assert_that(refusals(cell), Equals(["isolated", None, None]))


def test_one_way_cut_counts_as_cut(cell):
    """Guards against standing that only needs hearing, not being heard."""
    cut = {("a", "b"), ("a", "c")}
    for _ in range(6):
        step(cell, cut)
    assert_that(cell[0].standing.refusal(), Equals("isolated"))


def test_first_check_after_pause_refuses(cell):
    """Guards against admitting on the view from before a pause."""
    cell[0].timers.pause(10.0)
    assert_that(cell[0].standing.refusal(), Equals("isolated"))


def test_store_contact_gives_standing_to_one_cut_off(cell):
    """Guards against refusing although the store still answers."""
    a = cell[0]
    cut = {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    for _ in range(8):
        a.members.record_store_contact(a.timers.now())
        step(cell, cut)
    assert_that(a.standing.refusal(), Is(None))


def test_newer_generation_elsewhere_ends_standing_after_grace(cell):
    """Guards against serving an old configuration that others have replaced."""
    b = cell[1]
    b.members.generation = 2
    for _ in range(4):
        step(cell)
    assert_that(cell[0].standing.refusal(), Equals("isolated"))
    cell[0].members.generation = 2
    step(cell)
    assert_that(cell[0].standing.refusal(), Is(None))


def test_regaining_standing_needs_newest_ledger(cell):
    """Guards against a fenced holder that returns and uses its old share."""
    a, b, c = cell
    cut = {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    for _ in range(6):
        step(cell, cut)
    fenced = make_ledger(cell, version=2, fenced=("a",))
    b.apply(fenced)
    c.apply(fenced)
    for _ in range(int(PROMISE_LIFETIME_S) + 2):
        step(cell)
    assert_that(a.standing.refusal(), Equals("isolated"))
    a.apply(fenced)
    step(cell)
    assert_that(a.standing.refusal(), Equals("isolated"))


def test_silent_peer_gets_a_promise_and_no_echo(cell):
    """Guards against a fence whose subject still collects echoes."""
    a, b, _ = cell
    cut = {("a", "b"), ("a", "c")}
    for _ in range(6):
        step(cell, cut)
    promises = b.members.build_heartbeat("c", False).promises
    assert_that([p.instance for p in promises], Equals(["a"]))
    send(a, b)
    assert_that(b.members.build_heartbeat("a", False).echo, Equals(0))


def test_stated_promise_is_counted_from_before_it_was_sent(cell):
    """Guards against a promise that seems to last longer than it does."""
    _, b, c = cell
    cut = {("a", "b"), ("a", "c")}
    for _ in range(6):
        step(cell, cut)
    heartbeat = b.members.build_heartbeat("c", False)
    until_s = max(b.members.promised_until_s.values())
    c.timers.pause(3.0)
    c.members.receive(heartbeat)
    view = next(v for v in c.members.views() if v.instance == "b")
    assert view.promises[0].until_s <= until_s


def test_paused_observer_makes_no_promises_on_return(cell):
    """Guards against a process that blames the others for its own pause."""
    a, _b, _c = cell
    a.timers.pause(20.0)
    a.members.tick()
    assert_that(a.members.promised_until_s, Equals({}))


def test_old_incarnation_is_not_taken_in(cell):
    """Guards against a late heartbeat of a process that was replaced."""
    a, b, _ = cell
    late = b.members.build_heartbeat("a", False)
    b.identity.renew_incarnation(5)
    send(b, a)
    assert_that(a.members.receive(late), Is(False))


def test_superseded_incarnation_in_ledger_is_promised_against(cell):
    """Guards against waiting for silence of a process that is known replaced."""
    a, b, _ = cell
    b.identity.renew_incarnation(5)
    send(b, a)
    promises = a.members.build_heartbeat("c", False).promises
    assert_that([(p.instance, p.incarnation) for p in promises], Equals([("b", 1)]))

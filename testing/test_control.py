import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.generated import fleet_pb2
from testing.standins.cell import ControlCell, make_configuration

# An instance that is cut off notices after the age of an echo (4 s), one heartbeat
# interval and the interval at which standing is judged.
CUT_OFF_BOUND_S = 6.0
CHANGE_BOUND_S = 9.0


@pytest.fixture
def cell():
    cell = ControlCell()
    cell.put(make_configuration())
    try:
        cell.start(4)
        yield cell
    finally:
        cell.close()


def elapsed_until(cell, condition, timeout_s=30.0):
    started_s = time.monotonic()
    cell.wait(condition, timeout_s)
    return time.monotonic() - started_s


def test_store_outage_keeps_standing_and_division(cell):
    """Guards against a fleet that stops in an outage of the store."""
    before = cell.granted()
    cell.store.outage()
    until_s = time.monotonic() + 8.0
    while time.monotonic() < until_s:
        assert_that([node.refusal() for node in cell.all()], Equals([None] * 4))
        time.sleep(0.2)
    assert all(node.admits() for node in cell.all())
    cell.store.restore()
    assert_that(cell.granted(), Equals(before))


def test_instance_cut_off_from_all_stops_serving_keyed_requests(cell):
    """Guards against a withdrawn key or a moved share in use behind a cut."""
    cut = cell.nodes["i3"]
    cell.store.outage()
    cell.cut_off("i3")
    seconds = elapsed_until(cell, lambda: cut.refusal() == "isolated")
    assert_that(seconds, LessThan(CUT_OFF_BOUND_S))
    assert not cut.admits()
    others = [cell.nodes[name].refusal() for name in ("i0", "i1", "i2")]
    assert_that(others, Equals([None] * 3))


def test_cut_in_one_direction_ends_standing_too(cell):
    """Guards against an instance that is heard but hears of no change."""
    cell.store.outage()
    cell.cuts |= {(other, "i3") for other in cell.peers}
    cut = cell.nodes["i3"]
    seconds = elapsed_until(cell, lambda: cut.refusal() == "isolated")
    assert_that(seconds, LessThan(CUT_OFF_BOUND_S))


def test_share_of_a_dead_instance_moves_to_the_others(cell):
    """Guards against a quota that stays lowered after a crash."""
    cell.stop_node("i3")
    seconds = elapsed_until(cell, cell.shares_are_even, 40.0)
    # Silence 4 s, promises and write 2 s, fence wait 6 s, three writes and rounds
    # of heartbeats.
    assert_that(seconds, LessThan(20.0))


def test_fenced_instance_returns_as_a_new_incarnation_without_share(cell):
    """Guards against a local_ledger that goes on with a share that was moved."""
    node = cell.nodes["i3"]
    before = node.control.identity.incarnation
    cell.cut_off("i3")
    cell.wait(lambda: "i3" not in cell.granted(), 40.0)
    assert_that(node.control.local_ledger.granted_ppm("arena"), Equals(0))
    cell.cuts.clear()
    cell.wait(lambda: node.control.identity.incarnation > before)
    cell.wait(cell.shares_are_even, 60.0)


def test_leaving_instance_gives_its_share_back_without_a_fence(cell):
    """Guards against a share that is unused while an instance is replaced."""
    node = cell.nodes["i3"]
    node.control.set_state(fleet_pb2.LEAVING)
    seconds = elapsed_until(cell, lambda: "i3" not in cell.granted())
    assert_that(seconds, LessThan(4.0))


def test_generation_offered_to_one_instance_reaches_all_without_store(cell):
    """Guards against a withdrawn key that lives on when the store goes down."""
    encoded = cell.put(make_configuration(generation=2, keys=()))
    cell.store.outage()
    first = cell.nodes["i0"].control
    request = fleet_pb2.OfferConfigurationRequest(
        manifest=encoded.manifest,
        segments=[
            fleet_pb2.Segment(sha256=sha256, content=content)
            for sha256, content in encoded.segments.items()
        ],
    )
    asyncio.run_coroutine_threadsafe(
        first.offer_configuration(request), first.runner.loop
    ).result(5.0)
    seconds = elapsed_until(cell, lambda: cell.generations() == [2] * 4)
    assert_that(seconds, LessThan(CHANGE_BOUND_S))


def test_configuration_does_not_revert(cell):
    """Guards against an old manifest, from the store or a peer, that wins."""
    cell.put(make_configuration(generation=3))
    cell.wait(lambda: cell.generations() == [3] * 4)
    cell.put(make_configuration(generation=2))
    time.sleep(3.0)
    assert_that(cell.generations(), Equals([3] * 4))


def test_instance_started_in_an_outage_learns_from_its_peers(cell):
    """Guards against a restart that needs the store, or starts behind."""
    cell.put(make_configuration(generation=2))
    cell.wait(lambda: cell.generations() == [2] * 4)
    cell.store.outage()
    cell.stop_node("i3")
    node = cell.start_node("i3")
    cell.wait(lambda: node.refusal() is None)
    assert_that(node.control.distribution.generation(), Equals(2))
    assert_that(node.control.local_ledger.granted_ppm("arena"), Equals(0))
    cell.wait(node.admits)


def test_instance_behind_a_newer_generation_refuses(cell):
    """Guards against serving an old generation that cannot be replaced here."""
    node = cell.nodes["i3"]

    async def fail(*arguments):
        return False

    node.control.distribution.fetch_from_peer = fail
    node.control.distribution.fetch_from_store = fail
    cell.put(make_configuration(generation=2))
    cell.wait(lambda: cell.generations() == [2, 2, 2, 1])
    seconds = elapsed_until(cell, lambda: node.refusal() == "isolated")
    assert_that(seconds, LessThan(CUT_OFF_BOUND_S))


def test_instance_that_stops_watching_closes_its_watch(cell):
    """Guards against watches that stay open and grow with the fleet."""
    duty = cell.nodes["i3"].control.store_reader
    control = cell.nodes["i3"].control
    before = cell.store.calls()["waiting_watches"]
    fetched = asyncio.Event()

    async def hold(*arguments):
        fetched.set()
        await asyncio.sleep(60.0)

    # The watch is given up while an entry of it is being taken in.
    control.distribution.fetch_from_store = hold
    cell.put(make_configuration(generation=2))
    cell.wait(fetched.is_set)
    duty.is_watcher = lambda: False
    cell.wait(lambda: cell.store.calls()["waiting_watches"] < before)

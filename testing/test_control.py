import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.generated import fleet_pb2
from testing.standins.cell import ControlCell, make_configuration

# An isolated instance loses standing after the maximum age of an echo (4 s), one
# heartbeat interval and the interval at which standing is updated.
CUT_OFF_BOUND_S = 6.0
PROPAGATION_BOUND_S = 9.0


@pytest.fixture
def cell():
    cell = ControlCell()
    cell.store_configuration(make_configuration())
    try:
        cell.start(4)
        yield cell
    finally:
        cell.close()


def elapsed_until(cell, condition, timeout_s=30.0):
    started_s = time.monotonic()
    cell.wait_until(condition, timeout_s)
    return time.monotonic() - started_s


def test_store_outage_keeps_standing_and_division(cell):
    """Guards against a fleet that stops serving during an outage of the store."""
    before = cell.granted_ppm()
    cell.store.outage()
    until_s = time.monotonic() + 8.0
    while time.monotonic() < until_s:
        assert_that(
            [node.refusal() for node in cell.running_nodes()], Equals([None] * 4)
        )
        time.sleep(0.2)
    assert all(node.admits() for node in cell.running_nodes())
    cell.store.restore()
    assert_that(cell.granted_ppm(), Equals(before))


def test_instance_cut_off_from_all_stops_serving_keyed_requests(cell):
    """Guards against an isolated instance that uses a withdrawn key or a moved share.

    It receives neither change, so it has to stop serving keyed requests.
    """
    cut = cell.nodes["i3"]
    cell.store.outage()
    cell.isolate("i3")
    seconds = elapsed_until(cell, lambda: cut.refusal() == "isolated")
    assert_that(seconds, LessThan(CUT_OFF_BOUND_S))
    assert not cut.admits()
    others = [cell.nodes[name].refusal() for name in ("i0", "i1", "i2")]
    assert_that(others, Equals([None] * 3))


def test_instance_that_receives_nothing_loses_standing(cell):
    """Guards against standing of an instance that can send but receives no changes."""
    cell.store.outage()
    cell.cut_links |= {(other, "i3") for other in cell.peers}
    cut = cell.nodes["i3"]
    seconds = elapsed_until(cell, lambda: cut.refusal() == "isolated")
    assert_that(seconds, LessThan(CUT_OFF_BOUND_S))


def test_share_of_a_dead_instance_moves_to_the_others(cell):
    """Guards against a crash that leaves the quota of the cell permanently reduced."""
    cell.stop_node("i3")
    seconds = elapsed_until(cell, cell.all_nodes_have_shares, 40.0)
    # 4 s until suspicion, 2 s for promises and the write of the fence, 6 s of fence
    # wait, and three writes with a round of heartbeats each.
    assert_that(seconds, LessThan(20.0))


def test_fenced_instance_returns_as_a_new_incarnation_without_share(cell):
    """Guards against an instance that keeps using a share given to others."""
    node = cell.nodes["i3"]
    before = node.control.identity.incarnation
    cell.isolate("i3")
    cell.wait_until(lambda: "i3" not in cell.granted_ppm(), 40.0)
    assert_that(node.control.local_ledger.granted_ppm("arena"), Equals(0))
    cell.cut_links.clear()
    cell.wait_until(lambda: node.control.identity.incarnation > before)
    cell.wait_until(cell.all_nodes_have_shares, 60.0)


def test_share_of_a_leaving_instance_is_released_without_a_fence(cell):
    """Guards against a share that lies idle while its instance is replaced."""
    node = cell.nodes["i3"]
    node.control.set_state(fleet_pb2.LEAVING)
    seconds = elapsed_until(cell, lambda: "i3" not in cell.granted_ppm())
    assert_that(seconds, LessThan(4.0))


def test_generation_offered_to_one_instance_reaches_all_without_store(cell):
    """Guards against a withdrawn key that stays valid because the store goes down."""
    encoded = cell.store_configuration(make_configuration(generation=2, keys=()))
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
    assert_that(seconds, LessThan(PROPAGATION_BOUND_S))


def test_configuration_does_not_revert(cell):
    """Guards against an older manifest of the store or a peer replacing a newer one."""
    cell.store_configuration(make_configuration(generation=3))
    cell.wait_until(lambda: cell.generations() == [3] * 4)
    cell.store_configuration(make_configuration(generation=2))
    time.sleep(3.0)
    assert_that(cell.generations(), Equals([3] * 4))


def test_instance_started_in_an_outage_gets_state_from_its_peers(cell):
    """Guards against a restart that needs the store or serves an old configuration."""
    cell.store_configuration(make_configuration(generation=2))
    cell.wait_until(lambda: cell.generations() == [2] * 4)
    cell.store.outage()
    cell.stop_node("i3")
    node = cell.start_node("i3")
    cell.wait_until(lambda: node.refusal() is None)
    assert_that(node.control.distribution.generation(), Equals(2))
    assert_that(node.control.local_ledger.granted_ppm("arena"), Equals(0))
    cell.wait_until(node.admits)


def test_instance_behind_a_newer_generation_refuses(cell):
    """Guards against serving an old generation when the newer one cannot be fetched."""
    node = cell.nodes["i3"]

    async def fail(*arguments):
        return False

    node.control.distribution.fetch_from_peer = fail
    node.control.distribution.fetch_from_store = fail
    cell.store_configuration(make_configuration(generation=2))
    cell.wait_until(lambda: cell.generations() == [2, 2, 2, 1])
    seconds = elapsed_until(cell, lambda: node.refusal() == "isolated")
    assert_that(seconds, LessThan(CUT_OFF_BOUND_S))


def test_instance_that_stops_watching_closes_its_watch(cell):
    """Guards against watches that stay open, so that their number grows with the fleet.

    The watch is cancelled while one of its entries is being applied.
    """
    reader = cell.nodes["i3"].control.store_reader
    control = cell.nodes["i3"].control
    before = cell.store.calls()["waiting_watches"]
    fetched = asyncio.Event()

    async def hold(*arguments):
        fetched.set()
        await asyncio.sleep(60.0)

    control.distribution.fetch_from_store = hold
    cell.store_configuration(make_configuration(generation=2))
    cell.wait_until(fetched.is_set)
    reader.is_watcher = lambda: False
    cell.wait_until(lambda: cell.store.calls()["waiting_watches"] < before)

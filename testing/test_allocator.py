import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.allocator import Allocator
from lacewinglift.generated import fleet_pb2
from lacewinglift.member_views import MemberView, PromiseView
from testing.standins.cell import DATA_CENTRES, make_configuration

NAMES = ("i0", "i1", "i2", "i3")


def make_views(version, now_s, silent=None):
    """Return the views of a member that receives heartbeats from all but `silent`."""
    promises = () if silent is None else (PromiseView(silent, 1, now_s + 30.0),)
    views = []
    for number, name in enumerate(NAMES):
        heartbeat_at_s = now_s - 6.0 if name == silent else now_s
        views.append(
            MemberView(
                instance=name,
                incarnation=1,
                state=fleet_pb2.LIVE,
                data_centre=DATA_CENTRES[number % 3],
                # A silent holder has not applied the newest version.
                ledger_version=version - 1 if name == silent else version,
                last_heartbeat_at_s=heartbeat_at_s,
                echoed_heartbeat_sent_at_s=heartbeat_at_s,
                standing=True,
                promises=() if name == silent else promises,
            )
        )
    return views


@pytest.fixture
def allocator():
    return Allocator()


@pytest.fixture
def ledger(allocator):
    """Return the ledger of a cell after its shares have stopped moving."""
    ledger = None
    for step in range(10):
        version = ledger.version if ledger is not None else 0
        views = make_views(version, 100.0 + 2 * step)
        planned = allocator.plan(ledger, views, make_configuration(), 100.0 + 2 * step)
        if planned is not None:
            ledger = planned
            allocator.record_written(ledger.version, 100.0 + 2 * step)
    return ledger


def reserved_ppm(ledger, instance):
    return sum(
        share.reserved_ppm
        for entry in ledger.workspaces
        for share in entry.shares
        if ledger.members[share.member].instance == instance
    )


def test_fence_keeps_the_share_reserved(allocator, ledger):
    """Guards against a fence that releases a share which may still be in use."""
    before = reserved_ppm(ledger, "i3")
    views = make_views(ledger.version, 130.0, silent="i3")
    views[3] = evolve(views[3], ledger_version=ledger.version)
    fenced = allocator.plan(ledger, views, make_configuration(), 130.0)
    members = {member.instance: member for member in fenced.members}
    assert_that(members["i3"].fenced_in_version, Equals(fenced.version))
    assert_that(reserved_ppm(fenced, "i3"), Equals(before))


def test_share_is_released_only_after_the_wait(allocator, ledger):
    """Guards against releasing a share before the holder has lost its standing."""
    views = make_views(ledger.version, 130.0, silent="i3")
    views[3] = evolve(views[3], ledger_version=ledger.version)
    fenced = allocator.plan(ledger, views, make_configuration(), 130.0)
    allocator.record_written(fenced.version, 130.0)
    released_at_s = None
    for step in range(40):
        now_s = 130.0 + 0.5 * step
        views = make_views(fenced.version, now_s, silent="i3")
        planned = allocator.plan(fenced, views, make_configuration(), now_s)
        if planned is not None and not reserved_ppm(planned, "i3"):
            released_at_s = now_s
            break
    assert released_at_s is not None
    assert released_at_s >= 136.0

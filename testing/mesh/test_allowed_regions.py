"""Requests that must stay in the regions that route and workspace allow."""

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from lacewinglift.access import Access
from lacewinglift.configuration import Configuration, Fleet, Route, Service, Workspace
from lacewinglift.mesh.allowed_regions import regions_of_caller, report_unknown_regions
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.timers import ManualTimers
from testing.mesh import test_directory
from testing.mesh.test_target_table import make_target

directory, members, timers = (
    test_directory.directory,
    test_directory.members,
    test_directory.timers,
)
REGIONS = {"milano": "south", "torino": "north"}
SOUTH = frozenset({"south"})


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "outside"),
    [
        (None, SOUTH, {"t1", "t2"}),
        (frozenset({"south", "north", "sooth"}), SOUTH, {"t1", "t2"}),
        (frozenset({"north"}), SOUTH, {"t0", "t1", "t2"}),
    ],
)
def test_targets_in_other_regions_are_left_out(of_route, of_workspace, outside, caplog):
    """Guards against a request that leaves its regions, and a misspelt name unseen."""
    route = Route("/a/", "cassa", allowed_regions=of_route)
    workspace = Workspace("w", 1.0, 1, allowed_regions=of_workspace)
    configuration = Configuration(1, Fleet("f"), {}, (route,), {"w": workspace})
    access = Access(configuration, route, Service("cassa", ()), workspace, None)
    table = MeshTargetTable(ManualTimers(), "a", "milano")
    table.regions = REGIONS
    zones = ("milano", "torino", "verona")
    table.apply([make_target(number, zone) for number, zone in enumerate(zones)])
    regions = access.allowed_regions()
    assert_that(table.outside("cassa", regions), Equals(outside))
    query = {"workspace": "w", "path": "/a/1"}
    assert_that(regions_of_caller(configuration, query), Equals(regions))
    report_unknown_regions(configuration, REGIONS.values())
    misspelt = "sooth" in (of_route or ())
    assert_that(caplog.records, HasLength(1 if misspelt else 0))


def test_directory_names_instances_of_the_regions(directory):
    """Guards against callers that are sent to instances of other regions."""
    directory.settings = evolve(directory.settings, regions=REGIONS)
    near = directory.resolve("milano")
    assert_that(directory.resolve("torino", SOUTH), Equals(near))
    assert_that(directory.resolve("torino", frozenset()), Is(None))

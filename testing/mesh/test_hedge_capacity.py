"""Targets that may get a hedge, by the loads of the fleet."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.mesh.hedge_capacity import crowded_targets
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.timers import ManualTimers


@pytest.fixture
def table():
    table = MeshTargetTable(ManualTimers(), "a", "milano")
    table.apply(
        RegisteredTarget(
            f"t{number}",
            "cassa",
            f"10.0.0.{number}:80",
            ("milano", "torino")[number % 2],
            slots=4,
            born_ms=1,
            sequence=1,
            leaving=number == 4,
        )
        for number in range(5)
    )
    return table


def test_targets_without_a_free_slot_get_no_hedge(table):
    """Guards against hedges in place of requests, at targets that fail or leave."""
    for _ in range(4):
        table.acquire("cassa", ("t1", "t2", "t3"))
    failed = table.acquire("cassa", ("t0", "t2", "t3"))
    failed.finish(Outcome(OutcomeKind.ERROR, 0.1))
    assert_that(crowded_targets(table, "cassa", set()), Equals({"t0", "t1", "t4"}))
    avoided = crowded_targets(table, "cassa", {"torino"})
    assert_that(avoided, Equals({"t0", "t1", "t3", "t4"}))


def test_full_service_gets_no_hedge(table):
    """Guards against hedges that take the last slots of a service."""
    for _ in range(12):
        table.acquire("cassa")
    assert crowded_targets(table, "cassa", set()) is not None
    table.acquire("cassa")
    assert crowded_targets(table, "cassa", set()) is None
    assert crowded_targets(table, "other", set()) is None

"""Tests of how long an instance knows of a configuration that it lacks."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from lacewinglift.mesh.configuration_lag import REPORTED_LAG_S, ConfigurationLag
from lacewinglift.timers import ManualTimers


class Setup:
    def __init__(self):
        self.timers = ManualTimers()
        self.generation = 3
        self.lag = ConfigurationLag(self.timers, lambda: self.generation)


@pytest.fixture
def setup():
    return Setup()


def test_lag_runs_from_the_first_report_of_a_newer_generation(setup):
    """Guards against a lag that starts anew with each heartbeat or version."""
    setup.lag.record(4)
    setup.timers.advance(2.0)
    setup.lag.record(5)
    setup.lag.record(3)
    assert_that(setup.lag.lag_s(), Equals(2.0))
    setup.generation = 5
    assert_that(setup.lag.lag_s(), Equals(0.0))
    setup.lag.record(5)
    setup.timers.advance(1.0)
    setup.lag.record(6)
    assert_that(setup.lag.lag_s(), Equals(0.0))


def test_instance_that_stays_behind_is_logged_once(setup, caplog):
    """Guards against a late version that no line of the late instance explains."""
    caplog.set_level("INFO")
    setup.lag.record(4)
    for _ in range(4):
        setup.timers.advance(REPORTED_LAG_S / 2)
        setup.lag.report(failed_fetches=7, reachable=2)
    lines = [r.getMessage() for r in caplog.records]
    lines = [line for line in lines if "event=configuration_behind" in line]
    assert_that(lines, HasLength(1))
    assert_that(lines[0], Contains("generation=3 newest=4 lag_s=1"))
    assert_that(lines[0], Contains("failed_fetches=7 reachable=2"))

import pytest
from attrs import define, field
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.mesh.fleet_limits import FleetQuota
from lacewinglift.mesh.report_lease import SHARING_TIMEOUT_S, ReportLease
from lacewinglift.timers import ManualTimers

SIZE = 40
HOUSE = Workspace("house", rate_per_s=40.0, burst=40)
CONFIGURATION = Configuration(1, Fleet("f"), {}, (), {"house": HOUSE})


@define(eq=False)
class Reports:
    """A lease, and the reports that it has called for."""

    sent: list = field(factory=list)
    direct: bool = True
    timers: ManualTimers = field(factory=ManualTimers)
    lease: ReportLease = field(init=False)

    def __attrs_post_init__(self):
        self.lease = ReportLease(
            self.timers,
            lambda: self.direct,
            lambda: SIZE,
            lambda: self.sent.append("all"),
            lambda: self.sent.append("sharing"),
        )


@pytest.fixture
def reports():
    return Reports()


def test_occasional_request_is_not_reported_at_once(reports):
    """Guards against a fleet that an operator's requests make report all the time."""
    reports.lease.record_unreported(1, left=0.0)
    assert_that(reports.sent, Equals([]))
    assert_that(reports.lease.is_sharing(), Equals(False))


def test_use_beyond_the_share_is_reported_to_all(reports):
    """Guards against instances that all admit the tokens that are left."""
    reports.lease.record_unreported(2, left=SIZE * 1.9)
    assert_that(reports.sent, Equals(["all"]))


def test_use_within_the_share_is_not_reported_at_once(reports):
    """Guards against a datagram to each instance for each request."""
    reports.lease.record_unreported(2, left=SIZE * 2.1)
    assert_that(reports.sent, Equals([]))


def test_further_use_is_reported_to_those_that_share_limits(reports):
    """Guards against reports to instances that admit nothing."""
    reports.lease.record_unreported(2, left=0.0)
    reports.lease.record_unreported(1, left=0.0)
    assert_that(reports.sent, Equals(["all", "sharing"]))


def test_sharing_ends_some_time_after_the_surge(reports):
    """Guards against frequent reports to an instance that is not used any more."""
    reports.lease.record_unreported(2, left=0.0)
    reports.timers.advance(SHARING_TIMEOUT_S + 0.1)
    assert_that(reports.lease.is_sharing(), Equals(False))


def test_relayed_reports_are_not_hastened(reports):
    """Guards against datagrams past the relays of a large fleet."""
    reports.direct = False
    reports.lease.record_unreported(5, left=0.0)
    assert_that(reports.sent, Equals([]))
    assert_that(reports.lease.is_sharing(), Equals(False))


def test_report_renews_the_lease(reports):
    """Guards against a report for each request after the first one."""
    quota = FleetQuota(reports.timers, lambda: 1.0, lease=reports.lease)
    quota.apply(CONFIGURATION)
    for _ in range(2):
        reports.timers.advance(1.0)
        quota.admit(HOUSE)
        quota.record_report(quota.usages(full=False))
    assert_that(reports.sent, Equals([]))
    quota.admit(HOUSE)
    quota.admit(HOUSE)
    assert_that(reports.sent, Equals(["all"]))

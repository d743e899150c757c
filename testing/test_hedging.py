"""Decisions on hedged requests, without network."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from lacewinglift.configuration import Target
from lacewinglift.errors import SettingsError
from lacewinglift.generated import beats_pb2
from lacewinglift.hedging.hedger import Hedger, parse_limit_percent
from lacewinglift.timers import ManualTimers
from testing.standins.proxy_harness import FixedAttempt, FixedTargetSelector


class Budget:
    def __init__(self, left):
        self.left = left

    def try_acquire(self):
        self.left -= 1
        return self.left >= 0


@pytest.fixture
def timers():
    return ManualTimers()


def make_target(name, data_centre="milano"):
    return Target(name, f"{name}:80", data_centre, slots=4, connections=0)


def hedge(hedger, budget=None, left_s=2.0, data_centre="milano"):
    """Return why a late request is not hedged, or an empty text."""
    selector = FixedTargetSelector([make_target("a", data_centre), make_target("b")])
    first = FixedAttempt(selector.targets[0], [])
    budget = budget or Budget(100)
    return hedger.acquire("s", first, left_s, 0.2, budget, selector, {"a"})[1]


def send(hedger, requests, latency_s=0.1, data_centre="milano"):
    for _ in range(requests):
        hedger.record_request("s")
        hedger.record_sent("s", data_centre)
        hedger.record_latency("s", latency_s)


def test_delay_follows_the_latencies_of_the_fleet(timers):
    """Guards against a fixed delay, and one that a single instance moves."""
    hedger = Hedger(timers, 5.0)
    assert hedger.delay_s("s") is None
    send(hedger, 90)
    send(hedger, 10, latency_s=1.0)
    timers.advance(1.0)
    assert_that(hedger.delay_s("s"), GreaterThan(0.9))
    for number in range(3):
        heartbeat = beats_pb2.Beat(instance=f"f{number}", incarnation=1)
        heartbeat.latencies.add(service="s", quantile_ms=300, samples=100)
        hedger.record_peer_reports(heartbeat)
    timers.advance(1.0)
    assert_that(hedger.delay_s("s"), LessThan(0.31))
    timers.advance(61.0)
    assert hedger.delay_s("s") is None


@pytest.mark.parametrize("restarts", [0, 7])
def test_hedges_stay_within_their_share_of_the_requests(timers, restarts):
    """Load: each request is late, at instances that are lost and join.

    Guards against a limit that starts anew with each process.
    """
    hedgers = [Hedger(timers, 5.0) for _ in range(6)]
    hedges = 0
    for number in range(3000):
        if restarts and number % (3000 // restarts) == 0:
            hedgers[number % 6] = Hedger(timers, 5.0)
        hedger = hedgers[number % 6]
        hedger.record_request("s")
        hedger._service("s").late.by_data_centre.clear()
        hedges += not hedge(hedger)
    assert_that(hedges, LessThan(151))
    assert_that(hedges, GreaterThan(130))


def test_withheld_hedges_name_the_reason_and_use_nothing(timers):
    """Guards against hedges beyond the budget, in a full service or out of time."""
    hedger = Hedger(timers, 5.0)
    send(hedger, 100)
    assert_that(hedge(hedger, left_s=0.1), Equals("time"))
    assert_that(hedge(hedger, Budget(0)), Equals("retry_budget"))
    hedger.crowded_targets = lambda service, avoided: None
    assert_that(hedge(hedger), Equals("full"))
    hedger.crowded_targets = lambda service, avoided: {"b"}
    assert_that(hedge(hedger), Equals("no_target"))
    hedger.crowded_targets = lambda service, avoided: set()
    assert_that([hedge(hedger) for _ in range(3)], Equals(["", "", "limit"]))
    hedger.limit_percent = None
    assert_that(hedge(hedger), Equals("off"))
    assert_that(hedger.counts["s", "sent"], Equals(2))


def test_slowdown_of_the_whole_service_is_not_hedged(timers):
    """Load: half of the requests are late, in one data centre and then in both.

    Guards against hedges that add load where all targets are slow for one reason.
    """
    hedger = Hedger(timers, 5.0)
    avoided = []
    hedger.crowded_targets = lambda service, slow: avoided.append(slow) or set()
    send(hedger, 50)
    for _ in range(4):
        send(hedger, 10, data_centre="torino")
        for _ in range(5):
            reason = hedge(hedger, data_centre="torino")
    assert_that(avoided[-1], Equals({"torino"}))
    for _ in range(60):
        send(hedger, 1)
        reason = hedge(hedger)
    assert_that(reason, Equals("service_slow"))


@pytest.mark.parametrize("text", ["", "-1", "0", "nan", "inf", "two", "21"])
def test_invalid_limit_is_refused(text):
    """Guards against a limit that hedges all requests or none without an error."""
    with pytest.raises(SettingsError):
        parse_limit_percent(text)

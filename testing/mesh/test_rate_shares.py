import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.mesh.rate_shares import MIN_RATE_PER_S, RateShares
from lacewinglift.mesh.stated_limits import StatedLimit
from lacewinglift.timers import ManualTimers

NAMES = [f"frontend-{number}" for number in range(12)]


@pytest.fixture
def timers():
    return ManualTimers()


def make_shares(timers, names, fraction=1.0):
    return [RateShares(timers, name, lambda: names, lambda: fraction) for name in names]


@pytest.mark.parametrize("limit_per_s", [0.4, 1.0, 2.5, 5.0, 100.0])
def test_shares_add_up_to_the_rate(timers, limit_per_s):
    """Guards against instances that together send more or less than a target takes."""
    shares = make_shares(timers, NAMES)
    total = sum(each.rate_per_s("t1", limit_per_s) for each in shares)
    assert abs(total - limit_per_s) < 1e-9


def test_target_that_takes_nothing_is_still_asked_at_times(timers):
    """Guards against a limit of zero whose end nobody notices."""
    shares = make_shares(timers, NAMES)
    total = sum(each.rate_per_s("t1", 0.0) for each in shares)
    assert_that(total, Equals(MIN_RATE_PER_S))


def test_targets_are_shared_by_different_instances(timers):
    """Guards against one instance that gets the shares of all limited targets."""
    shares = make_shares(timers, NAMES)
    owned = [
        sum(each.rate_per_s(f"t{number}", 1.0) for number in range(18))
        for each in shares
    ]
    assert_that(max(owned), LessThan(7))


def test_partitioned_halves_stay_within_the_rate(timers):
    """Guards against halves of a cut fleet that each send the whole rate."""
    halves = [NAMES[:6], NAMES[6:]]
    shares = [each for half in halves for each in make_shares(timers, half, 0.5)]
    total = sum(each.rate_per_s("t1", 4.0) for each in shares)
    assert_that(total, Equals(4.0))


def test_share_follows_the_instances_that_serve(timers):
    """Guards against a share that ends with the instance that had it."""
    shares = make_shares(timers, NAMES)
    owner = next(each for each in shares if each.rate_per_s("t1", 1.0))
    left = [name for name in NAMES if name != owner.own_name]
    timers.advance(1.0)
    for each in shares:
        each.serving_names = lambda: left
    rates = {each.own_name: each.rate_per_s("t1", 1.0) for each in shares}
    assert_that(rates[owner.own_name], Equals(0.0))
    assert_that(sum(rates.values()), Equals(1.0))


def test_earlier_statement_does_not_replace_a_later_one():
    """Guards against a limit that comes back with a delayed heartbeat."""
    limit = StatedLimit()
    assert limit.update(1.0, 100.0)
    assert limit.update(None, 101.0)
    assert not limit.update(1.0, 100.5)
    assert_that(limit.limit_per_s, Equals(None))


def test_unused_share_does_not_add_up():
    """Guards against a burst at a target in need after a time without requests."""
    limit = StatedLimit()
    limit.update(1.0, 100.0)
    assert not limit.has_token(100.5, 1.0)
    sent = 0
    while limit.has_token(160.0, 1.0):
        limit.take_token()
        sent += 1
    assert_that(sent, Equals(2))

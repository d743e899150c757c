from collections import Counter
from random import Random

import pytest
from attrs import define
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.balancing import (
    IN_FLIGHT_LIMIT_MIN,
    POLICIES,
    choose_subset,
    in_flight_limits,
    instances_per_target,
)
from lacewinglift.configuration import Target


@define
class FakeCandidate:
    name: str
    in_flight: int = 0
    latency_ratio: float = 1.0


def make_targets(count, slots=6, connections=330):
    return [
        Target(f"t{i}", f"127.0.0.1:{i + 1}", "abc"[i % 3], slots, connections)
        for i in range(count)
    ]


@pytest.mark.parametrize(
    ("count", "connections", "instances"),
    [(15, 330, 40), (18, 360, 40), (27, 330, 2200), (90, 330, 2200)],
)
def test_connections_stay_within_the_budget(count, connections, instances):
    """Guards against instances that together exceed the connections of a target."""
    targets = make_targets(count, connections=connections)
    used = Counter()
    for number in range(instances):
        subset = choose_subset(targets, f"entry-{number}", instances)
        sharing_instances = instances_per_target(count, len(subset), instances)
        for target in subset:
            used[target.name] += in_flight_limits(target, sharing_instances)[1]
    assert_that(max(used.values()), LessThan(connections + 1))


def test_subset_covers_data_centres_evenly():
    """Guards against an instance without a target in its own data centre."""
    targets = make_targets(90)
    for number in range(100):
        subset = choose_subset(targets, f"entry-{number}", 2200)
        centres = Counter(target.data_centre for target in subset)
        assert_that(set(centres), Equals(set("abc")))


def test_removed_target_changes_little_of_a_subset():
    """Guards against subsets that change completely when a few targets are removed."""
    targets = make_targets(90)
    before = {t.name for t in choose_subset(targets, "entry-1", 2200)}
    after = {t.name for t in choose_subset(targets[3:], "entry-1", 2200)}
    assert_that(len(before - after - {"t0", "t1", "t2"}), LessThan(3))


@pytest.mark.parametrize("slots", [2, 6])
def test_in_flight_limits_with_forty_instances(slots):
    """Guards against one instance that occupies all slots of a target."""
    [target] = make_targets(1, slots=slots)
    assert_that(in_flight_limits(target, 40), Equals((1, IN_FLIGHT_LIMIT_MIN)))


def test_two_choices_selects_the_less_loaded():
    """Guards against requests to the more loaded of two targets."""
    idle, busy = FakeCandidate("idle"), FakeCandidate("busy", in_flight=3)
    choose = POLICIES["two_choices"]
    chosen = {choose([idle, busy], Random(seed), 0).name for seed in range(50)}
    assert_that(chosen, Equals({"idle"}))


def test_two_choices_does_not_starve_a_slightly_slower_target():
    """Guards against a target without requests, whose faults are not detected."""
    candidates = [FakeCandidate("fast"), FakeCandidate("slow", latency_ratio=1.3)]
    random = Random(1)
    choose = POLICIES["two_choices"]
    chosen = Counter(choose(candidates, random, 0).name for _ in range(400))
    assert_that(chosen["slow"], LessThan(260))
    assert_that(140, LessThan(chosen["slow"]))

"""Selection of the instances for callers by what each can carry."""

from collections import Counter
from random import Random

import pytest

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.directory import Directory
from lacewinglift.mesh.members import MemberTable
from lacewinglift.mesh.request_rate import RateEstimate
from lacewinglift.timers import ManualTimers
from testing.mesh.test_directory import DATA_CENTRES, SETTINGS, build_heartbeat

SMALL = {"processor_millicores": 430, "link_bytes_per_s": 1_250_000}
LARGE = {"processor_millicores": 2150, "link_bytes_per_s": 25_000_000}
LARGE_CAPACITY = 5
RATE_PER_S = 455.0


def make_directory(large, by_capacity=True):
    timers = ManualTimers()
    members = MemberTable("self", timers)
    for number in range(91):
        data_centre = DATA_CENTRES[number % 3]
        heartbeat = build_heartbeat(
            f"f{number}", data_centre, state=beats_pb2.SERVING, observer=number > 87
        )
        limits = LARGE if number < large else SMALL
        for name, value in limits.items():
            setattr(heartbeat.description, name, value)
        members.receive(heartbeat)
    rate = RateEstimate(RATE_PER_S, True)
    directory = Directory(
        SETTINGS, members, lambda: False, lambda: False, lambda: rate, timers
    )
    directory.random = Random(1)
    directory.by_capacity = lambda: by_capacity
    return directory


def test_instances_get_requests_by_what_they_carry():
    """Load: 455 requests/s; 85 instances have 0.43 cores, and 6 have 2.15.

    Guards against small instances that get as many requests as large ones, and against
    an answer so short that callers have no other address when an instance fails.
    """
    directory = make_directory(large=6)
    rates_per_s, answers = Counter(), 2000
    for _ in range(answers):
        addresses = directory.resolve("milano").addresses
        assert len(set(addresses)) == SETTINGS.min_selected_per_data_centre
        for address in addresses:
            rates_per_s[address] += RATE_PER_S / 3 / len(addresses) / answers
    large = {"f0:80", "f3:80"}
    assert large <= set(rates_per_s)
    for address, rate_per_s in rates_per_s.items():
        capacity = LARGE_CAPACITY if address in large else 1
        assert rate_per_s <= capacity * SETTINGS.instance_rate_per_s


@pytest.mark.parametrize("by_capacity", [True, False])
def test_equal_instances_are_all_named(by_capacity):
    """Guards against answers that differ between callers without need."""
    directory = make_directory(large=0, by_capacity=by_capacity)
    answers = {directory.resolve("milano").addresses for _ in range(20)}
    assert [len(each) for each in answers] == [10]


def test_statements_have_no_effect_while_the_part_is_off():
    """Guards against another selection where nothing calls for it."""
    answers = [make_directory(large, False).resolve("milano") for large in (0, 6)]
    assert answers[0] == answers[1]

"""Decisions of the overload control: send, wait or refuse."""

from collections import Counter
from random import Random
from types import SimpleNamespace

import pytest
from attrs import evolve

from lacewinglift.configuration import (
    Configuration,
    Fleet,
    Route,
    ServiceWeight,
    Workspace,
)
from lacewinglift.exchanges import CancelReason
from lacewinglift.forward_requests import ExchangeCancelledError
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets, RetryLimits
from lacewinglift.mesh.target_state import MAX_LOAD
from lacewinglift.mesh.target_table import MeshAttempt, MeshTargetTable
from lacewinglift.overload.gate import OverloadGate
from lacewinglift.overload.priorities import (
    PriorityLevels,
    effective_priority,
    find_controlled_services,
)
from lacewinglift.overload.return_times import ReturnTimes
from lacewinglift.overload.service_control import Refused
from lacewinglift.overload.wait_queue import Waiter
from lacewinglift.timers import ManualTimers
from testing.overload.overload_tables import (
    RESPONSE_S,
    SERVICE,
    SHED,
    SUCCESS,
    ControlledTable,
    make_configuration,
    make_targets,
)


@pytest.fixture
def fixture():
    return ControlledTable.make()


def fill(fixture, in_flight):
    """Let a peer fill the targets, and use up the share of this instance."""
    fixture.report_load(in_flight)
    fixture.service.capacity()
    fixture.service.slot_budget.take(100.0)


def test_only_services_with_routes_of_different_priority_are_controlled():
    """Guards against holding requests of services that state one priority."""
    split = (ServiceWeight("both", 1.0), ServiceWeight("one", 1.0))
    routes = (
        Route("/a", "", priority=1, split=split),
        Route("/b", "both", priority=2),
        Route("/c", "one", priority=1),
    )
    workspaces = {"w": Workspace("w", 1.0, 1, priority=7)}
    configuration = Configuration(1, Fleet("f"), {}, routes, workspaces)
    controlled = find_controlled_services(configuration)
    assert controlled == {"both": PriorityLevels((1, 2))}
    assert effective_priority(routes[0], workspaces["w"]) == 7
    assert controlled["both"].rank(7) == 1
    assert controlled["both"].rank(0) == 0


def test_services_with_one_priority_decide_as_before():
    """Guards against a control that changes choices although it is off."""
    fixture = ControlledTable.make(targets=4, priorities=(1,))
    plain = MeshTargetTable(fixture.timers, "a", "milano", random=Random(1))
    plain.apply(make_targets(4))
    seen = []
    for step in range(90):
        assert fixture.decide(1) is None
        chosen = [each.acquire(SERVICE) for each in (fixture.table, plain)]
        seen.append([each and each.target.name for each in chosen])
        if chosen[0] is not None and step % 3 == 0:
            for each in chosen:
                each.finish(SHED if step % 2 else SUCCESS)
    assert all(controlled == direct for controlled, direct in seen)
    assert [None, None] in seen


def test_less_urgent_requests_are_refused_first(fixture):
    """Load: all slots are full, and the share of this instance is used up.

    Guards against urgent requests that queue behind, or are refused before, others.
    """
    fill(fixture, 7)
    assert isinstance(fixture.decide(0), MeshAttempt)
    assert isinstance(fixture.decide(1), Waiter)
    for _ in range(100):
        fixture.service._arrivals(0).add(1)
    assert [type(fixture.decide(each)) for each in (1, 2)] == [Refused, Refused]
    budget = fixture.service.slot_budget
    budget.level = 0.4 * budget.burst
    fixture.service.search()
    assert fixture.service.queue.waiters == []
    budget.level = 0.4 * budget.burst
    assert isinstance(fixture.decide(1), MeshAttempt)
    budget.level = 0.4 * budget.burst
    assert isinstance(fixture.decide(2), Refused)


def test_room_at_an_ended_attempt_goes_to_the_most_urgent_that_waits(fixture):
    """Guards against waits that go on when there is room, or end in a wrong order."""
    taken = [fixture.decide(0) for _ in range(2 * 4 * int(MAX_LOAD))]
    waiters = [fixture.decide(0) for _ in range(2)]
    assert all(isinstance(each, Waiter) for each in waiters)
    fixture.timers.advance(0.01)
    taken[0].finish(SUCCESS)
    assert [each.is_pending() for each in waiters] == [False, True]
    assert fixture.control.conclude(waiters[0]) is waiters[0].grant


def test_news_of_less_load_wakes_the_first_that_waits(fixture):
    """Guards against waits that go on although there is room.

    Guards also against a gain for callers that return instead of waiting.
    """
    fill(fixture, 12)
    waiter = fixture.decide(0)
    waiter.wake.clear()
    fixture.report_load(0)
    assert waiter.wake.is_set()
    assert isinstance(fixture.decide(0), Waiter)
    fixture.control.search(waiter)
    assert isinstance(waiter.grant, MeshAttempt)


def test_waiting_requests_are_bounded_and_less_urgent_ones_give_way():
    """Guards against waits that occupy the worker threads of an instance."""
    fixture = ControlledTable.make(worker_threads=12)
    fill(fixture, 12)
    fixture.service.slot_budget.level = 0.0
    less_urgent = [fixture.decide(1) for _ in range(2)]
    assert all(isinstance(each, Waiter) for each in less_urgent)
    assert isinstance(fixture.decide(1), Refused)
    assert isinstance(fixture.decide(0), Waiter)
    assert fixture.control.space.used == 2
    assert less_urgent[1].end_reason == "displaced"
    assert isinstance(fixture.control.conclude(less_urgent[1]), Refused)


def test_no_request_waits_that_cannot_be_served_in_time(fixture):
    """Guards against requests that are held although they have no time left."""
    fill(fixture, 12)
    assert isinstance(fixture.decide(0, timeout_s=0.15, objective_s=None), Refused)
    waiter = fixture.decide(0)
    for _ in range(20):
        fixture.report_load(12)
        fixture.control.search(waiter)
    assert waiter.end_reason == "too_late"
    assert fixture.control.space.used == 0


def test_service_that_loses_its_priorities_releases_its_waiting_requests(fixture):
    """Guards against waits that no decision ends after a change of configuration."""
    fill(fixture, 12)
    waiter = fixture.decide(0)
    fixture.control.apply(make_configuration(1, generation=2))
    assert not waiter.is_pending()
    assert fixture.control.conclude(waiter) is None
    assert not fixture.control.controls(SERVICE)


def test_shedding_targets_are_left_out_while_a_wait_may_help(fixture):
    """Load: all targets shed requests at random.

    Guards against requests that are sent to a target that has just shed others, and
    that are refused although a target takes them again at once.
    """
    tried = set()
    for _ in range(2):
        attempt = fixture.decide(0, exclude=tried)
        tried.add(attempt.target.name)
        attempt.finish(SHED)
    waiter = fixture.decide(0)
    assert isinstance(waiter, Waiter)
    fixture.timers.advance(0.1)
    fixture.control.search(waiter)
    assert isinstance(waiter.grant, MeshAttempt)


def test_urgent_requests_get_the_last_resends(fixture):
    """Load: targets shed more requests than the retry budget allows to resend.

    Guards against less urgent requests that use up the budget, and against refusals
    although the budget will allow the resend in time.
    """
    limits = RetryLimits(0.2, 10.0, 0.0)
    budgets = FleetRetryBudgets(fixture.timers, limits, lambda: 1.0)
    budget = budgets.budget_for(SERVICE)

    def resend(priority, may_wait=False):
        demand = fixture.demand(priority)
        return fixture.control.decide_resend(demand, budget, may_wait)

    for _ in range(15):
        budget.record_request()
    assert [resend(each) for each in (2, 2, 0, 0)] == [True, False, True, True]
    assert resend(0, may_wait=True) is False
    for _ in range(84):
        budget.record_request()
    while budget.try_acquire():
        pass
    waiter = resend(0, may_wait=True)
    assert isinstance(waiter, Waiter)
    for _ in range(5):
        budget.record_request()
    fixture.control.search(waiter)
    assert fixture.control.conclude(waiter) is True


def test_no_kind_and_no_workspace_starves(fixture):
    """Load: urgent requests alone exceed the capacity for half a minute.

    Guards against kinds and workspaces that get less than a quarter of the mean.
    """
    sent, demanded, pending = Counter(), Counter(), []
    for step in range(3000):
        fixture.timers.advance(0.01)
        while pending and pending[0].started_s <= fixture.timers.now() - 0.6:
            pending.pop(0).finish(SUCCESS)
        keys = (step % 10 == 0) * 2, f"w{step % 7}"
        decision = fixture.decide(keys[0], workspace=keys[1], timeout_s=0.21)
        demanded.update(keys)
        if isinstance(decision, MeshAttempt):
            pending.append(decision)
            sent.update(keys)
        elif isinstance(decision, Waiter):
            fixture.control.withdraw(decision, "cancelled")
    mean = (sent[0] + sent[2]) / 3000
    assert mean < 0.7
    assert all(sent[key] / demanded[key] >= mean / 4 for key in demanded)
    assert sent[0] / demanded[0] >= sent[2] / demanded[2]


def test_refused_requests_return_one_after_another():
    """Guards against refused requests that return together and are refused again."""
    returns = ReturnTimes(ManualTimers(), Random(1))
    times_s = [returns.promise(1, 0.1, 0.05, f"r{n}", 2.0) for n in range(20)]
    gaps_s = [b - a for a, b in zip(sorted(times_s), sorted(times_s)[1:], strict=False)]
    assert max(gaps_s) < 0.15
    assert max(times_s) - min(times_s) > 0.8
    urgent_s = returns.promise(0, 0.02, 0.05, "u", 2.0)
    assert urgent_s < min(times_s)


def test_early_return_gains_nothing(fixture):
    """Guards against callers that are served because they return too often."""
    fill(fixture, 12)
    refused = fixture.decide(1, timeout_s=0.21, request_id="r")
    assert isinstance(refused, Refused)
    again = fixture.decide(1, request_id="r")
    assert isinstance(again, Refused)
    assert again.reason == "early"


@pytest.mark.parametrize(
    ("heard", "fraction"), [(30, 1.0), (20, 2 / 3)], ids=["all heard", "third cut off"]
)
def test_error_of_the_capacity_estimate_is_bounded(heard, fraction):
    """Guards against an estimate that is wrong while instances are not heard."""
    fixture = ControlledTable.make(targets=10)
    fixture.control.update_fleet(31, fraction)
    for number in range(heard):
        fixture.report_load(1, peer=f"p{number}", pause_s=0.03)
    expected = 30 * 10 * 1
    fixture.timers.advance(0.1)
    error = abs(fixture.service.capacity().in_flight - expected) / expected
    assert error < 0.2
    # Heartbeats of all stop: their loads count for no longer than their time limit.
    fixture.timers.advance(1.6)
    assert fixture.service.capacity().in_flight == 0


def test_slots_of_lost_targets_do_not_count(fixture):
    """Guards against capacity that counts after its loss is known."""
    targets = make_targets(4)
    fixture.table.apply(targets)
    assert fixture.service.capacity().slots == 16
    fixture.table.apply([*targets[:2], evolve(targets[2], leaving=True)])
    fixture.table.acquire(SERVICE, {"t1", "t2"}).finish(SHED)
    fixture.timers.advance(0.02)
    lost = fixture.table.capacity(SERVICE, RESPONSE_S, 1.0)
    assert lost.slots == 4
    assert lost.usable_again_s > fixture.timers.now()


def test_waits_and_refusals_are_exported(fixture):
    """Guards against held and refused requests that no metric shows."""
    fill(fixture, 12)
    fixture.decide(2)
    fixture.decide(0)
    samples = {
        (sample.name, sample.labels["priority"]): sample.value
        for metric in fixture.control.metrics()
        for sample in metric.samples
    }
    assert samples["lacewinglift_requests_waiting", "0"] == 1
    assert samples["lacewinglift_capacity_refusals_total", "2"] == 1
    assert len(samples) == 12


def test_target_that_seems_free_does_not_get_all_requests():
    """Load: the slots are full, and loads are known late.

    Guards against instances that all choose the few targets that reported a free slot.
    """
    fixture = ControlledTable.make(targets=20)
    heartbeat = beats_pb2.Beat(instance="b", incarnation=1)
    for number in range(1, 20):
        heartbeat.loads.add(target=f"t{number}", in_flight=7)
    fixture.table.record_peer_evidence(heartbeat, 0)
    chosen = [fixture.decide(0).target.name for _ in range(8)]
    assert chosen.count("t0") < 4


def test_grant_to_a_request_whose_caller_has_gone_is_given_back(fixture):
    """Guards against slots that stay occupied if a grant and a disconnect coincide."""
    fill(fixture, 12)
    waiter = fixture.decide(0)
    fixture.report_load(0)
    fixture.control.search(waiter)
    exchange = SimpleNamespace(cancel_reason=CancelReason.CALLER_GONE)
    request = SimpleNamespace(exchange=exchange, in_haste=bool)
    gate = OverloadGate(fixture.control, request, waiter.demand)
    with pytest.raises(ExchangeCancelledError):
        gate._wait(waiter)
    assert waiter.grant.state.in_flight == 0

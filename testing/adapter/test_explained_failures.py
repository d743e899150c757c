"""Runs the procedures of docs/OPERATIONS.md that trace failed requests to a cause."""

import http.client
import signal
import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from testing.adapter.platform_fleet import HOSTS
from testing.standins.proxy_harness import wait_until
from testing.standins.scripted_targets import make_response


def test_refusal_within_the_rate_is_attributed_to_lost_instances(fleet):
    """Guards against a refusal that is wrongly attributed to the workspace.

    Two of three instances are killed, so the third may use only a third of the rate.
    """
    fleet.put_configuration(2, rate_per_s=6)
    fleet.start_all()
    fleet.wait_joined()
    for host in HOSTS[1:]:
        fleet.processes[host].kill()
    time.sleep(4.0)
    refused = None
    for number in range(40):
        if fleet.send_request(HOSTS[0], f"w-{number}")[0] == 429:
            refused = f"w-{number}"
            break
    assert refused is not None
    assert wait_until(lambda: fleet.explain(refused)["moments"])
    explanation = fleet.explain(refused)
    assert_that(explanation["cause"]["code"], Equals("over_limit_cut_off"))
    assert_that(
        explanation["cause"]["text"], Contains("only 33% of the fleet was heard")
    )


def test_failure_of_a_gray_target_is_attributed_to_the_target(fleet):
    """Guards against a failure that cannot be attributed to the target."""
    fleet.start_all()
    fleet.respond = lambda seen: make_response(
        500, b"", "Server-Signature: s", f"Request-Id: {seen.values('request-id')[0]}"
    )
    assert_that(fleet.send_request(HOSTS[0], "w-gray")[0], Equals(500))
    explanation = fleet.explain("w-gray")
    assert_that(explanation["cause"]["code"], Equals("target_error"))
    assert_that(explanation["cause"]["text"], Contains("i-1 itself answered 500"))
    events = [moment["event"] for moment in explanation["moments"] if moment["own"]]
    assert_that(events, Equals(["request_admitted", "target_chosen", "request_ended"]))
    # An instance without requests in progress receives the evidence within a second.
    assert wait_until(lambda: "target_doubted" in fleet.read_log(HOSTS[1]))
    # The next request goes to the doubted target, as there is no other.
    fleet.send_request(HOSTS[1], "w-again")
    explanation = fleet.explain("w-again")
    assert_that(explanation["cause"]["text"], Contains("it was in doubt for"))


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGKILL])
def test_request_cut_by_a_replaced_instance_is_attributed_to_the_stop(
    fleet, stop_signal
):
    """Guards against a cut that cannot be distinguished from a fault of the target."""
    release = threading.Event()

    def respond_late(seen):
        release.wait(15.0)
        return make_response(200, b"late")

    fleet.start_all()
    fleet.respond = respond_late
    process = fleet.processes[HOSTS[0]]
    outcome = []

    def send_request():
        try:
            outcome.append(fleet.send_request(HOSTS[0], "w-cut", deadline_ms=14_000)[0])
        except (OSError, http.client.HTTPException):
            outcome.append("cut")

    caller = threading.Thread(target=send_request)
    caller.start()
    assert wait_until(lambda: len(fleet.target.received) == 1)
    process.send_signal(stop_signal)
    caller.join(30.0)
    process.wait(30.0)
    release.set()
    assert_that(outcome, Equals(["cut"]))
    if stop_signal == signal.SIGKILL:
        fleet.start(HOSTS[0])
        fleet.wait_ready(HOSTS[0])
    expected = "stopping" if stop_signal == signal.SIGTERM else "instance_ended"
    explanation = fleet.explain("w-cut")
    assert_that(explanation["cause"]["code"], Equals(expected))
    assert_that(explanation["instance"], Equals(f"frontend-{HOSTS[0]}"))

"""The walks of docs/OPERATIONS.md, from a failed request's id to its cause."""

import http.client
import signal
import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from testing.adapter.machines import HOSTS
from testing.standins.proxy_harness import wait_until
from testing.standins.scripted_targets import make_response


def test_request_refused_within_the_rate_leads_to_the_lost_instances(machines):
    """Guards against a refusal that looks as if the workspace were to blame.

    Two of three instances die, so that the third may use a third of the rate.
    """
    machines.put_configuration(2, rate_per_s=6)
    machines.start_all()
    machines.wait_joined()
    for host in HOSTS[1:]:
        machines.processes[host].kill()
    time.sleep(4.0)
    refused = None
    for number in range(40):
        if machines.sell(HOSTS[0], f"w-{number}")[0] == 429:
            refused = f"w-{number}"
            break
    assert refused is not None
    assert wait_until(lambda: machines.explain(refused)["moments"])
    told = machines.explain(refused)
    assert_that(told["cause"]["code"], Equals("over_limit_cut_off"))
    assert_that(told["cause"]["text"], Contains("only 33% of the fleet was heard"))


def test_request_that_met_a_gray_target_leads_to_it(machines):
    """Guards against a failure that cannot be laid at a target's door."""
    machines.start_all()
    machines.reply = lambda seen: make_response(
        500, b"", "Server-Signature: s", f"Request-Id: {seen.values('request-id')[0]}"
    )
    assert_that(machines.sell(HOSTS[0], "w-gray")[0], Equals(500))
    told = machines.explain("w-gray")
    assert_that(told["cause"]["code"], Equals("target_error"))
    assert_that(told["cause"]["text"], Contains("i-1 itself answered 500"))
    events = [moment["event"] for moment in told["moments"] if moment["own"]]
    assert_that(events, Equals(["request_admitted", "target_chosen", "request_ended"]))
    # An instance without requests in progress hears of it within a second.
    assert wait_until(lambda: "target_doubted" in machines.log(HOSTS[1]))
    # The next one is chosen in doubt, as there is no other target.
    machines.sell(HOSTS[1], "w-again")
    told = machines.explain("w-again")
    assert_that(told["cause"]["text"], Contains("it was in doubt for"))


@pytest.mark.parametrize("way", [signal.SIGTERM, signal.SIGKILL])
def test_request_cut_while_its_instance_is_replaced_leads_to_the_stop(machines, way):
    """Guards against a cut that cannot be told from a target's fault."""
    release = threading.Event()

    def reply(seen):
        release.wait(15.0)
        return make_response(200, b"late")

    machines.start_all()
    machines.reply = reply
    process = machines.processes[HOSTS[0]]
    outcome = []

    def sell():
        try:
            outcome.append(machines.sell(HOSTS[0], "w-cut", deadline_ms=14_000)[0])
        except (OSError, http.client.HTTPException):
            outcome.append("cut")

    caller = threading.Thread(target=sell)
    caller.start()
    assert wait_until(lambda: len(machines.target.received) == 1)
    process.send_signal(way)
    caller.join(30.0)
    process.wait(30.0)
    release.set()
    assert_that(outcome, Equals(["cut"]))
    if way == signal.SIGKILL:
        machines.start(HOSTS[0])
        machines.wait_ready(HOSTS[0])
    expected = "stopping" if way == signal.SIGTERM else "instance_ended"
    told = machines.explain("w-cut")
    assert_that(told["cause"]["code"], Equals(expected))
    assert_that(told["instance"], Equals(f"frontend-{HOSTS[0]}"))

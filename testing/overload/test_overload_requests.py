"""Requests that wait for capacity, over real connections."""

import contextlib
import json
import socket
import threading
from random import Random

import pytest

from lacewinglift.configuration import Route
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.overload.control import OverloadControl
from lacewinglift.shutdown import ShutdownState
from testing.standins.proxy_harness import (
    call,
    receive_all,
    request_bytes,
    running_proxy,
    wait_until,
)
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    serve_bytes,
)


def report_load(table, in_flight):
    heartbeat = beats_pb2.Beat(instance="b", incarnation=1)
    heartbeat.loads.add(target="t0", in_flight=in_flight)
    table.record_peer_evidence(heartbeat, 0)


@pytest.fixture
def proxy():
    """Proxy whose only target is full, by the heartbeat of a peer."""
    with contextlib.ExitStack() as stack:
        target = ScriptedTarget(serve_bytes(make_response(200, b"sold")))
        stack.callback(target.close)
        proxy = stack.enter_context(running_proxy([target.address], worker_threads=12))
        table = MeshTargetTable(proxy.timers, "a", "milano", random=Random(1))
        table.apply(
            [RegisteredTarget("t0", "cassa", target.address, "milano", 1, 1, 1)]
        )
        routes = (
            Route("/cassa", "cassa", objective_s=0.9),
            Route("/slow", "cassa", priority=1, objective_s=0.1),
        )
        proxy.publish(routes=routes)
        control = OverloadControl(table, 12)
        control.apply(proxy.distribution.current())
        table.on_end = control.record_end
        table.on_loads = control.record_loads
        forwarder = proxy.components.forwarder
        forwarder.target_selector, forwarder.overload = table, control
        report_load(table, 3)
        yield proxy


def waiting_count(proxy):
    return proxy.components.forwarder.overload.space.used


def state_of_target(proxy):
    return proxy.components.forwarder.target_selector.states["t0"]


class WaitingCall(threading.Thread):
    """A request that waits at the proxy; its reply is read in another thread."""

    def __init__(self, proxy):
        super().__init__(daemon=True)
        self.proxy = proxy
        self.sock = proxy.connect()
        self.reply = None
        self.start()
        assert wait_until(lambda: waiting_count(proxy) == 1)

    def run(self):
        self.sock.sendall(request_bytes("POST", "/cassa", "Connection: close"))
        self.reply = receive_all(self.sock)

    def finish(self, within_s=0.3):
        """Return the reply, which must come soon."""
        self.join(within_s)
        assert not self.is_alive()
        self.sock.close()
        return self.reply


def test_request_is_served_as_soon_as_there_is_room(proxy):
    """Guards against refusals, and waits, although a target can take the request."""
    waiting = WaitingCall(proxy)
    report_load(proxy.components.forwarder.target_selector, 0)
    assert waiting.finish().endswith(b"sold")
    assert state_of_target(proxy).in_flight == 0


def test_refusal_says_not_run_and_when_to_return(proxy):
    """Guards against callers that cannot tell a refusal for want of capacity."""
    head, _, body = call(proxy, path="/slow").partition(b"\r\n\r\n")
    fields = json.loads(body)
    assert (fields["code"], fields["verdict"]) == ("overloaded", "not_run")
    assert head.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in head


def test_wait_ends_when_the_caller_disconnects(proxy):
    """Guards against threads that wait for callers that have gone."""
    waiting = WaitingCall(proxy)
    waiting.sock.shutdown(socket.SHUT_RDWR)
    assert wait_until(lambda: waiting_count(proxy) == 0, timeout_s=0.3)
    report_load(proxy.components.forwarder.target_selector, 0)
    assert state_of_target(proxy).in_flight == 0


def test_wait_ends_when_the_instance_stops(proxy):
    """Guards against a stop that cuts waiting requests."""
    waiting = WaitingCall(proxy)
    proxy.components.shutdown.state = ShutdownState.LEAVING
    assert b'"code": "stopping", "verdict": "not_run"' in waiting.finish()


def test_wait_ends_when_the_key_is_withdrawn(proxy):
    """Guards against requests that are sent to a target with a withdrawn key."""
    # As in a mesh, where requests in progress go on.
    proxy.components.cancel_on_access_loss = False
    waiting = WaitingCall(proxy)
    proxy.publish(workspaces={})
    assert b'"code": "key_unknown", "verdict": "not_run"' in waiting.finish()


def test_wait_ends_when_the_objective_cannot_be_met(proxy):
    """Guards against requests that are held without a chance to be served in time."""
    waiting = WaitingCall(proxy)
    assert b'"code": "overloaded"' in waiting.finish(within_s=1.2)

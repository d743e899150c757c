"""Requests that wait for capacity, over real connections."""

import contextlib
import socket
import threading
from random import Random

import pytest
from attrs import evolve

from lacewinglift.configuration import Route
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.overload.control import OverloadControl
from lacewinglift.shutdown import ShutdownState
from testing.mesh.simulated_fleet import SimulatedFleet
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
from testing.test_forwarder import refusal


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
        # As in a mesh, where requests in progress go on.
        proxy.components.cancel_on_access_loss = False
        report_load(table, 3)
        yield proxy


def waiting_count(proxy):
    return proxy.components.forwarder.overload.space.used


def in_flight(proxy):
    return proxy.components.forwarder.target_selector.states["t0"].in_flight


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

    def finish(self):
        """Return the reply, which must come soon."""
        self.join(0.3)
        assert not self.is_alive()
        self.sock.close()
        return self.reply


def test_request_is_served_as_soon_as_there_is_room(proxy):
    """Guards against refusals, and waits, although a target can take the request."""
    waiting = WaitingCall(proxy)
    report_load(proxy.components.forwarder.target_selector, 0)
    assert waiting.finish().endswith(b"sold")
    assert in_flight(proxy) == 0


def test_refusal_says_not_run_and_when_to_return(proxy):
    """Guards against callers that cannot tell a refusal for want of capacity."""
    reply = call(proxy, path="/slow")
    assert refusal(reply) == ("overloaded", "not_run")
    assert reply.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in reply


def disconnect(proxy, waiting):
    waiting.sock.shutdown(socket.SHUT_RDWR)


def stop(proxy, waiting):
    proxy.components.shutdown.state = ShutdownState.LEAVING


def withdraw_key(proxy, waiting):
    proxy.publish(workspaces={})


@pytest.mark.parametrize(
    ("end", "code"),
    [(disconnect, None), (stop, "stopping"), (withdraw_key, "key_unknown")],
)
def test_wait_ends_with_what_it_was_for(proxy, end, code):
    """Guards against waits for callers that have gone, in a stop, or without a key."""
    waiting = WaitingCall(proxy)
    end(proxy, waiting)
    reply = waiting.finish()
    assert (refusal(reply) if reply else None) == (code and (code, "not_run"))
    assert wait_until(lambda: waiting_count(proxy) == 0, timeout_s=0.3)
    assert in_flight(proxy) == 0


def test_instances_of_a_mesh_control_what_their_configuration_says():
    """Guards against a control that hears of no loads, ends or instances."""
    instance = SimulatedFleet(3, 1e6, targets=3).instances[0]
    routes = (Route("/a", "cassa"), Route("/b", "cassa", priority=1))
    value = instance.configuration_holder.current()
    instance.codec.read_configuration = lambda _: evolve(
        value, generation=9, routes=routes
    )
    instance.settings = evolve(instance.settings, overload_control=True)
    instance.apply_configuration(b"")
    control = instance.overload
    assert control.controls("cassa")
    assert instance.targets.on_end == control.record_end
    assert instance.targets.on_loads == control.record_loads
    instance.timers.advance(1.0)
    instance._run_housekeeping()
    instance.retry_budgets.budget_for("cassa").record_request()
    assert 0 < control.fleet.own_share("cassa") <= 1


def test_control_is_off_unless_the_settings_call_for_it():
    """Guards against refusals by priority in a fleet whose operator asked for none."""
    instance = SimulatedFleet(3, 1e6, targets=3).instances[0]
    routes = (Route("/a", "cassa"), Route("/b", "cassa", priority=1))
    value = instance.configuration_holder.current()
    instance.codec.read_configuration = lambda _: evolve(
        value, generation=9, routes=routes
    )
    instance.apply_configuration(b"")
    assert not instance.overload.controls("cassa")

"""Bundles that the second relay of a data centre holds."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fan_out import ROUTINE_HOLD_S, FanOut


def make_beats():
    return [
        beats_pb2.Beat(instance=name, incarnation=1, sequence=5) for name in ("a", "b")
    ]


def test_second_relay_passes_on_only_what_the_first_has_not():
    """Guards against news lost with the first relay, and against sending all twice."""
    fan_out = FanOut()
    beats = make_beats()
    fan_out.hold(beats_pb2.HeartbeatBundle(), beats, 10.0)
    fan_out.record_passed(beats[:1])
    assert_that(fan_out.take_due(10.1), Equals([]))
    ((_, left),) = fan_out.take_due(10.0 + ROUTINE_HOLD_S)
    assert_that([each.instance for each in left], Equals(["b"]))
    assert left[0].held_ms >= 599
    assert_that(beats[1].held_ms, Equals(0))

"""Decides which received bundles a relay passes on inside its data centre, and when.

The first relay passes a bundle on at once. The others hold theirs for a while, and pass
on only what nobody else has passed on until then.

Load: a relay is lost or paused between receiving a bundle and passing it on.
"""

from attrs import define, field

from lacewinglift.generated import beats_pb2

# Hold of the second relay. The next bundle to the first one normally brings all that is
# in this one, and comes within the interval of bundles.
ROUTINE_HOLD_S = 0.6
# Hold if the bundle has urgent news, which the first relay gets at the same time.
URGENT_HOLD_S = 0.1
# Heartbeats that are held; more would be outdated by those that follow.
MAX_HELD = 5000

Version = tuple[int, int]


@define
class _Held:
    bundle: beats_pb2.HeartbeatBundle
    heartbeats: list[beats_pb2.Beat]
    received_at_s: float
    due_s: float


@define(eq=False)
class FanOut:
    """Bundles to pass on; all times are passed in by the caller."""

    held: list[_Held] = field(factory=list)
    passed: dict[str, Version] = field(factory=dict)
    """Incarnation and sequence number that were last passed on, by instance."""

    def hold(
        self,
        bundle: beats_pb2.HeartbeatBundle,
        heartbeats: list[beats_pb2.Beat],
        now_s: float,
    ) -> float:
        """Hold a bundle that another relay may pass on; return when it is due."""
        hold_s = URGENT_HOLD_S if bundle.urgent else ROUTINE_HOLD_S
        if sum(len(each.heartbeats) for each in self.held) < MAX_HELD:
            self.held.append(_Held(bundle, heartbeats, now_s, now_s + hold_s))
        return now_s + hold_s

    def record_passed(self, heartbeats: list[beats_pb2.Beat]) -> None:
        """Record heartbeats that this relay or another one has passed on."""
        for heartbeat in heartbeats:
            version = (heartbeat.incarnation, heartbeat.sequence)
            known = self.passed.get(heartbeat.instance, (0, 0))
            self.passed[heartbeat.instance] = max(known, version)

    def take_due(
        self, now_s: float
    ) -> list[tuple[beats_pb2.HeartbeatBundle, list[beats_pb2.Beat]]]:
        """Return the held heartbeats that are due and that nobody has passed on."""
        due = [each for each in self.held if each.due_s <= now_s]
        self.held = [each for each in self.held if each.due_s > now_s]
        taken = []
        for each in due:
            left = [h for h in each.heartbeats if self._is_new(h)]
            self.record_passed(left)
            held_ms = int((now_s - each.received_at_s) * 1000)
            if left:
                taken.append((each.bundle, [_older(h, held_ms) for h in left]))
        return taken

    def next_due_s(self) -> float:
        """Return the time at which the next held bundle is due."""
        return min((each.due_s for each in self.held), default=float("inf"))

    def forget_others(self, names: set[str]) -> None:
        """Forget what was passed on of all other instances."""
        for name in self.passed.keys() - names:
            del self.passed[name]

    def _is_new(self, heartbeat: beats_pb2.Beat) -> bool:
        version = (heartbeat.incarnation, heartbeat.sequence)
        return version > self.passed.get(heartbeat.instance, (0, 0))


def _older(heartbeat: beats_pb2.Beat, age_ms: int) -> beats_pb2.Beat:
    """Return a copy of a heartbeat with all ages increased."""
    copy = beats_pb2.Beat()
    copy.CopyFrom(heartbeat)
    copy.held_ms += age_ms
    copy.store_age_ms = min(copy.store_age_ms + age_ms, 2**32 - 1)
    for event in copy.evidence:
        event.age_ms += age_ms
    for limit in copy.rate_limits:
        limit.age_ms += age_ms
    return copy

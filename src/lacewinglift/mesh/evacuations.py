"""Data centres that the operator evacuates: their targets get no requests.

Load: a fleet that serves callers, whose operator empties a data centre within seconds
and later lets it fill again, while instances restart and lose heartbeats.
"""

import hashlib
import threading
from collections.abc import Callable, Collection, Iterable, Mapping

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info, log_warning
from lacewinglift.timers import Timers


@define(eq=False)
class Evacuations:
    """Evacuated data centres as of a position of the store.

    The position orders the states of all instances: one that reads the store itself and
    one that hears of it from others keep the later of the two states.
    """

    timers: Timers
    on_change: Callable[[], None] = lambda: None
    data_centres: frozenset[str] = frozenset()
    revision: int = 0
    """Revision of the store; 0 while this instance knows nothing."""
    era: int = 0
    digest: int = 0
    """Digest of the data centres; 0 if there are none."""
    announced: bool = False
    """Whether heartbeats tell of it: once any instance knows of an evacuation."""
    unknown: set[str] = field(factory=set)
    """Evacuated data centres that were logged as unknown."""
    changed_at_s: float = float("-inf")
    lock: threading.RLock = field(factory=threading.RLock)

    def position(self) -> tuple[int, int]:
        """Return era and revision."""
        return self.era, self.revision

    def replace_all(self, names: Iterable[str], revision: int, era: int) -> None:
        """Apply a complete listing, unless a later state is known."""
        with self.lock:
            if (era, revision) < self.position():
                return
            self._apply(frozenset(names), revision, era)

    def apply_changes(
        self, present: Mapping[str, bool], revision: int, era: int
    ) -> None:
        """Apply which keys of a watch exist, unless a later state is known."""
        with self.lock:
            if (era, revision) < self.position():
                return
            added = {name for name, exists in present.items() if exists}
            names = self.data_centres.difference(present) | added
            self._apply(names, revision, era)

    def _apply(self, names: frozenset[str], revision: int, era: int) -> None:
        before = self.data_centres
        self.era, self.revision = era, revision
        if names == before:
            return
        self.data_centres = names
        self.digest = _digest(names)
        self.announced = True
        self.changed_at_s = self.timers.now()
        self.unknown &= names
        for name in sorted(names - before):
            log_info("evacuation_began", data_centre=name, revision=revision)
        for name in sorted(before - names):
            log_info("evacuation_ended", data_centre=name, revision=revision)
        self.on_change()

    def report_unknown(self, known: Collection[str]) -> None:
        """Log once which evacuated names are of no registered target."""
        with self.lock:
            for name in sorted(self.data_centres - set(known) - self.unknown):
                self.unknown.add(name)
                log_warning("evacuation_unknown", data_centre=name)

    # ---- other instances ----

    def write_heartbeat(self, heartbeat: beats_pb2.Beat) -> None:
        """Add digest and position to a heartbeat, once there was an evacuation."""
        with self.lock:
            if not self.announced:
                return
            heartbeat.evacuation_digest = self.digest
            heartbeat.evacuation_revision = self.revision
            heartbeat.evacuation_era = self.era

    def compare(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether the sender knows a later state; adopt an equal state's place.

        An instance that holds an evacuation which this one knows to have ended hears of
        it from the next heartbeat.
        """
        if not heartbeat.evacuation_revision:
            return False
        with self.lock:
            self.announced = True
            theirs = heartbeat.evacuation_era, heartbeat.evacuation_revision
            if theirs < self.position():
                return False
            if self.revision and heartbeat.evacuation_digest == self.digest:
                self.era, self.revision = theirs
                return False
            return True

    def is_older_than(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether the sender of a heartbeat knows a later, different state."""
        theirs = heartbeat.evacuation_era, heartbeat.evacuation_revision
        if not heartbeat.evacuation_revision or theirs < self.position():
            return False
        return not self.revision or heartbeat.evacuation_digest != self.digest

    def write_snapshot(self, snapshot: beats_pb2.Snapshot) -> None:
        """Add the evacuated data centres to a snapshot, if they are known."""
        with self.lock:
            if not self.revision:
                return
            snapshot.evacuation.data_centres.extend(sorted(self.data_centres))
            snapshot.evacuation.revision = self.revision
            snapshot.evacuation.store_era = self.era

    def apply_snapshot(self, snapshot: beats_pb2.Snapshot) -> None:
        """Apply the evacuated data centres of a snapshot, if it tells of them."""
        if snapshot.HasField("evacuation"):
            message = snapshot.evacuation
            self.replace_all(message.data_centres, message.revision, message.store_era)


def _digest(names: Iterable[str]) -> int:
    text = "\n".join(sorted(names)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest()) if text else 0

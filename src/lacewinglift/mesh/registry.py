"""Targets that register themselves in the key-value service."""

import hashlib
import threading
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info
from lacewinglift.timers import Timers

# Entries that lapsed during an outage of the store are written again within this
# time of its return if their target lives.
EXPIRED_ENTRY_GRACE_S = 2.0
# Entries that vanish this soon after a failed call may have lapsed in the outage.
OUTAGE_EXPIRY_WINDOW_S = 1.0
# A delayed write of an ended target can arrive for this long after its removal.
TOMBSTONE_TTL_S = 60.0


@frozen
class RegisteredTarget:
    """What a target said of itself last."""

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    born_ms: int
    """Time of day of the target's start; another value is another process."""
    sequence: int
    """Number of the report, counted from the target's start."""
    leaving: bool = False
    warmup_s: float = 0.0
    """Time for which the target is still slow after its start."""

    def report_version(self) -> tuple[int, int]:
        """Return a rank by which later reports are greater."""
        return self.born_ms, self.sequence

    def to_message(self) -> beats_pb2.RegisteredTarget:
        """Return the message for other instances."""
        return beats_pb2.RegisteredTarget(
            name=self.name,
            service=self.service,
            address=self.address,
            data_centre=self.data_centre,
            slots=self.slots,
            born_ms=self.born_ms,
            sequence=self.sequence,
            leaving=self.leaving,
            warmup_ms=int(self.warmup_s * 1000),
        )


def from_message(message: beats_pb2.RegisteredTarget) -> RegisteredTarget:
    """Return the target that another instance described."""
    return RegisteredTarget(
        message.name,
        message.service,
        message.address,
        message.data_centre,
        message.slots,
        message.born_ms,
        message.sequence,
        message.leaving,
        message.warmup_ms / 1000,
    )


@define
class _Tombstone:
    report_version: tuple[int, int]
    removed_at_s: float


@define(eq=False)
class TargetRegistry:
    """Registered targets, as new as one revision of the store.

    Reports of one target are ordered by its start and its own count, since a write
    that was given up may take effect seconds later.
    """

    timers: Timers
    on_change: Callable[[], None] = lambda: None
    targets: dict[str, RegisteredTarget] = field(factory=dict)
    revision: int = 0
    digest: int = 0
    ready: bool = False
    """Whether the targets have been read or fetched once."""
    tombstones: dict[str, _Tombstone] = field(factory=dict)
    missing_since_s: dict[str, float] = field(factory=dict)
    """Targets whose entry vanished around an outage of the store."""
    last_outage_s: float = float("-inf")
    last_changed_s: float = float("-inf")
    last_confirmed_s: float = float("-inf")
    """Last time at which the store or another instance told the same or more."""
    lock: threading.RLock = field(factory=threading.RLock)

    def record_outage(self) -> None:
        """Record that the store did not answer now."""
        self.last_outage_s = self.timers.now()

    def replace_all(self, targets: Iterable[RegisteredTarget], revision: int) -> None:
        """Take over a complete listing of the store."""
        with self.lock:
            listed = {target.name: target for target in targets}
            for target in listed.values():
                self._upsert(target)
            for name in [name for name in self.targets if name not in listed]:
                self._remove_or_mark_missing(name)
            self.revision = max(self.revision, revision)
            self._commit_update()

    def apply_changes(
        self,
        written: Iterable[RegisteredTarget],
        removed: Iterable[str],
        revision: int,
    ) -> None:
        """Take over changes of the store."""
        with self.lock:
            for target in written:
                self._upsert(target)
            for name in removed:
                if name in self.targets:
                    self._remove_or_mark_missing(name)
            self.revision = max(self.revision, revision)
            self._commit_update()

    def adopt_snapshot(
        self, targets: Iterable[RegisteredTarget], revision: int
    ) -> bool:
        """Take over the state of another instance if it is newer."""
        with self.lock:
            if revision < self.revision and self.ready:
                return False
            listed = {target.name: target for target in targets}
            for name in [name for name in self.targets if name not in listed]:
                self._remove_with_tombstone(name)
            for target in listed.values():
                self._upsert(target)
            self.revision = max(self.revision, revision)
            self._commit_update()
            return True

    def confirm_revision(self, revision: int) -> None:
        """Record that the same targets were registered at a later revision."""
        with self.lock:
            self.revision = max(self.revision, revision)
            self.last_confirmed_s = self.timers.now()

    def remove_expired(self) -> None:
        """Drop targets whose entry did not come back after an outage."""
        with self.lock:
            now = self.timers.now()
            due = [
                name
                for name, since_s in self.missing_since_s.items()
                if now - max(since_s, self.last_outage_s) >= EXPIRED_ENTRY_GRACE_S
            ]
            for name in due:
                self._remove_with_tombstone(name)
            for name, tombstone in list(self.tombstones.items()):
                if now - tombstone.removed_at_s > TOMBSTONE_TTL_S:
                    del self.tombstones[name]
            if due:
                self._commit_update()

    def snapshot(self) -> beats_pb2.Snapshot:
        """Return the state for another instance."""
        with self.lock:
            return beats_pb2.Snapshot(
                registry_revision=self.revision,
                targets=[target.to_message() for target in self.targets.values()],
            )

    def _upsert(self, target: RegisteredTarget) -> None:
        tombstone = self.tombstones.get(target.name)
        if (
            tombstone is not None
            and target.report_version() <= tombstone.report_version
        ):
            return
        known = self.targets.get(target.name)
        if known is not None and target.report_version() < known.report_version():
            return
        if known is not None and known.born_ms == target.born_ms and known.leaving:
            target = evolve(target, leaving=True)
        self.tombstones.pop(target.name, None)
        self.missing_since_s.pop(target.name, None)
        self.targets[target.name] = target

    def _remove_or_mark_missing(self, name: str) -> None:
        now = self.timers.now()
        if now - self.last_outage_s <= OUTAGE_EXPIRY_WINDOW_S + EXPIRED_ENTRY_GRACE_S:
            self.missing_since_s.setdefault(name, now)
            return
        self._remove_with_tombstone(name)

    def _remove_with_tombstone(self, name: str) -> None:
        self.missing_since_s.pop(name, None)
        target = self.targets.pop(name, None)
        if target is None:
            return
        report_version = target.report_version()
        self.tombstones[name] = _Tombstone(report_version, self.timers.now())

    def _commit_update(self) -> None:
        digest = _digest(self.targets.values())
        changed = digest != self.digest or not self.ready
        self.digest = digest
        self.ready = True
        self.last_confirmed_s = self.timers.now()
        if changed:
            self.last_changed_s = self.timers.now()
            log_info(
                "registry_changed",
                revision=self.revision,
                targets=len(self.targets),
                leaving=sum(target.leaving for target in self.targets.values()),
                missing=len(self.missing_since_s),
            )
            self.on_change()


def _digest(targets: Iterable[RegisteredTarget]) -> int:
    """Return a digest of what decides on the use of the targets."""
    lines = sorted(
        f"{t.name} {t.service} {t.address} {t.born_ms} {t.leaving} {t.slots}"
        for t in targets
    )
    text = "\n".join(lines).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())

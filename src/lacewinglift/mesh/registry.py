"""Registry of the targets that register themselves in the key-value store."""

import hashlib
import threading
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info
from lacewinglift.timers import Timers

# A live target whose entry expired during an outage of the store writes it again within
# this time after the outage.
EXPIRED_ENTRY_GRACE_S = 2.0
# An entry that disappears within this time after a failed call, plus the grace period,
# may have expired during the outage.
OUTAGE_EXPIRY_WINDOW_S = 1.0
# Time by which the end of a warm-up may move from report to report, as these arrive
# with different delays. The limit of a cold target holds for this much longer.
WARMUP_TOLERANCE_S = 0.5
# A delayed write of a target that ended can arrive for this long after its removal.
TOMBSTONE_TTL_S = 60.0


@frozen
class RegisteredTarget:
    """Last report of a target about itself."""

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    born_ms: int
    """Wall-clock time of the target's start; another value means another process."""
    sequence: int
    """Number of the report since the target's start."""
    leaving: bool = False
    warmup_s: float | None = 0.0
    """Remaining time for which the target is cold; None if it has not said."""
    warmup_sequence: int = 0
    """Number of the report that said that the target is cold again; 0 if none did."""
    warmup_ends_at_s: float = 0.0
    """End of the stated warm-up by the own clock; 0 if there was none."""

    def report_version(self) -> tuple[int, int]:
        """Return a version that is greater for later reports of the target."""
        return self.born_ms, self.sequence

    def to_message(self, now_s: float = 0.0) -> beats_pb2.RegisteredTarget:
        """Return the message for other instances."""
        remaining_s = max(self.warmup_ends_at_s - now_s, 0.0)
        return beats_pb2.RegisteredTarget(
            name=self.name,
            service=self.service,
            address=self.address,
            data_centre=self.data_centre,
            slots=self.slots,
            born_ms=self.born_ms,
            sequence=self.sequence,
            leaving=self.leaving,
            warmup_ms=int((self.warmup_s or 0.0) * 1000),
            warmup_sequence=self.warmup_sequence,
            warmup_unstated=self.warmup_s is None,
            warmup_remaining_ms=int(remaining_s * 1000),
        )


def from_message(message: beats_pb2.RegisteredTarget) -> RegisteredTarget:
    """Return the target that a message from another instance describes."""
    remaining_ms = message.warmup_ms
    if message.HasField("warmup_remaining_ms"):
        remaining_ms = message.warmup_remaining_ms
    return RegisteredTarget(
        message.name,
        message.service,
        message.address,
        message.data_centre,
        message.slots,
        message.born_ms,
        message.sequence,
        message.leaving,
        None if message.warmup_unstated else remaining_ms / 1000,
        message.warmup_sequence,
    )


def merge_warmup(
    known: RegisteredTarget | None,
    incoming: RegisteredTarget,
    now_s: float,
    from_store: bool,
) -> RegisteredTarget:
    """Return a report with the warm-up that it and the known report tell of.

    Later reports of the same warm-up name less time. Only a report of the store that
    names more begins a warm-up, whose number is that of the report. Of two
    numbers the higher one stays, so that the digests of all instances become equal.
    """
    same_process = known is not None and known.born_ms == incoming.born_ms
    if incoming.warmup_s is None:
        if not same_process:
            return incoming
        return evolve(
            incoming,
            warmup_s=known.warmup_s,
            warmup_ends_at_s=known.warmup_ends_at_s,
            warmup_sequence=max(known.warmup_sequence, incoming.warmup_sequence),
        )
    ends_at_s = now_s + incoming.warmup_s if incoming.warmup_s > 0 else 0.0
    if not same_process:
        return evolve(incoming, warmup_ends_at_s=ends_at_s)
    number = max(known.warmup_sequence, incoming.warmup_sequence)
    begins = ends_at_s > max(known.warmup_ends_at_s, now_s) + WARMUP_TOLERANCE_S
    if from_store and begins:
        number = incoming.sequence
    elif not (from_store or begins or number > known.warmup_sequence):
        ends_at_s = known.warmup_ends_at_s
    return evolve(incoming, warmup_sequence=number, warmup_ends_at_s=ends_at_s)


def adopt_warmup_number(
    known: RegisteredTarget, older: RegisteredTarget
) -> RegisteredTarget:
    """Return the known report with the warm-up number of an older one, if higher."""
    if older.born_ms != known.born_ms or older.warmup_sequence <= known.warmup_sequence:
        return known
    return evolve(known, warmup_sequence=older.warmup_sequence)


@define
class _Tombstone:
    report_version: tuple[int, int]
    removed_at_s: float


@define(eq=False)
class TargetRegistry:
    """Registered targets as of a revision of the store.

    Reports of one target are ordered by its start time and its own sequence number,
    because a write that timed out may take effect seconds later. A target that starts
    again after its clock was set back has an earlier start time. Its process is
    recognized by a second report, as a delayed write comes once.
    """

    timers: Timers
    on_change: Callable[[], None] = lambda: None
    targets: dict[str, RegisteredTarget] = field(factory=dict)
    revision: int = 0
    era: int = 0
    """Era of the store that the revision belongs to."""
    digest: int = 0
    ready: bool = False
    """Whether the targets were read from the store or fetched at least once."""
    tombstones: dict[str, _Tombstone] = field(factory=dict)
    earlier_starts: dict[str, RegisteredTarget] = field(factory=dict)
    """First report of a process with an earlier start time than the known one."""
    missing_since_s: dict[str, float] = field(factory=dict)
    """Targets whose entry disappeared around an outage of the store, and since when."""
    known_as_of: dict[str, tuple[int, int]] = field(factory=dict)
    """Position of the state that last named each target."""
    reported_at_s: dict[str, float] = field(factory=dict)
    """Last time at which a watch brought a report of a target."""
    last_outage_at_s: float = float("-inf")
    last_changed_at_s: float = float("-inf")
    last_confirmed_at_s: float = float("-inf")
    """Last time at which the store or another instance confirmed this state."""
    lock: threading.RLock = field(factory=threading.RLock)

    def record_outage(self) -> None:
        """Record that a call to the store failed, and none was answered meanwhile."""
        self.last_outage_at_s = self.timers.now()

    def position(self) -> tuple[int, int]:
        """Return era and revision, which order the states of all instances."""
        return self.era, self.revision

    def position_of(self, revision: int, era: int) -> tuple[int, int]:
        """Return the position of another instance.

        Instances of an earlier build name no era; theirs is taken to be the same.
        """
        return era or self.era, revision

    def replace_all(
        self, targets: Iterable[RegisteredTarget], revision: int, era: int = 0
    ) -> None:
        """Apply a complete listing of the store, unless it is of an earlier era.

        A listing that took long is older than what was fetched from others meanwhile;
        targets that are known from a later state stay.
        """
        with self.lock:
            if era < self.era:
                return
            if era > self.era > 0:
                # Targets whose entries were lost by a restore write them again.
                self.record_outage()
            listed = {target.name: target for target in targets}
            position = self.position_of(revision, era)
            for target in listed.values():
                self._upsert_reported(target, position)
            for name in [name for name in self.targets if name not in listed]:
                if self.known_as_of[name] <= position:
                    self._remove_or_mark_missing(name)
            self._advance(revision, era)
            self._commit_update()

    def apply_changes(
        self,
        written: Iterable[RegisteredTarget],
        removed: Iterable[str],
        revision: int,
        era: int = 0,
    ) -> None:
        """Apply changes from a watch of the store, unless of an earlier era.

        No target is among both the written and the removed ones.
        """
        with self.lock:
            if era < self.era:
                return
            position = self.position_of(revision, era)
            for target in written:
                self._upsert_reported(target, position)
                if target.name in self.targets:
                    self.reported_at_s[target.name] = self.timers.now()
            for name in removed:
                if name in self.targets and self.known_as_of[name] <= position:
                    self._remove_or_mark_missing(name)
            self._advance(revision, era)
            self._commit_update()

    def apply_snapshot(
        self, targets: Iterable[RegisteredTarget], revision: int, era: int = 0
    ) -> bool:
        """Apply the targets of another instance unless their position is older.

        Returns whether they were applied.
        """
        with self.lock:
            if self.position_of(revision, era) < self.position() and self.ready:
                return False
            listed = {target.name: target for target in targets}
            for name in [name for name in self.targets if name not in listed]:
                self._remove_with_tombstone(name)
            position = self.position_of(revision, era)
            is_newer = position > self.position()
            for target in listed.values():
                if is_newer and self._has_earlier_start(target):
                    # The other instance has seen that process report twice.
                    self._forget(target.name)
                self._upsert(target, position, from_store=False)
            self._advance(revision, era)
            self._commit_update()
            return True

    def mark_leaving(self, name: str, born_ms: int) -> None:
        """Record that a target said in a response that it leaves."""
        with self.lock:
            known = self.targets.get(name)
            if known is None or known.born_ms != born_ms or known.leaving:
                return
            self.targets[name] = evolve(known, leaving=True)
            self._commit_update()

    def confirm_position(self, revision: int, era: int) -> None:
        """Record that the same targets are registered at this or a later position."""
        with self.lock:
            self._advance(revision, era)
            self.last_confirmed_at_s = self.timers.now()

    def remove_expired(self) -> None:
        """Remove targets that stayed missing after an outage, and old tombstones."""
        with self.lock:
            now = self.timers.now()
            due = [
                name
                for name, since_s in self.missing_since_s.items()
                if now >= self._kept_until_s(since_s)
            ]
            for name in due:
                self._remove_with_tombstone(name)
            for name, tombstone in list(self.tombstones.items()):
                if now - tombstone.removed_at_s > TOMBSTONE_TTL_S:
                    del self.tombstones[name]
                    if name not in self.targets:
                        self.earlier_starts.pop(name, None)
            if due:
                self._commit_update()

    def snapshot(self) -> beats_pb2.Snapshot:
        """Return the registry as a snapshot for another instance."""
        with self.lock:
            now = self.timers.now()
            return beats_pb2.Snapshot(
                registry_revision=self.revision,
                store_era=self.era,
                targets=[target.to_message(now) for target in self.targets.values()],
            )

    def _advance(self, revision: int, era: int) -> None:
        position = self.position_of(revision, era)
        self.era, self.revision = max(self.position(), position)

    def _upsert_reported(
        self, target: RegisteredTarget, position: tuple[int, int]
    ) -> None:
        """Apply a report from the store."""
        if not self._has_earlier_start(target):
            self.earlier_starts.pop(target.name, None)
        elif self._repeats_earlier_start(target):
            log_info("target_clock_set_back", target=target.name, born=target.born_ms)
            self._forget(target.name)
        self._upsert(target, position, from_store=True)

    def _has_earlier_start(self, target: RegisteredTarget) -> bool:
        """Return whether a report names an earlier start than the known process."""
        known = self.targets.get(target.name)
        if known is not None:
            return target.born_ms < known.born_ms
        tombstone = self.tombstones.get(target.name)
        return tombstone is not None and target.born_ms < tombstone.report_version[0]

    def _repeats_earlier_start(self, target: RegisteredTarget) -> bool:
        """Return whether this is a further report of a process that started earlier."""
        first = self.earlier_starts.get(target.name)
        if first is None or first.born_ms != target.born_ms:
            self.earlier_starts[target.name] = target
            return False
        return target.sequence > first.sequence

    def _forget(self, name: str) -> None:
        """Forget a target and its removal, so that any report of it is news."""
        self.targets.pop(name, None)
        self.known_as_of.pop(name, None)
        self.tombstones.pop(name, None)
        self.earlier_starts.pop(name, None)

    def _upsert(
        self, target: RegisteredTarget, position: tuple[int, int], from_store: bool
    ) -> None:
        tombstone = self.tombstones.get(target.name)
        if (
            tombstone is not None
            and target.report_version() <= tombstone.report_version
        ):
            return
        as_of = self.known_as_of.get(target.name, position)
        self.known_as_of[target.name] = max(as_of, position)
        known = self.targets.get(target.name)
        if known is not None and target.report_version() < known.report_version():
            self.targets[target.name] = adopt_warmup_number(known, target)
            return
        if known is not None and known.born_ms == target.born_ms and known.leaving:
            target = evolve(target, leaving=True)
        self.tombstones.pop(target.name, None)
        self.missing_since_s.pop(target.name, None)
        now = self.timers.now()
        self.targets[target.name] = merge_warmup(known, target, now, from_store)

    def _remove_or_mark_missing(self, name: str) -> None:
        now = self.timers.now()
        if now <= self._outage_effects_end_s() and not self._reported_since_outage(
            name
        ):
            self.missing_since_s.setdefault(name, now)
            return
        self._remove_with_tombstone(name)

    def _outage_effects_end_s(self) -> float:
        """Return the time from which no entry is missing because of an outage."""
        window_s = OUTAGE_EXPIRY_WINDOW_S + EXPIRED_ENTRY_GRACE_S
        return self.last_outage_at_s + window_s

    def _reported_since_outage(self, name: str) -> bool:
        """Return whether a target has written its entry since the last outage.

        If such an entry disappears, the target has left.
        """
        return self.reported_at_s.get(name, float("-inf")) > self.last_outage_at_s

    def _kept_until_s(self, missing_since_s: float) -> float:
        since_s = max(missing_since_s, self.last_outage_at_s)
        return min(since_s + EXPIRED_ENTRY_GRACE_S, self._outage_effects_end_s())

    def _remove_with_tombstone(self, name: str) -> None:
        self.missing_since_s.pop(name, None)
        self.reported_at_s.pop(name, None)
        self.known_as_of.pop(name, None)
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
        self.last_confirmed_at_s = self.timers.now()
        if changed:
            self.last_changed_at_s = self.timers.now()
            log_info(
                "registry_changed",
                revision=self.revision,
                targets=len(self.targets),
                leaving=sum(target.leaving for target in self.targets.values()),
                missing=len(self.missing_since_s),
            )
            self.on_change()


def _digest(targets: Iterable[RegisteredTarget]) -> int:
    """Return a digest of the fields that affect how the targets are used."""
    lines = sorted(
        f"{t.name} {t.service} {t.address} {t.born_ms} {t.leaving} {t.slots}"
        # Absent as long as possible, so that the digest is that of earlier builds.
        + (f" {t.warmup_sequence}" if t.warmup_sequence else "")
        for t in targets
    )
    text = "\n".join(lines).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())

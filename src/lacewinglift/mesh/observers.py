"""Observers: the few instances that watch the store on behalf of all instances."""

import contextlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Protocol

from lacewinglift.configuration import Configuration
from lacewinglift.errors import ConfigurationError, StoreError
from lacewinglift.kv import (
    HistoryLostError,
    KeyValueStore,
    Listing,
    WatchCutError,
    WatchResult,
)
from lacewinglift.logs import log_exception, log_info, log_warning
from lacewinglift.mesh.evacuations import Evacuations
from lacewinglift.mesh.observer_election import ObserverElection
from lacewinglift.mesh.registry import RegisteredTarget, TargetRegistry
from lacewinglift.mesh.resend_records import ResendRecordKeeper
from lacewinglift.mesh.settings import TARGET_HEARTBEAT_INTERVAL_S
from lacewinglift.mesh.store_contact import StoreContact
from lacewinglift.mesh.watch_timeouts import ChangeBounds
from lacewinglift.timers import Timers

# Delay after changes of targets, so that the next watch call returns several at once.
TARGETS_BATCH_DELAY_S = 0.1
# Shortest time without an answer in which an entry can have expired, in heartbeat
# intervals of a target. An entry expires after three of them, of which one may have
# passed before an outage. The rest of the second one covers the time between the last
# failed call and the end of the outage.
MIN_OUTAGE_INTERVALS = 4 / 3
# Backoff after a failed call. The first retry comes soon because time bounds run from
# the failure.
RETRY_INITIAL_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 1.0
RETRY_MAX_DOUBLINGS = 4
ROLE_CHECK_INTERVAL_S = 0.1
# TTL of the store entry by which new instances find the address of an observer.
ANNOUNCEMENT_TTL_S = 60.0
# An observer announces its address only after it has had the role for this long, since
# another instance may take over the role shortly after it was assigned.
ANNOUNCEMENT_DELAY_S = 2.0
# Interval at which observers look for unknown instances in the store.
PEER_DISCOVERY_INTERVAL_S = 15.0


class Codec(Protocol):
    """Decodes the values that operators and targets write to the store."""

    operator_prefix: str
    """Prefix of the configuration and of the operator's other keys."""
    configuration_key: str
    targets_prefix: str
    instances_prefix: str
    resend_record_key: str

    def read_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration; raises ConfigurationError."""
        ...

    def read_evacuation(self, key: str) -> str | None:
        """Return the data centre that a key evacuates; None if it is another key."""
        ...

    def read_target(self, name: str, value: bytes) -> RegisteredTarget | None:
        """Decode the entry of a target; return None if it is invalid."""
        ...


class Observer:
    """Watches the store while this instance has the observer role.

    Parameters
    ----------
    store : KeyValueStore
        Client of the store.
    codec : Codec
        Decodes the values of the store.
    registry : TargetRegistry
        Receives the targets.
    election : ObserverElection
        Decides whether this instance has the observer role.
    apply_configuration : callable
        Receives the value of the configuration key.
    add_addresses : callable
        Receives the heartbeat addresses of instances that are listed in the store.
    heartbeat_address : str
        Address that is announced for this instance.
    timers : Timers
        Clock.
    is_started : callable
        Returns whether this instance has a configuration and the targets.
    read_immediately : bool
        Whether to read the store once before the observers are known, because
        callers are waiting.
    on_role_change : callable, default=None
        Called when the role changes, and when an observer loses or regains the store.
        The others must know soon, since they watch the store instead of it.
    evacuations : Evacuations, default=None
        Receives the data centres that the operator evacuates.
    resend_record : ResendRecordKeeper, default=None
        Builds and applies the record of resends; by default, there is none.
    target_heartbeat_interval_s : float, default=TARGET_HEARTBEAT_INTERVAL_S
        Time after which a target writes its entry again, in seconds.
    change_bounds : ChangeBounds, default=None
        How soon changes have to be in force; by default, those of `ChangeBounds`.
    """

    def __init__(
        self,
        store: KeyValueStore,
        codec: Codec,
        registry: TargetRegistry,
        election: ObserverElection,
        apply_configuration: Callable[[bytes], None],
        add_addresses: Callable[[list[str]], None],
        heartbeat_address: str,
        timers: Timers,
        is_started: Callable[[], bool],
        read_immediately: bool,
        on_role_change: Callable[[], None] | None = None,
        evacuations: Evacuations | None = None,
        resend_record: ResendRecordKeeper | None = None,
        target_heartbeat_interval_s: float = TARGET_HEARTBEAT_INTERVAL_S,
        change_bounds: ChangeBounds | None = None,
    ) -> None:
        self.store = store
        self.codec = codec
        self.registry = registry
        self.election = election
        self.members = election.members
        self.apply_configuration = apply_configuration
        self.add_addresses = add_addresses
        self.heartbeat_address = heartbeat_address
        self.timers = timers
        self.is_started = is_started
        self.read_immediately = read_immediately
        self.on_role_change = on_role_change
        self.evacuations = evacuations or Evacuations(timers)
        self.resend_record = resend_record
        self.contact = StoreContact(
            timers,
            min_outage_s=MIN_OUTAGE_INTERVALS * target_heartbeat_interval_s,
            on_change=self._announce_contact,
        )
        self.watch_wait_s = (change_bounds or ChangeBounds()).watch_wait_s()
        election.start()
        self.watching = threading.Event()
        self.stopped = False
        self.lease: str | None = None
        self.lease_era = 0

    def start(self) -> None:
        """Start the threads and the periodic check of the role."""
        self.election.start()
        self.timers.subscribe(ROLE_CHECK_INTERVAL_S, self.update_role)
        for name, loop in (
            ("watch-targets", self._watch_targets),
            ("watch-configuration", self._watch_configuration),
            ("announce", self._announce),
            ("resend-record", self.keep_resend_record),
        ):
            _start_thread(name, lambda loop=loop: self._run_while_watching(loop))
        if self.read_immediately:
            _start_thread("first-read", self._read_initial_state)

    def stop(self) -> None:
        """Stop the threads once their calls in progress return."""
        self.stopped = True
        self.watching.set()
        self.store.close()

    def update_role(self) -> None:
        """Start or stop watching the store if the role of this instance changed."""
        watches = self.watching.is_set()
        should_watch = self.election.should_watch(watches, not self.contact.failing)
        if should_watch == watches:
            return
        log_info("observer_duty", on=should_watch, heard=len(self.members.reachable()))
        if should_watch:
            self.watching.set()
        else:
            self.watching.clear()
        if self.on_role_change is not None:
            self.on_role_change()

    def _announce_contact(self) -> None:
        if self.watching.is_set() and self.on_role_change is not None:
            self.on_role_change()

    def has_working_watch(self) -> bool:
        """Return whether this instance receives changes from the store itself."""
        return self.watching.is_set() and not self.contact.failing

    def remove_expired_targets(self) -> None:
        """Remove targets that stayed missing, unless this instance lost the store.

        While calls fail, a target cannot write its entry again, or not visibly.
        """
        if not (self.watching.is_set() and self.contact.failing):
            self.registry.remove_expired()

    # ---- threads ----

    def _read_initial_state(self) -> None:
        """Read configuration and targets, unless they arrive from others first."""
        while not self.stopped and not self.is_started():
            try:
                self._list_configuration()
                self._list_targets()
            except StoreError:
                time.sleep(RETRY_INITIAL_DELAY_S)

    def _run_while_watching(self, loop: Callable[[], None]) -> None:
        """Call `loop` repeatedly while watching, with backoff after failures."""
        failures = 0
        failed_at_s = self.timers.now()
        while not self.stopped:
            self.watching.wait()
            try:
                loop()
            except StoreError:
                if self.stopped:
                    return
                if self.contact.last_answer_at_s > failed_at_s:
                    failures = 0
                failed_at_s = self.timers.now()
                time.sleep(min(RETRY_INITIAL_DELAY_S * 2**failures, RETRY_MAX_DELAY_S))
                # Without this limit, the power would exceed the range of a float after
                # about a thousand failures.
                failures = min(failures + 1, RETRY_MAX_DOUBLINGS)
            except Exception:
                log_exception("observer_failed")
                time.sleep(RETRY_MAX_DELAY_S)

    def _read_restored_store(self) -> None:
        """Read the store after a restore; the other watch may notice it later."""
        self._list_configuration()
        self._list_targets()

    @contextlib.contextmanager
    def _recorded_call(self, wait_s: float = 0.0) -> Iterator[None]:
        """Record a failed call, and an outage in which entries may have expired.

        The store may cut a waiting watch at any time. That is no lost contact, since a
        listing follows at once, and no outage before it should have answered.

        Parameters
        ----------
        wait_s : float, default=0.0
            Time for which the call may wait for its answer.
        """
        sent_at_s = self.timers.now()
        try:
            yield
        except HistoryLostError:
            raise
        except StoreError as error:
            is_cut = isinstance(error, WatchCutError)
            if not is_cut:
                self.contact.record_failure(error)
            is_overdue = self.timers.now() - sent_at_s > wait_s
            if (is_overdue or not is_cut) and self.contact.may_have_been_down(
                sent_at_s
            ):
                self.registry.record_outage()
            raise

    def _list(self, prefix: str, stale: bool = False) -> Listing:
        with self._recorded_call():
            listing = self.store.list(prefix, stale=stale)
        self.contact.record_answer(listing.era)
        return listing

    def _is_watching(self) -> bool:
        return self.watching.is_set() and not self.stopped

    def _list_targets(self) -> Listing:
        """Read all targets; a watch starts from the listing."""
        listing = self._list(self.codec.targets_prefix)
        targets = [self._read_target(item.key, item.value) for item in listing.items]
        readable = [target for target in targets if target is not None]
        self.registry.replace_all(readable, listing.revision, listing.era)
        return listing

    def _list_configuration(self) -> Listing:
        """Read the operator's keys; a watch starts from the listing."""
        listing = self._list(self.codec.operator_prefix)
        names = [self.codec.read_evacuation(item.key) for item in listing.items]
        evacuated = [name for name in names if name is not None]
        # Before the configuration, with which this instance begins to serve.
        self.evacuations.replace_all(evacuated, listing.revision, listing.era)
        for item in listing.items:
            if item.key == self.codec.configuration_key:
                self.apply_configuration(item.value)
        return listing

    def _watch(self, prefix: str, listing: Listing) -> Iterator[WatchResult]:
        """Yield changes since a listing; end if some may have been missed.

        After a restore of the store, a revision that was given out again is not the
        one that the watch has come from.
        """
        revision = listing.revision
        while self._is_watching():
            try:
                with self._recorded_call(self.watch_wait_s):
                    result = self.store.watch(prefix, revision, self.watch_wait_s)
            except HistoryLostError as error:
                log_info("store_history_lost", prefix=prefix, reason=error)
                return
            except WatchCutError as error:
                log_info("store_watch_cut", prefix=prefix, reason=error)
                time.sleep(RETRY_INITIAL_DELAY_S)
                return
            self.contact.record_answer(result.era)
            if result.era != listing.era:
                self._read_restored_store()
                return
            revision = result.revision
            yield result

    def _watch_targets(self) -> None:
        prefix = self.codec.targets_prefix
        listing = self._list_targets()
        for result in self._watch(prefix, listing):
            if result.changes:
                self._apply_target_changes(result)
                time.sleep(TARGETS_BATCH_DELAY_S)

    def _watch_configuration(self) -> None:
        prefix = self.codec.operator_prefix
        listing = self._list_configuration()
        for result in self._watch(prefix, listing):
            self._apply_evacuation_changes(result)
            for change in result.changes:
                is_configuration = change.key == self.codec.configuration_key
                if is_configuration and change.value is not None:
                    self.apply_configuration(change.value)

    def _apply_evacuation_changes(self, result: WatchResult) -> None:
        present = {}
        for change in result.changes:
            name = self.codec.read_evacuation(change.key)
            if name is not None:
                present[name] = change.value is not None
        self.evacuations.apply_changes(present, result.revision, result.era)

    def _announce(self) -> None:
        self._sleep(ANNOUNCEMENT_DELAY_S)
        if not self._is_watching():
            return
        prefix = self.codec.instances_prefix
        era = self.contact.era
        if era != self.lease_era:
            # A restored store may have given the lease's ID to somebody else.
            self.lease = None
            self.lease_era = era
        with self._recorded_call():
            if self.lease is None or not self.store.renew_lease(self.lease):
                self.lease = self.store.put_with_lease(
                    prefix + self.members.own_name,
                    self.heartbeat_address.encode(),
                    ANNOUNCEMENT_TTL_S,
                )
        listing = self._list(prefix, stale=True)
        self.add_addresses(
            [item.value.decode(errors="replace") for item in listing.items]
        )
        self._sleep(PEER_DISCOVERY_INTERVAL_S - ANNOUNCEMENT_DELAY_S, era)

    def keep_resend_record(self) -> None:
        """Read the record of resends after a restart; write it when it is due."""
        keeper = self.resend_record
        if keeper is None:
            self._sleep(PEER_DISCOVERY_INTERVAL_S)
            return
        key = self.codec.resend_record_key
        if keeper.must_read():
            for item in self._list(key).items:
                if item.key == key:
                    keeper.apply(item.value)
            keeper.has_read = True
        value = keeper.due() if self.election.is_first_observer() else None
        if value is not None:
            with self._recorded_call():
                self.store.put_with_lease(key, value, keeper.lease_s)
        self._sleep(ROLE_CHECK_INTERVAL_S)

    def _sleep(self, duration_s: float, era: int | None = None) -> None:
        """Wait while this instance watches, and while the store is in `era`."""
        until_s = self.timers.now() + duration_s
        while (
            self._is_watching()
            and era in (None, self.contact.era)
            and self.timers.now() < until_s
        ):
            time.sleep(ROLE_CHECK_INTERVAL_S)

    def _apply_target_changes(self, result: WatchResult) -> None:
        """Apply the last readable change of each target.

        A target that restarts under its name within one result is first removed and
        then written.
        """
        latest: dict[str, RegisteredTarget | None] = {}
        for change in result.changes:
            name = self._target_name(change.key)
            if change.value is None:
                latest[name] = None
                continue
            target = self._read_target(change.key, change.value)
            if target is not None:
                latest[name] = target
        written = [target for target in latest.values() if target is not None]
        removed = [name for name, target in latest.items() if target is None]
        self.registry.apply_changes(written, removed, result.revision, result.era)

    def _target_name(self, key: str) -> str:
        return key.removeprefix(self.codec.targets_prefix)

    def _read_target(self, key: str, value: bytes) -> RegisteredTarget | None:
        return self.codec.read_target(self._target_name(key), value)


def _start_thread(name: str, run: Callable[[], None]) -> None:
    threading.Thread(target=run, name=name, daemon=True).start()


def try_read_configuration(codec: Codec, value: bytes) -> Configuration | None:
    """Decode a configuration; log it and return None if it is invalid."""
    try:
        return codec.read_configuration(value)
    except ConfigurationError as error:
        log_warning("configuration_unreadable", reason=error)
        return None

"""Standing: whether recent contact with others allows an instance to serve.

An instance without standing refuses requests that need an API key.
"""

import threading

from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.logs import log_info, log_warning
from lacewinglift.members import STORE_CONTACT_MAX_AGE_S, Members
from lacewinglift.timers import Timers

# An echo proves contact with a peer for this long after the echoed heartbeat.
ECHO_MAX_AGE_S = 4.0
# Time to fetch a configuration or ledger that another member reports as newer.
NEWER_VERSION_GRACE_S = 2.0
# With 39 peers, an update after each heartbeat would be most of the heartbeat's cost.
MIN_UPDATE_INTERVAL_S = 0.2


def quorum_size(members: int) -> int:
    """Return the size of a strict majority."""
    return members // 2 + 1


class Standing:
    """Tracks whether this instance is in contact with the store or a majority.

    An instance has standing while the store has replied recently, or while a
    majority of its cell has echoed its recent heartbeats. It must also have the
    newest configuration and ledger that its peers report. Otherwise, without the
    instance knowing, a key may have been withdrawn or its quota shares fenced.

    Parameters
    ----------
    identity : Identity
        This instance.
    members : Members
        Source of the echoes, and of the versions that other members report.
    timers : Timers
        Clock.
    """

    def __init__(self, identity: Identity, members: Members, timers: Timers) -> None:
        self.identity = identity
        self.members = members
        self.timers = timers
        self.lock = threading.Lock()
        self.roster: frozenset[tuple[str, int]] = frozenset()
        self.fenced = False
        self.valid_until_s = float("-inf")
        self.behind_since_s: float | None = None
        # Whether this instance has ever had standing.
        self.started = False
        # Whether the standing has been lost and not been regained.
        self.lapsed = True
        self.logged_standing = False
        self.updated_at_s = float("-inf")

    def refusal(self) -> str | None:
        """Return None if requests with a key may be served, else a refusal code.

        Safe to call from any thread. An expired standing is refused even if `update`
        has not run since, for example because the process was paused.
        """
        if not self.started:
            return "starting"
        if self.lapsed or self.timers.now() > self.valid_until_s:
            return "isolated"
        return None

    def apply_ledger(self, ledger: fleet_pb2.Ledger) -> None:
        """Apply the roster of a ledger, and whether it fences this incarnation."""
        roster = frozenset((m.instance, m.incarnation) for m in ledger.members)
        own = (self.identity.instance, self.identity.incarnation)
        fenced = {
            (m.instance, m.incarnation) for m in ledger.members if m.fenced_in_version
        }
        with self.lock:
            self.roster = roster
            self.fenced = own in fenced
        self.update()

    def update(self) -> None:
        """Evaluate the evidence; to be called after each heartbeat and store reply."""
        now = self.timers.now()
        with self.lock:
            self.updated_at_s = now
            # The earlier evidence is evaluated first, so that evidence which arrives
            # after a pause does not hide that the standing had been lost.
            if now > self.valid_until_s:
                self.lapsed = True
            self.valid_until_s = self._evidence_valid_until_s()
            self._limit_validity_while_behind(now)
            if self.lapsed and now <= self.valid_until_s and not self._is_behind():
                self.lapsed = False
                self.started = True
            standing = not self.lapsed and now <= self.valid_until_s
            self.members.standing = standing
            self._log_change(standing)

    def update_if_stale(self) -> None:
        """Evaluate the evidence unless that was done within `MIN_UPDATE_INTERVAL_S`.

        Skipping is safe: evidence that is evaluated late can only shorten the
        standing.
        """
        now = self.timers.now()
        if self.lapsed or now - self.updated_at_s >= MIN_UPDATE_INTERVAL_S:
            self.update()

    def _evidence_valid_until_s(self) -> float:
        """Return until when store contact or echoes give standing."""
        if self.fenced:
            return float("-inf")
        store_until_s = self.members.store_contact_at_s + STORE_CONTACT_MAX_AGE_S
        return max(store_until_s, self._quorum_valid_until_s())

    def _quorum_valid_until_s(self) -> float:
        """Return until when echoes from a majority of the roster give standing."""
        if not self.roster:
            return float("-inf")
        echoes = self.members.echo_times()
        own = (self.identity.instance, self.identity.incarnation)
        times = [
            float("inf") if member == own else echoes.get(member, float("-inf"))
            for member in self.roster
        ]
        times.sort(reverse=True)
        return times[quorum_size(len(times)) - 1] + ECHO_MAX_AGE_S

    def _is_behind(self) -> bool:
        generation, version = self.members.highest_versions()
        return (
            self.members.generation == 0
            or generation > self.members.generation
            or version > self.members.ledger_version
        )

    def _limit_validity_while_behind(self, now: float) -> None:
        """End the standing after a grace period while a newer version is known."""
        if not self._is_behind():
            self.behind_since_s = None
            return
        if self.behind_since_s is None:
            self.behind_since_s = now
        grace_until_s = self.behind_since_s + NEWER_VERSION_GRACE_S
        self.valid_until_s = min(self.valid_until_s, grace_until_s)

    def _log_change(self, standing: bool) -> None:
        if standing == self.logged_standing:
            return
        self.logged_standing = standing
        if standing:
            log_info("standing_gained")
        else:
            log_warning("standing_lost", fenced=self.fenced)

"""Fleet-wide rates of workspaces, from counts that all instances send each other.

Each instance keeps the same token bucket. It is charged for the instance's own use at
once and for that of other instances when their heartbeats arrive. Requests that several
instances admit at the same time can overdraw it; this debt is repaid before the bucket
admits again. What the others have probably admitted and not reported yet is held back,
as far as the users' rule does not tolerate it. A process that starts takes the level of
its bucket from its peers.
"""

import threading
from collections.abc import Callable, Iterable

from attrs import evolve

from lacewinglift.admission import OVER_LIMIT, Decision
from lacewinglift.configuration import Configuration, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_bucket import FleetBucket, OwnCount
from lacewinglift.mesh.fleet_history import FleetHistory
from lacewinglift.mesh.peer_counters import COUNT_REPEAT_S, PeerCounters
from lacewinglift.mesh.report_lease import ReportLease
from lacewinglift.mesh.unreported_usage import NO_TOLERANCE, RateTolerance
from lacewinglift.timers import Timers

# Longest wait for a token. A refusal costs the caller more than this wait. A workspace
# far beyond its rate needs to wait longer and is refused at once.
MAX_TOKEN_WAIT_S = 0.25
# Minimum burst, in seconds of the rate, since requests do not arrive evenly spaced.
MIN_BURST_S = 0.25
# Fraction of the fleet that a new process hears before it judges that most of it is
# new as well.
RESTART_HEARD_FRACTION = 0.5


class FleetQuota:
    """Admits requests of workspaces within their rate over all instances.

    Parameters
    ----------
    timers : Timers
        Clock.
    reachable_fraction : callable
        Returns the fraction of the fleet that is reachable. Only this fraction of a
        rate is granted, so that both sides of a network partition together stay within
        the rate.
    history : FleetHistory, default=None
        Time for which this instance has counted requests. By default, nothing was
        admitted before its start.
    report_delay_s : callable, default=float
        Returns the time that reports of other instances take, in seconds. By default,
        they take no time.
    tolerance : RateTolerance, default=NO_TOLERANCE
        Requests that may exceed a rate.
    lease : ReportLease, default=None
        Decides when use is reported at once; by default, it never is.
    """

    def __init__(
        self,
        timers: Timers,
        reachable_fraction: Callable[[], float],
        history: FleetHistory | None = None,
        report_delay_s: Callable[[], float] = float,
        tolerance: RateTolerance = NO_TOLERANCE,
        lease: ReportLease | None = None,
    ) -> None:
        self.timers = timers
        self.reachable_fraction = reachable_fraction
        self.history = history
        self.report_delay_s = report_delay_s
        self.tolerance = tolerance
        self.lease = lease
        self.buckets: dict[str, FleetBucket] = {}
        self.own_counts: dict[str, OwnCount] = {}
        """Counts since the start of this process. They outlive the buckets, because the
        others charge only what a count has risen beyond the highest one they know."""
        self.peer_counters = PeerCounters()
        self.charged_lost_debts = False
        self.last_heard_at_s = float("-inf")
        """Last time at which another instance reported its use."""
        self._lock = threading.Lock()

    def apply(self, configuration: Configuration) -> None:
        """Apply the rates of a configuration; bucket levels are kept."""
        now = self.timers.now()
        with self._lock:
            before = self.buckets
            self.buckets = {}
            for workspace in configuration.workspaces.values():
                if workspace.rate_per_s > 0:
                    known = before.get(workspace.name)
                    self.buckets[workspace.name] = _resize_or_create_bucket(
                        known, workspace, now, self._initial_burst(workspace)
                    )

    def admit(self, workspace: Workspace) -> Decision:
        """Decide on one more request, and count it if it is admitted."""
        fraction = self.reachable_fraction()
        with self._lock:
            bucket = self.buckets.get(workspace.name)
            if bucket is None:
                return Decision(True)
            now = self.timers.now()
            self._refill(bucket, now, self._grantable_fraction(fraction))
            if self._has_heard_all():
                bucket.reserve(now, fraction, self.last_heard_at_s)
            # Only those that are reachable will report.
            unreported = fraction * bucket.unreported(now, self.report_delay_s())
            tolerated = fraction * self.tolerance.usable(
                bucket.rate_per_s, bucket.burst
            )
            tokens = bucket.usable() - max(unreported - tolerated, 0.0)
            wait_s = max(1.0 - tokens, 0.0) / (bucket.rate_per_s * fraction)
            log_fields = {**bucket.log_fields(fraction), "unreported": unreported}
            max_wait_s = self._max_wait_s()
            if wait_s > max_wait_s:
                later_s = max(wait_s - MAX_TOKEN_WAIT_S / 2, MAX_TOKEN_WAIT_S / 2)
                return Decision(False, OVER_LIMIT, later_s, log_fields=log_fields)
            bucket.record_own(now, self.last_heard_at_s)
            count = self.own_counts.setdefault(workspace.name, OwnCount())
            count.add(now)
            if self.lease is not None:
                unreported_own = count.admitted - count.reported
                self.lease.record_unreported(unreported_own, tokens + tolerated)
            return Decision(True, wait_s=wait_s, log_fields=log_fields)

    def _refill(self, bucket: FleetBucket, now_s: float, fraction: float) -> None:
        bucket.refill(now_s, fraction)
        if not self._has_heard_all():
            # What it does not grant yet is not withheld from anybody's later reports.
            bucket.withheld = 0.0

    def _has_heard_all(self) -> bool:
        return self.history is None or self.history.has_heard_all()

    def _max_wait_s(self) -> float:
        """Return how long a request may wait for a token now."""
        if self._has_heard_all():
            return MAX_TOKEN_WAIT_S
        return 0.0

    def _grantable_fraction(self, reachable_fraction: float | None = None) -> float:
        """Return the fraction of the rates that this instance grants now.

        It counts the members, unless the caller has done so and passes the result.

        After its start it grants nothing until it hears another instance. While it has
        heard only some of the fleet, so have the others, if they started too: only the
        pairs that hear each other know each other's use.
        """
        fraction = reachable_fraction
        if fraction is None:
            fraction = self.reachable_fraction()
        if self._has_heard_all():
            return fraction
        # The fraction is 1 also for an instance that knows no address of another one.
        if fraction < 1.0 and not self.history.has_heard_any():
            return 0.0
        return fraction**2

    def _charge_lost_debts(self) -> None:
        """Charge what the buckets may have owed when most of the fleet restarted.

        A bucket in use owes about as much as the instances admit between heartbeats,
        and processes that all start at once have nobody to take its level from.
        """
        if self.charged_lost_debts or self.history is None:
            return
        # First, since the rest takes time that grows with the fleet.
        if self.history.has_heard_all():
            return
        if (
            self.reachable_fraction() < RESTART_HEARD_FRACTION
            or not self.history.is_mostly_new()
        ):
            return
        self.charged_lost_debts = True
        for bucket in self.buckets.values():
            bucket.charge(max(MIN_BURST_S * bucket.rate_per_s, 1.0))

    def record_peer_usage(self, heartbeat: beats_pb2.Beat) -> None:
        """Charge the requests that another instance has admitted."""
        own_history_s = 0.0 if self.history is None else self.history.own_s()
        with self._lock:
            self.last_heard_at_s = self.timers.now()
            self._charge_lost_debts()
            adopts_levels = self._adopts_levels(heartbeat)
            counts = self.peer_counters.counts_of(heartbeat, own_history_s)
            counts.record_heartbeat(self.last_heard_at_s)
            # Counting the members takes time that grows with the fleet.
            fraction = None
            for usage in heartbeat.usages:
                after_silence = counts.is_first_after_silence(usage.workspace)
                increase = counts.update(usage.workspace, usage.admitted)
                bucket = self.buckets.get(usage.workspace)
                if bucket is None:
                    continue
                if adopts_levels and usage.HasField("tokens"):
                    bucket.level = min(usage.tokens, bucket.burst)
                elif increase:
                    now = self.timers.now()
                    if fraction is None:
                        fraction = self._grantable_fraction()
                    self._refill(bucket, now, fraction)
                    charge = (
                        bucket.charge_after_silence if after_silence else bucket.charge
                    )
                    charge(increase)
                    bucket.ensure_usage(now).record_peers(now, increase)

    def _initial_burst(self, workspace: Workspace) -> float:
        """Return the tokens of a new bucket, whose workspace may have used them."""
        if self._has_heard_all():
            return _min_burst(workspace)
        return 1.0

    def _adopts_levels(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether the sender knows better what was admitted recently."""
        if self._has_heard_all():
            return False
        is_full = heartbeat.HasField("description")
        return is_full and heartbeat.history_ms > self.history.own_ms()

    def levels(self) -> dict[str, float]:
        """Return the tokens in the bucket of each workspace."""
        fraction = self._grantable_fraction()
        with self._lock:
            self._refill_all(fraction)
            return {name: bucket.level for name, bucket in self.buckets.items()}

    def _refill_all(self, fraction: float) -> None:
        now = self.timers.now()
        for bucket in self.buckets.values():
            bucket.refill(now, fraction)

    def usages(
        self,
        full: bool,
        repeat_s: float = COUNT_REPEAT_S,
        with_levels: bool | None = None,
    ) -> list[beats_pb2.Usage]:
        """Return all counts, or those of the last `repeat_s`, to send to others.

        Parameters
        ----------
        full : bool
            Whether to include counts that have not increased recently.
        repeat_s : float, default=COUNT_REPEAT_S
            Time for which a count that has increased is repeated.
        with_levels : bool, default=None
            Whether to include the levels of the buckets, which only a process that
            starts uses; by default, if all counts are included.
        """
        with_levels = full if with_levels is None else with_levels
        since_s = self.timers.now() - repeat_s
        fraction = self._grantable_fraction()
        with self._lock:
            if with_levels:
                self._refill_all(fraction)
            return [
                self._usage_message(name, count, with_levels)
                for name, count in self.own_counts.items()
                if full or count.last_admitted_at_s >= since_s
            ]

    def _usage_message(
        self, workspace: str, count: OwnCount, with_level: bool
    ) -> beats_pb2.Usage:
        bucket = self.buckets.get(workspace)
        has_level = with_level and bucket is not None
        return beats_pb2.Usage(
            workspace=workspace,
            admitted=count.admitted,
            tokens=bucket.level if has_level else None,
        )

    def record_report(self, usages: Iterable[beats_pb2.Usage]) -> None:
        """Record that counts are sent to all instances that share limits."""
        with self._lock:
            for usage in usages:
                self.own_counts[usage.workspace].reported = usage.admitted

    def peer_usages(self, instance: str, incarnation: int) -> list[beats_pb2.Usage]:
        """Return all counts that another instance has reported."""
        with self._lock:
            counts = self.peer_counters.known_counts(instance, incarnation)
        return [
            beats_pb2.Usage(workspace=name, admitted=count)
            for name, count in counts.items()
        ]


def _min_burst(workspace: Workspace) -> float:
    return max(MIN_BURST_S * workspace.rate_per_s, 1.0)


def _resize_or_create_bucket(
    known: FleetBucket | None, workspace: Workspace, now_s: float, initial_burst: float
) -> FleetBucket:
    burst = max(float(workspace.burst), _min_burst(workspace))
    if known is None:
        # After a restart of the fleet, earlier use is unknown, so the bucket does not
        # start with the whole burst.
        return FleetBucket(workspace.rate_per_s, burst, initial_burst, now_s)
    level = min(known.level, burst)
    return evolve(known, rate_per_s=workspace.rate_per_s, burst=burst, level=level)

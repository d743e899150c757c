"""Settings of an instance that shares its state by datagrams."""

from attrs import frozen

from lacewinglift.mesh.fleet_limits import RetryLimits

ADDRESS_LIFETIME_S = 3.0
# Time of the grace period that is left for the end of the process.
STOP_MARGIN_S = 0.6
# Targets that may refuse a request before the route's attempts are charged.
FREE_REFUSALS = 3
# A target in another data centre answers a connect within milliseconds; a lost first
# packet is sent again after 1 s, when another target has been tried.
TARGET_CONNECT_TIMEOUT_S = 0.5
# Longest silence within an answer; routes state the time until its start.
ANSWER_SILENCE_S = 10.0
# Requests in progress are bounded by the worker threads alone.
UNBOUNDED = 1_000_000
DEFAULT_RETRY_LIMITS = RetryLimits(per_request=0.1, window_s=10.0, slack=10.0)


@frozen
class MeshSettings:
    """Settings of one instance.

    Addresses are ``host:port``.
    """

    instance: str
    data_centre: str
    caller_address: str
    heartbeat_address: str
    """Address for datagrams of other instances."""
    fetch_address: str
    """Address from which other instances fetch configuration and registry."""
    metrics_address: str
    store_driver: str
    store_address: str
    seeds: tuple[str, ...] = ()
    """Beat addresses of instances to ask first."""
    retry_limits: RetryLimits = DEFAULT_RETRY_LIMITS
    first_start: bool = False
    """Whether the whole fleet starts for the first time, before any caller."""
    worker_threads: int = 96
    max_address_lifetime_s: float = ADDRESS_LIFETIME_S
    """Longest time for which callers would use an address answer."""
    leave_s: float = 2.8
    """Time from the start of a stop in which connections are still accepted."""
    grace_s: float = 6.0
    """Time from the signal to stop until the process is killed."""
    requests_per_instance_s: float = 16.0
    """Requests per second for which callers are sent to one more instance."""
    min_active_per_data_centre: int = 3
    """Instances in each data centre that callers are sent to at least."""

    @property
    def address_lifetime_s(self) -> float:
        """Return the time for which callers may use an address answer."""
        return min(ADDRESS_LIFETIME_S, self.max_address_lifetime_s)

    @property
    def stop_bound_s(self) -> float:
        """Return the time that a graceful stop may take."""
        return self.grace_s - STOP_MARGIN_S

"""Settings of an instance of a mesh."""

from collections.abc import Mapping

from attrs import field, frozen

from lacewinglift.held_bytes import MAX_HELD_PER_INSTANCE
from lacewinglift.mesh.retry_budgets import RetryLimits
from lacewinglift.mesh.unreported_usage import RateTolerance
from lacewinglift.mesh.watch_timeouts import ChangeBounds

ADDRESS_LIFETIME_S = 3.0
# Part of the grace period that is reserved for the exit of the process.
PROCESS_EXIT_MARGIN_S = 0.6
# Attempts of each request that do not count towards `max_attempts`, because the target
# did not run the request: it refused it or could not be connected to.
MAX_FREE_REFUSALS = 3
# A target accepts a connection within milliseconds, also from another data centre. TCP
# resends a lost SYN only after 1 s; by then another target has been tried.
TARGET_CONNECT_TIMEOUT_S = 0.5
# Longest time without data within a response; routes limit the time until its start.
RESPONSE_READ_TIMEOUT_S = 10.0
# Stands for no concurrency limit: only the worker threads limit requests in progress.
UNLIMITED_CONCURRENCY = 1_000_000
TARGET_HEARTBEAT_INTERVAL_S = 1.5
DEFAULT_RATE_TOLERANCE = RateTolerance(fraction=0.1, slack=20.0, window_s=5.0)
DEFAULT_CHANGE_BOUNDS = ChangeBounds()
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
    """Address that receives the heartbeats of other instances."""
    fetch_address: str
    """Address at which other instances fetch the configuration and the registry."""
    metrics_address: str
    store_driver: str
    store_address: str
    seeds: tuple[str, ...] = ()
    """Heartbeat addresses of instances to contact first."""
    target_heartbeat_interval_s: float = TARGET_HEARTBEAT_INTERVAL_S
    """Time after which a target writes its entry in the store again."""
    change_bounds: ChangeBounds = DEFAULT_CHANGE_BOUNDS
    """How soon changes in the store have to be in force in the whole fleet."""
    retry_limits: RetryLimits = DEFAULT_RETRY_LIMITS
    rate_tolerance: RateTolerance = DEFAULT_RATE_TOLERANCE
    """Requests that may exceed the rate of a workspace."""
    first_start: bool = False
    """Whether the whole fleet starts for the first time, without callers yet."""
    link_bytes_per_s: float | None = None
    """Speed of the link of the instance; None if it is not known."""
    regions: Mapping[str, str] = field(factory=dict)
    """Region of each data centre."""
    processor_cores: float | None = None
    """Processor time that the instance may use, in cores; None if it is not known."""
    relay_min_instances: int = 60
    """Size of the fleet from which on heartbeats go between data centres through
    relays; 0 turns relays off."""
    hedge_limit_percent: float | None = None
    """Hedges of a service in per cent of its requests; None turns hedging off."""
    overload_control: bool = False
    """Whether services whose routes differ in priority serve the urgent ones first."""
    worker_threads: int = 96
    max_held_bytes: int = MAX_HELD_PER_INSTANCE
    """Bound of the bytes of responses that targets have sent and callers not read."""
    max_address_lifetime_s: float = ADDRESS_LIFETIME_S
    """Longest time for which callers may use resolved addresses."""
    leave_duration_s: float = 2.8
    """Time after the signal to stop for which connections are still accepted."""
    grace_s: float = 6.0
    """Time from the signal to stop until the process is killed."""
    instance_rate_per_s: float = 16.0
    """Request rate of the fleet for which one more instance is selected for callers."""
    min_selected_per_data_centre: int = 3
    """Minimum number of instances in each data centre that callers are sent to."""
    target_choice: str | None = None
    """Way of choosing targets; None lets the configuration in force decide."""

    @property
    def address_lifetime_s(self) -> float:
        """Return the time for which callers may use resolved addresses."""
        return min(ADDRESS_LIFETIME_S, self.max_address_lifetime_s)

    @property
    def stop_bound_s(self) -> float:
        """Return the longest duration of a graceful stop."""
        return self.grace_s - PROCESS_EXIT_MARGIN_S

"""Settings of an instance that shares its state by datagrams."""

from attrs import frozen

from lacewinglift.mesh.usage import RetryLimits

ADDRESS_LIFETIME_S = 3.0
DEFAULT_RETRY_LIMITS = RetryLimits(per_request=0.1, window_s=10.0, slack=10.0)


@frozen
class MeshSettings:
    """Settings of one instance.

    Addresses are ``host:port``.
    """

    instance: str
    data_centre: str
    caller_address: str
    beat_address: str
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
    address_lifetime_s: float = ADDRESS_LIFETIME_S
    """Time for which callers may use an address answer."""
    leave_s: float = 2.8
    """Time from the start of a stop in which connections are still accepted."""
    stop_bound_s: float = 5.2
    """Time that a graceful stop may take."""
    requests_per_instance_s: float = 16.0
    """Requests per second for which callers are sent to one more instance."""
    min_active_per_data_centre: int = 3
    """Instances in each data centre that callers are sent to at least."""

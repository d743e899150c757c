"""Key-value services with leases and watches, as the product uses them."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from attrs import frozen

from lacewinglift.errors import StoreError


class HistoryLostError(StoreError):
    """The service no longer has the changes since the revision asked for."""

    code = "store_history_lost"


@frozen
class Item:
    """Value of one key."""

    key: str
    value: bytes
    revision: int


@frozen
class Change:
    """A write or a removal of one key."""

    key: str
    value: bytes | None
    """None for a removal."""
    revision: int


@frozen
class Listing:
    """All keys below a prefix."""

    items: tuple[Item, ...]
    revision: int
    """Revision from which a watch misses no change of these keys."""


@frozen
class WatchResult:
    """Result of one watch call."""

    changes: tuple[Change, ...]
    revision: int
    """Revision from which the next watch continues."""


class KeyValueStore(Protocol):
    """Client of a key-value service; each call blocks.

    Calls raise StoreUnavailableError where it is unknown whether a write took
    effect, StoreRefusedError where it did not, and HistoryLostError from `watch`.
    """

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all keys below a prefix; `stale` allows an older state."""
        ...

    def watch(self, prefix: str, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, or none after `wait_s`."""
        ...

    def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> str:
        """Write a key under a new lease, and return the lease."""
        ...

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


DriverFactory = TypeVar("DriverFactory", bound=Callable[..., KeyValueStore])
STORE_DRIVERS: dict[str, Callable[..., KeyValueStore]] = {}


def store_driver(name: str) -> Callable[[DriverFactory], DriverFactory]:
    """Register a driver under the name that settings give it."""

    def register(factory: DriverFactory) -> DriverFactory:
        STORE_DRIVERS[name] = factory
        return factory

    return register

"""Interface of a key-value service with leases and watches; registry of drivers."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from attrs import frozen

from lacewinglift.errors import StoreError, StoreUnavailableError

# Time in which the response to a call is to arrive, besides the time for which the call
# may wait. A driver raises StoreUnavailableError after it.
RESPONSE_TIMEOUT_S = 1.5


class HistoryLostError(StoreError):
    """The service no longer keeps the changes since the requested revision."""

    code = "store_history_lost"


class WatchCutError(StoreUnavailableError):
    """The service closed the connection of a watch that was waiting.

    It may do so at any time, so that this alone tells nothing about its other calls.
    """

    code = "store_watch_cut"


@frozen
class Item:
    """A key, its value and the revision that wrote it."""

    key: str
    value: bytes
    revision: int


@frozen
class Change:
    """A write or deletion of one key."""

    key: str
    value: bytes | None
    """None for a deletion."""
    revision: int


@frozen
class Listing:
    """All keys that start with a prefix."""

    items: tuple[Item, ...]
    revision: int
    """A watch with this revision as `after` misses no change of these keys."""
    era: int = 0
    """Era of the service: rises when it is restored from a copy.

    Revisions go back then and are given out again, so that they are comparable only
    within an era. 0 if the service does not name one.
    """


@frozen
class WatchResult:
    """Result of one watch call."""

    changes: tuple[Change, ...]
    revision: int
    """Revision to pass as `after` to the next call."""
    era: int = 0
    """Era of the service, as in `Listing`."""


class KeyValueStore(Protocol):
    """Client of a key-value service; each call blocks.

    Calls raise StoreUnavailableError if no reply came, so that it is unknown whether
    a write took effect, and StoreRefusedError if the service did not carry out the
    call. `watch` also raises HistoryLostError and WatchCutError.
    """

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all keys with a prefix; `stale` permits an outdated state."""
        ...

    def watch(self, prefix: str, after: int, wait_s: float) -> WatchResult:
        """Return the changes after revision `after`; none if `wait_s` passes first."""
        ...

    def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> str:
        """Write a key under a new lease and return the id of the lease."""
        ...

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


DriverFactory = TypeVar("DriverFactory", bound=Callable[..., KeyValueStore])
STORE_DRIVERS: dict[str, Callable[..., KeyValueStore]] = {}


def store_driver(name: str) -> Callable[[DriverFactory], DriverFactory]:
    """Register a store driver under the name that settings refer to it by."""

    def register(factory: DriverFactory) -> DriverFactory:
        STORE_DRIVERS[name] = factory
        return factory

    return register

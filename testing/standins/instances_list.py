"""Stand-in for the platform's list of live and leaving instances, which lags."""

import json
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

from attrs import define, field

INSTANCES_PREFIX = "platform/instances/"
LIST_LAG_S = 5.0


class WritableStore(Protocol):
    """What the list needs of the stand-in for the store."""

    def put(self, key: str, value: bytes) -> int: ...

    def delete(self, key: str) -> None: ...


@define(eq=False)
class InstancesList:
    """Writes the list to the store, later than instances come and go.

    The platform enters an instance `lag_s` after its start and removes it `lag_s`
    after its end. A value is a JSON object with `address`, `peer_address`,
    `data_centre` and `state` ("live" or "leaving").
    """

    store: WritableStore
    lag_s: float = LIST_LAG_S
    entries: dict[str, dict[str, str]] = field(factory=dict)
    pending: list[threading.Timer] = field(factory=list)

    def enter(
        self, instance: str, address: str, peer_address: str, data_centre: str
    ) -> None:
        """Enter an instance as live, after the lag."""
        entry = {
            "address": address,
            "peer_address": peer_address,
            "data_centre": data_centre,
        }
        self.entries[instance] = entry
        self._later(lambda: self._write(instance, "live"))

    def mark_leaving(self, instance: str) -> None:
        """Mark an instance as leaving, after the lag."""
        self._later(lambda: self._write(instance, "leaving"))

    def remove(self, instance: str) -> None:
        """Remove an instance, after the lag."""
        self._later(lambda: self.store.delete(INSTANCES_PREFIX + instance))

    def commands(self) -> dict[str, Callable[..., Any]]:
        """Return the commands of the control port."""
        return {
            "enter_instance": self.enter,
            "mark_instance_leaving": self.mark_leaving,
            "remove_instance": self.remove,
        }

    def close(self) -> None:
        """Give up the changes that are still to come."""
        for timer in self.pending:
            timer.cancel()

    def _later(self, change: Callable[[], object]) -> None:
        timer = threading.Timer(self.lag_s, change)
        timer.daemon = True
        self.pending = [entry for entry in self.pending if entry.is_alive()]
        self.pending.append(timer)
        timer.start()

    def _write(self, instance: str, state: str) -> None:
        value = {**self.entries[instance], "state": state, "written_at": time.time()}
        self.store.put(INSTANCES_PREFIX + instance, json.dumps(value).encode())

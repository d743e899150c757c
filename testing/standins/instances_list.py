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
    """Store operations that the list calls."""

    def put(self, key: str, value: bytes) -> int: ...

    def delete(self, key: str) -> None: ...


@define(eq=False)
class InstancesList:
    """Writes the list to the store, with a delay as on the platform.

    The platform adds an instance `lag_s` after its start and removes it `lag_s`
    after its end. A value is a JSON object with `address`, `peer_address`,
    `data_centre` and `state` ("live" or "leaving").
    """

    store: WritableStore
    lag_s: float = LIST_LAG_S
    entries: dict[str, dict[str, str]] = field(factory=dict)
    pending_timers: list[threading.Timer] = field(factory=list)

    def enter(
        self, instance: str, address: str, peer_address: str, data_centre: str
    ) -> None:
        """Add an instance as live, after the lag."""
        entry = {
            "address": address,
            "peer_address": peer_address,
            "data_centre": data_centre,
        }
        self.entries[instance] = entry
        self._schedule(lambda: self._write(instance, "live"))

    def mark_leaving(self, instance: str) -> None:
        """Mark an instance as leaving, after the lag."""
        self._schedule(lambda: self._write(instance, "leaving"))

    def remove(self, instance: str) -> None:
        """Remove an instance, after the lag."""
        self._schedule(lambda: self.store.delete(INSTANCES_PREFIX + instance))

    def commands(self) -> dict[str, Callable[..., Any]]:
        """Return the commands of the control port."""
        return {
            "enter_instance": self.enter,
            "mark_instance_leaving": self.mark_leaving,
            "remove_instance": self.remove,
        }

    def close(self) -> None:
        """Cancel all pending changes."""
        for timer in self.pending_timers:
            timer.cancel()

    def _schedule(self, change: Callable[[], object]) -> None:
        timer = threading.Timer(self.lag_s, change)
        timer.daemon = True
        self.pending_timers = [
            entry for entry in self.pending_timers if entry.is_alive()
        ]
        self.pending_timers.append(timer)
        timer.start()

    def _write(self, instance: str, state: str) -> None:
        value = {**self.entries[instance], "state": state, "written_at": time.time()}
        self.store.put(INSTANCES_PREFIX + instance, json.dumps(value).encode())
